"""Round trips that this gateway measured, by the zone of the other end, on its own clock. No I/O.

The latency of a path shows in the fastest round trips; anything above them is processing time at the other end, a
retransmitted packet, or a large answer queued before. So the measurement is a low quantile of recent round trips; the
spread above it is reported too.

A gateway that is slow itself would add its delay to every latency. Its health has three states (as in Lifeguard, DSN
2018, a gateway judges its own health before that of others); round trips measured while slow are discarded. Bounds:
``MAX_ROUND_TRIPS_PER_ZONE`` round trips per zone, none older than ``max_age``.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass
from enum import IntEnum
from itertools import islice, takewhile

from yardbank.cluster.latency_map.options import MAX_ROUND_TRIP, MIN_ROUND_TRIP, SECOND, Options


class GatewayHealth(IntEnum):
    """This gateway's own health; the values are sent in messages."""

    WELL = 0
    DOUBTFUL = 1
    SLOW = 2


HEALTH_NAMES = {health: health.name.lower() for health in GatewayHealth}
# From, cause, to.
TRANSITIONS = (
    (GatewayHealth.WELL, "the failure detector finds this gateway slow", GatewayHealth.DOUBTFUL),
    (GatewayHealth.DOUBTFUL, "the failure detector finds it healthy", GatewayHealth.WELL),
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
    (GatewayHealth.SLOW, "ticks on time, and round trips down again, or up for ``max_age``", GatewayHealth.WELL),
    (GatewayHealth.SLOW, "the same, and the failure detector finds this gateway slow", GatewayHealth.DOUBTFUL),
)
MAX_TICK_DELAY = SECOND // 10  # a tick later than this means that the process was stopped or starved
SLOTS_PER_WINDOW = 48  # only the fastest round trip per slot is kept, so that a burst does not evict older ones
MAX_ROUND_TRIPS_PER_ZONE = 64
MIN_FRESH_COUNT = 3  # round trips within a window for a measurement to count as fresh
MIN_RISE = SECOND // 1000  # least joint rise that counts as slowness; the own zone's round trip if that is more


@dataclass(slots=True)
class _RoundTrip:
    at: int
    ns: int
    source: str  # the peer; "" for a server


@dataclass(slots=True, frozen=True)
class Measurement:
    """The round trip to a zone as measured by this gateway, in ns."""

    low: int
    spread: int  # from ``low`` to the upper quartile
    measured_at: int  # when the newest round trip was measured
    fresh: bool  # whether one window held enough round trips


class Measurements:
    """This gateway's own round trips, by the zone of the other end."""

    def __init__(self, options: Options) -> None:
        self.health: GatewayHealth = GatewayHealth.WELL
        self.out_of_range = 0  # round trips outside the accepted range
        self.discarded = 0  # round trips discarded because they were measured while slow
        self._options = options
        self._zone = ""
        self._round_trips: dict[str, deque[_RoundTrip]] = {}
        self._latest: dict[str, deque[tuple[int, int]]] = {}  # (at, ns), including discarded ones
        self._baselines: dict[str, tuple[int, int]] = {}  # by zone: (low, when) while not slow
        self._all_risen = False
        self._last_tick = 0

    def listed(self, zone: str, zones: Mapping[str, str]) -> None:
        """The list has changed: drop round trips to peers that moved to another zone; all if this gateway moved."""
        if zone != self._zone:
            self._zone, self._round_trips, self._latest, self._baselines = zone, {}, {}, {}
            self._all_risen = False
        for name, round_trips in list(self._round_trips.items()):
            kept = [one for one in round_trips if not one.source or zones.get(one.source) == name]
            self._round_trips[name] = deque(kept, MAX_ROUND_TRIPS_PER_ZONE)

    def record(self, now: int, zone: str, ns: int, source: str = "") -> None:
        """Record a round trip of ``ns``; ``source`` is the peer, "" for a server."""
        if not MIN_ROUND_TRIP <= ns <= MAX_ROUND_TRIP:
            self.out_of_range += 1
            return
        self._latest.setdefault(zone, deque(maxlen=16)).append((now, ns))
        if self.health == GatewayHealth.SLOW:
            self.discarded += 1
            return
        round_trips = self._round_trips.setdefault(zone, deque(maxlen=MAX_ROUND_TRIPS_PER_ZONE))
        slot = self._options.window // SLOTS_PER_WINDOW
        if round_trips and round_trips[-1].at // slot == now // slot:
            if ns < round_trips[-1].ns:
                round_trips[-1].ns, round_trips[-1].source = ns, source
            return
        round_trips.append(_RoundTrip(now, ns, source))

    def on_tick(self, now: int, tick_delay: int, slowness: int) -> None:
        """Called each second: judge this gateway's health; ``tick_delay``: how late the tick was, in ns."""
        stalled = tick_delay > MAX_TICK_DELAY
        all_risen = self._update_all_risen(now)
        if (stalled or all_risen) and self.health != GatewayHealth.SLOW:
            for zone, round_trips in self._round_trips.items():  # measured before the slowness was detected
                discard_above = self._baselines.get(zone, (MAX_ROUND_TRIP, 0))[0] + self._rise_threshold() // 2
                while round_trips and (
                    round_trips[-1].at >= self._last_tick if stalled else round_trips[-1].ns > discard_above
                ):
                    round_trips.pop()
                    self.discarded += 1
        if stalled or all_risen:
            self.health = GatewayHealth.SLOW
        elif slowness:
            self.health = GatewayHealth.DOUBTFUL
        else:
            self.health = GatewayHealth.WELL
        self._last_tick = now
        max_age = self._options.max_age
        self._round_trips = {
            zone: round_trips
            for zone, round_trips in self._round_trips.items()
            if round_trips and now - round_trips[-1].at < max_age
        }
        self._latest = {
            zone: round_trips for zone, round_trips in self._latest.items() if now - round_trips[-1][0] < max_age
        }
        if self.health != GatewayHealth.SLOW:
            self._baselines.update({zone: (figure.low, now) for zone, figure in self.row(now).items()})
        self._baselines = {zone: one for zone, one in self._baselines.items() if now - one[1] < max_age}

    def _update_all_risen(self, now: int) -> bool:
        """Whether all recent round trips, including the own zone's, are up together."""
        rises = {}
        since = now - self._options.window // 2
        for zone, round_trips in self._latest.items():
            if zone in self._baselines and round_trips[-1][0] >= since:
                rises[zone] = min(ns for at, ns in round_trips if at >= since) - self._baselines[zone][0]
        if self._zone not in rises or len(rises) < 2:
            # Without new data the last result stands while there is a baseline.
            self._all_risen = self._all_risen and self._zone in self._baselines
            return self._all_risen
        self._all_risen = min(rises.values()) > (
            self._rise_threshold() // 2 if self._all_risen else self._rise_threshold()
        )
        return self._all_risen

    def _rise_threshold(self) -> int:
        """How far all round trips must be up, in ns."""
        return max(MIN_RISE, self._baselines.get(self._zone, (0, 0))[0])

    def row(self, now: int) -> dict[str, Measurement]:
        """The measured round trip to each zone."""
        found = {}
        since, oldest = now - self._options.window, now - self._options.max_age
        for zone, round_trips in self._round_trips.items():
            times = [one.ns for one in takewhile(lambda one: one.at >= since, reversed(round_trips))]
            fresh = len(times) >= MIN_FRESH_COUNT
            if not fresh:
                times = [one.ns for one in islice(reversed(round_trips), MIN_FRESH_COUNT) if one.at > oldest]
            if times:
                times.sort()
                low = times[len(times) // 6]
                found[zone] = Measurement(low, times[len(times) * 3 // 4] - low, round_trips[-1].at, fresh)
        return found
