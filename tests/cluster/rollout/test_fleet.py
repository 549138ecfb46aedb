"""Rollouts on a virtual fleet: the program's own deciders, leases and records, drawn requests, faults of the version."""

import pytest

from tests.support.rollout_fleet import SECOND, Disk, Kind, World, change, zoned
from yardbank.cluster.rollout.document import OperatorCommand

LOOKUP, WRITE = "lookup:0", "write:0"


def begun(count=8, zones=2, asked=None, **more):
    """A fleet that has found itself, and is asked for a change."""
    world = World(zoned(count, zones), **more)
    world.run(12)
    world.ask(asked or change())
    return world


def worse(world, kind, only=lambda name, second: True, key=LOOKUP):
    """From now on requests of the new version fare so, those of the old one well."""
    world.kinds = lambda name, new, second: {
        one: kind if new and one == key and only(name, second) else Kind() for one in (LOOKUP, WRITE)
    }
    return world


def stopped(world, most=400):
    """Whether all stop, by themselves, and go back."""
    return world.until(lambda: len(world.said("stopped")) == len(world.zones) and world.all_old(), most)


def test_a_sound_change_goes_through_in_stages_and_is_kept():
    world = begun(8)
    assert world.until(lambda: len(world.said("finished")) == 8, 400)
    assert world.on_new() == set(world.zones) and world.most_away <= 2
    assert not any(process.active_version.young for process in world.processes.values())
    new, well = world.said("new"), world.said("well")
    order = world.processes["g000"].part._stage_plan
    for stage in (2, 3):  # nobody of a stage goes before the one before it was judged well, after its hold
        first = min(at for at, name, _ in world.said("going_over") if name in order.of(stage))
        judged = min(at for at, _, turn in well if turn.stage == stage - 1)
        through = max(at for at, name, _ in new if name in order.upto(stage - 1))
        assert first >= judged >= through + 20 - 1
    world.end("g003")
    world.run(30)
    assert world.phase("g003") == "new"  # it is what it starts with from now on


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
def test_a_change_that_does_worse_is_stopped_and_all_go_back(how):
    kind, only, more = WORSE[how]
    world = worse(begun(8, asked=change(**more)), kind, only, WRITE)
    before = world.kinds
    if how == "under load":  # the load meets both versions
        world.kinds = lambda name, new, second: {
            **before(name, new, second),
            WRITE: kind if new and second > 70 else Kind(rate=120 if second > 70 else 30),
        }
    if how == "at the tail":
        world.kinds = lambda name, new, second: {WRITE: kind if new else Kind(rate=120)}
    assert stopped(world)
    why = {turn.why for _, _, turn in world.said("stopped")}
    assert all("write" in one for one in why), why
    assert len(world.requests) <= 4 and world.most_away <= 2  # of eight; the stage under way went no further


def test_what_meets_both_versions_is_no_verdict():
    """A zone whose server fails a third of all, from mid-stage on; a burst everywhere; then a sound zone again."""
    world = begun(8)
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
def test_one_that_dies_young_goes_back_by_itself_and_two_stop_all(how):
    world = begun(8, asked=change(outage=15 * SECOND))
    world.dies = CRASHES[how]
    assert stopped(world)
    fell = {name for _, name, _ in world.said("fell_back")}
    assert len(fell) == 2 == len(world.requests) and all(world.phase(name) == "fell back" for name in fell)
    assert any("restarts of" in turn.why for _, _, turn in world.said("stopped"))


def test_one_that_dies_again_and_again_when_it_is_not_young_any_more():
    world = begun(8, asked=change(hold=120 * SECOND))
    world.dies = lambda name, new, age: new and age > world.young + 5
    assert stopped(world)
    assert not world.said("fell_back") and "restarts" in world.said("stopped")[0][2].why


def test_old_ones_that_die_as_well_take_the_blame_off_the_new_ones():
    world = begun(8)
    world.dies = lambda name, new, age: age > world.young + 5
    assert world.until(
        lambda: sum(p.active_version.young and p.active_version.restarts > 1 for p in world.processes.values()) >= 2,
        300,
    )
    world.run(5)
    assert not world.said("stopped")


def test_one_that_leaks_is_stopped():
    world = begun(8, asked=change(hold=120 * SECOND))
    world.memory = lambda name, new, age: int((100 + (age * 2 if new else 0)) * 2**20)
    assert stopped(world)
    assert "memory" in world.said("stopped")[0][2].why


def test_thin_traffic_is_waited_for_and_never_called_well():
    world = begun(6, asked=change(longest=120 * SECOND))
    world.kinds = lambda name, new, second: {LOOKUP: Kind(rate=0.05)}
    world.run(400)
    assert len(world.said("undecided")) >= 4 and not world.said("well") and not world.said("stopped")
    assert len(world.on_new()) == 2


def test_classes_whose_promise_the_change_alters_are_not_compared():
    """The new promise is easier to keep; what both have decides, and here it does worse."""
    world = begun(8)
    world.kinds = lambda name, new, second: {
        "lookup:1" if new else "lookup:0": Kind(late=0.0),
        WRITE: Kind(late=0.12 if new else 0.01),
    }
    assert stopped(world)
    assert {turn.why.rpartition(" ")[2] for _, _, turn in world.said("stopped")} == {"write"}
    alone = begun(8, asked=change(longest=60 * SECOND))
    alone.kinds = lambda name, new, second: {f"lookup:{int(new)}": Kind()}
    alone.run(200)
    assert alone.said("undecided") and not alone.said("well")


def test_settings_that_change_in_service_interrupt_nobody():
    world = begun(8, down=False)
    boot_epochs = {name: node.membership_view.boot_epoch for name, node in world.gossip.nodes.items()}
    assert world.until(lambda: len(world.said("finished")) == 8, 400)
    assert boot_epochs == {name: node.membership_view.boot_epoch for name, node in world.gossip.nodes.items()}


@pytest.mark.parametrize("size", [1, 2, 3])
def test_a_fleet_too_small_to_compare_goes_nowhere_or_waits(size):
    world = begun(size, 1, asked=change(longest=60 * SECOND))
    world.run(200)
    assert not world.said("well") and len(world.on_new()) <= max(0, size - 1)


# The operator


def test_an_operator_s_stop_before_two_gateways_sends_all_back_while_everyone_is_half_way():
    world = begun(8, asked=change(stages=(0.9, 1.0), most_at_once=4))
    assert world.until(lambda: len(world.on_new()) >= 3, 200)
    world.take_command(OperatorCommand(("c1",), ()), ["g006"])
    moved = len(world.on_new())
    world.run(30)
    assert not [at for at, _, _ in world.said("going_over") if at > world.said("stopped")[0][0] + 5]
    assert {name for _, name, _ in world.said("stopped")} == {"g006"}  # the others wait, and no more
    assert len(world.on_new()) <= moved + 4
    world.take_command(OperatorCommand(("c1",), ()), ["g007"])
    assert stopped(world) and world.most_away <= 4


def test_withdrawn_they_go_back_and_may_be_asked_again():
    world = begun(8)
    assert world.until(lambda: world.phase("g000") == "new" or len(world.on_new()) >= 2, 200)
    world.ask(None)
    assert world.until(world.all_old, 200) and world.most_away <= 2
    world.run(20)
    world.ask(change())
    assert world.until(lambda: len(world.said("finished")) == 8, 500)


def test_the_word_withdraw_holds_as_long_as_it_stands():
    world = begun(6)
    assert world.until(lambda: len(world.on_new()) >= 2, 200)
    world.take_command(OperatorCommand((), ("c1",)), world.zones)
    assert world.until(world.all_old, 200)
    world.run(30)
    assert not world.on_new()
    world.take_command(OperatorCommand((), ()), world.zones)
    assert world.until(lambda: len(world.on_new()) >= 2, 200)


def test_a_file_that_is_replaced_takes_the_old_change_back_before_the_new_one_begins():
    world = begun(8)
    assert world.until(lambda: len(world.on_new()) >= 2, 200)
    world.ask(change(id="c2", worse_by=0.04))
    back = world.until(world.all_old, 200)
    assert back and world.until(lambda: len(world.said("finished")) == 8, 500)
    first = min(at for at, _, turn in world.said("going_over") if turn.rollout == "c2")
    assert first >= max(at for at, _, turn in world.said("going_back") if turn.rollout == "c1")
    assert {process.active_version.now.rollout for process in world.processes.values()} == {"c2"}


def test_two_at_once_hold_each_other():
    world = World(zoned(8, 2))
    world.run(12)
    names = list(world.zones)
    world.ask(change(), names[:6])
    world.ask(change(id="c2"), names[6:])
    world.run(120)
    assert not world.on_new() and any("another rollout" in turn.why for _, _, turn in world.said("held"))


def test_a_file_told_to_half_of_the_fleet_moves_nobody_and_to_most_only_those():
    world = World(zoned(8, 2))
    world.run(12)
    names = list(world.zones)
    world.ask(change(), names[:4])
    world.run(60)
    assert not world.on_new() and any("4 of 8" in turn.why for _, _, turn in world.said("held"))
    world.ask(change(), names[:6])
    world.run(200)
    assert world.on_new() <= set(names[:6])


def test_a_stopped_one_asked_again_is_refused_and_a_stop_outlives_the_process():
    world = worse(begun(8), Kind(failed=0.5))
    assert stopped(world)
    for name in list(world.zones):  # all start anew, and are asked for the same again
        world.end(name)
    world.run(90)
    assert not world.on_new() and not [
        one for one in world.said("going_over") if one[0] > world.gossip.now / SECOND - 80
    ]
    lost = world.processes["g000"]
    lost.disk, lost.lease_disk = Disk(), Disk()  # its memory is gone: the others tell it
    world.end("g000")
    world.run(60)
    assert [at for at, _, turn in world.said("stopped", "g000") if at > world.gossip.now / SECOND - 60]
    assert not world.on_new()
