"""Both ends of a PostgreSQL connection as protocol state machines without I/O.

They handle start-up, authentication, and the messages after these. The caller writes the bytes that ``take_output``
returns, and acts on the events that ``receive`` returns.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from enum import Enum

from yardbank.pg import messages as pg
from yardbank.pg.scram import MECHANISM, ClientExchange, ScramError, ServerExchange, Verifier
from yardbank.pg.wire import VERSION_3_0, VERSION_3_2, Frame, Framer, Reader, WireError, int32, text, value

MAX_PIPELINE = 10_000  # messages between two Syncs
MAX_PIPELINE_OCTETS = 64 << 20
MAX_GREETING_OCTETS = 64 << 10  # all that a server sends until it is ready for the first query


@dataclass(slots=True, frozen=True)
class StartupReceived:
    """A client sent its start-up message; continue with ``ServerEnd.admit`` or ``challenge``."""

    parameters: dict[str, str]


@dataclass(slots=True, frozen=True)
class LetIn:
    """The client is authenticated; continue with ``ServerEnd.welcome``."""


@dataclass(slots=True, frozen=True)
class Pipeline:
    """The messages up to a Sync or Flush, or one simple query. ReadyForQuery follows a Sync and a simple query."""

    messages: tuple[pg.Client, ...]
    simple: bool


@dataclass(slots=True, frozen=True)
class CopyMessage:
    """CopyData, CopyDone or CopyFail of a copy in progress."""

    frame: Frame


@dataclass(slots=True, frozen=True)
class CancelReceived:
    """A CancelRequest for another connection's query; this connection has no other purpose."""

    process: int
    key: bytes


@dataclass(slots=True, frozen=True)
class TerminateReceived:
    """The client sent a Terminate."""


@dataclass(slots=True, frozen=True)
class Broken:
    """The peer violated the protocol or failed to authenticate: write ``last``, then close the connection."""

    reason: str
    last: bytes = b""


@dataclass(slots=True, frozen=True)
class Discarded:
    """A message was discarded and its last octets were received."""


ServerEvent = StartupReceived | LetIn | Pipeline | CopyMessage | CancelReceived | TerminateReceived | Discarded | Broken


class _Phase(Enum):
    STARTUP, IDENTIFIED, CHALLENGED, AUTHENTICATED, OPEN, ENDED = range(6)


class ServerEnd:
    """The server's end of a client connection."""

    def __init__(self, most: int = 16 << 20, trusted: Mapping[str, str] | None = None, simple: bool = False) -> None:
        """With ``trusted``, any named user is admitted without a password and gets these parameters.

        Such a client may send its first query together with its start-up message. With ``simple``, only simple
        queries are accepted.
        """
        self._framer = Framer(most, startup=True)
        self._trusted, self._simple = trusted, simple
        self._phase = _Phase.STARTUP
        self._exchange: ServerExchange | None = None
        self._sasl_started = False
        self._pipeline: list[pg.Client] = []
        self._pipeline_octets = 0
        self._discarding = False
        self._out = bytearray()
        self._version = VERSION_3_0
        self.copying = False  # set by the caller while the client may send CopyData

    @property
    def over(self) -> bool:
        """Whether the connection has ended, so that further input is ignored."""
        return self._phase is _Phase.ENDED

    @property
    def open(self) -> bool:
        """Whether the client is authenticated and has not terminated."""
        return self._phase is _Phase.OPEN

    @property
    def waiting(self) -> int:
        """Buffered octets of an incomplete message."""
        return self._framer.waiting

    @property
    def announced(self) -> int:
        """Total size of the first buffered message, as far as known."""
        return self._framer.announced

    @property
    def missing(self) -> int:
        """Octets still to come of the message that is being received or discarded, as far as known."""
        return self._framer.missing

    @property
    def has_message(self) -> bool:
        """Whether the first buffered message was received completely."""
        return self._framer.has_frame

    def take_output(self) -> bytes:
        """Returns and clears the bytes to be written."""
        output, self._out = bytes(self._out), bytearray()
        return output

    def receive(self, data: bytes) -> list[ServerEvent]:
        """Processes received bytes, however they are split; input after the end of the connection is ignored."""
        self.add(data)
        events: list[ServerEvent] = []
        while (found := self.process_message()) is not None:
            events += found
        return events

    @property
    def discarding(self) -> bool:
        """Whether a message is being discarded."""
        return self._discarding

    def discard_message(self) -> None:
        """Drops the first buffered message, also what is not received of it yet; ``Discarded`` follows its end.

        A part of it must be buffered, and ``process_message`` have found none complete or not been called since.
        """
        self._framer.discard()
        self._discarding = True

    def add(self, data: bytes) -> None:
        """Buffers received bytes for ``process_message``; input after the end of the connection is ignored."""
        if not self.over:
            self._framer.add(data)

    def process_message(self) -> list[ServerEvent] | None:
        """Processes the first buffered message and returns its events; None if no message is complete."""
        if self.over:
            return None
        if self._discarding:
            return self._end_discarded_message()
        events: list[ServerEvent] = []
        try:
            frame = self._framer.take()
            if frame is None:
                return None
            self._handle_frame(frame, events)
        except WireError as problem:
            self._fail(events, "08P01", str(problem))
        except ScramError as problem:
            self._fail(events, "28P01", f"authentication failed: {problem}")
        return events

    def _end_discarded_message(self) -> list[ServerEvent] | None:
        if self._framer.is_discarding:
            return None
        self._discarding = False
        return [Discarded()]

    def _fail(self, events: list[ServerEvent], state: str, reason: str) -> None:
        self._phase = _Phase.ENDED
        self._pipeline.clear()
        self._framer.clear()
        events.append(Broken(reason, pg.error(state, reason, severity="FATAL").encode()))

    def _handle_frame(self, frame: Frame, events: list[ServerEvent]) -> None:
        if self._phase is _Phase.STARTUP:
            self._handle_first_message(frame, events)
        elif self._phase is _Phase.CHALLENGED:
            self._handle_sasl(frame, events)
        elif self._phase is _Phase.OPEN:
            self._handle_message(frame, events)
        else:  # a client may send nothing before it is authenticated
            self._fail(events, "08P01", "a message before the answer to the start-up")

    def _handle_first_message(self, frame: Frame, events: list[ServerEvent]) -> None:
        message = pg.decode_first(frame)
        match message:
            case pg.EncryptionRequest():
                self._out += b"N"  # the client then continues unencrypted or disconnects
            case pg.CancelRequest(process, key):
                self._phase = _Phase.ENDED
                events.append(CancelReceived(process, key))
            case pg.Startup(version, parameters):
                by_name = dict(parameters)
                unknown = [name for name in by_name if name.startswith("_pq_.")]
                if version > VERSION_3_2 or unknown:  # the client may continue with the offered version
                    body = int32(min(version, VERSION_3_2)) + int32(len(unknown)) + b"".join(map(text, unknown))
                    self._out += Frame(ord("v"), body).encode()
                self._version = min(version, VERSION_3_2)
                if not by_name.get("user"):
                    self._fail(events, "28000", "no user is named")
                    return
                self._framer.started()
                self._phase = _Phase.IDENTIFIED
                if self._trusted is None:
                    events.append(StartupReceived(by_name))
                else:
                    self.admit()
                    self.welcome(self._trusted, 0, bytes(4))
                    events.append(LetIn())

    def challenge(self, stored: Verifier, nonce: str) -> None:
        """Requests SCRAM authentication from the client."""
        assert self._phase is _Phase.IDENTIFIED
        self._phase, self._exchange = _Phase.CHALLENGED, ServerExchange(stored, nonce)
        self._out += Frame(ord("R"), int32(10) + text(MECHANISM) + b"\0").encode()

    def admit(self) -> None:
        """Admits the client without authentication."""
        assert self._phase is _Phase.IDENTIFIED
        self._phase = _Phase.AUTHENTICATED

    def refuse(self, state: str, reason: str) -> bytes:
        """Rejects the client; returns the error message to send before closing."""
        self._phase = _Phase.ENDED
        return pg.error(state, reason, severity="FATAL").encode()

    def _handle_sasl(self, frame: Frame, events: list[ServerEvent]) -> None:
        assert self._exchange is not None
        if frame.type != ord("p"):
            raise WireError("a message where a proof is due")
        if not self._sasl_started:
            reader = Reader(frame.body)
            if reader.text("mechanism") != MECHANISM:
                raise ScramError("another mechanism than was offered")
            first = reader.value("initial response")
            reader.end("SASLInitialResponse")
            answer = self._exchange.first(first or b"")
            self._sasl_started = True
            self._out += Frame(ord("R"), int32(11) + answer).encode()
            return
        final = self._exchange.finish(frame.body)
        self._out += Frame(ord("R"), int32(12) + final).encode()
        self._phase = _Phase.AUTHENTICATED
        events.append(LetIn())

    def welcome(self, parameters: Mapping[str, str], process: int, key: bytes) -> None:
        """Opens the session: sends its parameters and the key for cancel requests."""
        assert self._phase is _Phase.AUTHENTICATED
        self._phase = _Phase.OPEN
        self._out += Frame(ord("R"), int32(0)).encode()
        for name, setting in parameters.items():
            self._out += pg.write_parameter(name, setting).encode()
        sent_key = key if self._version >= VERSION_3_2 else key[:4]
        self._out += Frame(ord("K"), int32(process) + sent_key).encode()
        self._out += Frame(ord("Z"), b"I").encode()

    def _handle_message(self, frame: Frame, events: list[ServerEvent]) -> None:
        if frame.type in b"dcf":  # late copy messages, after the copy failed, are dropped as the protocol requires
            if self.copying:
                events.append(CopyMessage(frame))
            return
        message = pg.decode_client(frame)
        if message == pg.TERMINATE:
            self._phase = _Phase.ENDED
            events.append(TerminateReceived())
        elif isinstance(message, pg.Query):
            if self._pipeline:  # allowed by the protocol: the messages before the query run first
                events.append(Pipeline(tuple(self._pipeline), False))
                self._clear_pipeline()
            events.append(Pipeline((message,), True))
        elif self._simple:
            self._fail(events, "0A000", "only simple queries are taken here")
        else:
            self._pipeline.append(message)
            self._pipeline_octets += len(frame.body)
            if len(self._pipeline) > MAX_PIPELINE or self._pipeline_octets > MAX_PIPELINE_OCTETS:
                reason = f"more than {MAX_PIPELINE} messages or {MAX_PIPELINE_OCTETS} octets unsynced"
                self._fail(events, "53400", reason)
            elif message in (pg.SYNC, pg.FLUSH):
                events.append(Pipeline(tuple(self._pipeline), False))
                self._clear_pipeline()

    def _clear_pipeline(self) -> None:
        self._pipeline.clear()
        self._pipeline_octets = 0


@dataclass(slots=True, frozen=True)
class Opened:
    """The server accepted the connection."""

    parameters: dict[str, str]
    process: int
    key: bytes


@dataclass(slots=True, frozen=True)
class Answer:
    """A message from the server."""

    frame: Frame


@dataclass(slots=True, frozen=True)
class Idle:
    """ReadyForQuery: the pipeline was answered. ``status`` is ``I``, ``T`` or ``E``."""

    status: str


ClientEvent = Opened | Answer | Idle | Broken


class ClientEnd:
    """The client's end of a connection to a server."""

    def __init__(self, user: str, database: str, password: str, nonce: str, most: int = 64 << 20) -> None:
        """``most``: maximum octets of a message body; until the connection is open, ``MAX_GREETING_OCTETS`` in all."""
        self._max_body = most
        self._framer = Framer(min(most, MAX_GREETING_OCTETS))
        self._greeting_octets = 0
        self._parameters = (("user", user), ("database", database), ("application_name", "yardbank"))
        self._exchange, self._password = ClientExchange(password, nonce), password
        self._open = self._ended = self._authenticated = False
        self._scram_started = False  # the server requested SCRAM and it was started
        self._server_parameters: dict[str, str] = {}
        self._process, self._key = 0, b""
        self.status = ""  # transaction status in the last ReadyForQuery
        self._out = bytearray(pg.encode_client(pg.Startup(VERSION_3_0, self._parameters)).encode())

    @property
    def waiting(self) -> int:
        """Buffered octets of an incomplete message."""
        return self._framer.waiting

    @property
    def announced(self) -> int:
        """Total octets of the message that is being received, as far as known."""
        return self._framer.announced

    @property
    def greeting_octets(self) -> int:
        """Octets of the messages received before the connection is open, which are kept until then."""
        return 0 if self._open else self._greeting_octets

    def take_output(self) -> bytes:
        """Returns and clears the bytes to be written."""
        output, self._out = bytes(self._out), bytearray()
        return output

    def receive(self, data: bytes) -> Iterator[ClientEvent]:
        """Processes received bytes, however they are split."""
        if self._ended:
            return
        try:
            for frame in self._framer.feed(data):
                yield from self._handle_frame(frame)
                if self._ended:
                    return
        except (WireError, ScramError) as problem:
            self._ended = True
            yield Broken(str(problem))

    def _handle_frame(self, frame: Frame) -> Iterator[ClientEvent]:
        kind = chr(frame.type)
        if not self._open:
            yield from self._during_start_up(kind, frame)
        elif kind == "Z":
            self.status = pg.read_ready(frame).status
            yield Idle(self.status)
        else:
            yield Answer(frame)

    def _during_start_up(self, kind: str, frame: Frame) -> Iterator[ClientEvent]:
        """Handles a message that arrives before the connection is open; what it keeps of them is bounded."""
        self._greeting_octets += len(frame.body)
        if self._greeting_octets > MAX_GREETING_OCTETS:
            raise WireError(f"more than {MAX_GREETING_OCTETS} octets before the connection is open")
        if kind == "S":
            name, setting = pg.read_parameter(frame)
            self._server_parameters[name] = setting
        elif kind == "R":
            self._authenticate(frame)
        elif kind == "K":
            reader = Reader(frame.body)
            self._process, self._key = reader.int32("process"), reader.rest()
        elif kind == "Z":
            if not self._authenticated:
                raise WireError("ready before anybody was let in")
            self._open, self.status = True, pg.read_ready(frame).status
            self._framer.limit_body(self._max_body)
            parameters, self._server_parameters = self._server_parameters, {}
            yield Opened(parameters, self._process, self._key)
        elif kind == "E":
            fault = dict(pg.read_fault(frame).fields)
            self._ended = True
            yield Broken(f"the server refused: {fault.get('C', '')} {fault.get('M', '')}")
        elif kind not in "Nv":
            raise WireError(f"message type {kind!r} during start-up")

    def _authenticate(self, frame: Frame) -> None:
        reader = Reader(frame.body)
        match reader.int32("authentication"):
            case 0:
                if self._password and self._scram_started and not self._authenticated:
                    raise ScramError("the server let us in without its own proof")
                self._authenticated = True
            case 10:
                offered = []
                while name := reader.text("mechanism"):
                    offered.append(name)
                if not self._password:
                    raise ScramError("the server wants a password, and none is set")
                if MECHANISM not in offered:
                    raise ScramError(f"the server wants {', '.join(offered)}")
                self._scram_started = True
                self._out += Frame(ord("p"), text(MECHANISM) + value(self._exchange.first())).encode()
            case 11:
                self._out += Frame(ord("p"), self._exchange.answer(reader.rest())).encode()
            case 12:
                self._exchange.finish(reader.rest())
                self._authenticated = True
            case other:
                raise ScramError(f"authentication of kind {other} is not spoken")
