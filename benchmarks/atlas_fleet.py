"""A simulated fleet for the latency map: gateways in zones with given round trips, with or without server probes."""

from __future__ import annotations

from collections.abc import Mapping
from random import Random

from yardbank.cluster.latency_map.options import SECOND, Options, Pair, pair_of
from yardbank.cluster.latency_map.part import LatencyMapPart
from yardbank.cluster.peers.node import GossipNode
from yardbank.testing.rig.gossip import GossipFleet
from yardbank.testing.rig.network import Effect, pairs_of

MS = 1_000_000
SAME_ZONE_MS = 1.0  # ms, round trip within a zone
JITTER = 0.2  # added to a round trip, at most, as a share of it


def sites(count: int, seed: int = 1, extent: float = 80.0) -> dict[Pair, float]:
    """Return round trips in ms between random sites on a plane; each site has a height, its distance to the backbone."""
    random = Random(f"sites/{count}/{seed}")
    names = [f"z{number:02}" for number in range(count)]
    positions = {name: (random.uniform(0, extent), random.uniform(0, extent), random.uniform(0.5, 5)) for name in names}
    round_trips = {}
    for a in names:
        for b in names:
            (x, y, up), (u, v, down) = positions[a], positions[b]
            straight = ((x - u) ** 2 + (y - v) ** 2) ** 0.5
            round_trips[pair_of(a, b)] = SAME_ZONE_MS if a == b else straight * random.uniform(1.0, 1.4) + up + down
    return round_trips


class Fleet:
    """Gateways in zones with given round trips, with or without server probes."""

    def __init__(
        self,
        zones: Mapping[str, str],
        trips: Mapping[Pair, float],
        seed: int = 1,
        options: Options | None = None,
        probes: float = 0.0,
        jitter: float = JITTER,
    ) -> None:
        """``trips`` in ms; ``probes`` per second, from each gateway to servers of each zone in ``trips``."""
        self.trips, self.jitter, self.probes = dict(trips), jitter, probes
        self.zones, self._random = dict(zones), Random(f"fleet/{seed}")
        self.parts: dict[str, LatencyMapPart] = {}
        self.slow: dict[str, int] = {}  # delay that a gateway adds to all its measurements, ns

        def make_parts(node: GossipNode, random: Random) -> list[LatencyMapPart]:
            part = LatencyMapPart(node.membership_view, random, options)
            node.on_round_trip.append(part.record_peer_round_trip)
            self.parts[node.name] = part
            return [part]

        self.gossip = GossipFleet(zones, seed, way=Effect(), zones=zones, parts=make_parts)
        for pair in self.trips:
            self._apply_delay(pair)
        for name in zones:
            self.gossip.start(name)
            if probes:
                self._probe(name)

    def _apply_delay(self, pair: Pair) -> None:
        a, b = ([name for name, zone in self.zones.items() if zone == end] for end in pair)
        half = self.trips[pair] / 2000
        self.gossip.network.begin(f"way {pair}", pairs_of(a, b, False), Effect(delay=half, jitter=half * self.jitter))

    def change(self, one: str, other: str, trip: float) -> None:
        """Change the round trip between two zones, in ms."""
        self.trips[pair_of(one, other)] = trip
        self._apply_delay(pair_of(one, other))

    def _probe(self, name: str) -> None:
        """Report a round trip to a server of each zone, and schedule the next."""
        gossip = self.gossip
        if name in gossip.nodes and name not in gossip.paused:
            source_zone = self.zones[name]
            for target_zone in {zone for pair in self.trips for zone in pair}:
                trip = self.trips.get(pair_of(source_zone, target_zone))
                if trip is not None:
                    ns = round(trip * MS * (1 + self._random.uniform(0, self.jitter))) + self.slow.get(name, 0)
                    self.parts[name].record_server_round_trip(gossip.own(name), target_zone, ns, "probe")
        gossip.at(gossip.now + round(SECOND / self.probes * self._random.uniform(0.5, 1.5)), lambda: self._probe(name))

    def run(self, seconds: float) -> None:
        """Advance the clock."""
        self.gossip.run(self.gossip.now + round(seconds * SECOND))

    def figure(self, name: str, one: str, other: str) -> float | None:
        """Return one gateway's estimate between two zones, in ms."""
        ns = self.parts[name].round_trip(one, other)
        return None if ns is None else ns / MS

    def errors(self, own: bool) -> tuple[list[float], int]:
        """Return the relative errors of all gateways' estimates, and the number of missing ones."""
        relative_errors, unknown = [], 0
        for name, part in self.parts.items():
            for pair, trip in self.trips.items():
                if own == (self.zones[name] in pair) and pair[0] != pair[1]:
                    ns = part.round_trip(*pair)
                    if ns is None:
                        unknown += 1
                    else:
                        relative_errors.append(abs(ns / MS - trip) / trip)
        return relative_errors, unknown

    def taken_up(self, one: str, other: str, own: bool, part: float = 0.15) -> list[float]:
        """Return seconds until each gateway has adopted a new round trip; 120: never.

        ``own``: of the gateways in the two zones, or of all others.
        """
        began = self.gossip.now
        pending = {name for name in self.parts if (self.zones[name] in (one, other)) == own}
        times: list[float] = []
        while pending and self.gossip.now < began + 120 * SECOND:
            self.run(0.5)
            trip = self.trips[pair_of(one, other)]
            adopted = {n for n in pending if abs((self.figure(n, one, other) or 0.0) - trip) <= part * trip + 0.5}
            times += [(self.gossip.now - began) / SECOND] * len(adopted)
            pending -= adopted
        return times + [120.0] * len(pending)


def spread_over(gateways: int, trips: Mapping[Pair, float]) -> dict[str, str]:
    """Distribute gateways over the zones in turn."""
    zones = sorted({zone for pair in trips for zone in pair})
    return {f"g{number:03}": zones[number % len(zones)] for number in range(gateways)}
