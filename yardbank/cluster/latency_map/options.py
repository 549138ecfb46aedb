"""Options and bounds of the latency map. Times in nanoseconds."""

from __future__ import annotations

from dataclasses import dataclass

SECOND = 1_000_000_000
MIN_ROUND_TRIP, MAX_ROUND_TRIP = 1_000, 10 * SECOND  # bounds of a round trip; values outside are rejected
MAX_ZONES = 32  # zones on the map; beyond that, zones later by name are left out and counted


@dataclass(slots=True, frozen=True)
class Options:
    """The settings' ``atlas`` block. Raises ``ValueError`` for values that are out of range or inconsistent."""

    max_age: int = 60 * SECOND  # older measurements and reports are ignored (`life` in the settings)
    taken_up: int = 10 * SECOND  # time to adopt a lasting change, where round trips are frequent
    step: float = 0.1  # the part of the fleet's choices that may move in one second

    def __post_init__(self) -> None:
        if self.taken_up < SECOND or not 2 * self.taken_up <= self.max_age <= 120 * SECOND:
            raise ValueError("atlas: taken_up must be at least 1 s, and life between twice taken_up and 2 min")
        if not 0 < self.step <= 1:
            raise ValueError(f"atlas: step must be above 0 and at most 1, not {self.step}")

    @property
    def window(self) -> int:
        """Round trips of this period make one measurement; longer than a cycle of 2 s up and 2 s down."""
        return self.taken_up * 6 // 10

    @property
    def hold(self) -> int:
        """Time for which a value must differ before it is adopted."""
        return self.taken_up * 2 // 10


Pair = tuple[str, str]


def pair_of(one: str, other: str) -> Pair:
    """A pair of zones. A round trip covers both directions, so the pair is unordered."""
    return (one, other) if one <= other else (other, one)
