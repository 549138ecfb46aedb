"""The program on the platform: puts the parts together, minds signals, decides nothing."""

from __future__ import annotations

import gc
import logging
import os
import resource
import signal
import sys
import time
from collections.abc import Callable, Mapping
from typing import Any

import structlog

from yardbank.gateway.api import MS, SECOND, Limits
from yardbank.gateway.gateway import Gateway
from yardbank.gateway.positions import ClockPositions
from yardbank.platform import listening
from yardbank.platform.admission import Admission, AdmissionLimits, Descriptors, State
from yardbank.platform.backend import PlatformBackend
from yardbank.platform.config import PlatformConfig, PlatformError, load_config, needs_restart, specs, usable_sockets
from yardbank.platform.front import ClientFactory
from yardbank.platform.listing import Listing
from yardbank.platform.memory_budget import MemoryBudget
from yardbank.platform.signals import Signals
from yardbank.platform.statement import out_of_reach
from yardbank.platform.stop_schedule import LONGEST_GRACE, StopSchedule
from yardbank.platform.watch import Watcher

LAST_TURNS = 256  # of the reactor, for those who wait to be accepted when the port is to be closed
VIEW_EVERY = 5 * SECOND


def wall_seconds() -> Any:
    """The clock that every machine of the platform reads, in seconds since 1970, which never steps."""
    offset = time.time() - time.monotonic()
    return lambda: time.monotonic() + offset


class Service:
    """One gateway on the platform."""

    def __init__(
        self,
        config: PlatformConfig,
        reactor: Any,
        log: Any,
        listen: Callable[..., Any] = listening.listen,
        allowed_descriptors: int | None = None,
    ) -> None:
        """``allowed_descriptors``: by the system (None: any number). Raises ``PlatformError`` if they are too few."""
        self._listen = listen
        self.config = config
        self._reactor = reactor
        self.log = log
        sockets = usable_sockets(config.sockets, allowed_descriptors)
        if sockets < config.sockets:
            log.warning("descriptors_bound", configured=config.sockets, allowed=sockets)
        descriptors = Descriptors.of(sockets)
        settings = config.settings
        longest_deadline = max(each.deadline for each in settings.classes)
        self._stop_schedule = StopSchedule.of(longest_deadline)
        limits = Limits(
            max_open=descriptors.for_clients(0),
            connections=descriptors.both,
            multiplex=1,
            connect_timeout=settings.connect_timeout,
            probe_timeout=settings.connect_timeout,
            idle_close=config.idle_close * 3 // 4,
            stop_grace=min(LONGEST_GRACE, longest_deadline),
        )
        seconds = wall_seconds()
        backend = PlatformBackend(reactor, lambda: self.gateway.now(), settings.report_fields, log)
        for name in out_of_reach(settings.classes):
            log.warning("class_out_of_reach", request_class=name, note="no statement's comment can hold its name")
        self.gateway = Gateway(
            settings,
            backend,
            reactor=reactor,
            limits=limits,
            seconds=seconds,
            log=log,
            positions=ClockPositions(),
            connections_bound=lambda: descriptors.for_servers(self.factory.held),
            before_send=lambda: self.watcher.catch_up(),
        )
        self.admission = Admission(AdmissionLimits())
        self.factory = ClientFactory(
            self.gateway,
            self.admission,
            descriptors,
            {each.name: each for each in settings.classes},
            log,
            MemoryBudget.of(config.memory_mb),
        )
        self.watcher = Watcher(config.discovery, config.known.generation, self._listed, reactor, log)
        self._port: Any = None
        self._last: Any = None
        self._ended = self._watch_over = False
        self._stop_asked_at = 0.0  # s, on the reactor's clock

    def start(self) -> None:
        """Take the list that is known, listen, watch discovery."""
        self.gateway.apply_list(specs(self.config.known), self.config.known.generation)
        listen = self.config.listen
        self._port = self._listen(self._reactor, listen.host, listen.port, self.factory)
        self.watcher.start()
        self._view()
        classes = {
            each.name: (each.latency_objective // MS, each.deadline // MS) for each in self.config.settings.classes
        }
        self.log.info(
            "listening", address=listen.host, port=listen.port, gateway=self.config.name, aim_deadline_ms=classes
        )

    def _listed(self, listing: Listing) -> None:
        if listing.reset:
            self.gateway.apply_list(specs(listing), listing.generation)
        else:
            self.gateway.apply_changes(listing.entries, listing.generation)

    def _view(self) -> None:
        """What the gateway makes of things, for comparison with what crosses the sockets."""
        clients = {state.name.lower(): count for state in State if (count := self.admission.count(state))}
        self.log.info("view", **self.gateway.view(), clients=clients, **self.factory.counts)
        self.gateway.call_at(self.gateway.now() + VIEW_EVERY, self._view)

    def signalled(self, number: int, environment: Mapping[str, str]) -> None:
        """SIGHUP brings a new configuration, SIGTERM and SIGINT the end; again is once."""
        if number == signal.SIGHUP:
            self.reload(environment)
        else:
            self.stop()

    def reload(self, environment: Mapping[str, str]) -> None:
        """Take a new configuration: discovery's address changes in service, the rest with a restart.

        While the gateway stops, discovery is followed as long as it is watched; then nothing is begun any more.
        """
        if self._watch_over:
            self.log.info("reload_ignored", note="the gateway is ending")
            return
        try:
            config = load_config(environment)
        except PlatformError as problem:
            self.log.error("reload_rejected", problem=str(problem))
            return
        for name in needs_restart(self.config, config):
            self.log.warning("reload_partial", field=name, note="cannot change in service; restart to apply it")
        self.watcher.move(config.discovery)
        self.log.info("reloaded", discovery=f"{config.discovery.host}:{config.discovery.port}")

    def stop(self) -> None:
        """Serve on for a moment, as clients still come; then take nothing new and answer what was taken."""
        if not self.factory.stopping and self._port is not None:
            self.log.info("stop_asked", owed=self.gateway.unanswered)
            port, self._port = self._port, None
            self._stop_asked_at = self._reactor.seconds()
            self._reactor.callLater(self._stop_schedule.drain_at / SECOND, self._look_first, self._drain, port)

    def _since_stop_asked(self) -> int:
        return int((self._reactor.seconds() - self._stop_asked_at) * SECOND)

    def _look_first(self, then: Callable[..., None], *arguments: Any) -> None:
        """Sockets are looked at between two rounds of timers: what came while the process was busy is taken first."""
        self._reactor.callLater(0, then, *arguments)

    def _drain(self, port: Any, turns: int = LAST_TURNS) -> None:
        self.factory.close_idle()
        if port.accept_waiting() and turns > 0:  # there was no room for some: there is when others have gone
            self._look_first(self._drain, port, turns - 1)
            return
        port.stopListening()
        grace = self._stop_schedule.grace(self._since_stop_asked())
        self.gateway.stop(grace).addCallback(lambda _: self._look_first(self._stopped))

    def _stopped(self) -> None:
        self._watch_over = True
        self.watcher.stop()
        last_words = self._stop_schedule.last_words(self._since_stop_asked())
        self._last = self._reactor.callLater(last_words / SECOND, self._end)
        self.factory.close_all(self._end)

    def _end(self) -> None:
        """Every last word is written, or has had its time."""
        if self._last is not None and self._last.active():
            self._last.cancel()
        if not self._ended:
            self._ended = True
            self.factory.cut_all()
            self.log.info("ended", **self.factory.counts)
            self._reactor.callLater(0, self._reactor.stop)


def _log() -> Any:
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(default=str),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        cache_logger_on_first_use=True,
    )
    return structlog.get_logger()


def _allowed_descriptors() -> int | None:
    allowed, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return None if allowed == resource.RLIM_INFINITY else allowed


def main(signals: Signals) -> int:
    """Serve until told to stop; the exit code. Signals that came meanwhile are carried out once it serves."""
    log = _log()
    try:
        config = load_config(os.environ)
    except PlatformError as problem:
        print(f"yardbank: {problem}", file=sys.stderr)
        return 2
    from twisted.internet import reactor as installed
    from twisted.internet.error import CannotListenError

    reactor: Any = installed
    reactor.seconds = time.monotonic  # timers must not move when the wall clock is set
    try:
        service = Service(config, reactor, log, allowed_descriptors=_allowed_descriptors())
        service.start()
    except PlatformError as problem:
        print(f"yardbank: {problem}", file=sys.stderr)
        return 2
    except CannotListenError as problem:
        print(f"yardbank: NODE_LISTEN: {problem}", file=sys.stderr)
        return 2
    signals.hand_over(lambda number: reactor.callFromThread(service.signalled, number, os.environ))
    gc.collect()
    gc.freeze()
    gc.set_threshold(20_000, 20, 20)  # requests are short-lived: a sweep at each 700 objects costs a tenth
    reactor.run(installSignalHandlers=False)
    signals.ignore()
    return 0
