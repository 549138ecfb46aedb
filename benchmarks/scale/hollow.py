"""Hollow gateways on a virtual clock: the real logic of gossip and list distribution, without sockets."""

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
PUBLISHERS = 10  # gateways that may publish the list
TERMS = LeaseTerms(1_000_000_000, overlap=300_000_000)  # as in the test rig
# Seconds that a datagram takes within a region, and between regions.
DELAY_IN_REGION, DELAY_BETWEEN_REGIONS = (0.0003, 0.0008), (0.010, 0.030)


class ScriptedLease:
    """The publisher's lease, moved by the script."""

    def __init__(self, fleet: HollowFleet, name: str) -> None:
        self._fleet, self._name = fleet, name

    def acquire(self, now: int, resource: str) -> None:
        """Has no effect: the script sets the holder."""

    def epoch(self, now: int, resource: str) -> int | None:
        """Returns the epoch for the publisher, None for others."""
        return self._fleet.epoch if self._fleet.publisher == self._name else None


@dataclass(slots=True)
class Published:
    """One version: when it was published, and when each gateway adopted it."""

    at: int
    reachable: set[str]
    held: dict[str, int] = field(default_factory=dict)


class HollowFleet(GossipFleet):
    """Gateways without sockets. Delays between two of them depend only on their regions."""

    def __init__(self, gateways: int, databases: int, seed: int, counts: bool = False, leases: bool = False) -> None:
        """``counts``: each gateway shares two counters per database; the total memory grows with the square of gateways.

        ``leases``: the publisher has a real lease with the terms of the test rig, instead of one moved by the script.
        """
        names = [f"g{number:04}" for number in range(gateways)]
        self.zone_of = {name: f"r{at % ZONES % REGIONS}-z{at % ZONES:02}" for at, name in enumerate(names)}
        self._counts, self._leases = counts, leases
        self.publisher, self.epoch = names[0], 1
        self.publishers = names[:PUBLISHERS]
        self.servers = {spec.name: spec for spec in specs(databases)}
        self.distribution: dict[str, DistributionPart] = {}
        self.stored: dict[str, Increment] = {}
        self.versions: dict[Version, Published] = {}
        self.separated_regions: set[str] = set()  # regions that are cut off from the others
        self.returned: dict[str, int] = {}  # by gateway: when it came back
        # (gateway, seconds from its return until it had the newest version)
        self.caught_up: list[tuple[str, float]] = []
        self.octets_by_second: defaultdict[int, int] = defaultdict(int)  # octets of the whole fleet, by second
        self._delays = Random(f"{seed}/ways")
        super().__init__(names, seed, zones=self.zone_of, parts=self._make_parts)
        self.entries = {name: _block(spec) for name, spec in self.servers.items()}
        self._first = snapshot_of(self.entries, Version(1, 1))

    def _make_parts(self, node: GossipNode, random: Random) -> list[Part]:
        if self._counts:
            node.counters.update({f"{what}:{name}": 1 for name in self.servers for what in ("out", "connections")})
        table = Table()
        table.apply(self.stored.get(node.name, self._first))
        lease: Any = ScriptedLease(self, node.name)
        if self._leases:
            lease = LeasePart(node.membership_view, TERMS, random, NullStore())
        part = DistributionPart(node.membership_view, lease, random, None, table)
        self.distribution[node.name] = part
        return [lease, part] if self._leases else [part]

    def region(self, name: str) -> str:
        """Return a gateway's region."""
        return self.zone_of[name][:2]

    def connected(self, one: str, other: str) -> bool:
        """Whether datagrams of one gateway can reach the other."""
        source, target = self.region(one), self.region(other)
        return source == target or not {source, target} & self.separated_regions

    def _send(self, source: str, target: str, data: bytes) -> None:
        self.octets[source] += len(data)
        self.octets_by_second[self.now // SECOND] += len(data)
        if not self.connected(source, target):
            return
        least, most = DELAY_IN_REGION if self.region(source) == self.region(target) else DELAY_BETWEEN_REGIONS
        at = self.now + round(self._delays.uniform(least, most) * SECOND)
        self.at(at, lambda: self._act(target, lambda node, now: node.receive(now, data)))

    def _act(self, name: str, what: Callable[[GossipNode, int], list[tuple[str, bytes]]]) -> None:
        super()._act(name, what)
        self.history.clear()
        if name not in self.nodes:
            return
        part = self.distribution[name]
        for adoption in part.adoptions():
            if adoption.source == name:
                reachable = {n for n in self.nodes if self.connected(name, n)}
                self.versions[adoption.version] = Published(self.now, reachable)
            self.versions[adoption.version].held[name] = self.now
        if name in self.returned and part.replica.table.version == max(self.versions, default=NOTHING):
            self.caught_up.append((name, (self.now - self.returned.pop(name)) / SECOND))

    def change(self, random: Random) -> None:
        """Change the port of one database in the operator's list."""
        name = random.choice(sorted(self.servers))
        old = self.servers[name]
        port = old.port + 1
        self.servers[name] = ServerSpec(old.name, old.group, old.zone, old.host, port, old.primary)
        self.entries[name] = _block(self.servers[name])
        for publisher in self.publishers:
            if publisher in self.nodes:
                self.distribution[publisher].source(self.own(publisher), self.entries)

    def stop(self, name: str) -> None:
        """Stop a gateway; its copy of the list stays on disk."""
        if name in self.nodes:
            self.stored[name] = self.distribution[name].replica.table.snapshot()
            self.kill(name)
            self.returned.pop(name, None)
            for version in self.versions.values():
                version.reachable.discard(name)

    def restart(self, name: str) -> None:
        """Start a gateway again with its stored copy."""
        if name not in self.nodes:
            self.start(name)
            mark_known_by(self, name)
            self.returned[name] = self.now


def mark_known_by(gossip: GossipFleet, name: str) -> None:
    """Make a gateway that has just started know the running ones, without exchanging messages."""
    for other, peer in gossip.nodes[name].detector.peers.items():
        if other in gossip.nodes:
            peer.state, peer.incarnation = ALIVE, gossip.nodes[other].detector.incarnation


def _block(spec: ServerSpec) -> str:
    return render([spec]).partition("\n\n")[2].rstrip("\n")


def snapshot_of(entries: dict[str, str], version: Version) -> Increment:
    """Return a whole list as one increment."""
    table = Table()
    increment = table.difference(entries, version)
    assert increment is not None
    return increment
