"""Replicas in simulated fleets on a virtual clock: message loss, partitions, restarts, change of the publisher."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.support.list_distribution_fleet import SECOND, ListFleet
from yardbank.cluster.list_distribution.options import Options
from yardbank.cluster.list_distribution.part import DistributionPart
from yardbank.cluster.list_distribution.table import Increment
from yardbank.cluster.list_distribution.version import NOTHING
from yardbank.testing.rig.network import Effect, pairs_of


def test_change_reaches_all_gateways_with_one_version():
    fleet = ListFleet(40)
    fleet.start()
    assert fleet.run_until(fleet.same, 30)
    fleet.want(**{"db-1": "b", "db-2": "c"})
    since = fleet.gossip.now
    assert fleet.run_until(fleet.same, 10) and fleet.gossip.now - since < 3 * SECOND
    assert len(fleet.versions()) == 1
    fleet.want(**{"db-2": None})
    assert fleet.run_until(fleet.same, 10)


@pytest.mark.parametrize("loss", [0.05, 0.3])
@pytest.mark.parametrize("seed", [1, 2])
def test_all_converge_under_loss_duplication_and_reordering(loss, seed):
    fleet = ListFleet(24, seed)
    fleet.gossip.way = Effect(delay=0.002, jitter=0.05, lose=loss, double=0.1, reorder=0.1)
    fleet.start()
    for number in range(12):
        fleet.want(**{f"db-{number % 5}": str(number)})
        fleet.run(0.7)
    assert fleet.run_until(fleet.same, 30)


def test_partitioned_zones_keep_their_lists_and_converge_afterwards():
    fleet = ListFleet(24)
    fleet.start()
    assert fleet.run_until(fleet.same, 30)
    near = [name for name in fleet.names if fleet.zones[name] == "z0"]
    far = [name for name in fleet.names if fleet.zones[name] != "z0"]
    fleet.gossip.network.begin("apart", pairs_of(near, far, False), Effect(cut="silent"))
    before = fleet.versions()
    fleet.want(**{"db-1": "apart"})  # the lease holder, g000, is in the near zone
    fleet.run(10)
    assert fleet.same(near) and {fleet.parts[name].replica.table.version for name in far} == before
    fleet.gossip.network.end("apart")
    assert fleet.run_until(fleet.same, 60)


def test_second_publisher_continues_the_list_and_the_first_is_fenced():
    fleet = ListFleet(12)
    fleet.start()
    assert fleet.run_until(fleet.same, 30)
    fleet.gossip.pause("g000")
    fleet.holder, fleet.epoch = "g001", 2
    fleet.want(**{"db-9": "second"})
    assert fleet.run_until(lambda: fleet.same([name for name in fleet.names if name != "g000"]), 20)
    fleet.gossip.resume("g000")
    fleet.parts["g000"]._leases.epoch = lambda now, resource: 1  # g000 does not know that its lease has ended
    fleet.want(**{"db-9": "third"})
    fleet.holder = "g001"
    assert fleet.run_until(fleet.same, 20)
    assert {version.epoch for version in fleet.versions()} == {2}


@pytest.mark.parametrize("lost", [False, True])
def test_change_during_restart_of_all_gateways_reaches_all(lost):
    fleet = ListFleet(30)
    fleet.start()
    assert fleet.run_until(fleet.same, 30)
    fleet.epoch = 2
    for name in fleet.names:
        fleet.kill(name, lost and name not in fleet.publishers)
    fleet.wanted = {**fleet.wanted, "db-5": "meanwhile"}
    fleet.start()
    assert fleet.run_until(fleet.same, 30)


def test_absent_gateway_catches_up_by_increments_and_one_without_copy_by_snapshot():
    fleet = ListFleet(12)
    fleet.start()
    fleet.want(**{f"db-{number}": str(number) for number in range(200)})
    assert fleet.run_until(fleet.same, 30)
    fleet.kill("g010")
    fleet.kill("g011", lost=True)
    for number in range(30):
        fleet.want(**{f"db-{number}": f"changed-{number}"})
        fleet.run(0.5)
    before = {name: len(fleet.adopted[name]) for name in ("g010", "g011")}
    fleet.start("g010", "g011")
    assert fleet.run_until(fleet.same, 30)
    away, lost = (fleet.adopted[name][before[name] :] for name in ("g010", "g011"))
    assert not any(whole for _, _, whole in away) and lost[0][2]
    assert away[-1][1] == lost[-1][1] == max(fleet.versions())


@given(
    st.lists(
        st.tuples(
            st.sampled_from(["want", "kill", "lost", "start", "pause", "resume", "lose", "sound"]), st.integers(0, 7)
        ),
        max_size=14,
    )
)
@settings(max_examples=25, deadline=None)
def test_invariants_hold_and_gateways_converge_under_random_events(steps):
    fleet = ListFleet(8)
    fleet.start()
    fleet.run(4)
    for number, (what, at) in enumerate(steps):
        name = fleet.names[at]
        running, paused = name in fleet.parts, name in fleet.gossip.paused
        if what == "want":
            fleet.want(**{f"db-{at}": str(number)})
        elif what in ("kill", "lost") and running and name not in fleet.publishers:
            fleet.kill(name, what == "lost")
        elif what == "start" and not running:
            fleet.start(name)
        elif what == "pause" and running and not paused:
            fleet.gossip.pause(name)
        elif what == "resume" and paused:
            fleet.gossip.resume(name)
        elif what in ("lose", "sound"):
            fleet.gossip.way = Effect(delay=0.001, jitter=0.01, lose=0.3 if what == "lose" else 0.0)
        fleet.run(0.9)
    fleet.gossip.way = Effect(delay=0.001)
    for name in fleet.names:
        if name not in fleet.parts:
            fleet.start(name)
        elif name in fleet.gossip.paused:
            fleet.gossip.resume(name)
    assert fleet.run_until(fleet.same, 120)


def test_options_must_be_positive():
    with pytest.raises(ValueError, match="fan_out"):
        Options(fan_out=0)
    assert DistributionPart.topic == "list" and Increment(NOTHING, NOTHING, b"", ()).is_snapshot
