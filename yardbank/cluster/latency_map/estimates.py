"""The estimates of one gateway: the round trip between every pair of zones, its basis, and its changes. No I/O.

A value that differs is taken once it has differed for a while, so that a latency that flaps is not followed. A pair
that nobody measured is estimated by the shortest way through a third zone, and marked so. Bound: ``MAX_ZONES``.
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
    """What an estimate rests on."""

    UNKNOWN = 0
    ESTIMATED = 1  # the shortest way through a third zone
    MEASURED = 2  # reports of gateways that measured it


NAMES = {Basis.UNKNOWN: "unknown", Basis.ESTIMATED: "estimated", Basis.MEASURED: "seen"}  # in view and log
# From, by, to.
TABLE = (
    (Basis.UNKNOWN, "witnesses", Basis.MEASURED),
    (Basis.UNKNOWN, "measured latencies by way of a third zone", Basis.ESTIMATED),
    (Basis.ESTIMATED, "witnesses", Basis.MEASURED),
    (Basis.ESTIMATED, "no third zone any more", Basis.UNKNOWN),
    (Basis.MEASURED, "no witness for ``max_age``, but a third zone", Basis.ESTIMATED),
    (Basis.MEASURED, "no witness for ``max_age``", Basis.UNKNOWN),
)
SAME_PART = 0.12  # values that differ by a smaller part are the same
SAME_NS = 500_000  # or by less than so many ns
FOLLOW = 4  # such small differences are followed: by a fourth of them each second
FADE = 8  # a spread rises at once, and falls by an eighth each second


def differs(one: int, other: int, part: float = SAME_PART, little: int = SAME_NS) -> bool:
    """Whether two latencies (ns) are not the same: by more than the part, and than ``little``."""
    return abs(one - other) > max(part * min(one, other), little)


@dataclass(slots=True, frozen=True)
class EstimateChange:
    """An estimate has changed: for the log. ``ns`` is None where nothing is known any more."""

    pair: Pair
    ns: int | None
    how: str


@dataclass(slots=True)
class Estimate:
    """The round trip between one pair of zones; times in ns."""

    value: int = 0
    spread: int = 0
    seen_at: int = 0
    witnesses: int = 0
    how: Basis = Basis.UNKNOWN
    since: int = 0  # reports differ from the value, up or down, from then on; 0: they do not
    upwards: bool = False
    last_logged: int = 0  # the value that was last given out as a change

    def take(self, now: int, agreed: Consensus, hold: int) -> bool:
        """Take what the reports agree on; whether there is a change to log."""
        self.spread = max(agreed.spread, self.spread - self.spread // FADE)
        self.seen_at, self.witnesses = agreed.seen_at, agreed.witnesses
        if self.how != Basis.MEASURED:
            self.value = agreed.value
            self.how = Basis.MEASURED
            self.since = 0
            self.last_logged = self.value
            return True
        if not differs(agreed.value, self.value):
            self.value += (agreed.value - self.value) // FOLLOW
            self.since = 0
        elif not self.since or self.upwards != (agreed.value > self.value):
            self.since, self.upwards = now, agreed.value > self.value
        elif now - self.since >= hold:
            self.value, self.since = agreed.value, 0
        return self._to_log()

    def without(self, estimate: int | None) -> bool:
        """No report; whether there is a change to log."""
        before = self.how
        self.how = Basis.UNKNOWN if estimate is None else Basis.ESTIMATED
        self.value = estimate or 0
        self.spread = self.seen_at = self.witnesses = self.since = 0
        if self.how != before:
            self.last_logged = self.value
            return True
        return self._to_log()

    def change(self, pair: Pair) -> EstimateChange:
        """The present value as a change."""
        return EstimateChange(pair, None if self.how == Basis.UNKNOWN else self.value, NAMES[self.how])

    def _to_log(self) -> bool:
        if differs(self.value, self.last_logged):
            self.last_logged = self.value
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
        if estimate is not None and estimate.how != Basis.UNKNOWN:
            return estimate.value
        return 0 if one == other else None

    def from_zone(self, zone: str) -> tuple[tuple[str, int, int], ...]:
        """Of each other zone that is known: the round trip beyond one within this zone, and the longest usual one."""
        inside = self.distance(zone, zone) or 0
        return tuple(
            (other, max(0, estimate.value - inside), estimate.value + estimate.spread)
            for other in self._zones
            if other != zone and (estimate := self.by[pair_of(zone, other)]).how != Basis.UNKNOWN
        )

    def prices(self) -> dict[tuple[str, str], int]:
        """What each way costs beyond one within the nearer of its ends, ns, in both directions."""
        found = {}
        for (one, other), estimate in self.by.items():
            if one != other and estimate.how != Basis.UNKNOWN:
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
                "age": round((now - estimate.seen_at) / SECOND, 1) if estimate.how == Basis.MEASURED else None,
                "witnesses": estimate.witnesses,
            }
            for (one, other), estimate in self.by.items()
            if estimate.how != Basis.UNKNOWN
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
            if estimate.how == Basis.MEASURED:
                self._seen.setdefault(one, {})[other] = estimate.value
                self._seen.setdefault(other, {})[one] = estimate.value
