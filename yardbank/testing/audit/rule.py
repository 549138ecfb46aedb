"""Types shared by the rules: their bounds, their verdicts, the meaning of result codes, the text of a fact."""

from __future__ import annotations

from dataclasses import dataclass, field

from yardbank.testing.audit.record import Fact

BUSY, REFERRAL, SUCCESS = 51, 10, 0


@dataclass(slots=True, frozen=True)
class Bounds:
    """Tolerances of the rules. Times in seconds; ``cold_multiple`` is a factor of the server's capacity."""

    answer_slack: float = 0.15  # allowed after the deadline for network transit and scheduling delays
    drain_grace: float = 0.5
    cold_multiple: float = 2.5
    cold_window: float = 1.5


@dataclass(slots=True)
class Rule:
    """The verdict on one rule: the number of cases checked and a text for each violation."""

    title: str
    judged: int = 0
    found: list[str] = field(default_factory=list)

    @property
    def held(self) -> bool:
        """Whether there was no violation."""
        return not self.found


def format_fact(fact: Fact) -> str:
    """Formats a fact as one line."""
    shown = {key: value for key, value in fact.items() if key not in ("at", "source")}
    return f"{fact['at']:.3f} {shown}"


def outcome(code: int) -> str:
    """Classifies a result code as served, refused or failed."""
    return "refused" if code == BUSY else "failed" if code in (1, 3, 52, 80) else "served"
