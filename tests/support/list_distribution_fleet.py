"""A simulated fleet on a virtual clock whose gateways replicate a published list; checks invariants while it runs."""

from collections import defaultdict

from yardbank.cluster.list_distribution.part import DistributionPart
from yardbank.cluster.list_distribution.table import Table
from yardbank.cluster.list_distribution.version import NOTHING
from yardbank.testing.rig.gossip import GossipFleet

SECOND = 1_000_000_000


class OneHolder:
    """A minimal lease service for publishers: one gateway of the fleet holds the lease."""

    def __init__(self, fleet, name):
        self._fleet, self._name = fleet, name

    def acquire(self, now, resource):
        """Has no effect: the test sets the holder."""

    def epoch(self, now, resource):
        return self._fleet.epoch if self._fleet.holder == self._name else None


class ListFleet:
    """Gateways with replicas; ``kept`` has the copies that survive a restart."""

    def __init__(self, gateways, seed=1, zones=None, options=None, publishers=2):
        self.names = [f"g{number:03}" for number in range(gateways)]
        self.zones = zones or {name: f"z{at % 3}" for at, name in enumerate(self.names)}
        self.holder, self.epoch, self.publishers = self.names[0], 1, self.names[:publishers]
        self.options, self.wanted = options, {"db-1": "a"}
        self.parts, self.kept = {}, defaultdict(Table)
        self.reached = {}  # by gateway: the last adopted version, unless its copy was lost since
        # Entries by version; by gateway: (time, version, whether from a snapshot).
        self.published, self.adopted = {}, defaultdict(list)
        self.gossip = GossipFleet(self.names, seed, zones=self.zones, parts=self._made)

    def _made(self, node, random):
        part = DistributionPart(
            node.membership_view, OneHolder(self, node.name), random, self.options, self.kept[node.name]
        )
        self.parts[node.name] = part
        return [part]

    def start(self, *names):
        for name in names or self.names:
            self.gossip.start(name)
            if name in self.publishers:
                self.parts[name].source(self.gossip.own(name), self.wanted)

    def kill(self, name, lost=False):
        self.gossip.kill(name)
        if lost:
            self.kept.pop(name)
            self.reached.pop(name, None)
        del self.parts[name]

    def want(self, **entries):
        """Change the operator's list at all gateways that may publish it."""
        self.wanted = {key: value for key, value in {**self.wanted, **entries}.items() if value is not None}
        for name in self.publishers:
            if name in self.parts:
                self.parts[name].source(self.gossip.own(name), self.wanted)

    def run(self, seconds, step=0.1):
        end = self.gossip.now + round(seconds * SECOND)
        while self.gossip.now < end:
            self.gossip.run(min(end, self.gossip.now + round(step * SECOND)))
            self.check()

    def run_until(self, condition, most):
        end = self.gossip.now + most * SECOND
        while self.gossip.now < end and not condition():
            self.run(0.1)
        return condition()

    def check(self):
        running = {name: part for name, part in self.parts.items() if name not in self.gossip.paused}
        for name, part in running.items():
            for adoption in part.adoptions():
                assert adoption.version > self.reached.get(name, NOTHING)
                self.reached[name] = adoption.version
                self.adopted[name].append((self.gossip.now, adoption.version, adoption.whole))
                if adoption.source == name:
                    assert adoption.version not in self.published
                    self.published[adoption.version] = dict(part.replica.table.entries)
        for name, part in running.items():
            table = part.replica.table
            assert table.version == NOTHING or dict(table.entries) == self.published[table.version]
            self.kept[name] = table

    def same(self, names=None):
        """Whether these gateways hold the current list of the operator."""
        return all(dict(self.parts[name].replica.table.entries) == self.wanted for name in names or self.parts)

    def versions(self):
        return {part.replica.table.version for part in self.parts.values()}
