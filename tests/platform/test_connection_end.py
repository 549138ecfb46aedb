"""How connections of clients end: no request that a client sent on an open one is swallowed."""

import json
import signal
import socket
import threading

import pytest
from twisted.internet.testing import StringTransport

from tests.platform.test_server_connections import Pair
from tests.support.platform import KINDS, READ, READY, START, WRITE, World, query, serving
from yardbank.gateway import Reply
from yardbank.platform.admission import State
from yardbank.platform.backend import Operation
from yardbank.platform.client import EMPTY
from yardbank.platform.statement import read_statement

ABSENT = ("peers", "lease", "channels", "rollout", "atlas", "config", "plan", "rig", "state", "ldap", "spread", "joint")


class Sockets(World):
    """Connections whose unread octets can be looked at; ``far`` is the client's end."""

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


def test_a_gateway_that_stops_closes_idle_connections_and_the_others_once_answered():
    world = World()
    idle, busy = world.connect(START + query("")), world.connect()
    busy[0].dataReceived(query(READ))
    world.factory.close_idle()
    assert idle[1].disconnecting and not busy[1].disconnecting
    world.backend.out[0][1].attempt_done(Reply("ok", b"last"))
    assert busy[1].value() == b"last" + READY and busy[1].disconnecting
    assert not idle[1].value()  # a request that crosses this is sent again
    assert world.factory.counts["closed_unanswered"] == 0


@pytest.mark.parametrize("first", [b"", START[:5], START], ids=["silent", "half a word", "nothing asked"])
def test_one_that_was_never_answered_is_told_that_nothing_ran(first):
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


def test_half_a_request_is_waited_for_and_what_comes_while_stopping_is_refused():
    world = World()
    made, transport = world.connect(START + query(""))
    made.dataReceived(query(READ)[:30])
    world.factory.close_idle()
    world.gateway.stop()
    assert not transport.disconnecting
    made.dataReceived(query(READ)[30:])
    assert b"C53300\0" in transport.value() and transport.value().endswith(READY) and transport.disconnecting


def test_half_a_request_that_stays_half_is_told_so():
    world = World()
    made, transport = world.connect(START + query(""))
    made.dataReceived(query(READ)[:30])
    world.factory.close_idle()
    world.factory.close_all(lambda: None)
    assert b"C57P03\0" in transport.value() and transport.disconnecting


def test_a_stop_swallows_no_request_of_a_client_that_reads_late():
    world = World()
    made, transport = world.connect()
    made.dataReceived(query(READ) + query(READ.replace("a1", "a3")))
    made.pauseProducing()  # it is stuck, and its first request is out
    made.dataReceived(b"")
    assert world.factory.admission.count(State.STUCK) == 1
    world.factory.close_idle()
    assert not transport.disconnecting
    world.backend.out[0][1].attempt_done(Reply("ok", b"first"))
    made.resumeProducing()
    world.backend.out[1][1].attempt_done(Reply("ok", b"second"))
    assert transport.value() == b"first" + READY + b"second" + READY and transport.disconnecting


@pytest.mark.parametrize("end", ["stop", "last look", "idle for long"])
def test_what_waits_in_the_socket_is_read_before_a_connection_is_closed(end):
    world = Sockets()
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


def test_what_comes_while_the_last_answer_goes_out_is_answered_too():
    world = Sockets()
    made, transport = world.connect()
    made.dataReceived(query(READ))
    world.factory.close_idle()
    world.gateway.stop()
    transport.far.send(query(READ))
    world.backend.out[0][1].attempt_done(Reply("ok", b"x"))
    assert transport.value() == b"x" + READY and not transport.disconnecting
    made.dataReceived(transport.socket.recv(1000))
    assert b"C53300\0" in transport.value() and transport.disconnecting


def test_a_request_that_never_went_out_is_refused_whatever_is_said_of_it_and_counted():
    for sent, code in ((False, b"C53300\0"), (True, b"C58000\0")):
        world = World()
        made, transport = world.connect()
        made.dataReceived(query(WRITE))
        operation, receiver = world.backend.out[0]
        operation.sent = sent
        receiver.attempt_lost("gone")
        assert code in transport.value() and transport.value().endswith(READY)
        assert world.factory.counts["failed_unsent"] == (not sent)


def test_an_operation_is_sent_once_it_is_written_and_not_before():
    pair = Pair()
    operation = Operation(read_statement(WRITE, KINDS), 1 << 40)
    assert not operation.sent
    pair.connection.submit(operation, pair)
    assert operation.sent


def test_a_connection_that_is_cut_with_a_request_on_it_is_counted():
    world = World()
    made, transport = world.connect()
    made.pauseProducing()
    made.dataReceived(query(READ))
    world.clock.advance(3.5)
    assert transport.disconnecting and world.factory.counts["closed_unanswered"] == 1


def answer(client, octets):
    """Send; what comes up to ReadyForQuery, or to the end."""
    got = b""
    try:
        client.sendall(octets)
        while not got.endswith(READY) and (more := client.recv(1 << 16)):
            got += more
    except ConnectionError:
        pass
    return got


@pytest.mark.parametrize("clients", [12])
def test_until_it_is_gone_the_program_answers_on_every_connection_that_it_leaves_open(tmp_path, clients):
    process, port, lines, _ = serving(tmp_path, 9, "-X", "importtime")
    ends = {}

    def ask_on(number, client, halves):
        """Ask as long as the connection is there; the last is None or what came before the end."""
        got = [answer(client, START + query(""))]
        while got[-1].endswith(READY):
            if halves:
                client.sendall(query(READ)[:20])
            got.append(answer(client, query(READ)[20 if halves else 0 :]))
        ends[number] = got

    try:
        asking = []
        for number in range(clients):
            client = socket.create_connection(("127.0.0.1", port), timeout=30)
            asking.append(threading.Thread(target=ask_on, args=(number, client, number % 2)))
        idle = socket.create_connection(("127.0.0.1", port), timeout=30)
        assert answer(idle, START + query("")).endswith(EMPTY)
        for thread in asking:
            thread.start()
        process.send_signal(signal.SIGTERM)
        late = socket.create_connection(("127.0.0.1", port), timeout=30)  # it still comes, and is served
        assert answer(late, START + query("")).endswith(EMPTY)
        for thread in asking:
            thread.join()
        assert idle.recv(1000) == b"" and late.recv(1000) == b""
        lines += process.stderr.readlines()
        assert process.wait(30) == 0
    finally:
        process.kill()
        process.wait()
    for got in ends.values():
        assert got[0].endswith(EMPTY) and all(b"C53300\0" in each for each in got[1:-1])
        assert got[-1] == b"" or b"C57P03\0" in got[-1]  # it crossed the end: it may be sent again, or is told so
    ended = json.loads(next(line for line in lines if b'"ended"' in line))
    assert ended["closed_unanswered"] == ended["failed_unsent"] == 0
    loaded = {line.rpartition(b"|")[2].strip().decode() for line in lines if line.startswith(b"import time:")}
    assert "yardbank.platform.service" in loaded
    assert not [name for name in loaded if name.startswith(tuple(f"yardbank.{part}" for part in ABSENT))]
