"""Letters about channels: MessagePack arrays whose first element names the kind; what is beyond is ignored. No I/O."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Annotated, TypeVar

import msgspec
from msgspec import Meta, Struct

from yardbank.cluster.channels.api import MAX_DATA
from yardbank.cluster.peers.datagram import DroppedError

LETTER = 900  # octets of a letter with many entries, about
Entry = TypeVar("Entry")

Name = Annotated[str, Meta(min_length=1, max_length=64)]
Number = Annotated[int, Meta(ge=0, le=(1 << 63) - 1)]
Hash = Annotated[int, Meta(ge=0)]
Place = tuple[Number, Number]  # epoch, sequence


class Item(Struct, array_like=True, frozen=True, tag="item"):
    """One item, as its owner made it. ``after``: where the owner before ended, if that is known."""

    channel: Name
    epoch: Number
    sequence: Number
    data: Annotated[bytes, Meta(max_length=MAX_DATA)]
    owner: Name
    boot_epoch: Number
    after: Place | None = None


class State(Struct, array_like=True, frozen=True):
    """The newest that is known of a channel; ``age``: ms since its owner said something."""

    channel: Name
    epoch: Number
    sequence: Number
    age: Number
    owner: Name
    boot_epoch: Number
    after: Place | None = None


class Beat(Struct, array_like=True, frozen=True, tag="beat"):
    """States, told to who would hear items by this way."""

    states: Annotated[tuple[State, ...], Meta(max_length=64)]


class Have(Struct, array_like=True, frozen=True):
    """How far one has come with a channel."""

    channel: Name
    epoch: Number
    sequence: Number


class Subscribe(Struct, array_like=True, frozen=True, tag="sub"):
    """Hand these on to me from there; holds for a while."""

    channels: Annotated[tuple[Have, ...], Meta(max_length=64)]


class Again(Struct, array_like=True, frozen=True, tag="again"):
    """These items once more, the last one included."""

    channel: Name
    epoch: Number
    first: Number
    last: Number


class EndedAt(Struct, array_like=True, frozen=True, tag="ended"):
    """An owner's last item under an epoch, said by itself."""

    channel: Name
    epoch: Number
    sequence: Number


class AskEnd(Struct, array_like=True, frozen=True, tag="end"):
    """A question: where the asked one ended; the asker has it under this epoch."""

    channel: Name
    epoch: Number


class Take(Struct, array_like=True, frozen=True, tag="take"):
    """The sender begins to hand its lease on to the receiver."""

    channel: Name


class Who(Struct, array_like=True, frozen=True, tag="who"):
    """Who carries these? Answered by a beat of what is known."""

    channels: Annotated[tuple[Name, ...], Meta(max_length=64)]


class Me(Struct, array_like=True, frozen=True, tag="me"):
    """The sender's interests: their hash, and the hash that it has of the receiver's (0: none)."""

    version: Number
    sets: Hash
    yours: Hash


class What(Struct, array_like=True, frozen=True, tag="what"):
    """A question: which channels stand behind a hash."""

    sets: Hash


class Sets(Struct, array_like=True, frozen=True, tag="sets"):
    """They are these; in several parts if they are many."""

    sets: Hash
    part: Annotated[int, Meta(ge=0, lt=64)]
    parts: Annotated[int, Meta(ge=1, le=64)]
    owns: tuple[Name, ...]
    follows: tuple[Name, ...]


ChannelMessage = Item | Beat | Subscribe | Again | EndedAt | AskEnd | Take | Who | Me | What | Sets
_decoder = msgspec.msgpack.Decoder(ChannelMessage)


def encode(message: ChannelMessage) -> bytes:
    """Its octets."""
    return msgspec.msgpack.encode(message)


def decode(body: bytes) -> ChannelMessage:
    """What it says. Raises ``DroppedError``."""
    try:
        return _decoder.decode(body)
    except msgspec.DecodeError:
        raise DroppedError("shape") from None


def beats(states: Iterable[State]) -> list[bytes]:
    """As few letters as hold them."""
    return [encode(Beat(tuple(some))) for some in _batches(states)]


def subscriptions(channels: Iterable[Have]) -> list[bytes]:
    """As few letters as hold them."""
    return [encode(Subscribe(tuple(some))) for some in _batches(channels)]


def questions(channels: Iterable[str]) -> list[bytes]:
    """As few letters as hold them."""
    return [encode(Who(tuple(some))) for some in _batches(channels)]


def name_batches(names: Iterable[str]) -> list[list[str]]:
    """Names in parts that fit a letter each."""
    return _batches(names)


def _batches(entries: Iterable[Entry]) -> list[list[Entry]]:
    found: list[list[Entry]] = []
    left = 0
    for entry in entries:
        size = len(msgspec.msgpack.encode(entry))
        if size > left or len(found[-1]) >= 64:
            found.append([])
            left = LETTER
        found[-1].append(entry)
        left -= size
    return found
