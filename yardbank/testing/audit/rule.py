"""What each rule is made of: its bounds, its verdict, what a result code means, a fact as it is shown."""

from __future__ import annotations

from dataclasses import dataclass, field

from yardbank.testing.audit.record import Fact

BUSY, REFERRAL, SUCCESS = 51, 10, 0


@dataclass(slots=True, frozen=True)
class Bounds:
    """The figures behind the rules, in seconds."""

    answer_slack: float = 0.15  # beyond the deadline: the answer's way and the machine's own delays
    drain_grace: float = 0.5
    cold_multiple: float = 2.5
    cold_window: float = 1.5


@dataclass(slots=True)
class Rule:
    """One rule's verdict: how many cases were judged, and what was found against it."""

    title: str
    judged: int = 0
    found: list[str] = field(default_factory=list)

    @property
    def held(self) -> bool:
        """Whether nothing was found."""
        return not self.found


def frame(fact: Fact) -> str:
    """One fact in a line."""
    shown = {key: value for key, value in fact.items() if key not in ("at", "source")}
    return f"{fact['at']:.3f} {shown}"


def outcome(code: int) -> str:
    """What a result code means for the client: served, refused or failed."""
    return "refused" if code == BUSY else "failed" if code in (1, 3, 52, 80) else "served"
