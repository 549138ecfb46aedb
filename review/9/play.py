"""Discovery is slow: its list takes 4 s to arrive. Servers that drain must get nothing once that counts as told."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

from standins2.drains import Lookups, judge
from standins2.rig import Discovery, Gateway, Record, Server, main, quito_settings

PIECES, PIECE_PAUSE_S = 41, 0.1  # the list arrives in parts, 0.1 s apart: 4 s in all, never silent
TOLD_AFTER_S = 6.0  # "at the latest 6 s after discovery had it and could be reached"
LENGTH_S = 20.0


async def run(record: Record, folder: Path, trouble: bool) -> int:
    """Plays the case."""
    servers = [Server(record, f"s-{number}", number == 0) for number in range(5)]
    for server in servers:
        await server.listen()
    discovery = Discovery(record, list(servers))
    await discovery.listen()
    gateway = Gateway(record, folder)
    gateway.configure(discovery.port, discovery.document(), quito_settings())  # the list as it last had it
    drained = servers[3]
    drained.lifecycle = "Terminating"
    discovery.generation += 2
    if trouble:
        discovery.pieces, discovery.piece_pause = PIECES, PIECE_PAUSE_S
    gateway.start()
    started = record.now()
    try:
        if not await gateway.ready():
            return 2
        lookups = Lookups(record, gateway)
        await asyncio.sleep(max(0.0, started + LENGTH_S - record.now()))
        await lookups.stop()
    finally:
        gateway.end()
        discovery.close()
        for server in servers:
            server.close()
    return judge(record, drained, started + TOLD_AFTER_S, lookups)


def test_a_slow_list_is_heard() -> int:
    """A slow list is heard."""
    return main(Path(__file__).parent, run)


if __name__ == "__main__":
    sys.exit(test_a_slow_list_is_heard())
