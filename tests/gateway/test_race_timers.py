"""Crossings of a timer and what lies in a socket in the same turn."""

import select
import socket

import pytest
from twisted.internet.task import Clock

from tests.support.virtual_gateway import Place
from yardbank.gateway.api import MS
from yardbank.gateway.deadlines import Deadlines


class Turns(Clock):
    """A reactor that runs what is due and then reads its sockets, turn by turn, as Twisted's own do."""

    def __init__(self):
        super().__init__()
        self.readers = {}

    def turn(self, seconds=0.0):
        """One turn: timers that were due when it began, then the sockets."""
        self.rightNow += seconds
        for call in [call for call in self.getDelayedCalls() if call.getTime() <= self.rightNow]:
            if call.active():
                self.calls.remove(call)
                call.called = 1
                call.func(*call.args, **call.kw)
        for each in select.select(list(self.readers), [], [], 0)[0]:
            self.readers[each](each.recv(1000))


def world():
    turns = Turns()
    near, far = socket.socketpair()
    return turns, Deadlines(lambda: int(turns.seconds() * 1e9), turns.callLater), near, far


def test_what_lies_in_a_socket_comes_before_the_deadline_that_is_due():
    turns, deadlines, near, far = world()
    said = []
    number = deadlines.add(100 * MS, lambda: said.append("late"))

    def answered(data):
        said.append(data)
        deadlines.cancel(number)

    turns.readers[near] = answered
    far.send(b"answer")
    turns.turn(0.1)
    turns.turn()
    turns.turn()
    assert said == [b"answer"] and not len(deadlines)


def test_what_falls_due_while_the_sockets_are_read_gets_a_look_of_its_own():
    turns, deadlines, near, far = world()
    said = []
    deadlines.add(100 * MS, lambda: said.append("first"))
    second = deadlines.add(150 * MS, lambda: said.append("late"))

    def read(data):
        said.append(data)
        if data == b"answer":
            deadlines.cancel(second)
        turns.rightNow += 0.1  # it takes long, and the answer comes meanwhile
        far.send(b"answer")

    turns.readers[near] = read
    far.send(b"much")
    turns.turn(0.1)
    turns.turn()
    assert said[:3] == [b"much", "first", b"answer"]
    turns.turn()
    assert "late" not in said


def test_a_deadline_fires_in_its_own_instant_and_once():
    clock, fired = Clock(), []
    deadlines = Deadlines(lambda: int(clock.seconds() * 1e9), clock.callLater)
    deadlines.add(100 * MS, lambda: fired.append(clock.seconds()))
    clock.advance(0.1)
    clock.advance(1)
    assert fired == [0.1] and not clock.getDelayedCalls()


def test_what_is_added_for_earlier_during_the_look_neither_puts_it_off_nor_waits():
    turns, deadlines, _, _ = world()
    fired = []
    deadlines.add(100 * MS, lambda: fired.append("first"))
    turns.turn(0.1)
    deadlines.add(50 * MS, lambda: fired.append("earlier"))
    assert fired == [] and len(turns.getDelayedCalls()) == 1
    turns.turn()
    assert fired == ["earlier", "first"]


@pytest.mark.parametrize("looking", [False, True])
def test_forgetting_all_calls_off_the_look_too(looking):
    turns, deadlines, _, _ = world()
    fired = []
    deadlines.add(100 * MS, lambda: fired.append("first"))
    if looking:
        turns.turn(0.1)
    deadlines.clear()
    assert not turns.getDelayedCalls()
    deadlines.add(400 * MS, lambda: fired.append("second"))
    deadlines.add(250 * MS, lambda: fired.append("third"))
    turns.turn(0.3 - turns.rightNow)
    turns.turn()
    assert fired == ["third"]
    turns.turn(0.1)
    turns.turn()
    assert fired == ["third", "second"]


def test_an_error_in_one_keeps_no_other_from_firing():
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


def test_an_answer_that_lies_in_the_socket_when_its_request_runs_out_is_the_answer():
    place = Place(may_cancel=False)
    sink = place.ask("write")
    place.clock.rightNow += 2  # the deadline is due, and no timer has run
    due = [call for call in place.clock.getDelayedCalls() if call.getTime() <= place.clock.rightNow]
    for call in due:
        place.clock.calls.remove(call)
        call.called = 1
        call.func()  # the turn's timers; the sockets are read after them
    place.backend.to("p").answer()
    place.clock.advance(0)
    assert sink.finals == ["served"]
