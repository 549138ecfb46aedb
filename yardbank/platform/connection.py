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
from yardbank.platform.client import ClientSession
from yardbank.platform.closing import Event
from yardbank.platform.lingering import Lingering
from yardbank.platform.pipeline import Command
from yardbank.platform.statement import Operation, since_write

if TYPE_CHECKING:
    from yardbank.platform.front import ClientFactory

READ_SIZE = 16 << 10  # octets taken from a client at a time
STOPPING = "the gateway is stopping"


class _Answer:
    """The sink of one request: its answer goes to the command that asked."""

    __slots__ = ("_command", "_connection", "_operation")

    def __init__(self, connection: ClientConnection, command: Command, operation: Operation) -> None:
        self._connection = connection
        self._command = command
        self._operation = operation

    def part(self, payload: Any) -> None:
        """Answers are gathered whole before they go anywhere."""

    def served(self, payload: bytes) -> None:
        self._connection.answer(self._command, client.served(payload))

    def refused(self, retry_after: int, reason: str) -> None:
        self._connection.answer(self._command, client.refused(retry_after // MS, reason))

    def failed(self, reason: str) -> None:
        """It may have run; if it never went out, it cannot have, and that is what is said."""
        if self._operation.sent:
            self._connection.answer(self._command, client.failed(reason))
            return
        factory = self._connection.factory
        factory.counts["failed_unsent"] += 1
        self._connection.answer(self._command, client.refused(factory.come_again, reason))


@implementer(IPushProducer)
class ClientConnection(Lingering):
    """One client's connection."""

    def __init__(self, factory: ClientFactory, number: int) -> None:
        super().__init__()
        self.factory = factory
        self.number = number
        self._session = ClientSession(factory.request_classes, factory.open_ids)
        self._advancing = self._stuck = self._paused = False
        self._spoken = False  # something was answered: a request that crosses the end after that is sent again

    def connectionMade(self) -> None:  # noqa: N802
        """Let it in, or another one go for it."""
        self.transport.setTcpNoDelay(True)
        self.transport.bufferSize = READ_SIZE
        self.transport.registerProducer(self, True)
        self.factory.arrived(self)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Queries, in any split."""
        if not self._closing.serves:
            self._do(self._closing.drop(len(data)))
            self._lingers()
            return
        self._closing.on(Event.OCTETS)
        received = self._session.receive(data, self.factory.gateway.now())
        if received.output:
            self.transport.write(received.output)
        if self._session.left:
            self._withdraw()
        for command in received.hurried:
            if command.request is not None and command.operation is not None:
                self.factory.gateway.shorten(command.request, command.operation.expires)
        self._advance()

    def connectionLost(self, reason: Failure = Failure(ConnectionDone())) -> None:  # noqa: B008, N802
        """The client has gone: nothing is owed to it any more."""
        self._closing.on(Event.LOST)
        self.factory.left(self)
        self._withdraw()

    def _withdraw(self) -> None:
        """Take back all that the client waits for."""
        for command in self._session.leave():
            if command.request is not None:
                self.factory.gateway.leave(command.request)

    def present(self) -> bool:
        """Whether the client is still there: not once its end has come, read or not."""
        if not self._closing.serves or self._session.left:
            return False
        if presence.present(self.transport):
            return True
        self._session.left = True
        self._read_on()  # up to its end, which tells that the connection is lost
        return False

    def answer(self, command: Command, octets: bytes) -> None:
        """The one final answer of a command; it is written in its turn."""
        self._session.answered(command, octets)
        self._advance()

    def owes(self) -> bool:
        """Whether the client has asked, or is asking, for what it has not got, by what was read of it."""
        return self._session.state() in (State.BUSY, State.PARTIAL)

    def let_go(self, reason: str) -> None:
        """Close it unless octets of the client are unread: those are served first.

        With a word to a client whose request the end may cross and that would not send it again.
        """
        if self._spoken and self._session.state() is not State.PARTIAL:
            self.close(b"")  # looks for unread octets right before the sending ends
        elif not self.unread():
            self._turn_away(reason)

    def _turn_away(self, reason: str) -> None:
        """Close it with the message that what may be on its way never ran."""
        self.close(client.turned_away(self.factory.come_again, reason))

    def reject(self, reason: str, last: bytes) -> None:
        """The client sent what cannot be served: it is told so, and nothing of it is waited for."""
        self.factory.rejected(reason)
        self.close(last, Event.REJECTED)

    def _lingers(self) -> None:
        self.factory.lingers(self)

    def service_ended(self, unread: bool) -> None:
        """Nothing of the client is served any more: count it if its request was read, or found unread, in vain."""
        swallowed = not self._spoken or self.owes() or unread
        if swallowed and not self._told_last and not self._session.left:
            self.factory.counts["closed_unanswered"] += 1
        self.factory.closes(self)
        self._read_on()

    def _advance(self) -> None:
        """Write what is answered and hand over what is next; an answer that comes at once comes back here."""
        if self._advancing or not self._closing.serves:
            return
        self._advancing = True
        try:
            while self._closing.serves and self._step():
                pass
        finally:
            self._advancing = False
        if not self._closing.serves:
            return
        self.factory.became(self, State.STUCK if self._stuck else self._session.state())
        if self._session.left:
            self._withdraw()
            self.close(b"")
            return
        if self.factory.stopping and not self._stuck:
            self._end_if_stopping()
        if self._closing.serves:
            self._regulate_reading()

    def _end_if_stopping(self) -> None:
        """Close it where it owes nothing; in the last round half a request is not waited for either."""
        state = self._session.state()
        if state is State.IDLE:
            self.let_go(STOPPING)
        elif state is State.PARTIAL and self.factory.in_last_round:
            self._turn_away(STOPPING)

    def asked_meanwhile(self) -> None:
        """The client has asked again before the end: it is served, or in the last round told the end as its answer."""
        if self.factory.in_last_round:
            self._turn_away(STOPPING)
        else:
            super().asked_meanwhile()

    def _regulate_reading(self) -> None:
        """Stop reading where too much waits, here or in all; go on where little does.

        An end that waits has to hear of octets, so a connection that owes nothing is always read.
        """
        fits = self.factory.occupies(self.number, self._session.occupied, self._session.wanted)
        if self._session.full and not self._paused:
            self.factory.queue_bound(len(self._session.pipeline))
        if self._session.full or not fits:
            self._stop_reading()
        elif self._session.roomy:
            self._read_on()

    def memory_freed(self) -> None:
        """It waited for memory, and there is some."""
        if self._closing.serves:
            self._regulate_reading()

    def _stop_reading(self) -> None:
        if not self._paused:
            self._paused = True
            self.transport.pauseProducing()

    def _step(self) -> bool:
        """One step with the commands; whether there was one."""
        pipeline = self._session.pipeline
        if self._session.left:
            return False
        if answers := pipeline.take_answers():
            self._spoken = True
            self.transport.write(answers)
            return True
        if (last := pipeline.last_word()) is not None:
            self.reject(last.last, last.answer)
            return False
        if self._stuck or (command := pipeline.next(self.factory.has_room_for_more())) is None:
            return False
        self._hand_over(command)
        return True

    def _read_on(self) -> None:
        if self._paused:
            self._paused = False
            self.transport.resumeProducing()

    def _hand_over(self, command: Command) -> None:
        """Hand a command over to the gateway, unless its client has gone meanwhile."""
        operation, gateway = command.operation, self.factory.gateway
        if operation is None or not self.present():
            self._withdraw()
            return
        statement, request_class = operation.statement, operation.statement.request_class
        call = Call(
            class_name=request_class.name,
            group=statement.group,
            operation=operation,
            sink=_Answer(self, command, operation),
            session=statement.key if request_class.read in ("session", "write") else None,
            since_write=since_write(statement, gateway.now()),
            expires=operation.expires,
            present=self.present,
        )
        command.request = gateway.take(call)

    # IPushProducer, for answers that the client does not read

    def pauseProducing(self) -> None:  # noqa: N802
        """Too much is unsent: nothing more is taken up."""
        self._stuck = True

    def resumeProducing(self) -> None:  # noqa: N802
        """It reads again."""
        self._stuck = False
        self._advance()

    def stopProducing(self) -> None:  # noqa: N802
        """The connection is lost; ``connectionLost`` says so."""
