"""The gateway's side towards the platform's database servers: thin Twisted around ``ServerSession``."""

from __future__ import annotations

import socket
from collections.abc import Callable, Collection
from typing import Any

from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure

from yardbank.gateway.api import (
    BROKE_OPENING,
    SECOND,
    Connection,
    NotSentError,
    ProbeResult,
    Receiver,
    Reply,
    ServerSpec,
)
from yardbank.gateway.dial import dial
from yardbank.platform.server import PROBE, ServerSession
from yardbank.platform.statement import Operation

LOG_EVERY = SECOND  # of what a server can cause at will


class ServerConnection(Protocol):
    """One connection; a ``gateway.api.Connection``. Reports its end through ``lost``, once, whoever ends it."""

    transport: Any  # Twisted's stubs name no methods of a TCP transport

    def __init__(
        self,
        now: Callable[[], int],
        ready: Callable[[Connection], None],
        lost: Callable[[str], None],
        session: ServerSession | None = None,
    ) -> None:
        self._now = now
        self._ready = ready
        self._lost = lost
        self._session = session or ServerSession()
        self._receiver: Receiver | None = None
        self._probed: Callable[[ProbeResult | None], None] | None = None
        self._over = self._spent = False
        self._backlog = False  # the transport holds octets back: what follows has to go through it

    def connectionMade(self) -> None:  # noqa: N802
        """Say who we are."""
        self.transport.setTcpNoDelay(True)
        self.transport.write(self._session.take_output())

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Answers, in any split."""
        if self._over or self._spent:
            return
        session, was_open = self._session, self._session.open
        reply = session.receive(data)
        if session.open and not was_open and not session.broken:
            self._ready(self)
        if reply is not None:
            self._answered(reply)
        if session.broken and not self._over:
            self._spent = True
            if session.busy:  # the server is there and has answered, if with nonsense: it may have run
                self._answered(Reply("error", reason=f"spoilt answer: {session.broken}"))
            self._end(session.broken)

    def _answered(self, reply: Reply) -> None:
        receiver, self._receiver = self._receiver, None
        probed, self._probed = self._probed, None
        if receiver is not None:
            receiver.attempt_done(reply)
        elif probed is not None:
            probed((reply.report or ProbeResult({})) if reply.status == "ok" else None)

    def _end(self, reason: str) -> None:
        """Cut it: nothing that still comes may be taken for an answer."""
        if self._over:
            return
        self._over = True
        if not self._session.open and not self._session.broken:
            reason = BROKE_OPENING
        if (reply := self._session.ended()) is not None:
            self._answered(reply)
        receiver, self._receiver = self._receiver, None
        probed, self._probed = self._probed, None
        self._lost(reason)
        if receiver is not None:
            receiver.attempt_lost(reason)
        if probed is not None:
            probed(None)
        self.transport.abortConnection()

    def connectionLost(self, reason: Failure = Failure(ConnectionDone())) -> None:  # noqa: B008, N802
        """What is out is lost with it."""
        self._end(reason.getErrorMessage())

    # gateway.api.Connection

    def submit(self, operation: Operation, receiver: Receiver) -> int:
        """Send one statement; raises ``NotSentError`` where the connection broke and no octet of it was taken."""
        statement = operation.statement
        self._put(self._session.ask(statement.text(operation.expires - self._now()), statement.write))
        operation.sent = True
        self._receiver = receiver
        return 0

    def _put(self, octets: bytes) -> None:
        """Write at once: a transport's own write waits for the next turn, and breaks unseen until then."""
        write_some = getattr(self.transport, "writeSomeData", None)
        if write_some is not None and not self._backlog:
            taken = write_some(octets)
            if not isinstance(taken, int):  # the reason why the connection is gone
                self._spent = True
                raise NotSentError(f"nothing could be written: {taken}")
            octets = octets[taken:]
            self._backlog = bool(octets)
        if octets:
            self.transport.write(octets)

    def abandon(self, number: int) -> None:
        """Stop waiting: the connection is spent, and is closed when its place is given back.

        That is how the server learns of it. The end is not reported from here: the attempt was given up, not lost.
        """
        self._receiver = None
        self._spent = True

    def probe(self, done: Callable[[ProbeResult | None], None]) -> int:
        """Ask for the load report."""
        self.transport.write(self._session.ask(PROBE, probe=True))
        self._probed = done
        return 0

    def fit(self) -> bool:
        """Whether it is idle and silent: the server may have closed it, or sent more than it was asked for."""
        if self._over or self._spent or self._session.busy or self._session.broken:
            return False
        try:
            self.transport.socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except (OSError, AttributeError):
            return False
        return False  # an end or unasked octets: both make it useless

    def close(self) -> None:
        """Close it; nothing is out."""
        self._end("closed")


class PlatformBackend:
    """Reaches the platform's servers; a ``gateway.api.Backend``.

    ``fields``: what load reports hold, as the settings name it. ``log``: told of what servers send spoilt, at most
    once a second.
    """

    def __init__(
        self, reactor: Any, now: Callable[[], int], fields: Collection[str] | None = None, log: Any = None
    ) -> None:
        self._reactor = reactor
        self._now = now
        self._fields = fields
        self._log = log
        self._spoilt = 0
        self._spoilt_logged_at = -LOG_EVERY

    def connect(
        self, server: ServerSpec, ready: Callable[[Connection], None], lost: Callable[[str], None]
    ) -> Callable[[], None]:
        """Open a connection; see ``gateway.api.Backend``."""

        def spoilt(what: str) -> None:
            self._answer_spoilt(server.name, what)

        # The session is made with its connection and goes with it: what the dialler holds lives on until the
        # collector's next sweep, as Twisted's connector and transport point at each other.
        def made(once: Callable[[str], None]) -> ServerConnection:
            return ServerConnection(self._now, ready, once, ServerSession(self._fields, spoilt))

        return dial(self._reactor, server, made, lost)

    def _answer_spoilt(self, server: str, what: str) -> None:
        self._spoilt += 1
        if self._log is not None and (now := self._now()) - self._spoilt_logged_at >= LOG_EVERY:
            self._spoilt_logged_at = now
            self._log.warning("server_answer_spoilt", server=server, problem=what[:200], spoilt=self._spoilt)

    def describe(self, operation: Operation) -> str:
        """The class and what it is about."""
        return f"{operation.statement.request_class.name} {operation.statement.key}"
