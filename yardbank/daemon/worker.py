"""One process with one gateway. SIGTERM drains, SIGHUP reloads the settings."""

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
    """Writes recorded facts as JSON lines, each with the machine's monotonic time in seconds."""

    def __init__(self, path: Path, source: str) -> None:
        self._file: IO[str] = path.open("a", encoding="utf-8")
        self._source = source

    def __call__(self, fact: dict[str, Any]) -> None:
        """Writes and flushes one line, so that the record of a killed process stays readable."""
        line = json.dumps({"at": time.monotonic(), "source": self._source, **fact}, separators=(",", ":"))
        self._file.write(line + "\n")
        self._file.flush()


def _settings_file(file: Path, started: Started | None) -> Path:
    """Path of the current settings: a rollout may have changed it without a restart. Raises ``ValueError``."""
    if started is None:
        return file
    from yardbank.cluster.rollout import active_version

    return active_version.read(started.given.parent).now.file(started.given)


class SupervisorWatch:
    """Detects the end of the supervisor, however it ended: it holds the write end of this process's stdin."""

    def __init__(self, descriptor: int, on_end: Callable[[], None]) -> None:
        self._descriptor, self._on_end = descriptor, on_end

    def fileno(self) -> int:
        """See ``IFileDescriptor``."""
        return self._descriptor

    def logPrefix(self) -> str:  # noqa: N802
        """See ``ILoggingContext``."""
        return "supervisor"

    def doRead(self) -> Any:  # noqa: N802
        """The supervisor never writes: readability means end of file."""
        return None if os.read(self._descriptor, 4096) else ConnectionDone()

    def connectionLost(self, reason: Any) -> None:  # noqa: N802
        """The supervisor has ended."""
        self._on_end()


class Worker:
    """One gateway in this process, from its start to its end. Owns the proxy and the exit code.

    ``log`` is bound to the worker's number where there are several. ``started``: the active version, and whether a
    supervisor started this process.
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
        """Whether a supervisor would restart this process."""
        return self._started is not None and self._started.supervised

    def start(self, config: Config, clocks: Clocks, workers: int, worker: int, record: Path | None) -> None:
        """Starts to serve."""
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
        """SIGTERM, SIGINT and the end of the supervisor drain; SIGHUP reloads the settings."""
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
        """Drains, then stops the reactor."""
        assert self._proxy is not None
        self._proxy.stop().addCallback(lambda _: self._reactor.callLater(0, self._reactor.stop))

    def leave(self) -> None:
        """Exits on request of a rollout, so that the supervisor restarts the gateway with the version active then."""
        from yardbank.cluster.rollout.active_version import EXIT_FOR_RESTART

        self.exit_code = EXIT_FOR_RESTART
        self.stop()

    def supervisor_gone(self) -> None:
        """The supervisor has ended: without it nobody would restart this process."""
        note = "no supervisor to restart this worker: draining and stopping"
        self._log.error("supervisor_gone", note=note)
        self.stop()

    def reload(self) -> None:
        """Reloads the settings; invalid ones change nothing."""
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
    """Serves until a stop signal; returns the exit code.

    ``started``: the active version, and whether a supervisor started this process.
    """
    from twisted.internet import reactor as installed

    reactor: Any = installed
    # Requests are short-lived: at the default threshold of 700 objects, collection costs a tenth of the time
    gc.set_threshold(20_000, 20, 20)
    clocks = clocks or Clocks()
    clocks.set(reactor)
    if worker is not None:
        log = log.bind(worker=worker)
    gateway_worker = Worker(reactor, file, started, log)
    gateway_worker.start(config, clocks, workers, worker or 0, record)
    gateway_worker.handle_signals()
    reactor.run(installSignalHandlers=False)
    return gateway_worker.exit_code
