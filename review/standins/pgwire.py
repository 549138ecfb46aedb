"""The few messages of PostgreSQL's protocol 3 that the stand-ins speak. No I/O."""

from __future__ import annotations

import struct
from collections.abc import Iterator


def message(kind: bytes, body: bytes = b"") -> bytes:
    """Encodes a message with its type."""
    return kind + struct.pack("!i", len(body) + 4) + body


def startup() -> bytes:
    """The client's startup message."""
    body = struct.pack("!i", 196608) + b"user\0backend\0database\0store\0\0"
    return struct.pack("!i", len(body) + 4) + body


def query(text: str) -> bytes:
    """A simple query."""
    return message(b"Q", text.encode() + b"\0")


READY = message(b"Z", b"I")
WELCOME = message(b"R", struct.pack("!i", 0)) + READY


def parameter(name: str, value: str) -> bytes:
    """A ParameterStatus."""
    return message(b"S", f"{name}\0{value}\0".encode())


def result(value: bytes, tag: bytes) -> bytes:
    """RowDescription, one DataRow of one binary column, CommandComplete."""
    described = struct.pack("!h", 1) + b"content\0" + struct.pack("!ihihih", 0, 0, 17, -1, -1, 1)
    row = struct.pack("!hi", 1, len(value)) + value
    return message(b"T", described) + message(b"D", row) + message(b"C", tag + b"\0")


def error(code: str, text: str = "as told", severity: str = "ERROR") -> bytes:
    """An ErrorResponse."""
    return message(b"E", f"S{severity}\0V{severity}\0C{code}\0M{text}\0\0".encode())


def error_fields(body: bytes) -> dict[str, str]:
    """The fields of an ErrorResponse by their letter."""
    return {part[:1].decode(): part[1:].decode(errors="replace") for part in body.split(b"\0") if part}


class Splitter:
    """Splits a stream into messages (type, body); a startup message has an empty type."""

    def __init__(self, first_is_startup: bool) -> None:
        self._buffer = bytearray()
        self._startup = first_is_startup

    @property
    def waiting(self) -> int:
        """Octets of an incomplete message."""
        return len(self._buffer)

    def feed(self, data: bytes) -> Iterator[tuple[bytes, bytes]]:
        """Adds octets and yields the messages that they complete."""
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
