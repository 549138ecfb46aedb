"""A burst, then calm, over a fleet of thin gateways: python -m benchmarks.collapse [--seeds N].

Decision modules on a virtual clock against servers with cores, a queue, an apply thread that contends with reads, and
clients that come again. ``blind`` is the same module where servers tell nothing of their load: what it falls back on.
"""

from __future__ import annotations

import argparse
from collections import Counter
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor

from benchmarks.common import keep, table
from yardbank.testing.rig.virtual import Fleet, Span, World, served_share

BEFORE, BURST, AFTER, END = 1.5, 5.0, 8.0, 16.0
SHAPES: dict[str, Callable[[float], float]] = {
    "half as much again, 3 s": lambda second: 1.5 if BURST <= second < AFTER else 1.0,
    "twice, 1 s": lambda second: 2.0 if BURST <= second < BURST + 1 else 1.0,
    "a ramp to twice": lambda second: 1 + (second - BURST) / (AFTER - BURST) if BURST <= second < AFTER else 1.0,
}
SIZES = (20, 200, 500)
RATE_OF_A_GROUP = 125.0  # first tries a second: servers of three cores are busy for two thirds


def world(gateways: int, shape: str, seed: int, tells_load: bool = True) -> World:
    """Ten groups of six servers; the fleet differs in size only, not in what it is asked."""
    return World(
        seed=seed,
        gateways=gateways,
        groups=10,
        rate=10 * RATE_OF_A_GROUP,
        load=SHAPES[shape],
        length=END,
        tells_load=tells_load,
    )


def play(asked: tuple[int, str, int, bool]) -> list[Span]:
    """One run, in a process of its own."""
    from yardbank.policy import Router

    return Fleet(world(*asked), Router).run()


def row(asked: tuple[int, str, int, bool], spans: list[Span]) -> list[str]:
    gateways, shape, seed, tells = asked
    before = served_share(spans, BEFORE, BURST)
    shares = [
        before,
        served_share(spans, BURST, AFTER),
        served_share(spans, AFTER + 2, AFTER + 4),
        served_share(spans, END - 4, END),
    ]
    counts: Counter[str] = sum((span.counts for span in spans), Counter())
    each = [counts[name] / counts["wanted"] for name in ("attempts", "probes", "connections")]
    return [
        str(gateways),
        shape,
        str(seed),
        "yes" if tells else "no",
        *(f"{share:.2f}" for share in shares),
        f"{shares[2] / before:.2f}",
        *(f"{one:.2f}" for one in each),
    ]


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=2)
    runs = [
        (gateways, shape, seed, tells)
        for gateways in SIZES
        for shape in SHAPES
        for tells in (True, False)
        for seed in range(1, parser.parse_args().seeds + 1)
    ]
    with ProcessPoolExecutor() as pool:
        rows = [row(asked, spans) for asked, spans in zip(runs, pool.map(play, runs), strict=True)]
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
