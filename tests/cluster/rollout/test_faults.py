"""Rollouts under faults of the fleet: cuts, clocks, disks, lists that change."""

from random import Random

import pytest

from tests.cluster.rollout.test_fleet import begun, stopped, worse
from tests.support.rollout_fleet import SECOND, Kind, World, change, zoned
from yardbank.cluster.rollout.document import OperatorCommand
from yardbank.testing.rig.network import Effect, pairs_of

ALL = [f"g{n:03d}" for n in range(8)]


def cut(world, name, sources, targets, oneway=False):
    world.gossip.network.begin(name, pairs_of(sources, targets, oneway), Effect(cut="silent"))


def moved(world, count=2, most=200):
    return world.until(lambda: sum(world.phase(name) == "new" for name in world.zones) >= count, most)


@pytest.mark.parametrize("oneway", [False, True])
def test_new_ones_that_are_cut_off_from_old_ones_are_waited_for(oneway):
    world = begun(8, asked=change(hold=60 * SECOND))
    assert moved(world)
    new = sorted(world.on_new())
    cut(world, "apart", new, [name for name in world.zones if name not in new], oneway)
    world.run(150)
    assert len(world.on_new()) == 2 and not world.said("stopped")
    world.gossip.network.end("apart")
    assert world.until(lambda: len(world.said("finished")) == 8, 500)


def test_a_stage_that_is_killed_whole_is_no_verdict_and_nobody_follows():
    world = begun(8, asked=change(hold=60 * SECOND, longest=150 * SECOND))
    assert moved(world)
    for name in world.on_new():
        world.end(name, None)
    world.run(400)
    assert len(world.on_new()) == 2 and not world.said("well") and not world.said("stopped")
    assert world.said("undecided")


def test_one_that_was_cut_off_comes_back_two_stages_later_and_follows():
    world = begun(8, asked=change(stages=(0.25, 0.5, 0.75, 1.0)))
    away = world.processes["g000"].part._stage_plan.of(2)[-1]
    cut(world, "away", [away], [name for name in world.zones if name != away])
    others = [name for name in world.zones if name != away]
    assert world.until(lambda: all(world.phase(name) == "new" for name in others), 600)
    assert world.phase(away) != "new"
    world.gossip.network.end("away")
    assert world.until(lambda: world.phase(away) == "new", 200)


def test_one_that_was_cut_off_on_the_new_version_hears_of_the_stop_when_it_is_back():
    world = begun(8)
    assert moved(world)
    away = sorted(world.on_new())[0]
    cut(world, "away", [away], [name for name in world.zones if name != away])
    worse(world, Kind(failed=0.4))
    world.run(20)
    for name in [name for name in world.zones if name != away][:2]:
        world.processes[name].part._state_machine.stop(world.gossip.own(name), "c1", "served lookup")
    rest = set(world.zones) - {away}
    assert world.until(lambda: {name for _, name, _ in world.said("stopped")} >= rest, 60)
    assert world.until(lambda: world.on_new() == {away}, 200)
    world.run(30)
    assert world.phase(away) in ("new", "due back")
    world.gossip.network.end("away")
    assert world.until(world.all_old, 120)


def test_clocks_that_run_apart_and_started_apart_change_nothing():
    world = World(zoned(8, 2))
    for number, name in enumerate(ALL):
        world.gossip.kill(name)
        world.gossip.rates[name] = 1 + 0.02 * (number % 3 - 1)
        world.start(name)
    world.run(15)
    world.ask(change())
    assert world.until(lambda: len(world.said("finished")) == 8, 500)
    bad = begun(8)
    for number, name in enumerate(ALL):
        bad.gossip.rates[name] = 1 + 0.02 * (number % 3 - 1)
    assert stopped(worse(bad, Kind(failed=0.2)))


def test_loss_makes_it_slower_and_no_other_verdict():
    lossy = Effect(delay=0.001, lose=0.2, double=0.1, reorder=0.2)
    world = begun(8, way=lossy)
    assert world.until(lambda: len(world.said("finished")) == 8, 900)
    assert not world.said("stopped") and world.most_away <= 2


def test_a_judge_that_is_slow_itself_does_not_go_on():
    world = begun(8)
    assert moved(world)
    following = world.processes["g000"].part._stage_plan.of(2)[0]
    for tick in range(500):
        at = world.gossip.now + tick * SECOND // 5
        world.gossip.at(at, lambda: setattr(world.gossip.nodes[following].detector, "slowness", 8))
    world.run(95)
    assert world.phase(following) in ("old", "due") and not world.said("stopped")
    assert any("slow" in turn.why for _, _, turn in world.said("held", following))
    assert world.until(lambda: len(world.said("finished")) == 8, 500)


def test_a_list_that_changes_in_mid_stage():
    world = World(zoned(10, 2))
    absent = ["g008", "g009"]
    for name in absent:
        world.end(name, None)
    everyone = dict(world.zones)
    few = {name: zone for name, zone in everyone.items() if name not in absent}

    def listed(zones):
        world.gossip.zones, world.gossip.names = zones, list(zones)
        for name, node in world.gossip.nodes.items():
            node.listed(world.gossip.own(name), zones, zones)

    listed(few)
    world.run(15)
    world.ask(change(), few)
    assert moved(world)
    first = set(world.on_new())
    listed(everyone)
    for name in absent:
        world.start(name)
        world.tell(name, change())
    gone = sorted(set(few) - first)[0]
    assert world.until(lambda: len(world.said("finished")) == 10, 700)
    assert first <= world.on_new() and gone in world.on_new() and not world.said("stopped")


def test_a_disk_that_is_full_as_the_verdict_is_written():
    world = begun(8)
    assert moved(world)
    full = world.processes["g000"].disk
    full.full = True
    worse(world, Kind(failed=0.4))
    assert stopped(world) and world.said("not_kept", "g000")
    world.end("g000")  # it has forgotten; the others have not
    world.run(40)
    assert world.phase("g000") == "old" and len(world.said("stopped", "g000")) == 2
    full.full = False
    world.run(15)
    world.end("g000")
    assert "c1" in str(full.data)


def test_a_disk_that_is_full_before_it_goes_over_keeps_it_on_the_old_one():
    world = begun(8)
    first = world.processes["g000"].part._stage_plan.of(1)[0]
    world.processes[first].disk.full = True
    world.run(60)
    assert first not in world.on_new() and world.said("not_kept", first)
    world.processes[first].disk.full = False
    assert world.until(lambda: first in world.on_new(), 60)


def test_a_going_back_that_fails_is_tried_again_and_words_on_others_change_nothing_here():
    world = begun(6, down=False)
    assert moved(world)
    name = sorted(world.on_new())[0]
    carry_out, failed = world._carry_out, []

    def broken(who, process, order):
        if who == name and type(order).__name__ == "RollBack" and len(failed) < 2:
            failed.append(world.gossip.now / SECOND)
            process.part.failed(world.gossip.own(who), "no space")
        else:
            carry_out(who, process, order)

    world._carry_out = broken
    world.take_command(OperatorCommand(("c0",), ()), ["g000", "g001"])  # of another rollout
    world.run(5)
    assert {turn.rollout for _, _, turn in world.said("stopped")} == {"c0"} and len(world.on_new()) >= 2
    world.take_command(OperatorCommand(("c1",), ()), ["g000", "g001"])
    assert world.until(world.all_old, 120)
    assert len(failed) == 2 and failed[1] - failed[0] >= 10


def test_who_has_finished_goes_back_no_more():
    world = begun(6, down=False)
    assert world.until(lambda: len(world.said("finished")) == 6, 400)
    world.take_command(OperatorCommand(("c1",), ()), world.zones)
    world.run(30)
    assert len(world.on_new()) == 6 and set(world.places().values()) == {"new"}


@pytest.mark.parametrize("seed", range(3))
def test_no_more_are_out_of_service_at_once_than_permits_whatever_is_cut(seed):
    """Cuts that come and go each few seconds, one way and both, while all go over and are called back in the middle."""
    random = Random(seed)
    world = begun(8, seed=seed, asked=change(stages=(0.8, 1.0)))
    for number in range(40):
        names = random.sample(sorted(world.zones), 8)
        side = random.randrange(1, 5)
        cut(world, str(number), names[:side], names[side:], oneway=random.random() < 0.5)
        world.run(random.choice([1, 3, 6]))
        world.gossip.network.end(str(number))
        world.run(random.choice([0, 2, 8]))
        if number == 20:
            world.take_command(OperatorCommand(("c1",), ()), random.sample(sorted(world.zones), 3))
    assert world.until(world.all_old, 300)
    assert len(world.requests) >= 2 and world.most_away <= 2
