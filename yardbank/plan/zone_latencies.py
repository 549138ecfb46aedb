"""Adds measured latencies between zones to the prices of a plan's model. No I/O."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import replace

from yardbank.plan.model import Problem

MAX_PRICE = 999_999.0  # just below the limit that the model accepts


def with_ways(problem: Problem, ways: Mapping[tuple[str, str], int], reference: int) -> Problem:
    """Return the model with prices scaled by latency; ``ways`` are latencies in ns, by pair of zones.

    The operator's price, 1 if none is given, is multiplied by 1 + latency / ``reference`` (both in ns). Two significant
    digits are kept, so that small changes of latency do not lead to a new plan. Raises ``ValueError`` for a
    ``reference`` that is not above 0.
    """
    if reference <= 0:
        raise ValueError(f"reference is not above 0: {reference}")
    operator_prices = problem.limits.prices
    scaled_prices = {
        pair: min(MAX_PRICE, float(f"{operator_prices.get(pair, 1.0) * (1 + max(0, ns) / reference):.1e}"))
        for pair, ns in ways.items()
        if pair[0] != pair[1]
    }
    return replace(problem, limits=replace(problem.limits, prices={**operator_prices, **scaled_prices}))
