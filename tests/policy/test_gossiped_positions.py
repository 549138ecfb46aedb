"""Positions that others passed on: what they open, and what they do not tell."""

import pytest

from tests.support.router_world import MS, SECOND, Member, Report, Role, World, group, sent
from yardbank.interface import PositionGossiped, Probe, ServerList

BOTH_SEEDS = pytest.mark.parametrize("seed", [7, 8])


def marked(world, server, lag=0, after=0):
    return world.feed(PositionGossiped(server, Report(world.now + after - lag, True, 9.9)), after)


@BOTH_SEEDS
def test_a_mark_opens_a_replica_to_a_sessions_read_only_where_it_proves_it(seed):
    world = World(group(1), seed=seed, reports="probe")
    world.known(1, primary=True)
    world.ask("w", "commit", session="s")
    world.end("w", 1, role=Role.PRIMARY, position=world.now + 20 * MS)
    marked(world, 2, lag=25 * MS)
    world.ask("early", "status", session="s", after=0)
    assert sent(world) == [1]
    marked(world, 2)
    world.ask("late", "status", session="s")
    assert sent(world) == [2]
    marked(world, 2, lag=10 * SECOND)  # an older word takes nothing back
    world.ask("again", "status", session="s")
    assert sent(world) == [2]


@BOTH_SEEDS
def test_a_replica_of_which_marks_came_is_not_probed_and_a_read_that_waits_goes_on(seed):
    world = World(group(1), seed=seed, reports="probe")
    world.known(1, primary=True)
    world.ask("r", "lookup", after=SECOND)
    assert not sent(world) and [probe.server for probe in world.of(Probe)] == [2]
    marked(world, 2, lag=50 * MS, after=MS)  # before the probe's answer
    assert sent(world) == [2]
    world.known(2, lag=2 * SECOND)
    marked(world, 2, lag=600 * MS, after=SECOND)
    world.ask("r2", "lookup")
    assert not world.of(Probe) and sent(world) == [1]  # heard of just now, and too far behind


@BOTH_SEEDS
def test_marks_tell_no_role_no_health_no_trust_and_nothing_of_strangers(seed):
    world = World(group(2), seed=seed)
    server = world.router.servers[2]
    server.silent, server.ejected_until, server.failures = True, world.now + SECOND, 2
    before = server.answered_at, server.load_at, dict(server.role_at)
    marked(world, 2, after=MS)
    assert (server.silent, server.failures) == (True, 2) and server.ejected_until > world.now
    assert (server.answered_at, server.load_at, server.role_at) == before and not server.is_primary()
    position = server.position
    for report in (Report(world.now + SECOND, False), Report(None, False)):  # beyond the clock; none at all
        world.feed(PositionGossiped(2, report))
    assert server.position == position and not world.router.table.group_loads
    assert marked(world, 77) == []


@BOTH_SEEDS
def test_a_copy_that_has_just_started_counts_as_heard_once_a_mark_came(seed):
    world = World(group(1), seed=seed)
    world.feed(ServerList("delta", (Member(2, "a", 0, False, "ready", world.now),)))
    assert world.router.servers[2].position_unknown
    marked(world, 2, after=MS)
    assert not world.router.servers[2].position_unknown and world.router.servers[2].lag == 0
