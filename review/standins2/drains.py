"""What the two cases on drains share: lookups on several connections, and the judge of the rule."""

from __future__ import annotations

import asyncio
import random

from standins2.rig import Client, Gateway, Record, Request, Server

GRACE_S = 0.55  # 500 ms, and 50 ms more as for each time limit on sockets
CONNECTIONS = 8


class Lookups:
    """Clients that send lookups until ``stop``."""

    def __init__(self, record: Record, gateway: Gateway) -> None:
        self._record = record
        self._gateway = gateway
        self._stopped = False
        self.ends: dict[str, int] = {}
        self._tasks = [asyncio.create_task(self._client()) for _ in range(CONNECTIONS)]

    async def stop(self) -> None:
        """Waits for the last answers."""
        self._stopped = True
        await asyncio.wait(self._tasks, timeout=5)

    async def _client(self) -> None:
        client = Client(self._record, self._gateway.port)
        while not self._stopped:
            request = Request(f"{random.getrandbits(64):016x}", "route-lookup", 1500, False)
            await client.ask(request, request.text(f"{random.getrandbits(64):016x}"))
            self.ends[request.end] = self.ends.get(request.end, 0) + 1
            await asyncio.sleep(0.1)


def judge(record: Record, drained: Server, told_by: float, lookups: Lookups) -> int:
    """Returns 1 if the server got requests after the grace that follows ``told_by``, else 0."""
    late = [at for at, _ in drained.received if at > told_by + GRACE_S]
    record.add("verdict", told_by=round(told_by, 3), grace_s=GRACE_S, late=len(late), **lookups.ends)
    last = f"; the last {late[-1] - told_by:.2f} s after it counted as told" if late else ""
    print(f"sent to the draining server after the grace: {len(late)}{last}; ends: {lookups.ends}")
    return 1 if late else 0
