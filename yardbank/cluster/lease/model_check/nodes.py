"""What a world is made of: gateways with their sight of the list and their store, and letters on their way."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, NamedTuple

import xxhash

from yardbank.cluster.lease.messages import (
    LeaseMessage,
    LeaseRequest,
    LeaseTaken,
    Release,
    SuccessorNotice,
    TransferOffer,
    VoterAnnouncement,
    VoteReply,
    decode,
)
from yardbank.cluster.lease.model_check.freeze import Numbered, key
from yardbank.cluster.lease.part import LeasePart


class MembershipView:
    """See ``parts.MembershipView``."""

    def __init__(self, name: str, boot_epoch: int, zones: Mapping[str, str]) -> None:
        self.name, self.boot_epoch, self._zones = name, boot_epoch, zones

    def zones(self) -> Mapping[str, str]:
        """The list, with zones."""
        return self._zones

    def alive(self) -> frozenset[str]:
        """Nobody: safety must not rest on it."""
        return frozenset()

    def list_hash(self) -> int:
        """The list as a number."""
        return xxhash.xxh3_64_intdigest(repr(sorted(self._zones.items())).encode())

    def slowness(self) -> int:
        """Never slow."""
        return 0


class Kept:
    """A store that can be copied."""

    def __init__(self, data: bytes | None) -> None:
        self.data = data

    def load(self) -> bytes | None:
        """What was saved last."""
        return self.data

    def save(self, data: bytes) -> bool:
        """Keep it; always works."""
        self.data = data
        return True


class Node(NamedTuple):
    """One gateway; its part is never changed in place once it is in a world."""

    part: LeasePart
    keys: dict[int, Any]  # worked out so far, by its clock
    at: int = 0  # which list it has
    stalled: tuple[int, str, bytes] | None = None  # stopped after it read its clock: then, and what it was to take

    def kept(self) -> bytes | None:
        """What its store has."""
        keep = self.part._store
        assert isinstance(keep, Kept)
        return keep.data

    def key(self, now: int) -> Any:
        """See ``freeze.key``."""
        if (found := self.keys.get(now)) is None:
            more = self.at, self.kept(), self.stalled and (now - self.stalled[0], *self.stalled[1:])
            found = self.keys[now] = (*key(self.part, now), more)
        return found


_KINDS: dict[type[LeaseMessage], str] = {
    LeaseRequest: "Ask",
    VoteReply: "Answer",
    Release: "Release",
    SuccessorNotice: "NextIs",
    TransferOffer: "Offer",
    LeaseTaken: "Took",
    VoterAnnouncement: "Hello",
}
_words: dict[bytes, LeaseMessage] = {}
_keys: dict[Message, tuple[tuple[Any, ...], Numbered]] = {}


class Message(NamedTuple):
    """On its way."""

    source: str
    target: str
    body: bytes

    def word(self) -> LeaseMessage:
        """What it says."""
        if (found := _words.get(self.body)) is None:
            found = _words[self.body] = decode(self.body)
        return found

    def key(self) -> tuple[tuple[Any, ...], Numbered]:
        """What it says apart from its number, and that (none: an empty one)."""
        if (found := _keys.get(self)) is None:
            word, number = self.word(), ("", 0, 0)
            fields: list[Any] = [getattr(word, one) for one in word.__struct_fields__ if one != "number"]
            if isinstance(word, LeaseRequest | Release | SuccessorNotice | VoteReply):
                number = (self.target if isinstance(word, VoteReply) else self.source), word.boot_epoch, word.number
            found = _keys[self] = (self.source, self.target, type(word).__name__, *fields), number
        return found

    def kind(self) -> str:
        """As it stands in actions, those of stored counterexamples too."""
        return _KINDS[type(self.word())]
