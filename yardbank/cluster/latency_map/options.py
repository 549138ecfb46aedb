"""Options and bounds of the latency map. Times in nanoseconds."""

from __future__ import annotations

from dataclasses import dataclass

SECOND = 1_000_000_000
LEAST, MOST = 1_000, 10 * SECOND  # bounds of a round trip; what lies beyond is not taken
MAX_ZONES = 32  # on the map; beyond, those later by name are left out, and counted


@dataclass(slots=True, frozen=True)
class Options:
    """The settings' ``atlas`` block. Raises ``ValueError`` where it does not fit together."""

    max_age: int = 60 * SECOND  # older measurements and reports do not count (`life` in the settings)
    taken_up: int = 10 * SECOND  # a lasting change is taken within this, where round trips are frequent
    step: float = 0.1  # the part of the fleet's choices that moves in one second

    def __post_init__(self) -> None:
        if self.taken_up < SECOND or not 2 * self.taken_up <= self.max_age <= 120 * SECOND:
            raise ValueError("atlas: taken_up is under 1 s, or life not between twice taken_up and 2 min")
        if not 0 < self.step <= 1:
            raise ValueError(f"atlas: step is not above 0 and at most 1: {self.step}")

    @property
    def window(self) -> int:
        """Round trips of so long make one measurement: longer than a flap of 2 s up and 2 s down."""
        return self.taken_up * 6 // 10

    @property
    def hold(self) -> int:
        """A value that differs must do so for so long before it is taken."""
        return self.taken_up * 2 // 10


Pair = tuple[str, str]


def pair_of(one: str, other: str) -> Pair:
    """A pair of zones. A round trip goes in both directions, so the pair has no order."""
    return (one, other) if one <= other else (other, one)
