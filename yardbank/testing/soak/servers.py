"""Database servers of the soak test, with the faults of the plan."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from yardbank.testing.soak import wire
from yardbank.testing.soak.frames import ReceivedAttempt
from yardbank.testing.soak.plan import ServerFault
from yardbank.testing.soak.replication import ReplicationGroup

PIECE_PAUSE_S = 0.005  # seconds between the parts of an answer
PIECES = 3


class Server:
    """One server, the primary or a replica, that reports the attempts it receives.

    ``group``: its replication; None: it never lags and keeps its role. ``staleness_bound`` (s): how old the data of a
    read may be; None: it does not check.
    """

    def __init__(self, name: str, is_primary: bool, service_time: float, received: Callable[[ReceivedAttempt], None]):
        self.name = name
        self._is_primary = is_primary
        self.group: ReplicationGroup | None = None
        self.staleness_bound: float | None = None
        self.report = b""  # its last report on itself, some time old
        self.service_time = service_time
        self.received = received
        self.faults: set[ServerFault] = set()
        self.port = 0
        self.recovered = asyncio.Event()
        self._listening: asyncio.Server | None = None
        self._connections: set[_Connection] = set()

    @property
    def is_primary(self) -> bool:
        """Whether it is the primary now."""
        return self._is_primary if self.group is None else self.group.primary == self.name

    def data_age(self, now: float) -> float | None:
        """Returns how old its data are (s); None: it never lags."""
        return None if self.group is None else now - self.group.position(self.name, now)

    def refresh_report(self) -> None:
        """Makes a new report of its position and role."""
        now = time.monotonic()
        position = time.time() - (self.data_age(now) or 0.0)
        self.report = f"x0={position:.3f},x1={int(self.is_primary)},utilization=0.1".encode()

    async def listen(self) -> None:
        """Listens on a free port, or on the one that it had before a crash."""
        loop = asyncio.get_running_loop()
        self._listening = await loop.create_server(lambda: _Connection(self), "127.0.0.1", self.port)
        self.port = self._listening.sockets[0].getsockname()[1]

    def opened(self, connection: _Connection) -> None:
        """Adds an open connection."""
        self._connections.add(connection)

    def lost(self, connection: _Connection) -> None:
        """Removes a closed connection."""
        self._connections.discard(connection)

    def close(self) -> None:
        """Closes the server and all connections."""
        if self._listening is not None:
            self._listening.close()
        for connection in list(self._connections):
            connection.abort()


class _Connection(asyncio.Protocol):
    """One connection to a server."""

    def __init__(self, server: Server) -> None:
        self._server = server
        self._messages = wire.Messages(first_is_startup=True)
        self._first_octet_at = 0.0
        self._transport: asyncio.Transport | None = None
        self._work: asyncio.Task[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._server.opened(self)
        if ServerFault.DROP in self._server.faults:
            transport.close()

    def connection_lost(self, reason: Exception | None) -> None:
        self._transport = None
        self._server.lost(self)

    def abort(self) -> None:
        """Aborts the connection."""
        if self._transport is not None:
            self._transport.abort()

    def data_received(self, data: bytes) -> None:
        if ServerFault.SILENT in self._server.faults:
            return
        if self._messages.is_empty:
            self._first_octet_at = time.monotonic()
        for kind, body in self._messages.feed(data):
            if not kind:
                self._write(wire.WELCOME)
            elif kind == b"Q":
                self._statement_received(body)

    def _statement_received(self, body: bytes) -> None:
        server = self._server
        statement = wire.parse_statement(body)
        if statement is None:
            is_probe = server.group is not None and wire.PROBE in body
            self._write((wire.row(server.report, b"SHOW") if is_probe else wire.error("42501")) + wire.READY)
            return
        now = time.monotonic()
        age = server.data_age(now)
        refusal = None
        if ServerFault.FULL in server.faults:
            refusal = "53300"
        elif statement.write and not server.is_primary:
            refusal = "25006"
        elif not server.is_primary and age is not None and age > (server.staleness_bound or age):
            refusal = "72000"
        attempt = ReceivedAttempt(
            statement.id, server.name, self._first_octet_at, now, statement.time_limit, statement.write, refusal is None
        )
        attempt.data_age = age
        attempt.has_been_primary = server.group is not None and server.group.has_been_primary(server.name)
        server.received(attempt)
        if refusal is not None:
            self._write(wire.error(refusal) + self._part(attempt) + wire.READY)
        elif ServerFault.RESET in server.faults:
            self.abort()
        else:
            self._work = asyncio.get_running_loop().create_task(self._serve(statement, attempt))

    def _part(self, attempt: ReceivedAttempt) -> bytes:
        """Encodes the server's role and records that it was told."""
        attempt.told_primary = self._server.is_primary
        if self._transport is not None and not self._transport.is_closing():
            attempt.answered_at = time.monotonic()
        return wire.parameter("part", "master" if attempt.told_primary else "replica")

    async def _serve(self, statement: wire.Statement, attempt: ReceivedAttempt) -> None:
        server = self._server
        await asyncio.sleep(server.service_time)
        while ServerFault.HANG in server.faults:
            server.recovered.clear()
            await server.recovered.wait()
        part = self._part(attempt)
        tells_position = statement.write or server.group is None
        position = wire.parameter("caught_up_to", str(int(time.time() * 1000))) if tells_position else b""
        tag = b"INSERT 0 1" if statement.write else b"SELECT 1"
        answer = wire.row(statement.id.encode(), tag) + part + position + wire.READY
        if ServerFault.PIECES not in server.faults:
            self._write(answer)
            return
        size = -(-len(answer) // PIECES)
        for at in range(0, len(answer), size):
            self._write(answer[at : at + size])
            await asyncio.sleep(PIECE_PAUSE_S)

    def _write(self, octets: bytes) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(octets)
