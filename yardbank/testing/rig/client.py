"""An LDAP client for scripts and load: many operations at once on one connection, every frame recorded."""

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
LOST = -1  # in place of a result code: the connection went first
GONE = -2  # or the client itself did, or wanted no answer any more


@dataclass(slots=True)
class Answer:
    """All that came for one request."""

    code: int
    diagnostic: str = ""
    entries: list[m.SearchEntry] = field(default_factory=list)
    references: list[tuple[str, ...]] = field(default_factory=list)
    controls: tuple[m.Control, ...] = ()
    result: m.Result | None = None


@dataclass(slots=True)
class _Asked:
    done: Deferred[Answer]
    tag: str
    answer: Answer


class Client(Protocol):
    """One connection. ``request`` gives a Deferred of the answer; a lost connection ends all with ``LOST``."""

    transport: Any  # Twisted's stubs name no methods of a TCP transport

    def __init__(self, name: str, record: Record | None = None) -> None:
        self.name = name
        self._end = ClientEnd()
        self._asked: dict[int, _Asked] = {}
        self._record = record
        self.gone = False
        self._leaving = self._departed = False
        self.reason = ""

    def connectionMade(self) -> None:  # noqa: N802
        """No delay for small messages."""
        if hasattr(self.transport, "setTcpNoDelay"):
            self.transport.setTcpNoDelay(True)
        if hasattr(self.transport, "getHost"):
            self._note("opened", port=getattr(self.transport.getHost(), "port", 0))

    @property
    def owed(self) -> int:
        """Requests without their final answer."""
        return len(self._asked)

    def _note(self, kind: str, **facts: Any) -> None:
        if self._record:
            self._record({"kind": kind, "client": self.name, **facts})

    def request(
        self, operation: m.Request, controls: tuple[m.Control, ...] = (), tag: str = "", **facts: Any
    ) -> Deferred[Answer]:
        """Send one request; ``tag`` names it in the record, along with ``facts``."""
        done: Deferred[Answer] = Deferred()
        if self.gone or self.transport is None:
            done.callback(Answer(LOST, "not connected"))
            return done
        raw = codec.encode_operation(operation)
        number, data = self._end.ask(raw, raw[0], control_codec.encode_controls(controls))
        self._asked[number] = _Asked(done, tag, Answer(LOST))
        if tag:
            self._note("sent", tag=tag, message=number, **facts)
        self.transport.write(data)
        return done

    def bind(self, name: str, password: str) -> Deferred[Answer]:
        """Simple bind."""
        return self.request(m.BindRequest(name, password.encode()))

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Answers."""
        try:
            events = self._end.receive(data)
        except BerError as problem:  # an answer to nothing that is owed one: the record must show it
            self._note("unasked", reason=str(problem))
            self.transport.abortConnection()
            return
        for event in events:
            if not isinstance(event, Answered):
                self.reason = event.reason
                self._note("notice", reason=event.reason)
                continue
            asked = self._asked[event.id]
            try:
                operation = codec.decode_operation(event.raw.operation)
            except BerError as problem:  # whole on the outside only: nothing on this connection can be believed now
                self._note("garbled", tag=asked.tag, reason=str(problem))
                self.leave()
                return
            if isinstance(operation, m.SearchEntry):
                asked.answer.entries.append(operation)
            elif isinstance(operation, m.SearchReference):
                asked.answer.references.append(operation.uris)
            if not event.final:
                continue
            del self._asked[event.id]
            assert isinstance(operation, m.Result)
            asked.answer.code, asked.answer.diagnostic = operation.code, operation.diagnostic
            asked.answer.result, asked.answer.controls = operation, control_codec.decode_controls(event.raw.controls)
            if asked.tag:
                self._note("answer", tag=asked.tag, message=event.id, code=operation.code, text=operation.diagnostic)
            asked.done.callback(asked.answer)
        self._look()

    def connectionLost(self, reason: Failure = Failure(ConnectionDone())) -> None:  # noqa: B008, N802
        """Nothing more comes."""
        self.gone = True
        self._note("lost", reason=self.reason or reason.getErrorMessage())
        asked, self._asked = self._asked, {}
        for one in asked.values():
            one.done.callback(Answer(GONE if self._departed else LOST, "the connection went"))

    def leave_when_answered(self) -> None:
        """Ask nothing more; close as soon as nothing is owed."""
        self._leaving = True
        self._look()

    def _look(self) -> None:
        if self._leaving and not self._asked and not self.gone:
            self.leave()

    def depart(self, means: str) -> None:
        """Want no answer any more: "close" (FIN) or "reset" the connection, or "abandon" what is outstanding on it."""
        if means == "abandon":
            asked, self._asked = self._asked, {}
            self.transport.write(b"".join(self._end.abandon(number) for number in asked))
            for one in asked.values():
                if one.tag:
                    self._note("cancelled", tag=one.tag)
                one.done.callback(Answer(GONE, "given up"))
            self._look()
            return
        self._departed = True
        if means == "reset":
            self.leave()
            return
        self._note("left")
        self.gone = True
        self.transport.loseConnection()

    def leave(self) -> None:
        """Close without a word: the client has gone, and asks nothing more on this connection."""
        self._note("left")
        self.gone = True
        if self.transport is not None:
            self.transport.abortConnection()


def connect(reactor: Any, host: str, port: int, name: str, record: Record | None = None) -> Deferred[Client]:
    """A connected client."""
    endpoint = TCP4ClientEndpoint(reactor, host, port, timeout=5)
    done: Deferred[Client] = connectProtocol(endpoint, Client(name, record))
    return done
