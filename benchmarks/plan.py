"""Plans: cost by size, against equal and hand-set weights, and on stand-ins of differing speed."""

from __future__ import annotations

import random
import resource
import statistics
import tempfile
import time
from collections.abc import Generator
from fractions import Fraction
from pathlib import Path
from typing import Any

from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.internet.task import deferLater

from benchmarks.common import chart, keep, table
from yardbank.cli.common import set_up_logs
from yardbank.gateway.api import ServerSpec
from yardbank.ldap import messages as m
from yardbank.plan import Demand, Limits, PlanServer, Problem, solve
from yardbank.plan.active_plan import list_hash
from yardbank.plan.aperture import Ring, aperture
from yardbank.server_list.document import render
from yardbank.testing.demo.world import DESK_DN, DESK_PASSWORD, Recorder, World
from yardbank.testing.rig.client import connect
from yardbank.testing.standin.server import Capacity

ZONES = ("a", "b", "c")


def problem(count: int, seed: int, load: float = 0.6) -> Problem:
    """Servers of three kinds, more in one zone than in the others; demand that does not follow them."""
    chance = random.Random(seed)
    servers = tuple(
        PlanServer(f"s{n:04}", "g", chance.choice("aaabbc"), chance.choice((50.0, 100.0, 200.0))) for n in range(count)
    )
    whole = sum(s.capacity for s in servers) * load
    parts = [chance.uniform(0.2, 1.0) for _ in ZONES]
    demands = tuple(
        Demand(kind, "g", zone, round(whole * share * part / sum(parts), 3))
        for kind, share in (("lookup", 0.6), ("status", 0.4))
        for zone, part in zip(ZONES, parts, strict=True)
    )
    return Problem(servers, demands, Limits(spill=dict.fromkeys(ZONES, 1.0)))


def sizes() -> list[list[str]]:
    rows = []
    for count in (30, 300, 3_000):
        asked = problem(count, 1)
        times = []
        for _ in range(5):
            began = time.perf_counter()
            plan = solve(asked)
            times.append(time.perf_counter() - began)
        assert plan.feasible
        shares = {s.name: Fraction(s.capacity) for s in asked.servers}
        began = time.perf_counter()
        mine = [aperture(shares, g, 300, 20, spares=2) for g in range(3)]
        cut = (time.perf_counter() - began) / 3
        ring = Ring(shares)
        arc, number = ring.length / 300, ring.arcs(300, 20)
        reached = dict.fromkeys(ring.names, 0)
        for g in range(300):
            for place in ring.covered(arc * g, arc * number):
                reached[ring.names[place]] += 1
        assert all(len(one.weights) <= 20 for one in mine)
        peak = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
        rows.append(
            [
                f"{count:,}",
                f"{statistics.median(times) * 1e3:.0f}",
                f"{peak:.0f}",
                f"{cut * 1e3:.0f}",
                f"{min(reached.values())} to {max(reached.values())}",
            ]
        )
    return rows


def judged(
    asked: Problem, shares: dict[tuple[str, str, str], dict[str, float]], without: set[str]
) -> tuple[float, float, float]:
    """Crossing and unserved as parts of the demand, and the worst server's load, with some servers gone."""
    left = {s.name: s for s in asked.servers if s.name not in without}
    load, crossing = dict.fromkeys(left, 0.0), 0.0
    whole = sum(d.rate for d in asked.demands)
    lost = 0.0
    for d in asked.demands:
        parts = {n: share for n, share in shares[d.kind, d.group, d.zone].items() if n in left}
        total = sum(parts.values())
        if not total:
            lost += d.rate
            continue
        for name, part in parts.items():  # gateways turn to the others, in the proportions of their shares
            load[name] += d.rate * part / total
            crossing += d.rate * part / total * (left[name].zone != d.zone)
    over = sum(max(0.0, load[n] - left[n].capacity) for n in left)
    worst = max(load[n] / left[n].capacity for n in left)
    return crossing / whole, (over + lost) / whole, worst


def again(asked: Problem, without: set[str]) -> float:
    """What goes unserved when the rest is planned anew."""
    rest = Problem(tuple(s for s in asked.servers if s.name not in without), asked.demands, asked.limits)
    return sum(c.unserved for c in solve(rest).conflicts) / sum(d.rate for d in asked.demands)


def compared() -> tuple[list[list[str]], dict[str, list[float]]]:
    """The optimum, equal shares and weights by size, over 30 fleets."""
    ways = ("plan", "plan, worked out again after a loss", "weights by size", "equal shares")
    figures: dict[str, list[list[float]]] = {way: [] for way in ways}
    for seed in range(30):
        asked = problem(24, seed)
        size = sum(s.capacity for s in asked.servers)
        largest = max(asked.servers, key=lambda s: s.capacity).name
        zone = {s.name for s in asked.servers if s.zone == "b"}
        for way in ways:
            if way.startswith("plan"):
                shares = solve(asked).shares
            else:
                even = {s.name: s.capacity / size if way == "weights by size" else 1 / 24 for s in asked.servers}
                shares = {(d.kind, d.group, d.zone): even for d in asked.demands}
            crossing, unserved, worst = judged(asked, shares, set())
            if way == ways[1]:
                one, region = again(asked, {largest}), again(asked, zone)
            else:
                one, region = judged(asked, shares, {largest})[1], judged(asked, shares, zone)[1]
            figures[way].append([crossing, worst, unserved, one, region])
    rows, means = [], {}
    for way in ways:
        mean = [statistics.mean(row[n] for row in figures[way]) for n in range(5)]
        means[way] = mean
        rows.append(
            [
                way,
                f"{mean[0]:.1%}",
                f"{max(row[1] for row in figures[way]):.0%}",
                *(f"{value:.1%}" for value in mean[2:]),
            ]
        )
    return rows, means


@inlineCallbacks
def play(reactor: Any, planned: bool, rows: list[list[str]]) -> Generator[Deferred[Any], Any, None]:
    """Bounded reads at 75 % of what four copies of differing speed can do, open loop, for 8 s."""
    members = {"numbers": [("n0", "norte"), *((f"n{n}", "norte") for n in range(1, 5))]}
    capacity = Capacity(slots=1, queue=200, read_s=0.01)
    world = World(
        reactor,
        Recorder(),
        daemon=True,
        capacity=capacity,
        groups={"numbers": "ou=numbers,dc=porting"},
        members=members,
    )
    world.load(20)
    slow = {"n1": 1.0, "n2": 1.0, "n3": 2.0, "n4": 4.0}
    for name, factor in slow.items():
        world.servers[name].faults.slow = factor
    specs = [ServerSpec(n, "numbers", z, "127.0.0.1", world.servers[n].port, n == "n0") for n, z in members["numbers"]]
    folder = Path(tempfile.mkdtemp()) / "list.d"
    folder.mkdir()
    (folder / "servers.hcl").write_text(render(specs))
    if planned:
        mean = sum(1 / factor for factor in slow.values()) / len(slow)
        rows_ = "".join(f"    {n} = {1 / factor / mean:.4f}\n" for n, factor in slow.items())
        (folder / "plan.hcl").write_text(
            f'plan "norte" {{\n  list = "{list_hash(specs)}"\n  made = {time.time():.3f}\n  weights {{\n{rows_}  }}\n}}\n'
        )
    world.watched = folder
    yield world.start_gateway()
    clients = []
    for number in range(8):
        client = yield connect(reactor, "127.0.0.1", world.port, f"c{number}")
        yield client.bind(DESK_DN, DESK_PASSWORD)
        clients.append(client)
    chance, times, bad, waiting = random.Random(1), [], [0], []
    rate = 0.75 * sum(1 / (0.01 * factor) for factor in slow.values())
    began = reactor.seconds()
    at = began

    def done(answer: Any, due: float) -> None:
        if answer.code == 0:
            times.append(reactor.seconds() - due)  # from when it was due: a late start counts
        else:
            bad[0] += 1

    while at < began + 8:
        at += chance.expovariate(rate)
        if (wait := at - reactor.seconds()) > 0.001:
            yield deferLater(reactor, wait, lambda: None)
        request = m.SearchRequest(f"cn={chance.randrange(20)},ou=numbers,dc=porting", 0, m.Present("cn"))
        waiting.append(chance.choice(clients).request(request).addCallback(done, at))
    for one in waiting:  # noqa: UP028 - of Deferreds, one by one
        yield one
    ordered = sorted(times)
    served = len([t for t in times if t < 0.5]) / (len(times) + bad[0])
    rows.append(
        [
            "by the plan" if planned else "equal",
            f"{rate:.0f}",
            f"{served:.1%}",
            f"{ordered[len(ordered) // 2] * 1e3:.1f}",
            f"{ordered[int(0.99 * len(ordered))] * 1e3:.1f}",
        ]
    )
    for client in clients:
        client.leave()
    yield world.stop_gateway()
    world.close()


def main() -> None:
    """Measure and keep."""
    from twisted.internet import reactor as installed

    reactor: Any = installed
    reactor.seconds = time.monotonic
    set_up_logs("error", "console")
    by_size = sizes()
    rows, means = compared()
    live: list[list[str]] = []
    failed: list[Any] = []

    @inlineCallbacks
    def both() -> Generator[Deferred[Any], Any, None]:
        for planned in (False, True, False, True):
            yield play(reactor, planned, live)

    done = both()
    done.addErrback(failed.append)
    done.addBoth(lambda _: reactor.callLater(0, reactor.stop))
    reactor.run()
    if failed:
        raise SystemExit(failed[0].getTraceback())
    labels = ["crossing", "worst load", "unserved", "a server lost", "a zone lost"]
    chart("plan", "Mean over 30 fleets of 24 servers", labels, means)
    keep(
        "plan",
        "Plans",
        [
            table(
                "Cost",
                ["servers", "solve, p50 ms", "peak memory MiB", "own subset, ms", "gateways on one server"],
                by_size,
                [
                    "One group, 3 zones, 2 classes; 300 gateways of at most 20 servers each. Memory of the whole process. The "
                    "plan's shares are kept exactly whatever the counts of gateways: arcs differ in length."
                ],
            ),
            table(
                "Against other weights",
                [
                    "weights",
                    "reads that cross zones",
                    "worst server's load",
                    "unserved",
                    "unserved, largest server lost",
                    "unserved, zone b lost",
                ],
                rows,
                [
                    "30 random fleets of 24 servers of three sizes, demand at 60 %. After a loss the rest is shared as before.",
                    "![chart](plan.svg)",
                ],
            ),
            table(
                "Four copies of speeds 1, 1, 1/2, 1/4 at 75 %",
                ["weights", "reads/s", "served in 500 ms", "p50 ms", "p99 ms"],
                live,
                [
                    "Open loop, 8 s each, in turn; stand-in servers on loopback. Between equals the module follows weights; "
                    "what it sees of a server's speed outranks them."
                ],
            ),
        ],
    )


if __name__ == "__main__":
    main()
