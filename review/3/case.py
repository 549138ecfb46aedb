"""A new configuration moves discovery to an address that answers each call 3.5 s late; the gateway never hears it."""

from __future__ import annotations

import asyncio
import signal
import time
from pathlib import Path

from review.standins import client, settings
from review.standins.crowd import usual_client
from review.standins.database import Group, Server, refresh_reports
from review.standins.discovery import Discovery
from review.standins.gateway import Gateway, free_port
from review.standins.record import Record
from review.standins.runner import CannotRunError, run

ANSWER_DELAY_S = 3.5
USUAL_CLIENTS = 20
QUIET_S, DRAIN_AFTER_S, WATCHED_S = 3.0, 0.5, 25.0
OLD_CLOSES_S = 1.5  # after the move, the old address closes what is open
TOLD_AFTER_S = 4.0  # after SIGHUP, whatever discovery has to tell counts as told
GRACE_S = 0.5 + 0.05 + 0.15  # drain_grace, the slack on sockets, and what the gateway may be held up


async def play(record: Record, folder: Path, trouble: bool) -> list[str]:
    """Plays the case and returns the breaks."""
    group = Group("s0")
    fields = ("x0", "x1", "util")
    servers = [Server(f"s{number}", group, record, work_s=0.03, fields=fields) for number in range(4)]
    for server in servers:
        await server.listen(free_port())
    entries = [one.entry("master" if one.is_primary else "replica") for one in servers]
    old, new = Discovery(record, entries), Discovery(record, entries)
    await old.listen(free_port())
    await new.listen(free_port())
    new.answer_delay_s = ANSWER_DELAY_S if trouble else 0.0
    gateway = Gateway(
        "n1",
        folder,
        {
            "discovery": old.address,
            "limits": {"cores": 1.0, "memory_mb": 128, "sockets": 512},
            "known": old.document(),
            "settings": settings.quito(fleet=1),
        },
    )
    requests: list[client.Request] = []
    tasks: list[asyncio.Task[None]] = []
    try:
        await gateway.start()
        tasks.append(asyncio.create_task(refresh_reports(servers)))
        if not await client.ready(gateway.port, record):
            raise CannotRunError("the gateway was not ready in 30 s")
        tasks += [
            asyncio.create_task(usual_client(number, gateway, record, requests)) for number in range(USUAL_CLIENTS)
        ]
        await asyncio.sleep(QUIET_S)
        gateway.configure(discovery=new.address)
        old.stop_listening()
        gateway.signal(signal.SIGHUP)
        moved_at = time.monotonic()
        record.note("platform", f"SIGHUP: discovery is at {new.address}")
        await asyncio.sleep(DRAIN_AFTER_S)
        drained = servers[-1]
        drained.is_draining = True
        new.change({**drained.entry("replica"), "lifecycle": "Terminating"})
        await asyncio.sleep(OLD_CLOSES_S - DRAIN_AFTER_S)
        old.close()
        await asyncio.sleep(moved_at + WATCHED_S - time.monotonic())
        assert gateway.process is not None
        if gateway.process.returncode is not None:
            return [f"the gateway ended with {gateway.process.returncode}"]
        told_at = moved_at + TOLD_AFTER_S
        late = [attempt for attempt in drained.attempts if attempt.first_octet_at > told_at + GRACE_S]
        record.note("judge", f"{len(requests)} requests, {len(drained.attempts)} attempts at {drained.name}")
        return [
            f"drain: {one.id} was sent to {one.server} {one.first_octet_at - told_at:.3f} s after its drain was told"
            for one in late
        ]
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await gateway.end()
        for server in servers:
            server.close()
        old.close()
        new.close()


if __name__ == "__main__":
    run(Path(__file__).parent, play)
