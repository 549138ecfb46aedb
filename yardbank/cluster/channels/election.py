"""When a gateway becomes a candidate for a channel without an owner. No I/O; times (ns) come in.

Safety is the lease's. Candidates come one after another by rank: the first by placement as soon as the owner is silent,
the others later. So a fleet that starts at once, or loses many owners, does not request all leases at the same time.
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
from yardbank.cluster.channels.succession import DIRECT_HEIRS
from yardbank.cluster.lease.api import Leases
from yardbank.cluster.peers.parts import MembershipView

CANDIDACY_STEP = 300 * MS  # between the candidacies of two ranks
FAR_RANK_DELAY = 1500 * MS  # beyond the heirs: they hear the owner over the tree, so they wait longer for its heartbeat
MAX_RANK = 12  # beyond, all wait alike
STARTUP_PERIOD = 15 * SECOND  # so long after a start whom nothing is known of counts as a candidate too
MAX_CANDIDACIES = 8  # at a time
PATIENCE = 2  # leases: how long one is a candidate
MISSED_HEARTBEATS = 3  # after so many an owner counts as silent


@dataclass(slots=True, frozen=True)
class Orphans:
    """Channels without an owner for which the first rank is due."""

    candidates: dict[str, list[str]]  # by channel, the best first
    most: int  # channels that one gateway may have


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
        self._began = 0  # when the first channel became of interest; 0: none has

    def begin(self, now: int) -> None:
        """A channel is of interest."""
        self._began = self._began or now

    def stand(self, now: int, channel: str, own: OwnerState) -> None:
        """Request the lease."""
        self._leases.acquire(now, resource(channel))
        self._table.move(now, channel, own, OwnershipPhase.CANDIDATE)

    def end_hopeless(self, now: int) -> None:
        """Give up candidacies for channels that others took, or that lasted too long."""
        for channel in self._table.changing():
            own = self._table.channels[channel]
            if own.state != OwnershipPhase.CANDIDATE:
                continue
            taken = self._taken(channel, own)
            expired = now - own.at > self._patience(own)
            if not ((taken and not own.source) or expired or self._table.stopping):
                continue
            self._leases.release(now, resource(channel))
            own.source = ""
            own.not_before = now
            if not taken:
                own.not_before += round(self._random.uniform(0.2, 1) * self._options.term)
            self._table.move(now, channel, own, OwnershipPhase.IDLE)

    def _taken(self, channel: str, own: OwnerState) -> bool:
        """Whether another owner was heard since the candidacy began."""
        known = self._feed.known.get(channel)
        if known is None or known.over:
            return False
        return known.owner != self._membership_view.name and known.heard_at > own.at

    def _patience(self, own: OwnerState) -> int:
        if own.source:
            return self._options.overlap * 2
        return self._options.term * PATIENCE

    def replace_silent_owners(self, now: int, loads: Counter[str]) -> None:
        """Stand for channels without an owner, once this gateway's rank is due."""
        orphans = self._orphans(now)
        for channel, queue in placing.place(orphans.candidates, loads, orphans.most).items():
            if self._membership_view.name not in queue:
                continue
            own = self._table.channels[channel]
            if own.state == OwnershipPhase.IDLE:
                self._table.move(now, channel, own, OwnershipPhase.WAITING)
            own.candidacy_at = self._candidacy_time(channel, own, queue.index(self._membership_view.name))
            if now >= own.candidacy_at and self._table.changing_count() < MAX_CANDIDACIES:
                self.stand(now, channel, own)

    def _orphans(self, now: int) -> Orphans:
        strangers: frozenset[str] = frozenset()
        if now < self._began + STARTUP_PERIOD:  # at a start nobody knows who else there is
            strangers = self._members.strangers(self._membership_view.zones())
        found: dict[str, list[str]] = {}
        most = 1
        for channel, own in self._table.channels.items():
            if own.state not in NOT_REQUESTED:
                continue
            if not self._silent(now, channel):
                if own.state == OwnershipPhase.WAITING:
                    self._table.move(now, channel, own, OwnershipPhase.IDLE)
                continue
            if now >= self._candidacy_time(channel, own, 0):
                names = self._candidates(channel, strangers)
                found[channel] = self._placement.order(channel, names, self._members.followers(channel))
                most = max(most, placing.bound(len(self._table.channels), len(names)))
        return Orphans(found, most)

    def _candidates(self, channel: str, strangers: frozenset[str]) -> frozenset[str]:
        names = self._members.candidates(channel)
        known = self._feed.known.get(channel)
        if known is None:
            return names | strangers
        if known.over:
            return names
        return names - {known.owner}

    def _silent(self, now: int, channel: str) -> bool:
        known = self._feed.known.get(channel)
        if known is None or known.over:
            return True
        return now - known.heard_at > MISSED_HEARTBEATS * self._options.heartbeat

    def _candidacy_time(self, channel: str, own: OwnerState, rank: int) -> int:
        """When the candidate of a rank stands."""
        known = self._feed.known.get(channel)
        term = self._options.term
        rank = min(rank, MAX_RANK)
        if known is None:  # voters that have just started are silent for one lease
            begin = own.since + term + SECOND
        elif known.over:
            begin = max(own.at, known.heard_at)
        elif rank == 0:  # alone until the lease must be over: several that ask as it ends take votes from each other
            begin = known.heard_at + MISSED_HEARTBEATS * self._options.heartbeat
        elif rank < DIRECT_HEIRS:
            begin = known.heard_at + term
        else:
            begin = known.heard_at + term + FAR_RANK_DELAY
        return max(begin + rank * CANDIDACY_STEP, own.not_before)
