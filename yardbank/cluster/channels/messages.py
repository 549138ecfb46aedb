"""Messages about channels: MessagePack arrays whose first element names the kind. No I/O.

Elements beyond those known here are ignored, so that a later version may add some. Tags and the order of fields are
what crosses between versions and stay as they are.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Annotated, TypeVar

import msgspec
from msgspec import Meta, Struct

from yardbank.cluster.channels.api import MAX_DATA
from yardbank.cluster.peers.datagram import DroppedError

BATCH_OCTETS = 900  # of a message with many entries, approximately
Entry = TypeVar("Entry")

Name = Annotated[str, Meta(min_length=1, max_length=64)]
Number = Annotated[int, Meta(ge=0, le=(1 << 63) - 1)]
Hash = Annotated[int, Meta(ge=0)]
ItemPosition = tuple[Number, Number]  # epoch, sequence


class Item(Struct, array_like=True, frozen=True, tag="item"):
    """One item, as its owner made it. ``after``: where the owner before ended, if that is known."""

    channel: Name
    epoch: Number
    sequence: Number
    data: Annotated[bytes, Meta(max_length=MAX_DATA)]
    owner: Name
    boot_epoch: Number
    after: ItemPosition | None = None


class ChannelState(Struct, array_like=True, frozen=True):
    """The newest that is known of a channel; ``age``: ms since its owner said something."""

    channel: Name
    epoch: Number
    sequence: Number
    age: Number
    owner: Name
    boot_epoch: Number
    after: ItemPosition | None = None


class Heartbeat(Struct, array_like=True, frozen=True, tag="beat"):
    """States of channels, from a parent to those that it feeds and from an owner to its successors."""

    states: Annotated[tuple[ChannelState, ...], Meta(max_length=64)]


class FollowerProgress(Struct, array_like=True, frozen=True):
    """The last item of a channel that a follower has."""

    channel: Name
    epoch: Number
    sequence: Number


class Subscribe(Struct, array_like=True, frozen=True, tag="sub"):
    """A subscription to the receiver, from the items given on; it expires unless it is renewed."""

    channels: Annotated[tuple[FollowerProgress, ...], Meta(max_length=64)]


class Retransmit(Struct, array_like=True, frozen=True, tag="again"):
    """A request to retransmit items, the last one included."""

    channel: Name
    epoch: Number
    first: Number
    last: Number


class EndedAt(Struct, array_like=True, frozen=True, tag="ended"):
    """The last item of an epoch, from its owner itself."""

    channel: Name
    epoch: Number
    sequence: Number


class EndQuery(Struct, array_like=True, frozen=True, tag="end"):
    """Asks a former owner for its last item; the sender owns the channel under this epoch."""

    channel: Name
    epoch: Number


class TransferNotice(Struct, array_like=True, frozen=True, tag="take"):
    """The sender begins to transfer its lease to the receiver."""

    channel: Name


class OwnerQuery(Struct, array_like=True, frozen=True, tag="who"):
    """Asks who owns these channels. Answered by a heartbeat of what is known."""

    channels: Annotated[tuple[Name, ...], Meta(max_length=64)]


class InterestDigest(Struct, array_like=True, frozen=True, tag="me"):
    """The hash of the sender's interests, and the one that it has of the receiver's (0: none)."""

    version: Number
    sets: Hash
    yours: Hash


class InterestQuery(Struct, array_like=True, frozen=True, tag="what"):
    """Asks which channels a hash of interests stands for."""

    sets: Hash


class InterestSet(Struct, array_like=True, frozen=True, tag="sets"):
    """The channels that a hash stands for; in several parts if they are many."""

    sets: Hash
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
    """A message as octets."""
    return msgspec.msgpack.encode(message)


def decode(body: bytes) -> ChannelMessage:
    """A message from octets. Raises ``DroppedError`` if they are none."""
    try:
        return _decoder.decode(body)
    except msgspec.DecodeError:
        raise DroppedError("shape") from None


def encode_heartbeats(states: Iterable[ChannelState]) -> list[bytes]:
    """Heartbeats with these states, as few as hold them."""
    return [encode(Heartbeat(tuple(some))) for some in _batches(states)]


def encode_subscriptions(channels: Iterable[FollowerProgress]) -> list[bytes]:
    """Subscriptions to these channels, as few as hold them."""
    return [encode(Subscribe(tuple(some))) for some in _batches(channels)]


def encode_owner_queries(channels: Iterable[str]) -> list[bytes]:
    """Queries for the owners of these channels, as few as hold them."""
    return [encode(OwnerQuery(tuple(some))) for some in _batches(channels)]


def name_batches(names: Iterable[str]) -> list[list[str]]:
    """Names in parts that fit a message each."""
    return _batches(names)


def _batches(entries: Iterable[Entry]) -> list[list[Entry]]:
    found: list[list[Entry]] = []
    left = 0
    for entry in entries:
        size = len(msgspec.msgpack.encode(entry))
        if size > left or len(found[-1]) >= 64:
            found.append([])
            left = BATCH_OCTETS
        found[-1].append(entry)
        left -= size
    return found
