"""Searches that span several groups: how they are split into parts and how the results are merged. No I/O."""

from yardbank.spread.budget import Budget
from yardbank.spread.merge import FinalResult, MergedSearch, Part, PartRequest, Verdict
from yardbank.spread.pages import CookieError, Pages, search_identity
from yardbank.spread.tree import Coverage, GroupScope, Tree

__all__ = [
    "Budget",
    "CookieError",
    "Coverage",
    "FinalResult",
    "GroupScope",
    "MergedSearch",
    "Pages",
    "Part",
    "PartRequest",
    "Tree",
    "Verdict",
    "search_identity",
]
