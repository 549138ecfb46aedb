"""Crossings of an attempt on its way out and a list: its server drains, moves or is gone meanwhile."""

import pytest

from tests.support.delayed_gateway import COPY, DRAINS, LONE, MOVED, Place, Scripted
from yardbank.gateway import ServerSpec
from yardbank.interface import Outcome, Probed, Send, ServerList

TURNS = pytest.mark.parametrize("turn", [DRAINS, None, MOVED], ids=["drains", "gone", "moved"])


@TURNS
@pytest.mark.parametrize("opens", [False, True], ids=["on an open connection", "on one that has just opened"])
def test_a_list_that_lies_unread_is_taken_in_before_the_write(turn, opens):
    place = Place(LONE, COPY, router=Scripted)
    place.router.script = lambda event: (
        [Send(event.id, 1, event.expires)]
        if type(event).__name__ == "Request"
        else [Send(event.id, 2, 1 << 62)]
        if isinstance(event, Outcome) and event.status == "moot"
        else []
    )
    if not opens:
        place.ask()
        place.up().answer()
    place.feed.append({"p": turn})
    place.ask(operation="late")
    if opens:
        assert len(place.feed) == 1
        place.up()
    assert not place.feed and ("p", "late") not in place.backend.sent
    lists = place.told(ServerList)
    moot = next(event for event in place.told(Outcome) if event.status == "moot")
    assert len(lists) == 2 and place.router.events.index(lists[1]) < place.router.events.index(moot)
    place.up(-1)
    assert place.backend.sent[-1] == ("c", "late")


@TURNS
def test_what_waits_for_a_connection_is_taken_back_when_its_server_turns(turn):
    place = Place(LONE, COPY)
    place.ask()
    first, second = place.backend.waiting[0][0].name, {"p": "c", "c": "p"}[place.backend.waiting[0][0].name]
    spec = {"p": LONE, "c": COPY}[first]
    changed = turn and ServerSpec(first, "g", "a", "h", 3 if turn is MOVED else spec.port, spec.primary, turn.state)
    place.gateway.apply_changes({first: changed})
    assert place.statuses() == ["moot"] and len(place.backend.waiting) == 2
    assert isinstance(place.router.events[-2], ServerList)
    place.up(0)
    assert place.backend.sent == []
    place.up(1)
    assert place.backend.sent == [(second, "op")]


def test_what_the_drain_itself_has_sent_there_is_not_taken_back():
    place = Place(router=Scripted)
    place.router.script = lambda event: (
        [Send(place.number, 1, 1 << 62)] if isinstance(event, ServerList) and place.router.events[1:] else []
    )
    place.ask()
    place.gateway.apply_changes({"p": DRAINS})
    place.up()
    assert place.backend.sent == [("p", "op")] and place.statuses() == []


def test_what_is_decided_on_with_the_drain_in_hand_goes_there():
    place = Place(router=Scripted)
    place.router.script = lambda event: [Send(event.id, 1, 1 << 62)] if type(event).__name__ == "Request" else []
    place.gateway.apply_changes({"p": DRAINS})
    place.ask()
    place.gateway.apply_changes({"p": ServerSpec("p", "g", "a", "h", 1, True, "draining", weight=2.0)})
    place.up()
    assert place.backend.sent == [("p", "op")]


def test_all_of_one_turn_that_were_decided_on_before_the_drain_are_withheld():
    place = Place(router=Scripted)
    ids = []

    def script(event):
        if type(event).__name__ == "Request":
            ids.append(event.id)
            return [Send(each, 1, 1 << 62) for each in ids] if len(ids) == 2 else []
        return []

    place.router.script = script
    place.feed.append({"p": DRAINS})
    place.backend.mode = "up"
    place.ask()
    place.ask()
    assert place.backend.sent == [] and place.statuses() == ["moot", "moot"]


def test_a_feed_that_fails_when_asked_holds_nothing_up():
    place = Place()
    place.feed = [{"nobody": None, "p": 1}]
    sink = place.ask()
    place.up().answer()
    assert sink.finals == ["served"] and "before_send_error" in [event for event, _ in place.log.lines]


@pytest.mark.parametrize("turn", [None, MOVED], ids=["gone", "moved"])
def test_a_question_that_waits_for_a_connection_is_not_put_where_its_server_no_longer_is(turn):
    place = Place()
    told = []
    place.gateway.ask("p", lambda position, at, status: told.append(status))
    place.gateway._prober.probe(1)
    place.gateway.apply_changes({"p": turn})
    assert told == ["moot"] and len(place.backend.waiting) == (1 if turn is None else 2)
    assert [event.status for event in place.told(Probed)] == (["connect_failed"] if turn is None else [])
    place.backend.position = None
    assert place.up(0).probes == []
    if turn is not None:
        assert len(place.up(1).probes) == 1
