"""Messages about channels: MessagePack arrays whose first element is the message tag. No I/O.

Additional elements at the end of an array are ignored, so later versions may add fields. Tags and the order of fields
are shared between versions and must not change.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Annotated, TypeVar

import msgspec
from msgspec import Meta, Struct

from yardbank.cluster.channels.api import MAX_DATA
from yardbank.cluster.peers.datagram import DroppedError

BATCH_OCTETS = 900  # approximate size of a message with many entries
Entry = TypeVar("Entry")

Name = Annotated[str, Meta(min_length=1, max_length=64)]
Number = Annotated[int, Meta(ge=0, le=(1 << 63) - 1)]
Hash = Annotated[int, Meta(ge=0)]
ItemPosition = tuple[Number, Number]  # epoch, sequence


class Item(Struct, array_like=True, frozen=True, tag="item"):
    """One item as its owner published it. ``previous_end``: where the previous owner's epoch ended, if known."""

    channel: Name
    epoch: Number
    sequence: Number
    data: Annotated[bytes, Meta(max_length=MAX_DATA)]
    owner: Name
    boot_epoch: Number
    previous_end: ItemPosition | None = None


class ChannelState(Struct, array_like=True, frozen=True):
    """The newest known state of a channel. ``age``: ms since its owner was heard."""

    channel: Name
    epoch: Number
    sequence: Number
    age: Number
    owner: Name
    boot_epoch: Number
    previous_end: ItemPosition | None = None


class Heartbeat(Struct, array_like=True, frozen=True, tag="beat"):
    """States of channels, sent by a parent to its children and by an owner to its standbys."""

    states: Annotated[tuple[ChannelState, ...], Meta(max_length=64)]


class FollowerProgress(Struct, array_like=True, frozen=True):
    """The last item of a channel that a follower has."""

    channel: Name
    epoch: Number
    sequence: Number


class Subscribe(Struct, array_like=True, frozen=True, tag="sub"):
    """A subscription to the receiver, starting after the given items; it expires unless it is renewed."""

    channels: Annotated[tuple[FollowerProgress, ...], Meta(max_length=64)]


class Retransmit(Struct, array_like=True, frozen=True, tag="again"):
    """A request to retransmit a range of items; ``last`` is included."""

    channel: Name
    epoch: Number
    first: Number
    last: Number


class EndedAt(Struct, array_like=True, frozen=True, tag="ended"):
    """The last item of an epoch, reported by its owner."""

    channel: Name
    epoch: Number
    sequence: Number


class EndQuery(Struct, array_like=True, frozen=True, tag="end"):
    """Asks a former owner for its last item; the sender owns the channel under this epoch."""

    channel: Name
    epoch: Number


class TransferNotice(Struct, array_like=True, frozen=True, tag="take"):
    """The sender starts transferring its lease to the receiver."""

    channel: Name


class OwnerQuery(Struct, array_like=True, frozen=True, tag="who"):
    """Asks who owns these channels; answered by a heartbeat with the known states."""

    channels: Annotated[tuple[Name, ...], Meta(max_length=64)]


class InterestDigest(Struct, array_like=True, frozen=True, tag="me"):
    """The hash of the sender's interests, and the hash it has of the receiver's (0: none)."""

    version: Number
    interests_hash: Hash
    receiver_hash: Hash


class InterestQuery(Struct, array_like=True, frozen=True, tag="what"):
    """Asks which channels a hash of interests stands for."""

    interests_hash: Hash


class InterestSet(Struct, array_like=True, frozen=True, tag="sets"):
    """The channels that a hash stands for, split into parts if there are many."""

    interests_hash: Hash
    part: Annotated[int, Meta(ge=0, lt=64)]
    parts: Annotated[int, Meta(ge=1, le=64)]
    owns: tuple[Name, ...]
    follows: tuple[Name, ...]


ChannelMessage = (
    Item
    | Heartbeat
    | Subscribe
    | Retransmit
    | EndedAt
    | EndQuery
    | TransferNotice
    | OwnerQuery
    | InterestDigest
    | InterestQuery
    | InterestSet
)
_decoder = msgspec.msgpack.Decoder(ChannelMessage)


def encode(message: ChannelMessage) -> bytes:
    """Encode a message."""
    return msgspec.msgpack.encode(message)


def decode(body: bytes) -> ChannelMessage:
    """Decode a message. Raises ``DroppedError`` if it is malformed."""
    try:
        return _decoder.decode(body)
    except msgspec.DecodeError:
        raise DroppedError("shape") from None


def encode_heartbeats(states: Iterable[ChannelState]) -> list[bytes]:
    """Heartbeats with these states, in as few messages as possible."""
    return [encode(Heartbeat(tuple(batch))) for batch in _batches(states)]


def encode_subscriptions(channels: Iterable[FollowerProgress]) -> list[bytes]:
    """Subscriptions to these channels, in as few messages as possible."""
    return [encode(Subscribe(tuple(batch))) for batch in _batches(channels)]


def encode_owner_queries(channels: Iterable[str]) -> list[bytes]:
    """Queries for the owners of these channels, in as few messages as possible."""
    return [encode(OwnerQuery(tuple(batch))) for batch in _batches(channels)]


def name_batches(names: Iterable[str]) -> list[list[str]]:
    """Split names into batches that each fit into one message."""
    return _batches(names)


def _batches(entries: Iterable[Entry]) -> list[list[Entry]]:
    batches: list[list[Entry]] = []
    octets_left = 0
    for entry in entries:
        size = len(msgspec.msgpack.encode(entry))
        if size > octets_left or len(batches[-1]) >= 64:
            batches.append([])
            octets_left = BATCH_OCTETS
        batches[-1].append(entry)
        octets_left -= size
    return batches
