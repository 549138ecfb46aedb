"""Crossings of an attempt on its way out: its client leaves, its time passes, its request ends, its window closes."""

import pytest

from tests.support.delayed_gateway import COPY, LONE, Place, Scripted
from tests.support.virtual_gateway import FakeConnection
from yardbank.gateway import Reply
from yardbank.gateway.api import BROKE_OPENING, MS, NotSentError
from yardbank.interface import ClientCancelled, Fail, Outcome, Refuse, Send, SetTimer, Timer


@pytest.mark.parametrize("again", [False, True], ids=["first", "opened again"])
def test_what_a_client_that_leaves_has_waiting_for_a_connection_is_taken_back(again):
    place = Place()
    sink = place.ask()
    if again:
        place.backend.waiting[0][2](BROKE_OPENING)
    place.gateway.leave(place.number)
    assert place.statuses() == ["moot"] and place.told(Outcome)[0].closed
    assert [type(event) for event in place.router.events[-2:]] == [ClientCancelled, Outcome]
    other = place.ask(operation="other")
    place.up(-1)
    assert place.backend.sent == [("p", "other")] and len(place.backend.waiting) == 1 + again
    place.backend.connections[0].answer()
    assert other.finals == ["served"] and sink.got == [] and place.statuses() == ["moot", "ok"]


def test_what_has_gone_out_for_a_client_that_leaves_stays_out():
    place = Place()
    place.ask()
    made = place.up()
    place.gateway.leave(place.number)
    assert place.statuses() == [] and not made.abandoned
    made.answer()
    assert place.statuses() == ["ok"]


@pytest.mark.parametrize("end", ["served", "refused", "failed", "began"])
def test_an_attempt_that_waits_is_taken_back_when_its_request_ends_by_another(end):
    place = Place(LONE, COPY, router=Scripted)

    def script(event):
        if type(event).__name__ == "Request":
            return [Send(event.id, 1, event.expires), Send(event.id, 2, event.expires)]
        if isinstance(event, Outcome) and event.status == "error":
            return [Refuse(event.id, MS) if end == "refused" else Fail(event.id)]
        return []

    place.router.script = script
    sink = place.ask()
    first = place.up(0)
    if end == "began":
        next(iter(first.out.values()))[1].attempt_part("much", 1 << 30)
        assert place.statuses() == ["moot"]
        first.answer()
        assert place.statuses() == ["moot", "ok"]
    else:
        first.answer(Reply("ok" if end == "served" else "error"))
        assert sink.finals == [end] and place.statuses() == ["ok" if end == "served" else "error", "moot"]
    place.up(1)
    assert place.backend.sent == [("p", "op")]


@pytest.mark.parametrize("opens", [False, True], ids=["on an open connection", "on one that has just opened"])
def test_a_client_that_has_gone_unheard_is_looked_at_before_the_write(opens):
    place, there = Place(), True
    if not opens:
        place.ask()
        place.up().answer()
    there = opens
    sink = place.ask(present=lambda: there, operation="late")
    if opens:
        there = False
        place.up()
    assert ("p", "late") not in place.backend.sent and sink.got == [] and place.gateway.counts["left"] == 1
    assert place.statuses()[-1] == "moot" and place.gateway.unanswered == 0
    place.ask(operation="next")
    assert place.backend.sent[-1] == ("p", "next") and len(place.backend.waiting) == 1


def test_a_front_that_fails_when_asked_for_its_client_takes_nothing_from_it():
    place = Place()
    sink = place.ask(present=lambda: 1 // 0)
    place.up().answer()
    assert sink.finals == ["served"] and "front_error" in [event for event, _ in place.log.lines]


def test_what_waits_behind_an_attempt_that_finds_its_connection_broken_is_lost_with_it():
    place = Place(router=Scripted)
    place.router.script = lambda event: [Send(event.id, 1, 1 << 62)] if type(event).__name__ == "Request" else []
    place.ask("write")
    place.ask("write")
    tried = []

    class Broken(FakeConnection):
        def submit(self, operation, receiver):
            tried.append(operation)
            raise NotSentError("broken")

    _, ready, lost = place.backend.waiting[0]
    made = Broken(place.backend, LONE, lost)
    ready(made)
    assert place.statuses() == ["connect_failed", "connect_failed"] and len(tried) == 1 and made.closed
    assert place.gateway.server_connections == 0


def test_an_attempt_whose_time_passed_while_the_process_stood_still_is_not_written():
    place = Place()
    sink = place.ask()
    place.clock.rightNow += 5  # no timer has fired yet
    place.up()
    assert place.backend.sent == [] and place.statuses() == ["moot"] and sink.finals == ["refused"]
    place.clock.advance(0)
    assert place.statuses() == ["moot"]


@pytest.mark.parametrize("end", ["refused", "failed"])
def test_an_attempt_that_waits_is_taken_back_when_the_module_gives_its_request_up(end):
    place = Place(router=Scripted)

    def script(event):
        if isinstance(event, Timer):
            return [Refuse(place.number, MS) if end == "refused" else Fail(place.number)]
        return [Send(event.id, 1, 1 << 62), SetTimer(MS, "x")] if type(event).__name__ == "Request" else []

    place.router.script = script
    sink = place.ask()
    place.clock.advance(0.01)
    assert sink.finals == [end] and place.statuses() == ["moot"]
    place.up()
    assert place.backend.sent == []


@pytest.mark.parametrize(
    ("class_name", "late", "goes"),
    [("keyed", 999 * MS, True), ("keyed", 1000 * MS, False), ("write", 0, False), ("read", 999 * MS, True)],
)
def test_a_repeat_is_written_within_its_window_or_not_at_all(class_name, late, goes):
    place = Place(LONE, COPY, router=Scripted)

    def script(event):
        if type(event).__name__ == "Request":
            return [Send(event.id, 1, 1 << 62)]
        if isinstance(event, Outcome) and event.status == "reset":
            return [Send(event.id, 2, 1 << 62)]
        return [Fail(event.id)] if isinstance(event, Outcome) and event.status == "moot" else []

    place.router.script = script
    sink = place.ask(class_name)
    place.clock.advance(0.1)
    first = place.up(0)
    place.clock.advance(0.1)
    first.drop()
    assert len(place.backend.waiting) == 2
    place.clock.rightNow = 100 + late / 1e9  # counted from the issue of the first
    place.up(1)
    assert len(place.backend.sent) == 1 + goes and place.statuses() == (["reset"] if goes else ["reset", "moot"])
    assert sink.finals == ([] if goes else ["failed"])


def test_a_repeat_after_what_never_ran_needs_no_window():
    place = Place(LONE, COPY, router=Scripted)
    place.router.script = lambda event: (
        [Send(event.id, 1, 1 << 62)]
        if type(event).__name__ == "Request"
        else [Send(event.id, 2, 1 << 62)]
        if isinstance(event, Outcome)
        else []
    )
    place.ask("write")
    place.backend.waiting[0][2]("refused")
    place.clock.rightNow += 60
    place.up(1)
    assert place.backend.sent == [("c", "op")]
