"""Messages of parts between gateways: datagrams of version 2, beside the gossip's own of version 1. No I/O.

Same head and keyed digest as ``datagram``. A program that knows version 1 alone drops them by their version and goes
on; fields and topics that this program does not know are ignored. So old and new programs share a fleet.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence

import msgspec

from yardbank.cluster.peers.datagram import HEAD, MAX_INCARNATION, MAX_NAME, MAX_OCTETS, DroppedError, open_sealed, seal

VERSION = 2
MAX_TOPIC = 16  # octets
MAX_ENTRIES = 32  # of one batch
MAX_SEQUENCE = 1 << 62
_ENTRIES_HEAD = 4  # octets that MessagePack may need more for the length of the entries than for none


class BatchEntry(msgspec.Struct, array_like=True, frozen=True):
    """One message: the topic of the part that it is for, and its octets."""

    topic: str
    body: bytes


class Batch(msgspec.Struct, array_like=True, frozen=True):
    """One datagram. ``boot_epoch`` and ``sequence`` are the sender's, as in its other datagrams."""

    fleet: str
    sender: str
    boot_epoch: int
    sequence: int
    entries: tuple[BatchEntry, ...] = ()


_decoder = msgspec.msgpack.Decoder(Batch)


def encode(batch: Batch, keys: Sequence[bytes]) -> bytes:
    """Its octets. Raises ``ValueError`` if it is too long."""
    return seal(VERSION, msgspec.msgpack.encode(batch), keys)


def entry_capacity(fleet: str, sender: str) -> int:
    """Octets that entries may take in one datagram of this sender."""
    empty = msgspec.msgpack.encode(Batch(fleet, sender, MAX_INCARNATION, MAX_SEQUENCE))
    return MAX_OCTETS - HEAD - len(empty) - _ENTRIES_HEAD


def size_of(entry: BatchEntry) -> int:
    """Octets that an entry takes in a datagram."""
    return len(msgspec.msgpack.encode(entry))


def pack(entries: Iterable[BatchEntry], capacity: int) -> list[list[BatchEntry]]:
    """The entries for one gateway in as few datagrams as keep their order. One that fits none is left out."""
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
    """A datagram sealed by a gateway of this fleet that has a key. Raises ``DroppedError``."""
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
