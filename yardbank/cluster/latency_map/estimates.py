"""One gateway's estimates of the round trip between every pair of zones: value, basis and changes. No I/O.

A new value is adopted only after it has differed for a while, so a flapping latency is not followed. A pair without
reports is estimated by the shortest path through a third zone, and marked as estimated. At most ``MAX_ZONES`` zones.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from enum import IntEnum
from typing import Any

from yardbank.cluster.latency_map.options import SECOND, Pair, pair_of
from yardbank.cluster.latency_map.reports import Consensus

MS = 1_000_000


class Basis(IntEnum):
    """The basis of an estimate."""

    UNKNOWN = 0
    ESTIMATED = 1  # the shortest path through a third zone
    MEASURED = 2  # reports of gateways that measured it


# As shown in the view and the log.
BASIS_NAMES = {Basis.UNKNOWN: "unknown", Basis.ESTIMATED: "estimated", Basis.MEASURED: "seen"}
# From, cause, to.
TRANSITIONS = (
    (Basis.UNKNOWN, "reports", Basis.MEASURED),
    (Basis.UNKNOWN, "measured latencies to and from a third zone", Basis.ESTIMATED),
    (Basis.ESTIMATED, "reports", Basis.MEASURED),
    (Basis.ESTIMATED, "no third zone any more", Basis.UNKNOWN),
    (Basis.MEASURED, "no report for ``max_age``, but a third zone", Basis.ESTIMATED),
    (Basis.MEASURED, "no report for ``max_age``", Basis.UNKNOWN),
)
SAME_RATIO = 0.12  # values that differ by a smaller ratio count as equal
SAME_NS = 500_000  # as do values that differ by fewer ns
SMOOTHING_DIVISOR = 4  # small differences are smoothed: a fourth is adopted per second
SPREAD_DECAY_DIVISOR = 8  # a spread rises at once and falls by an eighth per second


def differs(one: int, other: int, ratio: float = SAME_RATIO, min_difference: int = SAME_NS) -> bool:
    """Whether two latencies (ns) differ by more than both the ratio and ``min_difference``."""
    return abs(one - other) > max(ratio * min(one, other), min_difference)


@dataclass(slots=True, frozen=True)
class EstimateChange:
    """A changed estimate, for the log. ``ns`` is None if the pair has become unknown."""

    pair: Pair
    ns: int | None
    basis: str


@dataclass(slots=True)
class Estimate:
    """The round trip between one pair of zones; times in ns."""

    value: int = 0
    spread: int = 0
    measured_at: int = 0
    witnesses: int = 0
    basis: Basis = Basis.UNKNOWN
    differs_since: int = 0  # since when reports differ in one direction; 0: they do not
    differs_upwards: bool = False
    last_logged: int = 0  # the value last reported as a change

    def update(self, now: int, agreed: Consensus, hold: int) -> bool:
        """Update from the consensus of reports; returns whether there is a change to log."""
        self.spread = max(agreed.spread, self.spread - self.spread // SPREAD_DECAY_DIVISOR)
        self.measured_at, self.witnesses = agreed.measured_at, agreed.witnesses
        if self.basis != Basis.MEASURED:
            self.value = agreed.value
            self.basis = Basis.MEASURED
            self.differs_since = 0
            self.last_logged = self.value
            return True
        if not differs(agreed.value, self.value):
            self.value += (agreed.value - self.value) // SMOOTHING_DIVISOR
            self.differs_since = 0
        elif not self.differs_since or self.differs_upwards != (agreed.value > self.value):
            self.differs_since, self.differs_upwards = now, agreed.value > self.value
        elif now - self.differs_since >= hold:
            self.value, self.differs_since = agreed.value, 0
        return self._to_log()

    def update_without_reports(self, estimate: int | None) -> bool:
        """Update without reports, from a detour if there is one; returns whether to log a change."""
        before = self.basis
        self.basis = Basis.UNKNOWN if estimate is None else Basis.ESTIMATED
        self.value = estimate or 0
        self.spread = self.measured_at = self.witnesses = self.differs_since = 0
        if self.basis != before:
            self.last_logged = self.value
            return True
        return self._to_log()

    def as_change(self, pair: Pair) -> EstimateChange:
        """The current value as a change."""
        return EstimateChange(pair, None if self.basis == Basis.UNKNOWN else self.value, BASIS_NAMES[self.basis])

    def _to_log(self) -> bool:
        if differs(self.value, self.last_logged):
            self.last_logged = self.value
            return True
        return False


class Estimates:
    """Estimates of all pairs of known zones."""

    def __init__(self) -> None:
        self.by_pair: dict[Pair, Estimate] = {}
        self._zones: Sequence[str] = ()
        self._measured: dict[str, dict[str, int]] = {}

    def set_zones(self, zones: Iterable[str]) -> None:
        """Set the known zones."""
        self._zones = sorted(zones)
        pairs = {pair_of(a, b) for a in self._zones for b in self._zones}
        self.by_pair = {pair: self.by_pair.get(pair) or Estimate() for pair in sorted(pairs)}

    def round_trip(self, one: str, other: str) -> int | None:
        """The round trip between two zones; None if unknown. Within one zone, 0 if unknown."""
        estimate = self.by_pair.get(pair_of(one, other))
        if estimate is not None and estimate.basis != Basis.UNKNOWN:
            return estimate.value
        return 0 if one == other else None

    def from_zone(self, zone: str) -> tuple[tuple[str, int, int], ...]:
        """For each other known zone: the round trip beyond one within this zone, and the longest usual one."""
        within_zone = self.round_trip(zone, zone) or 0
        return tuple(
            (other, max(0, estimate.value - within_zone), estimate.value + estimate.spread)
            for other in self._zones
            if other != zone and (estimate := self.by_pair[pair_of(zone, other)]).basis != Basis.UNKNOWN
        )

    def prices(self) -> dict[tuple[str, str], int]:
        """The cost of each pair beyond a round trip within the nearer of its zones, in ns, in both directions."""
        found = {}
        for (one, other), estimate in self.by_pair.items():
            if one != other and estimate.basis != Basis.UNKNOWN:
                within_zone = min(self.round_trip(one, one) or 0, self.round_trip(other, other) or 0)
                found[one, other] = found[other, one] = max(0, estimate.value - within_zone)
        return found

    def view(self, now: int) -> list[dict[str, Any]]:
        """Every known pair, as plain values; times in ms, ages in seconds."""
        return [
            {
                "from": one,
                "to": other,
                "ms": round(estimate.value / MS, 3),
                "spread": round(estimate.spread / MS, 3),
                "how": BASIS_NAMES[estimate.basis],
                "age": round((now - estimate.measured_at) / SECOND, 1) if estimate.basis == Basis.MEASURED else None,
                "witnesses": estimate.witnesses,
            }
            for (one, other), estimate in self.by_pair.items()
            if estimate.basis != Basis.UNKNOWN
        ]

    def detour_bounds(self, pair: Pair) -> tuple[int, int] | None:
        """The bounds that paths through third zones put on a pair; None without such paths.

        The upper bound is the shortest sum of two legs; the lower bound is the largest difference of two
        legs, at most the upper bound.
        """
        if pair[0] == pair[1]:
            return None
        one, other = (self._measured.get(end, {}) for end in pair)
        third_zones = one.keys() & other.keys() - {*pair}
        if not third_zones:
            return None
        upper = min(one[third_zone] + other[third_zone] for third_zone in third_zones)
        return min(upper, max(abs(one[third_zone] - other[third_zone]) for third_zone in third_zones)), upper

    def snapshot_measured(self) -> None:
        """Take the measured values that ``detour_bounds`` uses until the next call."""
        self._measured = {}
        for (one, other), estimate in self.by_pair.items():
            if estimate.basis == Basis.MEASURED:
                self._measured.setdefault(one, {})[other] = estimate.value
                self._measured.setdefault(other, {})[one] = estimate.value
