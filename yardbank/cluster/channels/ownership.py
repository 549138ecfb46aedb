"""Who owns a channel, as seen by one gateway. No I/O; times are passed in (ns).

``Ownership`` combines ``ChannelTable`` (phases), ``Election`` (candidacies), ``Tenure`` (from grant to end of a lease),
``Succession`` (who is next) and ``Transfers`` (planned ends), and dispatches lease events and messages of other
gateways to them. An owner keeps a channel until it has too many, another gateway has been much better placed for a
while, or it stops.
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

POLL_INTERVAL = 20 * MS  # interval between polls of the leases while a channel changes its owner
CONTEST_INTERVAL = SECOND  # between two requests for a lease above an epoch that others have seen
PLACEMENT_HEARTBEATS = 4  # between two updates of standbys and checks for better places
TRANSFER_SLACK = 250 * MS  # time beyond the overlap before a transfer to a successor counts as failed
EPOCH_END_CHECK_DELAY = 10 * MS  # after an owner reported the end of its epoch


class Ownership:
    """All channels that this gateway owns or would own."""

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
        self.heard_epoch: Callable[[int, int], object] | None = None  # makes the leases grant only epochs above one
        self.check_at = 0  # when to check for the next owner after one reported its end; 0: not due
        self.table = ChannelTable(membership_view.name)
        self.succession = Succession(self.table, membership_view, members, placement)
        self.tenure = Tenure(self.table, leases, self.succession, feed, options)
        self.transfers = Transfers(self.table, leases, self.succession, self.tenure, members, placement, feed, options)
        self.election = Election(self.table, membership_view, leases, members, placement, feed, options, random)
        self._leases = leases
        self._feed = feed
        self._options = options
        self._expects_transfer_until = 0  # set when a transfer to this gateway was announced
        self._heartbeats = 0

    @property
    def channels(self) -> dict[str, OwnerState]:
        """These channels, with their phases."""
        return self.table.channels

    @property
    def stopping(self) -> bool:
        """Whether this gateway is shutting down."""
        return self.table.stopping

    def acquire(self, now: int, channel: str) -> None:
        """Own a channel whenever it is this gateway's turn."""
        self.election.channel_added(now)
        self.channels.setdefault(channel, OwnerState(now, phase_since=now))

    def withdraw(self, now: int, channel: str) -> None:
        """Stop owning a channel; the next candidate takes it."""
        owner_state = self.channels.pop(channel, None)
        if owner_state is not None and owner_state.phase not in NOT_REQUESTED:
            self._leases.release(now, resource(channel))
            self.tenure.end(now, channel, owner_state, "given up")
        self.table.forget(channel)

    def stop(self, now: int) -> None:
        """This gateway is shutting down: transfer all its channels."""
        self.table.stopping = True
        self.check_all(now)

    def held_channels(self) -> list[str]:
        """Channels that are owned here, or about to be."""
        return self.table.leased()

    def loads(self) -> Counter[str]:
        """Number of channels that each gateway owns, as far as this gateway knows."""
        return self.table.loads(self._feed.known.values())

    def epoch(self, now: int, channel: str) -> int | None:
        """The epoch under which an item may be published right now; None if none may."""
        owner_state = self.channels.get(channel)
        if owner_state is None or owner_state.phase not in PUBLISHING:
            return None
        epoch = self._leases.epoch(now, resource(channel))
        return epoch if epoch == owner_state.epoch else None

    # Timers

    def check_all(self, now: int) -> None:
        """Check all channels; called at each heartbeat and soon after an owner reported its end."""
        self.check_at = 0
        self._heartbeats += 1
        self.poll(now)
        loads = self.loads()
        self.election.withdraw_candidacies(now)
        if not self.stopping:
            self.election.replace_silent_owners(now, loads)
        self._check_owned(now, loads)

    def needs_poll(self, now: int) -> bool:
        """Whether ``poll`` should be called again soon."""
        if now < self._expects_transfer_until or self.table.changing_count():
            return True
        return self.stopping and bool(self.held_channels())

    def poll(self, now: int) -> None:
        """Process lease offers and events; while stopping, offer unclaimed channels to the next successors."""
        self._take_offers(now)
        self._take_lease_events(now)
        self._check_changing(now)
        if self.stopping:
            self.transfers.transfer_all(now)

    def _take_offers(self, now: int) -> None:
        for name, source in self._leases.offered(PREFIX):
            channel = name.removeprefix(PREFIX)
            owner_state = self.channels.get(channel)
            if owner_state is None or owner_state.phase in LEASED or self.stopping:
                continue
            if owner_state.phase != OwnershipPhase.CANDIDATE:
                self.election.become_candidate(now, channel, owner_state)
            owner_state.offered_by = source
            owner_state.phase_since = now

    def _take_lease_events(self, now: int) -> None:
        for event in self._leases.take_events(PREFIX):
            channel = event.resource.removeprefix(PREFIX)
            owner_state = self.channels.get(channel)
            if event.what == OWNED:
                self.tenure.granted(now, channel, owner_state, event.epoch)
            elif owner_state is not None and owner_state.epoch == event.epoch and owner_state.phase in LEASED:
                self.tenure.lost(now, channel, owner_state, event.why or "the lease ended")

    def _check_changing(self, now: int) -> None:
        for channel in self.table.changing():
            owner_state = self.channels[channel]
            if owner_state.phase == OwnershipPhase.TAKING_OVER:
                self.tenure.take_over(now, channel, owner_state)
            elif (
                owner_state.phase == OwnershipPhase.TRANSFERRING
                and now - owner_state.phase_since > self._options.overlap + TRANSFER_SLACK
            ):
                owner_state.failed_successors.add(owner_state.successor)
                self.table.move(now, channel, owner_state, OwnershipPhase.OWNER)

    def _check_owned(self, now: int, loads: Counter[str]) -> None:
        owned = self.table.owned()
        for channel, owner_state in owned:
            if self._leases.epoch(now, resource(channel)) is not None:  # otherwise a lease event reports its end
                self._request_above_highest_epoch(now, channel, owner_state)
        if self.stopping or self._heartbeats % PLACEMENT_HEARTBEATS:
            return
        for channel, _ in owned:
            self._feed.standbys[channel] = self.succession.standbys(channel, loads)
        self.transfers.rebalance(now, loads)
        self.transfers.to_better(now, loads)

    def _request_above_highest_epoch(self, now: int, channel: str, owner_state: OwnerState) -> None:
        """Request a lease above a higher epoch that others have seen: they drop items of the current one."""
        highest = self._highest_epoch(channel)
        if highest <= owner_state.epoch or now < owner_state.contested_at + CONTEST_INTERVAL:
            return
        owner_state.contested_at = now
        if self.heard_epoch is not None:
            self.heard_epoch(now, highest)
        self._leases.release(now, resource(channel))
        self.tenure.end(now, channel, owner_state, "others have seen a higher epoch")
        self._feed.higher_epochs.pop(channel, None)
        self.election.become_candidate(now, channel, owner_state)

    def _highest_epoch(self, channel: str) -> int:
        """The highest epoch that this gateway has heard of, directly or from its children."""
        known = self._feed.known.get(channel)
        return max(self._feed.higher_epochs.get(channel, 0), known.epoch if known is not None else 0)

    # Messages from other gateways

    def expect_transfer(self, now: int) -> None:
        """An owner is transferring a channel to this gateway; the lease offer may arrive a little later."""
        self._expects_transfer_until = now + self._options.overlap
        self.poll(now)

    def on_epoch_end(self, now: int, sender: str, message: EndedAt) -> None:
        """An owner reported the end of its epoch."""
        owner_state = self.channels.get(message.channel)
        expected = owner_state is not None and owner_state.offered_by == sender
        self._feed.on_epoch_end(now, sender, message, expected)
        if expected:
            self.poll(now)
        elif owner_state is not None and owner_state.phase == OwnershipPhase.IDLE and not self.check_at:
            self.check_at = now + EPOCH_END_CHECK_DELAY

    def on_end_query(self, now: int, sender: str, query: EndQuery) -> None:
        """A successor has the lease: end this gateway's ownership at once and report where it ended."""
        owner_state = self.channels.get(query.channel)
        if owner_state is not None and self._transfers_to(owner_state, sender) and query.epoch > owner_state.epoch:
            self._leases.release(now, resource(query.channel))
            self.poll(now)
            if owner_state.phase == OwnershipPhase.TRANSFERRING:
                self.tenure.lost(now, query.channel, owner_state, "handed on")
            return
        end = self._feed.own_epoch_end(query.channel, query.epoch)
        if end is not None:
            self._feed.send_urgent(sender, end)

    def _transfers_to(self, owner_state: OwnerState, name: str) -> bool:
        return owner_state.phase == OwnershipPhase.TRANSFERRING and owner_state.successor == name
