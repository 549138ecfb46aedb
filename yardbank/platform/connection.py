"""Twisted protocol of one client connection, around ``ClientSession``."""

from __future__ import annotations

from typing import TYPE_CHECKING

from twisted.internet.error import ConnectionDone
from twisted.internet.interfaces import IPushProducer
from twisted.python.failure import Failure
from zope.interface import implementer

from yardbank.gateway import presence
from yardbank.gateway.api import Call
from yardbank.platform import client
from yardbank.platform.admission import State
from yardbank.platform.answer_sink import AnswerSink
from yardbank.platform.client import ClientSession
from yardbank.platform.closing import Event
from yardbank.platform.lingering import LingeringProtocol
from yardbank.platform.pipeline import Command
from yardbank.platform.statement import since_write

if TYPE_CHECKING:
    from yardbank.platform.front import ClientFactory

MAX_UNSENT_OCTETS = 16 << 10  # octets of answers that the system has not taken; beyond, nothing more is dispatched
STOPPING_REASON = "the gateway is stopping"


@implementer(IPushProducer)
class ClientConnection(LingeringProtocol):
    """One client connection."""

    def __init__(self, factory: ClientFactory, number: int) -> None:
        super().__init__()
        self.factory = factory
        self.number = number
        self._session = ClientSession(factory.request_classes, factory.open_ids, factory.recent_effects)
        self._advancing = self._writing_paused = self._reading_paused = False
        self._unread_since: int | None = None  # octets received next may have waited in the socket since then (ns)
        self._has_answered = False  # a client that was answered before sends a request again if the close overtakes it

    def connectionMade(self) -> None:  # noqa: N802
        """Registers the connection, which may be refused or take the place of another one."""
        self.transport.setTcpNoDelay(True)
        self.transport.bufferSize = MAX_UNSENT_OCTETS
        self.transport.read_size = self._session.read_size
        self.transport.registerProducer(self, True)
        self.factory.client_connected(self)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Receives queries, split at any octet."""
        if not self._closing.accepts_requests:
            self._perform(self._closing.discard(len(data)))
            self._on_lingering()
            return
        self._closing.on_event(Event.DATA_RECEIVED)
        now = self.factory.gateway.now()
        self._session.receive(data, now, self._arrival_time(now))
        self._advance()

    def _arrival_time(self, now: int) -> int:
        """Returns the earliest time (ns) at which the octets just read may have arrived.

        While reading was paused, octets waited in the socket, and their clients for an answer.
        """
        arrived = self._unread_since
        if arrived is not None and not self.unread():
            self._unread_since = None
        return now if arrived is None else arrived

    def connectionLost(self, reason: Failure = Failure(ConnectionDone())) -> None:  # noqa: B008, N802
        """The client has disconnected: its open requests are withdrawn."""
        self._closing.on_event(Event.CONNECTION_LOST)
        self.factory.connection_lost(self)
        self._withdraw_requests()

    def _withdraw_requests(self) -> None:
        """Withdraws everything that the client waits for."""
        for command in self._session.leave():
            if command.request is not None:
                self.factory.gateway.leave(command.request)

    def present(self) -> bool:
        """Whether the client is still connected; its disconnect counts even while it is unread in the socket."""
        if not self._closing.accepts_requests or self._session.client_left:
            return False
        if presence.present(self.transport):
            return True
        self._session.client_left = True
        self._resume_reading()  # read up to the client's end, so that ``connectionLost`` is called
        return False

    def check_presence(self) -> None:
        """Ends the connection if its client has left; otherwise writes a message that a closed peer resets."""
        if not self._closing.accepts_requests or not self.present():
            self._advance()
        elif not self._writing_paused and not getattr(self.transport, "unsent", False):
            self.transport.write(client.PRESENCE_PROBE)

    def answer(self, command: Command, octets: bytes) -> None:
        """Takes the one final answer of a command; it is written when its turn comes."""
        self._session.answered(command, octets)
        self._advance()

    def has_unfinished_request(self) -> bool:
        """Whether the client has sent a request, or part of one, that is not answered; counts only what was read."""
        return self._session.state() in (State.BUSY, State.PARTIAL)

    def close_if_nothing_unread(self, reason: str) -> None:
        """Closes the connection unless unread data has arrived, which is served first.

        A final message goes to a client whose request may cross the close and who would not send it again.
        """
        if self._has_answered and self._session.state() is not State.PARTIAL:
            self.close(b"")  # checks for unread data right before the sending side is shut down
        elif not self.unread():
            self._close_with_final_message(reason)

    def _close_with_final_message(self, reason: str) -> None:
        """Closes with a message that says that requests still on their way never ran."""
        self.close(client.encode_nothing_ran(self.factory.retry_after_ms, reason))

    def reject(self, reason: str, last: bytes) -> None:
        """Closes with an error after input that cannot be served, without waiting for further input."""
        self.factory.client_rejected(reason)
        self.close(last, Event.REJECTED)

    def _on_lingering(self) -> None:
        self.factory.connection_lingering(self)

    def service_ended(self, unread: bool) -> None:
        """Counts a connection whose request was read, or found unread, and will not be answered."""
        lost_request = not self._has_answered or self.has_unfinished_request() or unread
        if lost_request and not self._final_message_sent and not self._session.client_left:
            self.factory.counts["closed_unanswered"] += 1
        self.factory.connection_closing(self)
        self._resume_reading()

    def _advance(self) -> None:
        """Writes finished answers and dispatches the next commands; called again by answers that come at once."""
        if self._advancing or not self._closing.accepts_requests:
            return
        self._advancing = True
        try:
            while self._closing.accepts_requests and self._process_next():
                pass
        finally:
            self._advancing = False
        if not self._closing.accepts_requests:
            return
        self._report_state()
        if self._session.client_left:
            self._withdraw_requests()
            self.close(b"")
            return
        if self.factory.stopping and not self._writing_paused:
            self._close_if_stopping()
        if self._closing.accepts_requests:
            self._regulate_reading()

    def _report_state(self) -> None:
        state = self._session.state()
        self.factory.connection_state_changed(self, State.STUCK if self._writing_paused else state)
        if state is State.IDLE:
            self.factory.turns.idle(self)

    def _close_if_stopping(self) -> None:
        """Closes the connection if nothing is unanswered, or half a request is while all connections are closed."""
        state = self._session.state()
        if state is State.IDLE:
            self.close_if_nothing_unread(STOPPING_REASON)
        elif state is State.PARTIAL and self.factory.is_closing_all:
            self._close_with_final_message(STOPPING_REASON)

    def data_before_close(self) -> None:
        """Serves a request that arrived before the close, or refuses it while all connections are closed."""
        if self.factory.is_closing_all:
            self._close_with_final_message(STOPPING_REASON)
        else:
            super().data_before_close()

    def _regulate_reading(self) -> None:
        """Pauses reading when too much is queued, on this connection or in total, and resumes it when little is.

        Nothing more is read either while a message waits for one of the next turns.
        A close that waits must notice incoming data, so a connection without unanswered requests is always read.
        """
        fits = self.factory.memory.reserve(self, self._session.memory_to_read())
        self.transport.read_size = self._session.read_size
        if self._session.is_full and not self._reading_paused:
            self.factory.queue_limit_reached(len(self._session.pipeline))
        if self._session.is_full or not fits or self._session.has_message:
            self._pause_reading()
        elif self._session.may_resume:
            self._resume_reading()

    def memory_freed(self) -> None:
        """Goes on after waiting for memory."""
        self._advance()

    def work(self) -> None:
        """Goes on after waiting for one of the next turns."""
        self._advance()

    def discard_message(self) -> None:
        """Discards the message that is being received, for lack of memory; its request is refused."""
        if self._closing.accepts_requests and self._session.has_large_message:
            reason = "no memory for a message of this size"
            self._session.discard_message(client.encode_refusal(self.factory.retry_after_ms, reason))
            self._advance()

    def _pause_reading(self) -> None:
        if not self._reading_paused:
            self._reading_paused = True
            if self._unread_since is None:
                self._unread_since = self.factory.gateway.now()
            self.transport.pauseProducing()
            self.factory.presence_checks.paused(self)

    def _process_next(self) -> bool:
        """Takes one step with the received and the queued commands. Returns whether there was one."""
        pipeline = self._session.pipeline
        if self._session.client_left:
            return False
        if answers := pipeline.take_answers():
            self._has_answered = True
            self.transport.write(answers)
            return True
        if (last := pipeline.closing_command()) is not None:
            self.reject(last.close_reason, last.answer)
            return False
        if self._has_work() and not self.factory.turns.may_step(self):
            self.factory.turns.defer(self)
            return False
        if self._process_message() or self._dispatch_next():
            self.factory.turns.stepped(self)
            return True
        return False

    def _has_work(self) -> bool:
        """Whether steps are left that may wait for a later turn; a single command is dispatched once it is read."""
        pipeline = self._session.pipeline
        return self._session.has_message or (pipeline.has_waiting and len(pipeline) > 1)

    def _dispatch_next(self) -> bool:
        """Dispatches the next command, if one may be. Returns whether it did."""
        if self._writing_paused or (command := self._session.pipeline.next(self.factory.may_open_more())) is None:
            return False
        self._dispatch(command)
        return True

    def _process_message(self) -> bool:
        """Processes the next message that was received, if there is memory for its command. Returns whether it did.

        Memory is reserved for each command before it is queued: in memory it takes several times its octets.
        """
        session = self._session
        if session.has_message and not self._may_queue():
            return False
        received = session.process_message(self.factory.gateway.now())
        if received is None:
            return False
        if received.output:
            self.transport.write(received.output)
        if session.client_left:
            self._withdraw_requests()
        for command in received.expedited:
            if command.request is not None and command.operation is not None:
                self.factory.gateway.shorten_deadline(command.request, command.operation.expires)
        return True

    def _may_queue(self) -> bool:
        return not self._session.is_full and self.factory.memory.reserve(self, self._session.memory_to_queue())

    def _resume_reading(self) -> None:
        if self._reading_paused:
            self._reading_paused = False
            self.factory.presence_checks.resumed(self)
            self.transport.resumeProducing()

    def _dispatch(self, command: Command) -> None:
        """Passes a command to the gateway, unless its client has disconnected meanwhile."""
        operation, gateway = command.operation, self.factory.gateway
        if operation is None or not self.present():
            self._withdraw_requests()
            return
        statement, request_class = operation.statement, operation.statement.request_class
        call = Call(
            class_name=request_class.name,
            group=statement.group,
            operation=operation,
            sink=AnswerSink(self, command, operation),
            session=statement.key if request_class.read in ("session", "write") else None,
            since_write=since_write(statement, gateway.now()),
            expires=operation.expires,
            present=self.present,
        )
        command.request = gateway.take(call)

    # IPushProducer, for answers that the client does not read

    def pauseProducing(self) -> None:  # noqa: N802
        """Too much is unsent: no further commands are dispatched."""
        self._writing_paused = True

    def resumeProducing(self) -> None:  # noqa: N802
        """The client reads again."""
        self._writing_paused = False
        self._advance()

    def stopProducing(self) -> None:  # noqa: N802
        """Nothing to do: ``connectionLost`` follows."""
