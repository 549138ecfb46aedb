"""Some answers of database servers are spoilt: their length does not fit. The gateway must stay within its memory."""

from __future__ import annotations

import asyncio
import random
import struct
import sys
from pathlib import Path

from standins2 import wire
from standins2.rig import Client, Discovery, Gateway, Record, Request, Server, ServerConnection, main, quito_settings

MEMORY_MB = 64
LIMIT_MB = MEMORY_MB * 1.048576  # counted generously: 64 MiB, in MB of resident memory
RATE = 300.0  # requests a second
SPOILT_SHARE = 0.25
SAID_OCTETS = 1_000_000  # length of a value that has some 16
PIECE_OCTETS, PIECE_PAUSE_S = 64_000, 0.01
LENGTH_S = 30.0
# Name, time of the client in ms, running share of the requests.
SHARES = (("route-lookup", 1500, 0.43), ("request-status", 2000, 0.75), ("port-commit", 3000, 1.0))


class SpoilingServer(Server):
    """A database server of which some answers are spoilt."""

    spoils = False

    async def serve(self, connection: ServerConnection, statement: dict[str, str]) -> None:
        """Serves a statement, or spoils its answer after it has run."""
        if not self.spoils or (statement["verb"] == "INSERT" and not self.primary) or random.random() >= SPOILT_SHARE:
            await super().serve(connection, statement)
            return
        await asyncio.sleep(self.work)
        description = struct.pack("!h", 1) + b"content\0" + struct.pack("!ihihih", 0, 0, 17, -1, -1, 1)
        row = b"D" + struct.pack("!ihi", SAID_OCTETS + 10, 1, SAID_OCTETS)
        connection.reply(wire.message(b"T", description) + row, statement, "spoilt")
        sent = 0
        while sent < SAID_OCTETS - 1 and not connection.transport.is_closing():  # its last octet never comes
            size = min(PIECE_OCTETS, SAID_OCTETS - 1 - sent)
            connection.write(bytes(size))
            sent += size
            await asyncio.sleep(PIECE_PAUSE_S)


class Traffic:
    """The clients."""

    def __init__(self, record: Record, gateway: Gateway) -> None:
        self._record = record
        self._gateway = gateway
        self._idle: list[Client] = []
        self.tasks: set[asyncio.Task[None]] = set()
        self.ends: dict[str, int] = {}

    def start_request(self) -> None:
        """Starts one request, on a connection at rest or a new one."""
        draw = random.random()
        name, limit, _ = next(each for each in SHARES if draw < each[2])
        task = asyncio.create_task(self._ask(name, limit))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _ask(self, name: str, limit: int) -> None:
        client = self._idle.pop() if self._idle else Client(self._record, self._gateway.port)
        request = Request(f"{random.getrandbits(64):016x}", name, limit, name == "port-commit")
        await client.ask(request, request.text(f"{random.getrandbits(64):016x}"))
        self.ends[request.end] = self.ends.get(request.end, 0) + 1
        self._idle.append(client)


async def play(record: Record, gateway: Gateway, traffic: Traffic) -> tuple[bool, float]:
    """Sends the requests; returns whether the platform had to kill the process, and its greatest memory in MB."""
    peak, started, sent = 0.0, record.now(), 0
    while record.now() - started < LENGTH_S:
        sent += 1
        traffic.start_request()
        memory = gateway.memory_mb()
        if memory > peak + 1:
            record.add("memory", mb=round(memory, 1))
        peak = max(peak, memory)
        if memory > LIMIT_MB:  # the platform kills a gateway that is over its limit
            record.add("killed", mb=round(memory, 1), limit_mb=round(LIMIT_MB, 1), open=len(traffic.tasks))
            gateway.end()
            return True, peak
        await asyncio.sleep(max(0.0, started + sent / RATE - record.now()))
    return False, peak


async def run(record: Record, folder: Path, trouble: bool) -> int:
    """Plays the case."""
    servers = [SpoilingServer(record, f"s-{number}", number == 0) for number in range(5)]
    for server in servers:
        server.spoils = trouble
        await server.listen()
    discovery = Discovery(record, list(servers))
    await discovery.listen()
    gateway = Gateway(record, folder)
    gateway.configure(discovery.port, discovery.document(), quito_settings(), memory_mb=MEMORY_MB, sockets=256)
    gateway.start()
    traffic = Traffic(record, gateway)
    try:
        if not await gateway.ready():
            return 2
        record.add("memory", mb=round(gateway.memory_mb(), 1))
        killed, peak = await play(record, gateway, traffic)
        if traffic.tasks:
            await asyncio.wait(traffic.tasks, timeout=5)
        ended = gateway.process is not None and gateway.process.poll() is not None
    finally:
        gateway.end()
        discovery.close()
        for server in servers:
            server.close()
    record.add("verdict", killed=killed, ended=ended, peak_mb=round(peak, 1), **traffic.ends)
    print(f"killed for memory: {killed}; peak {peak:.1f} MB of {LIMIT_MB:.1f}; ends: {traffic.ends}")
    return 1 if killed or ended else 0


def test_spoilt_answers_do_not_exceed_the_memory_limit() -> int:
    """Spoilt answers do not exceed the memory limit."""
    return main(Path(__file__).parent, run)


if __name__ == "__main__":
    sys.exit(test_spoilt_answers_do_not_exceed_the_memory_limit())
