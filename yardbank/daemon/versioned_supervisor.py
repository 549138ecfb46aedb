"""Supervisor of one worker under rollouts: runs the active version, restarts it, rolls back a worker that dies early.

The worker learns the active version from its environment (``rollout.active_version.ACTIVE_VERSION_VARIABLE``). Any
program with a ``serve FILE`` command can be the worker; one that does not support rollouts is kept running as well.
"""

from __future__ import annotations

import os
import signal
import sys
import time
from pathlib import Path
from typing import Any

from twisted.internet.protocol import ProcessProtocol

from yardbank.cluster.rollout import active_version as active_version_file
from yardbank.cluster.rollout.active_version import ActiveVersion
from yardbank.daemon.versions import Versions


class _Worker(ProcessProtocol):
    def __init__(self, supervisor: VersionedSupervisor) -> None:
        self._supervisor = supervisor

    def processEnded(self, reason: Any) -> None:  # noqa: N802
        self._supervisor.ended(reason.value.exitCode, reason.value.signal)


def read_active_version(folder: Path, log: Any) -> ActiveVersion:
    """Reads the active version; if the file cannot be used, the version that the gateway is started with."""
    try:
        return active_version_file.read(folder)
    except ValueError as error:
        log.error("active_version_unreadable", fault=str(error))
        return ActiveVersion()


class VersionedSupervisor:
    """Keeps one worker running until a stop signal."""

    def __init__(self, reactor: Any, file: Path, options: list[str], probation_ns: int, log: Any) -> None:
        self._reactor, self._file, self._options, self._log = reactor, file, options, log
        self._versions = Versions(read_active_version(file.parent, log), probation_ns / 1e9)
        self._process: Any = None
        self._stopping = False
        self.exit_code = 0

    def start(self) -> None:
        """Starts the worker."""
        if self._stopping:
            return
        now = self._versions.active_version.now
        command = [*now.command([sys.executable, "-m", "yardbank"]), "serve", str(now.file(self._file)), *self._options]
        version_variables = {
            active_version_file.ACTIVE_VERSION_VARIABLE: active_version_file.encoded(self._versions.active_version),
            active_version_file.SETTINGS_FILE_VARIABLE: str(self._file),
        }
        environment = {**os.environ, **version_variables}
        self._versions.started(time.monotonic())
        self._process = self._reactor.spawnProcess(
            _Worker(self),
            command[0],
            command,
            env=environment,
            childFDs={0: "w", 1: 1, 2: 2},  # stdin is a pipe: the worker sees its end when this process ends
        )
        self._log.info("worker_started", worker=0, pid=self._process.pid, version=now.name, rollout=now.rollout)

    def ended(self, code: int | None, ended_by: int | None) -> None:
        """The worker process has ended."""
        self._process = None
        if self._stopping:
            self.exit_code = code or 0
            self._reactor.stop()
            return
        how = f"ended by signal {ended_by}" if ended_by is not None else f"ended with code {code}"
        file = read_active_version(self._file.parent, self._log)
        previous = self._versions.active_version.now
        next_start = self._versions.ended(time.monotonic(), time.time(), how, code, file)
        if next_start.write:
            try:
                active_version_file.write(self._file.parent, next_start.active_version)
            except OSError as error:  # the worker still gets the version through its environment
                self._log.error(
                    "rollout_not_written", path=str(self._file.parent / active_version_file.FILE), error=str(error)
                )
        if next_start.why:
            self._log.error(
                "rollout",
                rollout=next_start.active_version.fell_from,
                what="left",
                stage=0,
                version=previous.name,
                why=next_start.why,
            )
        elif code == active_version_file.EXIT_FOR_RESTART:
            self._log.info("worker_restarted", worker=0, version=next_start.active_version.now.name)
        else:
            self._log.error("worker_died", worker=0, code=code, signal=ended_by, again_in_s=next_start.wait)
        self._reactor.callLater(next_start.wait, self.start)

    def signal(self, number: int) -> None:
        """Forwards a signal; after SIGTERM or SIGINT the worker is not restarted."""
        if number in (signal.SIGTERM, signal.SIGINT):
            self._stopping = True
            if self._process is None:
                self._reactor.stop()
        if self._process is not None:
            self._process.signalProcess(signal.Signals(number).name.removeprefix("SIG"))


def run_versioned_supervisor(file: Path, probation_ns: int, options: list[str], log: Any) -> int:
    """Keeps one worker running until a stop signal; returns its exit code.

    ``probation_ns``: a worker that dies within this time after a change is rolled back.
    """
    from twisted.internet import reactor as installed

    reactor: Any = installed
    supervisor = VersionedSupervisor(reactor, file, options, probation_ns, log)

    # Called once the reactor has installed its handlers: it needs the one for SIGCHLD, and these replace its others
    def install_handlers_and_start() -> None:
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            signal.signal(number, lambda got, frame: reactor.callFromThread(supervisor.signal, got))
        supervisor.start()

    reactor.callLater(0, install_handlers_and_start)
    reactor.run()
    return supervisor.exit_code
