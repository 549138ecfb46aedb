"""A gateway is started again while discovery is down; its agent has a drain that the stored list lacks."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

from standins2.drains import Lookups, judge
from standins2.rig import Discovery, Gateway, Record, Server, main, quito_settings

DOWN_FOR_S = 4.0  # the gateway comes back 2 to 6.6 s after it died
OUTAGE_S = 8.0  # from the start of the new process until discovery is back


async def run(record: Record, folder: Path, trouble: bool) -> int:
    """Plays the case."""
    servers = [Server(record, f"s-{number}", number == 0) for number in range(5)]
    for server in servers:
        await server.listen()
    discovery = Discovery(record, list(servers))
    await discovery.listen()
    gateway = Gateway(record, folder)
    gateway.configure(discovery.port, discovery.document(), quito_settings())
    gateway.start()
    drained = servers[3]
    try:
        if not await gateway.ready():
            return 2
        lookups = Lookups(record, gateway)
        await asyncio.sleep(3.0)
        gateway.configure(discovery.port, discovery.document(), quito_settings())  # the list as it last had it
        gateway.end()
        record.add("gateway_killed")
        await asyncio.sleep(1.0)
        drained.lifecycle = "Terminating"  # the agent gets it
        discovery.change(drained)
        await asyncio.sleep(1.0)
        discovery.down = trouble
        record.add("discovery", down=trouble)
        await asyncio.sleep(DOWN_FOR_S - 2.0)
        gateway.start()
        started = record.now()
        await asyncio.sleep(OUTAGE_S)
        discovery.down = False
        record.add("discovery", down=False)
        if not await gateway.ready():
            return 2
        await asyncio.sleep(3.0)
        await lookups.stop()
    finally:
        gateway.end()
        discovery.close()
        for server in servers:
            server.close()
    return judge(record, drained, started, lookups)


def test_a_start_in_an_outage_keeps_the_agents_drains() -> int:
    """A start in an outage keeps the drains that the agent has."""
    return main(Path(__file__).parent, run)


if __name__ == "__main__":
    sys.exit(test_a_start_in_an_outage_keeps_the_agents_drains())
