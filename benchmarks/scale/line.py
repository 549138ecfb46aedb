"""One line of the measurements: what is varied, what is measured, and what was found."""

from __future__ import annotations

import json
import statistics
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from pathlib import Path

from benchmarks.common import MEASUREMENTS

FOLDER = MEASUREMENTS / "scale"
COUNTED, TIMED = "counted", "timed"
Values = Mapping[str, float]


@dataclass(slots=True, frozen=True)
class Quantity:
    """One value of a line. ``how``: ``counted`` values are the same in each run of a seed, ``timed`` ones are not."""

    name: str
    unit: str
    how: str = TIMED


@dataclass(slots=True, frozen=True)
class Line:
    """What is measured at several sizes. ``measure`` takes a size and a seed, and runs in a process of its own."""

    name: str
    title: str
    size_of: str
    sizes: tuple[int, ...]
    target: int  # the size that is planned for
    quantities: tuple[Quantity, ...]
    measure: Callable[[int, int], Values]
    note: str
    small: tuple[int, ...] = ()  # sizes for a quick look, as in CI
    runs: int = 3


@dataclass(slots=True)
class Found:
    """What was measured of a line: by size, the values of each run."""

    line: str
    commit: str
    machine: str
    runs: dict[int, list[dict[str, float]]] = field(default_factory=dict)

    def median(self, size: int, quantity: str) -> float:
        """The median over the runs of a size."""
        return statistics.median(run[quantity] for run in self.runs[size])

    def spread(self, size: int, quantity: str) -> tuple[float, float]:
        """The least and the most over the runs of a size."""
        values = [run[quantity] for run in self.runs[size]]
        return min(values), max(values)

    def save(self, folder: Path = FOLDER) -> None:
        """Keep it, whole."""
        folder.mkdir(parents=True, exist_ok=True)
        kept = {"line": self.line, "commit": self.commit, "machine": self.machine, "runs": self.runs}
        (folder / f"{self.line}.json").write_text(json.dumps(kept, indent=1) + "\n")


def load(line: str, folder: Path = FOLDER) -> Found | None:
    """What was kept of a line; None: nothing."""
    path = folder / f"{line}.json"
    if not path.exists():
        return None
    kept = json.loads(path.read_text())
    runs = {int(size): list(values) for size, values in kept["runs"].items()}
    return Found(kept["line"], kept["commit"], kept["machine"], runs)
