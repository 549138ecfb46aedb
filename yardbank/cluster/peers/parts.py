"""What a part is: a state machine without I/O that exchanges messages with the parts of its topic at other gateways.

A part learns of the members and of the messages for its topic, and hands out messages. It never sees an address or a
datagram. Time (ns, this gateway's steady clock) is an argument; randomness is given when the part is made.
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
    """The state of one part that outlives the process."""

    def load(self) -> bytes | None:
        """What was saved last; None: nothing, or it cannot be read."""

    def save(self, data: bytes) -> bool:
        """Save durably; returns whether that worked."""


class Part(Protocol):
    """One part of a gateway; see the module."""

    topic: str  # at most 16 octets; at most one part of a gateway has it
    rate: tuple[int, int] | None  # octets a second and at once, of its own; None: shares those of all other parts

    def listed(self, now: int) -> None:
        """The list has changed: ``MembershipView`` has the new one."""

    def receive(self, now: int, sender: str, boot_epoch: int, body: bytes) -> None:
        """A message of a listed peer. May come twice, late, in any order. Raises ``DroppedError`` if it is unusable."""

    def tick(self, now: int) -> None:
        """Time has passed; may be called before it is due."""

    def next_at(self) -> int | None:
        """When ``tick`` is due; None: not before something comes in."""

    def outgoing_messages(self) -> list[Message]:
        """The messages to send; each is returned once."""

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
