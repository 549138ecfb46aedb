"""Database servers of the soak test, with the faults of the plan."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from yardbank.testing.soak import wire
from yardbank.testing.soak.frames import ReceivedAttempt
from yardbank.testing.soak.plan import ServerFault

PIECE_PAUSE_S = 0.005  # seconds between the parts of an answer
PIECES = 3


class Server:
    """One server, the primary or a replica, that reports the attempts it receives."""

    def __init__(self, name: str, is_primary: bool, service_time: float, received: Callable[[ReceivedAttempt], None]):
        self.name = name
        self.is_primary = is_primary
        self.service_time = service_time
        self.received = received
        self.faults: set[ServerFault] = set()
        self.port = 0
        self.recovered = asyncio.Event()
        self._listening: asyncio.Server | None = None
        self._connections: set[_Connection] = set()

    async def listen(self) -> None:
        """Listens on a free port."""
        loop = asyncio.get_running_loop()
        self._listening = await loop.create_server(lambda: _Connection(self), "127.0.0.1", 0)
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
        statement = wire.parse_statement(body)
        if statement is None:
            self._write(wire.error("42501") + wire.READY)
            return
        server = self._server
        refusal = None
        if ServerFault.FULL in server.faults:
            refusal = "53300"
        elif statement.write and not server.is_primary:
            refusal = "25006"
        now = time.monotonic()
        attempt = ReceivedAttempt(
            statement.id, server.name, self._first_octet_at, now, statement.time_limit, statement.write, refusal is None
        )
        server.received(attempt)
        if refusal is not None:
            self._write(wire.error(refusal) + wire.READY)
        elif ServerFault.RESET in server.faults:
            self.abort()
        else:
            self._work = asyncio.get_running_loop().create_task(self._serve(statement))

    async def _serve(self, statement: wire.Statement) -> None:
        server = self._server
        await asyncio.sleep(server.service_time)
        while ServerFault.HANG in server.faults:
            server.recovered.clear()
            await server.recovered.wait()
        part = wire.parameter("part", "master" if server.is_primary else "replica")
        position = wire.parameter("caught_up_to", str(int(time.time() * 1000)))
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
