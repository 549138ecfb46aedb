"""Links to servers: attempts that end, connections that are reopened or closed."""

import socket
from types import SimpleNamespace

import pytest
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport

from tests.support.platform import AUTHENTICATED, KINDS, READ, READY, WRITE, Backend, Log, row
from yardbank.gateway import Call, Gateway, Limits, Reply, ServerSpec
from yardbank.gateway.api import LOST_DURING_CONNECT, MS, SECOND
from yardbank.gateway.attempt import Attempt
from yardbank.gateway.deadlines import Deadlines
from yardbank.gateway.positions import ClockPositions
from yardbank.gateway.server_link import ServerLink
from yardbank.interface import Settings
from yardbank.pg import messages as pg
from yardbank.platform.backend import Operation, ServerConnection
from yardbank.platform.statement import read_statement


class Servers(Backend):
    """Real server connections over string transports; the test plays the servers."""

    def __init__(self, now):
        self.now, self.connections = now, []

    def connect(self, server, ready, lost):
        near, far = socket.socketpair()
        near.setblocking(False)
        transport = StringTransport()
        transport.socket, transport.far, transport.setTcpNoDelay = near, far, lambda on: None
        made = ServerConnection(self.now, ready, lost)
        self.connections.append((made, transport))
        made.makeConnection(transport)
        made.dataReceived(AUTHENTICATED)
        transport.clear()
        return transport.abortConnection


def open_link():
    clock = Clock()
    servers = Servers(lambda: int(clock.seconds() * SECOND))
    link = ServerLink(
        ServerSpec("p", "2", "a", "h", 1, True),
        servers,
        Limits(multiplex=1),
        Deadlines(servers.now, clock.callLater),
        servers.now,
        Log(),
    )
    return clock, servers, link


@pytest.mark.parametrize(("end", "status"), [("cancel", "cancelled"), ("time", "timeout"), ("loss", "reset")])
def test_the_connection_of_an_ended_attempt_is_not_reused(end, status):
    clock, servers, link = open_link()
    ends, operation = [], Operation(read_statement(READ, KINDS), 400 * MS)

    def ended(how, reply, reason):
        ends.append(how)  # the next attempt is sent from this callback
        link.submit(Attempt(operation, servers.now(), lambda *a: None, lambda *a: ends.append(a[0])), 800 * MS)

    attempt = Attempt(operation, servers.now(), lambda *a: None, ended)
    link.submit(attempt, 300 * MS)
    if end == "cancel":
        link.cancel(attempt)
    elif end == "time":
        clock.advance(0.3)
    else:
        servers.connections[0][0].connectionLost()
    assert ends == [status] and len(servers.connections) == 2 and servers.connections[0][1].disconnecting
    servers.connections[0][0].dataReceived(row() + READY)  # a late answer
    servers.connections[1][0].dataReceived(row() + READY)
    assert ends == [status, "ok"] and link.connections == 1


def test_a_connection_that_broke_while_idle_is_replaced_before_a_request_is_written():
    _, servers, link = open_link()
    ends, operation = [], Operation(read_statement(WRITE, KINDS), 400 * MS)
    for turn in range(3):
        link.submit(Attempt(operation, servers.now(), lambda *a: None, lambda *a: ends.append(a[0])), 300 * MS)
        assert len(servers.connections) == turn + 1
        made, transport = servers.connections[-1]
        made.dataReceived(row(tag="INSERT 0 1") + READY)
        if turn:
            transport.far.close()
        else:
            transport.far.send(row())
    assert ends == ["ok"] * 3 and link.connections == 1


def test_at_the_server_connection_limit_the_longest_idle_one_is_closed():
    clock, bound = Clock(), 2
    servers = Servers(lambda: int(clock.seconds() * SECOND))
    gateway = Gateway(
        Settings(1, "a", 1, tuple(KINDS.values()), checks="refuse"),
        servers,
        reactor=clock,
        seconds=clock.seconds,
        wall=clock.seconds,
        log=Log(),
        limits=Limits(multiplex=1),
        positions=ClockPositions(),
        connections_bound=lambda: bound,
    )
    gateway.apply_list([ServerSpec(name, name, "a", "h", 1, True) for name in "123"])
    got = []
    sink = SimpleNamespace(served=lambda p: got.append("served"), refused=lambda w, r: got.append("refused"))

    def take(group):
        clock.advance(0.01)
        statement = read_statement(READ.replace("cluster=2", f"cluster={group}"), KINDS)
        gateway.take(Call("lookup", group, Operation(statement, gateway.now() + SECOND), sink))

    for group in "12":
        take(group)
        servers.connections[-1][0].dataReceived(row() + READY)
    take("3")
    assert [transport.disconnecting for _, transport in servers.connections] == [True, False, False]
    take("2")
    assert gateway.server_connections == 2 and len(servers.connections) == 3 and got == ["served"] * 2
    bound = 1
    take("1")  # both are in use: the decision module gets no connection
    assert len(servers.connections) == 3 and gateway.unanswered == 2 and got[2:] == ["refused"]


class ManualBackend:
    """A backend whose connections open, break or are refused when the test says so."""

    def __init__(self):
        self.tries = []

    def connect(self, server, ready, lost):
        self.tries.append((ready, lost))
        return lambda: None


def connecting_link():
    clock, ends = Clock(), []
    backend = ManualBackend()
    now = lambda: int(clock.seconds() * SECOND)  # noqa: E731
    link = ServerLink(
        ServerSpec("p", "2", "a", "h", 1, True),
        backend,
        Limits(multiplex=1),
        Deadlines(now, clock.callLater),
        now,
        Log(),
    )
    link.submit(Attempt("x", now(), lambda *a: None, lambda *a: ends.append(a[0])), SECOND)
    return clock, ends, backend, link


def test_a_connection_that_breaks_while_opening_is_opened_again_for_the_same_attempt():
    _, ends, backend, link = connecting_link()
    backend.tries[0][1](LOST_DURING_CONNECT)
    sent = []
    connection = SimpleNamespace(submit=lambda operation, receiver: sent.append(receiver) or 0, fit=lambda: True)
    backend.tries[1][0](connection)
    assert not ends and len(sent) == 1 and link.connections == 1
    sent[0].attempt_done(Reply("ok"))
    assert ends == ["ok"] and len(backend.tries) == 2


@pytest.mark.parametrize(
    "reasons", [["refused"], [LOST_DURING_CONNECT, LOST_DURING_CONNECT], [LOST_DURING_CONNECT, "refused"]]
)
def test_a_connect_that_is_refused_or_breaks_twice_fails(reasons):
    _, ends, backend, link = connecting_link()
    for reason in reasons:
        backend.tries[-1][1](reason)
    assert ends == ["connect_failed"] and len(backend.tries) == len(reasons) and link.connections == 0


class FailingBackend(ManualBackend):
    """A backend that loses each connection, or raises, before its ``connect`` returns."""

    def __init__(self, reason):
        super().__init__()
        self.reason = reason

    def connect(self, server, ready, lost):
        super().connect(server, ready, lost)
        if self.reason is None:
            raise OverflowError("port must be 0-65535")
        lost(self.reason)
        return lambda: None


# Guards against an attempt that waits until its deadline on a connection that was lost before the attempt was
# registered with it.
@pytest.mark.parametrize(("reason", "tries"), [("refused", 1), (LOST_DURING_CONNECT, 2), (None, 1)])
def test_attempts_and_probes_fail_at_once_if_their_connection_is_lost_while_opening(reason, tries):
    clock, ends, probed = Clock(), [], []
    backend = FailingBackend(reason)
    now = lambda: int(clock.seconds() * SECOND)  # noqa: E731
    link = ServerLink(
        ServerSpec("p", "2", "a", "h", 1, True),
        backend,
        Limits(multiplex=1),
        Deadlines(now, clock.callLater),
        now,
        Log(),
    )
    link.submit(Attempt("x", now(), lambda *a: None, lambda *a: ends.append(a[0])), SECOND)
    assert ends == ["connect_failed"] and len(backend.tries) == tries and link.connections == 0
    link.probe(lambda position, sent_at, status: probed.append(status))
    assert probed == ["connect_failed"] and len(backend.tries) == 2 * tries
    clock.advance(2)
    assert ends == probed == ["connect_failed"]


def test_a_second_connect_has_only_the_remaining_time():
    clock, ends, backend, _ = connecting_link()
    clock.advance(0.2)
    backend.tries[0][1](LOST_DURING_CONNECT)
    clock.advance(0.04)
    assert not ends
    clock.advance(0.02)
    assert ends == ["connect_failed"] and len(backend.tries) == 2


def test_a_connection_that_ends_while_opening_is_reported_as_broken_unless_the_server_gave_a_reason():
    for octets, reason in (
        (b"", LOST_DURING_CONNECT),
        (pg.error("53300", "too many").encode(), "the server refused: 53300 too many"),
    ):
        lost = []
        connection = ServerConnection(lambda: 0, lambda _: None, lost.append)
        transport = StringTransport()
        transport.setTcpNoDelay = lambda on: None
        connection.makeConnection(transport)
        if octets:
            connection.dataReceived(octets)
        connection.connectionLost()
        assert lost == [reason]
