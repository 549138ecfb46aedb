"""Connections to the platform's database servers: Twisted protocol around ``ServerSession``."""

from __future__ import annotations

import socket
from collections.abc import Callable, Collection
from itertools import count
from typing import Any

from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure

from yardbank.gateway import presence
from yardbank.gateway.api import (
    LOST_DURING_CONNECT,
    SECOND,
    Connection,
    NotSentError,
    ProbeResult,
    Receiver,
    Reply,
    ServerSpec,
)
from yardbank.gateway.dial import dial
from yardbank.platform.connection_memory import ConnectionMemory
from yardbank.platform.server import PROBE, ServerSession
from yardbank.platform.statement import Operation

LOG_INTERVAL = SECOND  # between log lines that a server can cause at will


class ServerConnection(Protocol):
    """One connection; a ``gateway.api.Connection``. Calls ``lost`` once at its end, whichever side closes it."""

    transport: Any  # Twisted's stubs name no methods of a TCP transport

    def __init__(
        self,
        now: Callable[[], int],
        ready: Callable[[Connection], None],
        lost: Callable[[str], None],
        session: ServerSession | None = None,
        memory: ConnectionMemory | None = None,
        number: int = 0,
    ) -> None:
        """``memory``: of all server connections, among which ``number`` is this one's (None: not limited)."""
        self.number = number
        self._memory = memory
        self._has_reservation = self._reading_paused = False
        self._now = now
        self._ready = ready
        self._lost = lost
        self._session = session or ServerSession()
        self._receiver: Receiver | None = None
        self._probe_done: Callable[[ProbeResult | None], None] | None = None
        self._is_closed = self._unusable = False
        self._has_backlog = False  # the transport has unsent octets: further output must be queued behind them

    def connectionMade(self) -> None:  # noqa: N802
        """Sends the startup message."""
        self.transport.setTcpNoDelay(True)
        if self._memory is not None:
            self._memory.connected(self)
        self.transport.write(self._session.take_output())

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Receives answers, split at any octet."""
        if self._is_closed or self._unusable:
            return
        session, was_open = self._session, self._session.open
        reply = session.receive(data, self._now())
        if session.open and not was_open and not session.broken:
            self._ready(self)
        if reply is not None:
            self._deliver(reply)
        self._end_if_broken()
        self._regulate_reading()

    def _end_if_broken(self) -> None:
        session = self._session
        if session.broken and not self._is_closed:
            self._unusable = True
            if session.busy:  # the server is there and has sent an invalid answer: the statement may have run
                self._deliver(Reply("error", reason=f"spoilt answer: {session.broken}"))
            self._close(session.broken)

    def _regulate_reading(self) -> None:
        """Reserves memory for the rest of the message that is being received; pauses reading while there is none."""
        if self._is_closed or self._memory is None:
            return
        reservation = self._session.memory_to_read()
        if not reservation.wanted and not self._has_reservation:
            return
        self._has_reservation = reservation.wanted > 0
        fits = self._memory.reserve(self, reservation)
        if self._is_closed or fits is not self._reading_paused:
            return
        self._reading_paused = not fits
        if fits:
            self.transport.resumeProducing()
        else:
            self.transport.pauseProducing()

    # connection_memory.MemoryUser

    def memory_freed(self) -> None:
        """Goes on reading if the memory now suffices."""
        self._regulate_reading()

    def discard_message(self) -> None:
        """Gives up the answer that is being received, for lack of memory."""
        self._session.discard_answer("no memory for an answer of this size")
        self._end_if_broken()

    def present(self) -> bool:
        """Whether the server is still connected; its end is noticed once the connection is read again."""
        return True

    def unread(self) -> bool:
        """Whether octets of the server are unread in the socket."""
        return presence.unread(self.transport)

    def _deliver(self, reply: Reply) -> None:
        receiver, self._receiver = self._receiver, None
        probe_done, self._probe_done = self._probe_done, None
        if receiver is not None:
            receiver.attempt_done(reply)
        elif probe_done is not None:
            probe_done((reply.report or ProbeResult({})) if reply.status == "ok" else None)

    def _close(self, reason: str) -> None:
        """Aborts the connection, so that nothing received later can be taken for an answer."""
        if self._is_closed:
            return
        self._is_closed = True
        if self._memory is not None:
            self._memory.release(self)
        if not self._session.open and not self._session.broken:
            reason = LOST_DURING_CONNECT
        if (reply := self._session.ended()) is not None:
            self._deliver(reply)
        receiver, self._receiver = self._receiver, None
        probe_done, self._probe_done = self._probe_done, None
        self._lost(reason)
        if receiver is not None:
            receiver.attempt_lost(reason)
        if probe_done is not None:
            probe_done(None)
        self.transport.abortConnection()

    def connectionLost(self, reason: Failure = Failure(ConnectionDone())) -> None:  # noqa: B008, N802
        """Whatever was pending is lost with the connection."""
        self._close(reason.getErrorMessage())

    # gateway.api.Connection

    def submit(self, operation: Operation, receiver: Receiver) -> int:
        """Sends one statement; raises ``NotSentError`` if the connection broke before any octet of it was written."""
        statement = operation.statement
        self._write_now(self._session.start_statement(statement.text(operation.expires - self._now()), statement.write))
        operation.sent = True
        self._receiver = receiver
        return 0

    def _write_now(self, octets: bytes) -> None:
        """Writes at once: the transport's own write waits for the next reactor turn and hides a failure until then."""
        write_some = getattr(self.transport, "writeSomeData", None)
        if write_some is not None and not self._has_backlog:
            written = write_some(octets)
            if not isinstance(written, int):  # the reason why the connection is gone
                self._unusable = True
                raise NotSentError(f"nothing could be written: {written}")
            octets = octets[written:]
            self._has_backlog = bool(octets)
        if octets:
            self.transport.write(octets)

    def abandon(self, number: int) -> None:
        """Stops waiting: the connection is unusable from now on and is closed when the gateway releases it.

        The close also tells the server. ``lost`` is not called here, as the attempt was abandoned, not lost.
        """
        self._receiver = None
        self._unusable = True

    def probe(self, done: Callable[[ProbeResult | None], None]) -> int:
        """Requests the load report."""
        self.transport.write(self._session.start_statement(PROBE, probe=True))
        self._probe_done = done
        return 0

    def fit(self) -> bool:
        """Whether the connection is idle and silent: the server may have closed it or sent unrequested data."""
        if self._is_closed or self._unusable or self._session.busy or self._session.broken:
            return False
        try:
            self.transport.socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except (OSError, AttributeError):
            return False
        return False  # closed, or unrequested data: unusable either way

    def close(self) -> None:
        """Closes the connection; nothing is pending."""
        self._close("closed")


class PlatformBackend:
    """Connects to the platform's servers; a ``gateway.api.Backend``.

    ``fields``: contents of load reports by the settings. ``log``: gets invalid server output, at most once a second.
    """

    def __init__(
        self,
        reactor: Any,
        now: Callable[[], int],
        fields: Collection[str] | None = None,
        log: Any = None,
        memory: ConnectionMemory | None = None,
    ) -> None:
        """``memory``: of all connections; None: not limited."""
        self._memory = memory
        self._numbers = count()
        self._reactor = reactor
        self._now = now
        self._fields = fields
        self._log = log
        self._invalid_count = 0
        self._invalid_logged_at = -LOG_INTERVAL

    def connect(
        self, server: ServerSpec, ready: Callable[[Connection], None], lost: Callable[[str], None]
    ) -> Callable[[], None]:
        """Opens a connection; see ``gateway.api.Backend``."""

        def report_invalid(what: str) -> None:
            self._log_invalid(server.name, what)

        # The session is created together with its connection, so that both are freed together: objects that the dialler
        # holds live until the next garbage collection, because Twisted's connector and transport refer to each other.
        def build(lost_once: Callable[[str], None]) -> ServerConnection:
            session = ServerSession(self._fields, report_invalid)
            return ServerConnection(self._now, ready, lost_once, session, self._memory, next(self._numbers))

        return dial(self._reactor, server, build, lost)

    def _log_invalid(self, server: str, what: str) -> None:
        self._invalid_count += 1
        if self._log is not None and (now := self._now()) - self._invalid_logged_at >= LOG_INTERVAL:
            self._invalid_logged_at = now
            self._log.warning("server_answer_spoilt", server=server, problem=what[:200], spoilt=self._invalid_count)

    def describe(self, operation: Operation) -> str:
        """Names the request class, the key and the client's id of the request."""
        statement = operation.statement
        return f"{statement.request_class.name} {statement.key} id={statement.id}"
