"""Recovery of a simulated fleet from a burst of load: python -m benchmarks.collapse [--seeds N].

Decision modules run on a virtual clock against simulated servers with cores, a queue and an apply thread that contends
with reads, and clients that retry. Each case also runs with servers that do not report their load, to measure the
fallback of the module.
"""

from __future__ import annotations

import argparse
from collections import Counter
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor

from benchmarks.common import keep, table
from yardbank.testing.rig.virtual import Fleet, Span, World, served_share

BASELINE_START, BURST_START, BURST_END, RUN_END = 1.5, 5.0, 8.0, 16.0
LOAD_SHAPES: dict[str, Callable[[float], float]] = {
    "half as much again, 3 s": lambda second: 1.5 if BURST_START <= second < BURST_END else 1.0,
    "twice, 1 s": lambda second: 2.0 if BURST_START <= second < BURST_START + 1 else 1.0,
    "a ramp to twice": lambda second: (
        1 + (second - BURST_START) / (BURST_END - BURST_START) if BURST_START <= second < BURST_END else 1.0
    ),
}
SIZES = (20, 200, 500)
GROUP_RATE = 125.0  # first attempts per second, which utilize servers with three cores to two thirds


def world(gateways: int, shape: str, seed: int, tells_load: bool = True) -> World:
    """Ten groups of six servers. The number of gateways varies, the total load does not."""
    return World(
        seed=seed,
        gateways=gateways,
        groups=10,
        rate=10 * GROUP_RATE,
        load=LOAD_SHAPES[shape],
        length=RUN_END,
        tells_load=tells_load,
    )


def play(case: tuple[int, str, int, bool]) -> list[Span]:
    """Run one case, in a separate process."""
    from yardbank.policy import Router

    return Fleet(world(*case), Router).run()


def row(case: tuple[int, str, int, bool], spans: list[Span]) -> list[str]:
    gateways, shape, seed, tells_load = case
    before = served_share(spans, BASELINE_START, BURST_START)
    shares = [
        before,
        served_share(spans, BURST_START, BURST_END),
        served_share(spans, BURST_END + 2, BURST_END + 4),
        served_share(spans, RUN_END - 4, RUN_END),
    ]
    counts: Counter[str] = sum((span.counts for span in spans), Counter())
    per_request = [counts[name] / counts["wanted"] for name in ("attempts", "probes", "connections")]
    return [
        str(gateways),
        shape,
        str(seed),
        "yes" if tells_load else "no",
        *(f"{share:.2f}" for share in shares),
        f"{shares[2] / before:.2f}",
        *(f"{value:.2f}" for value in per_request),
    ]


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=2)
    runs = [
        (gateways, shape, seed, with_load)
        for gateways in SIZES
        for shape in LOAD_SHAPES
        for with_load in (True, False)
        for seed in range(1, parser.parse_args().seeds + 1)
    ]
    with ProcessPoolExecutor() as pool:
        rows = [row(case, spans) for case, spans in zip(runs, pool.map(play, runs), strict=True)]
    head = [
        "gateways",
        "burst",
        "seed",
        "load told",
        "before",
        "in it",
        "2 to 4 s after",
        "at the end",
        "after of before",
        "attempts",
        "probes",
        "connections",
    ]
    notes = ["Shares of worth served; attempts, probes and connections for each first try. A model, no sockets."]
    keep("collapse", "A burst over a fleet, and what comes after it", [table("By size and shape", head, rows, notes)])


if __name__ == "__main__":
    main()
