"""Waits of large messages for memory: how they end, and what becomes of messages that make no progress."""

from types import SimpleNamespace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.support.platform import READ, READY, START, WRITE, World, answers_in, query
from yardbank.gateway import Reply
from yardbank.gateway.api import MS, SECOND
from yardbank.platform.connection_memory import CHECK_INTERVAL
from yardbank.platform.memory_budget import (
    GUARANTEED_OCTETS,
    MAX_MESSAGE_WAIT,
    MIN_SHARED_OCTETS,
    STALL_TIME,
    MemoryBudget,
    Reservation,
)

LARGE = query(WRITE.replace("9f03", "9f" * 60_000))
ANNOUNCED_ONLY = b"Q" + (131_000).to_bytes(4, "big") + b"/* id="
LONGEST_WAIT = (MAX_MESSAGE_WAIT + CHECK_INTERVAL) / SECOND
REFUSED = b"C53300\0"


def world_with(shared):
    """A world in which all connections together may occupy ``shared`` octets beyond what is guaranteed to each."""
    return World(connections=200, budget=MemoryBudget(shared, GUARANTEED_OCTETS))


def advance(world, seconds):
    """Lets time pass in small steps, as the reactor does."""
    for _ in range(round(seconds / 0.01)):
        world.clock.advance(0.01)


def stalled_clients(world, count):
    """Clients that announce a large message, send its beginning and stop."""
    made = [world.connect() for _ in range(count)]
    for client, _ in made:
        client.dataReceived(ANNOUNCED_ONLY)
    return made


def send(client, transport, octets):
    """Passes octets to a connection as far as it is read, in pieces that it asks for; returns what is left unread."""
    while octets and transport.producerState == "producing":
        piece, octets = octets[: transport.read_size], octets[transport.read_size :]
        client.dataReceived(piece)
    return octets


# Guards against clients that stop in the middle of a message and keep the memory from others until they are closed.
@pytest.mark.parametrize("count", [3, 60])
def test_a_large_write_does_not_wait_for_clients_that_have_stopped_within_a_message(count):
    world = world_with(MIN_SHARED_OCTETS)
    stalled_clients(world, count)
    usual, transport = world.connect()
    left = send(usual, transport, LARGE)
    assert left and transport.producerState == "paused"
    advance(world, (STALL_TIME + 2 * CHECK_INTERVAL) / SECOND)
    assert send(usual, transport, left) == b""
    held, receiver = world.backend.out[0]
    assert held.statement.id == "a2"
    receiver.attempt_done(Reply("ok", b"x"))
    assert answers_in(transport) == b"x" + READY


# Guards against a request that is answered after its time because nothing bounds its wait for memory.
def test_a_large_write_that_finds_no_memory_is_refused_in_time_and_its_connection_goes_on():
    world = world_with(MIN_SHARED_OCTETS)
    for number in range(2):  # their requests hold the memory for longer than the other one may wait
        busy, wire = world.connect()
        assert send(busy, wire, LARGE.replace(b"id=a2", b"id=b%d" % number)) == b""
    usual, transport = world.connect()
    left = send(usual, transport, LARGE + query(READ.replace("7f3a", "other")))
    advance(world, LONGEST_WAIT)
    assert transport.producerState == "producing" and answers_in(transport) == b""  # its last octet is not read yet
    assert send(usual, transport, left) == b""
    assert REFUSED in transport.value() and transport.value().count(READY) == 1
    assert [held.statement.id for held, _ in world.backend.out] == ["b0", "b1", "a1"]
    world.backend.out[2][1].attempt_done(Reply("ok", b"x"))
    assert transport.value().endswith(b"x" + READY)


def test_a_client_that_goes_on_with_a_discarded_message_is_refused_in_the_order_of_its_commands():
    world = world_with(MIN_SHARED_OCTETS)
    slow, wire = world.connect()
    slow.dataReceived(query(READ.replace("7f3a", "slow")) + LARGE[:2000])
    stalled_clients(world, 1)
    usual, transport = world.connect()
    left = send(usual, transport, LARGE.replace(b"id=a2", b"id=u1"))
    advance(world, LONGEST_WAIT)
    assert send(usual, transport, left) == b""
    assert send(slow, wire, LARGE[2000:]) == b""
    assert wire.value() == b""
    world.backend.out[0][1].attempt_done(Reply("ok", b"x"))
    assert wire.value().startswith(b"x" + READY) and REFUSED in wire.value() and wire.value().count(READY) == 2
    assert [held.statement.id for held, _ in world.backend.out] == ["a1", "u1"]


# Guards against a message that counts as stalled because its octets wait unread in the socket.
def test_a_message_whose_octets_are_unread_is_not_discarded():
    world = world_with(MIN_SHARED_OCTETS)
    (behind, wire), _ = stalled_clients(world, 2)
    wire.socket = SimpleNamespace(recv=lambda *_: b"v", fileno=lambda: -1)
    usual, transport = world.connect()
    left = send(usual, transport, LARGE)
    advance(world, (STALL_TIME + 2 * CHECK_INTERVAL) / SECOND)
    assert send(usual, transport, left) == b""
    assert behind._session.has_large_message and world.factory.memory.discarded == 1


# Guards against memory that a client holds after it has left, as a connection that is not read does not see its end.
def test_a_client_that_has_left_while_it_waits_for_memory_frees_what_it_holds():
    world = world_with(0)
    waiting = []
    for number in range(100):
        client, transport = world.connect()
        client.dataReceived(b"".join(query(WRITE.replace("a2", f"w{number}-{at}")) for at in range(30)))
        if transport.producerState == "paused":
            waiting.append((client, transport))
    client, transport = waiting[-1]
    transport.socket = SimpleNamespace(recv=lambda *_: b"")  # the end of the stream
    advance(world, 2 * CHECK_INTERVAL / SECOND)
    assert client._session.client_left and transport.producerState == "producing"
    client.connectionLost()
    assert client.number not in world.factory.memory.budget.waiting()


def test_the_invalid_length_of_a_message_behind_a_full_queue_is_an_error_and_waits_for_no_memory():
    world = World(connections=200)
    client, _ = world.connect()
    client.dataReceived(b"".join(query(READ.replace("a1", f"r{at}")) for at in range(256)) + b"Q\x7f\xff\xff\xff")
    world.finish_turns()
    assert len(client._session.pipeline) == 257  # the last one ends the connection once the others are answered
    assert world.factory.memory.budget.waits_for_message is False


# Guards against a connection that wants the length it was sent, which never fits, and keeps others from their turn.
def test_a_connection_that_will_end_for_an_invalid_message_wants_no_memory_for_it():
    world = World(connections=200)
    client, _ = world.connect()
    client.dataReceived(query(READ) + b"Q\x7f\xff\xff\xff")
    assert world.factory.memory.view()["waiting"] == 0 and client._session.memory_to_read().wanted < GUARANTEED_OCTETS


# Guards against a free piece of memory that nobody is told of, so that a message is refused though it would fit.
def test_memory_that_was_freed_while_its_next_user_was_busy_is_offered_again():
    world = world_with(MIN_SHARED_OCTETS)
    stalled_clients(world, 2)
    usual, transport = world.connect()
    left = send(usual, transport, LARGE)
    usual._advancing = True  # the offer meets a connection that does not take it
    for number in range(2):
        world.factory.memory.release(world.factory._connections[number])
    usual._advancing = False
    assert transport.producerState == "paused"
    advance(world, 2 * CHECK_INTERVAL / SECOND)
    assert send(usual, transport, left) == b"" and world.factory.memory.discarded == 0


def test_a_message_that_waits_for_memory_is_refused_when_the_gateway_stops():
    world = world_with(MIN_SHARED_OCTETS)
    stalled_clients(world, 3)
    usual, transport = world.connect()
    left = send(usual, transport, LARGE)
    transport.socket = SimpleNamespace(recv=lambda *_: left[:1], fileno=lambda: -1)  # the rest is unread
    world.factory.close_idle()
    assert world.gateway.stop(SECOND).called
    world.factory.close_all(lambda: None)
    assert transport.producerState == "producing" and not transport.disconnecting
    assert send(usual, transport, left) == b""
    assert b"C57P03\0" in transport.value() and not world.backend.out


def test_no_timer_runs_while_nothing_waits_for_memory():
    world = World(connections=200)
    client, transport = world.connect(START)
    assert send(client, transport, LARGE) == b""
    assert not world.factory.memory._is_check_scheduled


STEP = st.tuples(st.integers(0, 5), st.integers(1, 100), st.booleans(), st.booleans(), st.integers(0, 120))


@given(st.lists(STEP, max_size=60))
def test_no_message_waits_longer_than_it_may_and_none_in_progress_counts_as_stalled(steps):
    budget, now = MemoryBudget(100), 0
    waits, received = {}, {}
    for number, wanted, is_message, leaves, passed_ms in steps:
        now += passed_ms * MS
        if leaves:
            budget.release(number)
            fits = True
        else:
            fits = budget.reserve(number, Reservation(0, wanted, is_message, now if is_message else None), now)
        if fits or not is_message:
            waits.pop(number, None)
        else:
            waits.setdefault(number, now)
        received.pop(number, None)
        if fits and is_message and not leaves:
            received[number] = now
        assert budget.overdue(now) == [n for n, since in waits.items() if now - since >= MAX_MESSAGE_WAIT]
        assert set(budget.stalled(now)) == {n for n, at in received.items() if now - at >= STALL_TIME}
        assert budget.waits_for_message == bool(waits)
        assert budget.waiting()[: len(waits)] == list(waits)  # messages first, in order
