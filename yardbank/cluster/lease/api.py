"""The interface that users of leases (channels, rollout permits, later budgets) work with.

Times are nanoseconds of this gateway's own clock.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

OWNED, ENDED = "owned", "ended"


@dataclass(slots=True, frozen=True)
class LeaseTerms:
    """Parameters of all leases; must be the same in the whole fleet."""

    term: int = 3_000_000_000  # duration of a grant, by the voter's clock
    drift: float = 0.02  # bound on the relative difference between the clock rates of two gateways
    overlap: int = 500_000_000  # how long a transfer may leave the lease with two holders
    voters: int = 3  # voters per resource

    def __post_init__(self) -> None:
        if self.term <= 0 or not 0 <= self.drift <= 0.2 or not 0 < 2 * self.overlap <= self.term or self.voters < 1:
            raise ValueError(f"inconsistent lease terms: {self}")

    def holding_time(self) -> int:
        """How long (ns, the holder's clock) a grant counts from when its request was sent."""
        return int(self.term * (1 - self.drift) / (1 + self.drift))


@dataclass(slots=True, frozen=True)
class LeaseEvent:
    """A lease of this gateway began (``OWNED``, with a new, higher epoch) or ended (``ENDED``, with the reason)."""

    resource: str
    what: str
    epoch: int
    why: str = ""


class Leases(Protocol):
    """One gateway's leases.

    Calls read no clock but take the time as an argument. After a call that may send messages, call ``Peers.prompt``.
    """

    def acquire(self, now: int, resource: str) -> None:
        """Try to get a lease and keep renewing it until ``release`` or ``transfer``. Idempotent.

        Raises ``ValueError`` for a name that no message can carry.
        """

    def release(self, now: int, resource: str) -> None:
        """Give up a lease, or the attempt to get it. It ends here at once, and the voters are notified."""

    def transfer(self, now: int, resource: str, to: str) -> bool:
        """Start the transfer of a lease to another gateway. Returns whether it started; its end is a ``LeaseEvent``.

        If the successor does not take the lease within the overlap, it is taken back or ends here: two gateways never
        hold it for longer than the overlap.
        """

    def epoch(self, now: int, resource: str) -> int | None:
        """The fencing token of the lease if this gateway holds it now, else None.

        Call it before each use of the resource: a lease can expire at any time.
        """

    def offered(self, prefix: str) -> list[tuple[str, str]]:
        """Transfers offered to this gateway for resources with this prefix, as (resource, sender).

        Each offer is returned once; ``acquire`` accepts it.
        """

    def take_events(self, prefix: str) -> list[LeaseEvent]:
        """Events of resources with this prefix since the last call; each is returned once."""

    def holder(self, resource: str) -> tuple[str, int] | None:
        """The last known holder and its epoch. A hint only: it may be outdated."""
