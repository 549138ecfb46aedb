"""A fleet of maps on the virtual clock: gateways in zones, ways of given round trips, servers asked or not."""

from __future__ import annotations

from collections.abc import Mapping
from random import Random

from yardbank.cluster.latency_map.options import SECOND, Options, Pair, pair_of
from yardbank.cluster.latency_map.part import LatencyMapPart
from yardbank.cluster.peers.node import GossipNode
from yardbank.testing.rig.gossip import GossipFleet
from yardbank.testing.rig.network import Effect, pairs_of

MS = 1_000_000
NEAR = 1.0  # ms, of a round trip within a zone
JITTER = 0.2  # of a way's round trip, on top of it


def sites(count: int, seed: int = 1, extent: float = 80.0) -> dict[Pair, float]:
    """Round trips in ms between sites on a plane, each with a height of its own (the way to the backbone)."""
    random = Random(f"sites/{count}/{seed}")
    names = [f"z{number:02}" for number in range(count)]
    places = {name: (random.uniform(0, extent), random.uniform(0, extent), random.uniform(0.5, 5)) for name in names}
    found = {}
    for a in names:
        for b in names:
            (x, y, up), (u, v, down) = places[a], places[b]
            straight = ((x - u) ** 2 + (y - v) ** 2) ** 0.5
            found[pair_of(a, b)] = NEAR if a == b else straight * random.uniform(1.0, 1.4) + up + down
    return found


class Fleet:
    """Gateways in zones, with ways of given round trips, servers seen or not."""

    def __init__(
        self,
        zones: Mapping[str, str],
        trips: Mapping[Pair, float],
        seed: int = 1,
        options: Options | None = None,
        probes: float = 0.0,
        jitter: float = JITTER,
    ) -> None:
        """``trips`` in ms; ``probes`` a second of each gateway at servers of each zone that ``trips`` names."""
        self.trips, self.jitter, self.probes = dict(trips), jitter, probes
        self.zones, self._random = dict(zones), Random(f"fleet/{seed}")
        self.parts: dict[str, LatencyMapPart] = {}
        self.slow: dict[str, int] = {}  # what a gateway adds itself to all it sees, ns

        def made(node: GossipNode, random: Random) -> list[LatencyMapPart]:
            part = LatencyMapPart(node.membership_view, random, options)
            node.on_round_trip.append(part.record_peer_round_trip)
            self.parts[node.name] = part
            return [part]

        self.gossip = GossipFleet(zones, seed, way=Effect(), zones=zones, parts=made)
        for pair in self.trips:
            self._lay(pair)
        for name in zones:
            self.gossip.start(name)
            if probes:
                self._probe(name)

    def _lay(self, pair: Pair) -> None:
        a, b = ([name for name, zone in self.zones.items() if zone == end] for end in pair)
        half = self.trips[pair] / 2000
        self.gossip.network.begin(f"way {pair}", pairs_of(a, b, False), Effect(delay=half, jitter=half * self.jitter))

    def change(self, one: str, other: str, trip: float) -> None:
        """A way has another round trip from now on, ms."""
        self.trips[pair_of(one, other)] = trip
        self._lay(pair_of(one, other))

    def _probe(self, name: str) -> None:
        """One more round trip to a server of each zone, and the next to come."""
        gossip = self.gossip
        if name in gossip.nodes and name not in gossip.paused:
            here = self.zones[name]
            for there in {zone for pair in self.trips for zone in pair}:
                trip = self.trips.get(pair_of(here, there))
                if trip is not None:
                    ns = round(trip * MS * (1 + self._random.uniform(0, self.jitter))) + self.slow.get(name, 0)
                    self.parts[name].record_server_round_trip(gossip.own(name), there, ns, "probe")
        gossip.at(gossip.now + round(SECOND / self.probes * self._random.uniform(0.5, 1.5)), lambda: self._probe(name))

    def run(self, seconds: float) -> None:
        """Let time pass."""
        self.gossip.run(self.gossip.now + round(seconds * SECOND))

    def figure(self, name: str, one: str, other: str) -> float | None:
        """A way as one gateway has it, ms."""
        ns = self.parts[name].round_trip(one, other)
        return None if ns is None else ns / MS

    def errors(self, own: bool) -> tuple[list[float], int]:
        """How far off each gateway's figures are, as parts of the round trips set; and how many it lacks."""
        found, unknown = [], 0
        for name, part in self.parts.items():
            for pair, trip in self.trips.items():
                if own == (self.zones[name] in pair) and pair[0] != pair[1]:
                    ns = part.round_trip(*pair)
                    if ns is None:
                        unknown += 1
                    else:
                        found.append(abs(ns / MS - trip) / trip)
        return found, unknown

    def taken_up(self, one: str, other: str, own: bool, part: float = 0.15) -> list[float]:
        """Seconds until each gateway has a way's new round trip; ``own``: of its ends, or the others. 120: never."""
        began = self.gossip.now
        wanted = {name for name in self.parts if (self.zones[name] in (one, other)) == own}
        found: list[float] = []
        while wanted and self.gossip.now < began + 120 * SECOND:
            self.run(0.5)
            trip = self.trips[pair_of(one, other)]
            done = {n for n in wanted if abs((self.figure(n, one, other) or 0.0) - trip) <= part * trip + 0.5}
            found += [(self.gossip.now - began) / SECOND] * len(done)
            wanted -= done
        return found + [120.0] * len(wanted)


def spread_over(gateways: int, trips: Mapping[Pair, float]) -> dict[str, str]:
    """Gateways by turns in the zones that the ways name."""
    zones = sorted({zone for pair in trips for zone in pair})
    return {f"g{number:03}": zones[number % len(zones)] for number in range(gateways)}
