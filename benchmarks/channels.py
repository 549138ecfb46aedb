"""Channels that one gateway serves for the fleet: python -m benchmarks.channels [--quick].

Runs the decision logic and real leases on a virtual clock. Measures planned and unplanned handovers, traffic by size of
the fleet, and how often a server is asked for its position if each gateway asks, or one gateway asks for all.
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
NO_LOSS, LOSSY = Effect(delay=0.0005, jitter=0.001), Effect(delay=0.002, jitter=0.02, lose=0.1, double=0.05)
SIZES = (8, 48, 200)
ONE_WAY_DELAY = MS // 2


def measure_handover(case: tuple[int, bool, bool]) -> tuple[list[float], float, int, int, int, int]:
    """Run one seed. Returns ms without an owner by handed-over channel, overlap, items due, items lost, gaps, faults."""
    seed, planned, lossy = case
    fleet = ChannelFleet(7, 6, seed, every=50 * MS, step=5 * MS)
    fleet.start()
    if not fleet.run_until(fleet.all_owned, 60 * SECOND):
        raise SystemExit(f"seed {seed}: never all owned")
    fleet.run(3 * SECOND)
    fleet.gossip.way = LOSSY if lossy else NO_LOSS
    fleet.run(SECOND)
    victim = fleet.owner(fleet.channels[0])[0]
    channels = [channel for channel in fleet.channels if fleet.owner(channel) == (victim,)]
    stopped_at = fleet.gossip.now
    if planned:
        fleet.stop(victim)
    else:
        fleet.kill(victim)
    fleet.run(8 * SECOND)
    fleet.publishing = False  # messages in flight arrive
    fleet.run(2 * SECOND)
    ownerless_ms = []
    for channel in channels:
        changes = [*fleet.owners[channel], (fleet.gossip.now, ())]
        intervals = [
            (at, until)
            for (at, names), (until, _) in pairwise(changes)
            if at >= stopped_at and not set(names) - ({victim} if not planned else set())
        ]
        if not planned:  # the step in which it died counts
            intervals = [
                (
                    stopped_at,
                    next(
                        (at for at, names in changes if at > stopped_at and names and names != (victim,)),
                        fleet.gossip.now,
                    ),
                )
            ]
        ownerless_ms.append(sum(until - at for at, until in intervals) / MS)
    lost = items_due = 0
    for listener in fleet.listeners:
        if listener.name == victim:
            continue
        for channel, heard in listener.heard.items():
            items = [event for _, event in heard if isinstance(event, Delivered)]
            first = items[0]
            count = sum(
                last if epoch > first.epoch else last - first.sequence + 1
                for (name, epoch), last in fleet.published.items()
                if name == channel and epoch >= first.epoch
            )
            items_due, lost = items_due + count, lost + count - len(items)
    return ownerless_ms, fleet.two_owners() / MS, items_due, lost, len(fleet.gaps()), len(fleet.faults())


def measure_handovers(pool: ProcessPoolExecutor, seeds: int) -> tuple[str, dict[str, list[float]]]:
    rows, bars = [], {}
    for planned in (True, False):
        for lossy in (False, True):
            runs = list(pool.map(measure_handover, [(seed, planned, lossy) for seed in range(1, seeds + 1)]))
            times = sorted(value for run in runs for value in run[0])
            label = f"{'planned' if planned else 'killed'}, {'10 % lost' if lossy else 'sound'}"
            figures = [median(times), times[int(0.99 * len(times))], times[-1]]
            bars[label] = figures
            rows.append(
                [
                    "planned" if planned else "killed",
                    "10 % lost, 5 % doubled" if lossy else "sound",
                    str(len(times)),
                    *(f"{value:.0f}" for value in figures),
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


def measure_traffic(case: tuple[int, int]) -> list[str]:
    """Measure the traffic for one size of the fleet and rate of items per minute on each of 12 channels."""
    size, items = case
    fleet = ChannelFleet(size, 12, size, every=60 * SECOND // max(1, items))
    fleet.start()
    all_owned_at = fleet.run_until(fleet.all_owned, 60 * SECOND)
    fleet.run(20 * SECOND)
    nodes = fleet.gossip.nodes.values()
    before, octets_before = sum(fleet.gossip.octets.values()), [node.outbox.octets for node in nodes]
    withheld = [0] * 3
    span = 10 * SECOND
    fleet.run(span)
    rates = sorted(
        (node.outbox.octets - sent_before) / 10 for node, sent_before in zip(nodes, octets_before, strict=True)
    )
    withheld[0] = sum(node.outbox.withheld for node in nodes)
    loads = sorted(fleet.loads().values())
    return [
        str(size),
        str(items),
        "never" if all_owned_at is None else f"{all_owned_at / SECOND:.1f}",
        str(fleet.moved()),
        str(loads[-1]),
        f"{mean(rates):.0f}",
        f"{rates[-1]:.0f}",
        f"{(sum(fleet.gossip.octets.values()) - before) / size / 10:.0f}",
        str(withheld[0]),
        str(len(fleet.faults())),
    ]


class FedFleet(Fleet):
    """The virtual fleet, in which one gateway per group asks for positions and shares them."""

    def _settings(self, zone: str, number: int) -> api.Settings:
        return replace(super()._settings(zone, number), checks="none", tokens="remembered")  # as with LDAP servers

    def feed(self) -> None:
        """Start sharing: one gateway owns each group. The decision logic is that of the program."""
        servers = [
            ListedServer(str(number), str(member.group), 1)
            for number, member in ((member.server, member) for member in self.members)
        ]
        self._position_services = [Positions(str(one.number), Random(one.number), Options()) for one in self.gateways]
        self._gossiped = [GossipedPositions(Random(one.number), 4 * SECOND) for one in self.gateways]
        self._primary = {member.group: member.server for member in self.members if member.primary}
        self._group = {member.server: member.group for member in self.members}
        for decider in self._position_services:
            decider.listed(self.clock.now, servers)
        for group in {member.group for member in self.members}:
            self._position_services[group * 7 % len(self._position_services)].owned(self.clock.now, str(group))
        self._sequence: defaultdict[str, int] = defaultdict(int)
        for index in range(len(self._position_services)):
            self._tick(index)

    def _tick(self, index: int) -> None:
        decider = self._position_services[index]
        decider.tick(self.clock.now)
        self._act(index)
        self.clock.at(max(decider.next_at(), self.clock.now + MS), lambda: self._tick(index))

    def _act(self, index: int) -> None:
        decider = self._position_services[index]
        asks, decider.asks = decider.asks, []
        for name in asks:
            self.ask(index, int(name))
        items, decider.items = decider.items, []
        for channel, data in items:
            self._sequence[channel] += 1
            item = Delivered(channel, 1, self._sequence[channel], data, decider.name, 1)
            for other in range(len(self._position_services)):  # four layers of the distribution tree
                if other != index:
                    self.clock.at(self.clock.now + 4 * ONE_WAY_DELAY, partial(self._receive_item, other, item))

    def ask(self, index: int, number: int) -> None:
        """Let one gateway ask a server for its position."""
        self.count("probes")
        self.count("feed")
        asked_at = self.clock.now

        def arrived() -> None:
            server = self.servers[number]
            marks = {"log": (server.position(),)}
            self._gossiped[index].record_answer(self.clock.now, number, marks, asked_at)
            self._position_services[index].answered(self.clock.now, str(number), marks, asked_at)
            self._act(index)

        self.clock.at(asked_at + 2 * ONE_WAY_DELAY, arrived)

    def _receive_item(self, index: int, item: Delivered) -> None:
        decider, gossiped = self._position_services[index], self._gossiped[index]
        decider.on_item(self.clock.now, item)
        claims, decider.verified_positions = decider.verified_positions, []
        gateway = self.gateways[index]
        for claim in claims:
            number = int(claim.server)
            primary = self._primary[self._group[number]]
            if number == primary:
                continue
            accepted = gossiped.record_claim(self.clock.now, number, 1, claim.marks)
            if gossiped.probe_due(self.clock.now, number):
                self.ask(index, number)
            # a mark proves no more than the log head that this gateway knows itself
            position = min(claim.marks["log"][0], gateway.router.servers[primary].position)  # type: ignore[attr-defined]
            if accepted and position > gateway.router.servers[number].position:  # type: ignore[attr-defined]
                gateway.handle(api.PositionGossiped(number, api.Report(position)))


def measure_probes(case: tuple[int, bool, int]) -> list[str]:
    """Measure how often all gateways together ask a server, and the effect on clients."""
    gateways, shared, load_factor = case
    workload = tuple(replace(kind, work_s=kind.work_s / load_factor) for kind in World().workload)
    world = World(seed=3, gateways=gateways, length=14.0, rate=1200.0 * load_factor, workload=workload)
    fleet = FedFleet(world, Router)
    if shared:
        fleet.clock.at(fleet.clock.now + MS, fleet.feed)
    spans = [span for span in fleet.run() if 6 <= span.second < 14]
    counts = {
        key: sum(span.counts[key] for span in spans) for key in ("probes", "feed", "miss", "ok", "good", "wanted")
    }
    return [
        str(gateways),
        f"{1200 * load_factor:,}",
        "one for all" if shared else "each alone",
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
        probe_runs = [
            pool.submit(measure_probes, (size, shared, load_factor))
            for size, load_factor in (((8, 1),) if quick else ((48, 1), (200, 1), (200, 5)))
            for shared in (False, True)
        ]
        traffic_runs = [pool.submit(measure_traffic, (size, items)) for size in reversed(sizes) for items in (0, 60)]
        tables, bars = [], {}
        first, bars = measure_handovers(pool, 4 if quick else SEEDS)
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
        rows = [run.result() for run in reversed(traffic_runs)]
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
        tables.append(table("Questions where servers stand", head, [run.result() for run in probe_runs], notes))
    if not quick:
        chart("channels", "Milliseconds without an owner", ["p50", "p99", "worst"], bars)
        keep("channels", "Feeds that one gateway carries for all", tables)
    else:
        print("\n".join(tables))


if __name__ == "__main__":
    main()
