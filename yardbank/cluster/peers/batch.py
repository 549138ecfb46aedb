"""Messages of parts between gateways, sent as datagrams of version 2; version 1 is for gossip itself. No I/O.

They have the same header and keyed digest as in ``datagram``. Programs that only know version 1 drop them because of
the version, and unknown fields and topics are ignored, so old and new programs can share a fleet.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence

import msgspec

from yardbank.cluster.peers.datagram import (
    HEADER_OCTETS,
    MAX_INCARNATION,
    MAX_NAME,
    MAX_OCTETS,
    DroppedError,
    open_sealed,
    seal,
)

VERSION = 2
MAX_TOPIC = 16  # octets
MAX_ENTRIES = 32  # in one batch
MAX_SEQUENCE = 1 << 62
_ENTRIES_LENGTH_OCTETS = 4  # what MessagePack may need for the number of entries beyond the encoding of an empty list


class BatchEntry(msgspec.Struct, array_like=True, frozen=True):
    """One message: the topic of the recipient part, and the message's octets."""

    topic: str
    body: bytes


class Batch(msgspec.Struct, array_like=True, frozen=True):
    """One datagram. ``boot_epoch`` and ``sequence`` have the same meaning as in ``Datagram``."""

    fleet: str
    sender: str
    boot_epoch: int
    sequence: int
    entries: tuple[BatchEntry, ...] = ()


_decoder = msgspec.msgpack.Decoder(Batch)


def encode(batch: Batch, keys: Sequence[bytes]) -> bytes:
    """Encode and seal a batch. Raises ``ValueError`` if it is too long."""
    return seal(VERSION, msgspec.msgpack.encode(batch), keys)


def entry_capacity(fleet: str, sender: str) -> int:
    """Octets available for entries in one datagram of this sender."""
    empty = msgspec.msgpack.encode(Batch(fleet, sender, MAX_INCARNATION, MAX_SEQUENCE))
    return MAX_OCTETS - HEADER_OCTETS - len(empty) - _ENTRIES_LENGTH_OCTETS


def size_of(entry: BatchEntry) -> int:
    """Octets that an entry takes in a datagram."""
    return len(msgspec.msgpack.encode(entry))


def pack(entries: Iterable[BatchEntry], capacity: int) -> list[list[BatchEntry]]:
    """Group the entries for one gateway into datagrams, keeping their order. Entries too long for one are left out."""
    batches: list[list[BatchEntry]] = []
    left = 0
    for entry in entries:
        size = size_of(entry)
        if size > capacity:
            continue
        if size > left or len(batches[-1]) >= MAX_ENTRIES:
            batches.append([])
            left = capacity
        batches[-1].append(entry)
        left -= size
    return batches


def decode(data: bytes, keys: Sequence[bytes], fleet: str) -> Batch:
    """Verify and decode a datagram of this fleet. Raises ``DroppedError``."""
    body = open_sealed(data, VERSION, keys)
    try:
        batch = _decoder.decode(body)
    except msgspec.DecodeError as error:
        raise DroppedError("shape") from error
    if batch.fleet != fleet:
        raise DroppedError("fleet")
    if not _is_within_bounds(batch):
        raise DroppedError("shape")
    return batch


def _is_within_bounds(batch: Batch) -> bool:
    if not 0 < batch.boot_epoch <= MAX_INCARNATION:
        return False
    if not 0 < batch.sequence < MAX_SEQUENCE:
        return False
    if len(batch.sender) > MAX_NAME or len(batch.entries) > MAX_ENTRIES:
        return False
    return all(0 < len(entry.topic) <= MAX_TOPIC for entry in batch.entries)
