"""Staged rollouts: python -m benchmarks.rollout [--long] [sizes ...].

Runs the program's decision logic on a virtual clock with random requests. For a bad version: the gateways and requests
affected until all have reverted, compared with changing all at once and with fixed waits, where a person has to notice
the fault. For a good version: the duration. With more than 100 gateways only one bad version is run, unless ``--long``
is given (half an hour).
"""

from __future__ import annotations

import argparse
from concurrent.futures import ProcessPoolExecutor
from statistics import mean

from benchmarks.common import chart, keep, table
from tests.support.rollout_fleet import SECOND, Kind, World, change, zoned
from yardbank.cluster.rollout.stage_plan import StagePlan

SIZES = (8, 24, 48, 200)
RATE = 30.0  # requests per second of each gateway
NOTICED_AFTER_S = 300.0  # seconds until a person notices a fault that nothing detects automatically
STAGES = (0.02, 0.1, 0.5, 1.0)
HOLD, DOWN, SETTLE = 60, 2, 3  # seconds
SHORT_RUN_CASE = "10 % late"
LATE_SHARES = {"3 % late": 0.03, "10 % late": 0.1, "half late": 0.5}


def max_at_once(size: int) -> int:
    return max(1, size // 25 or 1) if size < 100 else 8


def rollout_change(size: int) -> object:
    return change(
        stages=STAGES, hold=HOLD * SECOND, most_at_once=max_at_once(size), longest=1800 * SECOND, worse_by=0.02
    )


def play(case: tuple[int, float]) -> tuple[int, float, int, int, float, float, int]:
    """Run one rollout of a size and share of late requests.

    Returns both, the affected gateways and requests, seconds until the stop and until the end, and octets per second.
    """
    size, late = case
    world = World(zoned(size, 3), seed=size)
    world.run(30)
    world.kinds = lambda name, new, second: {"lookup:0": Kind(RATE, late=0.01 + (late if new else 0))}
    began = world.gossip.now
    world.ask(rollout_change(size))
    if late:
        ended_at = world.until(lambda: len(world.said("stopped")) == size and world.all_old(), 3600)
    else:
        ended_at = world.until(lambda: len(world.said("finished")) == size, 7200)
    octets = mean(world.gossip.octets.values()) / (world.gossip.now / SECOND)
    stop = min((at for at, _, _ in world.said("stopped")), default=0.0) - began / SECOND
    duration_s = (ended_at - began) / SECOND if ended_at else float("inf")
    return size, late, len(world.requests), sum(world.requests.values()), stop, duration_s, round(octets)


def without_detection(size: int, waits: bool) -> tuple[int, int]:
    """Return gateways and requests affected by a bad version without detection: at once, or in stages with fixed waits."""
    stage_plan = StagePlan("c1", zoned(size, 3), STAGES)
    per_gateway_s = (DOWN + SETTLE) / max_at_once(size)
    changed_at, at = [], 0.0  # when each gateway changes
    for stage in range(1, len(STAGES) + 1):
        for _ in stage_plan.of(stage):
            changed_at.append(at)
            at += per_gateway_s if waits else 0
        at += HOLD if waits else 0
    affected = [since for since in changed_at if since < NOTICED_AFTER_S]
    reverted_at = [NOTICED_AFTER_S + (place * per_gateway_s if waits else 0) for place in range(len(affected))]
    return len(affected), round(sum((end - since) * RATE for since, end in zip(affected, reverted_at, strict=True)))


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("sizes", nargs="*", type=int, default=list(SIZES))
    parser.add_argument("--long", action="store_true")
    arguments = parser.parse_args()
    sizes = arguments.sizes or list(SIZES)
    short = {size for size in sizes if size > 100 and not arguments.long}
    runs = [
        (size, late)
        for size in sorted(sizes, reverse=True)
        for late in (LATE_SHARES[SHORT_RUN_CASE], 0.0, *LATE_SHARES.values())
    ]
    runs = [run for run in dict.fromkeys(runs) if run[0] not in short or run[1] == LATE_SHARES[SHORT_RUN_CASE]]
    with ProcessPoolExecutor(2) as pool:
        found = {(size, late): rest for size, late, *rest in pool.map(play, runs)}
    rows, bars = [], {"at once": [], "fixed waits": [], "judged": []}
    for size in sizes:
        for name, late in LATE_SHARES.items():
            if (size, late) not in found:
                continue
            gateways, requests, stop, duration_s, _ = found[size, late]
            once, fixed = without_detection(size, False), without_detection(size, True)
            rows.append(
                [
                    str(size),
                    name,
                    str(gateways),
                    f"{requests:,}",
                    f"{stop:.0f}",
                    f"{duration_s:.0f}",
                    f"{once[0]}",
                    f"{once[1]:,}",
                    f"{fixed[0]}",
                    f"{fixed[1]:,}",
                ]
            )
        bars["at once"].append(without_detection(size, False)[1])
        bars["fixed waits"].append(without_detection(size, True)[1])
        bars["judged"].append(found[size, LATE_SHARES[SHORT_RUN_CASE]][1])
    good = [
        [str(size), str(max_at_once(size)), f"{found[size, 0.0][3]:.0f}", str(found[size, 0.0][4])]
        for size in sizes
        if (size, 0.0) in found
    ]
    notes = [
        f"{RATE:.0f} requests a second at each gateway, one class, 1 % late on the old version; {len(STAGES)} stages of"
        f" {', '.join(f'{share:.0%}' for share in STAGES)}, hold {HOLD} s, worse by 2 %. Deciders on a virtual clock with"
        " real leases and records; a change takes a start anew. At once and fixed waits: worked out, not played; nobody"
        f" judges there, and somebody notices after {NOTICED_AFTER_S:.0f} s and takes it back.",
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
