"""Several worker processes on one port: starts them, restarts dead ones, forwards signals."""

from __future__ import annotations

import signal
import sys
import time
from pathlib import Path
from typing import Any

from twisted.internet.protocol import ProcessProtocol

from yardbank.config import Config
from yardbank.daemon.restarts import RestartBackoff


class _Worker(ProcessProtocol):
    def __init__(self, supervisor: Supervisor, number: int) -> None:
        self._supervisor, self._number = supervisor, number

    def processEnded(self, reason: Any) -> None:  # noqa: N802
        self._supervisor.ended(self._number, reason.value.exitCode, reason.value.signal)


class Supervisor:
    """Keeps a fixed number of workers running until a stop signal."""

    def __init__(self, reactor: Any, command: list[str], workers: int, log: Any) -> None:
        self._reactor, self._command, self._log = reactor, command, log
        self._running: dict[int, Any] = {}
        self._restarts = {number: RestartBackoff() for number in range(workers)}
        self._stopping = False
        self._worst_exit_code = 0

    def start(self) -> None:
        """Starts all workers."""
        for number in self._restarts:
            self._spawn(number)

    def _spawn(self, number: int) -> None:
        if self._stopping:
            return
        command = [*self._command, "--worker", str(number)]
        self._restarts[number].started(time.monotonic())
        self._running[number] = self._reactor.spawnProcess(
            _Worker(self, number), command[0], command, env=None, childFDs={0: 0, 1: 1, 2: 2}
        )
        self._log.info("worker_started", worker=number, pid=self._running[number].pid)

    def ended(self, number: int, code: int | None, ended_by: int | None) -> None:
        """A worker process has ended."""
        self._running.pop(number, None)
        if self._stopping:
            self._worst_exit_code = max(self._worst_exit_code, code or 0)
            if not self._running:
                self._reactor.stop()
            return
        wait = self._restarts[number].died(time.monotonic())
        self._log.error("worker_died", worker=number, code=code, signal=ended_by, again_in_s=wait)
        self._reactor.callLater(wait, self._spawn, number)

    def signal(self, number: int) -> None:
        """Forwards a signal to all workers; after SIGTERM or SIGINT none is restarted."""
        if number in (signal.SIGTERM, signal.SIGINT):
            self._stopping = True
            if not self._running:
                self._reactor.stop()
        for process in list(self._running.values()):
            process.signalProcess(signal.Signals(number).name.removeprefix("SIG"))

    @property
    def exit_code(self) -> int:
        """The highest exit code of the workers during the stop."""
        return self._worst_exit_code


def run_supervisor(file: Path, config: Config, workers: int, record: Path | None, log: Any) -> int:
    """Runs workers until a stop signal; returns the exit code."""
    from twisted.internet import reactor as installed

    reactor: Any = installed
    command = [sys.executable, "-m", "yardbank", "serve", str(file), "--workers", str(workers)]
    if record is not None:
        command += ["--record", str(record)]
    supervisor = Supervisor(reactor, command, workers, log)

    # Called once the reactor has installed its handlers: it needs the one for SIGCHLD, and these replace its others
    def install_handlers_and_start() -> None:
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            signal.signal(number, lambda got, frame: reactor.callFromThread(supervisor.signal, got))
        supervisor.start()

    reactor.callLater(0, install_handlers_and_start)
    reactor.run()
    return supervisor.exit_code
