"""Own round trips, gradual transitions, options, and the use of latencies in plans."""

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from yardbank.cluster.latency_map.measurements import GatewayHealth, Measurements
from yardbank.cluster.latency_map.options import MAX_ROUND_TRIP, SECOND, Options
from yardbank.cluster.latency_map.transition import GradualTransition
from yardbank.plan.model import Demand, Limits, PlanServer, Problem
from yardbank.plan.solver import solve
from yardbank.plan.zone_latencies import with_ways

MS = 1_000_000
OPTIONS = Options()


# Own round trips


def record_for(own, seconds, now, latencies, interval=SECOND // 4, late=0, slowness=0):
    """Record round trips by zone (ms) for some seconds; ``latencies`` may be a function of the time."""
    for _ in range(round(seconds)):
        for _ in range(SECOND // interval):
            now += interval
            for zone, ms in (latencies(now) if callable(latencies) else latencies).items():
                own.record(now, zone, round(ms * MS))
        own.on_tick(now, late, slowness)
    return now


def settled_measurements():
    own = Measurements(OPTIONS)
    own.listed("here", {})
    return own, record_for(own, 20, SECOND, {"here": 1, "near": 20, "far": 80})


def test_own_slowness_is_not_added_to_any_latency():
    own, now = settled_measurements()
    now = record_for(own, 20, now, {"here": 41, "near": 60, "far": 120})
    assert own.health == GatewayHealth.SLOW and own.discarded > 100
    assert {zone: figure.low for zone, figure in own.row(now).items()} == {"here": MS, "near": 20 * MS, "far": 80 * MS}
    now = record_for(own, 10, now, {"here": 1, "near": 20, "far": 80})
    assert own.health == GatewayHealth.WELL and own.row(now)["near"].low == 20 * MS


def test_latencies_that_rise_without_the_own_zones_count():
    own, now = settled_measurements()
    now = record_for(own, 8, now, {"here": 1, "near": 60, "far": 120})
    assert own.health == GatewayHealth.WELL
    assert (own.row(now)["near"].low, own.row(now)["far"].low) == (60 * MS, 120 * MS)


def test_round_trips_before_a_late_tick_are_discarded():
    own, now = settled_measurements()
    own.record(now + MS, "near", 3 * MS)
    own.on_tick(now + 3 * SECOND, 2 * SECOND, 8)
    assert own.health == GatewayHealth.SLOW and own.row(now + 3 * SECOND)["near"].low == 20 * MS
    own.on_tick(now + 4 * SECOND, 0, 8)
    assert own.health == GatewayHealth.DOUBTFUL
    own.on_tick(now + 5 * SECOND, 0, 0)
    assert own.health == GatewayHealth.WELL


def test_slowness_beyond_max_age_becomes_the_new_baseline():
    own, now = settled_measurements()
    now = record_for(own, 80, now, {"here": 41, "near": 60, "far": 120})
    assert own.health == GatewayHealth.WELL and own.row(now)["far"].low == 120 * MS


@pytest.mark.parametrize("interval", [SECOND // 20, SECOND // 2])
def test_flapping_or_often_slow_latency_keeps_its_low_value_and_shows_its_spread(interval):
    own, now = settled_measurements()
    for _ in range(30):
        now = record_for(own, 1, now, lambda at: {"near": 90 if at // (2 * SECOND) % 2 else 20}, interval)
        assert own.row(now)["near"].low == 20 * MS
    assert own.row(now)["near"].spread >= 50 * MS
    large = Random(1)
    now = record_for(own, 20, now, lambda at: {"near": 400 if large.random() < 0.5 else 20}, SECOND // 20)
    assert own.row(now)["near"].low == 20 * MS


def test_burst_of_connects_does_not_evict_older_round_trips_and_out_of_range_ones_are_counted():
    own, now = settled_measurements()
    for number in range(100_000):
        own.record(now + number, "near", 90 * MS)
    assert own.row(now)["near"].low == 20 * MS
    for ns in (0, -5, MAX_ROUND_TRIP + 1):
        own.record(now, "near", ns)
    assert own.out_of_range == 3


# Transitions

TARGETS = [
    (),
    (("b", 5 * MS, 6 * MS),),
    (("b", 90 * MS, 95 * MS),),
    (("b", 5 * MS, 6 * MS), ("c", 50 * MS, 60 * MS)),
    (("b", 90 * MS, 95 * MS), ("c", 3 * MS, 4 * MS)),
]
SAMPLES_PER_SECOND = 100


def nearest_zone(latencies):
    """The zone that a gateway would send to: the nearest, or "a" if none is near."""
    return (
        min(latencies, key=lambda way: way[1])[0] if latencies and min(way[1] for way in latencies) < 20 * MS else "a"
    )


@settings(max_examples=60, deadline=None, derandomize=True)
@given(
    st.lists(st.tuples(st.integers(0, 25), st.integers(0, len(TARGETS) - 1)), max_size=8),
    st.integers(0, 99),
    st.sampled_from([0.05, 0.1, 0.34, 0.5]),
)
def test_no_zone_gains_more_than_one_step_within_a_second_for_any_targets(moves, seed, step):
    transition, now, choices = GradualTransition(step, Random(seed)), 3600 * SECOND, []
    plan = [target for wait, target in moves for _ in range(wait + 1)] + [0] * 5
    for target in plan:
        for moment in range(SAMPLES_PER_SECOND):
            now += SECOND // SAMPLES_PER_SECOND
            if moment == SAMPLES_PER_SECOND // 3:
                transition.set_target(now, TARGETS[target])
            choices.append(nearest_zone(transition.latencies_at(now)))
    for zone in "abc":
        sums = [0]
        for choice in choices:
            sums.append(sums[-1] + (choice == zone))
        shares = [
            (sums[at + SAMPLES_PER_SECOND] - sums[at]) / SAMPLES_PER_SECOND
            for at in range(len(choices) - SAMPLES_PER_SECOND + 1)
        ]
        assert all(
            later - sooner <= step + 2 / SAMPLES_PER_SECOND
            for sooner, later in zip(shares, shares[SAMPLES_PER_SECOND:], strict=False)
        )


def test_transition_ends_at_its_target_and_wakes_when_latencies_change():
    transition, now = GradualTransition(0.1, Random(4)), 50 * SECOND
    assert transition.next_at(now) is None
    transition.set_target(now, TARGETS[1])
    seen, wakes = [], 0
    while (at := transition.next_at(now)) is not None and wakes < 100:
        assert all(
            transition.latencies_at(moment) == transition.latencies_at(now) for moment in (now, (now + at) // 2, at - 1)
        )
        now, wakes = at, wakes + 1
        transition.set_target(now, TARGETS[1])
        seen.append(transition.latencies_at(now))
    assert seen[-1] == TARGETS[1] and 15 <= wakes <= 30 and 10 <= now / SECOND - 50 <= 14
    transition.set_target(now, ((TARGETS[1][0][0], 5 * MS + MS // 2, 6 * MS),))
    assert transition.transition_count == 1  # the change is too small for a transition


@pytest.mark.parametrize("bad", [{"max_age": 0}, {"max_age": 11 * SECOND}, {"taken_up": 1}, {"step": 0}, {"step": 1.5}])
def test_inconsistent_options_are_refused(bad):
    with pytest.raises(ValueError, match="atlas"):
        Options(**bad)


def test_plan_sends_overflow_to_the_zone_with_the_lowest_latency():
    servers = tuple(PlanServer(zone, "g", zone, 100) for zone in "abc")
    problem = Problem(servers, (Demand("read", "g", "a", 150),), Limits(prices={("a", "b"): 2.0}))
    latencies = {("a", "b"): 3 * MS, ("a", "c"): 90 * MS, ("a", "a"): 5}
    priced = with_ways(problem, latencies, 10 * MS)
    assert priced.limits.prices == {("a", "b"): 2.6, ("a", "c"): 10.0}  # the latency's price is added to the operator's
    shares = solve(priced).shares["read", "g", "a"]
    assert shares["b"] == pytest.approx(1 / 3) and shares.get("c", 0.0) == pytest.approx(0, abs=1e-6)
    assert solve(problem).shares["read", "g", "a"].get("b", 0.0) == pytest.approx(0, abs=1e-6)
    assert with_ways(problem, {("a", "b"): MAX_ROUND_TRIP}, 1).limits.prices["a", "b"] < 1e6
    with pytest.raises(ValueError, match="reference"):
        with_ways(problem, latencies, 0)
