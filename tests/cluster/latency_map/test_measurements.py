"""The map's deciders one by one: own round trips, going over, prices for the plan."""

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from yardbank.cluster.latency_map.measurements import GatewayHealth, Measurements
from yardbank.cluster.latency_map.options import MOST, SECOND, Options
from yardbank.cluster.latency_map.transition import GradualTransition
from yardbank.plan.model import Demand, Limits, PlanServer, Problem
from yardbank.plan.solver import solve
from yardbank.plan.zone_latencies import with_ways

MS = 1_000_000
OPTIONS = Options()


# Own round trips


def seeing(hand, seconds, now, ways, each=SECOND // 4, late=0, slowness=0):
    """Round trips of so many ms by zone; ``zone_latencies`` may be a function of the time."""
    for _ in range(round(seconds)):
        for _ in range(SECOND // each):
            now += each
            for zone, ms in (ways(now) if callable(ways) else ways).items():
                hand.saw(now, zone, round(ms * MS))
        hand.ticked(now, late, slowness)
    return now


def watching():
    hand = Measurements(OPTIONS)
    hand.listed("here", {})
    return hand, seeing(hand, 20, SECOND, {"here": 1, "near": 20, "far": 80})


def test_a_gateway_that_is_slow_itself_puts_that_on_no_way():
    hand, now = watching()
    now = seeing(hand, 20, now, {"here": 41, "near": 60, "far": 120})
    assert hand.state == GatewayHealth.SLOW and hand.apart > 100
    assert {zone: figure.low for zone, figure in hand.row(now).items()} == {"here": MS, "near": 20 * MS, "far": 80 * MS}
    now = seeing(hand, 10, now, {"here": 1, "near": 20, "far": 80})
    assert hand.state == GatewayHealth.WELL and hand.row(now)["near"].low == 20 * MS


def test_ways_that_are_up_without_the_own_zones_are_up():
    hand, now = watching()
    now = seeing(hand, 8, now, {"here": 1, "near": 60, "far": 120})
    assert hand.state == GatewayHealth.WELL
    assert (hand.row(now)["near"].low, hand.row(now)["far"].low) == (60 * MS, 120 * MS)


def test_what_came_in_before_a_late_tick_stands_apart():
    hand, now = watching()
    hand.saw(now + MS, "near", 3 * MS)
    hand.ticked(now + 3 * SECOND, 2 * SECOND, 8)
    assert hand.state == GatewayHealth.SLOW and hand.row(now + 3 * SECOND)["near"].low == 20 * MS
    hand.ticked(now + 4 * SECOND, 0, 8)
    assert hand.state == GatewayHealth.DOUBTFUL
    hand.ticked(now + 5 * SECOND, 0, 0)
    assert hand.state == GatewayHealth.WELL


def test_a_gateway_that_is_slow_for_a_life_takes_it_for_how_it_is():
    hand, now = watching()
    now = seeing(hand, 80, now, {"here": 41, "near": 60, "far": 120})
    assert hand.state == GatewayHealth.WELL and hand.row(now)["far"].low == 120 * MS


@pytest.mark.parametrize("each", [SECOND // 20, SECOND // 2])
def test_a_way_that_flaps_or_is_slow_for_most_answers_keeps_its_figure_and_shows_its_spread(each):
    hand, now = watching()
    for _ in range(30):
        now = seeing(hand, 1, now, lambda at: {"near": 90 if at // (2 * SECOND) % 2 else 20}, each)
        assert hand.row(now)["near"].low == 20 * MS
    assert hand.row(now)["near"].spread >= 50 * MS
    large = Random(1)
    now = seeing(hand, 20, now, lambda at: {"near": 400 if large.random() < 0.5 else 20}, SECOND // 20)
    assert hand.row(now)["near"].low == 20 * MS


def test_a_burst_of_connects_does_not_push_out_what_was_seen_before_and_odd_ones_are_counted():
    hand, now = watching()
    for number in range(100_000):
        hand.saw(now + number, "near", 90 * MS)
    assert hand.row(now)["near"].low == 20 * MS
    for ns in (0, -5, MOST + 1):
        hand.saw(now, "near", ns)
    assert hand.odd == 3


# Going over

TARGETS = [
    (),
    (("b", 5 * MS, 6 * MS),),
    (("b", 90 * MS, 95 * MS),),
    (("b", 5 * MS, 6 * MS), ("c", 50 * MS, 60 * MS)),
    (("b", 90 * MS, 95 * MS), ("c", 3 * MS, 4 * MS)),
]
GRAIN = 100  # looks a second


def choice_of(ways):
    """Where a gateway's module would send: the nearest, or nowhere else."""
    return min(ways, key=lambda way: way[1])[0] if ways and min(way[1] for way in ways) < 20 * MS else "a"


@settings(max_examples=60, deadline=None, derandomize=True)
@given(
    st.lists(st.tuples(st.integers(0, 25), st.integers(0, len(TARGETS) - 1)), max_size=8),
    st.integers(0, 99),
    st.sampled_from([0.05, 0.1, 0.34, 0.5]),
)
def test_no_zone_gets_more_than_a_step_more_within_a_second_whatever_the_map_says(moves, seed, step):
    transition, now, picks = GradualTransition(step, Random(seed)), 3600 * SECOND, []
    plan = [target for wait, target in moves for _ in range(wait + 1)] + [0] * 5
    for target in plan:
        for moment in range(GRAIN):
            now += SECOND // GRAIN
            if moment == GRAIN // 3:
                transition.aim(now, TARGETS[target])
            picks.append(choice_of(transition.at(now)))
    for zone in "abc":
        sums = [0]
        for pick in picks:
            sums.append(sums[-1] + (pick == zone))
        shares = [(sums[at + GRAIN] - sums[at]) / GRAIN for at in range(len(picks) - GRAIN + 1)]
        assert all(later - sooner <= step + 2 / GRAIN for sooner, later in zip(shares, shares[GRAIN:], strict=False))


def test_a_move_ends_where_the_map_pointed_and_wakes_when_it_changes():
    transition, now = GradualTransition(0.1, Random(4)), 50 * SECOND
    assert transition.next_at(now) is None
    transition.aim(now, TARGETS[1])
    seen, wakes = [], 0
    while (at := transition.next_at(now)) is not None and wakes < 100:
        assert all(transition.at(moment) == transition.at(now) for moment in (now, (now + at) // 2, at - 1))
        now, wakes = at, wakes + 1
        transition.aim(now, TARGETS[1])
        seen.append(transition.at(now))
    assert seen[-1] == TARGETS[1] and 15 <= wakes <= 30 and 10 <= now / SECOND - 50 <= 14
    transition.aim(now, ((TARGETS[1][0][0], 5 * MS + MS // 2, 6 * MS),))
    assert transition.moves == 1  # too little to go over for


@pytest.mark.parametrize("bad", [{"max_age": 0}, {"max_age": 11 * SECOND}, {"taken_up": 1}, {"step": 0}, {"step": 1.5}])
def test_options_that_do_not_fit_are_refused(bad):
    with pytest.raises(ValueError, match="atlas"):
        Options(**bad)


def test_a_plan_sends_what_must_leave_its_zone_where_the_way_is_short():
    servers = tuple(PlanServer(zone, "g", zone, 100) for zone in "abc")
    problem = Problem(servers, (Demand("read", "g", "a", 150),), Limits(prices={("a", "b"): 2.0}))
    ways = {("a", "b"): 3 * MS, ("a", "c"): 90 * MS, ("a", "a"): 5}
    priced = with_ways(problem, ways, 10 * MS)
    assert priced.limits.prices == {("a", "b"): 2.6, ("a", "c"): 10.0}  # the operator's price stays, the way's is added
    shares = solve(priced).shares["read", "g", "a"]
    assert shares["b"] == pytest.approx(1 / 3) and shares.get("c", 0.0) == pytest.approx(0, abs=1e-6)
    assert solve(problem).shares["read", "g", "a"].get("b", 0.0) == pytest.approx(0, abs=1e-6)
    assert with_ways(problem, {("a", "b"): MOST}, 1).limits.prices["a", "b"] < 1e6
    with pytest.raises(ValueError, match="reference"):
        with_ways(problem, ways, 0)
