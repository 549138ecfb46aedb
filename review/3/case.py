"""Clients that stop in the middle of a command hold the memory for clients; a usual write waits beyond its time."""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from pathlib import Path

from review.standins import client, pgwire, settings
from review.standins.database import Group, Server, refresh_reports
from review.standins.discovery import Discovery
from review.standins.gateway import Gateway, free_port
from review.standins.record import Record
from review.standins.runner import CannotRunError, OwnDelay, run

MEMORY_MB, SOCKETS = 64, 512
BAD_CLIENTS, ANNOUNCED = 60, 131_000  # octets of the command of which they send the beginning
USUAL_CLIENTS, VALUE, LIMIT_MS = 6, 60_000, 1200  # a try is given up after 0.4 of the class's 3 s at the earliest
QUIET_S, TROUBLE_S, AFTER_S = 3.0, 20.0, 4.0
SLACK_S = 0.5 + 0.05  # STANDING: half a second after its time; PROTOCOL: each time limit is 50 ms longer
MAX_OWN_DELAY_S = 0.3


async def stops_midway(port: int, record: Record, end_at: float) -> None:
    """A bad client: sends the beginning of a command and stays until it is turned away, then does it again."""
    while time.monotonic() < end_at:
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
        except OSError:
            await asyncio.sleep(0.05)
            continue
        began = time.monotonic()
        writer.write(pgwire.startup() + b"Q" + ANNOUNCED.to_bytes(4, "big") + b"/* id=")
        with contextlib.suppress(OSError, TimeoutError):
            while await asyncio.wait_for(reader.read(4096), 5.0):
                pass
        record.note("bad client", f"was turned away after {time.monotonic() - began:.2f} s")
        writer.transport.abort()


async def usual_client(number: int, gateway: Gateway, record: Record, requests: list[client.Request]) -> None:
    """Writes large values now and then, one at a time."""
    rng = random.Random(number)
    connection: client.Connection | None = None
    while True:
        await asyncio.sleep(rng.uniform(0.2, 0.6))
        try:
            if connection is None or connection.lost.is_set():
                connection = await client.connect(f"c{number}", gateway.port, record)
        except (OSError, TimeoutError) as problem:
            record.note(f"c{number}", f"no connection: {problem!r}")
            continue
        request = client.Request(client.new_id(), LIMIT_MS / 1000)
        text = client.write(request.id, "port-commit", LIMIT_MS, 2, f"u{number}", b"v" * VALUE)
        requests.append(connection.send(text, request))
        await request.done.wait()


def judge(requests: list[client.Request], servers: list[Server], own_delay: float) -> list[str]:
    """Requests without an answer in time."""
    breaks = []
    ran = {one.id: one.ran_at for server in servers for one in server.attempts if one.ran_at is not None}
    for request in requests:
        took = request.took()
        waited = time.monotonic() - request.sent_at if took is None else took
        if request.ended or waited <= request.limit + SLACK_S + own_delay:
            continue
        answer = f"answered ({request.answer} {request.code})" if took is not None else "not answered"
        ran_at = ran.get(request.id)
        effect = "never ran" if ran_at is None else f"ran {ran_at - request.sent_at:.3f} s after it was sent"
        breaks.append(f"lost: {request.id} was {answer} after {waited:.3f} s of {request.limit:.3f} s; it {effect}")
    return breaks


async def play(record: Record, folder: Path, trouble: bool) -> list[str]:
    """Plays the case and returns the breaks."""
    group = Group("s0")
    fields = ("x0", "x1", "util")
    servers = [Server(f"s{number}", group, record, work_s=0.03, fields=fields) for number in range(4)]
    for server in servers:
        await server.listen(free_port())
    discovery = Discovery(record, [one.entry("master" if one.is_primary else "replica") for one in servers])
    await discovery.listen(free_port())
    gateway = Gateway(
        "n1",
        folder,
        {
            "discovery": discovery.address,
            "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS},
            "known": discovery.document(),
            "settings": settings.quito(fleet=1),
        },
    )
    delay = OwnDelay()
    requests: list[client.Request] = []
    tasks: list[asyncio.Task[None]] = []
    try:
        await gateway.start()
        tasks.append(asyncio.create_task(refresh_reports(servers)))
        if not await client.ready(gateway.port, record):
            raise CannotRunError("the gateway was not ready in 30 s")
        tasks.append(asyncio.create_task(delay.watch()))
        usual = [
            asyncio.create_task(usual_client(number, gateway, record, requests)) for number in range(USUAL_CLIENTS)
        ]
        tasks += usual
        await asyncio.sleep(QUIET_S)
        if trouble:
            record.note("bad clients", f"{BAD_CLIENTS} begin")
            end_at = time.monotonic() + TROUBLE_S
            tasks += [asyncio.create_task(stops_midway(gateway.port, record, end_at)) for _ in range(BAD_CLIENTS)]
        await asyncio.sleep(TROUBLE_S)
        await asyncio.sleep(AFTER_S)  # whatever can be answered in time is answered by then
        assert gateway.process is not None
        if gateway.process.returncode is not None:
            return [f"the gateway ended with {gateway.process.returncode}"]
        record.note("case", f"{len(requests)} usual requests; own delay up to {delay.longest:.3f} s")
        if delay.longest > MAX_OWN_DELAY_S:
            raise CannotRunError(f"the stand-ins themselves were held up for {delay.longest:.3f} s")
        return judge(requests, servers, delay.longest)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await gateway.end()
        for server in servers:
            server.close()
        discovery.close()


def test_usual_writes_are_answered_in_time() -> None:
    """Usual writes are answered in time, whatever other clients do."""
    run(Path(__file__).parent, play)


if __name__ == "__main__":
    test_usual_writes_are_answered_in_time()
