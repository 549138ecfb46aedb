"""Round trips that this gateway measured, by the other end's zone, on its own clock. No I/O.

A latency is no more than the fastest round trips: what is above them is the other end's work, a retransmitted packet, a
large answer before it. So of recent round trips a low quantile counts; the spread above it is reported too.

A gateway that is slow itself would add that to every latency. Three states of health (as in Lifeguard, DSN 2018, one's
own health is judged before others'): what is measured while slow is left out. Bounds: ``MAX_KEPT`` round trips of each
zone, none older than ``max_age``.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass
from enum import IntEnum
from itertools import islice, takewhile

from yardbank.cluster.latency_map.options import LEAST, MOST, SECOND, Options


class GatewayHealth(IntEnum):
    """How this gateway finds itself; the values cross in messages."""

    WELL = 0
    DOUBTFUL = 1
    SLOW = 2


NAMES = {health: health.name.lower() for health in GatewayHealth}
# From, by, to.
TABLE = (
    (GatewayHealth.WELL, "the failure detector finds this gateway slow", GatewayHealth.DOUBTFUL),
    (GatewayHealth.DOUBTFUL, "the failure detector finds it well", GatewayHealth.WELL),
    (
        GatewayHealth.WELL,
        "the tick is late, or all round trips are up together, the own zone's too",
        GatewayHealth.SLOW,
    ),
    (
        GatewayHealth.DOUBTFUL,
        "the tick is late, or all round trips are up together, the own zone's too",
        GatewayHealth.SLOW,
    ),
    (GatewayHealth.SLOW, "ticks in time, and round trips down again, or up for ``max_age``", GatewayHealth.WELL),
    (GatewayHealth.SLOW, "the same, and the failure detector finds this gateway slow", GatewayHealth.DOUBTFUL),
)
LATE = SECOND // 10  # of a tick: beyond, this gateway was stopped or starved
SLOTS = 48  # of a window; of each slot the fastest round trip is kept, so that many do not push out older ones
MAX_KEPT = 64  # of one zone
FRESH_COUNT = 3  # round trips in a window that make a measurement fresh
MIN_RISE = SECOND // 1000  # of all round trips together, or the own zone's round trip if that is more


@dataclass(slots=True)
class _Seen:
    at: int
    ns: int
    source: str  # the peer; "" a server


@dataclass(slots=True, frozen=True)
class Measurement:
    """The round trip to a zone as measured here, ns."""

    low: int
    spread: int  # from the low to the upper quartile
    seen_at: int  # the newest round trip in it
    fresh: bool  # enough of them in one window


class Measurements:
    """One gateway's own round trips, by the zone of the other end."""

    def __init__(self, options: Options) -> None:
        self.state: GatewayHealth = GatewayHealth.WELL
        self.odd = 0  # round trips out of range
        self.apart = 0  # round trips left out: measured while slow
        self._options = options
        self._zone = ""
        self._round_trips: dict[str, deque[_Seen]] = {}
        self._latest: dict[str, deque[tuple[int, int]]] = {}  # also what is left out: at, ns
        self._usual: dict[str, tuple[int, int]] = {}  # by zone: low and when, while not slow
        self._risen = False
        self._ticked = 0

    def listed(self, zone: str, zones: Mapping[str, str]) -> None:
        """The list has changed: drop round trips to peers that moved to another zone; all if this gateway moved."""
        if zone != self._zone:
            self._zone, self._round_trips, self._latest, self._usual = zone, {}, {}, {}
            self._risen = False
        for name, seen in list(self._round_trips.items()):
            kept = [one for one in seen if not one.source or zones.get(one.source) == name]
            self._round_trips[name] = deque(kept, MAX_KEPT)

    def saw(self, now: int, zone: str, ns: int, source: str = "") -> None:
        """A round trip of ``ns``; ``source``: the peer, "" for a server."""
        if not LEAST <= ns <= MOST:
            self.odd += 1
            return
        self._latest.setdefault(zone, deque(maxlen=16)).append((now, ns))
        if self.state == GatewayHealth.SLOW:
            self.apart += 1
            return
        seen = self._round_trips.setdefault(zone, deque(maxlen=MAX_KEPT))
        slot = self._options.window // SLOTS
        if seen and seen[-1].at // slot == now // slot:
            if ns < seen[-1].ns:
                seen[-1].ns, seen[-1].source = ns, source
            return
        seen.append(_Seen(now, ns, source))

    def ticked(self, now: int, late: int, slowness: int) -> None:
        """A second has passed: judge this gateway's health; ``late``: by how much the tick was, ns."""
        stopped = late > LATE
        risen = self._rise(now)
        if (stopped or risen) and self.state != GatewayHealth.SLOW:
            for zone, seen in self._round_trips.items():  # what came while it was not noticed yet
                usual = self._usual.get(zone, (MOST, 0))[0] + self._bound() // 2
                while seen and (seen[-1].at >= self._ticked if stopped else seen[-1].ns > usual):
                    seen.pop()
                    self.apart += 1
        if stopped or risen:
            self.state = GatewayHealth.SLOW
        elif slowness:
            self.state = GatewayHealth.DOUBTFUL
        else:
            self.state = GatewayHealth.WELL
        self._ticked = now
        max_age = self._options.max_age
        self._round_trips = {
            zone: seen for zone, seen in self._round_trips.items() if seen and now - seen[-1].at < max_age
        }
        self._latest = {zone: seen for zone, seen in self._latest.items() if now - seen[-1][0] < max_age}
        if self.state != GatewayHealth.SLOW:
            self._usual.update({zone: (figure.low, now) for zone, figure in self.row(now).items()})
        self._usual = {zone: one for zone, one in self._usual.items() if now - one[1] < max_age}

    def _rise(self, now: int) -> bool:
        """Whether all recent round trips, the own zone's among them, are up together."""
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
        """How far all round trips must be up, ns."""
        return max(MIN_RISE, self._usual.get(self._zone, (0, 0))[0])

    def row(self, now: int) -> dict[str, Measurement]:
        """Each zone's round trip as measured here."""
        found = {}
        since, oldest = now - self._options.window, now - self._options.max_age
        for zone, seen in self._round_trips.items():
            times = [one.ns for one in takewhile(lambda one: one.at >= since, reversed(seen))]
            fresh = len(times) >= FRESH_COUNT
            if not fresh:
                times = [one.ns for one in islice(reversed(seen), FRESH_COUNT) if one.at > oldest]
            if times:
                times.sort()
                low = times[len(times) // 6]
                found[zone] = Measurement(low, times[len(times) * 3 // 4] - low, seen[-1].at, fresh)
        return found
