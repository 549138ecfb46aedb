"""Runs one seed: the program as a process, its simulated peers, signals, and the kill."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import re
import signal
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

from yardbank.testing.ports import free_port
from yardbank.testing.soak.clients import Clients
from yardbank.testing.soak.discovery import Discovery
from yardbank.testing.soak.frames import Play, Process
from yardbank.testing.soak.plan import (
    ARRIVALS_AFTER,
    DiscoveryStep,
    FailoverStep,
    Plan,
    ServerFault,
    ServerStep,
    SignalStep,
)
from yardbank.testing.soak.program_settings import settings
from yardbank.testing.soak.replication import ReplicationGroup
from yardbank.testing.soak.servers import Server

CLOCK_CHECK_S = 0.01  # seconds between checks for delays of the recorder itself
MIN_GAP_S = 0.03  # seconds beyond the interval from which a delay is recorded
SAMPLE_INTERVAL_S = 0.2  # seconds between samples of the process
REPORT_INTERVAL_S = 0.15  # seconds between a server's reports on itself
START_LIST_DELAY_S = 0.3  # seconds until the list tells a server's start


class PlanRunner:
    """Runs one plan."""

    def __init__(self, plan: Plan, module: str = "yardbank.platform") -> None:
        """``module``: the module to run as the program."""
        self._plan = plan
        self._module = module
        self._port = free_port()
        self._begin = 0.0
        self._process: asyncio.subprocess.Process | None = None
        self._listening = asyncio.Event()
        process = Process(0.0, 0.0, memory_limit_mb=plan.memory_mb, descriptor_limit=plan.sockets)
        self.play = Play(plan.seed, process, plan.window)
        self._servers = [
            Server(f"s-{number}", number == 0, plan.service_time, self.play.attempts.append)
            for number in range(plan.servers)
        ]
        self._discovery = Discovery([], self.play.drains.append)
        self._clients = Clients(plan, self.play, self._port)

    async def run(self) -> Play:
        """Runs the plan; everything that it started has ended when this returns."""
        for server in self._servers:
            await server.listen()
        self._begin_replication()
        self._discovery.instances = [self._instance(server) for server in self._servers]
        await self._discovery.listen()
        with tempfile.TemporaryDirectory(prefix="soak-") as folder:
            try:
                await self._start(Path(folder) / "config.json")
                await self._run_tasks()
            finally:
                self._stop_all()
        await self._until_ended()
        return self.play

    def _begin_replication(self) -> None:
        replication = self._plan.replication
        if replication is None:
            return
        lags = {server.name: lag for server, lag in zip(self._servers, replication.lags, strict=True)}
        self._group = ReplicationGroup(lags, self._servers[0].name, time.monotonic())
        self.play.staleness_bound = replication.staleness_bound
        for server in self._servers:
            server.group = self._group
            server.staleness_bound = replication.staleness_bound if replication.checked else None
            server.refresh_report()

    def _instance(self, server: Server) -> dict[str, Any]:
        return {
            "instanceId": server.name,
            "hostPort": f"127.0.0.1:{server.port}",
            "zone": "a",
            "cell": 3,
            "lifecycle": "Ready",
            "part": "master" if server.is_primary else "replica",
            "weight": 1.0,
            "startedAtMs": 0,
        }

    async def _start(self, file: Path) -> None:
        document = {
            "name": "soak",
            "listen": f"127.0.0.1:{self._port}",
            "discovery": f"127.0.0.1:{self._discovery.port}",
            "seed": f"{self._plan.seed:x}",
            "limits": {"cores": 1.0, "memory_mb": self._plan.memory_mb, "sockets": self._plan.sockets},
            "settings": settings(self._plan),
            "known": self._discovery.document(),
        }
        file.write_text(json.dumps(document))
        self._discovery.first_list_delay = self._plan.first_list_delay
        for number in self._plan.drained_before_start:  # counts as known from the first moment of the process
            self._discovery.drain(self._servers[number].name)
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            self._module,
            env={**os.environ, "NODE_CONFIG": str(file)},
            stderr=asyncio.subprocess.PIPE,
        )
        self._log_read = asyncio.create_task(self._read_log())
        await asyncio.wait_for(self._listening.wait(), 60)
        self._begin = time.monotonic()

    async def _read_log(self) -> None:
        assert self._process is not None and self._process.stderr is not None
        async for line in self._process.stderr:
            self.play.process.log.append(line.decode(errors="replace").rstrip())
            if b'"listening"' in line:
                self._listening.set()

    async def _run_tasks(self) -> None:
        plan, process = self._plan, self.play.process
        process.terminated_at = self._begin + plan.terminate_at
        process.kill_at = self._begin + plan.kill_at
        tasks = [asyncio.create_task(each) for each in self._tasks()]
        await self._at(plan.terminate_at + ARRIVALS_AFTER)
        self._clients.takes_new = False
        await self._at(plan.kill_at)
        self._clients.stopped = True
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _tasks(self) -> list[Any]:
        plan = self._plan
        return [
            self._watch_clock(),
            self._watch_process(),
            self._await_exit(),
            *(self._clients.play(number, behaviour) for number, behaviour in enumerate(plan.clients)),
            *(self._clients.rest(number) for number in range(plan.crowd)),
            *(self._play_server(step) for step in plan.server_steps),
            *(self._play_discovery(step) for step in plan.discovery_steps),
            *(self._play_signal(step) for step in plan.signals),
            *self._replication_tasks(),
        ]

    def _replication_tasks(self) -> list[Any]:
        replication = self._plan.replication
        if replication is None:
            return []
        return [self._refresh_reports(), *(self._play_failover(step) for step in replication.failovers)]

    async def _refresh_reports(self) -> None:
        while True:
            for server in self._servers:
                server.refresh_report()
            await asyncio.sleep(REPORT_INTERVAL_S)

    async def _play_failover(self, step: FailoverStep) -> None:
        """Crashes the primary, starts it again, promotes another server; the list tells each of this later."""
        await self._at(step.at)
        old = next((server for server in self._servers if server.is_primary), None)
        if old is None:
            return
        self._group.crash(old.name, time.monotonic())
        old.close()
        promotion = asyncio.create_task(self._promote(step, old))
        await asyncio.sleep(step.downtime)
        await old.listen()
        self._group.restart(old.name)
        started_ms = int(time.time() * 1000)
        await asyncio.sleep(START_LIST_DELAY_S)
        self._discovery.change(old.name, startedAtMs=started_ms)
        await promotion

    async def _promote(self, step: FailoverStep, old: Server) -> None:
        await asyncio.sleep(step.election_delay)
        new = self._group.elect(time.monotonic())
        if new is None:
            return
        changes = [(step.list_delays[0], new, "master")]
        if new != old.name:
            changes.append((step.list_delays[1], old.name, "replica"))
        began = time.monotonic()
        for delay, name, part in sorted(changes):
            await asyncio.sleep(max(0.0, began + delay - time.monotonic()))
            self._discovery.change(name, part=part)

    async def _at(self, seconds: float) -> None:
        await asyncio.sleep(max(0.0, self._begin + seconds - time.monotonic()))

    async def _play_server(self, step: ServerStep) -> None:
        server = self._servers[step.server]
        await self._at(step.at)
        if step.fault is ServerFault.DRAIN:
            self._discovery.drain(server.name)
            return
        server.faults.add(step.fault)
        await self._at(step.at + step.lasts)
        server.faults.discard(step.fault)
        server.recovered.set()

    async def _play_discovery(self, step: DiscoveryStep) -> None:
        await self._at(step.at)
        self._discovery.begin(step.fault)
        await self._at(step.at + step.lasts)
        self._discovery.end(step.fault)

    async def _play_signal(self, step: SignalStep) -> None:
        await self._at(step.at)
        first_end = step.name == "SIGTERM" and not self._clients.terminated.is_set()
        if first_end:
            self.play.process.terminated_at = time.monotonic()
            self.play.process.kill_at = self.play.process.terminated_at + self._plan.kill_at - self._plan.terminate_at
        self._signal(signal.Signals[step.name])
        if first_end:
            self._clients.terminated.set()
        if step.name == "SIGSTOP":
            await self._at(step.at + step.lasts)
            self._signal(signal.SIGCONT)

    def _signal(self, number: signal.Signals) -> None:
        """Sends a signal by id: the process object's own method may reap the process and consume its exit code."""
        assert self._process is not None
        if self._process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                os.kill(self._process.pid, number)

    async def _await_exit(self) -> None:
        assert self._process is not None
        code = await self._process.wait()
        self.play.process.ended_at, self.play.process.exit_code = time.monotonic(), code

    async def _watch_clock(self) -> None:
        """Records delays of this process itself, because recorded times are late then."""
        before = time.monotonic()
        while True:
            await asyncio.sleep(CLOCK_CHECK_S)
            now = time.monotonic()
            if now - before > CLOCK_CHECK_S + MIN_GAP_S:
                self.play.clock_gaps.append((now, now - before))
            before = now

    async def _watch_process(self) -> None:
        assert self._process is not None
        folder, process = Path(f"/proc/{self._process.pid}"), self.play.process
        while True:
            try:
                found = re.search(r"VmHWM:\s+(\d+) kB", (folder / "status").read_text())
                process.most_descriptors = max(process.most_descriptors, len(list((folder / "fd").iterdir())))
            except OSError:
                return
            if found is not None:
                process.peak_memory_mb = max(process.peak_memory_mb, int(found[1]) * 1024 / 1e6)
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    def _stop_all(self) -> None:
        """Kills the program and closes the simulated peers."""
        if self._process is not None:
            self._signal(signal.SIGKILL)
        for server in self._servers:
            server.close()
        self._discovery.close()

    async def _until_ended(self) -> None:
        if self._process is not None:
            await self._process.wait()
            await self._log_read


def play_seed(plan: Plan, module: str = "yardbank.platform") -> Play:
    """Runs a plan to its end."""
    return asyncio.run(PlanRunner(plan, module).run())
