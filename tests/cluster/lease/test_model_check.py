"""One grant, one holder: every order of events, and the faults that must be found."""

import pytest

from tests.support.paths import DATA
from yardbank.cluster.lease.model_check.bugs import BUGS, seeded
from yardbank.cluster.lease.model_check.scenes import FINDS, SCENES
from yardbank.cluster.lease.model_check.search import explore, read, replay, walk

FILES = sorted(DATA.glob("lease-*.json"))


@pytest.mark.parametrize("name", list(SCENES))
def test_no_order_of_events_makes_two_holders_or_one_epoch_twice(name):
    found = explore(SCENES[name], SCENES[name].depth)
    print(f"{name}: {found.states} states, {found.steps} steps, depth {found.depth}")
    assert found.wrong == "" and found.states > 100


@pytest.mark.parametrize("bug", list(BUGS))
def test_each_fault_is_found_and_its_shortest_counterexample_is_the_kept_one(bug):
    kept = read(DATA / f"lease-{bug}.json")
    assert kept.bug == bug
    with seeded(bug):
        assert replay(kept) == kept.wrong != ""
        found = explore(SCENES[FINDS[bug]], len(kept.actions))
        assert found.wrong and len(found.trace) == len(kept.actions)
    assert replay(kept) == ""


def test_every_kept_counterexample_is_of_a_fault_that_is_known():
    assert {read(path).bug for path in FILES} == set(BUGS)


@pytest.mark.parametrize("name", ["all", "all-lists"])
def test_long_ways_by_chance_are_sound_and_go_far(name):
    ownerships = 0
    for seed in range(15):
        world, trace, owned = walk(SCENES[name], seed, 400)
        assert world.wrong == "", (seed, trace)
        ownerships += owned
    assert ownerships > 15
