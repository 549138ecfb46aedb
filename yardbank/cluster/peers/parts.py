"""What rides on the link between gateways beside the link's own business: parts, each a decider without I/O.

A part is told who is there and what others' parts of its topic say, and hands out letters. It never sees an address or
a datagram. Time (ns, this gateway's steady clock) is passed in; randomness comes with the part's making.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, Protocol


@dataclass(slots=True, frozen=True)
class Message:
    """One message of a part for the same part of another gateway. ``urgent``: does not wait for the rate."""

    to: str
    body: bytes
    urgent: bool = False


class MembershipView(Protocol):
    """What a part may know of the fleet: the list, and the link's own finding of who is there."""

    @property
    def name(self) -> str:
        """This gateway."""

    @property
    def boot_epoch(self) -> int:
        """The number of this start; higher than that of any start before, as far as anybody remembers."""

    def zones(self) -> Mapping[str, str]:
        """Every gateway of the list, this one too, and the zone that the list gives it ("": none)."""

    def alive(self) -> frozenset[str]:
        """Peers that are held to be alive; this gateway is not among them. May err: never a basis of safety."""

    def list_hash(self) -> int:
        """The list's names and zones as a number: equal where two gateways have the same list."""

    def slowness(self) -> int:
        """0: this gateway finds itself well; above: it was stopped or starved lately, or others miss it."""


class KeyValueStore(Protocol):
    """A few octets that outlive the process, for one part."""

    def load(self) -> bytes | None:
        """What was kept last; None: nothing, or it cannot be read."""

    def save(self, data: bytes) -> bool:
        """Keep it durably; whether that worked."""


class Part(Protocol):
    """One decider that talks to its like at other gateways."""

    topic: str  # at most 16 octets; at most one part of a gateway has it
    rate: tuple[int, int] | None  # octets a second and at once, for a feed's letters; None: those of all other parts

    def listed(self, now: int) -> None:
        """The list has changed: ``MembershipView`` tells the new one."""

    def receive(self, now: int, sender: str, boot_epoch: int, body: bytes) -> None:
        """A letter of a peer of the list. May come twice, late, in any order. Raises ``DroppedError`` on odd ones."""

    def tick(self, now: int) -> None:
        """Time has passed; may be called before it is due."""

    def next_at(self) -> int | None:
        """When ``tick`` is due; None: not before something comes in."""

    def outgoing_messages(self) -> list[Message]:
        """What is to be sent; taken off."""

    def view(self, now: int) -> dict[str, Any]:
        """What an operator should see, as plain values."""


class NullStore:
    """A ``KeyValueStore`` for a gateway without a store."""

    def load(self) -> bytes | None:
        """Nothing."""
        return None

    def save(self, data: bytes) -> bool:
        """It cannot."""
        return False
