"""The platform's clients: thin Twisted around ``ClientSession``; which connections stay is ``Admission``'s."""

from __future__ import annotations

from collections.abc import Callable
from itertools import count
from typing import Any

from twisted.internet.error import ConnectionDone
from twisted.internet.interfaces import IPushProducer
from twisted.internet.protocol import Factory, Protocol
from twisted.python.failure import Failure
from zope.interface import implementer

from yardbank.gateway.api import MS, Call
from yardbank.gateway.gateway import Gateway
from yardbank.interface import RequestClass
from yardbank.platform import client
from yardbank.platform.admission import Admission, Descriptors, State
from yardbank.platform.backend import Operation
from yardbank.platform.client import ClientSession, Refusal
from yardbank.platform.statement import StatementError, read_statement, since_write

COME_AGAIN = 250 * MS  # told to a connection for which there is no room
LOG_EVERY = 1000 * MS  # of what clients can cause at will
READ_SIZE = 16 << 10  # octets taken from a client at a time


class _Owed:
    """The sink of one request: its answer goes to the connection that asked."""

    __slots__ = ("_connection", "_id")

    def __init__(self, connection: ClientConnection, number: str) -> None:
        self._connection, self._id = connection, number

    def part(self, payload: Any) -> None:
        """Answers are gathered whole before they go anywhere."""

    def served(self, payload: bytes) -> None:
        self._connection.answer(self._id, client.served(payload))

    def refused(self, retry_after: int, reason: str) -> None:
        self._connection.answer(self._id, client.refused(retry_after // MS, reason))

    def failed(self, reason: str) -> None:
        self._connection.answer(self._id, client.failed(reason))


@implementer(IPushProducer)
class ClientConnection(Protocol):
    """One client's connection."""

    transport: Any

    def __init__(self, factory: ClientFactory, number: int) -> None:
        self.factory, self.number = factory, number
        self._session = ClientSession()
        self._taken: str | None = None  # the gateway's number of the request that is being answered
        self._open_id = ""  # the client's own number of it
        self._advancing = self._stuck = self._paused = self._closing = False

    def connectionMade(self) -> None:
        """Let it in, or another one go for it."""
        self.transport.setTcpNoDelay(True)
        self.transport.bufferSize = READ_SIZE
        self.transport.registerProducer(self, True)
        self.factory.arrived(self)

    def dataReceived(self, data: bytes) -> None:
        """Queries, in any split."""
        if self._closing:
            return
        if out := self._session.receive(data):
            self.transport.write(out)
        self._advance()

    def connectionLost(self, reason: Failure = Failure(ConnectionDone())) -> None:  # noqa: B008
        """The client has gone: nothing is owed to it any more."""
        self._closing = True
        self.factory.left(self)
        if self._taken is not None:
            self.factory.open_ids.discard(self._open_id)
            self.factory.gateway.leave(self._taken)

    def answer(self, number: str, octets: bytes) -> None:
        """The one final answer of the query in turn."""
        self.factory.open_ids.discard(number)
        self._taken = None
        self._session.answered()
        if self._closing:
            return
        self.transport.write(octets)
        if self.factory.stopping and not self._session.waiting:
            self.close(b"")
        else:
            self._advance()

    def close(self, last: bytes) -> None:
        """Write the last word and close."""
        if self._closing:
            return
        self._closing = True
        if last:
            self.transport.write(last)
        self.transport.unregisterProducer()
        self.transport.loseConnection()

    def cut(self) -> None:
        """Close at once."""
        self._closing = True
        self.transport.abortConnection()

    def _advance(self) -> None:
        """Take up what is next in turn; an answer that comes at once comes back here."""
        if self._advancing or self._closing:
            return
        self._advancing = True
        try:
            while not self._closing and not self._stuck and (query := self._session.next()) is not None:
                if isinstance(query, Refusal):
                    self.factory.rejected(query.reason)
                    self.close(query.last)
                else:
                    self._query(query)
        finally:
            self._advancing = False
        if self._closing:
            return
        if self._session.ended and not self._session.busy:
            self.close(b"")
            return
        self.factory.became(self, State.STUCK if self._stuck else self._session.state())
        if not self._paused and self._session.waiting >= client.PAUSE_AT:
            self._paused = True
            self.transport.pauseProducing()
        elif self._paused and self._session.waiting <= client.RESUME_AT:
            self._paused = False
            self.transport.resumeProducing()

    def _query(self, query: str) -> None:
        factory, gateway = self.factory, self.factory.gateway
        if not query.strip(" \t\r\n;"):
            self._session.answered()
            self.transport.write(client.EMPTY)
            return
        try:
            statement = read_statement(query, factory.kinds)
            if statement.id in factory.open_ids:
                raise StatementError("id: another open request has it")
        except StatementError as problem:
            factory.rejected(str(problem))
            self.close(client.rejected(str(problem)))
            return
        factory.open_ids.add(statement.id)
        self._open_id = statement.id
        now = gateway.now()
        kind = statement.kind
        call = Call(
            class_name=kind.name,
            group=statement.group,
            operation=Operation(statement, now + min(kind.deadline, statement.time_limit)),
            sink=_Owed(self, statement.id),
            session=statement.key if kind.read in ("session", "write") else None,
            since_write=since_write(statement, now),
            time_limit=statement.time_limit,
        )
        number = gateway.take(call)
        if self._session.busy:
            self._taken = number

    # IPushProducer, for answers that the client does not read

    def pauseProducing(self) -> None:
        """Too much is unsent: nothing more is taken up."""
        self._stuck = True

    def resumeProducing(self) -> None:
        """It reads again."""
        self._stuck = False
        self._advance()

    def stopProducing(self) -> None:
        """The connection is lost; ``connectionLost`` says so."""


class ClientFactory(Factory):
    """All client connections of one gateway."""

    noisy = False

    def __init__(
        self,
        gateway: Gateway,
        admission: Admission,
        descriptors: Descriptors,
        kinds: dict[str, RequestClass],
        log: Any,
    ) -> None:
        self.gateway, self.admission, self.kinds, self._log = gateway, admission, kinds, log
        self._descriptors = descriptors
        self._come_again = min(gateway.settings.max_retry_after, COME_AGAIN) // MS
        self.open_ids: set[str] = set()
        self.stopping = False
        self.counts = dict.fromkeys(("arrived", "rejected", "turned_away", "timed_out"), 0)
        self._connections: dict[int, ClientConnection] = {}
        self._numbers = count()
        self._cancel_sweep: Callable[[], None] | None = None
        self._logged_at = self._rejected_logged_at = 0
        self._emptied: Callable[[], None] | None = None

    def buildProtocol(self, addr: Any) -> ClientConnection:
        return ClientConnection(self, next(self._numbers))

    def arrived(self, connection: ClientConnection) -> None:
        """A client has connected."""
        self.counts["arrived"] += 1
        now = self.gateway.now()
        most = self._descriptors.for_clients(self.gateway.server_connections)
        way = self.admission.arrived(connection.number, now, most)
        if way is not None:
            self.counts["turned_away"] += 1
            if now - self._logged_at > LOG_EVERY:
                self._logged_at = now
                self._log.warning("client_connections_bound", bound=most)
        if way == connection.number:
            connection.close(client.full(self._come_again, "too many connections"))
            return
        if way is not None:
            self._connections[way].close(client.full(self._come_again, "too many connections: this one was not in use"))
        self._connections[connection.number] = connection
        if self._cancel_sweep is None:
            self._arm()

    def became(self, connection: ClientConnection, state: State) -> None:
        """What a connection is about now."""
        now = self.gateway.now()
        self.admission.became(connection.number, state, now)
        if state is State.IDLE:
            self.admission.served(connection.number, now)

    def left(self, connection: ClientConnection) -> None:
        """A connection is gone."""
        self.admission.left(connection.number)
        self._connections.pop(connection.number, None)
        if self._emptied is not None and not self._connections:
            self._emptied()

    def rejected(self, reason: str) -> None:
        """A client sent what cannot be served."""
        self.counts["rejected"] += 1
        now = self.gateway.now()
        if now - self._rejected_logged_at > LOG_EVERY:  # the latest of each second; the view has the count
            self._rejected_logged_at = now
            self._log.warning("client_rejected", reason=reason[:200], rejected=self.counts["rejected"])

    def _arm(self) -> None:
        self._cancel_sweep = self.gateway.call_at(self.gateway.now() + 250 * MS, self._sweep)

    def _sweep(self) -> None:
        """One timer for all connections, and none while there are none."""
        self._cancel_sweep = None
        for number, state in self.admission.overdue(self.gateway.now()):
            connection = self._connections[number]
            if state is not State.IDLE:
                self.counts["timed_out"] += 1
            if state is State.STUCK:
                connection.cut()
            else:
                connection.close(client.turned_away(f"the connection {state.value}"))
            self.admission.left(number)
        if self._connections:
            self._arm()

    def close_idle(self) -> None:
        """The gateway stops: whatever has no open request is closed, the others once they are answered."""
        self.stopping = True
        for number in self.admission.closable():
            if connection := self._connections.get(number):
                connection.close(b"")

    def close_all(self, emptied: Callable[[], None]) -> None:
        """Everything is answered; ``emptied`` is called when the last connection is gone."""
        self._emptied = emptied
        if not self._connections:
            emptied()
        for connection in list(self._connections.values()):
            connection.close(b"")
