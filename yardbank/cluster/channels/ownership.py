"""Who owns a channel, as one gateway sees it. No I/O; times (ns) come in.

``Ownership`` holds the parts: ``ChannelTable`` (phases), ``Election`` (candidacies), ``Tenure`` (from grant to end),
``Succession`` (who is next) and ``Transfers`` (planned ends); it passes on what leases and other gateways say. An owner
keeps a channel until it has too many, another place is much better for long, or it stops.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from random import Random

from yardbank.cluster.channels.api import MS, PREFIX, SECOND, Options, resource
from yardbank.cluster.channels.channel_table import ChannelTable
from yardbank.cluster.channels.election import Election
from yardbank.cluster.channels.feed import Feed
from yardbank.cluster.channels.members import Members
from yardbank.cluster.channels.messages import EndedAt, EndQuery
from yardbank.cluster.channels.placement import Placement
from yardbank.cluster.channels.states import LEASED, NOT_REQUESTED, PUBLISHING, OwnershipPhase, OwnerState
from yardbank.cluster.channels.succession import Succession
from yardbank.cluster.channels.tenure import Tenure
from yardbank.cluster.channels.transfers import Transfers
from yardbank.cluster.lease.api import OWNED, Leases
from yardbank.cluster.peers.parts import MembershipView

POLL = 20 * MS  # between two polls of the leases while something changes
CONTEST_INTERVAL = SECOND  # between two requests of a lease above an epoch that others have seen
PLACEMENT_HEARTBEATS = 4  # between two looks at heirs and better places
TRANSFER_SLACK = 250 * MS  # beyond the overlap, before a successor counts as one that does not take it
SOON = 10 * MS  # after an owner's end


class Ownership:
    """All channels that this gateway would own."""

    def __init__(
        self,
        membership_view: MembershipView,
        leases: Leases,
        members: Members,
        placement: Placement,
        feed: Feed,
        options: Options,
        random: Random,
    ) -> None:
        self.heard_epoch: Callable[[int, int], object] | None = None  # tells the leases to grant above an epoch
        self.soon = 0  # an owner said that it ended: when to look who is next; 0: nothing
        self.table = ChannelTable(membership_view.name)
        self.succession = Succession(self.table, membership_view, members, placement)
        self.tenure = Tenure(self.table, leases, self.succession, feed, options)
        self.transfers = Transfers(self.table, leases, self.succession, self.tenure, members, placement, feed, options)
        self.election = Election(self.table, membership_view, leases, members, placement, feed, options, random)
        self._leases = leases
        self._feed = feed
        self._options = options
        self._expects_until = 0  # a transfer to this gateway was announced
        self._heartbeats = 0

    @property
    def channels(self) -> dict[str, OwnerState]:
        """Those of interest, with their phases."""
        return self.table.channels

    @property
    def stopping(self) -> bool:
        """Whether this gateway is about to end."""
        return self.table.stopping

    def acquire(self, now: int, channel: str) -> None:
        """Own it whenever that is this gateway's turn."""
        self.election.begin(now)
        self.channels.setdefault(channel, OwnerState(now, at=now))

    def withdraw(self, now: int, channel: str) -> None:
        """Own it no more; the next candidate takes it."""
        own = self.channels.pop(channel, None)
        if own is not None and own.state not in NOT_REQUESTED:
            self._leases.release(now, resource(channel))
            self.tenure.end(now, channel, own, "given up")
        self.table.forget(channel)

    def stop(self, now: int) -> None:
        """This gateway is about to end: all it has goes to others."""
        self.table.stopping = True
        self.check_all(now)

    def held_channels(self) -> list[str]:
        """Channels that are owned here, or about to be."""
        return self.table.leased()

    def loads(self) -> Counter[str]:
        """How many channels each gateway owns, as far as is known here."""
        return self.table.loads(self._feed.known.values())

    def epoch(self, now: int, channel: str) -> int | None:
        """Under which epoch an item may go out at this very time; None: none may."""
        own = self.channels.get(channel)
        if own is None or own.state not in PUBLISHING:
            return None
        epoch = self._leases.epoch(now, resource(channel))
        return epoch if epoch == own.epoch else None

    # Time

    def check_all(self, now: int) -> None:
        """Look after everything, at each heartbeat and whenever an owner said that it ended."""
        self.soon = 0
        self._heartbeats += 1
        self.poll(now)
        loads = self.loads()
        self.election.end_hopeless(now)
        if not self.stopping:
            self.election.replace_silent_owners(now, loads)
        self._check_owned(now, loads)

    def busy(self, now: int) -> bool:
        """Whether ``poll`` should come soon again."""
        if now < self._expects_until or self.table.changing_count():
            return True
        return self.stopping and bool(self.held_channels())

    def poll(self, now: int) -> None:
        """Take in what the leases say; at a stop, offer the next successors what the last ones did not take."""
        self._take_offers(now)
        self._take_lease_events(now)
        self._check_changing(now)
        if self.stopping:
            self.transfers.all(now)

    def _take_offers(self, now: int) -> None:
        for name, source in self._leases.offered(PREFIX):
            channel = name.removeprefix(PREFIX)
            own = self.channels.get(channel)
            if own is None or own.state in LEASED or self.stopping:
                continue
            if own.state != OwnershipPhase.CANDIDATE:
                self.election.stand(now, channel, own)
            own.source = source
            own.at = now

    def _take_lease_events(self, now: int) -> None:
        for event in self._leases.take_events(PREFIX):
            channel = event.resource.removeprefix(PREFIX)
            own = self.channels.get(channel)
            if event.what == OWNED:
                self.tenure.granted(now, channel, own, event.epoch)
            elif own is not None and own.epoch == event.epoch and own.state in LEASED:
                self.tenure.lost(now, channel, own, event.why or "the lease ended")

    def _check_changing(self, now: int) -> None:
        for channel in self.table.changing():
            own = self.channels[channel]
            if own.state == OwnershipPhase.TAKING_OVER:
                self.tenure.take_over(now, channel, own)
            elif own.state == OwnershipPhase.TRANSFERRING and now - own.at > self._options.overlap + TRANSFER_SLACK:
                own.tried.add(own.to)
                self.table.move(now, channel, own, OwnershipPhase.OWNER)

    def _check_owned(self, now: int, loads: Counter[str]) -> None:
        owned = self.table.owned()
        for channel, own in owned:
            if self._leases.epoch(now, resource(channel)) is not None:  # else its end comes as a lease event
                self._contest(now, channel, own)
        if self.stopping or self._heartbeats % PLACEMENT_HEARTBEATS:
            return
        for channel, _ in owned:
            self._feed.heirs[channel] = self.succession.heirs(channel, loads)
        self.transfers.surplus(now, loads)
        self.transfers.to_better(now, loads)

    def _contest(self, now: int, channel: str, own: OwnerState) -> None:
        """Request a lease above a higher epoch that others have seen: they drop items of this one."""
        highest = self._highest_epoch(channel)
        if highest <= own.epoch or now < own.contested_at + CONTEST_INTERVAL:
            return
        own.contested_at = now
        if self.heard_epoch is not None:
            self.heard_epoch(now, highest)
        self._leases.release(now, resource(channel))
        self.tenure.end(now, channel, own, "others have seen a higher epoch")
        self._feed.above.pop(channel, None)
        self.election.stand(now, channel, own)

    def _highest_epoch(self, channel: str) -> int:
        """The highest epoch that anybody here has heard of."""
        known = self._feed.known.get(channel)
        return max(self._feed.above.get(channel, 0), known.epoch if known is not None else 0)

    # What other gateways say

    def expect_transfer(self, now: int) -> None:
        """An owner transfers a channel to this gateway; the lease's offer may come a little later."""
        self._expects_until = now + self._options.overlap
        self.poll(now)

    def ended(self, now: int, sender: str, told: EndedAt) -> None:
        """An owner said where it ended."""
        own = self.channels.get(told.channel)
        expected = own is not None and own.source == sender
        self._feed.ended(now, sender, told, expected)
        if expected:
            self.poll(now)
        elif own is not None and own.state == OwnershipPhase.IDLE and not self.soon:
            self.soon = now + SOON

    def on_end_query(self, now: int, sender: str, asked: EndQuery) -> None:
        """A successor has the lease: this gateway ends at once, and says where."""
        own = self.channels.get(asked.channel)
        if own is not None and self._transfers_to(own, sender) and asked.epoch > own.epoch:
            self._leases.release(now, resource(asked.channel))
            self.poll(now)
            if own.state == OwnershipPhase.TRANSFERRING:
                self.tenure.lost(now, asked.channel, own, "handed on")
            return
        end = self._feed.end(asked.channel, asked.epoch)
        if end is not None:
            self._feed.send_urgent(sender, end)

    def _transfers_to(self, own: OwnerState, name: str) -> bool:
        return own.state == OwnershipPhase.TRANSFERRING and own.to == name
