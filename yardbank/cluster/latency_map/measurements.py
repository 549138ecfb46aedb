"""What this gateway sees of ways itself: round trips by the other end's zone, on its own clock. No I/O.

A way costs no more than the fastest round trips over it: what is above them is the other end's work, a lost packet
sent again, a large answer before it. So of what was seen lately a low quantile counts; the spread above it is told too.

A gateway that is slow itself would put that on every way. Three states (as in Lifeguard, DSN 2018, one's own health is
judged before others'): what is seen while ``SLOW`` stands apart and is on no way.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass
from itertools import islice, takewhile

from yardbank.cluster.latency_map.options import LEAST, MOST, SECOND, Options

WELL, DOUBTFUL, SLOW = 0, 1, 2
NAMES = {WELL: "well", DOUBTFUL: "doubtful", SLOW: "slow"}
# From, by, to.
TABLE = (
    (WELL, "the link finds this gateway slow", DOUBTFUL),
    (DOUBTFUL, "the link finds it well", WELL),
    (WELL, "the tick is late, or all ways are up together, the own zone's too", SLOW),
    (DOUBTFUL, "the tick is late, or all ways are up together, the own zone's too", SLOW),
    (SLOW, "ticks in time, and ways down again, or up for a life", WELL),
    (SLOW, "the same, and the link finds this gateway slow", DOUBTFUL),
)
LATE = SECOND // 10  # of a tick: beyond, this gateway was stopped or starved
SLOTS = 48  # of a window; of each the fastest round trip is kept, so that many do not push out older ones
MAX_KEPT = 64  # of one zone
FEW = 3  # round trips that make an estimate fresh
RISE = SECOND // 1000  # of all ways together: at least so much, and as much as the own zone's way


@dataclass(slots=True)
class _Seen:
    at: int
    ns: int
    source: str  # the peer; "" a server


@dataclass(slots=True, frozen=True)
class Measurement:
    """A way as it is seen here."""

    low: int
    spread: int  # from the low to the upper quartile
    seen_at: int  # the newest round trip in it
    fresh: bool  # enough of them in one window


class Measurements:
    """One gateway's own round trips."""

    def __init__(self, options: Options) -> None:
        self.state = WELL
        self.odd = 0  # not taken: out of range
        self.apart = 0  # not put on a way: seen while slow
        self._options = options
        self._zone = ""
        self._ways: dict[str, deque[_Seen]] = {}
        self._latest: dict[str, deque[tuple[int, int]]] = {}  # also what stands apart: at, ns
        self._usual: dict[str, tuple[int, int]] = {}  # by zone: low and when, while not slow
        self._risen = False
        self._ticked = 0

    def listed(self, zone: str, zones: Mapping[str, str]) -> None:
        """The list has changed: what was seen of a peer that stands elsewhere now is no zone's; oneself likewise."""
        if zone != self._zone:
            self._zone, self._ways, self._latest, self._usual = zone, {}, {}, {}
            self._risen = False
        for name, seen in list(self._ways.items()):
            kept = [one for one in seen if not one.source or zones.get(one.source) == name]
            self._ways[name] = deque(kept, MAX_KEPT)

    def saw(self, now: int, zone: str, ns: int, source: str = "") -> None:
        """A round trip."""
        if not LEAST <= ns <= MOST:
            self.odd += 1
            return
        self._latest.setdefault(zone, deque(maxlen=16)).append((now, ns))
        if self.state == SLOW:
            self.apart += 1
            return
        seen = self._ways.setdefault(zone, deque(maxlen=MAX_KEPT))
        slot = self._options.window // SLOTS
        if seen and seen[-1].at // slot == now // slot:
            if ns < seen[-1].ns:
                seen[-1].ns, seen[-1].source = ns, source
            return
        seen.append(_Seen(now, ns, source))

    def ticked(self, now: int, late: int, slowness: int) -> None:
        """A second has passed: how this gateway is; ``late``: by how much the tick was."""
        stopped = late > LATE
        risen = self._rise(now)
        if (stopped or risen) and self.state != SLOW:
            for zone, seen in self._ways.items():  # what came while it was not noticed yet
                usual = self._usual.get(zone, (MOST, 0))[0] + self._bound() // 2
                while seen and (seen[-1].at >= self._ticked if stopped else seen[-1].ns > usual):
                    seen.pop()
                    self.apart += 1
        self.state = SLOW if stopped or risen else DOUBTFUL if slowness else WELL
        self._ticked = now
        max_age = self._options.max_age
        self._ways = {zone: seen for zone, seen in self._ways.items() if seen and now - seen[-1].at < max_age}
        self._latest = {zone: seen for zone, seen in self._latest.items() if now - seen[-1][0] < max_age}
        if self.state != SLOW:
            self._usual.update({zone: (figure.low, now) for zone, figure in self.row(now).items()})
        self._usual = {zone: one for zone, one in self._usual.items() if now - one[1] < max_age}

    def _rise(self, now: int) -> bool:
        """Whether all ways seen lately, the own zone's among them, are up together."""
        rises = {}
        since = now - self._options.window // 2
        for zone, seen in self._latest.items():
            if zone in self._usual and seen[-1][0] >= since:
                rises[zone] = min(ns for at, ns in seen if at >= since) - self._usual[zone][0]
        if self._zone not in rises or len(rises) < 2:
            self._risen = self._risen and self._zone in self._usual  # nothing new to judge by
            return self._risen
        self._risen = min(rises.values()) > (self._bound() // 2 if self._risen else self._bound())
        return self._risen

    def _bound(self) -> int:
        """How far all ways must be up."""
        return max(RISE, self._usual.get(self._zone, (0, 0))[0])

    def row(self, now: int) -> dict[str, Measurement]:
        """Each zone's way as it is seen here."""
        found = {}
        since, oldest = now - self._options.window, now - self._options.max_age
        for zone, seen in self._ways.items():
            times = [one.ns for one in takewhile(lambda one: one.at >= since, reversed(seen))]
            fresh = len(times) >= FEW
            if not fresh:
                times = [one.ns for one in islice(reversed(seen), FEW) if one.at > oldest]
            if times:
                times.sort()
                low = times[len(times) // 6]
                found[zone] = Measurement(low, times[len(times) * 3 // 4] - low, seen[-1].at, fresh)
        return found
