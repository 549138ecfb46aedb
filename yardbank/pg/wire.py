"""Frames of PostgreSQL's protocol 3 (chapter "Message Formats"): splits a byte stream into typed messages. No I/O.

Every length is checked before anything is buffered for it. A client's first message has no type octet. The response
to an SSLRequest is a single octet, which the caller sends.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator
from dataclasses import dataclass

SSL_REQUEST, GSS_REQUEST, CANCEL_REQUEST = 80877103, 80877104, 80877102
VERSION_3_0, VERSION_3_2 = 3 << 16, 3 << 16 | 2
MAX_STARTUP = 10_000  # octets, the limit of PostgreSQL itself

_INT16, _INT32 = struct.Struct("!h"), struct.Struct("!i")


class WireError(ValueError):
    """The bytes are no valid message; the error text names the field."""


@dataclass(slots=True, frozen=True)
class Frame:
    """One message: its type octet (0 for a client's first message) and its body."""

    type: int
    body: bytes

    def encode(self) -> bytes:
        """Encodes the frame."""
        head = bytes((self.type,)) if self.type else b""
        return head + _INT32.pack(len(self.body) + 4) + self.body


class Framer:
    """Splits a byte stream into frames."""

    def __init__(self, most: int = 16 << 20, startup: bool = False) -> None:
        """``most``: maximum octets of a body; ``startup``: the first message has no type octet (server's end)."""
        self._max_body, self._startup = most, startup
        self._buffer = bytearray()
        self._discarding = 0  # octets to come of a frame that is discarded

    @property
    def waiting(self) -> int:
        """Buffered octets of an incomplete frame."""
        return len(self._buffer)

    @property
    def announced(self) -> int:
        """Total size of the first buffered frame, or the octets received so far if its length is not complete."""
        if not self._has_head:
            return len(self._buffer)
        head = self._type_size
        return head + int.from_bytes(self._buffer[head : head + 4], "big")

    @property
    def has_frame(self) -> bool:
        """Whether all octets of the first frame are buffered; its length and type may be invalid."""
        return self._has_head and len(self._buffer) >= self.announced

    @property
    def missing(self) -> int:
        """Octets still to come of the frame that is being received or discarded, as far as known."""
        return self._discarding or max(0, self.announced - len(self._buffer))

    @property
    def is_discarding(self) -> bool:
        """Whether octets of a frame that is discarded are still to come."""
        return self._discarding > 0

    @property
    def _type_size(self) -> int:
        return 0 if self._startup else 1

    @property
    def _has_head(self) -> bool:
        return len(self._buffer) >= self._type_size + 4

    def limit_body(self, most: int) -> None:
        """Sets the maximum octets of a body, from the next frame on that is not complete."""
        self._max_body = most

    def started(self) -> None:
        """The StartupMessage was received: all later messages have a type octet."""
        self._startup = False

    def add(self, data: bytes) -> None:
        """Adds received octets."""
        skipped = min(self._discarding, len(data))
        self._discarding -= skipped
        self._buffer += data[skipped:] if skipped else data

    def discard(self) -> None:
        """Drops the first buffered frame, whose head must be complete and valid, and what is still to come of it."""
        self._discarding = max(0, self.announced - len(self._buffer))
        del self._buffer[: self.announced]

    def clear(self) -> None:
        """Drops everything that is buffered."""
        self._buffer.clear()

    def feed(self, data: bytes) -> Iterator[Frame]:
        """Adds received octets and yields the complete frames. Raises ``WireError`` at an invalid length or type."""
        self.add(data)
        while (frame := self.take()) is not None:
            yield frame

    def take(self) -> Frame | None:
        """Removes and returns the first frame if it is complete. Raises ``WireError`` at an invalid length or type."""
        if not self._has_head:
            return None
        head = self._type_size
        size = int.from_bytes(self._buffer[head : head + 4], "big", signed=True)
        most = MAX_STARTUP if self._startup else self._max_body
        if not 4 <= size <= most + 4:
            raise WireError(f"message length {size}: between 4 and {most + 4} is allowed")
        kind = self._buffer[0] if head else 0
        # Checked before the body has arrived, since random bytes may announce any length.
        if head and not (0x31 <= kind <= 0x7A):
            raise WireError(f"message type 0x{kind:02x}")
        end = head + size
        if len(self._buffer) < end:
            return None
        frame = Frame(kind, bytes(self._buffer[head + 4 : end]))
        del self._buffer[:end]
        return frame


class Reader:
    """Reads the fields of a message body in order."""

    __slots__ = ("_at", "_body")

    def __init__(self, body: bytes) -> None:
        self._body, self._at = body, 0

    def take(self, size: int, name: str) -> bytes:
        """The next ``size`` octets. Raises ``WireError`` naming the field."""
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
        """A number of items of at least ``least`` octets each. Raises ``WireError`` if they cannot fit in the body."""
        number = self.int16(name) & 0xFFFF
        if number * least > len(self._body) - self._at:
            raise WireError(f"{name}: {number} items do not fit")
        return number

    def int32(self, name: str) -> int:
        """The next four octets as a signed number. Raises ``WireError``."""
        return int(_INT32.unpack(self.take(4, name))[0])

    def text(self, name: str) -> str:
        """A zero-terminated string. Raises ``WireError``."""
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
        """A length-prefixed value; None if its length is -1 (null)."""
        size = self.int32(name)
        return None if size == -1 else self.take(size, name)

    def rest(self) -> bytes:
        """All remaining octets."""
        found = self._body[self._at :]
        self._at = len(self._body)
        return found

    def end(self, name: str) -> None:
        """Raises ``WireError`` if octets remain."""
        if self._at != len(self._body):
            raise WireError(f"{name}: octets after its end")


def text(value: str) -> bytes:
    """Encodes a zero-terminated string. Raises ``WireError`` if it contains a zero."""
    raw = value.encode()
    if b"\0" in raw:
        raise WireError("a string with a zero in it")
    return raw + b"\0"


def int16(value: int) -> bytes:
    """Encodes two octets; counts up to 65,535 are encoded as unsigned."""
    return (value & 0xFFFF).to_bytes(2, "big")


def int32(value: int) -> bytes:
    """Encodes four octets, signed."""
    return _INT32.pack(value)


def value(octets: bytes | None) -> bytes:
    """Encodes a length-prefixed value; None is null."""
    return int32(-1) if octets is None else int32(len(octets)) + octets
