"""Letters of parts between gateways: datagrams of version 2 beside the link's own of version 1. No I/O.

Same head and keyed digest as ``datagram``. A program from before these drops them by their version and goes on; fields
and topics that this one does not know are ignored, so that old and new programs share a fleet.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence

import msgspec

from yardbank.cluster.peers.datagram import HEAD, MAX_INCARNATION, MAX_NAME, MAX_OCTETS, DroppedError, open_sealed, seal

VERSION = 2
MAX_TOPIC = 16
MAX_ITEMS = 32


class Item(msgspec.Struct, array_like=True, frozen=True):
    """One letter: for which part, and its octets."""

    topic: str
    body: bytes


class Parcel(msgspec.Struct, array_like=True, frozen=True):
    """One datagram. ``boot_epoch`` and ``sequence`` are the sender's, as in its other datagrams."""

    fleet: str
    sender: str
    boot_epoch: int
    sequence: int
    items: tuple[Item, ...] = ()


_decoder = msgspec.msgpack.Decoder(Parcel)


def encode(parcel: Parcel, keys: Sequence[bytes]) -> bytes:
    """Its octets. Raises ``ValueError`` if it is too long."""
    return seal(VERSION, msgspec.msgpack.encode(parcel), keys)


def room(fleet: str, sender: str) -> int:
    """Octets that letters may take in one datagram of this sender."""
    empty = msgspec.msgpack.encode(Parcel(fleet, sender, MAX_INCARNATION, 1 << 62))
    return MAX_OCTETS - HEAD - len(empty) - 4


def size_of(item: Item) -> int:
    """Octets that a letter takes in a datagram."""
    return len(msgspec.msgpack.encode(item))


def packed(items: Iterable[Item], room: int) -> list[list[Item]]:
    """Letters for one gateway in as few datagrams as keep their order. One that fits none is left out."""
    found: list[list[Item]] = []
    left = 0
    for item in items:
        size = size_of(item)
        if size > room:
            continue
        if size > left or len(found[-1]) >= MAX_ITEMS:
            found.append([])
            left = room
        found[-1].append(item)
        left -= size
    return found


def decode(data: bytes, keys: Sequence[bytes], fleet: str) -> Parcel:
    """A datagram that was sent by one who has a key. Raises ``DroppedError``."""
    body = open_sealed(data, VERSION, keys)
    try:
        found = _decoder.decode(body)
    except msgspec.DecodeError:
        raise DroppedError("shape") from None
    if found.fleet != fleet:
        raise DroppedError("fleet")
    sound = 0 < found.boot_epoch <= MAX_INCARNATION and 0 < found.sequence < 1 << 62
    sound = sound and len(found.sender) <= MAX_NAME and len(found.items) <= MAX_ITEMS
    if not sound or not all(0 < len(item.topic) <= MAX_TOPIC for item in found.items):
        raise DroppedError("shape")
    return found
