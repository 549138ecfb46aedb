"""Letters of leases: MessagePack arrays ``[kind, resource, ...]``; elements beyond those known here are ignored.

``boot_epoch`` and ``number`` are the asker's: its start, and a count that rises with each thing it says since then.
A voter takes nothing of one asker and resource that is not above what it took last, so late and doubled letters change
nothing.
"""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

from yardbank.cluster.peers.datagram import MAX_NAME, DroppedError

MAX_RESOURCE = 128
MAX_EPOCH = (1 << 63) - 1
MAX_LISTS = 16  # older lists that are named at once

GRANTED, HELD, TAKEN, SILENT, LOW, LIST, FULL, FAR, NAMED = range(1, 10)
VERDICTS = {
    GRANTED: "granted",
    HELD: "another holds it",
    TAKEN: "another asked first",
    SILENT: "started lately",
    LOW: "the epoch was used",
    LIST: "another list",
    FULL: "too many resources",
    FAR: "the epoch is too far ahead",
    NAMED: "the next one is noted",
}

Resource = Annotated[str, Meta(min_length=1, max_length=MAX_RESOURCE)]
Name = Annotated[str, Meta(max_length=MAX_NAME)]
Number = Annotated[int, Meta(ge=0, le=MAX_EPOCH)]
Hash = Annotated[int, Meta(ge=0)]  # MessagePack has none beyond 64 bits
Hashes = Annotated[tuple[Hash, ...], Meta(max_length=MAX_LISTS)]


class LeaseRequest(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """To a voter: grant me this. ``renewal``: I hold it under this epoch now; else the epoch is a new one."""

    resource: Resource
    boot_epoch: Number
    number: Number
    epoch: Number
    renewal: bool
    list: Hash
    past: Hashes = ()  # lists that the asker has been through lately: it keeps to their voters, or knows they are over


class VoteReply(msgspec.Struct, array_like=True, frozen=True, tag=2):
    """From a voter, to one ask. ``top``: the highest epoch it knows of, of any resource."""

    resource: Resource
    boot_epoch: Number
    number: Number
    verdict: Annotated[int, Meta(ge=1, le=255)]
    top: Number
    list: Hash
    older: Hashes = ()  # lists whose voters still bind the answerer
    holder: Name = ""  # with HELD and TAKEN
    left: Number = 0  # ms until it may be otherwise


class Release(msgspec.Struct, array_like=True, frozen=True, tag=3):
    """To a voter: this ownership, or the attempt at it, is over."""

    resource: Resource
    boot_epoch: Number
    number: Number
    epoch: Number


class SuccessorNotice(msgspec.Struct, array_like=True, frozen=True, tag=4):
    """To a voter: this one may have it while I still hold it."""

    resource: Resource
    boot_epoch: Number
    number: Number
    epoch: Number
    next: Name


class TransferOffer(msgspec.Struct, array_like=True, frozen=True, tag=5):
    """To the next one: the voters are being told that you may have it."""

    resource: Resource
    epoch: Number


class LeaseTaken(msgspec.Struct, array_like=True, frozen=True, tag=6):
    """From the next one: it is held here now, under this epoch."""

    resource: Resource
    epoch: Number


class VoterAnnouncement(msgspec.Struct, array_like=True, frozen=True, tag=7):
    """Where one stands with lists and epochs; ``answer``: and you? ``resource`` is empty."""

    resource: Annotated[str, Meta(max_length=0)]
    list: Hash
    older: Hashes
    top: Number
    answer: bool


LeaseMessage = LeaseRequest | VoteReply | Release | SuccessorNotice | TransferOffer | LeaseTaken | VoterAnnouncement
_decoder = msgspec.msgpack.Decoder(LeaseMessage)
encode = msgspec.msgpack.encode


def decode(body: bytes) -> LeaseMessage:
    """A letter's word. Raises ``DroppedError``."""
    try:
        return _decoder.decode(body)
    except msgspec.DecodeError:
        raise DroppedError("shape") from None
