"""The router's decisions: session consistency, roles, the server list, and which requests may be resent."""

from dataclasses import replace

import pytest

from tests.support.router_world import CLASSES, MS, SECOND, Member, Report, Role, World, answer_all, group, sent
from yardbank.interface import (
    ClientCancelled,
    Fail,
    Outcome,
    Probe,
    Probed,
    Refuse,
    RequestClass,
    Send,
    ServerList,
    Settings,
    Timer,
)
from yardbank.policy import sessions
from yardbank.policy.sessions import MAX_CLOCK_AHEAD


def test_session_read_goes_where_its_token_has_been_reached():
    world = World(reports="probe")
    world.known(1, primary=True)
    for server in (2, 3):
        world.known(server, lag=MS)
    world.ask("w", "commit", session="s")
    assert sent(world) == [1]
    world.end("w", 1, role=Role.PRIMARY, position=world.now + 20 * MS)
    world.ask("r1", "status", session="s")
    assert sent(world) == [1]  # no replica is known to have the write
    world.known(3, lag=0)
    world.ask("r2", "status", session="s")
    assert sent(world) == [3]
    world.ask("r3", "status", session="another")
    assert sent(world)[0] in (2, 3)


# Guards against one wrong position in a server's answer sending all later reads of a session to the primary.
def test_write_position_far_in_the_future_is_capped_at_the_allowed_clock_difference():
    world = World(reports="probe")
    world.known(1, primary=True)
    for server in (2, 3):
        world.known(server, lag=MS)
    world.ask("w", "commit", session="s")
    world.end("w", 1, role=Role.PRIMARY, position=world.now + 3600 * SECOND)
    world.known(3, lag=0)
    world.ask("r1", "status", session="s")
    assert sent(world) == [1]  # until the cap is reached the reported position counts
    world.known(3, lag=0, after=MAX_CLOCK_AHEAD + 100 * MS)
    world.ask("r2", "status", session="s")
    assert sent(world) == [3] and world.router.sessions.positions_ahead == 1


def test_read_with_carried_token_avoids_a_replica_that_missed():
    world = World(tokens="carried", checks="refuse")
    world.ask("r", "status", since_write=400 * MS)
    first = sent(world)[0]
    assert first in (2, 3)
    world.end("r", first, "miss", role=Role.REPLICA)
    second = sent(world)[0]
    assert second != first
    world.ask("r2", "status", since_write=400 * MS)
    assert sent(world)[0] != first  # this replica is now known to be behind


def test_bounded_read_avoids_a_lagging_replica_where_servers_do_not_check():
    world = World()
    world.known(2, lag=2 * SECOND)
    world.known(3, lag=2 * SECOND)
    world.ask("r1", "lookup")
    assert sent(world) == [1]
    world.known(3, lag=100 * MS)
    for index in range(4):
        world.ask(f"x{index}", "lookup")
        assert sent(world) == [3]


def test_position_ahead_of_the_clock_is_ignored():
    world = World()
    for server in (2, 3):
        world.feed(Probed(server, "ok", MS, Report(world.now + SECOND, False)))
    world.router.table.settings = replace(world.router.table.settings, may_probe=False)
    world.ask("r", "lookup")
    assert sent(world) == [1]


def test_reads_avoid_the_primary_and_rotate_among_replicas():
    world = World(group(3))
    for server in (2, 3, 4):
        world.known(server)
    used = set()
    for index in range(6):
        world.ask(f"r{index}", "lookup")
        used |= set(sent(world))
    assert used == {2, 3, 4}


def test_write_waits_until_a_new_primary_is_known():
    world = World()
    world.ask("w", "commit", session="s")
    world.end("w", 1, "miss", role=Role.REPLICA)
    assert sent(world) == []  # no known primary: the write is queued
    world.known(3, primary=True)
    assert sent(world) == [3]


def test_of_two_claimed_primaries_the_one_with_the_later_report_is_used():
    world = World()
    world.known(2, lag=300 * MS, primary=True)
    world.known(3, lag=100 * MS, primary=True)
    world.ask("w", "commit")
    assert sent(world) == [3]


def test_unsafe_write_that_may_have_run_is_never_resent_nor_refused():
    for status in ("timeout", "reset", "error", "cancelled"):
        world = World()
        world.ask("w", "commit")
        world.end("w", 1, status)
        assert world.of(Send) == [] and world.of(Refuse) == [] and len(world.of(Fail)) == 1


def test_unsafe_write_that_never_ran_is_resent():
    world = World()
    world.ask("w", "commit")
    world.end("w", 1, "miss", role=Role.REPLICA)
    assert world.of(Fail) == []
    world.known(2, primary=True)
    assert sent(world) == [2]


def test_keyed_write_is_resent_only_inside_its_window():
    world = World()
    world.known(1, primary=True)
    world.ask("k", "keyed")
    world.end("k", 1, "error", role=Role.PRIMARY)
    world.tick()
    resent = sent(world)
    assert resent in ([], [1])
    world = World()
    world.ask("k", "keyed")
    world.end("k", 1, "reset", after=1300 * MS)
    assert sent(world) == [] and world.of(Refuse) == [] and len(world.of(Fail)) == 1


def test_draining_and_gone_servers_get_no_new_requests():
    for state in ("draining", "gone"):
        world = World()
        for server in (2, 3):
            world.known(server)
        world.feed(ServerList("delta", (Member(2, "a", 0, False, state),)))
        for index in range(6):
            world.ask(f"r{index}", "any")
            assert 2 not in sent(world)


def test_gone_server_is_still_used_with_only_draining_binds():
    world = World(group(1), only_draining_binds=True)
    world.known(2)
    world.feed(ServerList("delta", (Member(2, "a", 0, False, "gone"),)))
    world.ask("r", "any")
    assert sent(world) == [2]


def test_events_for_unknown_objects_and_an_empty_list_are_accepted():
    world = World()
    world.feed(Outcome("unknown", 0, 99, "ok", MS, True))
    world.feed(Probed(99, "ok", MS))
    world.feed(Timer("not mine any more"))
    world.feed(ClientCancelled("unknown"))
    world.feed(ServerList("full", ()))
    world.ask("r", "any")
    assert sent(world) == []
    world.ask("past", "any", left=-SECOND)
    assert len(world.of(Refuse)) == 1


def test_cancelled_request_gets_no_final_answer():
    world = World()
    world.ask("w", "commit")
    world.feed(ClientCancelled("w"))
    world.end("w", 1, "timeout")
    assert world.of(Fail) == [] and world.of(Refuse) == []


def test_write_answered_after_its_client_left_still_sets_the_token():
    world = World()
    for server in (2, 3):
        world.known(server)
    world.ask("w", "commit", session="s")
    world.feed(ClientCancelled("w"))
    world.end("w", 1, role=Role.PRIMARY, position=world.now + 20 * MS)
    world.ask("r", "status", session="s")
    assert sent(world) == [1]


def test_state_stays_bounded(monkeypatch):
    monkeypatch.setattr(sessions, "MAX_TOKENS", 50)
    world = World()
    world.known(1, primary=True)
    for index in range(200):
        world.ask(f"w{index}", "commit", session=f"s{index}", after=SECOND)
        world.end(f"w{index}", 1, role=Role.PRIMARY, position=world.now)
        world.tick()
    assert len(world.router.sessions.tokens) == 50 and not world.router.requests
    assert world.router.sessions.floors[0] > 0


@pytest.mark.parametrize(
    ("settings", "text"),
    [
        ({"checks": "maybe"}, "checks"),
        ({"classes": ()}, "classes"),
        ({"gateways": 0}, "gateways"),
        ({"cold_share": 0}, "cold_share"),
    ],
)
def test_error_for_invalid_settings_names_the_field(settings, text):
    with pytest.raises(ValueError, match=text):
        Settings(**({"seed": 1, "zone": "a", "gateways": 1, "classes": CLASSES} | settings))


def test_error_for_an_invalid_request_class_names_the_field():
    with pytest.raises(ValueError, match="effect"):
        RequestClass("x", 1, 1, 1, 0, "perhaps")


def test_listed_servers_that_do_not_exist_and_outdated_lists_are_tolerated():
    world = World(group(2), gateways=1000, only_draining_binds=True)
    nonexistent = tuple(Member(90 + index, "a", 0, False, "ready") for index in range(5))
    world.feed(ServerList("delta", nonexistent))
    for index in range(30):  # they refuse connections: they are backed off from, probed, ejected; others serve
        world.ask(f"r{index}", "any", after=100 * MS)
        for (name, number), attempt in list(world.router.attempts.items()):
            refuses = attempt.server.id >= 90
            world.end(name, attempt.server.id, "connect_failed" if refuses else "ok", number, after=MS)
        for action in world.of(Probe):
            world.feed(Probed(action.server, "connect_failed", MS))
        answer_all(world, "ok")
    assert not world.router.attempts
    world.feed(ServerList("full", tuple(group(2))))
    assert set(world.router.servers) >= {1, 2, 3}
    world.feed(ServerList("full", ()))
    world.ask("last", "commit")
    assert sent(world) == [1]  # removal from the list does not count as draining here
    world.feed(ServerList("full", (Member(1, "a", 0, True, "draining"),)))
    world.feed(ServerList("full", ()))
    world.feed(ServerList("full", (Member(1, "a", 0, True, "ready"),)))
    world.ask("back", "commit")
    assert sent(world) == [1]  # it drained, left the list and was listed again
