"""Plans: precomputed shares of reads for each server, and how a gateway applies them.

The model has no I/O. It is solved by HiGHS, and the result is made exact in rational arithmetic. The solver is imported
on first use, because a gateway that only applies plans does not need it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from yardbank.plan.model import Demand, Limits, PlanServer, Problem

if TYPE_CHECKING:
    from yardbank.plan.solver import Conflict, Plan, solve

__all__ = ["Conflict", "Demand", "Limits", "Plan", "PlanServer", "Problem", "solve"]


def __getattr__(name: str) -> Any:
    if name in ("Conflict", "Plan", "solve"):
        from importlib import import_module

        return getattr(import_module("yardbank.plan.solver"), name)
    raise AttributeError(name)
