"""The map of one gateway: every pair's figure, how it is known, and when it changes. No I/O.

A figure that differs is believed once it has done so for a while, so that a way which flaps is not followed. Who has
been seen by nobody is worked out by the shortest way through a third zone, and marked so.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Any

from yardbank.cluster.latency_map.options import SECOND, Pair, pair_of
from yardbank.cluster.latency_map.reports import Consensus

MS = 1_000_000
UNKNOWN, ESTIMATED, SEEN = 0, 1, 2
NAMES = {UNKNOWN: "unknown", ESTIMATED: "estimated", SEEN: "seen"}
# From, by, to.
TABLE = (
    (UNKNOWN, "witnesses", SEEN),
    (UNKNOWN, "ways through a third zone", ESTIMATED),
    (ESTIMATED, "witnesses", SEEN),
    (ESTIMATED, "no third zone any more", UNKNOWN),
    (SEEN, "no witness for a life, but a third zone", ESTIMATED),
    (SEEN, "no witness for a life", UNKNOWN),
)
BAND, LITTLE = 0.12, 500_000  # what differs by less than this part, or so many ns, is the same
FOLLOW = 4  # such small differences are followed by a fourth of them a second
FADE = 8  # a spread is up at once, and down by an eighth a second


def differs(one: int, other: int, part: float = BAND, little: int = LITTLE) -> bool:
    """Whether two figures are not the same."""
    return abs(one - other) > max(part * min(one, other), little)


@dataclass(slots=True, frozen=True)
class EstimateChange:
    """A way's figure has changed: for the log. ``ns`` is None where nothing is known any more."""

    pair: Pair
    ns: int | None
    how: str


@dataclass(slots=True)
class Estimate:
    """One pair's figure."""

    value: int = 0
    spread: int = 0
    seen_at: int = 0
    witnesses: int = 0
    how: int = UNKNOWN
    since: int = 0  # the figure differs, upwards or downwards, from then on; 0: it does not
    upwards: bool = False
    told: int = 0  # the figure that was last told as a change

    def take(self, now: int, belief: Consensus, hold: int) -> bool:
        """Witnesses' figure, as of now; whether there is a change to tell."""
        self.spread = max(belief.spread, self.spread - self.spread // FADE)
        self.seen_at, self.witnesses = belief.seen_at, belief.witnesses
        if self.how != SEEN:
            self.value, self.how, self.since = belief.value, SEEN, 0
            self.told = self.value
            return True
        if not differs(belief.value, self.value):
            self.value += (belief.value - self.value) // FOLLOW
            self.since = 0
        elif not self.since or self.upwards != (belief.value > self.value):
            self.since, self.upwards = now, belief.value > self.value
        elif now - self.since >= hold:
            self.value, self.since = belief.value, 0
        return self._news()

    def without(self, estimate: int | None) -> bool:
        """No witness; whether there is a change to tell."""
        before = self.how
        self.how, self.value = (UNKNOWN, 0) if estimate is None else (ESTIMATED, estimate)
        self.spread = self.seen_at = self.witnesses = self.since = 0
        if self.how != before:
            self.told = self.value
            return True
        return self._news()

    def change(self, pair: Pair) -> EstimateChange:
        """As it is now."""
        return EstimateChange(pair, None if self.how == UNKNOWN else self.value, NAMES[self.how])

    def _news(self) -> bool:
        if differs(self.value, self.told):
            self.told = self.value
            return True
        return False


class Estimates:
    """All pairs of the zones that are known."""

    def __init__(self) -> None:
        self.by: dict[Pair, Estimate] = {}
        self._zones: Sequence[str] = ()
        self._seen: dict[str, dict[str, int]] = {}

    def listed(self, zones: Iterable[str]) -> None:
        """The zones there are."""
        self._zones = sorted(zones)
        wanted = {pair_of(a, b) for a in self._zones for b in self._zones}
        self.by = {pair: self.by.get(pair) or Estimate() for pair in sorted(wanted)}

    def distance(self, one: str, other: str) -> int | None:
        """The round trip between two zones, seen or estimated; None: not known. Within one that is not known: 0."""
        estimate = self.by.get(pair_of(one, other))
        if estimate is not None and estimate.how != UNKNOWN:
            return estimate.value
        return 0 if one == other else None

    def from_zone(self, zone: str) -> tuple[tuple[str, int, int], ...]:
        """Of each other zone that is known: the round trip beyond one within this zone, and the longest usual one."""
        inside = self.distance(zone, zone) or 0
        return tuple(
            (other, max(0, estimate.value - inside), estimate.value + estimate.spread)
            for other in self._zones
            if other != zone and (estimate := self.by[pair_of(zone, other)]).how != UNKNOWN
        )

    def prices(self) -> dict[tuple[str, str], int]:
        """What each way costs beyond one within the nearer of its ends, ns, in both directions."""
        found = {}
        for (one, other), estimate in self.by.items():
            if one != other and estimate.how != UNKNOWN:
                inside = min(self.distance(one, one) or 0, self.distance(other, other) or 0)
                found[one, other] = found[other, one] = max(0, estimate.value - inside)
        return found

    def view(self, now: int) -> list[dict[str, Any]]:
        """Every pair that is known, as plain values; times in ms, ages in seconds."""
        return [
            {
                "from": one,
                "to": other,
                "ms": round(estimate.value / MS, 3),
                "spread": round(estimate.spread / MS, 3),
                "how": NAMES[estimate.how],
                "age": round((now - estimate.seen_at) / SECOND, 1) if estimate.how == SEEN else None,
                "witnesses": estimate.witnesses,
            }
            for (one, other), estimate in self.by.items()
            if estimate.how != UNKNOWN
        ]

    def detour_bounds(self, pair: Pair) -> tuple[int, int] | None:
        """Between what the ways through third zones put a pair: the least and the most; None: there are none.

        The most is the shortest sum of two ways; the least the largest difference, as far as that stays below it.
        """
        if pair[0] == pair[1]:
            return None
        one, other = (self._seen.get(end, {}) for end in pair)
        thirds = one.keys() & other.keys() - {*pair}
        if not thirds:
            return None
        most = min(one[third] + other[third] for third in thirds)
        return min(most, max(abs(one[third] - other[third]) for third in thirds)), most

    def settle(self) -> None:
        """What is seen now is what ``detour_bounds`` goes by, until this is called again."""
        self._seen = {}
        for (one, other), estimate in self.by.items():
            if estimate.how == SEEN:
                self._seen.setdefault(one, {})[other] = estimate.value
                self._seen.setdefault(other, {})[one] = estimate.value
