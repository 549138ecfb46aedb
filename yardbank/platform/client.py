"""One client connection of the platform as a state machine without I/O: queries in one at a time, answers in order.

A connection answers in the order of its commands, so the next is taken up only when the one before it is answered.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from yardbank.pg import messages as pg
from yardbank.pg.state import Broken, LetIn, Pipeline, ServerEnd
from yardbank.pg.wire import Frame
from yardbank.platform.admission import State

MAX_MESSAGE = 160 << 10  # a value of 64 KiB in hexadecimal, and what stands around it
WELCOME = {"server_version": "16.0 (yardbank)", "client_encoding": "UTF8", "standard_conforming_strings": "on"}
READY = Frame(ord("Z"), b"I").encode()
EMPTY = Frame(ord("I"), b"").encode() + READY
MAX_QUEUED, MAX_QUEUED_OCTETS = 256, 256 << 10  # queries that wait on one connection: at either no more is read
RESUME_QUEUED, RESUME_OCTETS = MAX_QUEUED // 2, MAX_QUEUED_OCTETS // 2  # below both it is read again


@dataclass(slots=True, frozen=True)
class Refusal:
    """The last word to a connection that is closed: octets to be written first."""

    reason: str
    last: bytes


class ClientSession:
    """What one client sends, in order."""

    __slots__ = ("_end", "_octets", "_queue", "busy", "ended", "left")

    def __init__(self) -> None:
        self._end = ServerEnd(MAX_MESSAGE, trusted=WELCOME, simple=True)
        self._queue: deque[str | Refusal] = deque()
        self._octets = 0  # of the queries that wait
        self.busy = False  # a query is being answered
        self.ended = False  # the client has said that it leaves, or must be let go
        self.left = False  # it has gone, or said so: it is owed nothing

    @property
    def waiting(self) -> int:
        """Queries that wait for their turn."""
        return len(self._queue)

    @property
    def full(self) -> bool:
        """Whether so much waits that no more is to be read."""
        return len(self._queue) >= MAX_QUEUED or self._octets >= MAX_QUEUED_OCTETS

    @property
    def roomy(self) -> bool:
        """Whether so little waits that reading goes on."""
        return len(self._queue) <= RESUME_QUEUED and self._octets <= RESUME_OCTETS

    def receive(self, data: bytes) -> bytes:
        """Take octets in any split; what is to be written at once comes back."""
        if self.left:
            return b""
        for event in self._end.receive(data):
            if isinstance(event, Pipeline):
                message = event.messages[0]
                assert isinstance(message, pg.Query)
                self._queue.append(message.text)
                self._octets += _octets(message.text)
            elif isinstance(event, Broken):
                self._queue.append(Refusal(event.reason, event.last))
            elif not isinstance(event, LetIn):  # Terminate or a CancelRequest
                self.leave()
        return self._end.take_output()

    def leave(self) -> None:
        """The client has gone: nothing that it sent is taken up any more."""
        self._queue.clear()
        self._octets = 0
        self.ended = self.left = True

    def next(self) -> str | Refusal | None:
        """The next in turn, if none is being answered."""
        if self.busy or not self._queue:
            return None
        found = self._queue.popleft()
        if isinstance(found, str):
            self.busy = True
            self._octets -= _octets(found)
        else:
            self.ended = True
        return found

    def answered(self) -> None:
        """The query in turn has its whole answer."""
        self.busy = False

    def state(self) -> State:
        """What the connection is about."""
        if self.busy or self._queue:
            return State.BUSY
        if not self._end.open:
            return State.NEW
        return State.PARTIAL if self._end.waiting else State.IDLE


def _octets(query: str) -> int:
    return len(query) if query.isascii() else len(query.encode())


def served(rows: bytes) -> bytes:
    """The answer that carries what a database server gave."""
    return rows + READY


def refused(retry_after_ms: int, reason: str) -> bytes:
    """Trying again is harmless, after so many milliseconds (0: nothing is said)."""
    return _refusal("ERROR", "53300", retry_after_ms, reason) + READY


def _refusal(severity: str, code: str, retry_after_ms: int, reason: str) -> bytes:
    fields = [("S", severity), ("V", severity), ("C", code), ("M", reason)]
    if retry_after_ms > 0:
        fields.append(("D", str(retry_after_ms)))
    return pg.write_fault(pg.Fault(tuple(fields))).encode()


def failed(reason: str) -> bytes:
    """Nothing is promised either way."""
    return pg.error("58000", reason).encode() + READY


def rejected(reason: str) -> bytes:
    """The last word to a client that sent what cannot be served."""
    return pg.error("42601", reason, severity="FATAL").encode()


def full(retry_after_ms: int, reason: str) -> bytes:
    """The last word to a connection for which there is no room: nothing ran, and trying again is harmless."""
    return _refusal("FATAL", "53300", retry_after_ms, reason)


def turned_away(retry_after_ms: int, reason: str) -> bytes:
    """The last word to a connection that is let go with nothing of it open: what may be on its way to it never ran."""
    return _refusal("FATAL", "57P03", retry_after_ms, reason)
