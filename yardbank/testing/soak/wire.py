"""The few messages of PostgreSQL's protocol that the soak's clients and servers speak; no code of the program's own."""

from __future__ import annotations

import re
import struct
from collections.abc import Iterator
from dataclasses import dataclass

VERSION = 196608  # 3.0
_STATEMENT = re.compile(rb"id=([^, ]+),c=([^, ]+),d=([0-9]+)")


def message(kind: bytes, body: bytes = b"") -> bytes:
    """One message with its type."""
    return kind + struct.pack("!i", len(body) + 4) + body


def startup() -> bytes:
    """A client's first message."""
    body = struct.pack("!i", VERSION) + b"user\0backend\0database\0store\0\0"
    return struct.pack("!i", len(body) + 4) + body


def query(text: str) -> bytes:
    """A simple query."""
    return message(b"Q", text.encode() + b"\0")


def read_statement(number: str, class_name: str, limit_ms: int, key: str) -> str:
    """A read as clients of the platform send it."""
    return f"/* id={number},c={class_name},d={limit_ms},cluster=3 */ SELECT content FROM kv WHERE name = '{key}'"


def write_statement(number: str, class_name: str, limit_ms: int, key: str, value: str) -> str:
    """A write as clients of the platform send it."""
    return (
        f"/* id={number},c={class_name},d={limit_ms},cluster=3 */ INSERT INTO kv (name, content) VALUES "
        f"('{key}', '\\x{value}') RETURNING content"
    )


@dataclass(slots=True, frozen=True)
class Statement:
    """What a server reads of a statement."""

    id: str
    time_limit: float  # seconds
    write: bool


def parse_statement(body: bytes) -> Statement | None:
    """The statement in a query; None if it is none of a client's."""
    found = _STATEMENT.search(body)
    if found is None:
        return None
    return Statement(found[1].decode(), int(found[3]) / 1000, b"INSERT" in body)


READY = message(b"Z", b"I")
WELCOME = message(b"R", struct.pack("!i", 0)) + READY


def parameter(name: str, value: str) -> bytes:
    """A ParameterStatus."""
    return message(b"S", f"{name}\0{value}\0".encode())


def row(value: bytes, tag: bytes) -> bytes:
    """One row of one column, and its command's end."""
    description = struct.pack("!h", 1) + b"content\0" + bytes(18)
    data = struct.pack("!hi", 1, len(value)) + value
    return message(b"T", description) + message(b"D", data) + message(b"C", tag + b"\0")


def error(code: str, severity: str = "ERROR") -> bytes:
    """An ErrorResponse."""
    return message(b"E", f"S{severity}\0V{severity}\0C{code}\0Mas told\0\0".encode())


def error_code(body: bytes) -> str:
    """The code in an ErrorResponse."""
    fields = {part[:1]: part[1:].decode() for part in body.split(b"\0") if part}
    return fields.get(b"C", "")


def column(body: bytes) -> bytes:
    """The one value in a DataRow."""
    return body[6:]


class Messages:
    """Cuts a stream into messages, type and body; a client's first has no type."""

    def __init__(self, first_is_startup: bool = False) -> None:
        self._buffer = bytearray()
        self._startup = first_is_startup

    @property
    def is_empty(self) -> bool:
        """Whether nothing of a message is held."""
        return not self._buffer

    def feed(self, data: bytes) -> Iterator[tuple[bytes, bytes]]:
        """The messages that octets complete."""
        self._buffer += data
        while True:
            head = 0 if self._startup else 1
            if len(self._buffer) < head + 4:
                return
            end = head + int(struct.unpack("!i", self._buffer[head : head + 4])[0])
            if len(self._buffer) < end:
                return
            kind, body = bytes(self._buffer[:head]), bytes(self._buffer[head + 4 : end])
            del self._buffer[:end]
            self._startup = False
            yield kind, body
