"""The gateway on a virtual clock, against a backend that does as it is told."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet.task import Clock

from yardbank.gateway import Call, Gateway, Limits, Reply, ServerSpec
from yardbank.gateway.api import MS, Position
from yardbank.gateway.clock import SteadyClock, started_at
from yardbank.gateway.deadlines import Deadlines
from yardbank.gateway.ending import allowance, may_be_refused
from yardbank.gateway.pool import Pool
from yardbank.interface import Gone, Request, RequestClass, Role, Settings, Timer
from yardbank.policy import Router

READ = RequestClass("read", 400 * MS, 1000 * MS, 1, 0.2, "safe", read="session")
WRITE = RequestClass("write", 400 * MS, 2000 * MS, 3, 0.5, "unsafe", read="write")
KEYED = RequestClass("keyed", 400 * MS, 2000 * MS, 3, 0.5, "keyed", "all", 1000 * MS, "write")


class FakeConnection:
    def __init__(self, backend, server, lost):
        self.backend, self.server, self.lost = backend, server, lost
        self.out, self.probes, self.next, self.closed, self.abandoned = {}, [], 0, False, []

    def submit(self, operation, receiver):
        if operation == "unwritable":
            raise ValueError("cannot be written")
        self.next += 1
        self.out[self.next] = (operation, receiver)
        self.backend.sent.append((self.server.name, operation))
        return self.next

    def abandon(self, number):
        self.abandoned.append(self.out.pop(number, None))

    def probe(self, done):
        if self.backend.position is not None:
            done(self.backend.position(self.server))
        else:
            self.probes.append(done)

    def fit(self):
        return True

    def close(self):
        self.closed = True

    def answer(self, reply=None, number=None):
        number = number or min(self.out)
        self.out.pop(number)[1].attempt_done(reply or Reply("ok", "payload"))

    def drop(self):
        out, self.out = self.out, {}
        for _, receiver in out.values():
            receiver.attempt_lost("dropped")
        self.lost("dropped")


class FakeBackend:
    def __init__(self):
        self.connections, self.sent, self.waiting = [], [], []
        self.position = lambda server: Position({"": (1,)}, server.primary)
        self.mode = "up"

    def connect(self, server, ready, lost):
        if self.mode == "refuse":
            lost("refused")
        elif self.mode == "up":
            made = FakeConnection(self, server, lost)
            self.connections.append(made)
            ready(made)
        else:
            self.waiting.append((server, ready, lost))
        return lambda: None

    def describe(self, operation):
        return str(operation)

    def to(self, name):
        return next(c for c in reversed(self.connections) if c.server.name == name and not c.closed)


class Sink:
    def __init__(self):
        self.got, self.broken = [], False

    def part(self, payload):
        if self.broken:
            raise RuntimeError("front")
        self.got.append(("part", payload))

    def served(self, payload):
        if self.broken:
            raise RuntimeError("front")
        self.got.append(("served", payload))

    def refused(self, retry_after, reason):
        self.got.append(("refused", reason))

    def failed(self, reason):
        self.got.append(("failed", reason))

    @property
    def finals(self):
        return [kind for kind, _ in self.got if kind != "part"]


SERVERS = [ServerSpec("p", "g", "a", "h", 1, True), ServerSpec("c", "g", "a", "h", 2)]


class Place:
    def __init__(self, router=Router, limits=None, **more):
        self.clock = Clock()
        self.clock.advance(100)
        self.backend = FakeBackend()
        base = {"seed": 1, "zone": "a", "gateways": 1, "classes": (READ, WRITE, KEYED), "reports": "probe"}
        base |= {"may_probe": True, "may_cancel": True, "max_attempts": 4, "max_retry_after": 100 * MS}
        self.facts = []
        self.gateway = Gateway(
            Settings(**(base | more)), self.backend, reactor=self.clock, limits=limits, seconds=self.clock.seconds,
            wall=self.clock.seconds, record=self.facts.append, router=router,
        )  # fmt: skip
        self.gateway.apply_list(SERVERS)

    def ask(self, class_name="read", operation="op", session="s"):
        sink = Sink()
        self.number = self.gateway.take(Call(class_name, "g", operation, sink, session))
        return sink

    def pass_time(self, seconds, step=0.01):
        for _ in range(round(seconds / step)):
            self.clock.advance(step)


def test_a_write_is_served_and_its_session_reads_the_primary_until_a_copy_has_it():
    place = Place()
    write = place.ask("write")
    place.backend.to("p").answer(Reply("ok", "done", Role.PRIMARY, ("", (5,))))
    assert write.got == [("served", "done")]
    place.ask("read")
    place.pass_time(0.2)
    assert place.backend.sent[-1][0] == "p"  # the copy has applied mark 1 alone
    place.backend.to("p").answer()
    place.backend.position = lambda server: Position({"": (5,)}, server.primary)
    place.pass_time(0.3)
    place.ask("read")
    assert place.backend.sent[-1][0] == "c"


def test_a_lost_connection_resends_a_read_and_fails_an_unsafe_write():
    place = Place()
    read = place.ask("read")
    first = place.backend.sent[-1][0]
    place.backend.to(first).drop()
    place.backend.to(place.backend.sent[-1][0]).answer()
    assert read.finals == ["served"] and len(place.backend.sent) == 2
    write = place.ask("write")
    place.backend.to("p").drop()
    place.pass_time(3)
    assert write.finals == ["failed"]
    assert [name for name, _ in place.backend.sent].count("p") <= 2


def test_no_answer_ends_at_the_deadline_and_a_late_one_is_dropped():
    place = Place()
    write = place.ask("write")
    (number,) = place.backend.to("p").out
    _, receiver = place.backend.to("p").out[number]
    place.pass_time(2.1)
    assert write.finals == ["failed"]
    receiver.attempt_done(Reply("ok", "late"))
    assert write.finals == ["failed"]
    assert place.gateway.owed == 0


def test_refused_connections_are_told_to_the_module_and_nothing_ran():
    place = Place()
    place.backend.mode = "refuse"
    write = place.ask("write")
    place.pass_time(3)
    assert write.finals == ["refused"]


def test_a_connection_that_does_not_come_up_in_time_is_given_up():
    place = Place()
    place.backend.mode = "slow"
    read = place.ask("read")
    assert place.backend.waiting
    place.pass_time(0.3)
    assert any(f.get("status") == "connect_failed" for f in place.facts)
    _, ready, lost = place.backend.waiting[0]
    late = FakeConnection(place.backend, SERVERS[0], lost)
    ready(late)  # too late: it is closed, nothing is sent on it
    assert late.closed and not late.out
    place.pass_time(2)
    assert len(read.finals) == 1


def test_a_client_that_left_gets_nothing():
    place = Place()
    sink = place.ask("write")
    place.gateway.leave(place.number)
    place.gateway.leave(place.number)
    place.backend.to("p").answer()
    assert sink.got == [] and place.gateway.owed == 0 and not place.gateway._open


def test_long_answers_stream_once_the_bound_is_reached():
    place = Place(limits=Limits(gather=100, stream_idle=500 * MS))
    sink = place.ask("read")
    name = place.backend.sent[-1][0]
    _, receiver = place.backend.to(name).out[1]
    receiver.attempt_part("one", 60)
    assert sink.got == []  # kept back: another server could still answer
    receiver.attempt_part("two", 60)
    assert [payload for _, payload in sink.got] == ["one", "two"]
    receiver.attempt_part("three", 60)
    place.pass_time(0.4)
    receiver.attempt_part("four", 60)
    receiver.attempt_done(Reply("ok", "end"))
    assert sink.got[-1] == ("served", "end") and len(sink.got) == 5
    sink = place.ask("read")
    _, receiver = place.backend.to(place.backend.sent[-1][0]).out[2 if place.backend.sent[-1][0] == name else 1]
    receiver.attempt_part("one", 200)
    place.pass_time(0.7)  # a stream that pauses is broken off, once
    assert sink.finals == ["failed"]


def test_gathered_parts_of_an_attempt_that_died_are_dropped():
    place = Place()
    sink = place.ask("read")
    name = place.backend.sent[-1][0]
    place.backend.to(name).out[1][1].attempt_part("half", 10)
    place.backend.to(name).drop()
    other = place.backend.to(place.backend.sent[-1][0])
    other.out[min(other.out)][1].attempt_part("whole", 10)
    other.answer()
    assert sink.got == [("part", "whole"), ("served", "payload")]


class FailingRouter(Router):
    """An error hides in the module."""

    on = None

    def handle(self, now, event):
        if self.on and isinstance(event, self.on):
            raise RuntimeError("hidden")
        return super().handle(now, event)


@pytest.mark.parametrize(("kind", "answer"), [(Request, "refused"), (Timer, "served")])
def test_an_error_in_the_module_ends_that_request_alone(kind, answer):
    place = Place(FailingRouter)
    place.gateway._router.on = kind
    sink = place.ask("read")
    place.pass_time(0.1)
    if answer == "served":
        place.backend.to(place.backend.sent[-1][0]).answer()
    assert sink.finals == [answer]
    place.gateway._router.on = None
    again = place.ask("read")
    place.backend.to(place.backend.sent[-1][0]).answer()
    assert again.finals == ["served"]


def test_an_error_in_a_front_or_a_backend_ends_that_request_alone():
    place = Place()
    sink = place.ask("read")
    sink.broken = True
    place.backend.to(place.backend.sent[-1][0]).answer()
    assert place.gateway.owed == 0
    write = place.ask("write", "unwritable")
    place.pass_time(3)
    assert len(write.finals) == 1
    good = place.ask("write")
    place.backend.to("p").answer()
    assert good.finals == ["served"]


def test_open_requests_are_bounded():
    place = Place(limits=Limits(max_open=2))
    sinks = [place.ask("write") for _ in range(3)]
    assert [sink.finals for sink in sinks] == [[], [], ["refused"]]


def test_stop_waits_and_then_answers_all():
    place = Place(limits=Limits(stop_grace=500 * MS))
    quick, write, read = place.ask("read", session="a"), place.ask("write"), place.ask("read", session="b")
    stopped = []
    place.gateway.stop().addCallback(stopped.append)
    assert place.ask("read").finals == ["refused"]
    name = next(n for n, _ in place.backend.sent if n == "c")
    place.backend.to(name).answer()
    assert quick.finals == ["served"] and not stopped
    place.pass_time(0.6)
    assert write.finals == ["failed"] and read.finals == ["refused"] and stopped == [None]
    again = []
    place.gateway.stop().addCallback(again.append)
    assert again == [None]


def test_a_host_that_just_stops_closes_every_request_once():
    triggers = []

    class Host(Clock):
        def addSystemEventTrigger(self, *args):
            triggers.append(args)
            return len(triggers)

        def removeSystemEventTrigger(self, number):
            pass

    host = Host()
    host.advance(100)
    gateway = Gateway(
        Settings(1, "a", 1, (READ, WRITE)), FakeBackend(), reactor=host, seconds=host.seconds, wall=host.seconds
    )
    gateway.apply_list(SERVERS)
    sinks = [Sink(), Sink()]
    gateway.take(Call("write", "g", "op", sinks[0]))
    gateway.take(Call("read", "g", "op", sinks[1]))
    ((phase, event, act),) = triggers
    assert (phase, event) == ("before", "shutdown")
    act()
    act()
    assert [sink.finals for sink in sinks] == [["failed"], ["refused"]]


def test_two_gateways_in_one_process_share_nothing():
    one, two = Place(), Place()
    one.ask("write")
    one.backend.to("p").answer(Reply("ok", "", Role.PRIMARY, ("", (9,))))
    one.backend.mode = "refuse"
    for connection in one.backend.connections:
        connection.drop()
    sink = two.ask("read")
    two.backend.to("c").answer()
    assert sink.finals == ["served"]
    assert one.gateway._router.servers.keys() == two.gateway._router.servers.keys()
    assert not any(a is b for a, b in zip(one.gateway._router.servers.values(), two.gateway._router.servers.values()))
    assert not two.gateway._router.tokens and one.gateway._router.tokens


def test_the_same_events_give_the_same_record():
    def live():
        place = Place()
        for number in range(30):
            place.ask("write" if number % 3 == 0 else "read", session=f"s{number % 4}")
            if number % 7 == 3:
                place.backend.connections[0].drop()
            for connection in place.backend.connections:
                while connection.out:
                    connection.answer()
            place.pass_time(0.05)
        return place.facts

    assert live() == live()


def test_a_list_that_names_a_server_twice_is_refused_and_the_old_one_stays():
    place = Place()
    with pytest.raises(ValueError, match="'p' is listed twice"):
        place.gateway.apply_list([*SERVERS, SERVERS[0]])
    assert len(place.gateway._router.servers) == 2


def test_a_server_that_left_gets_nothing_new_and_its_idle_connections_close():
    place = Place()
    place.ask("read")
    place.backend.to("c").answer()
    connection = place.backend.to("c")
    place.gateway.apply_list(SERVERS[:1])
    assert connection.closed
    place.ask("read")
    assert place.backend.sent[-1][0] == "p"


def test_idle_connections_close_and_then_no_timer_is_left():
    place = Place(limits=Limits(idle_close=1000 * MS))
    place.ask("read")
    connection = place.backend.to("c")
    connection.answer()
    place.pass_time(2, 0.1)
    assert all(each.closed for each in place.backend.connections)
    for each in list(place.backend.connections):
        each.lost("closed")
    place.pass_time(3, 0.1)
    assert place.clock.getDelayedCalls() == []


def test_the_clock_never_goes_back():
    times = iter([5.0, 4.0, 6.0, 1.0])
    clock = SteadyClock(lambda: next(times))
    assert [clock.now() for _ in range(4)] == [5 * 10**9, 5 * 10**9, 6 * 10**9, 6 * 10**9]
    assert started_at(10**9, 500.0, 0) == 0
    assert started_at(10 * 10**9, 500.0, 499.0) == 9 * 10**9
    assert started_at(10 * 10**9, 500.0, 900.0) == 10 * 10**9  # a start in the future is a start now
    assert started_at(10 * 10**9, 500.0, 1.0) == 1


@settings(max_examples=100, deadline=None, derandomize=True)
@given(st.lists(st.tuples(st.integers(0, 100), st.booleans()), max_size=60))
def test_deadlines_fire_once_in_order_and_cancelled_ones_never(plan):
    clock, fired = Clock(), []
    deadlines = Deadlines(lambda: int(clock.seconds() * 1e9), clock.callLater)
    numbers = [deadlines.add(at * 10**7, lambda n=n: fired.append(n)) for n, (at, _) in enumerate(plan)]
    for number, (_, cancelled) in zip(numbers, plan):
        if cancelled:
            deadlines.cancel(number)
    assert len(clock.getDelayedCalls()) <= 1
    for _ in range(110):
        clock.advance(0.01)
    kept = [n for n, (_, cancelled) in enumerate(plan) if not cancelled]
    assert fired == sorted(kept, key=lambda n: (plan[n][0], n))
    assert not len(deadlines) and not clock.getDelayedCalls()


def test_the_pool_shares_connections_and_is_bounded():
    pool = Pool(connections=2, multiplex=2, idle_close=100)
    first = pool.place(0)
    assert first.opening and pool.place(0).slot == first.slot  # the second waits for the same one
    second = pool.place(0)
    assert second.opening and second.slot != first.slot
    pool.opened(first.slot, 1)
    pool.opened(second.slot, 1)
    assert pool.place(2).slot == second.slot
    assert pool.place(2).slot is None  # every connection is full, and no more may be opened
    assert not pool.freed(first.slot, 3, 0, True) and not pool.freed(first.slot, 3, 0, True)
    assert pool.idle() == [first.slot] and pool.overdue(50) == [] and pool.overdue(103) == [first.slot]


def test_a_connection_with_nothing_heard_since_a_time_out_takes_nothing_new():
    pool = Pool(1, 4, 100)
    slot = pool.place(0).slot
    pool.opened(slot, 1)
    pool.place(5)
    assert not pool.freed(slot, 10, 5, answered=False)  # one is still out there
    assert pool.place(11).slot is None
    assert pool.freed(slot, 12, 5, answered=True)  # now it can be closed
    pool.lost(slot)
    assert pool.place(13).opening


def test_what_may_be_said_of_a_request_that_ends_early():
    assert may_be_refused(READ, True) and may_be_refused(KEYED, True) and may_be_refused(WRITE, False)
    assert not may_be_refused(WRITE, True)
    assert allowance(READ, 0) == READ.deadline and allowance(READ, 5) == 5 and allowance(READ, 10**12) == READ.deadline


def test_gone_is_told_once():
    place = Place()
    seen = []
    handle = place.gateway._router.handle
    place.gateway._router.handle = lambda now, event: seen.append(event) or handle(now, event)
    place.ask("read")
    place.gateway.leave(place.number)
    place.gateway.leave(place.number)
    assert sum(isinstance(event, Gone) for event in seen) == 1
