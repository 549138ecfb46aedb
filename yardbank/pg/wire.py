"""Frames of PostgreSQL's protocol 3 (chapter "Message Formats"): bytes in any split to typed messages. No I/O.

Every length is checked before anything is kept for it. A client's first message has no type octet; the answer to an
SSLRequest is one octet, which is the caller's to send.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator
from dataclasses import dataclass

SSL_REQUEST, GSS_REQUEST, CANCEL_REQUEST = 80877103, 80877104, 80877102
VERSION_3_0, VERSION_3_2 = 3 << 16, 3 << 16 | 2
MAX_STARTUP = 10_000  # octets, as PostgreSQL itself allows

_INT16, _INT32 = struct.Struct("!h"), struct.Struct("!i")


class WireError(ValueError):
    """The bytes are no message that the protocol allows; the text names the field."""


@dataclass(slots=True, frozen=True)
class Frame:
    """One message: its type octet (0: a client's first) and its body."""

    type: int
    body: bytes

    def encode(self) -> bytes:
        """The same bytes again."""
        head = bytes((self.type,)) if self.type else b""
        return head + _INT32.pack(len(self.body) + 4) + self.body


class Framer:
    """Cuts a stream into frames."""

    def __init__(self, most: int = 16 << 20, startup: bool = False) -> None:
        """``most``: octets of one body; ``startup``: the first message has no type (a server's end)."""
        self._most, self._startup = most, startup
        self._buffer = bytearray()

    @property
    def waiting(self) -> int:
        """Octets kept of a frame that is not whole."""
        return len(self._buffer)

    @property
    def announced(self) -> int:
        """Octets of the frame under way when it is whole, as far as its length has come."""
        head = 0 if self._startup else 1
        if len(self._buffer) < head + 4:
            return len(self._buffer)
        return head + int.from_bytes(self._buffer[head : head + 4], "big")

    def started(self) -> None:
        """The first message was a start-up: from here on each has its type."""
        self._startup = False

    def feed(self, data: bytes) -> Iterator[Frame]:
        """Take octets; the whole frames there are. Raises ``WireError`` at a length that cannot be."""
        self._buffer += data
        at = 0
        try:
            while True:
                head = 0 if self._startup else 1
                if len(self._buffer) - at < head + 4:
                    return
                size = int.from_bytes(self._buffer[at + head : at + head + 4], "big", signed=True)
                most = MAX_STARTUP if self._startup else self._most
                if not 4 <= size <= most + 4:
                    raise WireError(f"message length {size}: between 4 and {most + 4} is allowed")
                kind = self._buffer[at] if head else 0
                if head and not (0x31 <= kind <= 0x7A):  # before its body is waited for: noise has any length
                    raise WireError(f"message type 0x{kind:02x}")
                end = at + head + size
                if len(self._buffer) < end:
                    return
                frame = Frame(kind, bytes(self._buffer[at + head + 4 : end]))
                at = end
                yield frame
        finally:
            del self._buffer[:at]


class Reader:
    """Reads the fields of one body in their order."""

    __slots__ = ("_at", "_body")

    def __init__(self, body: bytes) -> None:
        self._body, self._at = body, 0

    def take(self, size: int, name: str) -> bytes:
        """So many octets."""
        if size < 0 or self._at + size > len(self._body):
            raise WireError(f"{name}: cut short")
        found = self._body[self._at : self._at + size]
        self._at += size
        return found

    def octet(self, name: str) -> int:
        """The next octet. Raises ``WireError`` naming the field."""
        return self.take(1, name)[0]

    def int16(self, name: str) -> int:
        """The next two octets as a signed number. Raises ``WireError``."""
        return int(_INT16.unpack(self.take(2, name))[0])

    def count(self, name: str, least: int = 1) -> int:
        """A number of items that each take ``least`` octets: no more than there can be."""
        number = self.int16(name) & 0xFFFF
        if number * least > len(self._body) - self._at:
            raise WireError(f"{name}: {number} items do not fit")
        return number

    def int32(self, name: str) -> int:
        """The next four octets as a signed number. Raises ``WireError``."""
        return int(_INT32.unpack(self.take(4, name))[0])

    def text(self, name: str) -> str:
        """A string that a zero ends."""
        end = self._body.find(b"\0", self._at)
        if end < 0:
            raise WireError(f"{name}: no end")
        raw = self.take(end - self._at, name)
        self._at += 1
        try:
            return raw.decode()
        except UnicodeDecodeError:
            raise WireError(f"{name}: not UTF-8") from None

    def value(self, name: str) -> bytes | None:
        """Octets with their length before them; -1 is null."""
        size = self.int32(name)
        return None if size == -1 else self.take(size, name)

    def rest(self) -> bytes:
        """All octets that are left."""
        found = self._body[self._at :]
        self._at = len(self._body)
        return found

    def end(self, name: str) -> None:
        """Nothing may follow."""
        if self._at != len(self._body):
            raise WireError(f"{name}: octets after its end")


def text(value: str) -> bytes:
    """A string with its zero. Raises ``WireError`` where it holds one."""
    raw = value.encode()
    if b"\0" in raw:
        raise WireError("a string with a zero in it")
    return raw + b"\0"


def int16(value: int) -> bytes:
    """Two octets; counts up to 65,535 take them as unsigned."""
    return (value & 0xFFFF).to_bytes(2, "big")


def int32(value: int) -> bytes:
    """Four octets, signed."""
    return _INT32.pack(value)


def value(octets: bytes | None) -> bytes:
    """Octets with their length before them; None is null."""
    return int32(-1) if octets is None else int32(len(octets)) + octets
