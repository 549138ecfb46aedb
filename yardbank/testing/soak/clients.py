"""Clients of the soak test, which record what they observe on their connections."""

from __future__ import annotations

import asyncio
import time
from collections import deque
from itertools import count
from random import Random

from yardbank.testing.soak import wire
from yardbank.testing.soak.frames import ClientConnection, End, Play, SentRequest
from yardbank.testing.soak.plan import Behaviour, Plan

PIPELINED_REQUESTS = (4, 12)  # concurrent requests
HALF_PAUSE_S = (0.005, 0.05)  # seconds between the halves of a request
LATE_READ_S = (0.2, 0.6)  # seconds until a slow client reads
LEAVES_AFTER_S = (0.0, 0.03)
BETWEEN_REQUESTS_S = (0.0, 0.02)
ANSWER_WAIT_S = 1.0  # seconds after the time limit for which a client waits
RETRIES = 5
REQUESTS_PER_CONNECTION = 30  # requests on one connection


class Connection(asyncio.Protocol):
    """One connection of a client."""

    def __init__(self, record: ClientConnection) -> None:
        self.record = record
        self.ready = asyncio.Event()
        self.changed = asyncio.Event()
        self.waiting: deque[SentRequest] = deque()
        self.transport: asyncio.Transport | None = None
        self._messages = wire.Messages()
        self._served = ""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Sends the startup message."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        transport.write(wire.startup())

    def data_received(self, data: bytes) -> None:
        """Processes responses, in chunks of any size."""
        for kind, body in self._messages.feed(data):
            if kind == b"D":
                self._served = wire.column(body).decode()
            elif kind == b"C":
                self._answered("served")
            elif kind == b"E":
                self._answered(wire.error_code(body))
            elif kind == b"Z":
                self.ready.set()
        self.changed.set()

    def _answered(self, answer: str) -> None:
        """Records an answer to the oldest open request, if any."""
        if self.waiting:
            request = self.waiting.popleft()
            request.answers.append(answer)
            request.answered_at = time.monotonic()
            request.content = self._served

    def eof_received(self) -> bool:
        """Records the gateway's end of stream."""
        self.record.ended_by_gateway_at = time.monotonic()
        self._end(End.ENDED)
        return False

    def connection_lost(self, reason: Exception | None) -> None:
        """Records the end of the connection."""
        self._end(End.RESET if reason is not None else End.ENDED)
        self.transport = None

    def _end(self, how: End) -> None:
        if self.record.end is End.OPEN:
            self.record.end, self.record.ended_at = how, time.monotonic()
        self.ready.set()
        self.changed.set()

    @property
    def is_open(self) -> bool:
        """Whether the connection can be used."""
        return self.record.end is End.OPEN and self.transport is not None

    def leave(self, abort: bool) -> None:
        """Closes the connection."""
        if self.record.end is End.OPEN:
            self.record.end, self.record.ended_at = End.CLOSED, time.monotonic()
        if self.transport is not None:
            if abort:
                self.transport.abort()
            else:
                self.transport.close()

    def sent(self, request: SentRequest) -> None:
        """Records the sending of a request, just before its last octets are written."""
        request.sent_at = time.monotonic()
        self.waiting.append(request)

    async def all_answered(self, timeout: float) -> None:
        """Waits until all requests are answered, the connection ends, or the timeout."""
        end = time.monotonic() + timeout
        while self.waiting and self.is_open and (left := end - time.monotonic()) > 0:
            self.changed.clear()
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except TimeoutError:
                return


class Clients:
    """All clients of a run."""

    def __init__(self, plan: Plan, play: Play, port: int) -> None:
        self._plan = plan
        self._play = play
        self._port = port
        self._numbers = count()
        self._request_numbers = count()
        self.terminated = asyncio.Event()
        self.stopped = False
        self.takes_new = True  # whether clients still open connections

    async def connect(self, behaviour: str) -> Connection | None:
        """Opens a connection and completes the startup; returns None if it is refused."""
        record = ClientConnection(next(self._numbers), time.monotonic(), behaviour)
        loop = asyncio.get_running_loop()
        try:
            _, made = await loop.create_connection(lambda: Connection(record), "127.0.0.1", self._port)
        except OSError:
            return None
        self._play.connections[record.number] = record
        await made.ready.wait()
        return made

    def request(self, connection: Connection, random: Random) -> tuple[SentRequest, bytes]:
        """Draws a request and encodes it; it is recorded when it is sent."""
        name = random.choice(list(self._plan.deadlines))
        limit_ms = int(self._plan.deadlines[name] * 1000 * random.uniform(0.5, 1))
        number = f"r{next(self._request_numbers)}"
        write = name == "commit"
        key = f"k{random.randrange(50)}"
        if write:
            text = wire.write_statement(number, name, limit_ms, key, "9f" * random.choice([1, 100, 5000]))
        else:
            text = wire.read_statement(number, name, limit_ms, key)
        return SentRequest(number, connection.record.number, 0.0, limit_ms / 1000, write), wire.query(text)

    def _send(self, connection: Connection, request: SentRequest, octets: bytes) -> None:
        assert connection.transport is not None
        self._play.requests[request.id] = request
        connection.sent(request)
        connection.transport.write(octets)

    async def play(self, number: int, behaviour: Behaviour) -> None:
        """Runs one client to the end of the run."""
        random = Random(f"{self._plan.seed}/client/{number}")
        while not self.stopped and self.takes_new:
            connection = await self.connect(behaviour)
            if connection is None:
                await asyncio.sleep(0.05)
                continue
            for _ in range(REQUESTS_PER_CONNECTION):
                if not connection.is_open or self.stopped:
                    break
                await self._use(connection, behaviour, random)
                await asyncio.sleep(random.uniform(*BETWEEN_REQUESTS_S))
            if not self.terminated.is_set():
                connection.leave(abort=False)
            # After SIGTERM connections are used as long as they are open.
            while connection.is_open and not self.stopped:
                await self._use(connection, behaviour, random)
                await asyncio.sleep(random.uniform(*BETWEEN_REQUESTS_S))

    async def _use(self, connection: Connection, behaviour: Behaviour, random: Random) -> None:
        requests = random.randint(*PIPELINED_REQUESTS) if behaviour in (Behaviour.PIPELINE, Behaviour.SLOW) else 1
        made = [self.request(connection, random) for _ in range(requests)]
        if behaviour is Behaviour.SLOW:
            await self._read_late(connection, made, random)
        elif behaviour is Behaviour.HALVES:
            await self._write_halves(connection, *made[0], random)
        elif behaviour is Behaviour.LEAVER:
            await self._leave(connection, made, random)
        elif behaviour is Behaviour.RETRIER:
            await self._retry(connection, made[0], random)
        else:
            for request, octets in made:
                self._send(connection, request, octets)
            await self._wait(connection)

    async def _wait(self, connection: Connection) -> None:
        longest = max((request.time_limit for request in connection.waiting), default=0.0)
        await connection.all_answered(longest * max(1, len(connection.waiting)) + ANSWER_WAIT_S)

    async def _read_late(self, connection: Connection, made: list[tuple[SentRequest, bytes]], random: Random) -> None:
        assert connection.transport is not None
        connection.record.does_not_read = True
        connection.transport.pause_reading()
        for request, octets in made:
            self._send(connection, request, octets)
        await asyncio.sleep(random.uniform(*LATE_READ_S))
        if connection.transport is not None and not connection.transport.is_closing():
            connection.transport.resume_reading()
        await self._wait(connection)

    async def _write_halves(self, connection: Connection, request: SentRequest, octets: bytes, random: Random) -> None:
        assert connection.transport is not None
        cut = random.randrange(1, len(octets))
        connection.transport.write(octets[:cut])
        await asyncio.sleep(random.uniform(*HALF_PAUSE_S))
        if connection.is_open:
            self._send(connection, request, octets[cut:])
            await self._wait(connection)

    async def _leave(self, connection: Connection, made: list[tuple[SentRequest, bytes]], random: Random) -> None:
        for request, octets in made:
            self._send(connection, request, octets)
        await asyncio.sleep(random.uniform(*LEAVES_AFTER_S))
        connection.leave(abort=random.random() < 0.5)

    async def _retry(self, connection: Connection, first: tuple[SentRequest, bytes], random: Random) -> None:
        request, octets = first
        for _ in range(RETRIES):
            self._send(connection, request, octets)
            await self._wait(connection)
            if not connection.is_open or request.answers == ["served"]:
                return
            request, octets = self.request(connection, random)

    async def rest(self, number: int) -> None:
        """An idle client that sends one request between SIGTERM and the kill, if its connection is still open."""
        random = Random(f"{self._plan.seed}/crowd/{number}")
        connection = await self.connect("resting")
        await self.terminated.wait()
        await asyncio.sleep(random.uniform(0, self._plan.kill_at - self._plan.terminate_at))
        if connection is not None and connection.is_open and not self.stopped:
            self._send(connection, *self.request(connection, random))
            await self._wait(connection)
