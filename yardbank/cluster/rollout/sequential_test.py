"""Anytime-valid test whether the new version does worse: e-processes over pairs of gateways. Pure functions.

Each window compares a new gateway with an old one of its zone on the same number of requests; the side with more is
subsampled by a hypergeometric draw. ``D`` is the difference of their shares. If the version makes no difference, the
two gateways are exchangeable, whatever affects both, so ``D`` is symmetric, and for a symmetric X
    E exp(bet X - bet^2 X^2 / 2) <= 1        (de la Peña, Annals of Probability 27, 1999, lemma 6.1)
for any bet, also if X is shifted down: g(y - c) + g(-y - c) <= 2 for c >= 0. X is ``D`` less a margin, divided by a
scale that is the same if the two gateways are exchanged. The product over windows and pairs, mixed over bets, is a
test supermartingale; by Ville's inequality it ever exceeds 1/a with probability at most a, so it may be checked at any
time. Requests within a window need not be independent: they may fail in bursts.

From each product the most favourable single gateway is left out, so that one gateway with false reports cannot cause a
verdict; leaving it out can only delay a verdict.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

import numpy as np
from numpy.typing import NDArray

Floats = NDArray[np.float64]
BETS = np.array([0.06, 0.12, 0.25, 0.5, 0.9])
SLACK = 0.25  # share of ``by`` that gateways may differ without any change


def sample_outcomes(random: np.random.Generator, counts: Any, number: Any) -> Any:
    """Samples ``number`` of the counted requests without replacement; ``counts``: by outcome."""
    return random.multivariate_hypergeometric(counts, number)


def scale(bad: Any, number: Any, bad_before: Any, number_before: Any) -> Any:
    """Standard deviation of the difference of two shares of ``number`` requests each, symmetric in the two sides."""
    share = (bad + bad_before + 1) / (2 * (number + number_before) + 2)
    return np.sqrt(2 * share * (1 - share) / np.maximum(number, 1))


def bet_logs(x: Any) -> Floats:
    """Logarithm of the factor for each bet, along a new last axis."""
    staked = np.asarray(x, dtype=float)[..., None] * BETS
    return np.asarray(staked - staked * staked / 2)


def worse_evidence(difference: Any, by: float, scale: Any) -> Floats:
    """Evidence against the hypothesis that the new version is not worse by more than the slack."""
    return bet_logs((difference - SLACK * by) / scale)


def not_worse_evidence(difference: Any, by: float, scale: Any) -> Floats:
    """Evidence against the hypothesis that the new version is worse by ``by``."""
    return bet_logs((by - difference) / scale)


def log_mean(exponents: Floats, axes: tuple[int, ...]) -> Floats:
    """Logarithm of the mean of e-values that are given by their logarithms."""
    most = exponents.max(axis=axes, keepdims=True)
    found = np.log(np.exp(exponents - most).mean(axis=axes, keepdims=True)) + most
    return np.asarray(found.squeeze(axis=axes))


def leave_one_out(pairs: Floats, groups: Sequence[Sequence[int]]) -> Floats:
    """Sums over pairs (the axis before the last two) without each group in turn, along a new first axis."""
    total = pairs.sum(axis=-3)
    return np.stack([total - pairs[..., list(group), :, :].sum(axis=-3) for group in groups])


def stop_evidence(pairs: Floats, zones: Sequence[str], groups: Sequence[Sequence[int]]) -> Floats:
    """Logarithm of the e-value that something got worse, from ``worse_evidence`` in the shape (..., pair, what, bet).

    Mixed over all zones together and each zone by itself, over everything compared, and over bets. ``groups``: the
    pairs that each gateway is part of.
    """
    if len(groups) < 2:
        return np.zeros(pairs.shape[:-3])
    scopes = [np.ones(len(zones), dtype=bool)]
    if len(names := sorted(set(zones))) > 1:
        scopes += [np.array([zone == name for zone in zones]) for name in names]
    found = [leave_one_out(pairs * mask[:, None, None], groups) for mask in scopes]  # left out, ..., what, bet
    stacked = np.stack(found, axis=-3)  # left out, ..., scope, what, bet
    return np.asarray(log_mean(stacked, (-3, -2, -1)).min(axis=0))


def pass_evidence(pairs: Floats, groups: Sequence[Sequence[int]]) -> Floats:
    """Logarithm of the smallest e-value, over everything compared, that it is not worse by the given amount."""
    if len(groups) < 2 or not pairs.shape[-2]:
        return np.zeros(pairs.shape[:-3])
    return np.asarray(log_mean(leave_one_out(pairs, groups), (-1,)).min(axis=(0, -1)))
