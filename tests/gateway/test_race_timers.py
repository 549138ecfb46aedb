"""Races of a deadline with data that is in a socket buffer when it is due."""

import select
import socket

import pytest
from twisted.internet.task import Clock

from tests.support.virtual_gateway import Place
from yardbank.gateway.api import MS
from yardbank.gateway.deadlines import Deadlines


class SteppedReactor(Clock):
    """A reactor that runs due timers and then reads its sockets, in each iteration, as Twisted's reactors do."""

    def __init__(self):
        super().__init__()
        self.readers = {}

    def iterate(self, seconds=0.0):
        """Run one iteration: the timers that were due when it began, then the sockets."""
        self.rightNow += seconds
        for call in [call for call in self.getDelayedCalls() if call.getTime() <= self.rightNow]:
            if call.active():
                self.calls.remove(call)
                call.called = 1
                call.func(*call.args, **call.kw)
        for each in select.select(list(self.readers), [], [], 0)[0]:
            self.readers[each](each.recv(1000))


def reactor_with_socket():
    reactor = SteppedReactor()
    near, peer = socket.socketpair()
    return reactor, Deadlines(lambda: int(reactor.seconds() * 1e9), reactor.callLater), near, peer


def test_data_in_socket_is_read_before_due_deadline_fires():
    reactor, deadlines, near, peer = reactor_with_socket()
    calls = []
    number = deadlines.add(100 * MS, lambda: calls.append("late"))

    def answered(data):
        calls.append(data)
        deadlines.cancel(number)

    reactor.readers[near] = answered
    peer.send(b"answer")
    reactor.iterate(0.1)
    reactor.iterate()
    reactor.iterate()
    assert calls == [b"answer"] and not len(deadlines)


def test_deadline_passing_while_sockets_are_read_gets_its_own_poll():
    reactor, deadlines, near, peer = reactor_with_socket()
    calls = []
    deadlines.add(100 * MS, lambda: calls.append("first"))
    second = deadlines.add(150 * MS, lambda: calls.append("late"))

    def read(data):
        calls.append(data)
        if data == b"answer":
            deadlines.cancel(second)
        reactor.rightNow += 0.1  # reading takes long, and the answer arrives meanwhile
        peer.send(b"answer")

    reactor.readers[near] = read
    peer.send(b"much")
    reactor.iterate(0.1)
    reactor.iterate()
    assert calls[:3] == [b"much", "first", b"answer"]
    reactor.iterate()
    assert "late" not in calls


def test_deadline_fires_at_its_time_and_once():
    clock, fired = Clock(), []
    deadlines = Deadlines(lambda: int(clock.seconds() * 1e9), clock.callLater)
    deadlines.add(100 * MS, lambda: fired.append(clock.seconds()))
    clock.advance(0.1)
    clock.advance(1)
    assert fired == [0.1] and not clock.getDelayedCalls()


def test_earlier_deadline_added_during_poll_fires_with_it():
    reactor, deadlines, _, _ = reactor_with_socket()
    fired = []
    deadlines.add(100 * MS, lambda: fired.append("first"))
    reactor.iterate(0.1)
    deadlines.add(50 * MS, lambda: fired.append("earlier"))
    assert fired == [] and len(reactor.getDelayedCalls()) == 1
    reactor.iterate()
    assert fired == ["earlier", "first"]


@pytest.mark.parametrize("polling", [False, True])
def test_clear_cancels_pending_poll(polling):
    reactor, deadlines, _, _ = reactor_with_socket()
    fired = []
    deadlines.add(100 * MS, lambda: fired.append("first"))
    if polling:
        reactor.iterate(0.1)
    deadlines.clear()
    assert not reactor.getDelayedCalls()
    deadlines.add(400 * MS, lambda: fired.append("second"))
    deadlines.add(250 * MS, lambda: fired.append("third"))
    reactor.iterate(0.3 - reactor.rightNow)
    reactor.iterate()
    assert fired == ["third"]
    reactor.iterate(0.1)
    reactor.iterate()
    assert fired == ["third", "second"]


def test_error_in_one_callback_does_not_stop_others():
    clock, fired = Clock(), []
    deadlines = Deadlines(lambda: int(clock.seconds() * 1e9), clock.callLater)
    deadlines.add(100 * MS, lambda: 1 // 0)
    deadlines.add(100 * MS, lambda: fired.append("same"))
    deadlines.add(200 * MS, lambda: fired.append("later"))
    with pytest.raises(ZeroDivisionError):
        clock.advance(0.1)
    clock.advance(0)
    clock.advance(0.1)
    assert fired == ["same", "later"]


def test_answer_in_socket_at_request_deadline_is_delivered():
    harness = Place(may_cancel=False)
    sink = harness.ask("write")
    harness.clock.rightNow += 2  # the deadline is due, and no timer has run yet
    due = [call for call in harness.clock.getDelayedCalls() if call.getTime() <= harness.clock.rightNow]
    for call in due:
        harness.clock.calls.remove(call)
        call.called = 1
        call.func()  # timers of this iteration; the sockets are read after them
    harness.backend.to("p").answer()
    harness.clock.advance(0)
    assert sink.finals == ["served"]
