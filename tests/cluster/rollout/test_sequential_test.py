"""Judging: chances asked for are kept on drawn fleets, whatever meets both versions; order and stages as promised."""

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


def play(worse, *, bad=0.0, apart=0.0, clumps=1, paired=True, seed=1):
    """Fleets looked at after each window until they stop or pass: shares that did, and the median window.

    As in a rollout of one stage. ``worse``: the change's doing; ``bad``: the chance in a window that a server of one zone fails up to 30 % of what all
    there send; ``apart``: how much one gateway differs from another by itself; ``clumps``: requests that fail together.
    ``paired``: the old ones meet the same at the same time.
    """
    random = np.random.default_rng(seed)
    shape = FLEETS, PAIRS
    against, for_it = np.zeros((2, FLEETS, PAIRS, 1, len(judge.BETS)))
    stopped, passed, when = np.zeros(FLEETS, bool), np.zeros(FLEETS, bool), np.full(FLEETS, WINDOWS)
    own, before = random.uniform(-apart, apart, shape), np.zeros(shape)
    for window in range(WINDOWS):
        burst = (random.random((FLEETS, 2)) < bad) * random.uniform(0, 0.3, (FLEETS, 2))
        share = 0.02 + burst[:, np.arange(PAIRS) % 2]
        size = REQUESTS // clumps
        new = clumps * random.binomial(size, np.clip(share + worse + own, 0, 1), shape)
        old = clumps * random.binomial(size, share if paired else 0.02, shape)
        scale = judge.scale(new + old, REQUESTS, before, window * REQUESTS)
        against += judge.worse((new - old) / REQUESTS, BY, scale)[:, :, None]
        for_it += judge.sound((new - old) / REQUESTS, BY, scale)[:, :, None]
        before += new + old
        open_ = ~(stopped | passed)
        stops = open_ & (judge.stop_evidence(against, ZONES, GROUPS) >= math.log(1 / STOP))
        passes = open_ & ~stops & (judge.pass_evidence(for_it, GROUPS) >= math.log(1 / PASS))
        stopped, passed = stopped | stops, passed | passes
        when[stops | passes] = window
    return stopped.mean(), passed.mean(), np.median(when)


@pytest.mark.parametrize("bad", [0.0, 0.3])
@pytest.mark.parametrize("clumps", [1, 5])
def test_changes_that_are_no_worse_are_stopped_no_more_often_than_asked(bad, clumps):
    stopped, passed, _ = play(0.0, bad=bad, clumps=clumps)
    assert stopped <= STOP and passed > 0.5


@pytest.mark.parametrize("bad", [0.0, 0.3])
def test_changes_that_are_worse_by_the_stated_amount_are_let_through_no_more_often_than_asked(bad):
    stopped, passed, _ = play(BY, bad=bad)
    assert passed <= PASS and stopped > 0.5


def test_the_edge_of_what_gateways_may_differ_by_themselves():
    """All new ones worse by just the slack: there the test has least to spare, and still keeps its chance."""
    stopped, _, _ = play(judge.SLACK * BY)
    assert stopped <= STOP
    assert play(2 * judge.SLACK * BY)[0] > stopped  # beyond it, it begins to see


def test_gateways_that_differ_by_themselves_within_the_slack_stop_nothing():
    assert play(0.0, apart=judge.SLACK * BY)[0] <= STOP


def test_much_worse_is_found_sooner_than_worse():
    assert play(10 * BY)[2] < play(BY)[2] < WINDOWS


def test_a_bad_server_would_stop_sound_changes_if_others_times_were_compared():
    """What the pairing is for."""
    assert play(0.0, bad=0.3, paired=False)[0] > 0.5


def test_one_gateway_alone_moves_nothing():
    """Whatever one pair says, of the others' neutral windows: it neither stops nor passes; two do."""
    lie, mild = judge.logs(np.full(200, 1.0)).sum(axis=0), judge.logs(np.zeros(200)).sum(axis=0)
    for liars, found in ((1, False), (2, True)):
        table = np.stack([lie] * liars + [mild] * (PAIRS - liars))[:, None, :]
        assert (judge.stop_evidence(table, ZONES, GROUPS) > math.log(1000)) == found
        assert (judge.pass_evidence(table, GROUPS) > math.log(1000)) == found
    alone = lie[None, None, :]
    assert judge.stop_evidence(alone, ["a"], [[0]]) == judge.pass_evidence(alone, [[0]]) == 0


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.lists(st.floats(0.01, 50), min_size=1, max_size=6), st.floats(0, 20))
def test_a_symmetric_difference_that_is_shifted_down_never_gains_on_average(sizes, shift):
    factors = [np.exp(judge.logs(np.array([size - shift, -size - shift]))).mean(axis=0) for size in sizes]
    assert all((factor <= 1 + 1e-12).all() for factor in factors)


# Who goes when

FLEET = (
    st.integers(1, 60)
    .flatmap(lambda size: st.lists(st.sampled_from("abcdefg"), min_size=size, max_size=size))
    .map(lambda zones: {f"g{number}": zone for number, zone in enumerate(zones)})
)


@settings(max_examples=150, deadline=None, derandomize=True)
@given(FLEET, st.lists(st.floats(0.01, 0.95), min_size=1, max_size=4, unique=True), st.randoms(use_true_random=False))
def test_stages_are_spread_over_zones_and_leave_each_an_old_one_to_the_last(zones, shares, random):
    stages = (*sorted(shares), 1.0)
    shuffled = list(zones.items())
    random.shuffle(shuffled)
    order = StagePlan("r", zones, stages)
    assert order.names == StagePlan("r", dict(shuffled), stages).names  # alike for all
    assert sorted(order.names) == sorted(zones) and order.upto(len(stages)) == order.names
    sizes = {zone: list(zones.values()).count(zone) for zone in zones.values()}
    before = ()
    for stage in range(1, len(stages)):
        gone = order.upto(stage)
        assert gone[: len(before)] == before
        before = gone
        by = {zone: sum(zones[name] == zone for name in gone) for zone in sizes}
        assert all(by[zone] < sizes[zone] for zone in sizes)
        for one, size in sizes.items():
            for other, its in sizes.items():  # in proportion, to within one gateway, unless all that may go have gone
                if by[one] < size - 1:
                    assert by[one] / size >= (by[other] - 1) / its - 1e-9
        assert all(order.stage_of(name) <= stage for name in gone)
        pairs = order.pairs(stage)
        names = [name for pair in pairs for name in (pair.new, pair.old)]
        assert len(set(names)) == len(names)
        assert all(zones[p.new] == zones[p.old] == p.zone and p.new in gone and p.old not in gone for p in pairs)
    assert order.can_be_judged == any(size > 1 for size in sizes.values())
    assert order.stage_of("stranger") == 0


def test_not_always_the_same_go_first():
    zones = {f"g{number}": "" for number in range(20)}
    assert len({StagePlan(f"r{number}", zones, (0.1, 1.0)).upto(1) for number in range(10)}) > 5
