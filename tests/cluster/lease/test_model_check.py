"""Model checking of the lease protocol, and injected bugs that the checker must find."""

import pytest

from tests.support.paths import DATA
from yardbank.cluster.lease.model_check.bugs import BUGS, inject_bug
from yardbank.cluster.lease.model_check.scenes import SCENARIO_FOR_BUG, SCENARIOS
from yardbank.cluster.lease.model_check.search import explore, read, replay, walk

FILES = sorted(DATA.glob("lease-*.json"))


@pytest.mark.parametrize("name", list(SCENARIOS))
def test_no_order_of_events_leads_to_two_holders_or_a_reused_epoch(name):
    found = explore(SCENARIOS[name], SCENARIOS[name].depth)
    print(f"{name}: {found.states} states, {found.steps} steps, depth {found.depth}")
    assert found.wrong == "" and found.states > 100


@pytest.mark.parametrize("bug", list(BUGS))
def test_each_injected_bug_is_found_with_a_counterexample_as_short_as_the_stored_one(bug):
    stored = read(DATA / f"lease-{bug}.json")
    assert stored.bug == bug
    with inject_bug(bug):
        assert replay(stored) == stored.wrong != ""
        found = explore(SCENARIOS[SCENARIO_FOR_BUG[bug]], len(stored.actions))
        assert found.wrong and len(found.trace) == len(stored.actions)
    assert replay(stored) == ""


def test_every_stored_counterexample_is_of_a_known_bug():
    assert {read(path).bug for path in FILES} == set(BUGS)


@pytest.mark.parametrize("name", ["all", "all-lists"])
def test_random_walks_violate_nothing_and_win_many_leases(name):
    leases = 0
    for seed in range(15):
        world, trace, won = walk(SCENARIOS[name], seed, 400)
        assert world.wrong == "", (seed, trace)
        leases += won
    assert leases > 15
