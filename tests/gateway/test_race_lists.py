"""Races of an attempt with a server list: its server starts draining, moves or is removed before it is written."""

import pytest

from tests.support.delayed_gateway import COPY, DRAINS, LONE, MOVED, Place, Scripted
from tests.support.virtual_gateway import READ
from yardbank.gateway import Limits, ServerSpec
from yardbank.interface import Outcome, Probed, Send, ServerList

FOR_EACH_CHANGE = pytest.mark.parametrize("change", [DRAINS, None, MOVED], ids=["drains", "gone", "moved"])


@FOR_EACH_CHANGE
@pytest.mark.parametrize("just_opened", [False, True], ids=["open connection", "just opened connection"])
def test_pending_list_is_applied_before_write(change, just_opened):
    harness = Place(LONE, COPY, router=Scripted)
    harness.router.script = lambda event: (
        [Send(event.id, 1, event.expires)]
        if type(event).__name__ == "Request"
        else [Send(event.id, 2, 1 << 62)]
        if isinstance(event, Outcome) and event.status == "moot"
        else []
    )
    if not just_opened:
        harness.ask()
        harness.up().answer()
    harness.feed.append({"p": change})
    harness.ask(operation="late")
    if just_opened:
        assert len(harness.feed) == 1
        harness.up()
    assert not harness.feed and ("p", "late") not in harness.backend.sent
    lists = harness.told(ServerList)
    moot = next(event for event in harness.told(Outcome) if event.status == "moot")
    assert len(lists) == 2 and harness.router.events.index(lists[1]) < harness.router.events.index(moot)
    harness.up(-1)
    assert harness.backend.sent[-1] == ("c", "late")


@FOR_EACH_CHANGE
def test_waiting_attempt_is_withdrawn_when_its_server_drains_moves_or_is_removed(change):
    harness = Place(LONE, COPY)
    harness.ask()
    first, second = harness.backend.waiting[0][0].name, {"p": "c", "c": "p"}[harness.backend.waiting[0][0].name]
    spec = {"p": LONE, "c": COPY}[first]
    changed = change and ServerSpec(
        first, "g", "a", "h", 3 if change is MOVED else spec.port, spec.primary, change.state
    )
    harness.gateway.apply_changes({first: changed})
    assert harness.statuses() == ["moot"] and len(harness.backend.waiting) == 2
    assert isinstance(harness.router.events[-2], ServerList)
    harness.up(0)
    assert harness.backend.sent == []
    harness.up(1)
    assert harness.backend.sent == [(second, "op")]


@pytest.mark.parametrize(("change", "state"), [(DRAINS, "draining"), (None, "gone"), (MOVED, "moved")])
def test_server_that_gets_no_new_attempts_is_logged_with_its_last_attempt(change, state):
    harness = Place(LONE, classes=(READ,), limits=Limits(multiplex=1))
    harness.ask()
    harness.up()
    harness.clock.advance(0.25)
    harness.ask()  # the connection is busy: this one waits for another
    harness.gateway.apply_changes({"p": change})
    (line,) = [facts for event, facts in harness.log.lines if event == "server_withdrawn"]
    assert line == {"server": "p", "state": state, "last_attempt_ms": 250, "attempts_withdrawn": 1}


def test_attempt_decided_on_drain_event_is_not_withdrawn():
    harness = Place(router=Scripted)
    harness.router.script = lambda event: (
        [Send(harness.number, 1, 1 << 62)] if isinstance(event, ServerList) and harness.router.events[1:] else []
    )
    harness.ask()
    harness.gateway.apply_changes({"p": DRAINS})
    harness.up()
    assert harness.backend.sent == [("p", "op")] and harness.statuses() == []


def test_attempt_decided_after_drain_is_written():
    harness = Place(router=Scripted)
    harness.router.script = lambda event: [Send(event.id, 1, 1 << 62)] if type(event).__name__ == "Request" else []
    harness.gateway.apply_changes({"p": DRAINS})
    harness.ask()
    harness.gateway.apply_changes({"p": ServerSpec("p", "g", "a", "h", 1, True, "draining", weight=2.0)})
    harness.up()
    assert harness.backend.sent == [("p", "op")]


def test_all_attempts_of_one_event_decided_before_drain_are_withdrawn():
    harness = Place(router=Scripted)
    ids = []

    def script(event):
        if type(event).__name__ == "Request":
            ids.append(event.id)
            return [Send(each, 1, 1 << 62) for each in ids] if len(ids) == 2 else []
        return []

    harness.router.script = script
    harness.feed.append({"p": DRAINS})
    harness.backend.mode = "up"
    harness.ask()
    harness.ask()
    assert harness.backend.sent == [] and harness.statuses() == ["moot", "moot"]


def test_error_in_before_send_does_not_hold_up_attempt():
    harness = Place()
    harness.feed = [{"nobody": None, "p": 1}]
    sink = harness.ask()
    harness.up().answer()
    assert sink.finals == ["served"] and "before_send_error" in [event for event, _ in harness.log.lines]


@pytest.mark.parametrize("change", [None, MOVED], ids=["gone", "moved"])
def test_waiting_probe_is_not_sent_to_moved_or_removed_server(change):
    harness = Place()
    statuses = []
    harness.gateway.ask("p", lambda position, at, status: statuses.append(status))
    harness.gateway._prober.probe(1)
    harness.gateway.apply_changes({"p": change})
    assert statuses == ["moot"] and len(harness.backend.waiting) == (1 if change is None else 2)
    assert [event.status for event in harness.told(Probed)] == (["connect_failed"] if change is None else [])
    harness.backend.position = None
    assert harness.up(0).probes == []
    if change is not None:
        assert len(harness.up(1).probes) == 1
