"""How client connections end: no request sent on an open connection goes unanswered."""

import json
import signal
import socket
import threading

import pytest
from twisted.internet.testing import StringTransport

from tests.platform.test_server_connections import Pair
from tests.support.platform import KINDS, READ, READY, START, WRITE, World, query
from tests.support.platform_process import serving
from yardbank.gateway import Reply
from yardbank.platform.admission import State
from yardbank.platform.backend import Operation
from yardbank.platform.client import EMPTY_QUERY_ANSWER
from yardbank.platform.statement import read_statement

UNLOADED = (
    "peers",
    "lease",
    "channels",
    "rollout",
    "atlas",
    "config",
    "plan",
    "rig",
    "state",
    "ldap",
    "spread",
    "joint",
)


class SocketWorld(World):
    """Connections over socket pairs, so that unread data can be checked; ``far`` is the client's end."""

    def connect(self, first=START):
        made, transport = self.factory.buildProtocol(None), StringTransport()
        transport.socket, transport.far = socket.socketpair()
        transport.socket.setblocking(False)
        transport.setTcpNoDelay = lambda on: None
        made.makeConnection(transport)
        if first:
            made.dataReceived(first)
        transport.clear()
        return made, transport


def test_stop_closes_idle_connections_at_once_and_busy_ones_once_answered():
    world = World()
    idle, busy = world.connect(START + query("")), world.connect()
    busy[0].dataReceived(query(READ))
    world.factory.close_idle()
    assert idle[1].disconnecting and not busy[1].disconnecting
    world.backend.out[0][1].attempt_done(Reply("ok", b"last"))
    assert busy[1].value() == b"last" + READY and busy[1].disconnecting
    assert not idle[1].value()  # a client that was answered before repeats a request that crosses the close
    assert world.factory.counts["closed_unanswered"] == 0


@pytest.mark.parametrize("first", [b"", START[:5], START], ids=["silent", "partial startup", "no request"])
def test_close_tells_a_client_that_was_never_answered_that_nothing_ran(first):
    for late in (False, True):
        world = World()
        made, transport = world.connect(first)
        if late:
            for _ in range(44):
                world.clock.advance(0.25)
        else:
            world.factory.close_idle()
            world.factory.close_all(lambda: None)
        assert b"C57P03\0" in transport.value() and b"D250\0" in transport.value() and transport.disconnecting
        made.connectionLost()
        assert world.factory.counts["closed_unanswered"] == 0


def test_stop_waits_for_the_rest_of_a_partial_request_and_refuses_it():
    world = World()
    made, transport = world.connect(START + query(""))
    made.dataReceived(query(READ)[:30])
    world.factory.close_idle()
    world.gateway.stop()
    assert not transport.disconnecting
    made.dataReceived(query(READ)[30:])
    assert b"C53300\0" in transport.value() and transport.value().endswith(READY) and transport.disconnecting


def test_a_request_that_stays_partial_gets_a_final_message():
    world = World()
    made, transport = world.connect(START + query(""))
    made.dataReceived(query(READ)[:30])
    world.factory.close_idle()
    world.factory.close_all(lambda: None)
    assert b"C57P03\0" in transport.value() and transport.disconnecting


def test_stop_drops_no_request_of_a_client_that_reads_late():
    world = World()
    made, transport = world.connect()
    made.dataReceived(query(READ) + query(READ.replace("a1", "a3")))
    made.pauseProducing()  # its answers are not read, and its first request is sent
    made.dataReceived(b"")
    assert world.factory.admission.count(State.STUCK) == 1
    world.factory.close_idle()
    assert not transport.disconnecting
    world.backend.out[0][1].attempt_done(Reply("ok", b"first"))
    made.resumeProducing()
    world.backend.out[1][1].attempt_done(Reply("ok", b"second"))
    assert transport.value() == b"first" + READY + b"second" + READY and transport.disconnecting


@pytest.mark.parametrize("end", ["stop", "last look", "idle for long"])
def test_unread_requests_are_served_before_a_connection_is_closed(end):
    world = SocketWorld()
    made, transport = world.connect(START + query(""))
    other, _ = world.connect(START + query(""))
    transport.far.send(query(READ))
    if end == "idle for long":
        for _ in range(44):
            world.clock.advance(0.25)
    else:
        world.factory.close_idle()
    if end == "last look":
        world.factory.close_all(lambda: None)
    assert other.transport.disconnecting and not transport.disconnecting
    made.dataReceived(transport.socket.recv(1000))
    world.backend.out[0][1].attempt_done(Reply("ok", b"x"))
    assert transport.value() == b"x" + READY and transport.disconnecting == (end != "idle for long")


def test_a_request_that_arrives_during_the_last_answer_is_answered():
    world = SocketWorld()
    made, transport = world.connect()
    made.dataReceived(query(READ))
    world.factory.close_idle()
    world.gateway.stop()
    transport.far.send(query(READ))
    world.backend.out[0][1].attempt_done(Reply("ok", b"x"))
    assert transport.value() == b"x" + READY and not transport.disconnecting
    made.dataReceived(transport.socket.recv(1000))
    assert b"C53300\0" in transport.value() and transport.disconnecting


def test_a_failed_request_that_was_never_sent_is_refused_and_counted():
    for sent, code in ((False, b"C53300\0"), (True, b"C58000\0")):
        world = World()
        made, transport = world.connect()
        made.dataReceived(query(WRITE))
        operation, receiver = world.backend.out[0]
        operation.sent = sent
        receiver.attempt_lost("gone")
        assert code in transport.value() and transport.value().endswith(READY)
        assert world.factory.counts["failed_unsent"] == (not sent)


def test_an_operation_counts_as_sent_only_once_it_is_written():
    pair = Pair()
    operation = Operation(read_statement(WRITE, KINDS), 1 << 40)
    assert not operation.sent
    pair.connection.submit(operation, pair)
    assert operation.sent


def test_an_aborted_connection_with_an_open_request_is_counted():
    world = World()
    made, transport = world.connect()
    made.pauseProducing()
    made.dataReceived(query(READ))
    world.clock.advance(3.5)
    assert transport.disconnecting and world.factory.counts["closed_unanswered"] == 1


def answer(client, octets):
    """Sends octets and returns what arrives up to ReadyForQuery or the end."""
    got = b""
    try:
        client.sendall(octets)
        while not got.endswith(READY) and (more := client.recv(1 << 16)):
            got += more
    except ConnectionError:
        pass
    return got


@pytest.mark.parametrize("clients", [12])
def test_every_open_connection_is_answered_until_the_program_exits(tmp_path, clients):
    process, port, lines, _watch = serving(tmp_path, "-X", "importtime")
    ends = {}

    def keep_asking(number, client, in_halves):
        """Sends requests until the connection ends; the last entry is what arrived before the end."""
        got = [answer(client, START + query(""))]
        while got[-1].endswith(READY):
            if in_halves:
                client.sendall(query(READ)[:20])
            got.append(answer(client, query(READ)[20 if in_halves else 0 :]))
        ends[number] = got

    try:
        asking = []
        for number in range(clients):
            client = socket.create_connection(("127.0.0.1", port), timeout=30)
            asking.append(threading.Thread(target=keep_asking, args=(number, client, number % 2)))
        idle = socket.create_connection(("127.0.0.1", port), timeout=30)
        assert answer(idle, START + query("")).endswith(EMPTY_QUERY_ANSWER)
        for thread in asking:
            thread.start()
        process.send_signal(signal.SIGTERM)
        late = socket.create_connection(("127.0.0.1", port), timeout=30)  # still accepted and served
        assert answer(late, START + query("")).endswith(EMPTY_QUERY_ANSWER)
        for thread in asking:
            thread.join()
        assert idle.recv(1000) == b"" and late.recv(1000) == b""
        lines += process.stderr.readlines()
        assert process.wait(30) == 0
    finally:
        process.kill()
        process.wait()
    for got in ends.values():
        assert got[0].endswith(EMPTY_QUERY_ANSWER) and all(b"C53300\0" in each for each in got[1:-1])
        assert got[-1] == b"" or b"C57P03\0" in got[-1]  # crossed the close: may be repeated, or never ran
    ended = json.loads(next(line for line in lines if b'"ended"' in line))
    assert ended["closed_unanswered"] == ended["failed_unsent"] == 0
    loaded = {line.rpartition(b"|")[2].strip().decode() for line in lines if line.startswith(b"import time:")}
    assert "yardbank.platform.service" in loaded
    assert not [name for name in loaded if name.startswith(tuple(f"yardbank.{part}" for part in UNLOADED))]
