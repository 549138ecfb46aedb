"""The watch of discovery's list: HTTP/1.1 read as it comes, lines to lists, and when to try again. No I/O."""

from __future__ import annotations

import re
from collections.abc import Iterator
from enum import Enum

from yardbank.gateway.api import MS, SECOND
from yardbank.platform.listing import Listing, parse_listing

MAX_HEAD = 16 << 10
MAX_LINE = 8 << 20
SILENCE = 3 * SECOND  # a watch brings a line each 2 s: one that is quiet for longer is taken for dead
FIRST_PAUSE, LONGEST_PAUSE = 50 * MS, SECOND
_CHUNK = re.compile(rb"[0-9A-Fa-f]{1,7}\Z")


class HttpError(ValueError):
    """The answer is no HTTP that is understood."""


class _At(Enum):
    HEAD, SIZE, DATA, DATA_END, TRAILER, PLAIN, DONE = range(7)


class Body:
    """The body of one answer, chunked or plain, from octets in any split."""

    def __init__(self) -> None:
        self._at, self._buffer = _At.HEAD, bytearray()
        self._left = 0

    @property
    def done(self) -> bool:
        """Whether the answer has ended by its own word."""
        return self._at is _At.DONE

    def feed(self, data: bytes) -> Iterator[bytes]:
        """Octets of the body as they come. Raises ``HttpError``."""
        self._buffer += data
        while self._buffer and self._at is not _At.DONE:
            if self._at is _At.HEAD:
                if not self._head():
                    return
            elif self._at in (_At.SIZE, _At.DATA_END, _At.TRAILER):
                line = self._line()
                if line is None:
                    return
                self._framing(line)
            else:
                if self._at is _At.PLAIN and self._left < 0:  # until the connection ends
                    found, self._buffer = bytes(self._buffer), bytearray()
                else:
                    found = bytes(self._buffer[: self._left])
                    del self._buffer[: len(found)]
                    self._left -= len(found)
                    if not self._left:
                        self._at = _At.DATA_END if self._at is _At.DATA else _At.DONE
                yield found

    def _line(self) -> bytes | None:
        end = self._buffer.find(b"\n")
        if end < 0:
            if len(self._buffer) > MAX_HEAD:
                raise HttpError("a line without an end")
            return None
        line = bytes(self._buffer[:end]).rstrip(b"\r")
        del self._buffer[: end + 1]
        return line

    def _framing(self, line: bytes) -> None:
        if self._at is _At.DATA_END:
            if line:
                raise HttpError("a chunk is longer than it says")
            self._at = _At.SIZE
        elif self._at is _At.TRAILER:
            self._at = _At.DONE if not line else _At.TRAILER
        else:
            size = line.split(b";")[0].strip()
            if not _CHUNK.match(size):
                raise HttpError(f"chunk size {size[:20]!r}")
            self._left = int(size, 16)
            self._at = _At.DATA if self._left else _At.TRAILER

    def _head(self) -> bool:
        end = self._buffer.find(b"\r\n\r\n")
        if end < 0:
            if len(self._buffer) > MAX_HEAD:
                raise HttpError("headers without an end")
            return False
        lines = bytes(self._buffer[:end]).split(b"\r\n")
        del self._buffer[: end + 4]
        status = lines[0].split(b" ", 2)
        if len(status) < 2 or not status[0].startswith(b"HTTP/1.") or status[1] != b"200":
            raise HttpError(f"status line {lines[0][:60]!r}")
        headers: dict[bytes, bytes] = {}
        for line in lines[1:]:
            name, colon, held = line.partition(b":")
            if not colon:
                raise HttpError(f"header {line[:60]!r}")
            headers[name.strip().lower()] = held.strip()
        if headers.get(b"transfer-encoding", b"").lower() == b"chunked":
            self._at = _At.SIZE
            return True
        length = headers.get(b"content-length", b"")
        if length and not length.isdigit():
            raise HttpError(f"Content-Length {length[:20]!r}")
        self._left = int(length) if length else -1
        self._at = _At.PLAIN if self._left else _At.DONE
        return True


class Watch:
    """One watch: what to ask, what its answer brings."""

    def __init__(self, host: str, generation: int) -> None:
        self._body, self._line = Body(), bytearray()
        self.request = (
            f"GET /discovery/hosts?stream=1&index={generation} HTTP/1.1\r\n"
            f"Host: {host}\r\nAccept: application/json\r\nUser-Agent: yardbank\r\n\r\n"
        ).encode()

    @property
    def done(self) -> bool:
        """Whether the answer has ended."""
        return self._body.done

    def receive(self, data: bytes) -> Iterator[Listing]:
        """Lists as their lines become whole; empty lines only show life. Raises ``ValueError``."""
        for part in self._body.feed(data):
            self._line += part
            while (end := self._line.find(b"\n")) >= 0:
                line = bytes(self._line[:end]).strip()
                del self._line[: end + 1]
                if line:
                    yield parse_listing(line)
            if len(self._line) > MAX_LINE:
                raise HttpError(f"a line of more than {MAX_LINE} octets")


class Pauses:
    """How long to wait before the next try: longer after each that brought nothing."""

    def __init__(self) -> None:
        self._next = FIRST_PAUSE

    def worked(self) -> None:
        """A watch brought something."""
        self._next = FIRST_PAUSE

    def next(self) -> int:
        """The pause before the next try, ns."""
        pause, self._next = self._next, min(2 * self._next, LONGEST_PAUSE)
        return pause
