"""The library's front door: one gateway with its listeners, made from settings, embedded in any Twisted process.

    proxy = Proxy(load(Path("gateway.hcl")), reactor)
    proxy.start()
    ...
    proxy.stop()

The daemon is this and a few signals; it adds nothing.
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
from yardbank.gateway.gateway import Gateway, Record
from yardbank.interface import Settings
from yardbank.ldap.backend import LdapBackend
from yardbank.ldap.front import LdapFrontFactory
from yardbank.policy import Router
from yardbank.server_list.service import ServerListService

if TYPE_CHECKING:
    from yardbank.cluster.channels.service import Channels
    from yardbank.cluster.coordination import Coordination
    from yardbank.cluster.peers.transport import Peers
    from yardbank.cluster.rollout.active_version import Started


def listening_socket(address: str, port: int, shared: bool) -> socket.socket:
    """A listening socket; ``shared`` lets several processes take connections of one port (SO_REUSEPORT)."""
    family = socket.AF_INET6 if ":" in address else socket.AF_INET
    made = socket.socket(family, socket.SOCK_STREAM)
    try:
        made.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if shared:
            made.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        made.bind((address, port))
        made.listen(1024)
        made.setblocking(False)
    except OSError:
        made.close()
        raise
    return made


class Proxy:
    """A gateway and its listeners. Several in one process share nothing."""

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
        """``started``: by a daemon, what a rollout has in force, and how to be started anew."""
        self.started = started
        self.config, self._reactor, self._workers = config, reactor, workers
        self.log = log or structlog.get_logger()
        self._ports: list[Any] = []
        self._factories: list[LdapFrontFactory] = []
        self.addresses: list[tuple[str, int]] = []
        backend = LdapBackend(build.backend_options(config), reactor)
        self.gateway = Gateway(
            build.settings(config, workers),
            backend,
            reactor=reactor,
            limits=build.limits(config),
            seconds=seconds,
            wall=wall,
            log=self.log,
            record=record,
            log_answers=config.logging.answers,
            router=router,
        )
        self._matching = config
        self._fleet: ServerListService | None = None
        self._peers: Peers | None = None
        self._joint: Coordination | None = None
        if config.peers is not None:
            from yardbank.cluster.peers.sharing import Sharing
            from yardbank.cluster.peers.transport import Peers

            state = folder / config.state.path / f"worker-{worker}" if config.state is not None else None
            self._peers = Peers(
                config.peers,
                folder,
                state,
                reactor=reactor,
                now=self.gateway.now,
                wall=wall,
                seed=self.gateway.settings.seed,
                log=self.log,
                sharing=self.gateway.shared(Sharing),
            )
            self._join(config, state, wall, started, folder)
        if config.membership is None:
            self.gateway.apply_list(build.servers(config))
        else:
            self._fleet = ServerListService(
                config,
                self.gateway,
                reactor,
                folder,
                worker,
                self.log,
                take_classes=self._take_classes,
                workers=workers,
                wall=wall,
            )

    def _join(
        self, config: Config, state: Path | None, wall: Callable[[], float], started: Started | None, folder: Path
    ) -> None:
        from yardbank.cluster import coordination as joint

        assert self._peers is not None
        if joint.wanted(config):
            self._joint = joint.Coordination(
                config,
                self.gateway,
                self._peers,
                state,
                reactor=self._reactor,
                wall=wall,
                log=self.log,
                reload=self.reload,
                started=started,
                folder=folder,
            )

    @property
    def channels(self) -> Channels:
        """Feeds that one gateway carries for all. Raises ``RuntimeError`` where the settings have no such block."""
        if self._joint is None or self._joint.channels is None:
            raise RuntimeError("channels: the settings have no peers block, or no channels block")
        return self._joint.channels

    def start(self) -> None:
        """Listen. Raises ``OSError`` if an address cannot be had; then nothing listens."""
        sockets: list[socket.socket] = []
        try:
            for listener in self.config.listener:
                sockets.append(listening_socket(listener.address, listener.port, self._workers > 1))
        except OSError:
            for made in sockets:
                made.close()
            raise
        try:
            if self._peers is not None:
                self._peers.start()
        except OSError:
            for made in sockets:
                made.close()
            raise
        if self._fleet is not None:
            self._fleet.start()
        for listener, made in zip(self.config.listener, sockets, strict=True):
            options = build.front_options(self.config, listener)
            factory = LdapFrontFactory(self.gateway, build.classifier(self._matching), options)
            self._factories.append(factory)
            self._ports.append(self._reactor.adoptStreamPort(made.fileno(), made.family, factory))
            address = made.getsockname()[:2]
            made.close()  # the reactor holds its own copy
            self.addresses.append(address)
            self.log.info("listening", protocol=listener.protocol, address=address[0], port=address[1])
        if self._joint is not None:
            self._joint.start()

    def _take_classes(self, config: Config) -> None:
        """What operations match, as a watched list says it; requests taken before keep their class."""
        self._matching = config
        for factory in self._factories:
            factory.classifier = build.classifier(config)

    def reload(self, config: Config) -> None:
        """Take other settings: servers, classes' matches, identities. What cannot change in service says so.

        Raises ``ValueError`` naming the block, and changes nothing then.
        """
        old = self.config
        fixed = {
            "listener": (old.listener, config.listener),
            "backend": (old.backend, config.backend),
            "gateway": (old.gateway, config.gateway),
            "limits": (old.limits, config.limits),
            "group": (old.group, config.group),
            "membership": (old.membership, config.membership),
            "state": (old.state, config.state),
            "peers": (old.peers, config.peers),
            "leases": (old.leases, config.leases),
            "channels": (old.channels, config.channels),
            "rollout": (old.rollout, config.rollout),
            "atlas": (old.atlas, config.atlas),
            "distribution": (old.distribution, config.distribution),
            "class times": (build.request_classes(old), build.request_classes(config)),
        }
        for name, (before, after) in fixed.items():
            if before != after:
                raise ValueError(f"{name}: cannot change in service; restart to apply it")
        if self._peers is not None:
            self._peers.reload_keys()
        if self._fleet is None:
            self.gateway.apply_list(build.servers(config))
            self._take_classes(config)
        else:
            self._fleet.look()
            self._fleet.reconfigure(config)
        for listener, factory in zip(config.listener, self._factories, strict=True):
            factory.options = build.front_options(config, listener)
        self.config = config

    def kill(self) -> None:
        """End as a killed process does: every socket is cut, nothing is answered."""
        for port in self._ports:
            maybeDeferred(port.stopListening)
        self._ports = []
        self.gateway.kill()
        if self._joint is not None:
            self._joint.stop()
        if self._peers is not None:
            self._peers.stop()
        if self._fleet is not None:
            self._fleet.stop(clean=False)
        for factory in self._factories:
            factory.abort_all()

    def stop(self, grace: int | None = None) -> Deferred[None]:
        """Stop listening, answer what was taken (at the latest after ``grace`` ns), close."""
        ports, self._ports = self._ports, []
        for port in ports:
            maybeDeferred(port.stopListening)
        done: Deferred[Any] = self.gateway.stop(grace)
        if self._joint is not None:  # others carry what this gateway carried, while it answers what it has taken
            done = DeferredList([done, self._joint.stopping()])

        def close(_: Any) -> Deferred[Any]:
            # Clients first: nobody answers any more, and they should know at once.
            closing = DeferredList([factory.close_all(self._reactor) for factory in self._factories])
            if self._joint is not None:
                self._joint.stop()
            if self._peers is not None:
                self._peers.stop()
            if self._fleet is not None:
                self._fleet.stop(clean=True)
            return closing

        return done.addCallback(close).addCallback(lambda _: None)
