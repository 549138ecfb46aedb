"""The PostgreSQL messages that the soak test's clients and servers use; shares no code with the program."""

from __future__ import annotations

import re
import struct
from collections.abc import Iterator
from dataclasses import dataclass

PROTOCOL_VERSION = 196608  # 3.0
PROBE = b"SHOW gauges"
_STATEMENT = re.compile(rb"id=([^, ]+),c=([^, ]+),d=([0-9]+)")


def message(kind: bytes, body: bytes = b"") -> bytes:
    """Encodes a message with its type."""
    return kind + struct.pack("!i", len(body) + 4) + body


def startup() -> bytes:
    """The startup message."""
    body = struct.pack("!i", PROTOCOL_VERSION) + b"user\0backend\0database\0store\0\0"
    return struct.pack("!i", len(body) + 4) + body


def query(text: str) -> bytes:
    """A simple query message."""
    return message(b"Q", text.encode() + b"\0")


def read_statement(number: str, class_name: str, limit_ms: int, key: str) -> str:
    """A read in the form that the platform's clients use."""
    return f"/* id={number},c={class_name},d={limit_ms},cluster=3 */ SELECT content FROM kv WHERE name = '{key}'"


def write_statement(number: str, class_name: str, limit_ms: int, key: str, value: str) -> str:
    """A write in the form that the platform's clients use."""
    return (
        f"/* id={number},c={class_name},d={limit_ms},cluster=3 */ INSERT INTO kv (name, content) VALUES "
        f"('{key}', '\\x{value}') RETURNING content"
    )


@dataclass(slots=True, frozen=True)
class Statement:
    """The fields of a statement that a server uses."""

    id: str
    time_limit: float  # seconds
    write: bool


def parse_statement(body: bytes) -> Statement | None:
    """Parses the statement in a query; None if it is not a client's."""
    found = _STATEMENT.search(body)
    if found is None:
        return None
    return Statement(found[1].decode(), int(found[3]) / 1000, b"INSERT" in body)


READY = message(b"Z", b"I")
WELCOME = message(b"R", struct.pack("!i", 0)) + READY


def parameter(name: str, value: str) -> bytes:
    """A ParameterStatus message."""
    return message(b"S", f"{name}\0{value}\0".encode())


def row(value: bytes, tag: bytes) -> bytes:
    """A result of one row and one column, with its CommandComplete."""
    description = struct.pack("!h", 1) + b"content\0" + bytes(18)
    data = struct.pack("!hi", 1, len(value)) + value
    return message(b"T", description) + message(b"D", data) + message(b"C", tag + b"\0")


def error(code: str, severity: str = "ERROR") -> bytes:
    """An ErrorResponse message."""
    return message(b"E", f"S{severity}\0V{severity}\0C{code}\0Mas told\0\0".encode())


def error_code(body: bytes) -> str:
    """The code in an ErrorResponse."""
    fields = {part[:1]: part[1:].decode() for part in body.split(b"\0") if part}
    return fields.get(b"C", "")


def column(body: bytes) -> bytes:
    """The single value in a DataRow."""
    return body[6:]


class Messages:
    """Splits a stream into messages with type and body; a startup message has no type."""

    def __init__(self, first_is_startup: bool = False) -> None:
        self._buffer = bytearray()
        self._startup = first_is_startup

    @property
    def is_empty(self) -> bool:
        """Whether no partial message is buffered."""
        return not self._buffer

    def feed(self, data: bytes) -> Iterator[tuple[bytes, bytes]]:
        """Adds octets and yields the messages that they complete."""
        self._buffer += data
        while True:
            type_size = 0 if self._startup else 1
            if len(self._buffer) < type_size + 4:
                return
            end = type_size + int(struct.unpack("!i", self._buffer[type_size : type_size + 4])[0])
            if len(self._buffer) < end:
                return
            kind, body = bytes(self._buffer[:type_size]), bytes(self._buffer[type_size + 4 : end])
            del self._buffer[:end]
            self._startup = False
            yield kind, body
