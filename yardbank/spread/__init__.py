"""Searches that reach several groups: which parts they have, and how the parts become one answer. No I/O."""

from yardbank.spread.budget import Budget
from yardbank.spread.merge import Ask, Ending, Part, Spread, Verdict
from yardbank.spread.pages import CookieError, Pages, identity_of
from yardbank.spread.tree import Piece, Reach, Tree

__all__ = [
    "Ask",
    "Budget",
    "CookieError",
    "Ending",
    "Pages",
    "Part",
    "Piece",
    "Reach",
    "Spread",
    "Tree",
    "Verdict",
    "identity_of",
]
