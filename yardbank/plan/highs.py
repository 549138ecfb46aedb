"""Solves linear programs with HiGHS."""

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
    description: str = ""


@contextmanager
def _stdout_to_stderr() -> Iterator[None]:
    """Redirect stdout to stderr: the library prints a banner on creation, before its output can be turned off."""
    sys.stdout.flush()
    saved_stdout = os.dup(1)
    try:
        os.dup2(2, 1)
        yield
    finally:
        os.dup2(saved_stdout, 1)
        os.close(saved_stdout)


def solve_lp(cost: np.ndarray, rows: list[Row], seconds: float = 0.0) -> tuple[np.ndarray, np.ndarray] | None:
    """Minimize the cost. Return the column values and row duals, or None if HiGHS finds no optimum (in ``seconds``)."""
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
    with _stdout_to_stderr():
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
