"""Log positions gossiped by other gateways: which reads they allow, and what they do not prove."""

import pytest

from tests.support.router_world import MS, SECOND, Member, Report, Role, World, group, sent
from yardbank.interface import PositionGossiped, Probe, ServerList

BOTH_SEEDS = pytest.mark.parametrize("seed", [7, 8])


def gossip_position(world, server, lag=0, after=0):
    return world.feed(PositionGossiped(server, Report(world.now + after - lag, True, 9.9)), after)


@BOTH_SEEDS
def test_gossiped_position_allows_a_session_read_only_if_it_covers_the_token(seed):
    world = World(group(1), seed=seed, reports="probe")
    world.known(1, primary=True)
    world.ask("w", "commit", session="s")
    world.end("w", 1, role=Role.PRIMARY, position=world.now + 20 * MS)
    gossip_position(world, 2, lag=25 * MS)
    world.ask("early", "status", session="s", after=0)
    assert sent(world) == [1]
    gossip_position(world, 2)
    world.ask("late", "status", session="s")
    assert sent(world) == [2]
    gossip_position(world, 2, lag=10 * SECOND)  # an older position does not lower the known one
    world.ask("again", "status", session="s")
    assert sent(world) == [2]


@BOTH_SEEDS
def test_gossiped_position_releases_a_waiting_read_and_saves_a_probe(seed):
    world = World(group(1), seed=seed, reports="probe")
    world.known(1, primary=True)
    world.ask("r", "lookup", after=SECOND)
    assert not sent(world) and [probe.server for probe in world.of(Probe)] == [2]
    gossip_position(world, 2, lag=50 * MS, after=MS)  # before the probe is answered
    assert sent(world) == [2]
    world.known(2, lag=2 * SECOND)
    gossip_position(world, 2, lag=600 * MS, after=SECOND)
    world.ask("r2", "lookup")
    assert not world.of(Probe) and sent(world) == [1]  # its position has just been reported and is too far behind


@BOTH_SEEDS
def test_gossiped_position_changes_no_role_health_or_load_and_ignores_unknown_servers(seed):
    world = World(group(2), seed=seed)
    server = world.router.servers[2]
    server.silent, server.ejected_until, server.failures = True, world.now + SECOND, 2
    before = server.answered_at, server.load_at, dict(server.role.believed_at)
    gossip_position(world, 2, after=MS)
    assert (server.silent, server.failures) == (True, 2) and server.ejected_until > world.now
    assert (server.answered_at, server.load_at, server.role.believed_at) == before and not server.is_primary()
    position = server.position
    for report in (Report(world.now + SECOND, False), Report(None, False)):  # ahead of the clock; no position at all
        world.feed(PositionGossiped(2, report))
    assert server.position == position and not world.router.table.group_loads
    assert gossip_position(world, 77) == []


@BOTH_SEEDS
def test_gossiped_position_makes_a_restarted_replicas_position_known(seed):
    world = World(group(1), seed=seed)
    world.feed(ServerList("delta", (Member(2, "a", 0, False, "ready", world.now),)))
    assert world.router.servers[2].position_unknown
    gossip_position(world, 2, after=MS)
    assert not world.router.servers[2].position_unknown and world.router.servers[2].lag == 0
