"""Creates a gateway's cluster parts from its settings and connects them to transport and gateway. No decisions here.

Leases, channels, rollouts, the latency map and list distribution send and receive as parts of the gossip node. Only
parts with a block in the settings are created, and only their packages are imported. ``Coordination`` owns them from
construction to ``stop`` and adds them to the node in a fixed order: leases, map, channels, rollout, distribution.
"""

from __future__ import annotations

import resource
from collections.abc import Callable, Iterable, Mapping, Sequence
from pathlib import Path
from random import Random
from typing import TYPE_CHECKING, Any, Protocol

from twisted.internet.defer import Deferred, succeed

from yardbank.cluster.lease.api import LeaseTerms
from yardbank.cluster.lease.part import LeasePart
from yardbank.cluster.peers.file_store import FileStore
from yardbank.cluster.peers.parts import KeyValueStore, NullStore
from yardbank.cluster.peers.transport import Peers
from yardbank.config import Config
from yardbank.gateway.api import ServerSpec
from yardbank.gateway.gateway import Gateway

if TYPE_CHECKING:
    from yardbank.cluster.channels.placement import LatencyLookup
    from yardbank.cluster.channels.position_polling import PositionFeeds
    from yardbank.cluster.channels.service import Channels
    from yardbank.cluster.latency_map.part import LatencyMapPart
    from yardbank.cluster.list_distribution.files import DistributionFiles
    from yardbank.cluster.rollout.active_version import Started
    from yardbank.cluster.rollout.metrics import Metrics
    from yardbank.cluster.rollout.part import RolloutPart

SECOND = 1_000_000_000
SERVER_LIST_CHECK_INTERVAL = SECOND // 2  # between comparisons of the gateway's servers with the feeds'


def wanted(config: Config) -> bool:
    """Whether the settings have a block of any part."""
    return any(
        block is not None
        for block in (config.leases, config.channels, config.rollout, config.atlas, config.distribution)
    )


class Service(Protocol):
    """A service that runs while the gateway serves. ``stop`` may be called twice."""

    def start(self) -> None:
        """Start; the transport is up."""

    def stop(self) -> None:
        """Stop."""


class Coordination:
    """One gateway's parts.

    ``reload`` applies other settings in service or raises ``ValueError``. All times are in ns.
    """

    def __init__(
        self,
        config: Config,
        gateway: Gateway,
        peers: Peers,
        state: Path | None,
        *,
        reactor: Any,
        wall: Callable[[], float],
        log: Any,
        reload: Callable[[Config], None],
        started: Started | None = None,
        folder: Path = Path(),
    ) -> None:
        self._config = config
        self._gateway = gateway
        self._peers = peers
        self._state = state
        self._reactor = reactor
        self._wall = wall
        self._log = log
        self._reload = reload
        self._specs: Mapping[str, ServerSpec] = gateway.shared(lambda router, specs, *rest: specs)
        self._last_specs: dict[str, ServerSpec] = {}  # the servers last passed to the position feeds
        self._next_list_check = 0
        self.channels: Channels | None = None
        self._position_feeds: PositionFeeds | None = None
        self._latency_map: LatencyMapPart | None = None
        self._distribution: DistributionFiles | None = None
        self._services: list[Service] = []  # in the order in which they start and stop
        self._terms = self._lease_terms(config)
        self.leases = self._make_leases()
        self._make_parts(config, started, folder)
        peers.after.append(self._after_turn)

    def _make_parts(self, config: Config, started: Started | None, folder: Path) -> None:
        """Create the optional parts, in the order in which the node has them."""
        if config.atlas is not None:
            self._make_latency_map(config)
        if config.channels is not None:
            self._make_channels(config, self._latency_lookup())
        if config.rollout is not None:
            self._make_rollout(config, started)
        if config.distribution is not None:
            self._make_distribution(config, folder)

    def _lease_terms(self, config: Config) -> LeaseTerms:
        block = config.leases
        if block is None:
            return LeaseTerms()
        return LeaseTerms(block.term, block.drift, block.overlap, block.voters)

    def _make_leases(self) -> LeasePart:
        node = self._peers.node
        leases = LeasePart(node.membership_view, self._terms, self._random("leases"), self._store("leases"))
        node.add(leases)
        return leases

    def _latency_lookup(self) -> LatencyLookup:
        """Round trips between zones, for placement; all unknown without a latency map."""
        if self._latency_map is None:
            return lambda one, other: None
        return self._latency_map.round_trip

    def _random(self, part: str) -> Random:
        return Random(f"{self._gateway.settings.seed}/{self._peers.node.detector.boot_epoch}/{part}")

    def _store(self, part: str) -> KeyValueStore:
        if self._state is None:
            return NullStore()
        return FileStore(self._state / f"{part}-kept", self._log)

    def _make_latency_map(self, config: Config) -> None:
        from yardbank.cluster.latency_map.options import Options
        from yardbank.cluster.latency_map.part import LatencyMapPart

        block = config.atlas
        assert block is not None
        part = LatencyMapPart(
            self._peers.node.membership_view, self._random("map"), Options(block.life, block.taken_up, block.step)
        )
        self._peers.node.add(part)
        self._peers.node.on_round_trip.append(part.record_peer_round_trip)
        self._gateway.latency_listeners.append(part.record_server_round_trip)
        self._latency_map = part

    def _make_channels(self, config: Config, latency_lookup: LatencyLookup) -> None:
        from yardbank.cluster.channels.api import Options
        from yardbank.cluster.channels.part import ChannelPart
        from yardbank.cluster.channels.position_polling import PositionFeeds
        from yardbank.cluster.channels.service import Channels

        block = config.channels
        assert block is not None
        options = Options(
            fan_out=block.fan_out,
            most_queued=block.most_queued,
            every=block.every,
            alone_after=block.alone_after,
            term=self._terms.term,
            overlap=self._terms.overlap,
        )
        node = self._peers.node
        now = self._gateway.now
        part = ChannelPart(node.membership_view, self.leases, self._random("channels"), options, latency_lookup)
        node.add(part)
        part.ownership.heard_epoch = self.leases.epochs.hear
        self.channels = Channels(part, reactor=self._reactor, now=now, prompt=self._peers.prompt, log=self._log)
        if not block.positions:
            return
        self._position_feeds = PositionFeeds(
            node.name,
            self._gateway,
            self.channels,
            options,
            self._random("positions"),
            reactor=self._reactor,
            now=now,
            log=self._log,
        )
        self._services.append(self._position_feeds)

    def _make_rollout(self, config: Config, started: Started | None) -> None:
        from yardbank.cluster.rollout.actuator import Actuator, name_of
        from yardbank.cluster.rollout.local_state import Options
        from yardbank.cluster.rollout.part import RolloutPart

        block = config.rollout
        assert block is not None
        if started is None:  # an embedding program has no settings file that could be replaced
            self._log.warning("rollout_disabled", why="this process was not started from a settings file")
            return
        version = started.active_version.now
        name = name_of(version.file(started.given), version.program)
        options = Options(self._rollout_metrics, started.active_version, name, block.beat)
        node = self._peers.node
        part = RolloutPart(node.membership_view, self.leases, self._random("rollout"), self._store("rollout"), options)
        node.add(part)
        actuator = Actuator(
            part,
            started.given,
            block,
            started.active_version,
            reactor=self._reactor,
            now=self._gateway.now,
            wall=self._wall,
            log=self._log,
            prompt=self._peers.prompt,
            reload=self._reload,
            leave=started.leave,
        )
        self._services.append(actuator)
        if self.channels is not None:
            self.channels.part.prefer(lambda names: self._updated_first(part, names))

    def _make_distribution(self, config: Config, folder: Path) -> None:
        from yardbank.cluster.list_distribution.files import DistributionFiles, stored_table
        from yardbank.cluster.list_distribution.options import Options
        from yardbank.cluster.list_distribution.part import DistributionPart
        from yardbank.config.build import fleet_groups

        block = config.distribution
        node = self._peers.node
        assert block is not None
        part = DistributionPart(
            node.membership_view,
            self.leases,
            self._random("distribution"),
            Options(heartbeat=block.heartbeat),
            stored_table(folder / block.file, self._log),
        )
        part.heard_epoch = self.leases.epochs.hear
        node.add(part)
        self._distribution = DistributionFiles(
            block,
            folder,
            fleet_groups(config),
            part,
            reactor=self._reactor,
            now=self._gateway.now,
            log=self._log,
            prompt=self._peers.prompt,
        )
        self._services.append(self._distribution)

    def _updated_first(self, part: RolloutPart, names: Iterable[str]) -> Sequence[str]:
        """Prefer owners that already run the new version; otherwise channels would move at each stage."""
        updated = part.changed()
        return sorted(names, key=lambda name: (name not in updated, name))

    def _rollout_metrics(self) -> Metrics:
        from yardbank.cluster.rollout.metrics import of_gateway, resident
        from yardbank.gateway.request_counters import bucket_upper_bound

        class_objectives = {
            request_class.name: (
                request_class.latency_objective,
                request_class.deadline,
                request_class.priority_weight,
                request_class.late_weight,
                request_class.effect,
                request_class.read,
            )
            for request_class in self._gateway.settings.classes
        }
        try:
            memory = resident(Path("/proc/self/statm").read_text(encoding="ascii"), resource.getpagesize())
        except OSError:
            memory = 0
        return of_gateway(self._gateway.request_counters.by_class, class_objectives, bucket_upper_bound, memory)

    def start(self) -> None:
        """Start all services; the transport is up."""
        for service in self._services:
            service.start()

    def _after_turn(self, now: int) -> None:
        """Handle what the parts found in a turn of the node."""
        for lease in self.leases.take_log_events():
            self._log.info("lease", resource=lease.resource, what=lease.what, epoch=lease.epoch, why=lease.why)
        if self._distribution is not None:
            self._distribution.after()
        self._apply_latency_map(now)
        self._update_position_feeds(now)

    def _apply_latency_map(self, now: int) -> None:
        """Log changed latencies; pass those in force to the gateway."""
        if self._latency_map is None:
            return
        for change in self._latency_map.changes():
            ms = None if change.ns is None else round(change.ns / 1e6, 3)
            self._log.info("map", **{"from": change.pair[0]}, to=change.pair[1], ms=ms, how=change.basis)
        self._gateway.apply_zone_latencies(self._latency_map.zone_latencies(now))

    def _update_position_feeds(self, now: int) -> None:
        """Pass the gateway's servers to the position feeds when they have changed."""
        if self._position_feeds is None or now < self._next_list_check:
            return
        self._next_list_check = now + SERVER_LIST_CHECK_INTERVAL
        if self._last_specs == self._specs:
            return
        self._last_specs = dict(self._specs)
        self._position_feeds.listed(self._last_specs.values())

    def stopping(self) -> Deferred[None]:
        """The gateway is about to stop: transfer its channels.

        Fires when that is done or its time is up.
        """
        if self.channels is None:
            return succeed(None)
        if self._position_feeds is not None:
            self._position_feeds.stop()
        return self.channels.stopping()

    def stop(self) -> None:
        """Stop all parts; the channels last, because the others publish to them."""
        for service in self._services:
            service.stop()
        if self.channels is not None:
            self.channels.stop()
