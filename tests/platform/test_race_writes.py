"""Races of a statement being written with the end of its connection, on real sockets."""

import socket
import struct
from types import SimpleNamespace

import pytest
from twisted.internet.error import ConnectionLost
from twisted.internet.task import Clock
from twisted.internet.tcp import Connection as TcpConnection
from twisted.internet.testing import StringTransport

from tests.support.platform import AUTHENTICATED, KINDS, READY, WRITE, Log, row
from yardbank.gateway import Limits, ServerSpec
from yardbank.gateway.api import MS, SECOND, NotSentError
from yardbank.gateway.attempt import Attempt
from yardbank.gateway.deadlines import Deadlines
from yardbank.gateway.server_link import ServerLink
from yardbank.platform.backend import Operation, ServerConnection
from yardbank.platform.statement import read_statement


class IdleReactor:
    """A reactor that never turns: buffered data stays until the test writes it."""

    def __init__(self):
        self.readers, self.writers = set(), set()
        self.addReader, self.addWriter = self.readers.add, self.writers.add
        self.removeReader, self.removeWriter = self.readers.discard, self.writers.discard

    def callLater(self, delay, call, *args):  # noqa: N802
        return SimpleNamespace(cancel=lambda: None, active=lambda: False)


class Server:
    """A server connection of the program over TCP with Twisted's transport; ``far`` is the server's end."""

    def __init__(self, ready=lambda made: None, lost=lambda reason: None):
        with socket.create_server(("127.0.0.1", 0)) as listening:
            near = socket.create_connection(listening.getsockname())
            self.far, _ = listening.accept()
        near.setblocking(False)
        self.reactor = IdleReactor()
        self.connection = ServerConnection(lambda: 0, ready, lost)
        self.transport = TcpConnection(near, self.connection, self.reactor)
        self.transport.connected = True
        self.transport.getPeer = self.transport.getHost = lambda: None
        self.connection.makeConnection(self.transport)
        self.transport.doWrite()  # the startup message
        assert b"backend" in self.far.recv(1000)

    def accept_startup(self):
        """The server accepts the startup."""
        self.connection.dataReceived(AUTHENTICATED)
        return self

    def reset(self):
        """The server's reset is in the socket before anything is read from it."""
        self.far.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.far.close()


def operation():
    return Operation(read_statement(WRITE, KINDS), 400 * MS)


def test_a_statement_is_written_when_submit_returns():
    server, asked = Server().accept_startup(), operation()
    server.connection.submit(asked, None)
    server.far.settimeout(30)
    assert asked.sent and b"INSERT" in server.far.recv(1000) and not server.reactor.writers


def test_a_statement_of_which_nothing_was_written_does_not_count_as_sent():
    server, asked = Server().accept_startup(), operation()
    server.reset()
    with pytest.raises(NotSentError):
        server.connection.submit(asked, None)
    assert not asked.sent and not server.connection.fit() and not server.reactor.writers


def test_a_partly_written_statement_counts_as_sent_and_the_rest_stays_buffered():
    server, asked = Server().accept_startup(), operation()
    write, taken = server.transport.writeSomeData, []
    server.transport.writeSomeData = lambda data: taken.append(write(data[:10])) or taken[-1]
    server.connection.submit(asked, None)
    assert asked.sent and taken == [10] and server.reactor.writers
    server.reset()
    server.transport.writeSomeData = write
    assert isinstance(server.transport.doWrite(), ConnectionLost) and asked.sent


def test_data_after_a_partial_write_is_queued_behind_the_rest():
    server = Server().accept_startup()
    write = server.transport.writeSomeData
    server.transport.writeSomeData = lambda data: write(data[:10])
    server.connection.submit(operation(), None)
    server.transport.writeSomeData = write
    server.connection._write_now(b"next")
    server.far.settimeout(30)
    assert server.far.recv(1000)[1:].startswith(b"\0\0\0") and server.reactor.writers
    server.transport.doWrite()
    assert server.far.recv(1000).endswith(b"next")


def test_a_transport_without_direct_writes_is_supported():
    made, transport = ServerConnection(lambda: 0, lambda made: None, lambda reason: None), StringTransport()
    asked = operation()
    transport.setTcpNoDelay = lambda on: None
    made.makeConnection(transport)
    made.dataReceived(AUTHENTICATED)
    made.submit(asked, None)
    assert asked.sent and b"INSERT" in transport.value()


class Servers:
    """Opens connections over sockets that are established when the test says so."""

    def __init__(self):
        self.made = []

    def connect(self, server, ready, lost):
        self.made.append(Server(ready, lost))
        return self.made[-1].transport.abortConnection


def test_nothing_is_written_to_a_connection_that_ends_right_after_its_startup():
    clock, servers, ends = Clock(), Servers(), []
    now = lambda: int(clock.seconds() * SECOND)  # noqa: E731
    link = ServerLink(
        ServerSpec("p", "2", "a", "h", 1, True),
        servers,
        Limits(multiplex=1),
        Deadlines(now, clock.callLater),
        now,
        Log(),
    )
    asked = operation()
    link.submit(Attempt(asked, now(), lambda *a: None, lambda *a: ends.append(a[0])), SECOND)
    servers.made[0].far.shutdown(socket.SHUT_WR)  # an orderly close: a write would succeed
    servers.made[0].accept_startup()
    assert ends == ["connect_failed"] and not asked.sent and link.connections == 0


def test_an_unsafe_request_of_which_nothing_was_written_never_ran_and_its_connection_is_closed():
    clock, servers, ends = Clock(), Servers(), []
    now = lambda: int(clock.seconds() * SECOND)  # noqa: E731
    link = ServerLink(
        ServerSpec("p", "2", "a", "h", 1, True),
        servers,
        Limits(multiplex=1),
        Deadlines(now, clock.callLater),
        now,
        Log(),
    )
    asked = operation()

    def ended(status, reply, reason):
        ends.append((status, link.connections))

    link.submit(Attempt(asked, now(), lambda *a: None, ended), SECOND)
    servers.made[0].reset()  # after the startup, and unread
    servers.made[0].connection.fit = lambda: True  # as if the reset arrived between the check and the write
    servers.made[0].accept_startup()
    assert ends == [("connect_failed", 0)] and not asked.sent
    link.submit(Attempt(asked, now(), lambda *a: None, ended), SECOND)
    servers.made[1].accept_startup()
    assert asked.sent and len(ends) == 1 and b"INSERT" in servers.made[1].far.recv(1000)
    servers.made[1].reset()
    servers.made[1].connection.connectionLost()
    assert [status for status, _ in ends] == ["connect_failed", "reset"] and link.connections == 0


def test_the_rest_of_an_abandoned_statement_is_not_written_and_a_late_answer_is_ignored():
    events = []
    server, asked = Server(lost=lambda reason: events.append("lost")).accept_startup(), operation()
    write = server.transport.writeSomeData
    server.transport.writeSomeData = lambda data: write(data[:10])
    receiver = SimpleNamespace(attempt_done=events.append, attempt_lost=events.append)
    number = server.connection.submit(asked, receiver)
    server.connection.abandon(number)
    assert not server.connection.fit() and events == []
    server.connection.dataReceived(row(tag="INSERT 0 1") + READY)
    server.connection.close()  # as when the gateway releases it
    assert events == ["lost"] and not server.reactor.writers and not server.reactor.readers
    assert len(server.far.recv(1000)) == 10 and asked.sent
