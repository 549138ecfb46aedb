"""Linear programs to HiGHS and back."""

from __future__ import annotations

import os
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass

import highspy
import numpy as np


@dataclass(slots=True)
class Row:
    """``low <= sum(coefficient * column) <= high``."""

    columns: np.ndarray
    values: np.ndarray
    low: float
    high: float
    words: str = ""


@contextmanager
def _no_banner() -> Iterator[None]:
    """The library prints a line on standard output when it starts, before it can be told not to: see it to stderr."""
    sys.stdout.flush()
    kept = os.dup(1)
    try:
        os.dup2(2, 1)
        yield
    finally:
        os.dup2(kept, 1)
        os.close(kept)


def run(cost: np.ndarray, rows: list[Row], seconds: float = 0.0) -> tuple[np.ndarray, np.ndarray] | None:
    """Least cost: values of the columns and prices of the rows; None where HiGHS finds no optimum."""
    lp = highspy.HighsLp()
    lp.num_col_, lp.num_row_ = len(cost), len(rows)
    lp.col_cost_ = cost
    lp.col_lower_, lp.col_upper_ = np.zeros(len(cost)), np.full(len(cost), highspy.kHighsInf)
    lp.row_lower_ = np.array([row.low for row in rows])
    lp.row_upper_ = np.array([row.high for row in rows])
    lp.a_matrix_.format_ = highspy.MatrixFormat.kRowwise
    lp.a_matrix_.start_ = np.concatenate([[0], np.cumsum([len(row.columns) for row in rows])]).astype(np.int32)
    lp.a_matrix_.index_ = np.concatenate([row.columns for row in rows]).astype(np.int32)
    lp.a_matrix_.value_ = np.concatenate([row.values for row in rows])
    with _no_banner():
        model = highspy.Highs()
    for name, value in (("output_flag", False), ("threads", 1), ("random_seed", 1)):
        model.setOptionValue(name, value)
    if seconds > 0:
        model.setOptionValue("time_limit", seconds)
    model.passModel(lp)
    model.run()
    if model.getModelStatus() != highspy.HighsModelStatus.kOptimal:
        return None
    solution = model.getSolution()
    return np.array(solution.col_value), np.array(solution.row_dual)
