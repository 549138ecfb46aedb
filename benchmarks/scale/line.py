"""One line of measurements: the varied size, the measured quantities, and the results."""

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
    """One value of a line. ``how``: ``counted`` values are identical in all runs of a seed, ``timed`` ones are not."""

    name: str
    unit: str
    how: str = TIMED


@dataclass(slots=True, frozen=True)
class Line:
    """A measurement at several sizes. ``measure`` takes a size and a seed, and runs in a separate process."""

    name: str
    title: str
    size_of: str
    sizes: tuple[int, ...]
    target: int  # the planned size of the deployment
    quantities: tuple[Quantity, ...]
    measure: Callable[[int, int], Values]
    note: str
    small: tuple[int, ...] = ()  # sizes for quick runs, as in CI
    runs: int = 3


@dataclass(slots=True)
class LineResults:
    """Results of a line: by size, the values of each run."""

    line: str
    commit: str
    machine: str
    runs: dict[int, list[dict[str, float]]] = field(default_factory=dict)

    def median(self, size: int, quantity: str) -> float:
        """Return the median of all runs of a size."""
        return statistics.median(run[quantity] for run in self.runs[size])

    def spread(self, size: int, quantity: str) -> tuple[float, float]:
        """Return the minimum and maximum of all runs of a size."""
        values = [run[quantity] for run in self.runs[size]]
        return min(values), max(values)

    def save(self, folder: Path = FOLDER) -> None:
        """Store all results."""
        folder.mkdir(parents=True, exist_ok=True)
        document = {"line": self.line, "commit": self.commit, "machine": self.machine, "runs": self.runs}
        (folder / f"{self.line}.json").write_text(json.dumps(document, indent=1) + "\n")


def load(line: str, folder: Path = FOLDER) -> LineResults | None:
    """Load the stored results of a line; None if there are none."""
    path = folder / f"{line}.json"
    if not path.exists():
        return None
    document = json.loads(path.read_text())
    runs = {int(size): list(values) for size, values in document["runs"].items()}
    return LineResults(document["line"], document["commit"], document["machine"], runs)
