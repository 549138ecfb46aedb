"""Interface of parts: state machines without I/O that exchange messages with the same part of other gateways.

A part is notified of list changes and of messages for its topic, and returns messages to send. It never sees an address
or a datagram. Time (ns, this gateway's monotonic clock) is an argument; a source of randomness is given to its
constructor.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, Protocol


@dataclass(slots=True, frozen=True)
class Message:
    """One message of a part to the same part of another gateway. ``urgent``: may exceed the rate limit."""

    to: str
    body: bytes
    urgent: bool = False


class MembershipView(Protocol):
    """What a part sees of the fleet: the list, and which peers the failure detector finds alive."""

    @property
    def name(self) -> str:
        """The name of this gateway."""

    @property
    def boot_epoch(self) -> int:
        """The number of this start; higher than that of every earlier start that this gateway or a peer remembers."""

    def zones(self) -> Mapping[str, str]:
        """Every gateway of the list, this one too, with its zone ("": none)."""

    def alive(self) -> frozenset[str]:
        """Peers believed to be alive, without this gateway. May be wrong: safety must not depend on it."""

    def list_hash(self) -> int:
        """A hash of the list's names and zones: equal at gateways with the same list."""

    def slowness(self) -> int:
        """0: this gateway is not slow; above: it was stopped or starved recently, or peers suspected it."""


class KeyValueStore(Protocol):
    """Persistent state of one part."""

    def load(self) -> bytes | None:
        """The data saved last; None: nothing was saved, or it cannot be read."""

    def save(self, data: bytes) -> bool:
        """Save durably; returns whether that worked."""


class Part(Protocol):
    """One part of a gateway; see the module's docstring."""

    topic: str  # at most 16 octets; unique among the parts of a gateway
    rate: tuple[int, int] | None  # its own limits, octets a second and at once; None: shares the common ones

    def listed(self, now: int) -> None:
        """The list has changed: ``MembershipView`` has the new one."""

    def receive(self, now: int, sender: str, boot_epoch: int, body: bytes) -> None:
        """Handle a message of a listed peer, perhaps duplicate, late or out of order. Raises ``DroppedError``."""

    def tick(self, now: int) -> None:
        """Do whatever is due by now; may be called before anything is due."""

    def next_at(self) -> int | None:
        """When ``tick`` is due; None: not before a message comes."""

    def outgoing_messages(self) -> list[Message]:
        """The messages to send; each is returned once."""

    def view(self, now: int) -> dict[str, Any]:
        """The state for operators, as plain values."""


class NullStore:
    """A ``KeyValueStore`` for a gateway without a state folder: saves nothing."""

    def load(self) -> bytes | None:
        """Return None."""
        return None

    def save(self, data: bytes) -> bool:
        """Return False."""
        return False
