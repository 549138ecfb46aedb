"""The elements of a ``World``: gateways with their view of the list and their store, and messages in flight."""

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
from yardbank.cluster.lease.model_check.freeze import NumberedMessage, key
from yardbank.cluster.lease.part import LeasePart


class MembershipView:
    """See ``parts.MembershipView``."""

    def __init__(self, name: str, boot_epoch: int, zones: Mapping[str, str]) -> None:
        self.name, self.boot_epoch, self._zones = name, boot_epoch, zones

    def zones(self) -> Mapping[str, str]:
        """The list: zones by name."""
        return self._zones

    def alive(self) -> frozenset[str]:
        """Nobody: safety must not depend on this."""
        return frozenset()

    def list_hash(self) -> int:
        """A hash of the list."""
        return xxhash.xxh3_64_intdigest(repr(sorted(self._zones.items())).encode())

    def slowness(self) -> int:
        """Never slow."""
        return 0


class MemoryStore:
    """A store in memory; see ``parts.KeyValueStore``."""

    def __init__(self, data: bytes | None) -> None:
        self.data = data

    def load(self) -> bytes | None:
        """The data saved last."""
        return self.data

    def save(self, data: bytes) -> bool:
        """Save the data; always succeeds."""
        self.data = data
        return True


class Node(NamedTuple):
    """One gateway. Its part is never changed in place once the node is in a ``World``."""

    part: LeasePart
    keys: dict[int, Any]  # cached keys, by the time on its clock
    list_index: int = 0  # its list, as an index into the scenario's lists
    stalled: tuple[int, str, bytes] | None = None  # stalled on a message: the clock read before, the source, the body

    def stored(self) -> bytes | None:
        """The data in its store."""
        store = self.part._store
        assert isinstance(store, MemoryStore)
        return store.data

    def key(self, now: int) -> Any:
        """See ``freeze.key``."""
        if (found := self.keys.get(now)) is None:
            more = self.list_index, self.stored(), self.stalled and (now - self.stalled[0], *self.stalled[1:])
            found = self.keys[now] = (*key(self.part, now), more)
        return found


# The names of messages in actions, as stored counterexamples have them.
_KIND_NAMES: dict[type[LeaseMessage], str] = {
    LeaseRequest: "Ask",
    VoteReply: "Answer",
    Release: "Release",
    SuccessorNotice: "NextIs",
    TransferOffer: "Offer",
    LeaseTaken: "Took",
    VoterAnnouncement: "Hello",
}
_decoded_messages: dict[bytes, LeaseMessage] = {}
_keys: dict[Message, tuple[tuple[Any, ...], NumberedMessage]] = {}


class Message(NamedTuple):
    """A message in flight."""

    source: str
    target: str
    body: bytes

    def decoded(self) -> LeaseMessage:
        """The decoded message."""
        if (found := _decoded_messages.get(self.body)) is None:
            found = _decoded_messages[self.body] = decode(self.body)
        return found

    def key(self) -> tuple[tuple[Any, ...], NumberedMessage]:
        """The content without the message number, and the number (an empty one for messages without)."""
        if (found := _keys.get(self)) is None:
            decoded, number = self.decoded(), ("", 0, 0)
            fields: list[Any] = [getattr(decoded, name) for name in decoded.__struct_fields__ if name != "number"]
            if isinstance(decoded, LeaseRequest | Release | SuccessorNotice | VoteReply):
                number = (
                    (self.target if isinstance(decoded, VoteReply) else self.source),
                    decoded.boot_epoch,
                    decoded.number,
                )
            found = _keys[self] = (self.source, self.target, type(decoded).__name__, *fields), number
        return found

    def kind(self) -> str:
        """Its name in actions."""
        return _KIND_NAMES[type(self.decoded())]
