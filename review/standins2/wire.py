"""The PostgreSQL messages that the stand-ins send and read. No I/O."""

from __future__ import annotations

import re
import struct
from collections.abc import Iterator

STATEMENT = re.compile(rb"/\* (.*?) \*/ (SELECT|INSERT)")


def message(kind: bytes, body: bytes = b"") -> bytes:
    """Encodes one message."""
    return kind + struct.pack("!i", len(body) + 4) + body


def startup() -> bytes:
    """Encodes the startup message of a client."""
    body = struct.pack("!i", 196608) + b"user\0backend\0database\0store\0\0"
    return struct.pack("!i", len(body) + 4) + body


def query(text: str) -> bytes:
    """Encodes a simple query."""
    return message(b"Q", text.encode() + b"\0")


READY = message(b"Z", b"I")
WELCOME = message(b"R", struct.pack("!i", 0)) + READY


def parameter(name: str, value: str) -> bytes:
    """Encodes a ParameterStatus."""
    return message(b"S", f"{name}\0{value}\0".encode())


def row(value: bytes, tag: bytes) -> bytes:
    """Encodes a result of one row with one column."""
    description = struct.pack("!h", 1) + b"content\0" + struct.pack("!ihihih", 0, 0, 17, -1, -1, 1)
    data = struct.pack("!hi", 1, len(value)) + value
    return message(b"T", description) + message(b"D", data) + message(b"C", tag + b"\0")


def error(code: str, severity: str = "ERROR") -> bytes:
    """Encodes an ErrorResponse."""
    return message(b"E", f"S{severity}\0V{severity}\0C{code}\0Mstand-in\0\0".encode())


def error_code(body: bytes) -> str:
    """Returns the code of an ErrorResponse."""
    return {part[:1]: part[1:].decode("latin1") for part in body.split(b"\0") if part}.get(b"C", "")


def fields(body: bytes) -> dict[str, str] | None:
    """Returns the values in the comment of a statement, with the key ``verb``; None if it is not a client's."""
    found = STATEMENT.search(body)
    if found is None:
        return None
    named = dict(part.split("=", 1) for part in found[1].decode().split(","))
    return {**named, "verb": found[2].decode()}


class Messages:
    """Splits octets into messages; the first message of a client has no type."""

    def __init__(self, startup_first: bool) -> None:
        self._buffer = bytearray()
        self._head = 0 if startup_first else 1

    def feed(self, data: bytes) -> Iterator[tuple[bytes, bytes]]:
        """Adds octets; yields type and body of each complete message."""
        self._buffer += data
        while len(self._buffer) >= self._head + 4:
            size = struct.unpack_from("!i", self._buffer, self._head)[0]
            end = self._head + size
            if len(self._buffer) < end:
                return
            kind, body = bytes(self._buffer[: self._head]), bytes(self._buffer[self._head + 4 : end])
            del self._buffer[:end]
            self._head = 1
            yield kind, body
