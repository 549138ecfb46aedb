"""A connection to a server over a real socket pair."""

import socket

from twisted.internet.testing import MemoryReactorClock, StringTransport

from tests.support.platform import AUTHENTICATED, KINDS, READ, READY, Log, parameter, row
from yardbank.gateway.api import MS, SECOND, ServerSpec
from yardbank.pg import messages as pg
from yardbank.platform.backend import Operation, PlatformBackend, ServerConnection
from yardbank.platform.statement import read_statement


class Pair:
    """A server connection over a socket pair, so that unread data can be checked."""

    def __init__(self):
        self.events = []
        self.near, self.far = socket.socketpair()
        self.near.setblocking(False)
        transport = StringTransport()
        transport.socket, transport.setTcpNoDelay = self.near, lambda on: None
        self.connection = ServerConnection(lambda: 0, lambda _: self.events.append("ready"), self.lost)
        self.connection.makeConnection(transport)
        self.transport = transport
        self.connection.dataReceived(AUTHENTICATED)
        transport.clear()

    def lost(self, reason):
        self.events.append("lost")

    def attempt_done(self, reply):
        self.events.append((reply.status, self.connection.fit()))

    def attempt_lost(self, reason):
        self.events.append("attempt lost")

    def attempt_part(self, payload, size):
        raise AssertionError("answers come whole")

    def submit(self, statement=READ):
        self.connection.submit(Operation(read_statement(statement, KINDS), 400 * MS), self)


def test_a_connection_is_usable_while_it_is_idle_and_silent():
    pair = Pair()
    assert pair.events == ["ready"] and pair.connection.fit()
    pair.submit()
    assert b"d=400," in pair.transport.value() and not pair.connection.fit()
    pair.connection.dataReceived(row() + READY)
    assert pair.events[1:] == [("ok", True)]
    pair.far.send(b"unasked")
    assert not pair.connection.fit()


def test_a_connection_that_the_server_closed_is_not_usable():
    pair = Pair()
    pair.far.close()
    assert not pair.connection.fit()


def test_a_duplicated_answer_is_never_given_to_the_next_request():
    pair = Pair()
    pair.submit()
    pair.connection.dataReceived(row() + READY + row())
    assert pair.events[1:] == [("ok", False), "lost"] and pair.transport.disconnecting
    pair.connection.dataReceived(READY)
    assert len(pair.events) == 3


def test_an_abandoned_attempt_closes_its_connection_and_an_invalid_answer_may_have_run():
    pair = Pair()
    pair.submit()
    pair.connection.abandon(0)
    pair.connection.dataReceived(row() + READY)
    assert pair.events[1:] == [] and not pair.connection.fit()  # abandoned is not lost
    pair.connection.close()
    assert pair.events[1:] == ["lost"] and pair.transport.disconnecting
    pair = Pair()
    pair.submit()
    pair.connection.dataReceived(b"\xff\xff\xff\xff\xff\xff")
    assert pair.events[1:] == [("error", False), "lost"] and pair.transport.disconnecting
    pair = Pair()
    pair.submit()
    pair.connection.connectionLost()
    assert pair.events[1:] == ["lost", "attempt lost"]


def test_a_probe_answered_without_a_readable_report_succeeds():
    pair, got = Pair(), []
    pair.connection.probe(got.append)
    pair.connection.dataReceived(row(b"x0=5,x1=1", "SHOW") + READY)
    pair.connection.probe(got.append)
    pair.connection.dataReceived(row(b"%%%", "SHOW") + READY)
    pair.connection.probe(got.append)
    pair.connection.dataReceived(pg.error("57P03", "starting").encode() + READY)
    assert got[0].primary and got[1].marks == {} and got[2] is None


def test_invalid_server_output_is_logged_at_most_once_a_second_with_a_count():
    reactor, log, now = MemoryReactorClock(), Log(), [0]
    backend = PlatformBackend(reactor, lambda: now[0], ("util",), log)

    def receive_report(at, gauges):
        now[0] = at
        backend.connect(ServerSpec("s-1", "2", "a", "h", 1), lambda _: None, lambda _: None)
        server, wire = reactor.tcpClients[-1][2].buildProtocol(None), StringTransport()
        wire.setTcpNoDelay = lambda on: None
        server.makeConnection(wire)
        server.dataReceived(AUTHENTICATED)
        server.submit(Operation(read_statement(READ, KINDS), at + 400 * MS), Pair())
        server.dataReceived(row() + parameter("gauges", gauges) + READY)

    receive_report(0, "utilization=0.5")  # a field that the settings do not name is ignored
    receive_report(1, "util=nan")
    receive_report(SECOND, "util=soon")
    receive_report(SECOND + 1, "util")
    assert log.lines == [
        ("server_answer_spoilt", {"server": "s-1", "problem": "load report in gauges: util", "spoilt": number})
        for number in (1, 3)
    ]
