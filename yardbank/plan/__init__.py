"""Shares of reads worked out ahead: a model without I/O, solved by HiGHS, checked against exact brute force."""

from yardbank.plan.model import Demand, Limits, PlanServer, Problem
from yardbank.plan.solve import Conflict, Plan, solve

__all__ = ["Conflict", "Demand", "Limits", "Plan", "PlanServer", "Problem", "solve"]
