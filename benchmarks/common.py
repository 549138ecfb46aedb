"""Medians, a description of the machine, and tables stored under docs/measurements."""

from __future__ import annotations

import os
import platform
import statistics
import subprocess
from collections.abc import Callable
from datetime import UTC, datetime
from importlib.metadata import version
from pathlib import Path
from time import perf_counter

MEASUREMENTS = Path(__file__).parent.parent / "docs" / "measurements"


def machine() -> str:
    """Describe the machine on which the figures were measured."""
    model = "unknown processor"
    for line in Path("/proc/cpuinfo").read_text().splitlines():
        if line.startswith("model name"):
            model = line.partition(":")[2].strip()
            break
    return f"{model}, {os.cpu_count()} cores, Python {platform.python_version()}, Twisted {version('Twisted')}"


def per_second(work: Callable[[], object], seconds: float = 0.3, runs: int = 5) -> float:
    """Return calls per second, the median of several runs."""
    rates = []
    for _ in range(runs):
        count, began = 0, perf_counter()
        while (elapsed := perf_counter() - began) < seconds:
            for _ in range(50):
                work()
            count += 50
        rates.append(count / elapsed)
    return statistics.median(rates)


def table(title: str, head: list[str], rows: list[list[str]], notes: list[str]) -> str:
    """Render a section in Markdown."""
    lines = [f"## {title}", "", "| " + " | ".join(head) + " |", "|" + " --- |" * len(head)]
    lines += ["| " + " | ".join(row) + " |" for row in rows]
    return "\n".join([*lines, "", *notes, ""])


def keep(name: str, title: str, sections: list[str]) -> Path:
    """Write and print a page of figures."""
    commit = subprocess.run(["git", "rev-parse", "--short", "HEAD"], capture_output=True, text=True, check=False)
    MEASUREMENTS.mkdir(parents=True, exist_ok=True)
    path = MEASUREMENTS / f"{name}.md"
    head = f"# {title}\n\n{datetime.now(UTC):%Y-%m-%d}, on {commit.stdout.strip()}; {machine()}.\n"
    path.write_text("\n".join([head, *sections]))
    print("\n".join([head, *sections]))
    return path


def chart(name: str, title: str, labels: list[str], bars: dict[str, list[float]]) -> None:
    """Draw a bar chart, one color for each key, stored beside the tables."""
    import matplotlib

    matplotlib.use("svg")
    from matplotlib import pyplot

    matplotlib.rcParams["svg.hashsalt"] = "yardbank"  # the same figures give the same file
    figure, axes = pyplot.subplots(figsize=(8, 3.5))
    width = 0.8 / len(bars)
    for index, (key, values) in enumerate(bars.items()):
        axes.bar([position + index * width for position in range(len(labels))], values, width, label=key)
    axes.set_xticks([position + 0.4 - width / 2 for position in range(len(labels))], labels)
    axes.set_title(title)
    axes.legend()
    figure.tight_layout()
    figure.savefig(MEASUREMENTS / f"{name}.svg", metadata={"Date": None})
    pyplot.close(figure)
