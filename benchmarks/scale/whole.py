"""The whole fleet as one: python -m benchmarks.scale.whole [--gateways N] [--databases N] [--seconds N].

Hollow gateways in three regions and eleven zones on a virtual clock: the program's own deciders of the link, of the
distributed list and of its publisher; a day compressed to its events. Hollow are statements, connections to databases,
sockets, and the lease of the publisher (one grant, moved by the script). It reports against each budget.
"""

from __future__ import annotations

import argparse
import json
import time
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from benchmarks.common import machine, table
from benchmarks.scale.__main__ import commit
from benchmarks.scale.decisions import specs
from benchmarks.scale.gossip import acquaint
from benchmarks.scale.line import FOLDER
from benchmarks.scale.memory import resident_kib
from yardbank.distribution.part import DistributionPart
from yardbank.distribution.table import Increment, Table
from yardbank.distribution.transfer import split
from yardbank.distribution.version import NOTHING, Version, digest_octets, entry_hash
from yardbank.gateway import ServerSpec
from yardbank.membership.document import render
from yardbank.peers.circle import Circle
from yardbank.peers.parts import Part
from yardbank.rig.circles import Circles

SECOND = 1_000_000_000
REGIONS, ZONES = 3, 11
CONTROLS = 10  # machines that may publish
CHANGE_EVERY = 5.0  # seconds; of a day of 4,600 it would be 18.8
NEAR, FAR = (0.0003, 0.0008), (0.010, 0.030)  # seconds of a datagram's way: within a region, between regions
BUDGET_OCTETS, BUDGET_PROCESSOR, BUDGET_KIB, BUDGET_SECONDS = 7000, 1.1, 128 * 1024, 7.0


class Grant:
    """The publisher's lease, as the script moves it."""

    def __init__(self, fleet: HollowFleet, name: str) -> None:
        self._fleet, self._name = fleet, name

    def want(self, now: int, resource: str) -> None:
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


class HollowFleet(Circles):
    """Gateways without sockets. Ways between two of them depend on their regions alone."""

    def __init__(self, gateways: int, databases: int, seed: int) -> None:
        names = [f"g{number:04}" for number in range(gateways)]
        self.zone_of = {name: f"r{at % ZONES % REGIONS}-z{at % ZONES:02}" for at, name in enumerate(names)}
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
        self._entries = {name: _block(spec) for name, spec in self.servers.items()}
        self._first = _snapshot(self._entries, Version(1, 1))

    def _made(self, circle: Circle, random: Random) -> list[Part]:
        held = Table()
        held.apply(self.stored.get(circle.name, self._first))
        part = DistributionPart(circle.sight, Grant(self, circle.name), random, None, held)  # type: ignore[arg-type]
        self.distribution[circle.name] = part
        return [part]

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
        self.at(at, lambda: self._act(target, lambda circle, now: circle.receive(now, data)))

    def _act(self, name: str, what: Callable[[Circle, int], list[tuple[str, bytes]]]) -> None:
        super()._act(name, what)
        self.history.clear()
        if name not in self.circles:
            return
        part = self.distribution[name]
        for one in part.adoptions():
            if one.source == name:
                reachable = {n for n in self.circles if self.connected(name, n)}
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
        self._entries[name] = _block(self.servers[name])
        for control in self.controls:
            if control in self.circles:
                self.distribution[control].source(self.own(control), self._entries)

    def stop(self, name: str) -> None:
        """It ends; its copy stays on its disk."""
        if name in self.circles:
            self.stored[name] = self.distribution[name].replica.table.snapshot()
            self.kill(name)
            self.returned.pop(name, None)
            for version in self.versions.values():
                version.reachable.discard(name)

    def again(self, name: str) -> None:
        """It starts with what it had."""
        if name not in self.circles:
            self.start(name)
            acquaint_one(self, name)
            self.returned[name] = self.now


def acquaint_one(circles: Circles, name: str) -> None:
    """One that has just started knows who was there: its list of gateways, and their answers, are taken as read."""
    for other, peer in circles.circles[name].detector.peers.items():
        if other in circles.circles:
            peer.state, peer.incarnation = 1, circles.circles[other].detector.incarnation


def _block(spec: ServerSpec) -> str:
    return render([spec]).partition("\n\n")[2].rstrip("\n")


def _snapshot(entries: dict[str, str], version: Version) -> Increment:
    held = Table()
    found = held.difference(entries, version)
    assert found is not None
    assert digest_octets(sum(entry_hash(key, value) for key, value in entries.items())) == found.digest
    return found


def script(fleet: HollowFleet, seconds: float, random: Random) -> None:
    """A day's events, compressed."""
    names = fleet.names

    def at(second: float, do: Callable[[], object]) -> None:
        fleet.at(round(second * SECOND), lambda: (do(), None)[1])

    second = 10.0
    while second < seconds - 15:  # 4,600 changes a day; this is four times as many a second
        at(second, lambda: fleet.change(random))
        second += CHANGE_EVERY
    for _ in range(round(seconds / 4)):  # 2,100 restarts a day; ten times as many a second
        name = random.choice(names[CONTROLS:])
        begin = random.uniform(10, seconds - 30)
        at(begin, lambda name=name: fleet.stop(name))
        at(begin + 3, lambda name=name: fleet.again(name))
    for number in range(10):  # machines that fail for good
        at(random.uniform(10, seconds - 30), lambda name=names[CONTROLS + 20 + number]: fleet.stop(name))
    rack = names[200:240] if len(names) > 400 else names[CONTROLS : CONTROLS + max(1, len(names) // 45)]
    for name in rack:
        at(0.15 * seconds, lambda name=name: fleet.stop(name))
        at(0.30 * seconds, lambda name=name: fleet.again(name))
    zone = [name for name in names if fleet.zone_of[name].endswith("z07")]
    for name in zone:
        at(0.25 * seconds, lambda name=name: fleet.stop(name))
        at(0.45 * seconds, lambda name=name: fleet.again(name))
    at(0.20 * seconds, lambda: _next_publisher(fleet))
    at(0.55 * seconds, lambda: fleet.apart.add("r2"))
    at(0.80 * seconds, lambda: _reunite(fleet))


def _next_publisher(fleet: HollowFleet) -> None:
    """The publisher's machine fails; another gets the lease under a higher epoch."""
    fleet.stop(fleet.publisher)
    fleet.publisher, fleet.epoch = fleet.controls[3], fleet.epoch + 1


def _reunite(fleet: HollowFleet) -> None:
    fleet.apart.clear()
    for name in fleet.circles:
        if fleet.region(name) == "r2":
            fleet.returned[name] = fleet.now


def play(gateways: int, databases: int, seconds: float, seed: int = 1) -> dict[str, float]:
    """One compressed day; what it cost."""
    before = resident_kib()
    fleet = HollowFleet(gateways, databases, seed)
    for name in fleet.names:
        fleet.start(name)
    acquaint(fleet)
    for control in fleet.controls:
        fleet.distribution[control].source(fleet.own(control), fleet._entries)
    script(fleet, seconds, Random(f"{seed}/script"))
    began = time.process_time()
    fleet.run(round(seconds * SECOND))
    processor = time.process_time() - began
    memory = (resident_kib() - before) / gateways
    times, missed = [], 0
    for version in fleet.versions.values():
        if version.at < (seconds - BUDGET_SECONDS) * SECOND:
            reached = [name for name in version.reachable if name in fleet.circles]
            late = [name for name in reached if name not in version.held]
            missed += sum(_later(fleet, version, name) is None for name in late)
            times += [(_later(fleet, version, name) or version.at) - version.at for name in reached]
    file = sum(len(block) + 2 for block in fleet._entries.values())
    pieces = split(_snapshot(fleet._entries, Version(1, 1)))
    rates = sorted(octets / seconds for octets in fleet.octets.values())
    worst = max(octets for second, octets in fleet.seconds.items() if second > 5) / gateways
    returns = sorted(took for _, took in fleet.caught_up)
    return {
        "gateways": gateways, "databases": databases, "seconds": seconds, "versions": len(fleet.versions),
        "in force, most, s": max(times) / SECOND, "in force, median, s": sorted(times)[len(times) // 2] / SECOND,
        "reachable and never": missed, "returns": len(returns), "return, most, s": returns[-1] if returns else 0.0,
        "returned and not caught up": len(fleet.returned),
        "octets/s, mean": sum(rates) / len(rates), "octets/s, most of one": rates[-1],
        "octets/s, worst second, mean of all": worst, "processor, % of a core": processor / seconds / gateways * 100,
        "memory, KiB": memory, "list as a file, octets": file,
        "list as a snapshot, octets": sum(len(piece.body) for piece in pieces),
    }  # fmt: skip


def _later(fleet: HollowFleet, version: Published, name: str) -> int | None:
    """When a gateway went on to a version or to one after it; None: never."""
    after = [other.held[name] for other in fleet.versions.values() if other.at >= version.at and name in other.held]
    return min(after, default=None)


def report(found: dict[str, float]) -> str:
    """The page: what was measured against each budget, and what whole lists would have cost."""
    per_change = 86_400 / 4600
    link = found["octets/s, mean"]
    before = found["list as a file, octets"] / per_change
    rows = [
        ["a change in force", f"{found['in force, most, s']:.2f} s at the latest, {found['in force, median, s']:.2f} s"
         " in the median", f"{BUDGET_SECONDS:g} s", f"{found['list as a file, octets'] / BUDGET_OCTETS:.0f} s: a whole"
         " file at the whole budget of octets"],
        ["octets sent, a gateway", f"{link:,.0f} octets/s in the mean, {found['octets/s, most of one']:,.0f} the most of"
         f" one, {found['octets/s, worst second, mean of all']:,.0f} in the worst second", f"{BUDGET_OCTETS:,}"
         " octets/s", f"{before:,.0f} octets/s for the list alone"],
        ["processor", f"{found['processor, % of a core']:.2f} % of a core, the measurement's own clock and network in it",
         f"{BUDGET_PROCESSOR} %", "-"],
        ["memory", f"{found['memory, KiB'] / 1024:.1f} MiB", "128 MB", "-"],
        ["returned and caught up", f"{found['returns']:.0f} returns, {found['return, most, s']:.1f} s at the latest;"
         f" {found['returned and not caught up']:.0f} not before the end", "-", "-"],
        ["reachable and never told", f"{found['reachable and never']:.0f}", "0", "-"],
    ]  # fmt: skip
    head = ["what", f"{found['gateways']:,.0f} hollow gateways, {found['databases']:,.0f} databases", "budget",
            "with whole lists (reckoned)"]  # fmt: skip
    notes = [
        f"{found['versions']:.0f} versions in {found['seconds']:g} s of virtual time: changes come four times, restarts ten"
        " times as often as on a day. Whole lists are reckoned from the file's octets and 4,600 changes a day.",
    ]
    return table("Against the budgets", head, rows, notes)


def main() -> None:
    """Play and keep."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--gateways", type=int, default=1800)
    parser.add_argument("--databases", type=int, default=3900)
    parser.add_argument("--seconds", type=float, default=200)
    asked = parser.parse_args()
    found = play(asked.gateways, asked.databases, asked.seconds)
    name = f"whole-{asked.gateways}"
    FOLDER.mkdir(parents=True, exist_ok=True)
    (FOLDER / f"{name}.json").write_text(
        json.dumps({"commit": commit(), "machine": machine(), **found}, indent=1) + "\n"
    )
    text = f"# The whole fleet: {asked.gateways:,} hollow gateways\n\nTaken on {commit()}; {machine()}. Again:" \
           f" `python -m benchmarks.scale.whole --gateways {asked.gateways} --databases {asked.databases}" \
           f" --seconds {asked.seconds:g}`.\n\n" + report(found)  # fmt: skip
    (FOLDER / f"{name}.md").write_text(text)
    print(text)
    print(json.dumps(found, indent=1))


if __name__ == "__main__":
    main()
