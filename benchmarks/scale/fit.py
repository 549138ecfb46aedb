"""Growth laws fitted to measured values by least squares."""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass

import numpy as np

FLAT_SPREAD = 0.1  # values whose range is at most this share of their mean are flat
MIN_R_SQUARED = 0.5  # below this R² the values vary for other reasons, and their mean is used
RESIDUAL_RATIO = 0.5  # a steeper law must leave less than this share of the residuals of the one before

SHAPES: dict[str, Callable[[float], float]] = {
    "log": math.log2,
    "linear": lambda size: size,
    "square": lambda size: size * size,
}


@dataclass(slots=True, frozen=True)
class Law:
    """``value = base + slope * shape(size)``."""

    shape: str  # "flat" or a name of SHAPES
    base: float
    slope: float
    r_squared: float  # for a flat law: that of the best other law, nan if none was tried
    worst: float  # the largest residual, relative to the value

    def at(self, size: float) -> float:
        """Return the predicted value for a size."""
        return self.base if self.shape == "flat" else self.base + self.slope * SHAPES[self.shape](size)

    def formula(self) -> str:
        """Return the law as a formula."""
        if self.shape == "flat":
            return f"{self.base:.4g}"
        term = {"log": "log2(n)", "linear": "n", "square": "n^2"}[self.shape]
        return f"{self.base:.4g} + {self.slope:.4g} x {term}"


def fit(sizes: Sequence[float], values: Sequence[float]) -> Law:
    """Return the simplest law that fits. Raises ``ValueError`` for fewer than two sizes."""
    if len(set(sizes)) < 2:
        raise ValueError("a law needs two sizes at least")
    mean = sum(values) / len(values)
    if max(values) - min(values) <= FLAT_SPREAD * abs(mean) or mean == 0:
        return Law("flat", mean, 0.0, math.nan, _worst(values, [mean] * len(values)))
    best: Law | None = None
    lowest_residuals = math.inf
    for shape, function in SHAPES.items():
        law, residuals = _fitted(shape, function, sizes, values)
        if best is None or residuals < RESIDUAL_RATIO * lowest_residuals:
            best, lowest_residuals = law, residuals
    assert best is not None
    if best.r_squared < MIN_R_SQUARED:
        return Law("flat", mean, 0.0, best.r_squared, _worst(values, [mean] * len(values)))
    return best


def _fitted(
    shape: str, function: Callable[[float], float], sizes: Sequence[float], values: Sequence[float]
) -> tuple[Law, float]:
    """Fit one law; returns it with the sum of its squared residuals."""
    columns = np.array([[1.0, function(size)] for size in sizes])
    observed = np.array(values, dtype=float)
    (base, slope), *_ = np.linalg.lstsq(columns, observed, rcond=None)
    predicted = columns @ np.array([base, slope])
    residuals = float(((observed - predicted) ** 2).sum())
    spread = float(((observed - observed.mean()) ** 2).sum())
    law = Law(shape, float(base), float(slope), 1 - residuals / spread, _worst(values, list(predicted)))
    return law, residuals


def _worst(values: Sequence[float], predicted: Sequence[float]) -> float:
    return max(
        abs(value - prediction) / max(abs(value), 1e-12) for value, prediction in zip(values, predicted, strict=True)
    )
