"""One process with one gateway. SIGTERM drains, SIGHUP reads the settings again."""

from __future__ import annotations

import gc
import json
import os
import signal
import time
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from typing import IO, TYPE_CHECKING, Any

from twisted.internet.error import ConnectionDone

from yardbank.config import Config, ConfigError, load
from yardbank.daemon.clocks import Clocks
from yardbank.proxy import Proxy

if TYPE_CHECKING:
    from yardbank.cluster.rollout.active_version import Started


class Recorder:
    """Facts as JSON lines, each with the machine's steady time in seconds."""

    def __init__(self, path: Path, source: str) -> None:
        self._file: IO[str] = path.open("a", encoding="utf-8")
        self._source = source

    def __call__(self, fact: dict[str, Any]) -> None:
        """Write one line; whole lines only, so that a killed process leaves a record that can be read."""
        line = json.dumps({"at": time.monotonic(), "source": self._source, **fact}, separators=(",", ":"))
        self._file.write(line + "\n")
        self._file.flush()


def _in_force(file: Path, started: Started | None) -> Path:
    """The settings file that counts now: a rollout may have changed it in service. Raises ``ValueError``."""
    if started is None:
        return file
    from yardbank.cluster.rollout import active_version as force

    return force.read(started.given.parent).now.file(started.given)


class KeeperGone:
    """Tells that the supervisor has ended, however it did: it holds the other end of this process's input."""

    def __init__(self, descriptor: int, tell: Callable[[], None]) -> None:
        self._descriptor, self._tell = descriptor, tell

    def fileno(self) -> int:
        """See ``IFileDescriptor``."""
        return self._descriptor

    def logPrefix(self) -> str:  # noqa: N802
        """See ``ILoggingContext``."""
        return "keeper"

    def doRead(self) -> Any:  # noqa: N802
        """Nothing is ever written to it: what can be read is its end."""
        return None if os.read(self._descriptor, 4096) else ConnectionDone()

    def connectionLost(self, reason: Any) -> None:  # noqa: N802
        """It has ended."""
        self._tell()


def run_worker(
    file: Path,
    config: Config,
    workers: int,
    worker: int | None,
    record: Path | None,
    log: Any,
    clocks: Clocks | None = None,
    started: Started | None = None,
) -> int:
    """Serve until told to stop; the exit code. ``started``: what is in force, and by whom this process was started."""
    from twisted.internet import reactor as installed

    reactor: Any = installed
    gc.set_threshold(20_000, 20, 20)  # requests are short-lived: a sweep at each 700 objects costs a tenth
    clocks = clocks or Clocks()
    clocks.set(reactor)
    if worker is not None:
        log = log.bind(worker=worker)
    code = 0

    def leave() -> None:  # a rollout: the supervisor starts this gateway anew, by what is in force then
        from yardbank.cluster.rollout.active_version import EXIT_ANEW

        nonlocal code
        code = EXIT_ANEW
        stop()

    proxy = Proxy(
        config,
        reactor,
        workers=workers,
        log=log,
        seconds=clocks.seconds,
        wall=clocks.wall,
        record=Recorder(record, "gateway") if record else None,
        folder=file.parent,
        worker=worker or 0,
        started=replace(started, leave=leave) if started is not None and started.supervised else started,
    )
    proxy.start()

    def drain(number: int, frame: Any) -> None:
        reactor.callFromThread(stop)

    def stop() -> None:
        proxy.stop().addCallback(lambda _: reactor.callLater(0, reactor.stop))

    def hang_up(number: int, frame: Any) -> None:
        reactor.callFromThread(reload)

    def reload() -> None:
        try:
            proxy.reload(load(_in_force(file, started)))
        except ConfigError as problem:
            for fault in problem.faults:
                log.error("reload_rejected", fault=fault)
        except ValueError as problem:
            log.error("reload_rejected", fault=f"{file}: {problem}")
        else:
            log.info("reloaded", file=str(file))

    def alone() -> None:
        log.error("supervisor_gone", note="nobody would start this one anew: it answers what it has taken, and ends")
        stop()

    if started is not None and started.supervised:
        reactor.addReader(KeeperGone(0, alone))
    signal.signal(signal.SIGTERM, drain)
    signal.signal(signal.SIGINT, drain)
    signal.signal(signal.SIGHUP, hang_up)
    reactor.run(installSignalHandlers=False)
    return code
