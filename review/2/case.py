"""Many clients that send hundreds of commands at once drive the gateway over its memory limit, and it is killed."""

from __future__ import annotations

import asyncio
import re
import signal
from pathlib import Path

from review.standins import client, settings
from review.standins.crowd import bad_clients, usual_client
from review.standins.database import Group, Server, refresh_reports
from review.standins.discovery import Discovery
from review.standins.gateway import Gateway, free_port
from review.standins.record import Record
from review.standins.runner import CannotRunError, run

MEMORY_MB, SOCKETS = 64, 1024
BAD_CLIENTS = 340  # a third of the descriptors: what clients may hold for requests
USUAL_CLIENTS = 10
QUIET_S, TROUBLE_S = 3.0, 12.0
SAMPLE_S = 0.05


def memory_kb(gateway: Gateway) -> int:
    """Memory of the gateway alone, without what it shares with others: kB of anonymous and shared-memory pages."""
    assert gateway.process is not None
    try:
        status = Path(f"/proc/{gateway.process.pid}/status").read_text()
    except OSError:
        return 0
    return sum(int(found) for found in re.findall(r"Rss(?:Anon|Shmem):\s+(\d+) kB", status))


async def platform(gateway: Gateway, record: Record, breaks: list[str]) -> None:
    """Kills the gateway once it is over its memory limit, as the platform does, and notes its end."""
    most, noted = 0, 0.0
    assert gateway.process is not None
    while gateway.process.returncode is None:
        used = memory_kb(gateway)
        most = max(most, used)
        if record.now() - noted > 1.0:
            noted = record.now()
            record.note("platform", f"the gateway uses {used} kB, {most} kB at most so far")
        if used > MEMORY_MB * 1024:
            gateway.signal(signal.SIGKILL)
            breaks.append(f"the gateway used {used} kB of {MEMORY_MB * 1024} kB and was killed: a crash")
            record.note("platform", breaks[-1])
            return
        await asyncio.sleep(SAMPLE_S)
    breaks.append(f"the gateway ended by itself with {gateway.process.returncode}")


async def play(record: Record, folder: Path, trouble: bool) -> list[str]:
    """Plays the case and returns the breaks."""
    group = Group("s0")
    fields = ("x0", "x1", "util")
    servers = [Server(f"s{number}", group, record, work_s=0.05, fields=fields) for number in range(4)]
    for server in servers:
        await server.listen(free_port())
    discovery = Discovery(record, [one.entry("master" if one.is_primary else "replica") for one in servers])
    await discovery.listen(free_port())
    limits = {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS}
    gateway = Gateway(
        "n1",
        folder,
        {
            "discovery": discovery.address,
            "limits": limits,
            "known": discovery.document(),
            "settings": settings.quito(fleet=1),
        },
    )
    breaks: list[str] = []
    requests: list[client.Request] = []
    tasks: list[asyncio.Task[None]] = []
    try:
        await gateway.start()
        tasks.append(asyncio.create_task(refresh_reports(servers)))
        if not await client.ready(gateway.port, record):
            raise CannotRunError("the gateway was not ready in 30 s")
        watching = asyncio.create_task(platform(gateway, record, breaks))
        tasks.append(watching)
        tasks += [
            asyncio.create_task(usual_client(number, gateway, record, requests)) for number in range(USUAL_CLIENTS)
        ]
        await asyncio.sleep(QUIET_S)
        bad = bad_clients(gateway, record, "writes", BAD_CLIENTS, TROUBLE_S) if trouble else asyncio.sleep(TROUBLE_S)
        tasks.append(asyncio.create_task(bad))
        await asyncio.wait({watching, tasks[-1]}, return_when=asyncio.FIRST_COMPLETED, timeout=TROUBLE_S + 10)
        await asyncio.sleep(0.2)
        lost = [request.id for request in requests if request.ended.startswith("ended by the gateway")]
        if breaks:
            record.note("judge", f"usual requests that the gateway held when it was killed: {lost}")
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await gateway.end()
        for server in servers:
            server.close()
        discovery.close()
    return breaks


def test_many_commands_at_once_do_not_use_up_the_memory() -> None:
    """Many commands at once do not use up the gateway's memory."""
    run(Path(__file__).parent, play)


if __name__ == "__main__":
    test_many_commands_at_once_do_not_use_up_the_memory()
