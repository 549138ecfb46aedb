"""The log of requests and roles: enough to follow one request to a server, and limited in number of lines."""

from types import SimpleNamespace

from tests.support.platform import WRITE, Log, World, query
from yardbank.gateway import Reply, ServerSpec
from yardbank.gateway.api import SECOND
from yardbank.gateway.limited_log import MAX_LINES, LimitedLog
from yardbank.interface import Role
from yardbank.platform.backend import PlatformBackend


def lines(log, event):
    return [facts for name, facts in log.lines if name == event]


def test_lines_beyond_the_limit_are_counted_in_the_next_line():
    log, clock = Log(), SimpleNamespace(now=0)
    limited = LimitedLog(log, lambda: clock.now)
    for _ in range(MAX_LINES + 3):
        limited.info("refused")
    limited.info("other")
    assert len(lines(log, "refused")) == MAX_LINES and len(lines(log, "other")) == 1
    clock.now = SECOND
    limited.info("refused")
    assert lines(log, "refused")[MAX_LINES:] == [{"left_out": 3}]


def test_a_retry_a_refusal_and_each_change_of_role_are_logged_with_ids_and_reasons():
    world = World()
    world.backend.describe = PlatformBackend(None, world.gateway.now).describe
    _, transport = world.connect()
    client = world.factory._connections[0]
    client.dataReceived(query(WRITE))
    operation, receiver = world.backend.out.pop()
    receiver.attempt_done(Reply("miss", None, Role.REPLICA, reason="25006 "))
    (attempt,) = lines(world.log, "attempt_failed")
    assert attempt["server"] == "p" and attempt["status"] == "miss" and attempt["reason"] == "25006 "
    assert lines(world.log, "server_role_changed") == [
        {"server": "p", "primary": True, "evidence": "list"},
        {"server": "p", "primary": False, "evidence": "answer"},
    ]
    world.clock.advance(operation.statement.time_limit / SECOND)
    (refused,) = lines(world.log, "request_not_served")
    assert refused["request"] == attempt["request"] and refused["operation"] == "commit 7f3a id=a2"
    assert (refused["answer"], refused["attempts"], str(refused["reason"])) == ("refused", 1, "no time left")
    assert b"53300" in transport.value()


def test_each_entry_that_a_list_changes_is_logged_with_what_changed():
    world = World()
    assert lines(world.log, "list_entries")[0]["entries"] == ["p ready primary: new", "r ready replica: new"]
    world.gateway.apply_changes({"r": ServerSpec("r", "2", "a", "h", 2, True, started=1000.25)}, 7)
    assert lines(world.log, "list_entries")[1:] == [
        {"version": 7, "entries": ["r ready primary started 1000.250: role, start"]}
    ]
