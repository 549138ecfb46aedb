"""Plans: solver cost by size, comparison with equal and capacity weights, and servers of different speed."""

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
    """Servers of three sizes, unevenly distributed over zones; demand with a different distribution."""
    random_source = random.Random(seed)
    servers = tuple(
        PlanServer(f"s{n:04}", "g", random_source.choice("aaabbc"), random_source.choice((50.0, 100.0, 200.0)))
        for n in range(count)
    )
    total_rate = sum(s.capacity for s in servers) * load
    zone_weights = [random_source.uniform(0.2, 1.0) for _ in ZONES]
    demands = tuple(
        Demand(kind, "g", zone, round(total_rate * share * zone_weight / sum(zone_weights), 3))
        for kind, share in (("lookup", 0.6), ("status", 0.4))
        for zone, zone_weight in zip(ZONES, zone_weights, strict=True)
    )
    return Problem(servers, demands, Limits(spill=dict.fromkeys(ZONES, 1.0)))


def measure_sizes() -> list[list[str]]:
    rows = []
    for count in (30, 300, 3_000):
        case = problem(count, 1)
        times = []
        for _ in range(5):
            began = time.perf_counter()
            plan = solve(case)
            times.append(time.perf_counter() - began)
        assert plan.feasible
        shares = {s.name: Fraction(s.capacity) for s in case.servers}
        began = time.perf_counter()
        apertures = [aperture(shares, g, 300, 20, spares=2) for g in range(3)]
        aperture_time = (time.perf_counter() - began) / 3
        ring = Ring(shares)
        arc, arcs = ring.length / 300, ring.arcs(300, 20)
        reached = dict.fromkeys(ring.names, 0)
        for g in range(300):
            for index in ring.covered(arc * g, arc * arcs):
                reached[ring.names[index]] += 1
        assert all(len(chosen.weights) <= 20 for chosen in apertures)
        peak = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
        rows.append(
            [
                f"{count:,}",
                f"{statistics.median(times) * 1e3:.0f}",
                f"{peak:.0f}",
                f"{aperture_time * 1e3:.0f}",
                f"{min(reached.values())} to {max(reached.values())}",
            ]
        )
    return rows


def evaluate(
    case: Problem, shares: dict[tuple[str, str, str], dict[str, float]], without: set[str]
) -> tuple[float, float, float]:
    """Return cross-zone and unserved shares of the demand, and the highest utilization, without some servers."""
    remaining = {s.name: s for s in case.servers if s.name not in without}
    load, crossing = dict.fromkeys(remaining, 0.0), 0.0
    total_rate = sum(d.rate for d in case.demands)
    unserved = 0.0
    for d in case.demands:
        shares_left = {n: share for n, share in shares[d.kind, d.group, d.zone].items() if n in remaining}
        total = sum(shares_left.values())
        if not total:
            unserved += d.rate
            continue
        for name, share_left in shares_left.items():  # gateways use the others, in proportion to their shares
            load[name] += d.rate * share_left / total
            crossing += d.rate * share_left / total * (remaining[name].zone != d.zone)
    overload = sum(max(0.0, load[n] - remaining[n].capacity) for n in remaining)
    worst = max(load[n] / remaining[n].capacity for n in remaining)
    return crossing / total_rate, (overload + unserved) / total_rate, worst


def unserved_after_replanning(case: Problem, without: set[str]) -> float:
    """Return the unserved share of the demand after planning again without some servers."""
    rest = Problem(tuple(s for s in case.servers if s.name not in without), case.demands, case.limits)
    return sum(c.unserved for c in solve(rest).conflicts) / sum(d.rate for d in case.demands)


def compare_weightings() -> tuple[list[list[str]], dict[str, list[float]]]:
    """Compare the optimum, equal shares and weights by capacity on 30 fleets."""
    weightings = ("plan", "plan, worked out again after a loss", "weights by size", "equal shares")
    figures: dict[str, list[list[float]]] = {weighting: [] for weighting in weightings}
    for seed in range(30):
        case = problem(24, seed)
        size = sum(s.capacity for s in case.servers)
        largest = max(case.servers, key=lambda s: s.capacity).name
        zone = {s.name for s in case.servers if s.zone == "b"}
        for weighting in weightings:
            if weighting.startswith("plan"):
                shares = solve(case).shares
            else:
                even = {s.name: s.capacity / size if weighting == "weights by size" else 1 / 24 for s in case.servers}
                shares = {(d.kind, d.group, d.zone): even for d in case.demands}
            crossing, unserved, worst = evaluate(case, shares, set())
            if weighting == weightings[1]:
                without_server, without_zone = (
                    unserved_after_replanning(case, {largest}),
                    unserved_after_replanning(case, zone),
                )
            else:
                without_server, without_zone = evaluate(case, shares, {largest})[1], evaluate(case, shares, zone)[1]
            figures[weighting].append([crossing, worst, unserved, without_server, without_zone])
    rows, means = [], {}
    for weighting in weightings:
        mean = [statistics.mean(row[n] for row in figures[weighting]) for n in range(5)]
        means[weighting] = mean
        rows.append(
            [
                weighting,
                f"{mean[0]:.1%}",
                f"{max(row[1] for row in figures[weighting]):.0%}",
                *(f"{value:.1%}" for value in mean[2:]),
            ]
        )
    return rows, means


@inlineCallbacks
def play(reactor: Any, planned: bool, rows: list[list[str]]) -> Generator[Deferred[Any], Any, None]:
    """Run bounded reads for 8 s at 75 % of the capacity of four copies of different speed, as an open loop."""
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
        weight_lines = "".join(f"    {n} = {1 / factor / mean:.4f}\n" for n, factor in slow.items())
        (folder / "plan.hcl").write_text(
            f'plan "norte" {{\n  list = "{list_hash(specs)}"\n  made = {time.time():.3f}\n  weights {{\n{weight_lines}  }}\n}}\n'
        )
    world.watched = folder
    yield world.start_gateway()
    clients = []
    for number in range(8):
        client = yield connect(reactor, "127.0.0.1", world.port, f"c{number}")
        yield client.bind(DESK_DN, DESK_PASSWORD)
        clients.append(client)
    random_source, times, failures, waiting = random.Random(1), [], [0], []
    rate = 0.75 * sum(1 / (0.01 * factor) for factor in slow.values())
    began = reactor.seconds()
    due_at = began

    def done(answer: Any, due: float) -> None:
        if answer.code == 0:
            times.append(reactor.seconds() - due)  # measured from the due time, so that a late start counts
        else:
            failures[0] += 1

    while due_at < began + 8:
        due_at += random_source.expovariate(rate)
        if (wait := due_at - reactor.seconds()) > 0.001:
            yield deferLater(reactor, wait, lambda: None)
        request = m.SearchRequest(f"cn={random_source.randrange(20)},ou=numbers,dc=porting", 0, m.Present("cn"))
        waiting.append(random_source.choice(clients).request(request).addCallback(done, due_at))
    for pending in waiting:  # noqa: UP028 - waits for one Deferred after the other
        yield pending
    ordered = sorted(times)
    served = len([t for t in times if t < 0.5]) / (len(times) + failures[0])
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
    by_size = measure_sizes()
    rows, means = compare_weightings()
    live: list[list[str]] = []
    failed: list[Any] = []

    @inlineCallbacks
    def run_all() -> Generator[Deferred[Any], Any, None]:
        for planned in (False, True, False, True):
            yield play(reactor, planned, live)

    done = run_all()
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
