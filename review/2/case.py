"""Some clients that send hundreds of commands at once keep usual clients waiting beyond the time of their requests."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

from review.standins import client, settings
from review.standins.crowd import bad_clients, usual_client
from review.standins.database import Group, Server, refresh_reports
from review.standins.discovery import Discovery
from review.standins.gateway import Gateway, free_port
from review.standins.record import Record
from review.standins.runner import CannotRunError, run

MEMORY_MB, SOCKETS = 192, 512
BAD_CLIENTS = 60
USUAL_CLIENTS = 20
QUIET_S, TROUBLE_S, AFTER_S = 3.0, 20.0, 6.0
SLACK_S = 0.5 + 0.05  # STANDING: half a second after its time; PROTOCOL: each time limit is 50 ms longer
CLOCK_CHECK_S = 0.01
MAX_OWN_DELAY_S = 0.5


class OwnDelay:
    """The longest time for which this process itself was held up; its times may be late by as much."""

    def __init__(self) -> None:
        self.longest = 0.0

    async def watch(self) -> None:
        """Looks at the clock again and again."""
        before = time.monotonic()
        while True:
            await asyncio.sleep(CLOCK_CHECK_S)
            now = time.monotonic()
            self.longest = max(self.longest, now - before - CLOCK_CHECK_S)
            before = now


def judge(requests: list[client.Request], own_delay: float) -> list[str]:
    """Requests of usual clients without an answer in time."""
    breaks, now = [], time.monotonic()
    for request in requests:
        if request.ended.startswith(("ended", "not sent")):  # a connection that the gateway ended is another matter
            continue
        took = request.took()
        waited = now - request.sent_at if took is None else took
        if waited > request.limit + SLACK_S + own_delay:
            answer = f"answered ({request.answer} {request.code})" if took is not None else "not answered"
            breaks.append(f"lost: {request.id} was {answer} after {waited:.3f} s, its time was {request.limit:.3f} s")
    return breaks


async def play(record: Record, folder: Path, trouble: bool) -> list[str]:
    """Plays the case and returns the breaks."""
    group = Group("s0")
    fields = ("x0", "x1", "util")
    servers = [Server(f"s{number}", group, record, work_s=0.05, fields=fields) for number in range(4)]
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
            await bad_clients(gateway, record, "reads", BAD_CLIENTS, TROUBLE_S)
        else:
            await asyncio.sleep(TROUBLE_S)
        await asyncio.sleep(AFTER_S)  # whatever can be answered in time is answered by then
        assert gateway.process is not None
        if gateway.process.returncode is not None:
            return [f"the gateway ended with {gateway.process.returncode}"]
        record.note("case", f"{len(requests)} usual requests; own delay up to {delay.longest:.3f} s")
        if delay.longest > MAX_OWN_DELAY_S:
            raise CannotRunError(f"the stand-ins themselves were held up for {delay.longest:.3f} s")
        return judge(requests, delay.longest)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await gateway.end()
        for server in servers:
            server.close()
        discovery.close()


if __name__ == "__main__":
    run(Path(__file__).parent, play)
