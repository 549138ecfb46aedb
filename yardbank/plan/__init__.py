"""Shares of reads worked out ahead: a model without I/O, solved by HiGHS, settled in exact rationals; and their use.

The solver is loaded when it is first asked for: a gateway that only uses plans does not need it.
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
