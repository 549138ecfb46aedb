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
    overlap: int = 500_000_000  # of two holders, at a planned handing on
    voters: int = 3

    def __post_init__(self) -> None:
        if self.term <= 0 or not 0 <= self.drift <= 0.2 or not 0 < 2 * self.overlap <= self.term or self.voters < 1:
            raise ValueError(f"terms of leases do not fit together: {self}")

    def held(self) -> int:
        """How long the holder may go on after it asked, by its own clock."""
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
        """Try to get it, and keep it once it is had, until ``release`` or ``transfer``. Again: no change."""

    def release(self, now: int, resource: str) -> None:
        """Want it no more; whoever holds it here ends at once, and the voters are told."""

    def transfer(self, now: int, resource: str, to: str) -> bool:
        """Begin to hand it to another gateway; whether that began. Its end comes as a ``LeaseEvent``.

        If the other does not take it within the overlap, it stays here, or ends here: never both hold it for longer.
        """

    def epoch(self, now: int, resource: str) -> int | None:
        """The epoch under which it is held here at this very time; None: it is not. Ask before each use."""

    def offered(self, prefix: str) -> list[tuple[str, str]]:
        """Resources (whose names begin so) that others hand on to this gateway: name, from whom; taken off.

        ``acquire`` takes one up.
        """

    def turns(self, prefix: str) -> list[LeaseEvent]:
        """What happened to resources whose names begin so, since this was asked last; taken off."""

    def holder(self, resource: str) -> tuple[str, int] | None:
        """Who held it last as far as is known here, and under which epoch: a hint, never a proof."""
