"""How the map is kept. Times in nanoseconds."""

from __future__ import annotations

from dataclasses import dataclass

SECOND = 1_000_000_000
LEAST, MOST = 1_000, 10 * SECOND  # a round trip; what lies beyond is no way's
MAX_ZONES = 32  # on the map; beyond, those later by name are left out, and counted


@dataclass(slots=True, frozen=True)
class Options:
    """The settings' ``atlas`` block. Raises ``ValueError`` where it does not fit together."""

    max_age: int = 60 * SECOND  # so old, what was seen of a way counts no longer
    taken_up: int = 10 * SECOND  # a way that has changed for good is taken up within this, where it is seen often
    step: float = 0.1  # of the fleet's choice, that moves in one second

    def __post_init__(self) -> None:
        if self.taken_up < SECOND or not 2 * self.taken_up <= self.max_age <= 120 * SECOND:
            raise ValueError("atlas: taken_up is under 1 s, or life not between twice taken_up and 2 min")
        if not 0 < self.step <= 1:
            raise ValueError(f"atlas: step is not above 0 and at most 1: {self.step}")

    @property
    def window(self) -> int:
        """What is seen in so long is one estimate: longer than a flap of 2 s up and 2 s down."""
        return self.taken_up * 6 // 10

    @property
    def hold(self) -> int:
        """A figure that differs must do so for so long before it is believed."""
        return self.taken_up * 2 // 10


Pair = tuple[str, str]


def pair_of(one: str, other: str) -> Pair:
    """The way between two zones. A round trip goes both ways, so it has no direction."""
    return (one, other) if one <= other else (other, one)
