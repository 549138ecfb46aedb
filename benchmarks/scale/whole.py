"""Simulation of the whole fleet: python -m benchmarks.scale.whole [--gateways N] [--databases N] [--seconds N].

Hollow gateways in three regions and eleven zones run on a virtual clock, with the real logic of gossip, of list
distribution and of its publisher, through the compressed events of a day. Not simulated are statements, connections to
databases and sockets; the script moves the publisher's lease. The result is compared with each budget.
"""

from __future__ import annotations

import argparse
import json
import time
from collections.abc import Callable
from random import Random

from benchmarks.common import machine, table
from benchmarks.scale.__main__ import commit
from benchmarks.scale.gossip import mark_all_known
from benchmarks.scale.hollow import PUBLISHERS, SECOND, HollowFleet, Published, snapshot_of
from benchmarks.scale.line import FOLDER
from benchmarks.scale.memory import resident_kib
from yardbank.cluster.list_distribution.transfer import split
from yardbank.cluster.list_distribution.version import Version

CHANGE_EVERY = 5.0  # seconds; 18.8 on a day with 4,600 changes
BUDGET_OCTETS, BUDGET_PROCESSOR, BUDGET_KIB, BUDGET_SECONDS = 7000, 1.1, 128 * 1024, 7.0


def script(fleet: HollowFleet, seconds: float, random: Random) -> None:
    """Schedule the compressed events of a day."""
    names = fleet.names

    def at(second: float, action: Callable[[], object]) -> None:
        fleet.at(round(second * SECOND), lambda: (action(), None)[1])

    second = 10.0
    while second < seconds - 15:  # four times the rate of 4,600 changes per day
        at(second, lambda: fleet.change(random))
        second += CHANGE_EVERY
    for _ in range(round(seconds / 4)):  # ten times the rate of 2,100 restarts per day
        name = random.choice(names[PUBLISHERS:])
        begin = random.uniform(10, seconds - 30)
        at(begin, lambda name=name: fleet.stop(name))
        at(begin + 3, lambda name=name: fleet.restart(name))
    for name in names[30:40] if len(names) > 100 else names[-2:]:  # machines that fail permanently
        at(random.uniform(10, seconds - 30), lambda name=name: fleet.stop(name))
    rack = names[200:240] if len(names) > 400 else names[PUBLISHERS : PUBLISHERS + max(1, len(names) // 45)]
    for name in rack:
        at(0.15 * seconds, lambda name=name: fleet.stop(name))
        at(0.30 * seconds, lambda name=name: fleet.restart(name))
    zone = [name for name in names if fleet.zone_of[name].endswith("z07")]
    for name in zone:
        at(0.25 * seconds, lambda name=name: fleet.stop(name))
        at(0.45 * seconds, lambda name=name: fleet.restart(name))
    at(0.20 * seconds, lambda: _next_publisher(fleet))
    at(0.55 * seconds, lambda: fleet.separated_regions.add("r2"))
    at(0.80 * seconds, lambda: _reconnect_region(fleet))


def _next_publisher(fleet: HollowFleet) -> None:
    """Stop the publisher; another gateway gets the lease with a higher epoch."""
    fleet.stop(fleet.publisher)
    fleet.publisher, fleet.epoch = fleet.publishers[3], fleet.epoch + 1


def _reconnect_region(fleet: HollowFleet) -> None:
    fleet.separated_regions.clear()
    for name in fleet.nodes:
        if fleet.region(name) == "r2":
            fleet.returned[name] = fleet.now


def play(gateways: int, databases: int, seconds: float, seed: int = 1) -> dict[str, float]:
    """Run one compressed day and return its costs."""
    before = resident_kib()
    fleet = HollowFleet(gateways, databases, seed)
    for name in fleet.names:
        fleet.start(name)
    mark_all_known(fleet)
    for publisher in fleet.publishers:
        fleet.distribution[publisher].source(fleet.own(publisher), fleet.entries)
    script(fleet, seconds, Random(f"{seed}/script"))
    began = time.process_time()
    fleet.run(round(seconds * SECOND))
    processor = time.process_time() - began
    memory = (resident_kib() - before) / gateways
    times, missed = [], 0
    for version in fleet.versions.values():
        if version.at < (seconds - BUDGET_SECONDS) * SECOND:
            reachable = [name for name in version.reachable if name in fleet.nodes]
            late = [name for name in reachable if name not in version.held]
            missed += sum(_adopted_at(fleet, version, name) is None for name in late)
            times += [(_adopted_at(fleet, version, name) or version.at) - version.at for name in reachable]
    file = sum(len(block) + 2 for block in fleet.entries.values())
    chunks = split(snapshot_of(fleet.entries, Version(1, 1)))
    rates = sorted(octets / seconds for octets in fleet.octets.values())
    worst = max(octets for second, octets in fleet.octets_by_second.items() if second > 5) / gateways
    returns = sorted(took for _, took in fleet.caught_up)
    return {
        "gateways": gateways,
        "databases": databases,
        "seconds": seconds,
        "versions": len(fleet.versions),
        "in force, most, s": max(times) / SECOND,
        "in force, median, s": sorted(times)[len(times) // 2] / SECOND,
        "reachable and never": missed,
        "returns": len(returns),
        "return, most, s": returns[-1] if returns else 0.0,
        "returned and not caught up": len(fleet.returned),
        "octets/s, mean": sum(rates) / len(rates),
        "octets/s, most of one": rates[-1],
        "octets/s, worst second, mean of all": worst,
        "processor, % of a core": processor / seconds / gateways * 100,
        "memory, KiB": memory,
        "list as a file, octets": file,
        "list as a snapshot, octets": sum(len(chunk.body) for chunk in chunks),
    }


def _adopted_at(fleet: HollowFleet, version: Published, name: str) -> int | None:
    """Return when a gateway adopted a version or a later one; None: never."""
    after = [other.held[name] for other in fleet.versions.values() if other.at >= version.at and name in other.held]
    return min(after, default=None)


def report(found: dict[str, float]) -> str:
    """Render the results against each budget, and the calculated costs of whole lists."""
    per_change = 86_400 / 4600
    link = found["octets/s, mean"]
    before = found["list as a file, octets"] / per_change
    rows = [
        [
            "a change in force",
            f"{found['in force, most, s']:.2f} s at the latest, {found['in force, median, s']:.2f} s in the median",
            f"{BUDGET_SECONDS:g} s",
            f"{found['list as a file, octets'] / BUDGET_OCTETS:.0f} s: a whole file at the whole budget of octets",
        ],
        [
            "octets sent, a gateway",
            f"{link:,.0f} octets/s in the mean, {found['octets/s, most of one']:,.0f} the most of"
            f" one, {found['octets/s, worst second, mean of all']:,.0f} in the worst second",
            f"{BUDGET_OCTETS:,} octets/s",
            f"{before:,.0f} octets/s for the list alone",
        ],
        [
            "processor",
            f"{found['processor, % of a core']:.2f} % of a core, the measurement's own clock and network in it",
            f"{BUDGET_PROCESSOR} %",
            "-",
        ],
        ["memory", f"{found['memory, KiB'] / 1024:.1f} MiB", "128 MB", "-"],
        [
            "returned and caught up",
            f"{found['returns']:.0f} returns, {found['return, most, s']:.1f} s at the latest;"
            f" {found['returned and not caught up']:.0f} not before the end",
            "-",
            "-",
        ],
        ["reachable and never told", f"{found['reachable and never']:.0f}", "0", "-"],
    ]
    head = [
        "what",
        f"{found['gateways']:,.0f} hollow gateways, {found['databases']:,.0f} databases",
        "budget",
        "with whole lists (reckoned)",
    ]
    notes = [
        f"{found['versions']:.0f} versions in {found['seconds']:g} s of virtual time: changes come four times, restarts ten"
        " times as often as on a day. Whole lists are reckoned from the file's octets and 4,600 changes a day.",
    ]
    return table("Against the budgets", head, rows, notes)


def main() -> None:
    """Run the simulation and store the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--gateways", type=int, default=1800)
    parser.add_argument("--databases", type=int, default=3900)
    parser.add_argument("--seconds", type=float, default=200)
    arguments = parser.parse_args()
    found = play(arguments.gateways, arguments.databases, arguments.seconds)
    name = f"whole-{arguments.gateways}"
    FOLDER.mkdir(parents=True, exist_ok=True)
    (FOLDER / f"{name}.json").write_text(
        json.dumps({"commit": commit(), "machine": machine(), **found}, indent=1) + "\n"
    )
    text = (
        f"# The whole fleet: {arguments.gateways:,} hollow gateways\n\nTaken on {commit()}; {machine()}. Again:"
        f" `python -m benchmarks.scale.whole --gateways {arguments.gateways} --databases {arguments.databases}"
        f" --seconds {arguments.seconds:g}`.\n\n" + report(found)
    )
    (FOLDER / f"{name}.md").write_text(text)
    print(text)
    print(json.dumps(found, indent=1))


if __name__ == "__main__":
    main()
