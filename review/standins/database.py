"""Database servers: one group of a primary and replicas with an ordered log, by the protocol page."""

from __future__ import annotations

import asyncio
import re
import socket
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from review.standins import pgwire
from review.standins.record import Record

REPORT_INTERVAL_S = 0.15
_COMMENT = re.compile(r"/\*[ ]?(.*?)[ ]?\*/ ")
_READ = re.compile(r"SELECT content FROM kv WHERE name = '([^']*)'\Z")
_WRITE = re.compile(r"INSERT INTO kv \(name, content\) VALUES \('([^']*)', '\\x([0-9A-Fa-f]*)'\) RETURNING content\Z")


@dataclass(slots=True)
class Attempt:
    """One attempt as a server received it; times are monotonic seconds."""

    id: str
    server: str
    first_octet_at: float
    received_at: float
    write: bool
    key: str
    limit_ms: int
    ran_at: float | None = None
    answer: str = ""
    answered_at: float | None = None
    value: bytes = b""
    data_position: int = 0  # ms: how far the data were that a read was answered from


@dataclass(slots=True)
class Group:
    """The log of one group: commits in order, as (position in ms, key, value)."""

    primary: str = ""
    log: list[tuple[int, str, bytes]] = field(default_factory=list)
    initial: bytes = b"initial"

    def commit(self, key: str, value: bytes) -> int:
        """Appends a write; returns its position, rounded up."""
        position = max(int(time.time() * 1000) + 1, (self.log[-1][0] + 1) if self.log else 0)
        self.log.append((position, key, value))
        return position

    def value(self, key: str, position: int) -> bytes:
        """The value of a key for a server that has applied everything up to ``position``."""
        found = self.initial
        for at, name, value in self.log:
            if at <= position and name == key:
                found = value
        return found


class Server:
    """One database server."""

    def __init__(self, name: str, group: Group, record: Record, *, work_s: float, fields: tuple[str, ...]) -> None:
        self.name = name
        self.group = group
        self.record = record
        self.work_s = work_s
        self.fields = fields
        self.attempts: list[Attempt] = []
        self.port = 0
        self.checks_reads: Callable[[dict[str, str]], int] | None = None  # the position (ms) that a read must see
        self.in_answers = False  # whether answers carry the load report
        self.spoil: Callable[[Attempt, bytes], bytes] | None = None
        self.link_s = 0.0  # one way between the gateway and this server
        self.copy_behind: Callable[[], float | None] | None = None  # seconds from an answer to its second copy
        self.copies = 0
        self.read_value: Callable[[Attempt], bytes] | None = None  # in place of the log's value
        self.hung = asyncio.Event()
        self.hung.set()  # set: it is not hung
        self.is_draining = False  # turns new requests away
        self.report = ""
        self.connections: set[_Connection] = set()
        self._listening: asyncio.Server | None = None
        self.applied: Callable[[], int] = lambda: int(time.time() * 1000) - 10  # as a replica

    @property
    def is_primary(self) -> bool:
        """Whether it is the primary now."""
        return self.group.primary == self.name

    def position(self) -> int:
        """How far it has applied the log (ms)."""
        return int(time.time() * 1000) if self.is_primary else self.applied()

    def refresh_report(self) -> None:
        """Makes a new report on itself."""
        values = {"x0": f"{self.position() / 1000:.3f}", "x1": str(int(self.is_primary)), "util": "0.1", "queue": "0"}
        self.report = ",".join(f"{name}={values[name]}" for name in self.fields)

    async def listen(self, port: int) -> None:
        """Listens on a port."""
        self.port = port
        self.refresh_report()
        loop = asyncio.get_running_loop()
        self._listening = await loop.create_server(lambda: _Connection(self), "127.0.0.1", port, backlog=512)

    def crash(self) -> None:
        """Its process dies: connections are reset, new ones refused."""
        self.record.note(self.name, "dies")
        if self._listening is not None:
            self._listening.close()
        for connection in list(self.connections):
            connection.abort()

    close = crash

    def entry(self, part: str, lifecycle: str = "Ready", started_ms: int = 0, group: int = 2) -> dict[str, Any]:
        """Its entry in discovery's list."""
        return {
            "instanceId": self.name,
            "hostPort": f"127.0.0.1:{self.port}",
            "zone": "a",
            "machineType": "m2",
            "cell": group,
            "lifecycle": lifecycle,
            "weight": 1.0,
            "startedAtMs": started_ms,
            "part": part,
        }


class _Connection(asyncio.Protocol):
    def __init__(self, server: Server) -> None:
        self._server = server
        self._messages = pgwire.Splitter(first_is_startup=True)
        self._first_octet_at = 0.0
        self._received = 0  # pieces of data that have arrived
        self._transport: asyncio.Transport | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._server.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        self._server.connections.discard(self)

    def abort(self) -> None:
        if self._transport is not None:
            self._transport.abort()

    def data_received(self, data: bytes) -> None:
        if self._server.link_s:
            asyncio.get_running_loop().call_later(self._server.link_s, self._arrived, data)
        else:
            self._arrived(data)

    def _arrived(self, data: bytes) -> None:
        self._received += 1
        if not self._messages.waiting:
            self._first_octet_at = time.monotonic()
        for kind, body in self._messages.feed(data):
            if not kind:
                self._later(self._welcome())
            elif kind == b"Q":
                self._later(self._query(body[:-1].decode(), self._first_octet_at))
            elif kind == b"X":
                self.abort()

    def _later(self, work: Any) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _write(self, octets: bytes) -> None:
        if self._server.link_s:
            asyncio.get_running_loop().call_later(self._server.link_s, self._deliver, octets)
        else:
            self._deliver(octets)

    def _deliver(self, octets: bytes) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(octets)

    async def _welcome(self) -> None:
        await self._server.hung.wait()
        self._write(pgwire.WELCOME)

    async def _query(self, text: str, first_octet_at: float) -> None:
        server = self._server
        await server.hung.wait()
        if text == "SHOW gauges":
            self._write(pgwire.result(server.report.encode(), b"SHOW") + pgwire.READY)
            return
        comment = _COMMENT.match(text)
        body = text[comment.end() :] if comment else ""
        reading, writing = _READ.match(body), _WRITE.match(body)
        found = reading or writing
        if comment is None or found is None:
            server.record.note(server.name, f"cannot read {text[:120]}")
            self._write(pgwire.error("08P01") + pgwire.READY)
            return
        fields = dict(pair.split("=", 1) for pair in comment[1].split(","))
        write, limit = writing is not None, int(fields["d"])
        attempt = Attempt(fields["id"], server.name, first_octet_at, time.monotonic(), write, found[1], limit)
        server.attempts.append(attempt)
        kind = "write" if write else "read"
        server.record.note(server.name, f"got {attempt.id} {kind} {attempt.key} d={limit}")
        if refusal := self._refusal(write, fields):
            self._answer(attempt, pgwire.error(refusal), refusal, 0)
            return
        await asyncio.sleep(server.work_s)
        await server.hung.wait()
        if write:
            self._run_write(attempt, bytes.fromhex(found[2]))
        else:
            self._run_read(attempt)

    def _refusal(self, write: bool, fields: dict[str, str]) -> str:
        """The code of a statement that is turned away untouched, or nothing."""
        server = self._server
        if server.is_draining:
            return "53300"
        if write:
            return "" if server.is_primary else "25006"
        if server.checks_reads is not None and not server.is_primary:
            return "72000" if server.position() < server.checks_reads(fields) else ""
        return ""

    def _run_write(self, attempt: Attempt, value: bytes) -> None:
        server = self._server
        if not server.is_primary:  # it lost its role while it held the write
            self._answer(attempt, pgwire.error("XX000"), "XX000", 0)
            return
        position = server.group.commit(attempt.key, value)
        attempt.ran_at = time.monotonic()
        server.record.note(server.name, f"ran {attempt.id} write {attempt.key} at {position}")
        self._answer(attempt, pgwire.result(value, b"INSERT 0 1"), "ok", position)

    def _run_read(self, attempt: Attempt) -> None:
        server = self._server
        attempt.ran_at = time.monotonic()
        attempt.data_position = server.position()
        attempt.value = server.group.value(attempt.key, attempt.data_position)
        if server.read_value is not None:
            attempt.value = server.read_value(attempt)
        self._answer(attempt, pgwire.result(attempt.value, b"SELECT 1"), "ok", 0)

    def _answer(self, attempt: Attempt, octets: bytes, what: str, position: int) -> None:
        server = self._server
        part = "master" if server.is_primary else "replica"
        octets += pgwire.parameter("part", part)
        if position:
            octets += pgwire.parameter("caught_up_to", str(position))
        if server.in_answers:
            octets += pgwire.parameter("gauges", server.report)
        octets += pgwire.READY
        if server.spoil is not None:
            octets = server.spoil(attempt, octets)
        attempt.answer, attempt.answered_at = what, time.monotonic()
        alive = "" if self._transport is not None else " (connection gone)"
        server.record.note(server.name, f"answers {attempt.id} {what} part={part} {attempt.value[:30]!r}{alive}")
        self._write(octets)
        if what == "ok" and server.copy_behind is not None and (pause := server.copy_behind()) is not None:
            asyncio.get_running_loop().call_later(pause, self._second_copy, attempt, octets, self._received)

    def _second_copy(self, attempt: Attempt, octets: bytes, received: int) -> None:
        """Writes an answer again, directly behind it, if nothing else waits on the connection."""
        server = self._server
        if self._transport is None or self._received != received:
            server.record.note(server.name, f"no second copy of {attempt.id}: something else waits")
            return
        server.copies += 1
        server.record.note(server.name, f"answers {attempt.id} a second time")
        self._write(octets)


async def refresh_reports(servers: list[Server]) -> None:
    """Refreshes the servers' reports on themselves now and then."""
    while True:
        for server in servers:
            server.refresh_report()
        await asyncio.sleep(REPORT_INTERVAL_S)
