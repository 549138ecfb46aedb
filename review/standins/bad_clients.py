"""Bad clients as a process of their own: python -m review.standins.bad_clients PORT KIND COUNT SECONDS.

Each sends hundreds of commands at once at full speed, reads whatever it is sent, and comes again once it is turned
away or has its answers. ``empty``: empty queries; ``reads``: reads of the form that is served; ``garbage``: a query
that nobody serves.
"""

from __future__ import annotations

import asyncio
import sys
import time

from review.standins import client, pgwire

COMMANDS = 900
STAY_S = 2.0


def commands(kind: str) -> bytes:
    """What one connection sends at once."""
    if kind == "garbage":
        return pgwire.query("DROP TABLE kv")
    if kind == "empty":
        return pgwire.query("") * COMMANDS
    new_key = client.new_id()[-6:]
    if kind == "writes":
        texts = [client.write(client.new_id(), "port-commit", 3000, 2, new_key, b"v") for _ in range(COMMANDS)]
    else:
        texts = [client.read(client.new_id(), "route-lookup", 1500, 2, new_key) for _ in range(COMMANDS)]
    return b"".join(pgwire.query(text) for text in texts)


async def _one_connection(port: int, kind: str, end_at: float) -> None:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        writer.write(pgwire.startup() + commands(kind))
        messages, answers, began = pgwire.Splitter(first_is_startup=False), 0, time.monotonic()
        while answers <= COMMANDS and time.monotonic() < min(end_at, began + STAY_S):
            data = await asyncio.wait_for(reader.read(65536), STAY_S)
            if not data:
                return
            answers += sum(name == b"Z" for name, _ in messages.feed(data))
    finally:
        writer.transport.abort()


async def _bad_client(port: int, kind: str, end_at: float) -> int:
    rounds = 0
    while time.monotonic() < end_at:
        try:
            await _one_connection(port, kind, end_at)
        except (OSError, TimeoutError):
            await asyncio.sleep(0.02)
        rounds += 1
    return rounds


async def main(port: int, kind: str, count: int, seconds: float) -> None:
    """Plays the clients and prints how often they came."""
    end_at = time.monotonic() + seconds
    rounds = await asyncio.gather(*(_bad_client(port, kind, end_at) for _ in range(count)))
    print(f"{count} bad clients of kind {kind} came {sum(rounds)} times", flush=True)


if __name__ == "__main__":
    asyncio.run(main(int(sys.argv[1]), sys.argv[2], int(sys.argv[3]), float(sys.argv[4])))
