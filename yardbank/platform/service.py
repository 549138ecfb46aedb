"""One gateway on the platform: wires the parts together, starts, reloads and stops them; makes no decisions itself."""

from __future__ import annotations

import signal
import time
from collections.abc import Callable, Mapping
from typing import Any

from twisted.internet.error import CannotListenError

from yardbank.gateway.api import MS, SECOND, Limits
from yardbank.gateway.gateway import Gateway
from yardbank.gateway.positions import ClockPositions
from yardbank.platform import listening
from yardbank.platform.admission import Admission, AdmissionLimits, Descriptors, State
from yardbank.platform.backend import PlatformBackend
from yardbank.platform.config import PlatformConfig, needs_restart, specs, usable_sockets
from yardbank.platform.connection_memory import ConnectionMemory
from yardbank.platform.front import ClientFactory
from yardbank.platform.listing import Listing
from yardbank.platform.memory_budget import MemoryBudget
from yardbank.platform.readiness import Readiness
from yardbank.platform.reload import Reloader
from yardbank.platform.statement import unreachable_classes
from yardbank.platform.stop_schedule import MAX_GRACE, StopSchedule
from yardbank.platform.watch import Watcher

MAX_DRAIN_TURNS = 256  # reactor turns in which waiting connections are still accepted before the port closes
VIEW_INTERVAL = 5 * SECOND


def wall_seconds() -> Any:
    """Returns the platform's wall clock: seconds since 1970, the same on every machine, that never jumps."""
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
            max_open=descriptors.max_clients(0),
            connections=descriptors.total,
            multiplex=1,
            connect_timeout=settings.connect_timeout,
            probe_timeout=settings.connect_timeout,
            idle_close=config.idle_close * 3 // 4,
            stop_grace=min(MAX_GRACE, longest_deadline),
        )
        seconds = wall_seconds()
        self._server_memory = ConnectionMemory(
            MemoryBudget.for_servers(config.memory_mb),
            lambda: self.gateway.now(),
            lambda at, call: self.gateway.call_at(at, call),
            self._warn_server_memory_full,
        )
        backend = PlatformBackend(reactor, lambda: self.gateway.now(), settings.report_fields, log, self._server_memory)
        for name in unreachable_classes(settings.classes):
            log.warning("class_out_of_reach", request_class=name, note="no statement comment can contain its name")
        self.gateway = Gateway(
            settings,
            backend,
            reactor=reactor,
            limits=limits,
            seconds=seconds,
            wall=seconds,
            log=log,
            positions=ClockPositions(),
            connections_bound=lambda: descriptors.max_servers(self.factory.open_descriptors),
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
        self.watcher = Watcher(config.discovery, config.known.generation, self._apply_listing, reactor, log)
        self._reloader = Reloader(reactor.callLater, self._apply_config, log)
        self._readiness = Readiness(reactor.callLater, self._begin_serving)
        self._is_list_in_force = False
        self.failure = ""  # why the program could not serve
        self._port: Any = None
        self._stop_requested = False
        self._end_timer: Any = None
        self._has_ended = self._watching_ended = False
        self._stop_asked_at = 0.0  # s, on the reactor's clock

    def start(self) -> None:
        """Watches discovery; listens for clients once discovery's first list is in force, or after a limited wait."""
        self._readiness.wait()
        self.watcher.start()
        self._log_view()

    def _begin_serving(self, is_list_heard: bool) -> None:
        if not is_list_heard:
            version = self.config.known.generation
            self.log.warning("discovery_unheard", version=version, note="refusing requests until a list comes")
            self.watcher.request_full_list()
        self._open_port(self._reactor.seconds() + listening.MAX_RETRY_S)

    def _open_port(self, give_up_at: float) -> None:
        """Listens for clients; tries again until ``give_up_at`` (s) if the system has no socket left."""
        listen = self.config.listen
        if self._stop_requested:
            return
        try:
            self._port = self._listen(self._reactor, listen.host, listen.port, self.factory)
        except CannotListenError as problem:
            if listening.may_pass(problem) and self._reactor.seconds() < give_up_at:
                self.log.warning("listen_failed", problem=str(problem))
                self._reactor.callLater(listening.RETRY_DELAY_S, self._open_port, give_up_at)
                return
            self.failure = f"NODE_LISTEN: {problem}"
            self.stop()
            return
        classes = {
            each.name: (each.latency_objective // MS, each.deadline // MS) for each in self.config.settings.classes
        }
        self.log.info(
            "listening", address=listen.host, port=listen.port, gateway=self.config.name, aim_deadline_ms=classes
        )

    def _apply_listing(self, listing: Listing) -> None:
        """Applies a list of discovery; the first one changes the known list, which is not in force before."""
        if not self._is_list_in_force:
            self._is_list_in_force = True
            self.gateway.apply_list(specs(self.config.known), self.config.known.generation)
        if listing.reset:
            self.gateway.apply_list(specs(listing), listing.generation)
        else:
            self.gateway.apply_changes(listing.entries, listing.generation)
        self._readiness.list_heard()

    def _warn_server_memory_full(self) -> None:
        self.factory.warn("server_memory_bound", **self._server_memory.view())

    def _log_view(self) -> None:
        """Logs the gateway's own figures, for comparison with the traffic on its sockets."""
        clients = {state.name.lower(): count for state in State if (count := self.admission.count(state))}
        self.log.info(
            "view",
            **self.gateway.view(),
            discovery=self.watcher.view(),
            clients=clients,
            client_memory=self.factory.memory.view(),
            server_memory=self._server_memory.view(),
            repeated_ids=self.factory.recent_effects.repeated,
            clients_waiting_for_turn=self.factory.turns.waiting_count,
            **self.factory.counts,
        )
        self.gateway.call_at(self.gateway.now() + VIEW_INTERVAL, self._log_view)

    def handle_signal(self, number: int, environment: Mapping[str, str]) -> None:
        """Reloads on SIGHUP, stops on SIGTERM and SIGINT; a repeated stop has no effect."""
        if number == signal.SIGHUP:
            self.reload(environment)
        else:
            self.stop()

    def reload(self, environment: Mapping[str, str]) -> None:
        """Reads the configuration again: a new discovery address applies at once, everything else after a restart.

        While the gateway stops, a new address applies as long as discovery is watched; after that it is ignored.
        """
        if self._watching_ended:
            self.log.info("reload_ignored", note="the gateway is ending")
            return
        self._reloader.reload(environment)

    def _apply_config(self, config: PlatformConfig) -> None:
        for name in needs_restart(self.config, config):
            self.log.warning("reload_partial", field=name, note="cannot change in service; restart to apply it")
        self.watcher.move(config.discovery)
        self.log.info("reloaded", discovery=f"{config.discovery.host}:{config.discovery.port}")

    def stop(self) -> None:
        """Serves for a moment longer, as clients still connect; then takes nothing new and answers what was taken."""
        if self._stop_requested:
            return
        self._stop_requested = True
        self._readiness.cancel()
        self.log.info("stop_asked", owed=self.gateway.unanswered)
        self._stop_asked_at = self._reactor.seconds()
        if self._port is None:  # it has never listened
            self._stop_gateway()
        else:
            self._reactor.callLater(
                self._stop_schedule.drain_at / SECOND, self._after_socket_reads, self._drain, self._port
            )

    def _since_stop_asked(self) -> int:
        return int((self._reactor.seconds() - self._stop_asked_at) * SECOND)

    def _after_socket_reads(self, then: Callable[..., None], *arguments: Any) -> None:
        """Calls ``then`` after the reactor has read its sockets, so that data from a stall is taken first."""
        self._reactor.callLater(0, then, *arguments)

    def _drain(self, port: Any, turns_left: int = MAX_DRAIN_TURNS) -> None:
        self.factory.close_idle()
        if port.accept_waiting() and turns_left > 0:  # there was no capacity for some; there is once others have closed
            self._after_socket_reads(self._drain, port, turns_left - 1)
            return
        port.stopListening()
        self._stop_gateway()

    def _stop_gateway(self) -> None:
        grace = self._stop_schedule.grace(self._since_stop_asked())
        self.gateway.stop(grace).addCallback(lambda _: self._after_socket_reads(self._close_clients))

    def _close_clients(self) -> None:
        self._watching_ended = True
        self._reloader.cancel()
        self.watcher.stop()
        close_time = self._stop_schedule.close_time(self._since_stop_asked())
        self._end_timer = self._reactor.callLater(close_time / SECOND, self._end)
        self.factory.close_all(self._end)

    def _end(self) -> None:
        """Ends the program once all final messages are written or their time is over."""
        if self._end_timer is not None and self._end_timer.active():
            self._end_timer.cancel()
        if not self._has_ended:
            self._has_ended = True
            self.factory.abort_all()
            self.log.info("ended", **self.factory.counts)
            self._reactor.callLater(0, self._reactor.stop)
