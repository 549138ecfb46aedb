"""python -m benchmarks.scale [--small | --pages] [--again] [--workers N] [line ...]: measure, write tables and charts."""

from __future__ import annotations

import argparse
import multiprocessing
import subprocess
from concurrent.futures import Future, ProcessPoolExecutor, as_completed

from benchmarks.common import machine
from benchmarks.scale import report
from benchmarks.scale.line import Line, LineResults, load
from benchmarks.scale.lines import LINES

WORKERS = 4  # in parallel: more would distort each other's times


def commit() -> str:
    """Return the measured revision."""
    done = subprocess.run(["git", "rev-parse", "--short", "HEAD"], capture_output=True, text=True, check=False)
    return done.stdout.strip() or "unknown"


def measure(lines: list[Line], again: bool, workers: int) -> None:
    """Measure what has no stored result; each line is stored as soon as all runs of a size are complete."""
    results = {
        line.name: (None if again else load(line.name)) or LineResults(line.name, commit(), machine()) for line in lines
    }
    context = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(workers, mp_context=context, max_tasks_per_child=1) as pool:
        pending: dict[Future[dict[str, float]], tuple[Line, int]] = {}
        for line in sorted(lines, key=lambda line: -max(line.sizes)):
            for size in sorted(set(line.sizes) - set(results[line.name].runs), reverse=True):
                for seed in range(1, line.runs + 1):
                    pending[pool.submit(line.measure, size, seed)] = line, size  # type: ignore[arg-type]
        for finished in as_completed(pending):
            line, size = pending[finished]
            values = finished.result()
            result = results[line.name]
            result.runs.setdefault(size, []).append(dict(values))
            if len(result.runs[size]) == line.runs:
                result.save()
                report.write(line, result)
                print(line.name, size, {name: round(value, 4) for name, value in values.items()}, flush=True)


def main() -> None:
    """Measure and store the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("lines", nargs="*", metavar="line", help=", ".join(LINES))
    parser.add_argument("--small", action="store_true", help="run a small size of each line, print and do not store it")
    parser.add_argument(
        "--pages", action="store_true", help="write tables and charts of stored results, measure nothing"
    )
    parser.add_argument("--again", action="store_true", help="measure again what has stored results")
    parser.add_argument("--workers", type=int, default=WORKERS)
    arguments = parser.parse_args()
    if unknown := set(arguments.lines) - set(LINES):
        parser.error(f"no such line: {', '.join(sorted(unknown))}")
    lines = [LINES[name] for name in arguments.lines or LINES]
    if arguments.pages:
        for line in lines:
            if (found := load(line.name)) is not None:
                report.write(line, found)
        return
    if arguments.small:
        for line in lines:
            for size in line.small:
                print(line.name, size, line.measure(size, 1), flush=True)
        return
    measure(lines, arguments.again, arguments.workers)


if __name__ == "__main__":
    main()
