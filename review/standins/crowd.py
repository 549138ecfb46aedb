"""Usual clients, and the start of bad ones in processes of their own."""

from __future__ import annotations

import asyncio
import random
import sys

from review.standins import client
from review.standins.gateway import ROOT, Gateway
from review.standins.record import Record

PROCESSES = 4  # that play the bad clients


async def usual_client(number: int, gateway: Gateway, record: Record, requests: list[client.Request]) -> None:
    """A client that asks now and then, one request after the other, for as long as the gateway is there."""
    rng = random.Random(number)
    connection: client.Connection | None = None
    while True:
        await asyncio.sleep(rng.uniform(0.2, 0.5))
        try:
            if connection is None or connection.lost.is_set():
                connection = await client.connect(f"c{number}", gateway.port, record)
        except (OSError, TimeoutError) as problem:
            record.note(f"c{number}", f"no connection: {problem!r}")
            continue
        number_of_request = client.new_id()
        if rng.random() < 0.3:
            text = client.write(number_of_request, "port-commit", 2000, 2, f"u{number}", b"value")
            request = client.Request(number_of_request, 2.0)
        else:
            text = client.read(number_of_request, "route-lookup", 800, 2, f"u{number}")
            request = client.Request(number_of_request, 0.8)
        requests.append(connection.send(text, request))
        await request.done.wait()


async def bad_clients(gateway: Gateway, record: Record, kind: str, count: int, seconds: float) -> None:
    """Plays bad clients until their time is over."""
    record.note("bad clients", f"{count} begin, each sends 900 commands at once ({kind}) and comes again")
    processes = [
        await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "review.standins.bad_clients",
            str(gateway.port),
            kind,
            str(count // PROCESSES),
            str(seconds),
            cwd=ROOT,
            stdout=asyncio.subprocess.PIPE,
        )
        for _ in range(PROCESSES)
    ]
    try:
        for process in processes:
            out, _ = await process.communicate()
            record.note("bad clients", out.decode().strip())
    finally:
        for process in processes:
            if process.returncode is None:
                process.kill()
                await process.wait()
