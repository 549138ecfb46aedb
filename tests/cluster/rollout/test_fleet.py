"""Rollouts on a virtual fleet: the real decision code, leases and records, simulated requests and faults."""

import pytest

from tests.support.rollout_fleet import SECOND, Disk, Kind, World, change, zoned
from yardbank.cluster.rollout.document import OperatorCommand

LOOKUP, WRITE = "lookup:0", "write:0"


def start_fleet(count=8, zones=2, asked=None, **more):
    """A converged fleet that has got a rollout request."""
    world = World(zoned(count, zones), **more)
    world.run(12)
    world.ask(asked or change())
    return world


def degrade_new_version(world, kind, only=lambda name, second: True, key=LOOKUP):
    """Gives requests of the new version the outcomes of ``kind``; those of the old version stay good."""
    world.kinds = lambda name, new, second: {
        one: kind if new and one == key and only(name, second) else Kind() for one in (LOOKUP, WRITE)
    }
    return world


def all_stop_and_roll_back(world, most=400):
    """Whether every gateway stops the rollout and rolls back."""
    return world.until(lambda: len(world.said("stopped")) == len(world.zones) and world.all_old(), most)


def test_a_good_change_passes_all_stages_and_is_committed():
    world = start_fleet(8)
    assert world.until(lambda: len(world.said("finished")) == 8, 400)
    assert world.on_new() == set(world.zones) and world.most_away <= 2
    assert not any(process.active_version.uncommitted for process in world.processes.values())
    new, well = world.said("new"), world.said("well")
    order = world.processes["g000"].part._stage_plan
    for stage in (2, 3):  # no gateway of a stage changes before the previous stage has passed, after its hold
        first = min(at for at, name, _ in world.said("going_over") if name in order.of(stage))
        judged = min(at for at, _, turn in well if turn.stage == stage - 1)
        through = max(at for at, name, _ in new if name in order.up_to(stage - 1))
        assert first >= judged >= through + 20 - 1
    world.end("g003")
    world.run(30)
    assert world.phase("g003") == "new"  # the new version survives a restart


WORSE = {
    "in one class": (Kind(late=0.12), lambda name, second: True, {}),
    "in one zone": (
        Kind(failed=0.25),
        lambda name, second: name in ("g000", "g002", "g004", "g006"),
        {"stages": (0.5, 1.0)},
    ),
    "under load": (Kind(rate=120, refused=0.1), lambda name, second: second > 70, {"hold": 120 * SECOND}),
    "at the tail": (
        Kind(rate=120, p99=900),
        lambda name, second: True,
        {"worse": ("served", "p99"), "hold": 120 * SECOND},
    ),
}


@pytest.mark.parametrize("how", WORSE)
def test_a_change_that_does_worse_is_stopped_and_rolled_back_everywhere(how):
    kind, only, more = WORSE[how]
    world = degrade_new_version(start_fleet(8, asked=change(**more)), kind, only, WRITE)
    before = world.kinds
    if how == "under load":  # the load rises for both versions
        world.kinds = lambda name, new, second: {
            **before(name, new, second),
            WRITE: kind if new and second > 70 else Kind(rate=120 if second > 70 else 30),
        }
    if how == "at the tail":
        world.kinds = lambda name, new, second: {WRITE: kind if new else Kind(rate=120)}
    assert all_stop_and_roll_back(world)
    why = {turn.why for _, _, turn in world.said("stopped")}
    assert all("write" in one for one in why), why
    assert len(world.requests) <= 4 and world.most_away <= 2  # of eight: no stage after the current one was started


def test_faults_that_affect_both_versions_do_not_stop_a_rollout():
    """A server of one zone fails 30 % of the requests from mid-stage on, and a burst of rejections hits every zone."""
    world = start_fleet(8)
    world.kinds = lambda name, new, second: {
        LOOKUP: Kind(failed=0.3 if int(name[1:]) % 2 and second > 40 else 0.005, refused=0.1 if 60 < second < 75 else 0)
    }
    assert world.until(lambda: len(world.said("finished")) == 8, 600)
    assert not world.said("stopped")


CRASHES = {
    "at its start": lambda name, new, age: new and age > 0.5,
    "at its hundredth request": lambda name, new, age: new and age > 100 / 60,
}


@pytest.mark.parametrize("how", CRASHES)
def test_a_worker_that_dies_early_is_rolled_back_and_two_stop_the_rollout(how):
    world = start_fleet(8, asked=change(outage=15 * SECOND))
    world.dies = CRASHES[how]
    assert all_stop_and_roll_back(world)
    fell = {name for _, name, _ in world.said("fell_back")}
    assert len(fell) == 2 == len(world.requests) and all(world.phase(name) == "fell back" for name in fell)
    assert any("restarts of" in turn.why for _, _, turn in world.said("stopped"))


def test_repeated_late_crashes_stop_the_rollout():
    world = start_fleet(8, asked=change(hold=120 * SECOND))
    world.dies = lambda name, new, age: new and age > world.young + 5
    assert all_stop_and_roll_back(world)
    assert not world.said("fell_back") and "restarts" in world.said("stopped")[0][2].why


def test_crashes_of_both_versions_do_not_stop_the_rollout():
    world = start_fleet(8)
    world.dies = lambda name, new, age: age > world.young + 5
    assert world.until(
        lambda: (
            sum(p.active_version.uncommitted and p.active_version.restarts > 1 for p in world.processes.values()) >= 2
        ),
        300,
    )
    world.run(5)
    assert not world.said("stopped")


def test_a_memory_leak_stops_the_rollout():
    world = start_fleet(8, asked=change(hold=120 * SECOND))
    world.memory = lambda name, new, age: int((100 + (age * 2 if new else 0)) * 2**20)
    assert all_stop_and_roll_back(world)
    assert "memory" in world.said("stopped")[0][2].why


def test_too_little_traffic_ends_undecided_and_never_passes():
    world = start_fleet(6, asked=change(longest=120 * SECOND))
    world.kinds = lambda name, new, second: {LOOKUP: Kind(rate=0.05)}
    world.run(400)
    assert len(world.said("undecided")) >= 4 and not world.said("well") and not world.said("stopped")
    assert len(world.on_new()) == 2


def test_classes_whose_targets_the_change_alters_are_not_compared():
    """One class gets a target that is easier to meet; the class common to both versions decides, and does worse."""
    world = start_fleet(8)
    world.kinds = lambda name, new, second: {
        "lookup:1" if new else "lookup:0": Kind(late=0.0),
        WRITE: Kind(late=0.12 if new else 0.01),
    }
    assert all_stop_and_roll_back(world)
    assert {turn.why.rpartition(" ")[2] for _, _, turn in world.said("stopped")} == {"write"}
    alone = start_fleet(8, asked=change(longest=60 * SECOND))
    alone.kinds = lambda name, new, second: {f"lookup:{int(new)}": Kind()}
    alone.run(200)
    assert alone.said("undecided") and not alone.said("well")


def test_a_change_without_restart_restarts_no_gateway():
    world = start_fleet(8, down=False)
    boot_epochs = {name: node.membership_view.boot_epoch for name, node in world.gossip.nodes.items()}
    assert world.until(lambda: len(world.said("finished")) == 8, 400)
    assert boot_epochs == {name: node.membership_view.boot_epoch for name, node in world.gossip.nodes.items()}


@pytest.mark.parametrize("size", [1, 2, 3])
def test_a_fleet_too_small_to_compare_never_passes_a_stage(size):
    world = start_fleet(size, 1, asked=change(longest=60 * SECOND))
    world.run(200)
    assert not world.said("well") and len(world.on_new()) <= max(0, size - 1)


# The operator


def test_an_operator_stop_at_two_gateways_rolls_back_a_rollout_under_way():
    world = start_fleet(8, asked=change(stages=(0.9, 1.0), most_at_once=4))
    assert world.until(lambda: len(world.on_new()) >= 3, 200)
    world.take_command(OperatorCommand(("c1",), ()), ["g006"])
    moved = len(world.on_new())
    world.run(30)
    assert not [at for at, _, _ in world.said("going_over") if at > world.said("stopped")[0][0] + 5]
    assert {name for _, name, _ in world.said("stopped")} == {"g006"}  # the others only hold
    assert len(world.on_new()) <= moved + 4
    world.take_command(OperatorCommand(("c1",), ()), ["g007"])
    assert all_stop_and_roll_back(world) and world.most_away <= 4


def test_a_withdrawn_rollout_is_rolled_back_and_may_be_requested_again():
    world = start_fleet(8)
    assert world.until(lambda: world.phase("g000") == "new" or len(world.on_new()) >= 2, 200)
    world.ask(None)
    assert world.until(world.all_old, 200) and world.most_away <= 2
    world.run(20)
    world.ask(change())
    assert world.until(lambda: len(world.said("finished")) == 8, 500)


def test_a_withdraw_command_holds_as_long_as_it_is_in_the_file():
    world = start_fleet(6)
    assert world.until(lambda: len(world.on_new()) >= 2, 200)
    world.take_command(OperatorCommand((), ("c1",)), world.zones)
    assert world.until(world.all_old, 200)
    world.run(30)
    assert not world.on_new()
    world.take_command(OperatorCommand((), ()), world.zones)
    assert world.until(lambda: len(world.on_new()) >= 2, 200)


def test_a_replaced_request_rolls_back_the_old_change_before_the_new_one_starts():
    world = start_fleet(8)
    assert world.until(lambda: len(world.on_new()) >= 2, 200)
    world.ask(change(id="c2", worse_by=0.04))
    back = world.until(world.all_old, 200)
    assert back and world.until(lambda: len(world.said("finished")) == 8, 500)
    first = min(at for at, _, turn in world.said("going_over") if turn.rollout == "c2")
    assert first >= max(at for at, _, turn in world.said("going_back") if turn.rollout == "c1")
    assert {process.active_version.now.rollout for process in world.processes.values()} == {"c2"}


def test_two_concurrent_rollouts_hold_each_other():
    world = World(zoned(8, 2))
    world.run(12)
    names = list(world.zones)
    world.ask(change(), names[:6])
    world.ask(change(id="c2"), names[6:])
    world.run(120)
    assert not world.on_new() and any("another rollout" in turn.why for _, _, turn in world.said("held"))


def test_a_request_changes_only_gateways_that_have_it_and_needs_a_majority():
    world = World(zoned(8, 2))
    world.run(12)
    names = list(world.zones)
    world.ask(change(), names[:4])
    world.run(60)
    assert not world.on_new() and any("4 of 8" in turn.why for _, _, turn in world.said("held"))
    world.ask(change(), names[:6])
    world.run(200)
    assert world.on_new() <= set(names[:6])


def test_a_stopped_rollout_is_not_restarted_and_the_stop_survives_restarts():
    world = degrade_new_version(start_fleet(8), Kind(failed=0.5))
    assert all_stop_and_roll_back(world)
    for name in list(world.zones):  # all restart and get the same request again
        world.end(name)
    world.run(90)
    assert not world.on_new() and not [
        one for one in world.said("going_over") if one[0] > world.gossip.now / SECOND - 80
    ]
    lost = world.processes["g000"]
    lost.disk, lost.lease_disk = Disk(), Disk()  # its stored state is lost: the peers report the stop
    world.end("g000")
    world.run(60)
    assert [at for at, _, turn in world.said("stopped", "g000") if at > world.gossip.now / SECOND - 60]
    assert not world.on_new()
