"""Hollow gateways on a virtual clock: the program's own deciders of the link and of the distributed list, no sockets."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Any

from benchmarks.scale.decisions import specs
from yardbank.cluster.lease.api import LeaseTerms
from yardbank.cluster.lease.part import LeasePart
from yardbank.cluster.list_distribution.part import DistributionPart
from yardbank.cluster.list_distribution.table import Increment, Table
from yardbank.cluster.list_distribution.version import NOTHING, Version
from yardbank.cluster.peers.datagram import ALIVE
from yardbank.cluster.peers.node import GossipNode
from yardbank.cluster.peers.parts import NullStore, Part
from yardbank.gateway import ServerSpec
from yardbank.server_list.document import render
from yardbank.testing.rig.gossip import GossipFleet

SECOND = 1_000_000_000
REGIONS, ZONES = 3, 11
CONTROLS = 10  # machines that may publish
TERMS = LeaseTerms(1_000_000_000, overlap=300_000_000)  # as in the rig
NEAR, FAR = (0.0003, 0.0008), (0.010, 0.030)  # seconds of a datagram's way: within a region, between regions


class Grant:
    """The publisher's lease, as the script moves it."""

    def __init__(self, fleet: HollowFleet, name: str) -> None:
        self._fleet, self._name = fleet, name

    def acquire(self, now: int, resource: str) -> None:
        """Nothing is asked for."""

    def epoch(self, now: int, resource: str) -> int | None:
        """Held by one gateway."""
        return self._fleet.epoch if self._fleet.publisher == self._name else None


@dataclass(slots=True)
class Published:
    """One version: when it was published, and when each gateway went on to it."""

    at: int
    reachable: set[str]
    held: dict[str, int] = field(default_factory=dict)


class HollowFleet(GossipFleet):
    """Gateways without sockets. Ways between two of them depend on their regions alone."""

    def __init__(self, gateways: int, databases: int, seed: int, counts: bool = False, leases: bool = False) -> None:
        """``counts``: each tells two figures of each database; what all hold of them grows with the square.

        ``leases``: the publisher's lease is a real one, with the rig's terms, and not the script's.
        """
        names = [f"g{number:04}" for number in range(gateways)]
        self.zone_of = {name: f"r{at % ZONES % REGIONS}-z{at % ZONES:02}" for at, name in enumerate(names)}
        self._counts, self._leases = counts, leases
        self.publisher, self.epoch = names[0], 1
        self.controls = names[:CONTROLS]
        self.servers = {spec.name: spec for spec in specs(databases)}
        self.distribution: dict[str, DistributionPart] = {}
        self.stored: dict[str, Increment] = {}
        self.versions: dict[Version, Published] = {}
        self.apart: set[str] = set()  # regions that the others cannot hear
        self.returned: dict[str, int] = {}  # gateways that came back, when
        self.caught_up: list[tuple[str, float]] = []  # how long each return took until it held the newest
        self.seconds: defaultdict[int, int] = defaultdict(int)  # octets of the whole fleet by second
        self._ways = Random(f"{seed}/ways")
        super().__init__(names, seed, zones=self.zone_of, parts=self._made)
        self.entries = {name: _block(spec) for name, spec in self.servers.items()}
        self._first = snapshot_of(self.entries, Version(1, 1))

    def _made(self, node: GossipNode, random: Random) -> list[Part]:
        if self._counts:
            node.counters.update({f"{what}:{name}": 1 for name in self.servers for what in ("out", "connections")})
        held = Table()
        held.apply(self.stored.get(node.name, self._first))
        grant: Any = Grant(self, node.name)
        if self._leases:
            grant = LeasePart(node.membership_view, TERMS, random, NullStore())
        part = DistributionPart(node.membership_view, grant, random, None, held)
        self.distribution[node.name] = part
        return [grant, part] if self._leases else [part]

    def region(self, name: str) -> str:
        """A gateway's region."""
        return self.zone_of[name][:2]

    def connected(self, one: str, other: str) -> bool:
        """Whether what one sends can reach the other."""
        here, there = self.region(one), self.region(other)
        return here == there or not {here, there} & self.apart

    def _send(self, source: str, target: str, data: bytes) -> None:
        self.octets[source] += len(data)
        self.seconds[self.now // SECOND] += len(data)
        if not self.connected(source, target):
            return
        least, most = NEAR if self.region(source) == self.region(target) else FAR
        at = self.now + round(self._ways.uniform(least, most) * SECOND)
        self.at(at, lambda: self._act(target, lambda node, now: node.receive(now, data)))

    def _act(self, name: str, what: Callable[[GossipNode, int], list[tuple[str, bytes]]]) -> None:
        super()._act(name, what)
        self.history.clear()
        if name not in self.nodes:
            return
        part = self.distribution[name]
        for one in part.adoptions():
            if one.source == name:
                reachable = {n for n in self.nodes if self.connected(name, n)}
                self.versions[one.version] = Published(self.now, reachable)
            self.versions[one.version].held[name] = self.now
        if name in self.returned and part.replica.table.version == max(self.versions, default=NOTHING):
            self.caught_up.append((name, (self.now - self.returned.pop(name)) / SECOND))

    def change(self, random: Random) -> None:
        """The operator moves one database."""
        name = random.choice(sorted(self.servers))
        was = self.servers[name]
        port = was.port + 1
        self.servers[name] = ServerSpec(was.name, was.group, was.zone, was.host, port, was.primary)
        self.entries[name] = _block(self.servers[name])
        for control in self.controls:
            if control in self.nodes:
                self.distribution[control].source(self.own(control), self.entries)

    def stop(self, name: str) -> None:
        """It ends; its copy stays on its disk."""
        if name in self.nodes:
            self.stored[name] = self.distribution[name].replica.table.snapshot()
            self.kill(name)
            self.returned.pop(name, None)
            for version in self.versions.values():
                version.reachable.discard(name)

    def again(self, name: str) -> None:
        """It starts with what it had."""
        if name not in self.nodes:
            self.start(name)
            acquaint_one(self, name)
            self.returned[name] = self.now


def acquaint_one(gossip: GossipFleet, name: str) -> None:
    """One that has just started knows who was there: its list of gateways, and their answers, are taken as read."""
    for other, peer in gossip.nodes[name].detector.peers.items():
        if other in gossip.nodes:
            peer.state, peer.incarnation = ALIVE, gossip.nodes[other].detector.incarnation


def _block(spec: ServerSpec) -> str:
    return render([spec]).partition("\n\n")[2].rstrip("\n")


def snapshot_of(entries: dict[str, str], version: Version) -> Increment:
    """A whole list as one increment."""
    held = Table()
    found = held.difference(entries, version)
    assert found is not None
    return found
