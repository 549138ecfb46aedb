"""Error probabilities of the sequential test on simulated fleets; order, stages and pairs of the stage plan."""

import math

import numpy as np
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from yardbank.cluster.rollout import sequential_test as judge
from yardbank.cluster.rollout.stage_plan import StagePlan

FLEETS, PAIRS, WINDOWS, REQUESTS, BY = 2000, 4, 50, 100, 0.03
STOP, PASS = 0.05, 0.05
ZONES = ["a", "b"] * (PAIRS // 2)
GROUPS = [[pair] for pair in range(PAIRS)]


def simulate(worse, *, bad=0.0, spread=0.0, burst_size=1, paired=True, seed=1):
    """Simulates rollouts of one stage, checked after each window until they stop or pass.

    Returns the shares that stopped and passed, and the median window of the verdict. ``worse``: effect of the change;
    ``bad``: probability in a window that a server of one zone fails up to 30 % of the zone's requests; ``spread``:
    difference between gateways without any change; ``burst_size``: requests that fail together; ``paired``: old
    gateways are affected by the same faults at the same time.
    """
    random = np.random.default_rng(seed)
    shape = FLEETS, PAIRS
    worse_logs, pass_logs = np.zeros((2, FLEETS, PAIRS, 1, len(judge.BETS)))
    stopped, passed, when = np.zeros(FLEETS, bool), np.zeros(FLEETS, bool), np.full(FLEETS, WINDOWS)
    own, before = random.uniform(-spread, spread, shape), np.zeros(shape)
    for window in range(WINDOWS):
        burst = (random.random((FLEETS, 2)) < bad) * random.uniform(0, 0.3, (FLEETS, 2))
        share = 0.02 + burst[:, np.arange(PAIRS) % 2]
        size = REQUESTS // burst_size
        new = burst_size * random.binomial(size, np.clip(share + worse + own, 0, 1), shape)
        old = burst_size * random.binomial(size, share if paired else 0.02, shape)
        scale = judge.scale(new + old, REQUESTS, before, window * REQUESTS)
        worse_logs += judge.worse_evidence((new - old) / REQUESTS, BY, scale)[:, :, None]
        pass_logs += judge.not_worse_evidence((new - old) / REQUESTS, BY, scale)[:, :, None]
        before += new + old
        undecided = ~(stopped | passed)
        stops = undecided & (judge.stop_evidence(worse_logs, ZONES, GROUPS) >= math.log(1 / STOP))
        passes = undecided & ~stops & (judge.pass_evidence(pass_logs, GROUPS) >= math.log(1 / PASS))
        stopped, passed = stopped | stops, passed | passes
        when[stops | passes] = window
    return stopped.mean(), passed.mean(), np.median(when)


@pytest.mark.parametrize("bad", [0.0, 0.3])
@pytest.mark.parametrize("burst_size", [1, 5])
def test_changes_that_are_no_worse_are_stopped_within_the_false_stop_probability(bad, burst_size):
    stopped, passed, _ = simulate(0.0, bad=bad, burst_size=burst_size)
    assert stopped <= STOP and passed > 0.5


@pytest.mark.parametrize("bad", [0.0, 0.3])
def test_changes_worse_by_the_given_amount_pass_within_the_false_pass_probability(bad):
    stopped, passed, _ = simulate(BY, bad=bad)
    assert passed <= PASS and stopped > 0.5


def test_a_difference_equal_to_the_slack_keeps_the_false_stop_probability():
    """All new gateways are worse by exactly the slack, the least favourable case in which no stop is due."""
    stopped, _, _ = simulate(judge.SLACK * BY)
    assert stopped <= STOP
    assert simulate(2 * judge.SLACK * BY)[0] > stopped  # a difference above the slack is detected


def test_gateways_that_differ_within_the_slack_do_not_stop_the_rollout():
    assert simulate(0.0, spread=judge.SLACK * BY)[0] <= STOP


def test_a_larger_difference_is_detected_sooner():
    assert simulate(10 * BY)[2] < simulate(BY)[2] < WINDOWS


def test_without_pairing_a_bad_server_would_stop_good_changes():
    """Shows why pairs are compared at the same time: here old gateways do not meet the faults of the new ones."""
    assert simulate(0.0, bad=0.3, paired=False)[0] > 0.5


def test_one_gateway_alone_causes_no_verdict():
    """With neutral windows of the others, false windows of one pair neither stop nor pass a stage; those of two do."""
    lie, neutral = judge.bet_logs(np.full(200, 1.0)).sum(axis=0), judge.bet_logs(np.zeros(200)).sum(axis=0)
    for liars, found in ((1, False), (2, True)):
        table = np.stack([lie] * liars + [neutral] * (PAIRS - liars))[:, None, :]
        assert (judge.stop_evidence(table, ZONES, GROUPS) > math.log(1000)) == found
        assert (judge.pass_evidence(table, GROUPS) > math.log(1000)) == found
    alone = lie[None, None, :]
    assert judge.stop_evidence(alone, ["a"], [[0]]) == judge.pass_evidence(alone, [[0]]) == 0


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.lists(st.floats(0.01, 50), min_size=1, max_size=6), st.floats(0, 20))
def test_a_symmetric_difference_shifted_down_has_factors_of_mean_at_most_1(sizes, shift):
    factors = [np.exp(judge.bet_logs(np.array([size - shift, -size - shift]))).mean(axis=0) for size in sizes]
    assert all((factor <= 1 + 1e-12).all() for factor in factors)


# Order and stages

FLEET = (
    st.integers(1, 60)
    .flatmap(lambda size: st.lists(st.sampled_from("abcdefg"), min_size=size, max_size=size))
    .map(lambda zones: {f"g{number}": zone for number, zone in enumerate(zones)})
)


@settings(max_examples=150, deadline=None, derandomize=True)
@given(FLEET, st.lists(st.floats(0.01, 0.95), min_size=1, max_size=4, unique=True), st.randoms(use_true_random=False))
def test_stages_spread_over_zones_and_leave_an_old_gateway_in_each_until_the_last(zones, shares, random):
    stages = (*sorted(shares), 1.0)
    shuffled = list(zones.items())
    random.shuffle(shuffled)
    order = StagePlan("r", zones, stages)
    assert order.names == StagePlan("r", dict(shuffled), stages).names  # independent of the order of the list
    assert sorted(order.names) == sorted(zones) and order.up_to(len(stages)) == order.names
    sizes = {zone: list(zones.values()).count(zone) for zone in zones.values()}
    before = ()
    for stage in range(1, len(stages)):
        changed = order.up_to(stage)
        assert changed[: len(before)] == before
        before = changed
        by = {zone: sum(zones[name] == zone for name in changed) for zone in sizes}
        assert all(by[zone] < sizes[zone] for zone in sizes)
        for one, size in sizes.items():
            for other, other_size in sizes.items():  # within one gateway, unless all but the last have changed
                if by[one] < size - 1:
                    assert by[one] / size >= (by[other] - 1) / other_size - 1e-9
        assert all(order.stage_of(name) <= stage for name in changed)
        pairs = order.pairs(stage)
        names = [name for pair in pairs for name in (pair.new, pair.old)]
        assert len(set(names)) == len(names)
        assert all(zones[p.new] == zones[p.old] == p.zone and p.new in changed and p.old not in changed for p in pairs)
    assert order.can_be_judged == any(size > 1 for size in sizes.values())
    assert order.stage_of("stranger") == 0


def test_different_rollouts_start_with_different_gateways():
    zones = {f"g{number}": "" for number in range(20)}
    assert len({StagePlan(f"r{number}", zones, (0.1, 1.0)).up_to(1) for number in range(10)}) > 5
