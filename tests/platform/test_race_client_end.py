"""Races of a client's requests with its disconnect, on TCP sockets whose reactor turns only when told."""

import select

import pytest

from tests.support.client_sockets import GONE, Wire, arrives, go, readable
from tests.support.platform import READ, READY, WRITE, World, query
from yardbank.gateway import Reply
from yardbank.gateway.api import SECOND
from yardbank.platform import client
from yardbank.platform.pipeline import MAX_OPEN
from yardbank.platform.presence_checks import CHECK_INTERVAL


@pytest.fixture
def wire():
    made = Wire(replicas=4)
    yield made
    made.close()


DISCONNECTS = ["closed", "half closed", "reset"]


@pytest.mark.parametrize("unread", [False, True], ids=["nothing unread", "unread data"])
@pytest.mark.parametrize("how", DISCONNECTS)
def test_a_client_is_not_present_once_the_system_knows_its_disconnect(wire, how, unread):
    far, near = wire.client()
    assert near.present()
    if unread:
        far.sendall(query(READ))
        arrives(near, select.POLLIN)
        assert near.present()
    go(far, how)
    arrives(near, GONE)
    assert not near.present()
    assert not wire.backend.out
    wire.until(lambda: near.transport.disconnected)
    assert not wire.backend.out and len(wire.factory.admission) == 0


def test_without_poll_or_a_socket_a_client_counts_as_present(wire, monkeypatch):
    far, near = wire.client()
    monkeypatch.delattr(select, "poll")
    far.sendall(b"Q")
    wire.until(lambda: near.unread() or near.has_unfinished_request())
    assert near.present()
    monkeypatch.undo()
    held = World()
    made, _ = held.connect()
    assert made.present()


@pytest.mark.parametrize("how", DISCONNECTS)
@pytest.mark.parametrize("queued", [40, 3 * client.MAX_QUEUED])
def test_queued_requests_are_not_sent_after_the_client_disconnects(wire, how, queued):
    far, near = wire.client()
    pipelined = b"".join(query(READ.replace("a1", f"q{n}")) for n in range(queued))
    far.sendall(pipelined)
    wire.until(lambda: len(near._session.pipeline) >= min(queued, client.MAX_QUEUED))
    assert len(wire.backend.out) == MAX_OPEN
    go(far, how)
    arrives(near, GONE)
    wire.backend.out[0][1].attempt_done(Reply("ok", b"first"))  # no reactor turn since the disconnect
    assert len(wire.backend.out) == MAX_OPEN
    wire.until(lambda: near.transport.disconnected)
    assert len(wire.backend.out) == MAX_OPEN and wire.gateway.unanswered == 0 and not wire.factory.open_ids


@pytest.mark.parametrize("how", DISCONNECTS)
def test_a_disconnect_is_noticed_while_a_request_is_open_and_others_are_queued(wire, how):
    far, near = wire.client()
    far.sendall(b"".join(query(READ.replace("a1", f"q{n}")) for n in range(100)))
    wire.until(lambda: len(near._session.pipeline) == 100)
    go(far, how)
    wire.until(lambda: wire.gateway.counts["left"] == MAX_OPEN)
    assert wire.gateway.unanswered == 0


@pytest.mark.parametrize("how", DISCONNECTS)
def test_nothing_is_sent_for_a_client_that_does_not_read_and_disconnects(wire, how):
    far, near = wire.client()
    near.pauseProducing()  # called by the transport when too much is unsent
    far.sendall(query(READ) + query(WRITE))
    wire.until(lambda: len(near._session.pipeline) == 2)
    go(far, how)
    arrives(near, GONE)
    near.resumeProducing()
    assert not wire.backend.out
    wire.until(lambda: near.transport.disconnected)
    assert not wire.backend.out


@pytest.mark.parametrize("how", DISCONNECTS)
def test_a_presence_check_resumes_reading_of_a_paused_client_that_disconnected(wire, how):
    far, near = wire.client()
    far.sendall(b"".join(query(READ.replace("a1", f"q{n}")) for n in range(3 * client.MAX_QUEUED)))
    wire.until(lambda: near._reading_paused)
    go(far, how)
    arrives(near, GONE)
    assert not near.present()
    wire.until(lambda: near.transport.disconnected)
    assert wire.gateway.counts["left"] == MAX_OPEN and wire.gateway.unanswered == 0


def send_until_blocked(far, octets):
    """Sends all that both sockets hold while nothing is read, and at least the first queue of commands."""
    far.setblocking(False)
    while True:
        try:
            octets = octets[far.send(octets) :]
        except BlockingIOError:
            return


# Guards against requests that are sent on after their client has closed, as its end waits behind what the sockets hold.
@pytest.mark.parametrize("how", ["closed", "reset"])
def test_a_disconnect_behind_more_data_than_the_sockets_hold_is_noticed(wire, how):
    far, near = wire.client()
    send_until_blocked(far, b"".join(query(READ.replace("a1", f"q{n}")) for n in range(100_000)))
    wire.until(lambda: near._reading_paused)
    send_until_blocked(far, query(READ.replace("7f3a", "f" * 256)) * 30_000)
    assert len(wire.backend.out) == MAX_OPEN and near.present()
    go(far, how)
    wire.clock.advance(CHECK_INTERVAL / SECOND)
    wire.reactor.iterate(0)
    arrives(near, GONE)
    assert not near.present()
    wire.backend.out[-1][1].attempt_done(Reply("ok", b"not the first in the row, so that nothing is written"))
    wire.clock.advance(CHECK_INTERVAL / SECOND)
    assert len(wire.backend.out) == MAX_OPEN and wire.gateway.unanswered == 0 and not wire.factory.open_ids


def test_a_client_whose_connection_is_not_read_and_who_stays_gets_messages_that_it_skips_and_all_answers(wire):
    far, near = wire.client()
    far.sendall(b"".join(query(READ.replace("a1", f"q{n}").replace("7f3a", f"k{n}")) for n in range(client.MAX_QUEUED)))
    wire.until(lambda: near._reading_paused)
    for _ in range(5):
        wire.clock.advance(CHECK_INTERVAL / SECOND)
        wire.until(lambda: not near.transport.unsent)
    for n in range(client.MAX_QUEUED):
        wire.until(lambda n=n: len(wire.backend.out) > n)
        wire.backend.out[n][1].attempt_done(Reply("ok", b"."))
    received = b""
    while received.count(READY) < client.MAX_QUEUED:
        wire.until(lambda: readable(far))
        received += far.recv(1 << 16)
    assert received.startswith(client.PRESENCE_PROBE)
    assert received.replace(client.PRESENCE_PROBE, b"") == (b"." + READY) * client.MAX_QUEUED
    before = len(received)
    wire.clock.advance(10 * CHECK_INTERVAL / SECOND)
    wire.reactor.iterate(0)
    assert len(received) == before and not readable(far, 0)  # a connection that is read gets none


def test_terminate_withdraws_the_open_request(wire):
    far, near = wire.client()
    far.sendall(query(READ) + query(WRITE) + b"X\0\0\0\4")
    wire.until(lambda: near.is_closing)
    assert wire.gateway.unanswered == 0 and not wire.factory.open_ids and len(wire.backend.out) == 0
    far, near = wire.client()
    far.sendall(query(READ))
    wire.until(lambda: len(wire.backend.out) == 1)
    far.sendall(b"X\0\0\0\4")
    wire.until(lambda: wire.gateway.counts["left"] == 1)
    assert wire.gateway.unanswered == 0 and not wire.factory.open_ids


def test_the_queue_of_one_connection_is_limited_by_count_and_by_octets(wire):
    far, near = wire.client()
    far.setblocking(False)
    large = WRITE.replace("9f03", "9f" * (60 << 10))
    unsent = b"".join(query(large.replace("id=a2", f"id=w{n}")) for n in range(100))
    for _ in range(10_000):
        try:
            unsent = unsent[far.send(unsent) :]
        except BlockingIOError:
            pass
        wire.reactor.iterate(0)
        if near._reading_paused:
            break
    assert near.transport not in wire.reactor.getReaders() and unsent
    assert len(near._session.pipeline) < client.MAX_QUEUED
    assert near._session.pipeline.unanswered_octets < client.MAX_QUEUED_OCTETS + client.MAX_MESSAGE_OCTETS
    assert [event for event, _ in wire.log.lines].count("client_queue_bound") == 1
