"""Bad clients as a process of their own: ``python -m standins2.floods PORT CLIENTS COMMANDS``.

Each sends so many reads at once and reads whatever comes, until the gateway closes. Prints when all is sent.
"""

from __future__ import annotations

import asyncio
import random
import sys

from standins2 import wire


def commands(count: int) -> bytes:
    """Returns a startup message and ``count`` reads behind it."""
    octets = [wire.startup()]
    for _ in range(count):
        comment = f"/* id={random.getrandbits(64):016x},c=route-lookup,d=1500,cluster=2 */"
        octets.append(wire.query(f"{comment} SELECT content FROM kv WHERE name = '{random.getrandbits(64):016x}'"))
    return b"".join(octets)


async def send(port: int, octets: bytes) -> None:
    """Plays one client."""
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(octets)
        while await reader.read(65536):
            pass
        writer.close()
    except OSError:
        pass


async def main(port: int, clients: int, count: int) -> None:
    """Plays all clients once the parent says so."""
    prepared = [commands(count) for _ in range(clients)]
    print("ready", flush=True)
    await asyncio.get_running_loop().run_in_executor(None, sys.stdin.readline)
    await asyncio.gather(*(send(port, octets) for octets in prepared))


if __name__ == "__main__":
    asyncio.run(main(*map(int, sys.argv[1:4])))
