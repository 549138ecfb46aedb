"""One connection of a client: thin Twisted around ``ClientSession``."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from twisted.internet.error import ConnectionDone
from twisted.internet.interfaces import IPushProducer
from twisted.python.failure import Failure
from zope.interface import implementer

from yardbank.gateway import presence
from yardbank.gateway.api import MS, Call
from yardbank.platform import client
from yardbank.platform.admission import State
from yardbank.platform.backend import Operation
from yardbank.platform.client import ClientSession, Refusal
from yardbank.platform.closing import Event
from yardbank.platform.lingering import Lingering
from yardbank.platform.statement import StatementError, read_statement, since_write

if TYPE_CHECKING:
    from yardbank.platform.front import ClientFactory

READ_SIZE = 16 << 10  # octets taken from a client at a time
STOPPING = "the gateway is stopping"


class _Owed:
    """The sink of one request: its answer goes to the connection that asked."""

    __slots__ = ("_connection", "_operation")

    def __init__(self, connection: ClientConnection, operation: Operation) -> None:
        self._connection, self._operation = connection, operation

    def part(self, payload: Any) -> None:
        """Answers are gathered whole before they go anywhere."""

    def served(self, payload: bytes) -> None:
        self._connection.answer(self._operation.statement.id, client.served(payload))

    def refused(self, retry_after: int, reason: str) -> None:
        self._connection.answer(self._operation.statement.id, client.refused(retry_after // MS, reason))

    def failed(self, reason: str) -> None:
        """It may have run; if it never went out, it cannot have, and that is what is said."""
        number, factory = self._operation.statement.id, self._connection.factory
        if self._operation.sent:
            self._connection.answer(number, client.failed(reason))
            return
        factory.counts["failed_unsent"] += 1
        self._connection.answer(number, client.refused(factory.come_again, reason))


@implementer(IPushProducer)
class ClientConnection(Lingering):
    """One client's connection."""

    def __init__(self, factory: ClientFactory, number: int) -> None:
        super().__init__()
        self.factory, self.number = factory, number
        self._session = ClientSession()
        self._taken: str | None = None  # the gateway's number of the request that is being answered
        self._open_id = ""  # the client's own number of it
        self._advancing = self._stuck = self._paused = False
        self._spoken = False  # something was answered: a request that crosses the end after that is sent again

    def connectionMade(self) -> None:
        """Let it in, or another one go for it."""
        self.transport.setTcpNoDelay(True)
        self.transport.bufferSize = READ_SIZE
        self.transport.registerProducer(self, True)
        self.factory.arrived(self)

    def dataReceived(self, data: bytes) -> None:
        """Queries, in any split."""
        if not self._closing.serves:
            self._do(self._closing.drop(len(data)))
            self._lingers()
            return
        self._closing.on(Event.OCTETS)
        if out := self._session.receive(data):
            self.transport.write(out)
        if self._session.left:
            self._withdraw()
        self._advance()

    def connectionLost(self, reason: Failure = Failure(ConnectionDone())) -> None:  # noqa: B008
        """The client has gone: nothing is owed to it any more."""
        self._closing.on(Event.LOST)
        self.factory.left(self)
        self._withdraw()

    def _withdraw(self) -> None:
        """Take back what the client waits for."""
        taken, self._taken = self._taken, None
        if taken is not None:
            self.factory.open_ids.discard(self._open_id)
            self._session.answered()
            self.factory.gateway.leave(taken)

    def present(self) -> bool:
        """Whether the client is still there: not once its end has come, read or not."""
        if not self._closing.serves or self._session.left:
            return False
        if presence.present(self.transport):
            return True
        self._session.leave()
        self._read_on()  # up to its end, which tells that the connection is lost
        return False

    def answer(self, number: str, octets: bytes) -> None:
        """The one final answer of the query in turn."""
        self.factory.open_ids.discard(number)
        self._taken = None
        self._session.answered()
        if not self._closing.serves:
            return
        self._spoken = True
        self.transport.write(octets)
        self._advance()

    def owes(self) -> bool:
        """Whether the client has asked, or is asking, for what it has not got."""
        session = self._session
        return session.busy or session.waiting > 0 or session.state() is State.PARTIAL or self.unread()

    def let_go(self, reason: str) -> None:
        """Close it, with a word to a client whose request the end may cross and that would not send it again."""
        if self._spoken and self._session.state() is not State.PARTIAL:
            self.close(b"")
        else:
            self.close(client.turned_away(self.factory.come_again, reason))

    def reject(self, reason: str, last: bytes) -> None:
        """The client sent what cannot be served: it is told so, and nothing of it is waited for."""
        self.factory.rejected(reason)
        self.close(last, Event.REJECTED)

    def _lingers(self) -> None:
        self.factory.lingers(self)

    def _no_more(self) -> None:
        """From here on nothing of the client is served."""
        if not self._told_last and not self._session.left and (not self._spoken or self.owes()):
            self._told_last = True
            self.factory.counts["closed_unanswered"] += 1
        self.factory.closes(self)
        self._read_on()

    def _advance(self) -> None:
        """Take up what is next in turn; an answer that comes at once comes back here."""
        if self._advancing or not self._closing.serves:
            return
        self._advancing = True
        try:
            while self._closing.serves and not self._stuck and (query := self._session.next()) is not None:
                if isinstance(query, Refusal):
                    self.reject(query.reason, query.last)
                else:
                    self._query(query)
        finally:
            self._advancing = False
        if not self._closing.serves:
            return
        self.factory.became(self, State.STUCK if self._stuck else self._session.state())
        if self._session.ended and not self._session.busy:
            self.close(b"")
            return
        if self.factory.stopping and not self._stuck and self._session.state() is State.IDLE and not self.unread():
            self.let_go(STOPPING)
            return
        if self._session.full and not self._paused:
            self._paused = True
            self.factory.queue_bound(self._session.waiting)
            self.transport.pauseProducing()
        elif self._session.roomy:
            self._read_on()

    def _read_on(self) -> None:
        if self._paused:
            self._paused = False
            self.transport.resumeProducing()

    def _query(self, query: str) -> None:
        factory, gateway = self.factory, self.factory.gateway
        if not query.strip(" \t\r\n;"):
            self._session.answered()
            self._spoken = True
            self.transport.write(client.EMPTY)
            return
        if not self.present():  # its end may have come while this one waited for its turn
            self._session.answered()
            return
        try:
            statement = read_statement(query, factory.kinds)
            if statement.id in factory.open_ids:
                raise StatementError("id: another open request has it")
        except StatementError as problem:
            self.reject(str(problem), client.rejected(str(problem)))
            return
        factory.open_ids.add(statement.id)
        self._open_id = statement.id
        now = gateway.now()
        kind = statement.kind
        operation = Operation(statement, now + min(kind.deadline, statement.time_limit))
        call = Call(
            class_name=kind.name,
            group=statement.group,
            operation=operation,
            sink=_Owed(self, operation),
            session=statement.key if kind.read in ("session", "write") else None,
            since_write=since_write(statement, now),
            time_limit=statement.time_limit,
            present=self.present,
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
