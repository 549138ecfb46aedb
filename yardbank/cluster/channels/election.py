"""When this gateway becomes a candidate for a channel without an owner. No I/O; times are passed in (ns).

Safety comes from the lease alone. Candidates take turns by rank: the first in placement order requests the lease as
soon as the owner counts as silent, the others later. This keeps a fleet that starts all at once, or loses many owners,
from requesting all leases at the same time.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from random import Random

from yardbank.cluster.channels import placement as placing
from yardbank.cluster.channels.api import MS, SECOND, Options, resource
from yardbank.cluster.channels.channel_table import ChannelTable
from yardbank.cluster.channels.feed import Feed
from yardbank.cluster.channels.members import Members
from yardbank.cluster.channels.placement import Placement
from yardbank.cluster.channels.states import NOT_REQUESTED, OwnershipPhase, OwnerState
from yardbank.cluster.channels.succession import DIRECT_STANDBYS
from yardbank.cluster.lease.api import Leases
from yardbank.cluster.peers.parts import MembershipView

CANDIDACY_RANK_DELAY = 300 * MS  # delay between the candidacies of two consecutive ranks
# Extra delay of candidates that are not standbys: they hear the owner's heartbeats only through the tree, which takes
# longer.
NON_STANDBY_DELAY = 1500 * MS
MAX_CANDIDACY_RANK = 12  # higher ranks all wait equally long
# For this time after the first channel was added, gateways whose interests are unknown count as candidates too.
STARTUP_PERIOD = 15 * SECOND
MAX_CANDIDACIES = 8  # channels being acquired or transferred at a time
MAX_CANDIDACY_TERMS = 2  # lease terms after which an unsuccessful candidacy ends
MISSED_HEARTBEATS = 3  # after which an owner counts as silent


@dataclass(slots=True, frozen=True)
class OwnerlessChannels:
    """Channels without an owner for which the first-ranked candidate is due."""

    candidates: dict[str, list[str]]  # by channel, best first
    max_per_gateway: int  # limit on the channels of one gateway


class Election:
    """This gateway's candidacies."""

    def __init__(
        self,
        table: ChannelTable,
        membership_view: MembershipView,
        leases: Leases,
        members: Members,
        placement: Placement,
        feed: Feed,
        options: Options,
        random: Random,
    ) -> None:
        self._table = table
        self._membership_view = membership_view
        self._leases = leases
        self._members = members
        self._placement = placement
        self._feed = feed
        self._options = options
        self._random = random
        self._started_at = 0  # when the first channel was added; 0: none yet

    def channel_added(self, now: int) -> None:
        """Record when the first channel was added."""
        self._started_at = self._started_at or now

    def become_candidate(self, now: int, channel: str, owner_state: OwnerState) -> None:
        """Request the lease of a channel."""
        self._leases.acquire(now, resource(channel))
        self._table.move(now, channel, owner_state, OwnershipPhase.CANDIDATE)

    def withdraw_candidacies(self, now: int) -> None:
        """End candidacies for channels that another gateway took, or that have lasted too long."""
        for channel in self._table.changing():
            owner_state = self._table.channels[channel]
            if owner_state.phase != OwnershipPhase.CANDIDATE:
                continue
            owner_appeared = self._owner_appeared(channel, owner_state)
            expired = now - owner_state.phase_since > self._candidacy_timeout(owner_state)
            if not ((owner_appeared and not owner_state.offered_by) or expired or self._table.stopping):
                continue
            self._leases.release(now, resource(channel))
            owner_state.offered_by = ""
            owner_state.no_candidacy_before = now
            if not owner_appeared:
                owner_state.no_candidacy_before += round(self._random.uniform(0.2, 1) * self._options.term)
            self._table.move(now, channel, owner_state, OwnershipPhase.IDLE)

    def _owner_appeared(self, channel: str, owner_state: OwnerState) -> bool:
        """Whether another owner was heard since the candidacy began."""
        known = self._feed.known.get(channel)
        if known is None or known.ended:
            return False
        return known.owner != self._membership_view.name and known.heard_at > owner_state.phase_since

    def _candidacy_timeout(self, owner_state: OwnerState) -> int:
        if owner_state.offered_by:
            return self._options.overlap * 2
        return self._options.term * MAX_CANDIDACY_TERMS

    def replace_silent_owners(self, now: int, loads: Counter[str]) -> None:
        """Become a candidate for channels without an owner once this gateway's rank is due."""
        ownerless = self._ownerless_channels(now)
        for channel, ranking in placing.assign(ownerless.candidates, loads, ownerless.max_per_gateway).items():
            if self._membership_view.name not in ranking:
                continue
            owner_state = self._table.channels[channel]
            if owner_state.phase == OwnershipPhase.IDLE:
                self._table.move(now, channel, owner_state, OwnershipPhase.WAITING)
            owner_state.candidacy_at = self._candidacy_time(
                channel, owner_state, ranking.index(self._membership_view.name)
            )
            if now >= owner_state.candidacy_at and self._table.changing_count() < MAX_CANDIDACIES:
                self.become_candidate(now, channel, owner_state)

    def _ownerless_channels(self, now: int) -> OwnerlessChannels:
        unknown_gateways: frozenset[str] = frozenset()
        if now < self._started_at + STARTUP_PERIOD:  # at startup no gateway knows the interests of the others yet
            unknown_gateways = self._members.unknown_gateways(self._membership_view.zones())
        found: dict[str, list[str]] = {}
        max_per_gateway = 1
        for channel, owner_state in self._table.channels.items():
            if owner_state.phase not in NOT_REQUESTED:
                continue
            if not self._owner_is_silent(now, channel):
                if owner_state.phase == OwnershipPhase.WAITING:
                    self._table.move(now, channel, owner_state, OwnershipPhase.IDLE)
                continue
            if now >= self._candidacy_time(channel, owner_state, 0):
                names = self._candidates(channel, unknown_gateways)
                found[channel] = self._placement.order(channel, names, self._members.followers(channel))
                max_per_gateway = max(max_per_gateway, placing.load_bound(len(self._table.channels), len(names)))
        return OwnerlessChannels(found, max_per_gateway)

    def _candidates(self, channel: str, unknown_gateways: frozenset[str]) -> frozenset[str]:
        names = self._members.candidates(channel)
        known = self._feed.known.get(channel)
        if known is None:
            return names | unknown_gateways
        if known.ended:
            return names
        return names - {known.owner}

    def _owner_is_silent(self, now: int, channel: str) -> bool:
        known = self._feed.known.get(channel)
        if known is None or known.ended:
            return True
        return now - known.heard_at > MISSED_HEARTBEATS * self._options.heartbeat

    def _candidacy_time(self, channel: str, owner_state: OwnerState, rank: int) -> int:
        """When the candidate of a rank requests the lease."""
        known = self._feed.known.get(channel)
        term = self._options.term
        rank = min(rank, MAX_CANDIDACY_RANK)
        if known is None:  # voters that have just started do not vote for one lease term
            earliest = owner_state.interested_since + term + SECOND
        elif known.ended:
            earliest = max(owner_state.phase_since, known.heard_at)
        elif rank == 0:  # alone until the lease must have expired: requests made at that moment would split the vote
            earliest = known.heard_at + MISSED_HEARTBEATS * self._options.heartbeat
        elif rank < DIRECT_STANDBYS:
            earliest = known.heard_at + term
        else:
            earliest = known.heard_at + term + NON_STANDBY_DELAY
        return max(earliest + rank * CANDIDACY_RANK_DELAY, owner_state.no_candidacy_before)
