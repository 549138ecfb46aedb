"""A client of the platform: sends statements on connections to one gateway and takes the answers in order."""

from __future__ import annotations

import asyncio
import itertools
import os
import socket
import struct
import time
from collections import deque
from dataclasses import dataclass, field

from review.standins import pgwire
from review.standins.record import Record

_numbers = itertools.count(1)


def new_id() -> str:
    """An id that no other request has."""
    return f"{os.getpid() & 0xFFFF:04x}{next(_numbers):012x}"


def read(number: str, class_name: str, limit_ms: int, group: int, key: str, after: int | None = None) -> str:
    """A read in the form of the protocol page."""
    token = "" if after is None else f",after={after}"
    comment = f"/* id={number},c={class_name},d={limit_ms},cluster={group}{token} */"
    return f"{comment} SELECT content FROM kv WHERE name = '{key}'"


def write(number: str, class_name: str, limit_ms: int, group: int, key: str, value: bytes) -> str:
    """A write in the form of the protocol page."""
    comment = f"/* id={number},c={class_name},d={limit_ms},cluster={group} */"
    return f"{comment} INSERT INTO kv (name, content) VALUES ('{key}', '\\x{value.hex()}') RETURNING content"


@dataclass(slots=True)
class Request:
    """One request and what came back for it; times are monotonic seconds."""

    id: str
    limit: float  # seconds
    sent_at: float = 0.0
    answered_at: float | None = None
    answer: str = ""  # served, refused, failed or empty
    content: bytes = b""
    code: str = ""
    ended: str = ""  # how its connection ended without an answer
    done: asyncio.Event = field(default_factory=asyncio.Event)

    def took(self) -> float | None:
        """Seconds until the answer."""
        return None if self.answered_at is None else self.answered_at - self.sent_at


class Connection(asyncio.Protocol):
    """One connection of a client."""

    def __init__(self, name: str, record: Record) -> None:
        self.name = name
        self.opened = asyncio.Event()
        self.lost = asyncio.Event()
        self.waiting: deque[Request] = deque()
        self._record = record
        self._messages = pgwire.Splitter(first_is_startup=False)
        self._content = b""
        self._error: dict[str, str] | None = None
        self._is_empty = False
        self._closed_here = False
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Sends the startup message."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        transport.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        transport.write(pgwire.startup())

    def data_received(self, data: bytes) -> None:
        """Takes answers."""
        for kind, body in self._messages.feed(data):
            if kind == b"D":
                self._content = body[6:]
            elif kind == b"E":
                self._error = pgwire.error_fields(body)
                if self._error.get("S") == "FATAL":
                    self._answered()
            elif kind == b"I":
                self._is_empty = True
            elif kind == b"Z":
                if self.opened.is_set():
                    self._answered()
                self.opened.set()

    def _answered(self) -> None:
        if self.waiting:
            request = self.waiting.popleft()
            request.answered_at = time.monotonic()
            if self._error is not None:
                request.code = self._error.get("C", "")
                request.answer = "refused" if request.code in ("53300", "57P03") else "failed"
            else:
                request.answer = "empty" if self._is_empty else "served"
                request.content = self._content
            shown = request.content[:40].decode(errors="replace") if request.answer == "served" else request.code
            self._record.note(self.name, f"answer {request.id} {request.answer} {shown}")
            request.done.set()
        self._content, self._error, self._is_empty = b"", None, False

    def connection_lost(self, exc: Exception | None) -> None:
        """Whatever waits gets no answer here."""
        self.opened.set()
        self.lost.set()
        for request in self.waiting:
            request.ended = "closed by the client" if self._closed_here else f"ended by the gateway: {exc!r}"
            self._record.note(self.name, f"no answer {request.id} {request.ended}")
            request.done.set()
        self.waiting.clear()

    def send(self, text: str, request: Request) -> Request:
        """Sends one statement."""
        assert self.transport is not None
        request.sent_at = time.monotonic()
        if self.transport.is_closing():
            request.ended = "not sent: the connection had ended"
            request.done.set()
            return request
        self.waiting.append(request)
        self._record.note(self.name, f"send {text[:150]}")
        self.transport.write(pgwire.query(text))
        return request

    def close(self) -> None:
        """The client goes."""
        self._closed_here = True
        if self.transport is not None:
            self.transport.close()

    def reset(self) -> None:
        """The client goes with a reset."""
        self._closed_here = True
        if self.transport is not None:
            linger = struct.pack("ii", 1, 0)
            self.transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            self.transport.abort()


async def connect(name: str, port: int, record: Record, timeout: float = 5.0) -> Connection:
    """Opens a connection and waits until it is let in. Raises ``OSError`` or ``TimeoutError``."""
    loop = asyncio.get_running_loop()
    _, connection = await asyncio.wait_for(
        loop.create_connection(lambda: Connection(name, record), "127.0.0.1", port), timeout
    )
    await asyncio.wait_for(connection.opened.wait(), timeout)
    if connection.lost.is_set():
        raise ConnectionError("the gateway closed the connection")
    return connection


async def ready(port: int, record: Record, seconds: float = 30.0) -> bool:
    """Asks as the front does: an empty query has to be answered. Returns whether it was in time."""
    give_up_at = time.monotonic() + seconds
    while time.monotonic() < give_up_at:
        try:
            connection = await connect("front", port, record, 1.0)
        except (OSError, TimeoutError):
            await asyncio.sleep(0.05)
            continue
        request = connection.send("", Request("-", 1.0))
        try:
            await asyncio.wait_for(request.done.wait(), 1.0)
        except TimeoutError:
            continue
        finally:
            connection.close()
        if request.answer == "empty":
            record.note("front", "the gateway is ready")
            return True
    return False
