"""Feeds that one gateway carries for all: python -m benchmarks.channels [--quick].

Deciders on a virtual clock, over the real leases. Handing on, planned and not; traffic by size of the fleet; and how
often a server is asked where it stands by the whole fleet, each gateway alone and one for all.
"""

from __future__ import annotations

import argparse
from collections import defaultdict
from concurrent.futures import ProcessPoolExecutor
from dataclasses import replace
from functools import partial
from itertools import pairwise
from random import Random
from statistics import mean, median

from benchmarks.common import chart, keep, table
from tests.support.channels_fleet import MS, SECOND, ChannelFleet
from yardbank import interface as api
from yardbank.cluster.channels.api import Delivered, Options
from yardbank.cluster.channels.positions import ListedServer, Positions
from yardbank.gateway.gossiped_positions import GossipedPositions
from yardbank.policy import Router
from yardbank.testing.rig.network import Effect
from yardbank.testing.rig.virtual import Fleet, World

SEEDS = 50
SOUND, LOSSY = Effect(delay=0.0005, jitter=0.001), Effect(delay=0.002, jitter=0.02, lose=0.1, double=0.05)
SIZES = (8, 48, 200)
NET = MS // 2


def ended(asked: tuple[int, bool, bool]) -> tuple[list[float], float, int, int, int, int]:
    """One seed: ms without an owner of each channel that was handed on; overlap; items given out, lost; gaps; faults."""
    seed, planned, lossy = asked
    found = ChannelFleet(7, 6, seed, every=50 * MS, step=5 * MS)
    found.start()
    if not found.run_until(found.all_owned, 60 * SECOND):
        raise SystemExit(f"seed {seed}: never all owned")
    found.run(3 * SECOND)
    found.gossip.way = LOSSY if lossy else SOUND
    found.run(SECOND)
    victim = found.owner(found.channels[0])[0]
    channels = [channel for channel in found.channels if found.owner(channel) == (victim,)]
    since = found.gossip.now
    if planned:
        found.stop(victim)
    else:
        found.kill(victim)
    found.run(8 * SECOND)
    found.publishing = False  # what is on its way arrives
    found.run(2 * SECOND)
    without = []
    for channel in channels:
        changes = [*found.owners[channel], (found.gossip.now, ())]
        spans = [
            (at, until)
            for (at, names), (until, _) in pairwise(changes)
            if at >= since and not set(names) - ({victim} if not planned else set())
        ]
        if not planned:  # the step at which it died counts
            spans = [
                (
                    since,
                    next(
                        (at for at, names in changes if at > since and names and names != (victim,)), found.gossip.now
                    ),
                )
            ]
        without.append(sum(until - at for at, until in spans) / MS)
    lost = given = 0
    for listener in found.listeners:
        if listener.name == victim:
            continue
        for channel, heard in listener.heard.items():
            items = [event for _, event in heard if isinstance(event, Delivered)]
            first = items[0]
            count = sum(
                last if epoch > first.epoch else last - first.sequence + 1
                for (name, epoch), last in found.published.items()
                if name == channel and epoch >= first.epoch
            )
            given, lost = given + count, lost + count - len(items)
    return without, found.two_owners() / MS, given, lost, len(found.gaps()), len(found.faults())


def handing(pool: ProcessPoolExecutor, seeds: int) -> tuple[str, dict[str, list[float]]]:
    rows, bars = [], {}
    for planned in (True, False):
        for lossy in (False, True):
            runs = list(pool.map(ended, [(seed, planned, lossy) for seed in range(1, seeds + 1)]))
            times = sorted(one for run in runs for one in run[0])
            label = f"{'planned' if planned else 'killed'}, {'10 % lost' if lossy else 'sound'}"
            figures = [median(times), times[int(0.99 * len(times))], times[-1]]
            bars[label] = figures
            rows.append(
                [
                    "planned" if planned else "killed",
                    "10 % lost, 5 % doubled" if lossy else "sound",
                    str(len(times)),
                    *(f"{one:.0f}" for one in figures),
                    f"{max(run[1] for run in runs):.0f}",
                    str(sum(run[2] for run in runs)),
                    str(sum(run[3] for run in runs)),
                    str(sum(run[4] for run in runs)),
                    str(sum(run[5] for run in runs)),
                ]
            )
    head = [
        "end",
        "ways",
        "handings",
        "without an owner, ms, p50",
        "p99",
        "worst",
        "two owners, ms, most",
        "items due",
        "lost",
        "gaps told",
        "doubled, out of order, or untold",
    ]
    notes = [
        f"7 gateways, 6 channels, 20 items a second on each, {seeds} seeds a row; leases of 3 s, an overlap of 500 ms. Looked"
        " at each 5 ms. Items due are counted at each follower; what an owner that was killed had given out counts, heard"
        " or not.",
    ]
    return table("Handing on", head, rows, notes), bars


def traffic(asked: tuple[int, int]) -> list[str]:
    """One size, and items a minute on each of 12 channels."""
    size, items = asked
    found = ChannelFleet(size, 12, size, every=60 * SECOND // max(1, items))
    found.start()
    up = found.run_until(found.all_owned, 60 * SECOND)
    found.run(20 * SECOND)
    gossip = found.gossip.nodes.values()
    before, feeds = sum(found.gossip.octets.values()), [node.outbox.octets for node in gossip]
    held = [0] * 3
    span = 10 * SECOND
    found.run(span)
    rates = sorted((node.outbox.octets - was) / 10 for node, was in zip(gossip, feeds, strict=True))
    held[0] = sum(node.outbox.withheld for node in gossip)
    loads = sorted(found.loads().values())
    return [
        str(size),
        str(items),
        "never" if up is None else f"{up / SECOND:.1f}",
        str(found.moved()),
        str(loads[-1]),
        f"{mean(rates):.0f}",
        f"{rates[-1]:.0f}",
        f"{(sum(found.gossip.octets.values()) - before) / size / 10:.0f}",
        str(held[0]),
        str(len(found.faults())),
    ]


class FedFleet(Fleet):
    """The virtual fleet with positions asked by one for all."""

    def _settings(self, zone: str, number: int) -> api.Settings:
        return replace(super()._settings(zone, number), checks="none", tokens="remembered")  # as LDAP servers are used

    def feed(self) -> None:
        """Each group's owner is one gateway; all deciders are the program's own."""
        places = [
            ListedServer(str(number), str(member.group), 1)
            for number, member in ((member.server, member) for member in self.members)
        ]
        self._deciders = [Positions(str(one.number), Random(one.number), Options()) for one in self.gateways]
        self._passed = [GossipedPositions(Random(one.number), 4 * SECOND) for one in self.gateways]
        self._primary = {member.group: member.server for member in self.members if member.primary}
        self._group = {member.server: member.group for member in self.members}
        for decider in self._deciders:
            decider.listed(self.clock.now, places)
        for group in {member.group for member in self.members}:
            self._deciders[group * 7 % len(self._deciders)].owned(self.clock.now, str(group))
        self._sequence: defaultdict[str, int] = defaultdict(int)
        for index in range(len(self._deciders)):
            self._turn(index)

    def _turn(self, index: int) -> None:
        decider = self._deciders[index]
        decider.tick(self.clock.now)
        self._act(index)
        self.clock.at(max(decider.next_at(), self.clock.now + MS), lambda: self._turn(index))

    def _act(self, index: int) -> None:
        decider = self._deciders[index]
        asks, decider.asks = decider.asks, []
        for name in asks:
            self.ask(index, int(name))
        items, decider.items = decider.items, []
        for channel, data in items:
            self._sequence[channel] += 1
            item = Delivered(channel, 1, self._sequence[channel], data, decider.name, 1)
            for other in range(len(self._deciders)):  # four layers of the tree
                if other != index:
                    self.clock.at(self.clock.now + 4 * NET, partial(self._took, other, item))

    def ask(self, index: int, number: int) -> None:
        """One gateway asks one server for what the feed needs."""
        self.count("probes")
        self.count("feed")
        asked_at = self.clock.now

        def arrived() -> None:
            server = self.servers[number]
            marks = {"log": (server.position(),)}
            self._passed[index].record_answer(self.clock.now, number, marks, asked_at)
            self._deciders[index].answered(self.clock.now, str(number), marks, asked_at)
            self._act(index)

        self.clock.at(asked_at + 2 * NET, arrived)

    def _took(self, index: int, item: Delivered) -> None:
        decider, passed = self._deciders[index], self._passed[index]
        decider.on_item(self.clock.now, item)
        told, decider.verified_positions = decider.verified_positions, []
        gateway = self.gateways[index]
        for one in told:
            number = int(one.server)
            primary = self._primary[self._group[number]]
            if number == primary:
                continue
            taken = passed.record_claim(self.clock.now, number, 1, one.marks)
            if passed.probe_due(self.clock.now, number):
                self.ask(index, number)
            # a mark proves no more than what this gateway knows itself of the log's head
            position = min(one.marks["log"][0], gateway.router.servers[primary].position)  # type: ignore[attr-defined]
            if taken and position > gateway.router.servers[number].position:  # type: ignore[attr-defined]
                gateway.handle(api.PositionGossiped(number, api.Report(position)))


def probes(asked: tuple[int, bool, int]) -> list[str]:
    """How often a server is asked by all gateways together, and what clients had of it."""
    gateways, fed, thick = asked
    kinds = tuple(replace(kind, work_s=kind.work_s / thick) for kind in World().workload)
    world = World(seed=3, gateways=gateways, length=14.0, rate=1200.0 * thick, workload=kinds)
    fleet = FedFleet(world, Router)
    if fed:
        fleet.clock.at(fleet.clock.now + MS, fleet.feed)
    spans = [span for span in fleet.run() if 6 <= span.second < 14]
    counts = {
        key: sum(span.counts[key] for span in spans) for key in ("probes", "feed", "miss", "ok", "good", "wanted")
    }
    return [
        str(gateways),
        f"{1200 * thick:,}",
        "one for all" if fed else "each alone",
        f"{counts['probes'] / 8 / len(fleet.servers):.1f}",
        f"{counts['feed'] / 8 / len(fleet.servers):.1f}",
        f"{1000 * counts['miss'] / max(1, counts['ok']):.2f}",
        f"{counts['good'] / max(1, counts['wanted']):.3f}",
    ]


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--jobs", type=int, default=4)
    arguments = parser.parse_args()
    quick = arguments.quick
    sizes = SIZES[:1] if quick else SIZES
    with ProcessPoolExecutor(arguments.jobs) as pool:
        asked = [
            pool.submit(probes, (size, fed, thick))
            for size, thick in (((8, 1),) if quick else ((48, 1), (200, 1), (200, 5)))
            for fed in (False, True)
        ]
        sent = [pool.submit(traffic, (size, items)) for size in reversed(sizes) for items in (0, 60)]
        tables, bars = [], {}
        first, bars = handing(pool, 4 if quick else SEEDS)
        tables.append(first)
        head = [
            "gateways",
            "items a minute on each of 12 channels",
            "all owned, s",
            "times owned",
            "most at one gateway",
            "feeds and leases, octets/s, mean",
            "most",
            "all of the link, mean",
            "withheld",
            "faults",
        ]
        rows = [one.result() for one in reversed(sent)]
        tables.append(
            table(
                "Traffic of one gateway",
                head,
                rows,
                ["Over 10 s, 20 s after all were owned. Every gateway follows every channel."],
            )
        )
        head = [
            "gateways",
            "requests a second, over all",
            "positions",
            "questions a second at one server, by all",
            "of them for the feed",
            "stale reads, in 1,000",
            "served in time",
        ]
        notes = [
            "The virtual fleet: 12 groups of a primary and 5 copies, servers that"
            " check nothing. A stale read is one that met a copy without what its session or bound needs."
        ]
        tables.append(table("Questions where servers stand", head, [one.result() for one in asked], notes))
    if not quick:
        chart("channels", "Milliseconds without an owner", ["p50", "p99", "worst"], bars)
        keep("channels", "Feeds that one gateway carries for all", tables)
    else:
        print("\n".join(tables))


if __name__ == "__main__":
    main()
