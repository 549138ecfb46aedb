"""Plays seeds one after the other: python -m yardbank.testing.soak [--keep FOLDER] [--module NAME] FIRST [LAST]."""

from __future__ import annotations

import argparse
import json
import sys
import time
from collections import Counter
from dataclasses import asdict
from pathlib import Path

from yardbank.testing.soak.judge import judge
from yardbank.testing.soak.plan import draw, draw_failovers
from yardbank.testing.soak.play import play_seed

MAX_SHOWN = 5  # violations printed for each seed


def main() -> int:
    """Returns 0 if no rule was violated."""
    parser = argparse.ArgumentParser(prog="yardbank.testing.soak", description=__doc__)
    parser.add_argument("first", type=int)
    parser.add_argument("last", type=int, nargs="?")
    parser.add_argument("--keep", type=Path, help="folder for the frames of seeds that fail")
    parser.add_argument("--module", default="yardbank.platform", help="the program to play")
    parser.add_argument("--failovers", action="store_true", help="primaries fail in series while replicas lag")
    arguments = parser.parse_args()
    failed: list[int] = []
    totals: Counter[str] = Counter()
    begin = time.monotonic()
    option = "--failovers " if arguments.failovers else ""
    seeds = range(arguments.first, (arguments.last if arguments.last is not None else arguments.first) + 1)
    for seed in seeds:
        plan = draw_failovers(seed) if arguments.failovers else draw(seed)
        play = play_seed(plan, arguments.module)
        violations = judge(play)
        totals["requests"] += len(play.requests)
        totals["served"] += sum(request.answers == ["served"] for request in play.requests.values())
        totals["attempts"] += len(play.attempts)
        if not violations:
            continue
        failed.append(seed)
        print(f"seed {seed} failed; again: python -m yardbank.testing.soak {option}{seed}")
        for violation in violations[:MAX_SHOWN]:
            print(f"  {violation.rule}: {violation.what}")
        if arguments.keep is not None:
            arguments.keep.mkdir(parents=True, exist_ok=True)
            play.write(arguments.keep / f"soak-{seed}.json")
            (arguments.keep / f"soak-{seed}-plan.json").write_text(json.dumps(asdict(plan), indent=1))
    took = time.monotonic() - begin
    print(f"{len(seeds)} seeds in {took:.0f} s, failed: {failed or 'none'}; {dict(totals)}")
    return 1 if failed else 0


sys.exit(main())
