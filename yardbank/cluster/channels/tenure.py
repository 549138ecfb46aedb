"""A channel from the grant of its lease to the end of it. No I/O; times (ns) come in.

Invariant: items go out only in phases of ``PUBLISHING``; whoever leaves them says where the epoch ended.
"""

from __future__ import annotations

from yardbank.cluster.channels.api import MS, Ended, Options, Owned, resource
from yardbank.cluster.channels.channel_table import ChannelTable
from yardbank.cluster.channels.feed import Feed
from yardbank.cluster.channels.messages import EndQuery
from yardbank.cluster.channels.states import NOT_REQUESTED, PUBLISHING, OwnershipPhase, OwnerState
from yardbank.cluster.channels.succession import Succession
from yardbank.cluster.lease.api import Leases

END_QUERY_INTERVAL = 50 * MS  # between two questions to the former owner


class Tenure:
    """What a gateway does with a lease that it was granted."""

    def __init__(
        self, table: ChannelTable, leases: Leases, succession: Succession, feed: Feed, options: Options
    ) -> None:
        self._table = table
        self._leases = leases
        self._succession = succession
        self._feed = feed
        self._options = options

    def granted(self, now: int, channel: str, own: OwnerState | None, epoch: int) -> None:
        """The lease is granted, perhaps too late."""
        if own is None or own.state in NOT_REQUESTED or self._table.stopping:
            self._leases.release(now, resource(channel))
            return
        if own.state != OwnershipPhase.CANDIDATE:
            self.end(now, channel, own, "granted anew")
        own.epoch = epoch
        own.tried = set()
        if own.source:
            self._table.move(now, channel, own, OwnershipPhase.TAKING_OVER)
            self.take_over(now, channel, own)
        else:
            self._begin(now, channel, own)

    def take_over(self, now: int, channel: str, own: OwnerState) -> None:
        """Begin once the former owner is known to have ended: then no item is missed at the change."""
        if self._former_ended(channel, own) or now - own.at >= self._options.overlap:
            self._begin(now, channel, own)
        elif now - own.asked_at >= END_QUERY_INTERVAL:
            own.asked_at = now
            self._feed.send_urgent(own.source, EndQuery(channel, own.epoch))

    def _former_ended(self, channel: str, own: OwnerState) -> bool:
        end = self._feed.ends.get(channel)
        known = self._feed.known.get(channel)
        if end is None or known is None or not known.over:
            return False
        return end[0] == known.epoch < own.epoch

    def _begin(self, now: int, channel: str, own: OwnerState) -> None:
        own.source = ""
        self._table.move(now, channel, own, OwnershipPhase.OWNER)
        loads = self._table.loads(self._feed.known.values())
        self._feed.heirs[channel] = self._succession.heirs(channel, loads)
        self._feed.carry(now, channel, own.epoch)
        self._feed.events.append(Owned(channel, own.epoch))

    def lost(self, now: int, channel: str, own: OwnerState, why: str) -> None:
        """The lease is over; where that was not planned it is still wanted."""
        if own.state != OwnershipPhase.TRANSFERRING:
            self.end(now, channel, own, why, OwnershipPhase.CANDIDATE)
            return
        self._leases.release(now, resource(channel))
        own.not_before = now + 2 * self._options.overlap
        self.end(now, channel, own, why)

    def end(
        self, now: int, channel: str, own: OwnerState, why: str, phase: OwnershipPhase = OwnershipPhase.IDLE
    ) -> None:
        """Leave it for another phase; if items went out, say where the epoch ended."""
        published = own.state in PUBLISHING
        self._table.move(now, channel, own, phase)
        if published:
            self._feed.stop(now, channel, [own.to] if own.to else [])
            self._feed.events.append(Ended(channel, own.epoch, why))
        own.source = ""
        own.to = ""
        own.better_since = 0
        self._feed.heirs.pop(channel, None)
