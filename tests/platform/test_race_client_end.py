"""Crossings of a client's requests and its end, on real TCP sockets whose reactor turns only when told."""

import select

import pytest

from tests.support.client_sockets import GONE, Wire, arrives, go
from tests.support.platform import READ, WRITE, World, query
from yardbank.gateway import Reply
from yardbank.platform import client
from yardbank.platform.pipeline import MAX_OPEN


@pytest.fixture
def wire():
    made = Wire(replicas=4)
    yield made
    made.close()


ENDS = ["closed", "half closed", "reset"]


@pytest.mark.parametrize("unread", [False, True], ids=["nothing unread", "octets before the end"])
@pytest.mark.parametrize("how", ENDS)
def test_a_client_is_not_there_once_the_system_knows_its_end(wire, how, unread):
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


def test_without_poll_or_a_socket_a_client_counts_as_there(wire, monkeypatch):
    far, near = wire.client()
    monkeypatch.delattr(select, "poll")
    far.sendall(b"Q")
    wire.until(lambda: near.unread() or near.owes())
    assert near.present()
    monkeypatch.undo()
    held = World()
    made, _ = held.connect()
    assert made.present()


@pytest.mark.parametrize("how", ENDS)
@pytest.mark.parametrize("queued", [40, 3 * client.MAX_QUEUED])
def test_requests_queued_behind_one_are_not_sent_on_once_the_client_has_gone(wire, how, queued):
    far, near = wire.client()
    pipelined = b"".join(query(READ.replace("a1", f"q{n}")) for n in range(queued))
    far.sendall(pipelined)
    wire.until(lambda: len(near._session.pipeline) >= min(queued, client.MAX_QUEUED))
    assert len(wire.backend.out) == MAX_OPEN
    go(far, how)
    arrives(near, GONE)
    wire.backend.out[0][1].attempt_done(Reply("ok", b"first"))  # the reactor has had no turn since the end came
    assert len(wire.backend.out) == MAX_OPEN
    wire.until(lambda: near.transport.disconnected)
    assert len(wire.backend.out) == MAX_OPEN and wire.gateway.unanswered == 0 and not wire.factory.open_ids


@pytest.mark.parametrize("how", ENDS)
def test_the_end_of_a_client_with_requests_queued_is_read_while_one_is_open(wire, how):
    far, near = wire.client()
    far.sendall(b"".join(query(READ.replace("a1", f"q{n}")) for n in range(100)))
    wire.until(lambda: len(near._session.pipeline) == 100)
    go(far, how)
    wire.until(lambda: wire.gateway.counts["left"] == MAX_OPEN)
    assert wire.gateway.unanswered == 0


@pytest.mark.parametrize("how", ENDS)
def test_nothing_is_sent_on_for_a_client_that_did_not_read_and_goes(wire, how):
    far, near = wire.client()
    near.pauseProducing()  # as the transport says when it holds too much
    far.sendall(query(READ) + query(WRITE))
    wire.until(lambda: len(near._session.pipeline) == 2)
    go(far, how)
    arrives(near, GONE)
    near.resumeProducing()
    assert not wire.backend.out
    wire.until(lambda: near.transport.disconnected)
    assert not wire.backend.out


@pytest.mark.parametrize("how", ENDS)
def test_a_client_that_is_not_read_and_goes_is_read_to_its_end_once_the_gateway_asks(wire, how):
    far, near = wire.client()
    far.sendall(b"".join(query(READ.replace("a1", f"q{n}")) for n in range(3 * client.MAX_QUEUED)))
    wire.until(lambda: near._paused)
    go(far, how)
    arrives(near, GONE)
    assert not near.present()
    wire.until(lambda: near.transport.disconnected)
    assert wire.gateway.counts["left"] == MAX_OPEN and wire.gateway.unanswered == 0


def test_a_client_that_says_that_it_leaves_takes_its_open_request_back(wire):
    far, near = wire.client()
    far.sendall(query(READ) + query(WRITE) + b"X\0\0\0\4")
    wire.until(lambda: near.ending)
    assert wire.gateway.unanswered == 0 and not wire.factory.open_ids and len(wire.backend.out) == 0
    far, near = wire.client()
    far.sendall(query(READ))
    wire.until(lambda: len(wire.backend.out) == 1)
    far.sendall(b"X\0\0\0\4")
    wire.until(lambda: wire.gateway.counts["left"] == 1)
    assert wire.gateway.unanswered == 0 and not wire.factory.open_ids


def test_what_waits_on_one_connection_is_bounded_by_count_and_by_octets(wire):
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
        if near._paused:
            break
    assert near.transport not in wire.reactor.getReaders() and unsent
    assert len(near._session.pipeline) < client.MAX_QUEUED
    assert near._session.pipeline.unanswered_octets < client.MAX_QUEUED_OCTETS + client.MAX_MESSAGE
    assert [event for event, _ in wire.log.lines].count("client_queue_bound") == 1
