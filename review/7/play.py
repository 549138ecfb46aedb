"""Bad clients send hundreds of commands at once. The requests of the usual clients must get their answers in time."""

from __future__ import annotations

import asyncio
import os
import random
import subprocess
import sys
from pathlib import Path
from typing import Any

from standins2.rig import Client, Discovery, Gateway, Record, Request, Server, main, quito_settings

BAD_CLIENTS, COMMANDS = 200, 400  # "hundreds of commands at once"; clients hold under a third of 1,024 descriptors
SOCKETS = 1024
RATE = 40.0  # usual requests a second
LOST_AFTER_S = 0.55  # half a second after its time, and 50 ms as for each time limit on sockets
FLOOD_AT_S, LENGTH_S = 2.0, 14.0
LAG_STEP_S = 0.02
# Name, time of the client in ms, running share of the requests.
SHARES = (("route-lookup", 1500, 0.43), ("request-status", 2000, 0.75), ("port-commit", 3000, 1.0))


class Usual:
    """The usual clients: one request at a time on each connection."""

    def __init__(self, record: Record, gateway: Gateway) -> None:
        self._record = record
        self._gateway = gateway
        self._idle: list[Client] = []
        self.tasks: set[asyncio.Task[None]] = set()
        self.ends: dict[str, int] = {}
        self.lost: list[float] = []
        self.greatest_lag = 0.0  # by which this process itself was held up

    async def measure_lag(self) -> None:
        """Measures how long the loop of the stand-ins is held up, which the judge allows for."""
        while True:
            before = self._record.now()
            await asyncio.sleep(LAG_STEP_S)
            self.greatest_lag = max(self.greatest_lag, self._record.now() - before - LAG_STEP_S)

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
        await client.ask(request, request.text(f"{random.getrandbits(64):016x}"), wait=10.0)
        self.ends[request.end] = self.ends.get(request.end, 0) + 1
        after = request.ended - request.sent - limit / 1000
        if after > LOST_AFTER_S:
            self._record.add("after_its_time", id=request.number, s=round(after, 2), end=request.end)
            self.lost.append(after)
        self._idle.append(client)


async def prepare_flood(record: Record, port: int) -> subprocess.Popen[bytes]:
    """Starts the process of the bad clients, which waits until it is told to send."""
    command = [sys.executable, "-m", "standins2.floods", str(port), str(BAD_CLIENTS), str(COMMANDS)]
    process = subprocess.Popen(command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, env=dict(os.environ))
    assert process.stdout is not None
    await asyncio.get_running_loop().run_in_executor(None, process.stdout.readline)
    record.add("flood_ready", clients=BAD_CLIENTS, commands=COMMANDS)
    return process


async def play(record: Record, usual: Usual, flood: subprocess.Popen[bytes] | None) -> None:
    """Sends the usual requests, and lets the bad clients begin."""
    started, sent, has_begun = record.now(), 0, False
    while record.now() - started < LENGTH_S:
        if flood is not None and flood.stdin is not None and not has_begun and record.now() - started > FLOOD_AT_S:
            has_begun = True
            record.add("flood_begins")
            flood.stdin.write(b"go\n")
            flood.stdin.flush()
        sent += 1
        usual.start_request()
        await asyncio.sleep(max(0.0, started + sent / RATE - record.now()))
    if usual.tasks:
        await asyncio.wait(usual.tasks, timeout=14)


async def run(record: Record, folder: Path, trouble: bool) -> int:
    """Plays the case."""
    servers = [Server(record, f"s-{number}", number == 0) for number in range(5)]
    for server in servers:
        await server.listen()
    discovery = Discovery(record, list(servers))
    await discovery.listen()
    gateway = Gateway(record, folder)
    gateway.configure(discovery.port, discovery.document(), quito_settings(), sockets=SOCKETS)
    gateway.start()
    usual = Usual(record, gateway)
    flood: subprocess.Popen[bytes] | None = None
    measuring: asyncio.Task[Any] | None = None
    try:
        if not await gateway.ready():
            return 2
        flood = await prepare_flood(record, gateway.port) if trouble else None
        measuring = asyncio.create_task(usual.measure_lag())
        await play(record, usual, flood)
    finally:
        if measuring is not None:
            measuring.cancel()
        if flood is not None:
            flood.kill()
            flood.wait()
        gateway.end()
        discovery.close()
        for server in servers:
            server.close()
    lost = [after for after in usual.lost if after > LOST_AFTER_S + usual.greatest_lag]
    facts = {"lost": len(lost), "worst_s": round(max(lost, default=0.0), 2), "lag_s": round(usual.greatest_lag, 3)}
    record.add("verdict", **facts, **usual.ends)
    print(f"requests of usual clients: {facts}; ends: {usual.ends}")
    return 1 if lost else 0


def test_usual_requests_are_answered_while_others_send_hundreds_of_commands() -> int:
    """Usual requests are answered while others send hundreds of commands."""
    return main(Path(__file__).parent, run)


if __name__ == "__main__":
    sys.exit(test_usual_requests_are_answered_while_others_send_hundreds_of_commands())
