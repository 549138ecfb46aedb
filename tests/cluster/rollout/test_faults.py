"""Rollouts under partitions, clock drift, message loss, full disks and changes of the peer list."""

from random import Random

import pytest

from tests.cluster.rollout.test_fleet import all_stop_and_roll_back, degrade_new_version, start_fleet
from tests.support.rollout_fleet import SECOND, Kind, World, change, zoned
from yardbank.cluster.rollout.document import OperatorCommand
from yardbank.testing.rig.network import Effect, pairs_of

ALL = [f"g{n:03d}" for n in range(8)]


def cut(world, name, sources, targets, oneway=False):
    world.gossip.network.begin(name, pairs_of(sources, targets, oneway), Effect(cut="silent"))


def wait_for_new(world, count=2, most=200):
    return world.until(lambda: sum(world.phase(name) == "new" for name in world.zones) >= count, most)


@pytest.mark.parametrize("oneway", [False, True])
def test_the_rollout_waits_while_new_gateways_are_partitioned_from_old_ones(oneway):
    world = start_fleet(8, asked=change(hold=60 * SECOND))
    assert wait_for_new(world)
    new = sorted(world.on_new())
    cut(world, "apart", new, [name for name in world.zones if name not in new], oneway)
    world.run(150)
    assert len(world.on_new()) == 2 and not world.said("stopped")
    world.gossip.network.end("apart")
    assert world.until(lambda: len(world.said("finished")) == 8, 500)


def test_a_stage_whose_gateways_are_all_killed_ends_undecided():
    world = start_fleet(8, asked=change(hold=60 * SECOND, longest=150 * SECOND))
    assert wait_for_new(world)
    for name in world.on_new():
        world.end(name, None)
    world.run(400)
    assert len(world.on_new()) == 2 and not world.said("well") and not world.said("stopped")
    assert world.said("undecided")


def test_a_gateway_partitioned_for_two_stages_catches_up():
    world = start_fleet(8, asked=change(stages=(0.25, 0.5, 0.75, 1.0)))
    away = world.processes["g000"].part._stage_plan.of(2)[-1]
    cut(world, "away", [away], [name for name in world.zones if name != away])
    others = [name for name in world.zones if name != away]
    assert world.until(lambda: all(world.phase(name) == "new" for name in others), 600)
    assert world.phase(away) != "new"
    world.gossip.network.end("away")
    assert world.until(lambda: world.phase(away) == "new", 200)


def test_a_partitioned_new_gateway_rolls_back_once_it_hears_of_the_stop():
    world = start_fleet(8)
    assert wait_for_new(world)
    away = sorted(world.on_new())[0]
    cut(world, "away", [away], [name for name in world.zones if name != away])
    degrade_new_version(world, Kind(failed=0.4))
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


def test_clock_drift_and_different_clock_starts_change_no_verdict():
    world = World(zoned(8, 2))
    for number, name in enumerate(ALL):
        world.gossip.kill(name)
        world.gossip.rates[name] = 1 + 0.02 * (number % 3 - 1)
        world.start(name)
    world.run(15)
    world.ask(change())
    assert world.until(lambda: len(world.said("finished")) == 8, 500)
    bad = start_fleet(8)
    for number, name in enumerate(ALL):
        bad.gossip.rates[name] = 1 + 0.02 * (number % 3 - 1)
    assert all_stop_and_roll_back(degrade_new_version(bad, Kind(failed=0.2)))


def test_message_loss_delays_the_rollout_and_changes_no_verdict():
    lossy = Effect(delay=0.001, lose=0.2, double=0.1, reorder=0.2)
    world = start_fleet(8, way=lossy)
    assert world.until(lambda: len(world.said("finished")) == 8, 900)
    assert not world.said("stopped") and world.most_away <= 2


def test_a_slow_gateway_holds_its_own_change():
    world = start_fleet(8)
    assert wait_for_new(world)
    following = world.processes["g000"].part._stage_plan.of(2)[0]
    for tick in range(500):
        at = world.gossip.now + tick * SECOND // 5
        world.gossip.at(at, lambda: setattr(world.gossip.nodes[following].detector, "slowness", 8))
    world.run(95)
    assert world.phase(following) in ("old", "due") and not world.said("stopped")
    assert any("slow" in turn.why for _, _, turn in world.said("held", following))
    assert world.until(lambda: len(world.said("finished")) == 8, 500)


def test_a_peer_list_change_during_a_stage_does_not_disturb_the_rollout():
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
    assert wait_for_new(world)
    first = set(world.on_new())
    listed(everyone)
    for name in absent:
        world.start(name)
        world.tell(name, change())
    last = sorted(set(few) - first)[0]
    assert world.until(lambda: len(world.said("finished")) == 10, 700)
    assert first <= world.on_new() and last in world.on_new() and not world.said("stopped")


def test_a_stop_survives_a_full_disk_and_a_restart():
    world = start_fleet(8)
    assert wait_for_new(world)
    disk = world.processes["g000"].disk
    disk.full = True
    degrade_new_version(world, Kind(failed=0.4))
    assert all_stop_and_roll_back(world) and world.said("not_kept", "g000")
    world.end("g000")  # its own stop is not stored: the peers report it
    world.run(40)
    assert world.phase("g000") == "old" and len(world.said("stopped", "g000")) == 2
    disk.full = False
    world.run(15)
    world.end("g000")
    assert "c1" in str(disk.data)


def test_a_full_disk_keeps_a_gateway_on_the_old_version():
    world = start_fleet(8)
    first = world.processes["g000"].part._stage_plan.of(1)[0]
    world.processes[first].disk.full = True
    world.run(60)
    assert first not in world.on_new() and world.said("not_kept", first)
    world.processes[first].disk.full = False
    assert world.until(lambda: first in world.on_new(), 60)


def test_a_failed_rollback_is_retried_and_commands_on_other_rollouts_have_no_effect():
    world = start_fleet(6, down=False)
    assert wait_for_new(world)
    name = sorted(world.on_new())[0]
    carry_out, failed = world._carry_out, []

    def fail_first_rollbacks(who, process, order):
        if who == name and type(order).__name__ == "RollBack" and len(failed) < 2:
            failed.append(world.gossip.now / SECOND)
            process.part.failed(world.gossip.own(who), "no space")
        else:
            carry_out(who, process, order)

    world._carry_out = fail_first_rollbacks
    world.take_command(OperatorCommand(("c0",), ()), ["g000", "g001"])  # another rollout
    world.run(5)
    assert {turn.rollout for _, _, turn in world.said("stopped")} == {"c0"} and len(world.on_new()) >= 2
    world.take_command(OperatorCommand(("c1",), ()), ["g000", "g001"])
    assert world.until(world.all_old, 120)
    assert len(failed) == 2 and failed[1] - failed[0] >= 10


def test_a_finished_rollout_is_not_rolled_back():
    world = start_fleet(6, down=False)
    assert world.until(lambda: len(world.said("finished")) == 6, 400)
    world.take_command(OperatorCommand(("c1",), ()), world.zones)
    world.run(30)
    assert len(world.on_new()) == 6 and set(world.places().values()) == {"new"}


@pytest.mark.parametrize("seed", range(3))
def test_partitions_never_let_more_gateways_go_down_at_once_than_permits(seed):
    """Partitions start and end every few seconds, one way or both, during a rollout that is stopped half way."""
    random = Random(seed)
    world = start_fleet(8, seed=seed, asked=change(stages=(0.8, 1.0)))
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
