"""Messages of the lease protocol: MessagePack arrays ``[kind, resource, ...]``; unknown further elements are ignored.

``boot_epoch`` and ``number`` are the requester's: its start, and a count that rises with each message since then. A
voter ignores a message on a resource unless its number is above the last one that it took from the same requester, so
late and duplicate messages have no effect.
"""

from __future__ import annotations

from enum import IntEnum
from typing import Annotated

import msgspec
from msgspec import Meta

from yardbank.cluster.peers.datagram import MAX_NAME, DroppedError

MAX_RESOURCE = 128
MAX_EPOCH = (1 << 63) - 1
MAX_LISTS = 16  # older lists in one message


class Verdict(IntEnum):
    """A voter's decision, sent in replies. Newer versions may send other values: they count as a refusal."""

    GRANTED = 1
    HELD = 2  # another gateway holds the lease
    OTHER_CANDIDATE = 3  # another candidate asked first
    SILENT = 4  # the voter started recently and may not grant yet
    EPOCH_USED = 5  # the epoch was, or may have been, used already
    OTHER_LIST = 6  # the voter is at another list
    FULL = 7  # the voter's table of resources is full
    EPOCH_TOO_FAR = 8  # the epoch is too far ahead
    SUCCESSOR_NOTED = 9  # acknowledges a ``SuccessorNotice``


Resource = Annotated[str, Meta(min_length=1, max_length=MAX_RESOURCE)]
Name = Annotated[str, Meta(max_length=MAX_NAME)]
Number = Annotated[int, Meta(ge=0, le=MAX_EPOCH)]
Hash = Annotated[int, Meta(ge=0)]  # MessagePack integers have at most 64 bits
Hashes = Annotated[tuple[Hash, ...], Meta(max_length=MAX_LISTS)]


class LeaseRequest(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """To a voter: a request to grant a lease.

    ``renewal``: the sender holds the lease under this epoch now; otherwise the epoch is new.
    """

    resource: Resource
    boot_epoch: Number
    number: Number
    epoch: Number
    renewal: bool
    list_hash: Hash
    known_lists: Hashes = ()  # older lists whose voters the sender also asks, or knows to be no longer binding


class VoteReply(msgspec.Struct, array_like=True, frozen=True, tag=2):
    """From a voter: the reply to one request. ``highest_epoch``: the highest epoch it knows, of any resource."""

    resource: Resource
    boot_epoch: Number
    number: Number
    verdict: Annotated[int, Meta(ge=1, le=255)]
    highest_epoch: Number
    list_hash: Hash
    older_lists: Hashes = ()  # older lists that still bind the voter
    holder: Name = ""  # with HELD and OTHER_CANDIDATE
    remaining_ms: Number = 0  # until the decision may be different


class Release(msgspec.Struct, array_like=True, frozen=True, tag=3):
    """To a voter: the sender gives up this lease, or the attempt to get it."""

    resource: Resource
    boot_epoch: Number
    number: Number
    epoch: Number


class SuccessorNotice(msgspec.Struct, array_like=True, frozen=True, tag=4):
    """To a voter: the successor may be granted the lease while the sender still holds it."""

    resource: Resource
    boot_epoch: Number
    number: Number
    epoch: Number
    successor: Name


class TransferOffer(msgspec.Struct, array_like=True, frozen=True, tag=5):
    """To the successor: it may request the lease; the voters are being notified."""

    resource: Resource
    epoch: Number


class LeaseTaken(msgspec.Struct, array_like=True, frozen=True, tag=6):
    """From the successor: it holds the lease now, under this epoch."""

    resource: Resource
    epoch: Number


class VoterAnnouncement(msgspec.Struct, array_like=True, frozen=True, tag=7):
    """The sender's lists and highest epoch. ``wants_reply``: asks for the recipient's. ``resource`` is empty."""

    resource: Annotated[str, Meta(max_length=0)]
    list_hash: Hash
    older_lists: Hashes
    highest_epoch: Number
    wants_reply: bool


LeaseMessage = LeaseRequest | VoteReply | Release | SuccessorNotice | TransferOffer | LeaseTaken | VoterAnnouncement
_decoder = msgspec.msgpack.Decoder(LeaseMessage)
encode = msgspec.msgpack.encode


def decode(body: bytes) -> LeaseMessage:
    """Decode a message. Raises ``DroppedError``."""
    try:
        return _decoder.decode(body)
    except msgspec.DecodeError as error:
        raise DroppedError("shape") from error
