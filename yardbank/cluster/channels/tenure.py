"""A channel from the grant of its lease to the end of it. No I/O; times are passed in (ns).

Invariant: items are published only in the phases of ``PUBLISHING``; a gateway that leaves them reports where its epoch
ended.
"""

from __future__ import annotations

from yardbank.cluster.channels.api import MS, Ended, Options, Owned, resource
from yardbank.cluster.channels.channel_table import ChannelTable
from yardbank.cluster.channels.feed import Feed
from yardbank.cluster.channels.messages import EndQuery
from yardbank.cluster.channels.states import NOT_REQUESTED, PUBLISHING, OwnershipPhase, OwnerState
from yardbank.cluster.channels.succession import Succession
from yardbank.cluster.lease.api import Leases

END_QUERY_INTERVAL = 50 * MS  # between two queries to the former owner


class Tenure:
    """What a gateway does with a granted lease."""

    def __init__(
        self, table: ChannelTable, leases: Leases, succession: Succession, feed: Feed, options: Options
    ) -> None:
        self._table = table
        self._leases = leases
        self._succession = succession
        self._feed = feed
        self._options = options

    def granted(self, now: int, channel: str, owner_state: OwnerState | None, epoch: int) -> None:
        """The lease was granted, possibly too late."""
        if owner_state is None or owner_state.phase in NOT_REQUESTED or self._table.stopping:
            self._leases.release(now, resource(channel))
            return
        if owner_state.phase != OwnershipPhase.CANDIDATE:
            self.end(now, channel, owner_state, "granted anew")
        owner_state.epoch = epoch
        owner_state.failed_successors = set()
        if owner_state.offered_by:
            self._table.move(now, channel, owner_state, OwnershipPhase.TAKING_OVER)
            self.take_over(now, channel, owner_state)
        else:
            self._become_owner(now, channel, owner_state)

    def take_over(self, now: int, channel: str, owner_state: OwnerState) -> None:
        """Start once the former owner is known to have ended, so that no item is lost in the change."""
        if self._former_ended(channel, owner_state) or now - owner_state.phase_since >= self._options.overlap:
            self._become_owner(now, channel, owner_state)
        elif now - owner_state.end_queried_at >= END_QUERY_INTERVAL:
            owner_state.end_queried_at = now
            self._feed.send_urgent(owner_state.offered_by, EndQuery(channel, owner_state.epoch))

    def _former_ended(self, channel: str, owner_state: OwnerState) -> bool:
        end = self._feed.epoch_ends.get(channel)
        known = self._feed.known.get(channel)
        if end is None or known is None or not known.ended:
            return False
        return end[0] == known.epoch < owner_state.epoch

    def _become_owner(self, now: int, channel: str, owner_state: OwnerState) -> None:
        owner_state.offered_by = ""
        self._table.move(now, channel, owner_state, OwnershipPhase.OWNER)
        loads = self._table.loads(self._feed.known.values())
        self._feed.standbys[channel] = self._succession.standbys(channel, loads)
        self._feed.start_ownership(now, channel, owner_state.epoch)
        self._feed.events.append(Owned(channel, owner_state.epoch))

    def lost(self, now: int, channel: str, owner_state: OwnerState, why: str) -> None:
        """The lease has ended; request it again unless the end was planned."""
        if owner_state.phase != OwnershipPhase.TRANSFERRING:
            self.end(now, channel, owner_state, why, OwnershipPhase.CANDIDATE)
            return
        self._leases.release(now, resource(channel))
        owner_state.no_candidacy_before = now + 2 * self._options.overlap
        self.end(now, channel, owner_state, why)

    def end(
        self,
        now: int,
        channel: str,
        owner_state: OwnerState,
        why: str,
        next_phase: OwnershipPhase = OwnershipPhase.IDLE,
    ) -> None:
        """Enter another phase; if this gateway was publishing, report where the epoch ended."""
        published = owner_state.phase in PUBLISHING
        self._table.move(now, channel, owner_state, next_phase)
        if published:
            self._feed.end_ownership(now, channel, [owner_state.successor] if owner_state.successor else [])
            self._feed.events.append(Ended(channel, owner_state.epoch, why))
        owner_state.offered_by = ""
        owner_state.successor = ""
        owner_state.better_since = 0
        self._feed.standbys.pop(channel, None)
