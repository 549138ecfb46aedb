"""The router's decisions: the rule, roles, the list, and what may be sent again."""

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


def test_session_read_follows_its_token():
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


# Guards against one bad answer of a server that sends all later reads of a session to the primary.
def test_a_write_position_far_in_the_future_holds_a_sessions_reads_no_longer_than_clocks_may_differ():
    world = World(reports="probe")
    world.known(1, primary=True)
    for server in (2, 3):
        world.known(server, lag=MS)
    world.ask("w", "commit", session="s")
    world.end("w", 1, role=Role.PRIMARY, position=world.now + 3600 * SECOND)
    world.known(3, lag=0)
    world.ask("r1", "status", session="s")
    assert sent(world) == [1]  # within the bound the server's word counts
    world.known(3, lag=0, after=MAX_CLOCK_AHEAD + 100 * MS)
    world.ask("r2", "status", session="s")
    assert sent(world) == [3] and world.router.sessions.positions_ahead == 1


def test_carried_token_and_checking_replica():
    world = World(tokens="carried", checks="refuse")
    world.ask("r", "status", since_write=400 * MS)
    first = sent(world)[0]
    assert first in (2, 3)
    world.end("r", first, "miss", role=Role.REPLICA)
    second = sent(world)[0]
    assert second != first
    world.ask("r2", "status", since_write=400 * MS)
    assert sent(world)[0] != first  # known to be behind now


def test_bounded_read_avoids_an_unproven_or_lagging_replica_where_servers_do_not_check():
    world = World()
    world.known(2, lag=2 * SECOND)
    world.known(3, lag=2 * SECOND)
    world.ask("r1", "lookup")
    assert sent(world) == [1]
    world.known(3, lag=100 * MS)
    for index in range(4):
        world.ask(f"x{index}", "lookup")
        assert sent(world) == [3]


def test_position_beyond_the_clock_proves_nothing():
    world = World()
    for server in (2, 3):
        world.feed(Probed(server, "ok", MS, Report(world.now + SECOND, False)))
    world.router.table.settings = replace(world.router.table.settings, may_probe=False)
    world.ask("r", "lookup")
    assert sent(world) == [1]


def test_reads_stay_off_the_primary_and_turn_over():
    world = World(group(3))
    for server in (2, 3, 4):
        world.known(server)
    seen = set()
    for index in range(6):
        world.ask(f"r{index}", "lookup")
        seen |= set(sent(world))
    assert seen == {2, 3, 4}


def test_primary_by_freshest_evidence():
    world = World()
    world.ask("w", "commit", session="s")
    world.end("w", 1, "miss", role=Role.REPLICA)
    assert sent(world) == []  # unknown: held
    world.known(3, primary=True)
    assert sent(world) == [3]


def test_two_claim_to_be_primary():
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


def test_unsafe_write_that_never_ran_goes_on():
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


def test_draining_and_gone_servers_get_nothing_new():
    for state in ("draining", "gone"):
        world = World()
        for server in (2, 3):
            world.known(server)
        world.feed(ServerList("delta", (Member(2, "a", 0, False, state),)))
        for index in range(6):
            world.ask(f"r{index}", "any")
            assert 2 not in sent(world)


def test_gone_may_still_be_sent_to_where_only_draining_binds():
    world = World(group(1), only_draining_binds=True)
    world.known(2)
    world.feed(ServerList("delta", (Member(2, "a", 0, False, "gone"),)))
    world.ask("r", "any")
    assert sent(world) == [2]


def test_late_contradictory_and_empty_facts_are_legal():
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


def test_client_that_left_is_owed_nothing():
    world = World()
    world.ask("w", "commit")
    world.feed(ClientCancelled("w"))
    world.end("w", 1, "timeout")
    assert world.of(Fail) == [] and world.of(Refuse) == []


def test_write_that_is_answered_after_its_client_left_still_sets_the_token():
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
def test_settings_are_checked_by_name(settings, text):
    with pytest.raises(ValueError, match=text):
        Settings(**({"seed": 1, "zone": "a", "gateways": 1, "classes": CLASSES} | settings))


def test_class_is_checked_by_name():
    with pytest.raises(ValueError, match="effect"):
        RequestClass("x", 1, 1, 1, 0, "perhaps")


def test_ghosts_an_old_list_and_a_thousand_gateways_are_legal():
    world = World(group(2), gateways=1000, only_draining_binds=True)
    ghosts = tuple(Member(90 + index, "a", 0, False, "ready") for index in range(5))
    world.feed(ServerList("delta", ghosts))
    for index in range(30):  # a ghost refuses: it is rested, probed, doubted, and the others serve
        world.ask(f"r{index}", "any", after=100 * MS)
        for (name, number), attempt in list(world.router.attempts.items()):
            ghost = attempt.server.id >= 90
            world.end(name, attempt.server.id, "connect_failed" if ghost else "ok", number, after=MS)
        for action in world.of(Probe):
            world.feed(Probed(action.server, "connect_failed", MS))
        answer_all(world, "ok")
    assert not world.router.attempts
    world.feed(ServerList("full", tuple(group(2))))
    assert set(world.router.servers) >= {1, 2, 3}
    world.feed(ServerList("full", ()))
    world.ask("last", "commit")
    assert sent(world) == [1]  # left out of the list is no draining here
    world.feed(ServerList("full", (Member(1, "a", 0, True, "draining"),)))
    world.feed(ServerList("full", ()))
    world.feed(ServerList("full", (Member(1, "a", 0, True, "ready"),)))
    world.ask("back", "commit")
    assert sent(world) == [1]  # it drained, left the list, and came back
