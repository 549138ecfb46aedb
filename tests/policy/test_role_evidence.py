"""Which evidence of a server's role counts, and that reads without a proven position rest on the server's own word."""

import pytest

from tests.support.router_world import MS, SECOND, Member, Report, Role, World, sent
from yardbank.interface import Probed, ServerList, Started

LAG = 4 * SECOND


def listed(world, server, *, primary, after=0, started=0):
    return world.feed(ServerList("delta", (Member(server, "a", 0, primary, "ready", started),)), after)


def answers_read_as_replica(world, server):
    """The server answers a read as a replica and then falls behind, as all others do."""
    world.known(3, lag=LAG)
    world.known(server, lag=100 * MS)
    world.ask("first", "lookup")
    assert sent(world) == [server]
    world.end("first", server, role=Role.REPLICA)
    world.known(server, lag=LAG, after=SECOND)


def group_without_primary(**settings):
    """Server 1 has told that it lost its role; nobody is known as the primary."""
    world = World(reports="probe", **settings)
    world.ask("w", "commit")
    world.end("w", 1, "miss", role=Role.REPLICA)
    world.feed(Started("w"))
    return world


@pytest.mark.parametrize("class_name", ["lookup", "check"])
def test_late_list_entry_sends_no_read_to_a_server_that_answered_as_replica(class_name):
    world = group_without_primary()
    answers_read_as_replica(world, 2)
    listed(world, 2, primary=True, after=3 * SECOND)
    world.ask("r", class_name)
    assert sent(world) == []
    for _ in range(4):
        world.tick()
        assert sent(world) == []


def test_late_list_entry_still_tells_where_a_write_may_be_tried():
    world = group_without_primary()
    answers_read_as_replica(world, 2)
    listed(world, 2, primary=True, after=3 * SECOND)
    world.ask("w2", "commit")
    assert sent(world) == [2]
    world.end("w2", 2, role=Role.PRIMARY, position=world.now)
    world.ask("r", "check")
    assert sent(world) == [2]  # its own answer counts again


@pytest.mark.parametrize("checks", ["refuse", "wait"])
def test_reads_follow_the_list_where_servers_check_positions_themselves(checks):
    world = group_without_primary(checks=checks)
    answers_read_as_replica(world, 2)
    listed(world, 2, primary=True, after=3 * SECOND)
    world.ask("r", "check")
    assert sent(world) == [2]


def test_read_goes_to_a_denied_primary_once_its_position_is_proven():
    world = group_without_primary()
    answers_read_as_replica(world, 2)
    listed(world, 2, primary=True, after=3 * SECOND)
    world.ask("r", "lookup")
    assert sent(world) == []
    world.known(2, lag=50 * MS, primary=True, after=60 * MS)
    assert sent(world) == [2]


@pytest.mark.parametrize(
    "report",
    [Report(100 * SECOND - LAG, False), Report(None, False), Report(3600 * SECOND, False)],
    ids=["far behind", "no position", "position ahead of the clock"],
)
def test_report_of_a_replica_ends_an_older_belief_that_it_is_primary(report):
    world = World(reports="probe")
    world.ask("w", "commit")
    world.end("w", 1, role=Role.PRIMARY, position=world.now)
    for server in (2, 3):
        world.known(server, lag=LAG)
    world.feed(Probed(1, "ok", MS, report), 2 * SECOND)
    assert not world.router.servers[1].is_primary()
    world.ask("r", "lookup")
    assert sent(world) == []


def test_report_made_before_a_primarys_answer_does_not_end_its_role():
    world = World(reports="probe")
    world.ask("w", "commit")
    world.end("w", 1, role=Role.PRIMARY, position=world.now)
    world.known(1, lag=200 * MS, after=50 * MS)
    assert world.router.servers[1].is_primary()


def test_late_news_of_a_start_does_not_outrank_what_the_server_answered_since():
    world = World(reports="probe")
    world.ask("w", "commit")
    world.end("w", 1, role=Role.PRIMARY, position=world.now)
    listed(world, 1, primary=False, after=MS, started=world.now - 2 * SECOND)
    assert world.router.servers[1].is_primary()
    world.ask("w2", "commit")
    assert sent(world) == [1]


def test_news_of_a_start_outranks_what_the_server_answered_before_it():
    world = World(reports="probe")
    world.ask("w", "commit")
    world.end("w", 1, role=Role.PRIMARY, position=world.now)
    listed(world, 1, primary=True, after=3 * SECOND, started=world.now + SECOND)
    assert not world.router.servers[1].is_primary()
