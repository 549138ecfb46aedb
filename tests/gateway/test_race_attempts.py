"""Races of an attempt that waits to be written: its client leaves, or its time, its request or its window ends."""

import pytest

from tests.support.delayed_gateway import COPY, LONE, Place, Scripted
from tests.support.virtual_gateway import FakeConnection
from yardbank.gateway import Reply
from yardbank.gateway.api import LOST_DURING_CONNECT, MS, NotSentError
from yardbank.interface import ClientCancelled, Fail, Outcome, Refuse, Send, SetTimer, Timer


@pytest.mark.parametrize("reopened", [False, True], ids=["first", "reopened"])
def test_waiting_attempt_is_withdrawn_when_client_leaves(reopened):
    harness = Place()
    sink = harness.ask()
    if reopened:
        harness.backend.waiting[0][2](LOST_DURING_CONNECT)
    harness.gateway.leave(harness.number)
    assert harness.statuses() == ["moot"] and harness.told(Outcome)[0].closed
    assert [type(event) for event in harness.router.events[-2:]] == [ClientCancelled, Outcome]
    other = harness.ask(operation="other")
    harness.up(-1)
    assert harness.backend.sent == [("p", "other")] and len(harness.backend.waiting) == 1 + reopened
    harness.backend.connections[0].answer()
    assert other.finals == ["served"] and sink.got == [] and harness.statuses() == ["moot", "ok"]


def test_written_attempt_stays_outstanding_when_client_leaves():
    harness = Place()
    harness.ask()
    connection = harness.up()
    harness.gateway.leave(harness.number)
    assert harness.statuses() == [] and not connection.abandoned
    connection.answer()
    assert harness.statuses() == ["ok"]


@pytest.mark.parametrize("end", ["served", "refused", "failed", "began"])
def test_waiting_attempt_is_withdrawn_when_another_ends_its_request(end):
    harness = Place(LONE, COPY, router=Scripted)

    def script(event):
        if type(event).__name__ == "Request":
            return [Send(event.id, 1, event.expires), Send(event.id, 2, event.expires)]
        if isinstance(event, Outcome) and event.status == "error":
            return [Refuse(event.id, MS) if end == "refused" else Fail(event.id)]
        return []

    harness.router.script = script
    sink = harness.ask()
    first = harness.up(0)
    if end == "began":
        next(iter(first.out.values()))[1].attempt_part("much", 1 << 30)
        assert harness.statuses() == ["moot"]
        first.answer()
        assert harness.statuses() == ["moot", "ok"]
    else:
        first.answer(Reply("ok" if end == "served" else "error"))
        assert sink.finals == [end] and harness.statuses() == ["ok" if end == "served" else "error", "moot"]
    harness.up(1)
    assert harness.backend.sent == [("p", "op")]


@pytest.mark.parametrize("just_opened", [False, True], ids=["open connection", "just opened connection"])
def test_client_presence_is_checked_before_write(just_opened):
    harness, client_present = Place(), True
    if not just_opened:
        harness.ask()
        harness.up().answer()
    client_present = just_opened
    sink = harness.ask(present=lambda: client_present, operation="late")
    if just_opened:
        client_present = False
        harness.up()
    assert ("p", "late") not in harness.backend.sent and sink.got == [] and harness.gateway.counts["left"] == 1
    assert harness.statuses()[-1] == "moot" and harness.gateway.unanswered == 0
    harness.ask(operation="next")
    assert harness.backend.sent[-1] == ("p", "next") and len(harness.backend.waiting) == 1


def test_client_counts_as_present_when_presence_check_fails():
    harness = Place()
    sink = harness.ask(present=lambda: 1 // 0)
    harness.up().answer()
    assert sink.finals == ["served"] and "front_error" in [event for event, _ in harness.log.lines]


def test_attempts_waiting_behind_failed_write_are_lost_with_connection():
    harness = Place(router=Scripted)
    harness.router.script = lambda event: [Send(event.id, 1, 1 << 62)] if type(event).__name__ == "Request" else []
    harness.ask("write")
    harness.ask("write")
    written = []

    class BrokenConnection(FakeConnection):
        def submit(self, operation, receiver):
            written.append(operation)
            raise NotSentError("broken")

    _, ready, lost = harness.backend.waiting[0]
    connection = BrokenConnection(harness.backend, LONE, lost)
    ready(connection)
    assert harness.statuses() == ["connect_failed", "connect_failed"] and len(written) == 1 and connection.closed
    assert harness.gateway.server_connections == 0


def test_attempt_that_expired_while_process_stalled_is_not_written():
    harness = Place()
    sink = harness.ask()
    harness.clock.rightNow += 5  # the clock advances without a timer firing, as in a stalled process
    harness.up()
    assert harness.backend.sent == [] and harness.statuses() == ["moot"] and sink.finals == ["refused"]
    harness.clock.advance(0)
    assert harness.statuses() == ["moot"]


@pytest.mark.parametrize("end", ["refused", "failed"])
def test_waiting_attempt_is_withdrawn_when_router_ends_its_request(end):
    harness = Place(router=Scripted)

    def script(event):
        if isinstance(event, Timer):
            return [Refuse(harness.number, MS) if end == "refused" else Fail(harness.number)]
        return [Send(event.id, 1, 1 << 62), SetTimer(MS, "x")] if type(event).__name__ == "Request" else []

    harness.router.script = script
    sink = harness.ask()
    harness.clock.advance(0.01)
    assert sink.finals == [end] and harness.statuses() == ["moot"]
    harness.up()
    assert harness.backend.sent == []


@pytest.mark.parametrize(
    ("class_name", "late", "is_written"),
    [("keyed", 999 * MS, True), ("keyed", 1000 * MS, False), ("write", 0, False), ("read", 999 * MS, True)],
)
def test_repeat_is_written_only_within_its_window(class_name, late, is_written):
    harness = Place(LONE, COPY, router=Scripted)

    def script(event):
        if type(event).__name__ == "Request":
            return [Send(event.id, 1, 1 << 62)]
        if isinstance(event, Outcome) and event.status == "reset":
            return [Send(event.id, 2, 1 << 62)]
        return [Fail(event.id)] if isinstance(event, Outcome) and event.status == "moot" else []

    harness.router.script = script
    sink = harness.ask(class_name)
    harness.clock.advance(0.1)
    first = harness.up(0)
    harness.clock.advance(0.1)
    first.drop()
    assert len(harness.backend.waiting) == 2
    harness.clock.rightNow = 100 + late / 1e9  # the window counts from the issue of the first attempt
    harness.up(1)
    assert len(harness.backend.sent) == 1 + is_written and harness.statuses() == (
        ["reset"] if is_written else ["reset", "moot"]
    )
    assert sink.finals == ([] if is_written else ["failed"])


def test_repeat_after_attempt_that_never_ran_needs_no_window():
    harness = Place(LONE, COPY, router=Scripted)
    harness.router.script = lambda event: (
        [Send(event.id, 1, 1 << 62)]
        if type(event).__name__ == "Request"
        else [Send(event.id, 2, 1 << 62)]
        if isinstance(event, Outcome)
        else []
    )
    harness.ask("write")
    harness.backend.waiting[0][2]("refused")
    harness.clock.rightNow += 60
    harness.up(1)
    assert harness.backend.sent == [("c", "op")]
