"""One gateway with its listeners and the optional parts that the settings enable.

``Proxy`` owns the gateway, the listening ports and the front end factories; nothing else may start or stop them.
Listeners are fixed at start. Invariant: before any part stops, pending requests are answered and clients are notified.
"""

from __future__ import annotations

import socket
import time
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING, Any

import structlog
from twisted.internet.defer import Deferred, DeferredList, maybeDeferred

from yardbank.config import Config, build
from yardbank.config.schema import Listener
from yardbank.gateway.gateway import Gateway, Record
from yardbank.interface import Settings
from yardbank.ldap.backend import LdapBackend
from yardbank.ldap.front import LdapFrontFactory
from yardbank.policy import Router
from yardbank.proxy import ldap_parts
from yardbank.proxy.lifecycle import Lifecycle, StartPhase
from yardbank.proxy.listening import close_sockets, listening_socket
from yardbank.proxy.reloading import check_reload
from yardbank.server_list.service import ServerListService

if TYPE_CHECKING:
    from yardbank.cluster.channels.service import Channels
    from yardbank.cluster.coordination import Coordination
    from yardbank.cluster.peers.transport import Peers
    from yardbank.cluster.rollout.active_version import Started


class Proxy:
    """A gateway and its listeners. Several instances in one process share no state."""

    def __init__(
        self,
        config: Config,
        reactor: Any,
        *,
        workers: int = 1,
        log: Any = None,
        record: Record | None = None,
        seconds: Callable[[], float] = time.monotonic,
        wall: Callable[[], float] = time.time,
        router: Callable[[Settings], Router] = Router,
        folder: Path = Path(),
        worker: int = 0,
        started: Started | None = None,
    ) -> None:
        """``started``: set by a daemon; the version that a rollout has activated, and how to request a restart."""
        self.started = started
        self.config = config
        self._reactor = reactor
        self._workers = workers
        self._worker = worker
        self._folder = folder
        self._wall = wall
        self.log = log or structlog.get_logger()
        self._ports: list[Any] = []
        self._factories: list[LdapFrontFactory] = []
        self.addresses: list[tuple[str, int]] = []
        self.gateway = self._make_gateway(seconds, record, router)
        self._classified_by = config  # the settings whose match blocks classify new requests
        self._lifecycle = Lifecycle()
        self._fleet: ServerListService | None = None
        self._peers: Peers | None = None
        self._coordination: Coordination | None = None
        if config.peers is not None:
            self._make_peers()
        if config.membership is not None:
            self._make_server_list()
        else:
            self.gateway.apply_list(build.servers(config))

    def _make_gateway(
        self, seconds: Callable[[], float], record: Record | None, router: Callable[[Settings], Router]
    ) -> Gateway:
        backend = LdapBackend(ldap_parts.backend_options(self.config), self._reactor)
        return Gateway(
            build.settings(self.config, self._workers),
            backend,
            reactor=self._reactor,
            limits=build.limits(self.config),
            seconds=seconds,
            wall=self._wall,
            log=self.log,
            record=record,
            log_answers=self.config.logging.answers,
            router=router,
        )

    def _make_peers(self) -> None:
        # Imported here so that a gateway without the block never loads the cluster packages.
        from yardbank.cluster.peers.sharing import Sharing
        from yardbank.cluster.peers.transport import Peers

        config = self.config
        assert config.peers is not None
        state = self._folder / config.state.path / f"worker-{self._worker}" if config.state is not None else None
        peers = Peers(
            config.peers,
            self._folder,
            state,
            reactor=self._reactor,
            now=self.gateway.now,
            wall=self._wall,
            seed=self.gateway.settings.seed,
            log=self.log,
            sharing=self.gateway.shared(Sharing),
        )
        self._peers = peers
        self._make_coordination(peers, state)
        self._lifecycle.add(StartPhase.OPENING, peers.start, lambda clean: peers.stop())

    def _make_coordination(self, peers: Peers, state: Path | None) -> None:
        from yardbank.cluster import coordination

        if not coordination.wanted(self.config):
            return
        service = coordination.Coordination(
            self.config,
            self.gateway,
            peers,
            state,
            reactor=self._reactor,
            wall=self._wall,
            log=self.log,
            reload=self.reload,
            started=self.started,
            folder=self._folder,
        )
        self._coordination = service
        self._lifecycle.add(StartPhase.LISTENING, service.start, lambda clean: service.stop())

    def _make_server_list(self) -> None:
        service = ServerListService(
            self.config,
            self.gateway,
            self._reactor,
            self._folder,
            self._worker,
            self.log,
            apply_classes=self._apply_classes,
            workers=self._workers,
            wall=self._wall,
        )
        self._fleet = service
        self._lifecycle.add(StartPhase.OPENED, service.start, lambda clean: service.stop(clean=clean))

    @property
    def channels(self) -> Channels:
        """The channels, feeds shared by the fleet. Raises ``RuntimeError`` if the settings do not enable them."""
        if self._coordination is None or self._coordination.channels is None:
            raise RuntimeError("channels: the settings have no peers block, or no channels block")
        return self._coordination.channels

    def start(self) -> None:
        """Start all parts and listen. Raises ``OSError`` if an address is not available; then nothing listens."""
        sockets: list[socket.socket] = []
        try:
            for listener in self.config.listener:
                sockets.append(listening_socket(listener.address, listener.port, self._workers > 1))
            self._lifecycle.start(StartPhase.OPENING)
            self._lifecycle.start(StartPhase.OPENED)
        except OSError:
            close_sockets(sockets)
            self._lifecycle.stop(clean=False)
            raise
        for listener, opened in zip(self.config.listener, sockets, strict=True):
            self._listen(listener, opened)
        self._lifecycle.start(StartPhase.LISTENING)

    def _listen(self, listener: Listener, opened: socket.socket) -> None:
        """Accept connections on a socket. The reactor duplicates the descriptor, so the original is closed."""
        options = ldap_parts.front_options(self.config, listener)
        factory = LdapFrontFactory(self.gateway, ldap_parts.classifier(self._classified_by), options)
        self._factories.append(factory)
        self._ports.append(self._reactor.adoptStreamPort(opened.fileno(), opened.family, factory))
        address = opened.getsockname()[:2]
        opened.close()
        self.addresses.append(address)
        self.log.info("listening", protocol=listener.protocol, address=address[0], port=address[1])

    def _apply_classes(self, config: Config) -> None:
        """Classify new requests by these settings. Requests accepted before keep their class."""
        self._classified_by = config
        for factory in self._factories:
            factory.classifier = ldap_parts.classifier(config)

    def reload(self, config: Config) -> None:
        """Apply changed settings: servers, match blocks of classes, identities.

        Raises ``ValueError`` naming a block that cannot change at run time, and then changes nothing.
        """
        check_reload(self.config, config)
        if self._peers is not None:
            self._peers.reload_keys()
        if self._fleet is None:
            self.gateway.apply_list(build.servers(config))
            self._apply_classes(config)
        else:
            self._fleet.look()
            self._fleet.reconfigure(config)
        for listener, factory in zip(config.listener, self._factories, strict=True):
            factory.options = ldap_parts.front_options(config, listener)
        self.config = config

    def _stop_listening(self) -> None:
        ports = self._ports
        self._ports = []
        for port in ports:
            maybeDeferred(port.stopListening)

    def kill(self) -> None:
        """Stop like a killed process: close every socket without answering."""
        self._stop_listening()
        self.gateway.kill()
        self._lifecycle.stop(clean=False)
        for factory in self._factories:
            factory.abort_all()

    def stop(self, grace: int | None = None) -> Deferred[None]:
        """Stop listening, answer accepted requests within ``grace`` nanoseconds, then close."""
        self._stop_listening()
        done: Deferred[Any] = self.gateway.stop(grace)
        if self._coordination is not None:  # transfers channels to other gateways in the meantime
            done = DeferredList([done, self._coordination.stopping()])
        return done.addCallback(self._close).addCallback(lambda _: None)

    def _close(self, _: Any) -> Deferred[Any]:
        """Close client connections before stopping the parts, so that clients know at once that nothing follows."""
        closing = DeferredList([factory.close_all(self._reactor) for factory in self._factories])
        self._lifecycle.stop(clean=True)
        return closing
