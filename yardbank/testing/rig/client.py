"""An LDAP client for scripts and load: concurrent operations on one connection, with each message recorded."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure

from yardbank.ldap import codec, control_codec
from yardbank.ldap import messages as m
from yardbank.ldap.ber import BerError
from yardbank.ldap.state import Answered, ClientEnd

Record = Callable[[dict[str, Any]], None]
LOST = -1  # instead of a result code: the connection was lost first
GONE = -2  # the client departed or cancelled the request


@dataclass(slots=True)
class Answer:
    """The complete response to one request."""

    code: int
    diagnostic: str = ""
    entries: list[m.SearchEntry] = field(default_factory=list)
    references: list[tuple[str, ...]] = field(default_factory=list)
    controls: tuple[m.Control, ...] = ()
    result: m.Result | None = None


@dataclass(slots=True)
class _PendingRequest:
    done: Deferred[Answer]
    tag: str
    answer: Answer


class Client(Protocol):
    """One connection. Requests return a Deferred of the answer; after a lost connection all get ``LOST``."""

    transport: Any  # Twisted's stubs lack the methods of a TCP transport

    def __init__(self, name: str, record: Record | None = None) -> None:
        self.name = name
        self._end = ClientEnd()
        self._asked: dict[int, _PendingRequest] = {}
        self._record = record
        self.gone = False
        self._closing = self._departed = False
        self.reason = ""

    def connectionMade(self) -> None:  # noqa: N802
        """Disables Nagle's algorithm and records the local port."""
        if hasattr(self.transport, "setTcpNoDelay"):
            self.transport.setTcpNoDelay(True)
        if hasattr(self.transport, "getHost"):
            self._record_fact("opened", port=getattr(self.transport.getHost(), "port", 0))

    @property
    def open_requests(self) -> int:
        """The number of requests without a final answer."""
        return len(self._asked)

    def _record_fact(self, kind: str, **facts: Any) -> None:
        if self._record:
            self._record({"kind": kind, "client": self.name, **facts})

    def request(
        self, operation: m.Request, controls: tuple[m.Control, ...] = (), tag: str = "", **facts: Any
    ) -> Deferred[Answer]:
        """Sends a request. ``tag`` identifies it in the record; ``facts`` are recorded with it."""
        done: Deferred[Answer] = Deferred()
        if self.gone or self.transport is None:
            done.callback(Answer(LOST, "not connected"))
            return done
        raw = codec.encode_operation(operation)
        number, data = self._end.ask(raw, raw[0], control_codec.encode_controls(controls))
        self._asked[number] = _PendingRequest(done, tag, Answer(LOST))
        if tag:
            self._record_fact("sent", tag=tag, message=number, **facts)
        self.transport.write(data)
        return done

    def bind(self, name: str, password: str) -> Deferred[Answer]:
        """Sends a simple bind."""
        return self.request(m.BindRequest(name, password.encode()))

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Processes responses."""
        try:
            events = self._end.receive(data)
        except BerError as problem:  # a response to no open request: it must be in the record
            self._record_fact("unasked", reason=str(problem))
            self.transport.abortConnection()
            return
        for event in events:
            if not isinstance(event, Answered):
                self.reason = event.reason
                self._record_fact("notice", reason=event.reason)
                continue
            pending = self._asked[event.id]
            try:
                operation = codec.decode_operation(event.raw.operation)
            except BerError as problem:  # valid envelope, malformed operation: the connection is unusable
                self._record_fact("garbled", tag=pending.tag, reason=str(problem))
                self.leave()
                return
            if isinstance(operation, m.SearchEntry):
                pending.answer.entries.append(operation)
            elif isinstance(operation, m.SearchReference):
                pending.answer.references.append(operation.uris)
            if not event.final:
                continue
            del self._asked[event.id]
            assert isinstance(operation, m.Result)
            pending.answer.code, pending.answer.diagnostic = operation.code, operation.diagnostic
            pending.answer.result, pending.answer.controls = (
                operation,
                control_codec.decode_controls(event.raw.controls),
            )
            if pending.tag:
                self._record_fact(
                    "answer", tag=pending.tag, message=event.id, code=operation.code, text=operation.diagnostic
                )
            pending.done.callback(pending.answer)
        self._close_if_answered()

    def connectionLost(self, reason: Failure = Failure(ConnectionDone())) -> None:  # noqa: B008, N802
        """Completes all open requests."""
        self.gone = True
        self._record_fact("lost", reason=self.reason or reason.getErrorMessage())
        pending, self._asked = self._asked, {}
        for one in pending.values():
            one.done.callback(Answer(GONE if self._departed else LOST, "connection lost"))

    def close_when_answered(self) -> None:
        """Sends no further requests, and closes when all are answered."""
        self._closing = True
        self._close_if_answered()

    def _close_if_answered(self) -> None:
        if self._closing and not self._asked and not self.gone:
            self.leave()

    def depart(self, means: str) -> None:
        """Departs without waiting for answers: by "close" (FIN), "reset", or "abandon" of all open requests."""
        if means == "abandon":
            pending, self._asked = self._asked, {}
            self.transport.write(b"".join(self._end.abandon(number) for number in pending))
            for one in pending.values():
                if one.tag:
                    self._record_fact("cancelled", tag=one.tag)
                one.done.callback(Answer(GONE, "abandoned"))
            self._close_if_answered()
            return
        self._departed = True
        if means == "reset":
            self.leave()
            return
        self._record_fact("left")
        self.gone = True
        self.transport.loseConnection()

    def leave(self) -> None:
        """Aborts the connection."""
        self._record_fact("left")
        self.gone = True
        if self.transport is not None:
            self.transport.abortConnection()


def connect(reactor: Any, host: str, port: int, name: str, record: Record | None = None) -> Deferred[Client]:
    """Connects a client."""
    endpoint = TCP4ClientEndpoint(reactor, host, port, timeout=5)
    done: Deferred[Client] = connectProtocol(endpoint, Client(name, record))
    return done
