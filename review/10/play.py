"""Some database servers hang. A request that is sent again must not have two attempts out at the same time."""

from __future__ import annotations

import asyncio
import random
import select
import sys
import time
from pathlib import Path
from typing import Any

from standins2 import wire
from standins2.rig import (
    MS,
    Client,
    Discovery,
    Gateway,
    Record,
    Request,
    Server,
    ServerConnection,
    main,
    quito_settings,
    service,
)

SERVERS, MEMBERS = 12, 4  # "10 to 14 database hosts", "3 to 4 members"
RATE = 175.0  # requests a second: one of two gateways that carry about 350
HUNG = (1, 5)  # 2 of 12: "up to 18% of the database hosts"
HANG_AT_S, HANG_FOR_S, LENGTH_S = 4.0, 8.0, 16.0  # "for 5.6 to 22 s"
CLOSED = select.POLLRDHUP | select.POLLHUP | select.POLLERR
# Name, time of the client in ms, running share of the requests.
SHARES = (
    ("route-lookup", 1000, 0.47),
    ("desk-readback", 750, 0.85),
    ("cutover-check", 2500, 0.89),
    ("port-update", 2000, 1.0),
)


def settings() -> dict[str, Any]:
    """Returns settings as the deployment has them: one outstanding attempt at a time."""
    found = quito_settings(gateways=2)
    found["services"] = [
        service("route-lookup", 400, 1000, "pure", 1.0, 0.0),
        service("desk-readback", 300, 750, "pure", 3.0, 0.2),
        service("cutover-check", 600, 2500, "pure", 3.0, 0.0),
        service("port-update", 750, 2000, "token", 6.0, 0.3, 1200),
    ]
    found["domain"] |= {
        "checks": "await",
        "patience": 20 * MS,
        "class_read": ["lag_bound", "causal", "strong", "mutate"],
        "lag_allowed": [500 * MS, 0, 0, 0],
        "tells_position": True,
    }
    found["reporting"] = {"names": ["x0", "x1"], "via": "piggyback"}
    found["ceilings"] |= {"second_copies": False, "max_attempts": 10}
    found["rules"] |= {"drain_grace": 250 * MS, "start_capacity": 0.19}
    return found


class Attempts:
    """The attempts that are out, by request, and those that arrived while an earlier one was out."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.out: dict[str, list[ServerConnection]] = {}
        self.broken: list[str] = []
        self.overlaps_ms: list[float] = []
        self._tasks: set[asyncio.Task[None]] = set()

    def arrived(self, statement: dict[str, str], connection: ServerConnection) -> None:
        """Notes an attempt whose last octet has arrived, and asks the system whether an earlier one is still out."""
        number = statement["id"]
        for earlier in self.out.get(number, []):
            if not is_open(earlier):
                continue
            names = {"first": earlier.server.name, "second": connection.server.name}
            self.record.add("two_at_once", id=number, **names)
            self.broken.append(number)
            task = asyncio.get_running_loop().create_task(self._measure(earlier))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        self.out.setdefault(number, []).append(connection)

    def ended(self, statement: dict[str, str], connection: ServerConnection) -> None:
        """Notes an attempt that was answered."""
        self.out[statement["id"]].remove(connection)

    async def _measure(self, earlier: ServerConnection) -> None:
        started = time.monotonic()
        while is_open(earlier) and time.monotonic() - started < 5:
            await asyncio.sleep(0)
        self.overlaps_ms.append(round(1000 * (time.monotonic() - started), 1))


def is_open(connection: ServerConnection) -> bool:
    """Whether the gateway has neither closed a connection nor ended its sending on it, as the system knows it now."""
    sock = connection.transport.get_extra_info("socket")
    if connection.transport.is_closing() or sock is None or sock.fileno() < 0:
        return False
    poll = select.poll()
    poll.register(sock.fileno(), CLOSED)
    return not poll.poll(0)


class HangingServer(Server):
    """A database server that takes requests and answers none while it hangs."""

    hangs = False
    attempts: Attempts

    def part(self) -> bytes:
        """Tells role and report, as every answer does."""
        return super().part() + wire.parameter("gauges", f"x0={time.time():.3f},x1={int(self.primary)}")

    async def serve(self, connection: ServerConnection, statement: dict[str, str]) -> None:
        """Serves a statement unless it hangs."""
        self.attempts.arrived(statement, connection)
        if self.hangs:
            return
        await asyncio.sleep(self.work)
        self.attempts.ended(statement, connection)
        connection.reply(self.row(statement), statement, "row")


async def hang(record: Record, servers: list[HangingServer]) -> None:
    """Lets servers hang for a while."""
    await asyncio.sleep(HANG_AT_S)
    for hangs in (True, False):
        for server in servers:
            server.hangs = hangs
            record.add("hang", server=server.name, hangs=hangs)
        await asyncio.sleep(HANG_FOR_S)


async def send(record: Record, gateway: Gateway) -> dict[str, int]:
    """Sends the traffic; returns how many requests ended how."""
    ends: dict[str, int] = {}
    idle: list[Client] = []
    tasks: set[asyncio.Task[None]] = set()

    async def ask(name: str, limit: int) -> None:
        client = idle.pop() if idle else Client(record, gateway.port)
        request = Request(f"{random.getrandbits(64):016x}", name, limit, name == "port-update")
        key, cell = f"{random.getrandbits(64):016x}", random.randrange(SERVERS // MEMBERS)
        await client.ask(request, request.text(key, cell))
        ends[request.end] = ends.get(request.end, 0) + 1
        idle.append(client)

    started, sent = record.now(), 0
    while record.now() - started < LENGTH_S:
        sent += 1
        draw = random.random()
        name, limit, _ = next(each for each in SHARES if draw < each[2])
        task = asyncio.create_task(ask(name, limit))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(max(0.0, started + sent / RATE - record.now()))
    if tasks:
        await asyncio.wait(tasks, timeout=5)
    return ends


async def run(record: Record, folder: Path, trouble: bool) -> int:
    """Plays the case."""
    attempts = Attempts(record)
    servers = [
        HangingServer(record, f"s-{number}", number % MEMBERS == 0, number // MEMBERS, work=0.04)
        for number in range(SERVERS)
    ]
    for server in servers:
        server.attempts = attempts
        await server.listen()
    discovery = Discovery(record, list(servers))
    await discovery.listen()
    gateway = Gateway(record, folder)
    gateway.configure(discovery.port, discovery.document(), settings())
    gateway.start()
    hanging = None
    try:
        if not await gateway.ready():
            return 2
        if trouble:
            hanging = asyncio.create_task(hang(record, [servers[number] for number in HUNG]))
        ends = await send(record, gateway)
    finally:
        if hanging is not None:
            hanging.cancel()
        gateway.end()
        discovery.close()
        for server in servers:
            server.close()
    overlaps = sorted(attempts.overlaps_ms)
    record.add("verdict", two_at_once=len(attempts.broken), overlaps_ms=overlaps, **ends)
    print(f"second attempts that arrived while the first was out: {len(attempts.broken)}; ms: {overlaps}; ends: {ends}")
    return 1 if attempts.broken else 0


if __name__ == "__main__":
    sys.exit(main(Path(__file__).parent, run))
