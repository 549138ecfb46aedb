"""A simulated fleet for rollouts: real decision logic, leases and records; random requests, no sockets."""

from dataclasses import dataclass, field

import numpy as np

from yardbank.cluster.lease import LeaseTerms
from yardbank.cluster.lease.part import LeasePart
from yardbank.cluster.rollout.active_version import ActiveVersion
from yardbank.cluster.rollout.document import Change
from yardbank.cluster.rollout.local_state import Activate, Commit, Options, RollBack
from yardbank.cluster.rollout.metrics import ClassFigures, Metrics
from yardbank.cluster.rollout.part import RolloutPart
from yardbank.cluster.rollout.phase import AWAY, NAMES
from yardbank.testing.rig.gossip import WAY, GossipFleet

SECOND = 10**9
OLD_NAME, NEW_NAME = "old00000", "new00000"


class Disk:
    """A ``KeyValueStore`` that may be full; survives restarts of its gateway."""

    def __init__(self):
        self.data, self.full = None, False

    def load(self):
        return self.data

    def save(self, data):
        if not self.full:
            self.data = data
        return not self.full


@dataclass
class Kind:
    """Outcomes of requests of one class: the rate per second, and the shares that are late, refused or failed."""

    rate: float = 30.0
    late: float = 0.01
    refused: float = 0.0
    failed: float = 0.005
    p99: int = 200  # ms


@dataclass
class Process:
    """State of a gateway outside of its part: disks, active version, counts of requests."""

    disk: Disk = field(default_factory=Disk)
    lease_disk: Disk = field(default_factory=Disk)
    active_version: ActiveVersion = field(default_factory=ActiveVersion)
    counts: dict = field(default_factory=dict)
    latencies: dict = field(default_factory=dict)
    counted_at: int = 0
    began_at: int = 0
    part: object = None
    down: bool = False


class World:
    """A fleet. ``kinds(name, new, second)`` returns the outcomes by class; it may be replaced during a run."""

    def __init__(self, zones, seed=1, down=True, way=WAY, terms=None, names=None):
        self.zones = zones if isinstance(zones, dict) else {f"g{n:03d}": "" for n in range(zones)}
        self.kinds = lambda name, new, second: {"lookup:0": Kind()}
        self.memory = lambda name, new, second: 100 << 20
        self.dies = lambda name, new, age: False  # whether the process dies at this age (s)
        self.down, self.young = down, 20  # whether the change needs a restart; seconds
        self.processes = {name: Process() for name in self.zones}
        self.random = {name: np.random.default_rng([seed, n]) for n, name in enumerate(self.zones)}
        self.turns, self.requests, self.most_away, self.asked, self.words = [], {}, 0, {}, {}
        self.terms = terms or LeaseTerms()
        self.gossip = GossipFleet(self.zones, seed=seed, zones=self.zones, way=way, parts=self._parts)
        for name in self.zones:
            self.start(name)
        self.gossip.at(SECOND // 5, self._look)

    # Processes

    def _parts(self, node, random):
        name = node.name
        process = self.processes[name]
        leases = LeasePart(node.membership_view, self.terms, random, process.lease_disk)
        new = process.active_version.now.name == NEW_NAME
        options = Options(lambda: self.figures(name), process.active_version, NEW_NAME if new else OLD_NAME)
        process.part = RolloutPart(node.membership_view, leases, random, process.disk, options)
        return leases, process.part

    def start(self, name):
        process, now = self.processes[name], self.gossip.now
        process.counts, process.latencies, process.counted_at, process.began_at = {}, {}, now, now
        process.down = False
        self.gossip.start(name, rate=self.gossip.rates.get(name, 1.0))
        if name in self.asked:
            self.tell(name, self.asked[name])
        if name in self.words:
            self.take_command(self.words[name], [name])

    def end(self, name, again=SECOND, active_version=None):
        """End the process; its supervisor restarts it after ``again`` ns, or never if None."""
        process = self.processes[name]
        process.down = True
        if active_version is not None:
            process.active_version = active_version
        if name in self.gossip.nodes:
            self.gossip.kill(name)
        if again is not None:
            self.gossip.at(self.gossip.now + again, lambda: process.down and self.start(name))

    def crash(self, name, why="crashed"):
        """Kill the process; the supervisor rolls an uncommitted version back if the process was young."""
        process = self.processes[name]
        age = (self.gossip.now - process.began_at) / SECOND
        fell = process.active_version.uncommitted and age < self.young
        self.end(
            name,
            active_version=process.active_version.rolled_back(f"{why} after {age:.0f} s")
            if fell
            else process.active_version.restarted(),
        )

    def _look(self):
        now = self.gossip.now
        away = 0
        for name, process in self.processes.items():
            if process.down:
                away += 1 if process.part and process.part._state_machine.phase in AWAY else 0
                continue
            if name in self.gossip.paused:
                continue
            self._serve(name)
            new, age = process.active_version.now.name == NEW_NAME, (now - process.began_at) / SECOND
            for turn in process.part.transitions():
                self.turns.append((now, name, turn))
            for order in process.part.orders():
                self._carry_out(name, process, order)
            if not process.down and self.dies(name, new, age):
                self.crash(name)
            away += process.part._state_machine.phase in AWAY
        self.most_away = max(self.most_away, away)
        self.gossip.at(now + SECOND // 5, self._look)

    def _carry_out(self, name, process, order):
        own = self.gossip.own(name)
        if isinstance(order, Commit):
            process.active_version = process.active_version.committed()
            return
        active_version = (
            process.active_version.activated(order.version)
            if isinstance(order, Activate)
            else process.active_version.rolled_back()
        )
        assert isinstance(order, Activate | RollBack)
        if not self.down:
            process.active_version = active_version
            process.part.applied(own)
        elif not order.may_restart:
            process.part.needs_restart(own)
        else:
            self.end(name, 2 * SECOND, active_version)

    # Requests

    def _serve(self, name):
        process, random, now = self.processes[name], self.random[name], self.gossip.now
        elapsed_s = (now - process.counted_at) / SECOND
        process.counted_at = now
        new = process.active_version.now.name == NEW_NAME
        for key, kind in self.kinds(name, new, now / SECOND).items():
            number = random.poisson(kind.rate * elapsed_s)
            shares = [kind.late, kind.refused, kind.failed]
            drawn = random.multinomial(number, [1 - sum(shares), *shares])
            process.counts[key] = process.counts.get(key, np.zeros(4, int)) + drawn
            slow = random.binomial(number, 0.02)
            latency_counts = process.latencies.setdefault(key, {})
            for bound, count in ((20, number - slow), (kind.p99, slow)):
                latency_counts[bound * 10**6] = latency_counts.get(bound * 10**6, 0) + int(count)
            if new:
                self.requests[name] = self.requests.get(name, 0) + int(number)

    def figures(self, name):
        process = self.processes[name]
        classes = {
            key: ClassFigures(int(c[0]), int(c[1]), int(c[2]), int(c[3]), 0, dict(process.latencies[key]))
            for key, c in process.counts.items()
        }
        new = process.active_version.now.name == NEW_NAME
        return Metrics(classes, self.memory(name, new, (self.gossip.now - process.began_at) / SECOND))

    # Commands and observations

    def tell(self, name, change):
        self.asked[name] = change
        if name in self.gossip.nodes:
            self.processes[name].part.asked(self.gossip.own(name), change, NEW_NAME if change else "")

    def ask(self, change, names=None):
        for name in names or self.zones:
            self.tell(name, change)

    def take_command(self, word, names):
        for name in names:
            self.words[name] = word
            if name in self.gossip.nodes:
                self.processes[name].part.take_command(self.gossip.own(name), word)

    def run(self, seconds):
        self.gossip.run(self.gossip.now + int(seconds * SECOND))

    def until(self, condition, most):
        return self.gossip.run_until(condition, int(most * SECOND), SECOND)

    def phase(self, name):
        return NAMES[self.processes[name].part._state_machine.phase]

    def places(self):
        return {name: self.phase(name) for name in self.zones}

    def on_new(self):
        return {name for name, process in self.processes.items() if process.active_version.now.name == NEW_NAME}

    def said(self, what, who=None):
        return [(at / SECOND, name, turn) for at, name, turn in self.turns if turn.what == what and who in (None, name)]

    def all_old(self):
        return not self.on_new() and not any(process.down for process in self.processes.values())


def zoned(count, zones=3):
    return {f"g{n:03d}": f"z{n % zones}" for n in range(count)}


def change(**more):
    """A change that completes in minutes."""
    fields = {
        "id": "c1",
        "settings": "new.hcl",
        "stages": (0.1, 0.5, 1.0),
        "hold": 20 * SECOND,
        "settle": 3 * SECOND,
        "outage": 8 * SECOND,
        "longest": 300 * SECOND,
        "most_at_once": 2,
        "worse_by": 0.03,
    }
    return Change.model_construct(None, **{**fields, **more})
