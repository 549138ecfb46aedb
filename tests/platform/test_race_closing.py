"""Races while a client connection closes: data between check and close, final messages, clients that do not close."""

import select
import socket

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.support.client_sockets import Wire, arrives, readable
from tests.support.platform import READ, READY, START, query
from yardbank.gateway import Reply
from yardbank.platform.admission import State
from yardbank.platform.client import EMPTY_QUERY_ANSWER, MAX_QUEUED
from yardbank.platform.closing import MAX_DISCARDED_OCTETS, Action, Event, LingeringClose, Stage


@pytest.fixture
def wire():
    made = Wire()
    yield made
    made.close()


def read_to_end(wire, far):
    """Returns what a client reads up to the end of the gateway's sending; a reset raises."""
    got = b""
    while True:
        wire.until(lambda: readable(far))
        more = far.recv(1 << 16)
        if not more:
            return got
        got += more


def send_after_unread_check(near, far, octets):
    """Has the client send right after the gateway has checked for unread data and before it acts on the result."""
    check = near.unread

    def check_then_send():
        found = check()
        near.unread = check
        far.sendall(octets)
        arrives(near, select.POLLIN)
        return found

    near.unread = check_then_send


@pytest.mark.parametrize("first", [START, START + query("")], ids=["never answered", "idle"])
@pytest.mark.parametrize("why", ["the gateway stops", "idle for long"])
def test_a_request_between_the_unread_check_and_the_close_gets_an_orderly_end(wire, first, why):
    far, near = wire.client(first, answers=first.count(b"Q\0") + 1)
    check = near.unread
    checks = []
    near.unread = lambda: checks.append(check()) or checks[-1]
    if why == "the gateway stops":
        wire.factory.close_idle()
    else:
        for _ in range(44):
            if not near.is_closing:
                wire.clock.advance(0.25)
    assert checks and not any(checks)
    far.sendall(query(READ))  # before the next reactor turn
    arrives(near, select.POLLIN)
    said = read_to_end(wire, far)
    assert (b"C57P03\0" in said) if first == START else not said
    assert not wire.backend.out and wire.gateway.unanswered == 0
    assert wire.factory.open_descriptors == 1 and not near.transport.disconnected  # it still holds its descriptor
    far.close()
    wire.until(lambda: near.transport.disconnected)
    assert wire.factory.open_descriptors == 0 and not wire.backend.out


def test_data_right_after_the_unread_check_is_discarded_without_a_reset(wire):
    far, near = wire.client(START + query(""), answers=2)
    send_after_unread_check(near, far, query(READ))
    near.close_if_nothing_unread("closed by the test")
    assert not read_to_end(wire, far)
    wire.until(lambda: not near.unread())
    assert not wire.backend.out and near.is_closing
    far.close()
    wire.until(lambda: near.transport.disconnected)


# Guards against checking for unread data twice for one decision: a request that arrived in between was counted as
# unanswered although it crossed the close.
@pytest.mark.parametrize("later", ["nothing", "a second request"])
def test_a_request_that_crosses_the_close_is_not_counted_as_unanswered(wire, later):
    far, near = wire.client(START + query(""), answers=2)
    send_after_unread_check(near, far, query(READ))
    near.close_if_nothing_unread("closed by the test")
    assert not read_to_end(wire, far)
    wire.until(lambda: not near.unread())
    if later != "nothing":
        far.sendall(query(READ))
        arrives(near, select.POLLIN)
    near.close_timed_out()
    wire.until(lambda: near.transport.disconnected)
    assert wire.factory.counts["closed_unanswered"] == 0 and not wire.backend.out


def stopped_with_reading_paused(wire):
    """A connection of a stopping gateway whose last answers are written while 256 queued commands pause reading."""
    far, near = wire.client()
    far.sendall(query(READ) + (MAX_QUEUED - 1) * query(""))
    wire.until(lambda: wire.backend.out and near not in reading(wire))
    wire.factory.close_idle()
    return far, near


def reading(wire):
    return [transport.protocol for transport in wire.reactor.getReaders() if hasattr(transport, "protocol")]


# Guards against a connection kept open for a request while reading stays paused: the request was lost to a reset.
@pytest.mark.parametrize("when", ["before the look", "after the look"])
def test_a_late_request_on_a_paused_connection_is_served_or_gets_an_orderly_end(wire, when):
    far, near = stopped_with_reading_paused(wire)
    if when == "before the look":
        far.sendall(query(READ.replace("a1", "a9")))
        arrives(near, select.POLLIN)
    else:
        send_after_unread_check(near, far, query(READ.replace("a1", "a9")))
    wire.backend.out[0][1].attempt_done(Reply("ok", b"first"))
    wire.gateway.stop()
    got = read_to_end(wire, far)
    assert got.startswith(b"first" + READY) and got.count(EMPTY_QUERY_ANSWER) == MAX_QUEUED - 1
    assert (b"C53300\0" in got) == (when == "before the look")
    assert wire.factory.counts["closed_unanswered"] == 0


# Guards against closing on a client that keeps sending requests: it was reset in the middle of a request.
@pytest.mark.parametrize("next_octets", [query(READ)[:20], query(READ)], ids=["half a request", "a request"])
def test_a_client_that_keeps_sending_requests_gets_a_final_message_and_no_reset(wire, next_octets):
    far, near = wire.client(START + query(""), answers=2)
    far.sendall(query(READ))
    arrives(near, select.POLLIN)
    wire.factory.close_idle()
    wire.gateway.stop()
    wire.factory.close_all(lambda: None)
    write = near.transport.doWrite

    def send_then_write():
        far.sendall(next_octets)
        arrives(near, select.POLLIN)
        return write()

    near.transport.doWrite = send_then_write
    wire.until(lambda: readable(far))
    for _ in range(10):
        wire.reactor.iterate(0)
    wire.factory.abort_all()
    got = read_to_end(wire, far)
    assert got.count(b"C53300\0") == 1 and b"C57P03\0" in got
    assert wire.factory.counts["closed_unanswered"] == 0


def test_a_request_that_crosses_the_close_does_not_lose_the_last_answer(wire):
    far, near = wire.client()
    far.sendall(query(READ))
    wire.until(lambda: wire.backend.out)
    wire.factory.close_idle()
    wire.gateway.stop()
    wire.backend.out[0][1].attempt_done(Reply("ok", b"last"))
    send_after_unread_check(near, far, query(READ.replace("a1", "a9")))
    assert read_to_end(wire, far) == b"last" + READY
    assert len(wire.backend.out) == 1 and wire.gateway.unanswered == 0


@pytest.mark.parametrize("written", [False, True], ids=["read first", "written first"])
def test_a_request_that_arrives_before_the_last_answer_is_written_is_answered(wire, written):
    far, near = wire.client()
    far.sendall(query(READ))
    wire.until(lambda: wire.backend.out)
    wire.factory.close_idle()
    wire.gateway.stop()
    wire.backend.out[0][1].attempt_done(Reply("ok", b"last"))
    far.sendall(query(READ.replace("a1", "a9")))  # the answer is written, before the next reactor turn
    arrives(near, select.POLLIN)
    if written:
        near.transport.doWrite()
    got = read_to_end(wire, far)
    assert got.startswith(b"last" + READY) and b"C53300\0" in got and got.endswith(READY)


def test_a_request_before_an_idle_connection_closes_keeps_it_open(wire):
    far, near = wire.client(START + query(""), answers=2)
    near.transport.write(EMPTY_QUERY_ANSWER)  # something is unsent
    near.close(b"")
    far.sendall(query(READ))
    arrives(near, select.POLLIN)
    wire.until(lambda: wire.backend.out)
    wire.backend.out[0][1].attempt_done(Reply("ok", b"x"))
    assert not near.is_closing and wire.factory.admission.count(State.IDLE) == 1


@pytest.mark.parametrize("more", [False, True], ids=["silent", "keeps sending"])
def test_a_client_that_does_not_close_is_closed_by_time_and_by_size(wire, more):
    far, near = wire.client()
    wire.factory.close_idle()
    assert b"C57P03\0" in read_to_end(wire, far)
    if more:
        far.setblocking(False)
        for _ in range(10_000):
            if near.transport.disconnected:
                break
            try:
                far.send(bytes(MAX_DISCARDED_OCTETS // 8))
            except (BlockingIOError, ConnectionError):
                pass
            wire.reactor.iterate(0)
    else:
        wire.clock.pump([0.25] * 4)
        wire.until(lambda: near.transport.disconnected)
    assert near.transport.disconnected and wire.factory.open_descriptors == 0


def test_closing_connections_count_and_the_oldest_free_their_descriptors_first(wire):
    limit = wire.factory._descriptors.max_clients(0)
    ends = [wire.client(b"")[0] for _ in range(limit)]
    late = [wire.client(b"")[0] for _ in range(4)]
    for far in late:
        assert b"C53300\0" in read_to_end(wire, far)  # the final message arrives complete, without a reset
    # At capacity 0 the lingering connections free their descriptors.
    assert wire.factory.open_descriptors == limit + 4 and wire.factory.accept_capacity() == 0
    ends.append(wire.client(b"")[0])
    assert b"C53300\0" in read_to_end(wire, ends[-1])
    assert wire.factory.open_descriptors <= limit + 4


@pytest.mark.parametrize("waiting", [5, 60])
def test_connections_waiting_to_be_accepted_when_the_port_closes_get_an_answer(wire, waiting):
    address = wire.port.socket.getsockname()
    ends = [socket.create_connection(address) for _ in range(waiting)]  # before the next reactor turn
    for far in ends:
        far.sendall(START + query(READ))
    wire.factory.close_idle()
    wire.gateway.stop()
    wire.port.stopListening()
    wire.until(lambda: wire.port not in wire.reactor.getReaders() and not wire.port.connected)
    wire.until(lambda: all(readable(far) for far in ends))
    for far in ends:
        assert b"C53300\0" in read_to_end(wire, far)


def test_one_reactor_turn_accepts_no_more_than_the_capacity(wire):
    address, room = wire.port.socket.getsockname(), wire.factory.accept_capacity()
    ends = [socket.create_connection(address) for _ in range(room + 50)]
    wire.port.numberAccepts = 500  # as after a burst
    wire.port.doRead()
    assert len(wire.made) == room == wire.factory.open_descriptors
    wire.port.doRead()
    assert wire.port not in wire.reactor.getReaders()  # waiting connections do not wake the reactor until one has left
    for far in ends[-50:]:  # the final message arrives without a reset, as these clients sent nothing
        assert b"C53300\0" in read_to_end(wire, far)
        assert wire.factory.open_descriptors <= room


@given(st.lists(st.sampled_from(Event)))
def test_every_event_is_allowed_at_every_stage_and_closed_is_final(events):
    closing, actions = LingeringClose(), []
    for event in events:
        before = closing.stage
        action = closing.on_event(event)
        actions.append(action)
        if before is Stage.CLOSED:
            assert closing.stage is Stage.CLOSED and action is Action.NONE
        if action is Action.SHUTDOWN_WRITE:
            assert event is Event.ALL_WRITTEN and closing.stage is Stage.LINGERING
        if before in (Stage.SENDING_FINAL, Stage.LINGERING):
            assert not closing.accepts_requests
    assert actions.count(Action.SHUTDOWN_WRITE) <= 1 and actions.count(Action.RESET) + actions.count(Action.CLOSE) <= 1


@given(st.lists(st.integers(0, MAX_DISCARDED_OCTETS)))
def test_discarded_octets_are_limited(sizes):
    closing = LingeringClose()
    closing.on_event(Event.FINAL_MESSAGE)
    closing.on_event(Event.ALL_WRITTEN)
    dropped = 0
    for size in sizes:
        dropped += size
        closing.discard(size)
        assert (closing.stage is Stage.CLOSED) == (dropped > MAX_DISCARDED_OCTETS)
