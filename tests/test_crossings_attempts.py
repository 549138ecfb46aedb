"""Crossings of an attempt on its way out: its client leaves, its time passes, its server drains, its window closes."""

import pytest
from twisted.internet.task import Clock

from tests.gateway_place import KEYED, READ, WRITE, FakeBackend, FakeConnection, Sink
from tests.platform_kit import Log
from yardbank.gateway import Call, Gateway, Reply, ServerSpec
from yardbank.gateway.api import BROKE_OPENING, MS, NotSentError
from yardbank.interface import Fail, Gone, Outcome, Probed, Refuse, Send, ServerList, SetTimer, Settings, Timer
from yardbank.policy import Router

LONE = ServerSpec("p", "g", "a", "h", 1, True)
COPY = ServerSpec("c", "g", "a", "h", 2)
DRAINS = ServerSpec("p", "g", "a", "h", 1, True, "draining")
MOVED = ServerSpec("p", "g", "a", "h", 3, True)
TURNS = pytest.mark.parametrize("turn", [DRAINS, None, MOVED], ids=["drains", "gone", "moved"])


class Heard(Router):
    """The decision module; keeps what it was told and what it said."""

    def __init__(self, settings):
        super().__init__(settings)
        self.events, self.actions = [], []

    def handle(self, now, event):
        self.events.append(event)
        actions = super().handle(now, event)
        self.actions += actions
        return actions


class Scripted(Heard):
    """Does what the test says of a request and of its attempts' ends."""

    script = staticmethod(lambda event: [])

    def handle(self, now, event):
        self.events.append(event)
        return self.script(event)


class Place:
    """A gateway whose connections open when the test says so."""

    def __init__(self, *servers, router=Heard, **more):
        self.clock, self.backend, self.log = Clock(), FakeBackend(), Log()
        self.clock.advance(100)
        self.backend.mode = "when told"
        self.feed = []  # lists that lie unread
        settings = Settings(1, "a", 1, (READ, WRITE, KEYED), reports="none", max_attempts=4, max_retry_after=100 * MS)

        def made(settings):
            self.router = router(settings)
            return self.router

        self.gateway = Gateway(
            settings, self.backend, reactor=self.clock, seconds=self.clock.seconds, wall=self.clock.seconds,
            log=self.log, router=made, before_send=self.catch_up, **more,
        )  # fmt: skip
        self.gateway.apply_list(servers or [LONE])

    def catch_up(self):
        while self.feed:
            self.gateway.apply_changes(self.feed.pop(0))

    def ask(self, class_name="read", present=None, operation="op"):
        sink = Sink()
        self.number = self.gateway.take(Call(class_name, "g", operation, sink, "s", present=present))
        return sink

    def up(self, at=0):
        """A connection that was opening is up."""
        server, ready, lost = self.backend.waiting[at]
        made = FakeConnection(self.backend, server, lost)
        self.backend.connections.append(made)
        ready(made)
        return made

    def told(self, kind):
        return [event for event in self.router.events if isinstance(event, kind)]

    def statuses(self):
        return [event.status for event in self.told(Outcome)]


@pytest.mark.parametrize("again", [False, True], ids=["first", "opened again"])
def test_what_a_client_that_leaves_has_waiting_for_a_connection_is_taken_back(again):
    place = Place()
    sink = place.ask()
    if again:
        place.backend.waiting[0][2](BROKE_OPENING)
    place.gateway.leave(place.number)
    assert place.statuses() == ["moot"] and place.told(Outcome)[0].closed
    assert [type(event) for event in place.router.events[-2:]] == [Gone, Outcome]
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
    assert place.statuses()[-1] == "moot" and place.gateway.owed == 0
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


@TURNS
@pytest.mark.parametrize("opens", [False, True], ids=["on an open connection", "on one that has just opened"])
def test_a_list_that_lies_unread_is_taken_in_before_the_write(turn, opens):
    place = Place(LONE, COPY, router=Scripted)
    place.router.script = lambda event: (
        [Send(event.id, 1, event.expires)] if type(event).__name__ == "Request" else
        [Send(event.id, 2, 1 << 62)] if isinstance(event, Outcome) and event.status == "moot" else []
    )  # fmt: skip
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


def test_what_the_drain_itself_has_sent_there_is_not_taken_back():
    place = Place(router=Scripted)
    place.router.script = lambda event: (
        [Send(place.number, 1, 1 << 62)] if isinstance(event, ServerList) and place.router.events[1:] else []
    )  # fmt: skip
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
    place.gateway._probe(1)
    place.gateway.apply_changes({"p": turn})
    assert told == ["moot"] and len(place.backend.waiting) == (1 if turn is None else 2)
    assert [event.status for event in place.told(Probed)] == (["connect_failed"] if turn is None else [])
    place.backend.position = None
    assert place.up(0).probes == []
    if turn is not None:
        assert len(place.up(1).probes) == 1


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
        [Send(event.id, 1, 1 << 62)] if type(event).__name__ == "Request" else
        [Send(event.id, 2, 1 << 62)] if isinstance(event, Outcome) else []
    )  # fmt: skip
    place.ask("write")
    place.backend.waiting[0][2]("refused")
    place.clock.rightNow += 60
    place.up(1)
    assert place.backend.sent == [("c", "op")]
