"""Letters of leases: MessagePack arrays ``[kind, resource, ...]``; elements beyond those known here are ignored.

``boot_epoch`` and ``number`` are the asker's: its start, and a count that rises with each thing it says since then.
A voter takes nothing of one asker and resource that is not above what it took last, so late and doubled letters change
nothing.
"""

from __future__ import annotations

from enum import IntEnum
from typing import Annotated

import msgspec
from msgspec import Meta

from yardbank.cluster.peers.datagram import MAX_NAME, DroppedError

MAX_RESOURCE = 128
MAX_EPOCH = (1 << 63) - 1
MAX_LISTS = 16  # older lists that are named at once


class Verdict(IntEnum):
    """A voter's decision, as it stands in replies. A later program may send others: they count as a refusal."""

    GRANTED = 1
    HELD = 2  # another holds it
    TAKEN = 3  # another candidate asked first
    SILENT = 4  # the voter started lately
    LOW = 5  # the epoch was used
    LIST = 6  # the voter goes by another list
    FULL = 7  # the voter has too many resources
    FAR = 8  # the epoch is too far ahead
    NAMED = 9  # the successor is noted


Resource = Annotated[str, Meta(min_length=1, max_length=MAX_RESOURCE)]
Name = Annotated[str, Meta(max_length=MAX_NAME)]
Number = Annotated[int, Meta(ge=0, le=MAX_EPOCH)]
Hash = Annotated[int, Meta(ge=0)]  # MessagePack has none beyond 64 bits
Hashes = Annotated[tuple[Hash, ...], Meta(max_length=MAX_LISTS)]


class LeaseRequest(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """To a voter: grant this lease. ``renewal``: the sender holds it under this epoch now; else the epoch is new."""

    resource: Resource
    boot_epoch: Number
    number: Number
    epoch: Number
    renewal: bool
    list_hash: Hash
    known_lists: Hashes = ()  # gone through lately: the sender keeps to their voters, or knows that they are over


class VoteReply(msgspec.Struct, array_like=True, frozen=True, tag=2):
    """From a voter, to one ask. ``highest_epoch``: the highest epoch it knows of, of any resource."""

    resource: Resource
    boot_epoch: Number
    number: Number
    verdict: Annotated[int, Meta(ge=1, le=255)]
    highest_epoch: Number
    list_hash: Hash
    older_lists: Hashes = ()  # lists whose voters still bind the answerer
    holder: Name = ""  # with HELD and TAKEN
    remaining_ms: Number = 0  # until it may be otherwise


class Release(msgspec.Struct, array_like=True, frozen=True, tag=3):
    """To a voter: this ownership, or the attempt at it, is over."""

    resource: Resource
    boot_epoch: Number
    number: Number
    epoch: Number


class SuccessorNotice(msgspec.Struct, array_like=True, frozen=True, tag=4):
    """To a voter: the successor may have it while the sender still holds it."""

    resource: Resource
    boot_epoch: Number
    number: Number
    epoch: Number
    successor: Name


class TransferOffer(msgspec.Struct, array_like=True, frozen=True, tag=5):
    """To the next one: the voters are being told that you may have it."""

    resource: Resource
    epoch: Number


class LeaseTaken(msgspec.Struct, array_like=True, frozen=True, tag=6):
    """From the next one: it is held here now, under this epoch."""

    resource: Resource
    epoch: Number


class VoterAnnouncement(msgspec.Struct, array_like=True, frozen=True, tag=7):
    """Where one stands with lists and epochs; ``wants_reply``: the other is to say the same. ``resource`` is empty."""

    resource: Annotated[str, Meta(max_length=0)]
    list_hash: Hash
    older_lists: Hashes
    highest_epoch: Number
    wants_reply: bool


LeaseMessage = LeaseRequest | VoteReply | Release | SuccessorNotice | TransferOffer | LeaseTaken | VoterAnnouncement
_decoder = msgspec.msgpack.Decoder(LeaseMessage)
encode = msgspec.msgpack.encode


def decode(body: bytes) -> LeaseMessage:
    """The message in a body. Raises ``DroppedError``."""
    try:
        return _decoder.decode(body)
    except msgspec.DecodeError as error:
        raise DroppedError("shape") from error
