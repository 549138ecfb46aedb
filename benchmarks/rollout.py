"""A rolling change in stages: python -m benchmarks.rollout [--long] [sizes ...].

The program's deciders on a virtual clock, requests drawn. A bad version: which gateways and how many requests met it
until all were back, against changing all at once and against fixed waits, where somebody has to notice. A sound one:
how long it takes. Of more than 100 gateways only one bad version is played, unless it may be long (half an hour).
"""

from __future__ import annotations

import argparse
from concurrent.futures import ProcessPoolExecutor
from statistics import mean

from benchmarks.common import chart, keep, table
from tests.support.rollout_fleet import SECOND, Kind, World, change, zoned
from yardbank.cluster.rollout.stage_plan import StagePlan

SIZES = (8, 24, 48, 200)
RATE = 30.0  # requests a second of each gateway
NOTICED = 300.0  # seconds until a person notices, where nothing judges
STAGES = (0.02, 0.1, 0.5, 1.0)
HOLD, DOWN, SETTLE = 60, 2, 3  # seconds
SHORT = "10 % late"
BAD = {"3 % late": 0.03, "10 % late": 0.1, "half late": 0.5}


def at_once(size: int) -> int:
    return max(1, size // 25 or 1) if size < 100 else 8


def asked(size: int) -> object:
    return change(stages=STAGES, hold=HOLD * SECOND, most_at_once=at_once(size), longest=1800 * SECOND, worse_by=0.02)


def play(what: tuple[int, float]) -> tuple[int, float, int, int, float, float, int]:
    """One rollout: size, how bad; gateways and requests that met it, seconds until all is over, octets a second."""
    size, late = what
    world = World(zoned(size, 3), seed=size)
    world.run(30)
    world.kinds = lambda name, new, second: {"lookup:0": Kind(RATE, late=0.01 + (late if new else 0))}
    began = world.gossip.now
    world.ask(asked(size))
    if late:
        over = world.until(lambda: len(world.said("stopped")) == size and world.all_old(), 3600)
    else:
        over = world.until(lambda: len(world.said("finished")) == size, 7200)
    octets = mean(world.gossip.octets.values()) / (world.gossip.now / SECOND)
    stop = min((at for at, _, _ in world.said("stopped")), default=0.0) - began / SECOND
    took = (over - began) / SECOND if over else float("inf")
    return size, late, len(world.requests), sum(world.requests.values()), stop, took, round(octets)


def without(size: int, waits: bool) -> tuple[int, int]:
    """Gateways and requests that meet a bad version where nobody judges: at once, or by stages with fixed waits."""
    order = StagePlan("c1", zoned(size, 3), STAGES)
    each = (DOWN + SETTLE) / at_once(size)
    on, at = [], 0.0  # when each goes over
    for stage in range(1, len(STAGES) + 1):
        for _ in order.of(stage):
            on.append(at)
            at += each if waits else 0
        at += HOLD if waits else 0
    met = [since for since in on if since < NOTICED]
    back = [NOTICED + (place * each if waits else 0) for place in range(len(met))]
    return len(met), round(sum((end - since) * RATE for since, end in zip(met, back, strict=True)))


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("sizes", nargs="*", type=int, default=list(SIZES))
    parser.add_argument("--long", action="store_true")
    asked_for = parser.parse_args()
    sizes = asked_for.sizes or list(SIZES)
    short = {size for size in sizes if size > 100 and not asked_for.long}
    runs = [(size, late) for size in sorted(sizes, reverse=True) for late in (BAD[SHORT], 0.0, *BAD.values())]
    runs = [run for run in dict.fromkeys(runs) if run[0] not in short or run[1] == BAD[SHORT]]
    with ProcessPoolExecutor(2) as pool:
        found = {(size, late): rest for size, late, *rest in pool.map(play, runs)}
    rows, bars = [], {"at once": [], "fixed waits": [], "judged": []}
    for size in sizes:
        for name, late in BAD.items():
            if (size, late) not in found:
                continue
            gateways, requests, stop, took, _ = found[size, late]
            once, fixed = without(size, False), without(size, True)
            rows.append(
                [
                    str(size),
                    name,
                    str(gateways),
                    f"{requests:,}",
                    f"{stop:.0f}",
                    f"{took:.0f}",
                    f"{once[0]}",
                    f"{once[1]:,}",
                    f"{fixed[0]}",
                    f"{fixed[1]:,}",
                ]
            )
        bars["at once"].append(without(size, False)[1])
        bars["fixed waits"].append(without(size, True)[1])
        bars["judged"].append(found[size, BAD[SHORT]][1])
    good = [
        [str(size), str(at_once(size)), f"{found[size, 0.0][3]:.0f}", str(found[size, 0.0][4])]
        for size in sizes
        if (size, 0.0) in found
    ]
    notes = [
        f"{RATE:.0f} requests a second at each gateway, one class, 1 % late on the old version; {len(STAGES)} stages of"
        f" {', '.join(f'{share:.0%}' for share in STAGES)}, hold {HOLD} s, worse by 2 %. Deciders on a virtual clock with"
        " real leases and records; a change takes a start anew. At once and fixed waits: worked out, not played; nobody"
        f" judges there, and somebody notices after {NOTICED:.0f} s and takes it back.",
    ]
    tables = [
        table(
            "A bad version",
            [
                "gateways",
                "how bad",
                "met it",
                "requests that met it",
                "stopped after, s",
                "all back after, s",
                "at once: met it",
                "requests",
                "fixed waits: met it",
                "requests",
            ],
            rows,
            notes,
        ),
        table(
            "A sound version",
            ["gateways", "at most at once", "through after, s", "octets/s a gateway, all of the link"],
            good,
            [""],
        ),
    ]
    chart("rollout", "Requests that met a version of which 10 % come late", [str(size) for size in sizes], bars)
    keep("rollout", "A rolling change in stages", tables)


if __name__ == "__main__":
    main()
