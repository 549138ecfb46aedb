"""Both ends of a PostgreSQL connection as state machines without I/O: start-up, authentication, then messages.

Bytes to be written come back from the calls that cause them; what the owner must act on comes as events.
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


@dataclass(slots=True, frozen=True)
class WantsIn:
    """A client names itself; ``ServerEnd.admit`` or ``challenge`` goes on."""

    parameters: dict[str, str]


@dataclass(slots=True, frozen=True)
class LetIn:
    """The client has proved who it is; ``ServerEnd.welcome`` goes on."""


@dataclass(slots=True, frozen=True)
class Pipeline:
    """What a client sent up to a Sync, or one simple query: answered as a whole, then ReadyForQuery."""

    messages: tuple[pg.Client, ...]
    simple: bool


@dataclass(slots=True, frozen=True)
class CopyPart:
    """CopyData, CopyDone or CopyFail of a copy that is under way."""

    frame: Frame


@dataclass(slots=True, frozen=True)
class Cancel:
    """Another connection's query is to be cancelled; this one only says so."""

    process: int
    key: bytes


@dataclass(slots=True, frozen=True)
class Leaves:
    """The client is done."""


@dataclass(slots=True, frozen=True)
class Broken:
    """The other end broke the protocol or proved nothing: ``last`` is to be written, then the connection closed."""

    reason: str
    last: bytes = b""


ServerEvent = WantsIn | LetIn | Pipeline | CopyPart | Cancel | Leaves | Broken


class _At(Enum):
    FIRST, NAMED, CHALLENGED, PROVED, OPEN, OVER = range(6)


class ServerEnd:
    """The end that a client connects to."""

    def __init__(self, most: int = 16 << 20, trusted: Mapping[str, str] | None = None, simple: bool = False) -> None:
        """``trusted``: whoever names a user is let in at once and told these parameters; ``simple``: queries only.

        A trusted client's first query may come straight after its start-up.
        """
        self._framer = Framer(most, startup=True)
        self._trusted, self._simple = trusted, simple
        self._at = _At.FIRST
        self._exchange: ServerExchange | None = None
        self._sent_first = False
        self._gathered: list[pg.Client] = []
        self._octets = 0
        self._out = bytearray()
        self._version = VERSION_3_0
        self.copying = False  # set by the owner while the client may send CopyData

    @property
    def over(self) -> bool:
        """Whether nothing is read any more."""
        return self._at is _At.OVER

    @property
    def open(self) -> bool:
        """Whether the client was let in and has not left."""
        return self._at is _At.OPEN

    @property
    def waiting(self) -> int:
        """Octets kept of a message that is not whole."""
        return self._framer.waiting

    @property
    def announced(self) -> int:
        """Octets of the message under way when it is whole."""
        return self._framer.announced

    def take_output(self) -> bytes:
        """What is to be written now."""
        found, self._out = bytes(self._out), bytearray()
        return found

    def receive(self, data: bytes) -> list[ServerEvent]:
        """Take bytes in any split; nothing is read after the connection is over."""
        events: list[ServerEvent] = []
        if self.over:
            return events
        try:
            for frame in self._framer.feed(data):
                self._one(frame, events)
                if self.over:
                    break
        except WireError as problem:
            self._break(events, "08P01", str(problem))
        except ScramError as problem:
            self._break(events, "28P01", f"authentication failed: {problem}")
        return events

    def _break(self, events: list[ServerEvent], state: str, reason: str) -> None:
        self._at = _At.OVER
        self._gathered.clear()
        events.append(Broken(reason, pg.error(state, reason, severity="FATAL").encode()))

    def _one(self, frame: Frame, events: list[ServerEvent]) -> None:
        if self._at is _At.FIRST:
            self._first(frame, events)
        elif self._at is _At.CHALLENGED:
            self._proof(frame, events)
        elif self._at is _At.OPEN:
            self._message(frame, events)
        else:  # a client has nothing to say before it is let in
            self._break(events, "08P01", "a message before the answer to the start-up")

    def _first(self, frame: Frame, events: list[ServerEvent]) -> None:
        message = pg.decode_first(frame)
        match message:
            case pg.EncryptionRequest():
                self._out += b"N"  # then the client goes on in plain, or leaves
            case pg.CancelRequest(process, key):
                self._at = _At.OVER
                events.append(Cancel(process, key))
            case pg.Startup(version, parameters):
                named = dict(parameters)
                unknown = [name for name in named if name.startswith("_pq_.")]
                if version > VERSION_3_2 or unknown:  # the client may go on with what there is
                    body = int32(min(version, VERSION_3_2)) + int32(len(unknown)) + b"".join(map(text, unknown))
                    self._out += Frame(ord("v"), body).encode()
                self._version = min(version, VERSION_3_2)
                if not named.get("user"):
                    self._break(events, "28000", "no user is named")
                    return
                self._framer.started()
                self._at = _At.NAMED
                if self._trusted is None:
                    events.append(WantsIn(named))
                else:
                    self.admit()
                    self.welcome(self._trusted, 0, bytes(4))
                    events.append(LetIn())

    def challenge(self, kept: Verifier, nonce: str) -> None:
        """Ask for a proof of the password."""
        assert self._at is _At.NAMED
        self._at, self._exchange = _At.CHALLENGED, ServerExchange(kept, nonce)
        self._out += Frame(ord("R"), int32(10) + text(MECHANISM) + b"\0").encode()

    def admit(self) -> None:
        """Let the client in without a proof."""
        assert self._at is _At.NAMED
        self._at = _At.PROVED

    def refuse(self, state: str, reason: str) -> bytes:
        """The last word to a client that is not let in."""
        self._at = _At.OVER
        return pg.error(state, reason, severity="FATAL").encode()

    def _proof(self, frame: Frame, events: list[ServerEvent]) -> None:
        assert self._exchange is not None
        if frame.type != ord("p"):
            raise WireError("a message where a proof is due")
        if not self._sent_first:
            reader = Reader(frame.body)
            if reader.text("mechanism") != MECHANISM:
                raise ScramError("another mechanism than was offered")
            first = reader.value("initial response")
            reader.end("SASLInitialResponse")
            answer = self._exchange.first(first or b"")
            self._sent_first = True
            self._out += Frame(ord("R"), int32(11) + answer).encode()
            return
        final = self._exchange.finish(frame.body)
        self._out += Frame(ord("R"), int32(12) + final).encode()
        self._at = _At.PROVED
        events.append(LetIn())

    def welcome(self, parameters: Mapping[str, str], process: int, key: bytes) -> None:
        """The client is in: what it must know of the session, and how to cancel."""
        assert self._at is _At.PROVED
        self._at = _At.OPEN
        self._out += Frame(ord("R"), int32(0)).encode()
        for name, held in parameters.items():
            self._out += Frame(ord("S"), text(name) + text(held)).encode()
        short = key if self._version >= VERSION_3_2 else key[:4]
        self._out += Frame(ord("K"), int32(process) + short).encode()
        self._out += Frame(ord("Z"), b"I").encode()

    def _message(self, frame: Frame, events: list[ServerEvent]) -> None:
        if frame.type in b"dcf":  # of a copy; late ones, after it failed, are dropped as the protocol asks
            if self.copying:
                events.append(CopyPart(frame))
            return
        message = pg.decode_client(frame)
        if message == pg.TERMINATE:
            self._at = _At.OVER
            events.append(Leaves())
        elif isinstance(message, pg.Query):
            if self._gathered:  # allowed, if odd: what came before is run first
                events.append(Pipeline(tuple(self._gathered), False))
                self._clear()
            events.append(Pipeline((message,), True))
        elif self._simple:
            self._break(events, "0A000", "only simple queries are taken here")
        else:
            self._gathered.append(message)
            self._octets += len(frame.body)
            if len(self._gathered) > MAX_PIPELINE or self._octets > MAX_PIPELINE_OCTETS:
                reason = f"more than {MAX_PIPELINE} messages or {MAX_PIPELINE_OCTETS} octets unsynced"
                self._break(events, "53400", reason)
            elif message in (pg.SYNC, pg.FLUSH):
                events.append(Pipeline(tuple(self._gathered), False))
                self._clear()

    def _clear(self) -> None:
        self._gathered.clear()
        self._octets = 0


@dataclass(slots=True, frozen=True)
class Opened:
    """A server let us in."""

    parameters: dict[str, str]
    process: int
    key: bytes


@dataclass(slots=True, frozen=True)
class Answer:
    """One message of a server's."""

    frame: Frame


@dataclass(slots=True, frozen=True)
class Idle:
    """ReadyForQuery: a pipeline is answered. ``status``: ``I``, ``T`` or ``E``."""

    status: str


ClientEvent = Opened | Answer | Idle | Broken


class ClientEnd:
    """The end that connects to a server."""

    def __init__(self, user: str, database: str, password: str, nonce: str, most: int = 64 << 20) -> None:
        self._framer = Framer(most)
        self._parameters = (("user", user), ("database", database), ("application_name", "yardbank"))
        self._exchange, self._password = ClientExchange(password, nonce), password
        self._open = self._over = self._proved = False
        self._asked = False  # a proof was asked for and given
        self._told: dict[str, str] = {}
        self._process, self._key = 0, b""
        self.status = ""  # of the transaction, as last told
        self._out = bytearray(pg.encode_client(pg.Startup(VERSION_3_0, self._parameters)).encode())

    @property
    def waiting(self) -> int:
        """Octets kept of a message that is not whole."""
        return self._framer.waiting

    def take_output(self) -> bytes:
        """What is to be written now."""
        found, self._out = bytes(self._out), bytearray()
        return found

    def receive(self, data: bytes) -> Iterator[ClientEvent]:
        """Take bytes in any split."""
        if self._over:
            return
        try:
            for frame in self._framer.feed(data):
                yield from self._one(frame)
                if self._over:
                    return
        except (WireError, ScramError) as problem:
            self._over = True
            yield Broken(str(problem))

    def _one(self, frame: Frame) -> Iterator[ClientEvent]:
        kind = chr(frame.type)
        if kind == "S":
            name, held = pg.read_parameter(frame)
            self._told[name] = held
            if self._open:
                yield Answer(frame)
        elif self._open:
            if kind == "Z":
                self.status = pg.read_ready(frame).status
                yield Idle(self.status)
            else:
                yield Answer(frame)
        else:
            yield from self._during_start_up(kind, frame)

    def _during_start_up(self, kind: str, frame: Frame) -> Iterator[ClientEvent]:
        """A message that comes before the connection is open."""
        if kind == "R":
            self._authenticate(frame)
        elif kind == "K":
            reader = Reader(frame.body)
            self._process, self._key = reader.int32("process"), reader.rest()
        elif kind == "Z":
            if not self._proved:
                raise WireError("ready before anybody was let in")
            self._open, self.status = True, pg.read_ready(frame).status
            yield Opened(dict(self._told), self._process, self._key)
        elif kind == "E":
            fault = dict(pg.read_fault(frame).fields)
            self._over = True
            yield Broken(f"the server refused: {fault.get('C', '')} {fault.get('M', '')}")
        elif kind not in "Nv":
            raise WireError(f"message type {kind!r} during start-up")

    def _authenticate(self, frame: Frame) -> None:
        reader = Reader(frame.body)
        match reader.int32("authentication"):
            case 0:
                if self._password and self._asked and not self._proved:
                    raise ScramError("the server let us in without its own proof")
                self._proved = True
            case 10:
                offered = []
                while name := reader.text("mechanism"):
                    offered.append(name)
                if not self._password:
                    raise ScramError("the server wants a password, and none is set")
                if MECHANISM not in offered:
                    raise ScramError(f"the server wants {', '.join(offered)}")
                self._asked = True
                self._out += Frame(ord("p"), text(MECHANISM) + value(self._exchange.first())).encode()
            case 11:
                self._out += Frame(ord("p"), self._exchange.answer(reader.rest())).encode()
            case 12:
                self._exchange.finish(reader.rest())
                self._proved = True
            case other:
                raise ScramError(f"authentication of kind {other} is not spoken")
