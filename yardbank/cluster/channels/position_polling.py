"""Connects the position feeds to the gateway and its channels. All decisions are made in ``positions``."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from random import Random
from typing import Any, Protocol

from yardbank.cluster.channels.api import SECOND, Delivered, Options
from yardbank.cluster.channels.positions import PREFIX, ListedServer, Positions, channel_of
from yardbank.cluster.channels.service import Channels
from yardbank.gateway.api import ProbeResult, ServerSpec
from yardbank.timeline import Vector


class Gateway(Protocol):
    """The methods of ``gateway.Gateway`` used here."""

    def ask(self, server: str, then: Callable[[ProbeResult | None, int, str], None]) -> None:
        """Poll a server for its position."""

    def apply_gossiped_position(self, server: str, started: int, marks: Vector, checked: bool = False) -> bool:
        """Apply a position reported by another gateway.

        ``checked``: the reports were verified by polls of this gateway's own, as ``PositionVerifier`` does.
        """


class PositionFeeds:
    """Polls the servers of groups owned here and passes on positions from other owners.

    Runs from ``start`` to ``stop``.
    """

    def __init__(
        self,
        name: str,
        gateway: Gateway,
        channels: Channels,
        options: Options,
        random: Random,
        *,
        reactor: Any,
        now: Callable[[], int],
        log: Any,
    ) -> None:
        self.decider = Positions(name, random, options)
        self._gateway, self._channels = gateway, channels
        self._reactor, self._now, self._log = reactor, now, log
        self._timer: Any = None
        self._ends: dict[str, Callable[[], None]] = {}
        self._running = False
        self._alone: list[str] = []

    def start(self) -> None:
        """Start; ``listed`` may have been called before."""
        self._running = True
        self._run()

    def listed(self, servers: Iterable[ServerSpec]) -> None:
        """The list of servers has changed; only servers in state ready are polled."""
        listed_servers = [ListedServer(spec.name, spec.group, spec.start) for spec in servers if spec.state == "ready"]
        new, gone = self.decider.listed(self._now(), listed_servers)
        for group in new:
            channel = channel_of(group)
            try:
                self._ends[group] = self._channels.follow(channel, self._on_item, latest=True)
                self._channels.own(channel, self._owned, self._ended)
            except ValueError as problem:
                self._log.error("positions_feed_failed", group=group, reason=str(problem))
        for group in gone:
            self._channels.disown(channel_of(group))
            if (unfollow := self._ends.pop(group, None)) is not None:
                unfollow()
        self._run()

    def stop(self) -> None:
        """Stop polling."""
        self._running = False
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def view(self) -> dict[str, Any]:
        """State shown to operators."""
        verifier = self.decider.verifier
        return {
            "alone": self.decider.alone(),
            "went_back": verifier.regressed(),
            "not_believed": dict(verifier.rejected),
            "malformed": self.decider.malformed,
        }

    def _owned(self, channel: str, epoch: int) -> None:
        self.decider.owned(self._now(), channel.removeprefix(PREFIX))
        self._run()

    def _ended(self, channel: str, epoch: int) -> None:
        self.decider.ended(channel.removeprefix(PREFIX))

    def _on_item(self, item: Delivered) -> None:
        self.decider.on_item(self._now(), item)
        self._execute()

    def _run(self) -> None:
        if not self._running:
            return
        self.decider.tick(self._now())
        self._execute()
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = self._reactor.callLater(max(0, self.decider.next_at() - self._now()) / SECOND, self._run)

    def _execute(self) -> None:
        """Execute what the decider has decided."""
        asks, self.decider.asks = self.decider.asks, []
        for server in asks:
            self._gateway.ask(
                server,
                lambda position, sent_at, status, server=server: self._answered(  # type: ignore[misc]
                    server, position, sent_at
                ),
            )
        items, self.decider.items = self.decider.items, []
        for channel, data in items:
            # A refusal (no longer the owner, or full) is ignored: the next item does not depend on this one.
            self._channels.publish(channel, data)
        verified, self.decider.verified_positions = self.decider.verified_positions, []
        for one in verified:
            self._gateway.apply_gossiped_position(one.server, one.started, one.marks, checked=True)
        for report in self.decider.false_reports():
            self._log.warning(
                "position_owner_inconsistent",
                owner=report.owner,
                boot_epoch=report.boot_epoch,
                server=report.server,
            )
        alone = self.decider.alone()
        if alone != self._alone:
            self._alone = alone
            self._log.info("positions_feed_silent", servers=alone)

    def _answered(self, server: str, position: ProbeResult | None, sent_at: int) -> None:
        self.decider.answered(self._now(), server, position.marks if position is not None else None, sent_at)
        if self.decider.items:
            self._execute()
