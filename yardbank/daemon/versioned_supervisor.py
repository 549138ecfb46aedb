"""One worker and its versions: starts it by what is in force, anew when it asks for it, back when it dies young.

The worker's environment says what is in force (``rollout.active_version.ACTIVE_VERSION_VARIABLE``). Any program that
has ``serve FILE`` can be the worker; one that knows nothing of rollouts runs, and is kept running.
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
    """What the file says; where it cannot be used, what the gateway is started with."""
    try:
        return active_version_file.read(folder)
    except ValueError as problem:
        log.error("active_version_unreadable", fault=str(problem))
        return ActiveVersion()


class VersionedSupervisor:
    """Keeps one worker running until told to stop."""

    def __init__(self, reactor: Any, file: Path, options: list[str], young: int, log: Any) -> None:
        self._reactor, self._file, self._options, self._log = reactor, file, options, log
        self._versions = Versions(read_active_version(file.parent, log), young / 1e9)
        self._process: Any = None
        self._stopping = False
        self.exit_code = 0

    def start(self) -> None:
        """Start the worker."""
        if self._stopping:
            return
        now = self._versions.active_version.now
        command = [*now.command([sys.executable, "-m", "yardbank"]), "serve", str(now.file(self._file)), *self._options]
        told = {
            active_version_file.ACTIVE_VERSION_VARIABLE: active_version_file.encoded(self._versions.active_version),
            active_version_file.SETTINGS_FILE_VARIABLE: str(self._file),
        }
        environment = {**os.environ, **told}
        self._versions.started(time.monotonic())
        self._process = self._reactor.spawnProcess(
            _Worker(self),
            command[0],
            command,
            env=environment,
            childFDs={0: "w", 1: 1, 2: 2},  # ends as this one does
        )
        self._log.info("worker_started", worker=0, pid=self._process.pid, version=now.name, rollout=now.rollout)

    def ended(self, code: int | None, ended_by: int | None) -> None:
        """The worker is gone."""
        self._process = None
        if self._stopping:
            self.exit_code = code or 0
            self._reactor.stop()
            return
        how = f"ended by signal {ended_by}" if ended_by is not None else f"ended with code {code}"
        file = read_active_version(self._file.parent, self._log)
        before = self._versions.active_version.now
        found = self._versions.ended(time.monotonic(), time.time(), how, code, file)
        if found.write:
            try:
                active_version_file.write(self._file.parent, found.active_version)
            except OSError as problem:  # the worker is told by its environment all the same
                self._log.error(
                    "rollout_not_written", path=str(self._file.parent / active_version_file.FILE), error=str(problem)
                )
        if found.why:
            self._log.error(
                "rollout",
                rollout=found.active_version.fell_from,
                what="left",
                stage=0,
                version=before.name,
                why=found.why,
            )
        elif code == active_version_file.EXIT_FOR_RESTART:
            self._log.info("worker_restarted", worker=0, version=found.active_version.now.name)
        else:
            self._log.error("worker_died", worker=0, code=code, signal=ended_by, again_in_s=found.wait)
        self._reactor.callLater(found.wait, self.start)

    def signal(self, number: int) -> None:
        """Pass a signal on; a stop is remembered."""
        if number in (signal.SIGTERM, signal.SIGINT):
            self._stopping = True
            if self._process is None:
                self._reactor.stop()
        if self._process is not None:
            self._process.signalProcess(signal.Signals(number).name.removeprefix("SIG"))


def run_versioned_supervisor(file: Path, young: int, options: list[str], log: Any) -> int:
    """Keep one worker running until told to stop; its exit code. ``young`` (ns): dying so soon it goes back."""
    from twisted.internet import reactor as installed

    reactor: Any = installed
    supervisor = VersionedSupervisor(reactor, file, options, young, log)

    def begin() -> None:  # after the reactor's own handlers: it needs the one for SIGCHLD, these are ours
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            signal.signal(number, lambda got, frame: reactor.callFromThread(supervisor.signal, got))
        supervisor.start()

    reactor.callLater(0, begin)
    reactor.run()
    return supervisor.exit_code
