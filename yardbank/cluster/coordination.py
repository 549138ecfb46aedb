"""What gateways do together, made from settings and joined to the link and the gateway. Thin: the parts decide.

Leases, channels, rollouts and the map ride on the peers' link as its parts. Only those whose blocks are there are made,
and only their packages are imported.
"""

from __future__ import annotations

import resource
from collections.abc import Callable, Iterable, Mapping, Sequence
from pathlib import Path
from random import Random
from typing import TYPE_CHECKING, Any

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
    from yardbank.cluster.channels.placement import Distance
    from yardbank.cluster.channels.position_polling import PositionFeeds
    from yardbank.cluster.channels.service import Channels
    from yardbank.cluster.latency_map.part import AtlasPart
    from yardbank.cluster.list_distribution.files import DistributionFiles
    from yardbank.cluster.rollout.active_version import Started
    from yardbank.cluster.rollout.actuator import Actuator
    from yardbank.cluster.rollout.metrics import Figures
    from yardbank.cluster.rollout.part import RolloutPart

SECOND = 1_000_000_000
LISTED_EVERY = SECOND // 2  # so often the gateway's list is compared with what the positions' feeds know


def wanted(config: Config) -> bool:
    """Whether a part is asked for at all."""
    return any(
        block is not None
        for block in (config.leases, config.channels, config.rollout, config.atlas, config.distribution)
    )


class Coordination:
    """One gateway's parts. ``reload`` takes other settings in service or raises ``ValueError``; all times in ns."""

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
        self._config, self._gateway, self._peers, self._state = config, gateway, peers, state
        self._reactor, self._wall, self._log, self._reload = reactor, wall, log, reload
        self._specs: Mapping[str, ServerSpec] = gateway.shared(lambda router, specs, *rest: specs)
        self._known: dict[str, ServerSpec] = {}
        self._next_list = 0
        self.channels: Channels | None = None
        self._feeds: PositionFeeds | None = None
        self._actuator: Actuator | None = None
        self._map: AtlasPart | None = None
        self._distribution: DistributionFiles | None = None
        block = config.leases
        self._terms = (
            LeaseTerms(block.term, block.drift, block.overlap, block.voters) if block is not None else LeaseTerms()
        )
        node = peers.node
        leases = LeasePart(node.membership_view, self._terms, self._random("leases"), self._keep("leases"))
        node.add(leases)
        self.leases = leases
        if config.atlas is not None:
            self._make_map(config)
        distance = self._map.distance if self._map is not None else lambda one, other: None
        if config.channels is not None:
            self._make_channels(config, distance)
        if config.rollout is not None:
            self._make_rollout(config, started)
        if config.distribution is not None:
            self._make_distribution(config, folder)
        peers.after.append(self._after)

    def _random(self, what: str) -> Random:
        return Random(f"{self._gateway.settings.seed}/{self._peers.node.detector.boot_epoch}/{what}")

    def _keep(self, what: str) -> KeyValueStore:
        return FileStore(self._state / f"{what}-kept", self._log) if self._state is not None else NullStore()

    def _make_map(self, config: Config) -> None:
        from yardbank.cluster.latency_map.options import Options
        from yardbank.cluster.latency_map.part import AtlasPart

        block = config.atlas
        assert block is not None
        part = AtlasPart(
            self._peers.node.membership_view, self._random("map"), Options(block.life, block.taken_up, block.step)
        )
        self._peers.node.add(part)
        self._peers.node.on_round_trip.append(part.saw_peer)
        self._gateway.on_way.append(part.saw_server)
        self._map = part

    def _make_channels(self, config: Config, distance: Distance) -> None:
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
        node, now = self._peers.node, self._gateway.now
        part = ChannelPart(node.membership_view, self.leases, self._random("channels"), options, distance)
        node.add(part)
        part.ownership.heard_epoch = self.leases.epochs.hear
        self.channels = Channels(part, reactor=self._reactor, now=now, prompt=self._peers.prompt, log=self._log)
        if block.positions:
            self._feeds = PositionFeeds(
                node.name,
                self._gateway,
                self.channels,
                options,
                self._random("positions"),
                reactor=self._reactor,
                now=now,
                log=self._log,
            )

    def _make_rollout(self, config: Config, started: Started | None) -> None:
        from yardbank.cluster.rollout.actuator import Actuator, name_of
        from yardbank.cluster.rollout.local_state import Options
        from yardbank.cluster.rollout.part import RolloutPart

        block = config.rollout
        assert block is not None
        if started is None:  # an embedding program: there is no settings file that could be changed for another
            self._log.warning("rollout_off", why="this process was not started from a settings file")
            return
        version = started.force.now
        name = name_of(version.file(started.given), version.program)
        options = Options(self._figures, started.force, name, block.beat)
        node = self._peers.node
        part = RolloutPart(node.membership_view, self.leases, self._random("rollout"), self._keep("rollout"), options)
        node.add(part)
        self._actuator = Actuator(
            part,
            started.given,
            block,
            started.force,
            reactor=self._reactor,
            now=self._gateway.now,
            wall=self._wall,
            log=self._log,
            prompt=self._peers.prompt,
            reload=self._reload,
            leave=started.leave,
        )
        if self.channels is not None:
            self.channels.part.prefer(lambda names: self._changed_first(part, names))

    def _make_distribution(self, config: Config, folder: Path) -> None:
        from yardbank.cluster.list_distribution.files import DistributionFiles, stored_table
        from yardbank.cluster.list_distribution.options import Options
        from yardbank.cluster.list_distribution.part import DistributionPart
        from yardbank.config.build import fleet_groups

        block, node = config.distribution, self._peers.node
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

    def _changed_first(self, part: RolloutPart, names: Iterable[str]) -> Sequence[str]:
        """Channels go on to where the change has been already, so that they are not handed on at each stage."""
        changed = part.changed()
        return sorted(names, key=lambda name: (name not in changed, name))

    def _figures(self) -> Figures:
        from yardbank.cluster.rollout.metrics import of_gateway, resident
        from yardbank.gateway.tallies import beyond

        promises = {
            kind.name: (
                kind.latency_objective,
                kind.deadline,
                kind.priority_weight,
                kind.late_weight,
                kind.effect,
                kind.read,
            )
            for kind in self._gateway.settings.classes
        }
        try:
            memory = resident(Path("/proc/self/statm").read_text(encoding="ascii"), resource.getpagesize())
        except OSError:
            memory = 0
        return of_gateway(self._gateway.tallies.by_class, promises, beyond, memory)

    def start(self) -> None:
        """Begin; the link is up."""
        if self._feeds is not None:
            self._feeds.start()
        if self._actuator is not None:
            self._actuator.start()
        if self._distribution is not None:
            self._distribution.start()

    def _after(self, now: int) -> None:
        """The link has had a turn: hand on what the parts found."""
        for lease in self.leases.take_log_events():
            self._log.info("lease", resource=lease.resource, what=lease.what, epoch=lease.epoch, why=lease.why)
        if self._distribution is not None:
            self._distribution.after()
        if self._map is not None:
            for turn in self._map.changes():
                ms = None if turn.ns is None else round(turn.ns / 1e6, 3)
                self._log.info("map", **{"from": turn.pair[0]}, to=turn.pair[1], ms=ms, how=turn.how)
            self._gateway.told_ways(self._map.ways(now))
        if self._feeds is not None and now >= self._next_list:
            self._next_list = now + LISTED_EVERY
            if self._known != self._specs:
                self._known = dict(self._specs)
                self._feeds.listed(self._known.values())

    def stopping(self) -> Deferred[None]:
        """This gateway is about to end: what it carries is handed on; fires when that is done, or has had its time."""
        if self.channels is None:
            return succeed(None)
        if self._feeds is not None:
            self._feeds.stop()
        return self.channels.stopping()

    def stop(self) -> None:
        """No more."""
        if self._feeds is not None:
            self._feeds.stop()
        if self._actuator is not None:
            self._actuator.stop()
        if self._distribution is not None:
            self._distribution.stop()
        if self.channels is not None:
            self.channels.stop()
