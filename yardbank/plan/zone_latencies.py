"""What ways between zones cost, taken into a plan's model. No I/O."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import replace

from yardbank.plan.model import Problem

HIGHEST = 999_999.0  # below what the model refuses


def with_ways(problem: Problem, ways: Mapping[tuple[str, str], int], reference: int) -> Problem:
    """The model with the map's word on each way (ns, from zone to zone) in its prices.

    The operator's price of crossing, 1 where none is named, stays, and is paid once more for each ``reference`` ns that
    the way costs. Two digits are kept, so that small changes of a way make no new plan. Raises ``ValueError`` for a
    ``reference`` that is not above 0.
    """
    if reference <= 0:
        raise ValueError(f"reference is not above 0: {reference}")
    own = problem.limits.prices
    found = {
        pair: min(HIGHEST, float(f"{own.get(pair, 1.0) * (1 + max(0, ns) / reference):.1e}"))
        for pair, ns in ways.items()
        if pair[0] != pair[1]
    }
    return replace(problem, limits=replace(problem.limits, prices={**own, **found}))
