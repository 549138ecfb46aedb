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


def _settings_file(file: Path, started: Started | None) -> Path:
    """The settings file that counts now: a rollout may have changed it in service. Raises ``ValueError``."""
    if started is None:
        return file
    from yardbank.cluster.rollout import active_version

    return active_version.read(started.given.parent).now.file(started.given)


class SupervisorWatch:
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


class Worker:
    """One gateway in this process, from its start to its end. Owns the proxy and the exit code.

    ``log`` is bound to the worker's number where there are several. ``started`` says what is in force, and by whom this
    process was started.
    """

    def __init__(self, reactor: Any, file: Path, started: Started | None, log: Any) -> None:
        self._reactor = reactor
        self._file = file
        self._started = started
        self._log = log
        self._proxy: Proxy | None = None
        self.exit_code = 0

    @property
    def is_supervised(self) -> bool:
        """Whether a supervisor would start this process again."""
        return self._started is not None and self._started.supervised

    def start(self, config: Config, clocks: Clocks, workers: int, worker: int, record: Path | None) -> None:
        """Begin to serve."""
        started = self._started
        if started is not None and started.supervised:
            started = replace(started, leave=self.leave)
        self._proxy = Proxy(
            config,
            self._reactor,
            workers=workers,
            log=self._log,
            seconds=clocks.seconds,
            wall=clocks.wall,
            record=Recorder(record, "gateway") if record else None,
            folder=self._file.parent,
            worker=worker,
            started=started,
        )
        self._proxy.start()

    def handle_signals(self) -> None:
        """SIGTERM and SIGINT drain, SIGHUP reads the settings again, the end of the supervisor drains as well."""
        if self.is_supervised:
            self._reactor.addReader(SupervisorWatch(0, self.supervisor_gone))
        signal.signal(signal.SIGTERM, self._on_stop_signal)
        signal.signal(signal.SIGINT, self._on_stop_signal)
        signal.signal(signal.SIGHUP, self._on_reload_signal)

    def _on_stop_signal(self, number: int, frame: Any) -> None:
        self._reactor.callFromThread(self.stop)

    def _on_reload_signal(self, number: int, frame: Any) -> None:
        self._reactor.callFromThread(self.reload)

    def stop(self) -> None:
        """Drain, then end the reactor."""
        assert self._proxy is not None
        self._proxy.stop().addCallback(lambda _: self._reactor.callLater(0, self._reactor.stop))

    def leave(self) -> None:
        """A rollout asks for it: the supervisor starts this gateway again, by what is in force then."""
        from yardbank.cluster.rollout.active_version import EXIT_FOR_RESTART

        self.exit_code = EXIT_FOR_RESTART
        self.stop()

    def supervisor_gone(self) -> None:
        """The supervisor has ended."""
        note = "nobody would start this one anew: it answers what it has taken, and ends"
        self._log.error("supervisor_gone", note=note)
        self.stop()

    def reload(self) -> None:
        """Read the settings again; what cannot be used changes nothing."""
        assert self._proxy is not None
        try:
            self._proxy.reload(load(_settings_file(self._file, self._started)))
        except ConfigError as error:
            for fault in error.faults:
                self._log.error("reload_rejected", fault=fault)
        except ValueError as error:
            self._log.error("reload_rejected", fault=f"{self._file}: {error}")
        else:
            self._log.info("reloaded", file=str(self._file))


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
    served = Worker(reactor, file, started, log)
    served.start(config, clocks, workers, worker or 0, record)
    served.handle_signals()
    reactor.run(installSignalHandlers=False)
    return served.exit_code
