"""Encodes and decodes messages of PostgreSQL's protocol 3 (chapter "Message Formats"). No I/O.

Messages that a proxy only forwards (rows, notices, most responses) remain a ``Frame``; only the others are decoded.
"""

from __future__ import annotations

from dataclasses import dataclass

from yardbank.pg.wire import (
    CANCEL_REQUEST,
    GSS_REQUEST,
    SSL_REQUEST,
    Frame,
    Reader,
    WireError,
    int16,
    int32,
    text,
    value,
)

MAX_PARAMETERS = 1000  # in one StartupMessage
MAX_FAULT_FIELDS = 64  # in one ErrorResponse or NoticeResponse


@dataclass(slots=True, frozen=True)
class Startup:
    """StartupMessage: the protocol version and the client's parameters."""

    version: int
    parameters: tuple[tuple[str, str], ...]


@dataclass(slots=True, frozen=True)
class EncryptionRequest:
    """SSLRequest or GSSENCRequest, by ``code``."""

    code: int


@dataclass(slots=True, frozen=True)
class CancelRequest:
    """Cancels the query of another connection; protocol 3.2 allows keys of up to 256 octets."""

    process: int
    key: bytes


@dataclass(slots=True, frozen=True)
class Query:
    """A simple query: a text of one or more statements."""

    text: str


@dataclass(slots=True, frozen=True)
class Parse:
    """Prepares a statement."""

    name: str
    text: str
    types: tuple[int, ...] = ()


@dataclass(slots=True, frozen=True)
class Bind:
    """Creates a portal from a statement. Formats and values remain encoded in ``rest``."""

    portal: str
    statement: str
    rest: bytes = b"\0\0\0\0\0\0"  # parameter formats, parameters, result formats

    def parameters(self) -> tuple[tuple[int, ...], tuple[bytes | None, ...], tuple[int, ...]]:
        """Decodes parameter formats, values and result formats. Raises ``WireError``."""
        reader = Reader(self.rest)
        formats = tuple(reader.int16("format") for _ in range(reader.count("formats", 2)))
        values = tuple(reader.value("parameter") for _ in range(reader.count("parameters", 4)))
        results = tuple(reader.int16("result format") for _ in range(reader.count("result formats", 2)))
        reader.end("Bind")
        return formats, values, results


@dataclass(slots=True, frozen=True)
class Describe:
    """Describes a statement (``what`` is ``S``) or a portal (``P``)."""

    what: str
    name: str


@dataclass(slots=True, frozen=True)
class Close:
    """Closes a statement (``what`` is ``S``) or a portal (``P``)."""

    what: str
    name: str


@dataclass(slots=True, frozen=True)
class Execute:
    """Executes a portal; returns at most ``most`` rows, or all if 0."""

    portal: str
    most: int = 0


@dataclass(slots=True, frozen=True)
class Plain:
    """A message without fields: Sync, Flush, Terminate, CopyDone."""

    type: int


@dataclass(slots=True, frozen=True)
class Data:
    """A message whose body is not decoded: CopyData, CopyFail, a password or SASL message, a function call."""

    type: int
    octets: bytes


Client = Startup | EncryptionRequest | CancelRequest | Query | Parse | Bind | Describe | Close | Execute | Plain | Data

SYNC, FLUSH, TERMINATE, COPY_DONE = (Plain(ord(c)) for c in "SHXc")
_DATA = frozenset(b"dfpF")  # F is a function call, which is forwarded without decoding
_PLAIN = frozenset(b"SHXc")


def decode_first(frame: Frame) -> Startup | EncryptionRequest | CancelRequest:
    """Decodes a client's first message. Raises ``WireError``."""
    reader = Reader(frame.body)
    code = reader.int32("version")
    if code in (SSL_REQUEST, GSS_REQUEST):
        reader.end("request")
        return EncryptionRequest(code)
    if code == CANCEL_REQUEST:
        process = reader.int32("process")
        key = reader.rest()
        if not 4 <= len(key) <= 256:
            raise WireError(f"CancelRequest: a key of {len(key)} octets")
        return CancelRequest(process, key)
    if code >> 16 != 3:
        raise WireError(f"protocol version {code >> 16}.{code & 0xFFFF}")
    found: list[tuple[str, str]] = []
    while name := reader.text("parameter"):
        found.append((name, reader.text(f"parameter {name!r}")))
        if len(found) > MAX_PARAMETERS:
            raise WireError(f"more than {MAX_PARAMETERS} parameters")
    reader.end("StartupMessage")
    return Startup(code, tuple(found))


def decode_client(frame: Frame) -> Client:
    """Decodes a client's message after the first. Raises ``WireError`` naming the field."""
    kind, reader = chr(frame.type), Reader(frame.body)
    decoded: Client
    match kind:
        case "Q":
            decoded = Query(reader.text("query"))
        case "P":
            name, query = reader.text("statement"), reader.text("query")
            types = tuple(reader.int32("type") & 0xFFFFFFFF for _ in range(reader.count("types", 4)))
            decoded = Parse(name, query, types)
        case "B":
            decoded = Bind(reader.text("portal"), reader.text("statement"), reader.rest())
            decoded.parameters()
            return decoded
        case "D" | "C":
            what = chr(reader.octet("kind"))
            if what not in "SP":
                raise WireError(f"kind {what!r} is neither S nor P")
            decoded = (Describe if kind == "D" else Close)(what, reader.text("name"))
        case "E":
            decoded = Execute(reader.text("portal"), reader.int32("rows"))
        case _ if frame.type in _PLAIN:
            decoded = Plain(frame.type)
        case _ if frame.type in _DATA:
            return Data(frame.type, frame.body)
        case _:
            raise WireError(f"message type {kind!r}")
    reader.end(type(decoded).__name__)
    return decoded


def encode_client(message: Client) -> Frame:
    """Encodes a client's message."""
    match message:
        case Startup() | EncryptionRequest() | CancelRequest():
            return _encode_first(message)
        case Query(query):
            return Frame(ord("Q"), text(query))
        case Parse(name, query, types):
            numbers = b"".join(number.to_bytes(4, "big") for number in types)
            return Frame(ord("P"), text(name) + text(query) + int16(len(types)) + numbers)
        case Bind(portal, statement, rest):
            return Frame(ord("B"), text(portal) + text(statement) + rest)
        case Describe(what, name):
            return Frame(ord("D"), what.encode() + text(name))
        case Close(what, name):
            return Frame(ord("C"), what.encode() + text(name))
        case Execute(portal, most):
            return Frame(ord("E"), text(portal) + int32(most))
        case Plain(kind):
            return Frame(kind, b"")
        case Data(kind, octets):
            return Frame(kind, octets)


def _encode_first(message: Startup | EncryptionRequest | CancelRequest) -> Frame:
    """Encodes a client's first message, which has no type octet."""
    match message:
        case Startup(version, parameters):
            body = b"".join(text(name) + text(content) for name, content in parameters)
            return Frame(0, int32(version) + body + b"\0")
        case EncryptionRequest(code):
            return Frame(0, int32(code))
        case CancelRequest(process, key):
            return Frame(0, int32(CANCEL_REQUEST) + int32(process) + key)


# Server messages that the proxy decodes


@dataclass(slots=True, frozen=True)
class Fault:
    """ErrorResponse or NoticeResponse: pairs of field letter and text."""

    fields: tuple[tuple[str, str], ...]
    notice: bool = False

    @property
    def state(self) -> str:
        """The SQLSTATE."""
        return dict(self.fields).get("C", "")


@dataclass(slots=True, frozen=True)
class Ready:
    """ReadyForQuery: ``I`` idle, ``T`` in a transaction, ``E`` in a failed one."""

    status: str


def read_fault(frame: Frame) -> Fault:
    """Decodes an ErrorResponse or NoticeResponse. Raises ``WireError``."""
    reader = Reader(frame.body)
    found: list[tuple[str, str]] = []
    while (letter := reader.octet("field")) != 0:
        if len(found) >= MAX_FAULT_FIELDS:
            raise WireError(f"ErrorResponse: more than {MAX_FAULT_FIELDS} fields")
        found.append((chr(letter), reader.text("field")))
    reader.end("ErrorResponse")
    return Fault(tuple(found), frame.type == ord("N"))


def write_fault(fault: Fault) -> Frame:
    """Encodes an error or a notice."""
    body = b"".join(letter.encode() + text(content) for letter, content in fault.fields)
    return Frame(ord("N" if fault.notice else "E"), body + b"\0")


def error(state: str, message: str, hint: str = "", severity: str = "ERROR") -> Frame:
    """Encodes an error that the proxy itself reports."""
    fields = [("S", severity), ("V", severity), ("C", state), ("M", message)] + ([("H", hint)] if hint else [])
    return write_fault(Fault(tuple(fields)))


def read_ready(frame: Frame) -> Ready:
    """Decodes a ReadyForQuery. Raises ``WireError``."""
    if frame.body not in (b"I", b"T", b"E"):
        raise WireError(f"ReadyForQuery: status {frame.body!r}")
    return Ready(frame.body.decode())


def write_parameter(name: str, setting: str) -> Frame:
    """Encodes a ParameterStatus."""
    return Frame(ord("S"), text(name) + text(setting))


def read_parameter(frame: Frame) -> tuple[str, str]:
    """Decodes a ParameterStatus to name and value. Raises ``WireError``."""
    reader = Reader(frame.body)
    found = reader.text("parameter"), reader.text("value")
    reader.end("ParameterStatus")
    return found


def read_row(frame: Frame) -> tuple[bytes | None, ...]:
    """Decodes a DataRow. Raises ``WireError``."""
    reader = Reader(frame.body)
    found = tuple(reader.value("column") for _ in range(reader.count("columns", 4)))
    reader.end("DataRow")
    return found


def write_row(columns: tuple[bytes | None, ...]) -> Frame:
    """Encodes a DataRow."""
    return Frame(ord("D"), int16(len(columns)) + b"".join(value(column) for column in columns))
