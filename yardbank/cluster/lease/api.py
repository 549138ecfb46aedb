"""What users of leases see: channels, permits of a rollout, later budgets. Times in nanoseconds of one's own clock."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

OWNED, ENDED = "owned", "ended"


@dataclass(slots=True, frozen=True)
class LeaseTerms:
    """How leases run; the same over the whole fleet."""

    term: int = 3_000_000_000  # of a grant, by the voter's clock
    drift: float = 0.02  # clock rates of two gateways differ by at most this part
    overlap: int = 500_000_000  # of two holders, at a transfer
    voters: int = 3

    def __post_init__(self) -> None:
        if self.term <= 0 or not 0 <= self.drift <= 0.2 or not 0 < 2 * self.overlap <= self.term or self.voters < 1:
            raise ValueError(f"terms of leases do not fit together: {self}")

    def holding_time(self) -> int:
        """How long (ns) the holder may go on after its request was sent, by its own clock."""
        return int(self.term * (1 - self.drift) / (1 + self.drift))


@dataclass(slots=True, frozen=True)
class LeaseEvent:
    """What became of one's own holding: ``OWNED`` (with a new, higher epoch) or ``ENDED`` (and why)."""

    resource: str
    what: str
    epoch: int
    why: str = ""


class Leases(Protocol):
    """One gateway's leases. Every call that takes a time reads nothing else; call ``prompt`` of the link afterwards."""

    def acquire(self, now: int, resource: str) -> None:
        """Try to get a lease, and renew it from then on, until ``release`` or ``transfer``. A repeat changes nothing.

        Raises ``ValueError`` for a name that no message can carry.
        """

    def release(self, now: int, resource: str) -> None:
        """Give up a lease, or the attempt at it; it ends here at once, and the voters are notified."""

    def transfer(self, now: int, resource: str, to: str) -> bool:
        """Begin to transfer a lease to another gateway; whether that began. Its end comes as a ``LeaseEvent``.

        If the successor does not take it within the overlap, it stays or ends here: never both hold it for longer.
        """

    def epoch(self, now: int, resource: str) -> int | None:
        """The epoch under which it is held here at this very time, a fencing token; None: it is not held.

        Ask before each use.
        """

    def offered(self, prefix: str) -> list[tuple[str, str]]:
        """Resources (whose names begin so) that others offer to this gateway: name, from whom; taken off.

        ``acquire`` takes one up.
        """

    def take_events(self, prefix: str) -> list[LeaseEvent]:
        """What became of resources whose names begin so, since the last call; taken off."""

    def holder(self, resource: str) -> tuple[str, int] | None:
        """Who held it last as far as is known here, and under which epoch: a hint, never a proof."""
