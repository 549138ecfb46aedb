"""How a client's connection ends, forced: octets between the look and the close, last words, ends that do not come."""

import select
import socket

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.support.client_sockets import Wire, arrives, readable
from tests.support.platform import READ, READY, START, query
from yardbank.gateway import Reply
from yardbank.platform.admission import State
from yardbank.platform.client import EMPTY, MAX_QUEUED
from yardbank.platform.closing import MOST_OCTETS, Closing, Event, Stage, Step


@pytest.fixture
def wire():
    made = Wire()
    yield made
    made.close()


def to_its_end(wire, far):
    """What a client reads up to the gateway's end; a reset raises."""
    got = b""
    while True:
        wire.until(lambda: readable(far))
        more = far.recv(1 << 16)
        if not more:
            return got
        got += more


def sends_after_the_look(near, far, octets):
    """The client sends in the instant after the gateway has looked for unread octets, and before it does anything."""
    look = near.unread

    def looked():
        found = look()
        near.unread = look
        far.sendall(octets)
        arrives(near, select.POLLIN)
        return found

    near.unread = looked


@pytest.mark.parametrize("first", [START, START + query("")], ids=["never answered", "resting"])
@pytest.mark.parametrize("why", ["the gateway stops", "idle for long"])
def test_a_request_between_the_look_and_the_close_meets_an_end_and_no_reset(wire, first, why):
    far, near = wire.client(first, answers=first.count(b"Q\0") + 1)
    look = near.unread
    looks = []
    near.unread = lambda: looks.append(look()) or looks[-1]
    if why == "the gateway stops":
        wire.factory.close_idle()
    else:
        for _ in range(44):
            if not near.ending:
                wire.clock.advance(0.25)
    assert looks and not any(looks)
    far.sendall(query(READ))  # the reactor has had no turn
    arrives(near, select.POLLIN)
    said = to_its_end(wire, far)
    assert (b"C57P03\0" in said) if first == START else not said
    assert not wire.backend.out and wire.gateway.unanswered == 0
    assert wire.factory.held == 1 and not near.transport.disconnected  # it holds its descriptor
    far.close()
    wire.until(lambda: near.transport.disconnected)
    assert wire.factory.held == 0 and not wire.backend.out


def test_octets_right_after_the_look_are_dropped_and_the_end_is_no_reset(wire):
    far, near = wire.client(START + query(""), answers=2)
    sends_after_the_look(near, far, query(READ))
    near.let_go("it may go")
    assert not to_its_end(wire, far)
    wire.until(lambda: not near.unread())
    assert not wire.backend.out and near.ending
    far.close()
    wire.until(lambda: near.transport.disconnected)


# Guards against two looks for one decision: a request between them was counted as swallowed though it crossed the end.
@pytest.mark.parametrize("later", ["nothing", "a second request"])
def test_a_request_that_crosses_the_end_is_not_counted_as_unanswered(wire, later):
    far, near = wire.client(START + query(""), answers=2)
    sends_after_the_look(near, far, query(READ))
    near.let_go("it may go")
    assert not to_its_end(wire, far)
    wire.until(lambda: not near.unread())
    if later != "nothing":
        far.sendall(query(READ))
        arrives(near, select.POLLIN)
    near.overdue()
    wire.until(lambda: near.transport.disconnected)
    assert wire.factory.counts["closed_unanswered"] == 0 and not wire.backend.out


def stopped_while_paused(wire):
    """A connection whose last answers are written while it is not read, as 256 commands wait, and the gateway stops."""
    far, near = wire.client()
    far.sendall(query(READ) + (MAX_QUEUED - 1) * query(""))
    wire.until(lambda: wire.backend.out and near not in reading(wire))
    wire.factory.close_idle()
    return far, near


def reading(wire):
    return [transport.protocol for transport in wire.reactor.getReaders() if hasattr(transport, "protocol")]


# Guards against a connection that is kept for a request and not read any more: the request was swallowed by a reset.
@pytest.mark.parametrize("when", ["before the look", "after the look"])
def test_a_request_at_the_end_of_a_connection_that_was_not_read_is_served_or_meets_a_clean_end(wire, when):
    far, near = stopped_while_paused(wire)
    if when == "before the look":
        far.sendall(query(READ.replace("a1", "a9")))
        arrives(near, select.POLLIN)
    else:
        sends_after_the_look(near, far, query(READ.replace("a1", "a9")))
    wire.backend.out[0][1].attempt_done(Reply("ok", b"first"))
    wire.gateway.stop()
    got = to_its_end(wire, far)
    assert got.startswith(b"first" + READY) and got.count(EMPTY) == MAX_QUEUED - 1
    assert (b"C53300\0" in got) == (when == "before the look")
    assert wire.factory.counts["closed_unanswered"] == 0


# Guards against a client that asks on to the very end: it was cut in the middle of a request, with a reset.
@pytest.mark.parametrize("next_octets", [query(READ)[:20], query(READ)], ids=["half a request", "a request"])
def test_a_client_that_asks_on_once_all_is_answered_is_told_the_end_and_not_cut(wire, next_octets):
    far, near = wire.client(START + query(""), answers=2)
    far.sendall(query(READ))
    arrives(near, select.POLLIN)
    wire.factory.close_idle()
    wire.gateway.stop()
    wire.factory.close_all(lambda: None)
    asking_on = near.transport.doWrite

    def asks_on():
        far.sendall(next_octets)
        arrives(near, select.POLLIN)
        return asking_on()

    near.transport.doWrite = asks_on
    wire.until(lambda: readable(far))
    for _ in range(10):
        wire.reactor.iterate(0)
    wire.factory.cut_all()
    got = to_its_end(wire, far)
    assert got.count(b"C53300\0") == 1 and b"C57P03\0" in got
    assert wire.factory.counts["closed_unanswered"] == 0


def test_the_last_answer_is_not_lost_to_a_request_that_crosses_the_end(wire):
    far, near = wire.client()
    far.sendall(query(READ))
    wire.until(lambda: wire.backend.out)
    wire.factory.close_idle()
    wire.gateway.stop()
    wire.backend.out[0][1].attempt_done(Reply("ok", b"last"))
    sends_after_the_look(near, far, query(READ.replace("a1", "a9")))
    assert to_its_end(wire, far) == b"last" + READY
    assert len(wire.backend.out) == 1 and wire.gateway.unanswered == 0


@pytest.mark.parametrize("written", [False, True], ids=["read first", "written first"])
def test_a_request_that_comes_before_the_last_answer_is_out_is_answered_too(wire, written):
    far, near = wire.client()
    far.sendall(query(READ))
    wire.until(lambda: wire.backend.out)
    wire.factory.close_idle()
    wire.gateway.stop()
    wire.backend.out[0][1].attempt_done(Reply("ok", b"last"))
    far.sendall(query(READ.replace("a1", "a9")))  # the answer is written, the reactor has had no turn
    arrives(near, select.POLLIN)
    if written:
        near.transport.doWrite()
    got = to_its_end(wire, far)
    assert got.startswith(b"last" + READY) and b"C53300\0" in got and got.endswith(READY)


def test_a_request_before_an_idle_connection_is_shut_keeps_it(wire):
    far, near = wire.client(START + query(""), answers=2)
    near.transport.write(EMPTY)  # something is unsent
    near.close(b"")
    far.sendall(query(READ))
    arrives(near, select.POLLIN)
    wire.until(lambda: wire.backend.out)
    wire.backend.out[0][1].attempt_done(Reply("ok", b"x"))
    assert not near.ending and wire.factory.admission.count(State.IDLE) == 1


@pytest.mark.parametrize("more", [False, True], ids=["silent", "sends on and on"])
def test_a_client_that_does_not_end_is_closed_by_time_and_by_size(wire, more):
    far, near = wire.client()
    wire.factory.close_idle()
    assert b"C57P03\0" in to_its_end(wire, far)
    if more:
        far.setblocking(False)
        for _ in range(10_000):
            if near.transport.disconnected:
                break
            try:
                far.send(bytes(MOST_OCTETS // 8))
            except (BlockingIOError, ConnectionError):
                pass
            wire.reactor.iterate(0)
    else:
        wire.clock.pump([0.25] * 4)
        wire.until(lambda: near.transport.disconnected)
    assert near.transport.disconnected and wire.factory.held == 0


def test_connections_that_are_being_closed_count_and_make_way_the_oldest_first(wire):
    most = wire.factory._descriptors.for_clients(0)
    ends = [wire.client(b"")[0] for _ in range(most)]
    late = [wire.client(b"")[0] for _ in range(4)]
    for far in late:
        assert b"C53300\0" in to_its_end(wire, far)  # told, whole, and not reset
    assert wire.factory.held == most + 4 and wire.factory.room() == 0  # whoever lingers makes way
    ends.append(wire.client(b"")[0])
    assert b"C53300\0" in to_its_end(wire, ends[-1])
    assert wire.factory.held <= most + 4


@pytest.mark.parametrize("waiting", [5, 60])
def test_whoever_waits_to_be_accepted_when_the_port_closes_gets_a_word(wire, waiting):
    address = wire.port.socket.getsockname()
    ends = [socket.create_connection(address) for _ in range(waiting)]  # the reactor has had no turn
    for far in ends:
        far.sendall(START + query(READ))
    wire.factory.close_idle()
    wire.gateway.stop()
    wire.port.stopListening()
    wire.until(lambda: wire.port not in wire.reactor.getReaders() and not wire.port.connected)
    wire.until(lambda: all(readable(far) for far in ends))
    for far in ends:
        assert b"C53300\0" in to_its_end(wire, far)


def test_one_turn_accepts_no_more_than_there_is_room_for(wire):
    address, room = wire.port.socket.getsockname(), wire.factory.room()
    ends = [socket.create_connection(address) for _ in range(room + 50)]
    wire.port.numberAccepts = 500  # as after a burst
    wire.port.doRead()
    assert len(wire.made) == room == wire.factory.held
    wire.port.doRead()
    assert wire.port not in wire.reactor.getReaders()  # who waits does not wake it until one has left
    for far in ends[-50:]:  # each gets its word whole and no reset, as they do not send
        assert b"C53300\0" in to_its_end(wire, far)
        assert wire.factory.held <= room


@given(st.lists(st.sampled_from(Event)))
def test_every_event_is_legal_at_every_stage_and_the_end_is_the_end(events):
    closing, steps = Closing(), []
    for event in events:
        before = closing.stage
        step = closing.on(event)
        steps.append(step)
        if before is Stage.CLOSED:
            assert closing.stage is Stage.CLOSED and step is Step.NOTHING
        if step is Step.SHUT:
            assert event is Event.WRITTEN and closing.stage is Stage.LINGERING
        if before in (Stage.SAYING, Stage.LINGERING):
            assert not closing.serves
    assert steps.count(Step.SHUT) <= 1 and steps.count(Step.RESET) + steps.count(Step.CLOSE) <= 1


@given(st.lists(st.integers(0, MOST_OCTETS)))
def test_what_is_dropped_is_bounded(sizes):
    closing = Closing()
    closing.on(Event.WORD)
    closing.on(Event.WRITTEN)
    dropped = 0
    for size in sizes:
        dropped += size
        closing.drop(size)
        assert (closing.stage is Stage.CLOSED) == (dropped > MOST_OCTETS)
