"""A gateway's channels as one part of the gossip node: messages and time in, messages and events out. No I/O.

Combines ``members`` (who is interested), ``placement`` and ``ownership`` (who owns what) and ``feed`` (items and their
retransmission). Bounds: ``MAX_CHANNELS`` owned or followed, ``MAX_EVENTS`` not fetched, the rate in the options.
Invariant: an item is published only after asking the lease, and a follower drops items of an epoch lower than one that
it has seen; safety rests on this alone.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from random import Random
from typing import Any

from yardbank.cluster.channels import messages as wire
from yardbank.cluster.channels.api import MAX_CHANNELS, MAX_DATA, MS, PREFIX, Event, Options
from yardbank.cluster.channels.feed import Feed
from yardbank.cluster.channels.items import RETRANSMIT_INTERVAL
from yardbank.cluster.channels.members import Members
from yardbank.cluster.channels.messages import (
    EndedAt,
    EndQuery,
    Heartbeat,
    InterestDigest,
    InterestQuery,
    InterestSet,
    Item,
    OwnerQuery,
    Retransmit,
    Subscribe,
    TransferNotice,
)
from yardbank.cluster.channels.neighbours import Neighbours
from yardbank.cluster.channels.ownership import POLL_INTERVAL, Ownership
from yardbank.cluster.channels.placement import LatencyLookup, Placement
from yardbank.cluster.lease.api import Leases
from yardbank.cluster.peers.outbox import Rate
from yardbank.cluster.peers.parts import MembershipView, Message

MAX_EVENTS = 8192  # kept until the program fetches them; beyond that the oldest are dropped
ITEM_OVERHEAD = 160  # octets of an item sent in a datagram of its own, without its data


class ChannelPart:
    """See ``peers.parts.Part``. The program calls the methods with a time, then prompts the link to send."""

    topic = "feed"

    def __init__(
        self,
        membership_view: MembershipView,
        leases: Leases,
        random: Random,
        options: Options,
        latency_lookup: LatencyLookup,
    ) -> None:
        self.rate: tuple[int, int] | None = (options.rate, options.burst)
        self.lost_events = 0
        # Called when ``events`` has something to return; it should only schedule the work.
        self.on_events: Callable[[], None] | None = None
        self.membership_view, self.options = membership_view, options
        self.members = Members(membership_view.name)
        self.placement = Placement(latency_lookup)
        self.feed = Feed(membership_view.name, options, random)
        self.ownership = Ownership(membership_view, leases, self.members, self.placement, self.feed, options, random)
        self._random = random
        self._budget = Rate(options.rate * 3 // 4, options.burst * 3 // 4)  # for items published here
        self._follows: dict[str, bool] = {}  # by channel: whether only the newest item counts
        self._neighbours = Neighbours(membership_view)
        self._seen_revision = -1
        self._next_heartbeat = self._next_poll = self._next_missing_check = 0
        self._now = 0

    # Called by the program

    def own(self, now: int, channel: str) -> None:
        """Own a channel whenever it is this gateway's turn. Raises ``ValueError`` for a bad name or one too many."""
        self._check(channel)
        self.ownership.acquire(now, channel)
        self._update_interests(now)

    def disown(self, now: int, channel: str) -> None:
        """Stop owning a channel."""
        self.ownership.withdraw(now, channel)
        self._update_interests(now)

    def follow(self, now: int, channel: str, latest: bool = False) -> None:
        """Receive a channel's items. Raises ``ValueError`` for a bad name or one too many.

        ``latest``: only the newest item counts, and gaps are not reported.
        """
        self._check(channel)
        self._follows[channel] = latest
        self._update_interests(now)

    def unfollow(self, now: int, channel: str) -> None:
        """Stop receiving a channel's items."""
        self._follows.pop(channel, None)
        self._update_interests(now)

    def publish(self, now: int, channel: str, data: bytes) -> str:
        """Publish an item; returns "" on success, otherwise the reason for the refusal."""
        if len(data) > MAX_DATA:
            return f"too long: {len(data)} octets, {MAX_DATA} allowed"
        if self.ownership.epoch(now, channel) is None:
            return "not the owner"
        if self._budget.left(now) <= 0:
            return "full"
        sent = self.feed.publish(now, channel, data)
        self._budget.spend((len(data) + ITEM_OVERHEAD) * max(1, sent))
        return ""

    def stopping(self, now: int) -> None:
        """Transfer all channels; finished when ``held_channels`` is empty."""
        self.ownership.stop(now)
        self._update_interests(now)

    def held_channels(self) -> list[str]:
        """Channels owned here, or about to be."""
        return self.ownership.held_channels()

    def prefer(self, order: Callable[[Iterable[str]], Sequence[str]] | None) -> None:
        """Set the preference among successors at a planned end.

        The function returns the preferred ones of some gateways, best first.
        """
        self.ownership.succession.prefer = order

    def events(self) -> list[Event]:
        """Return and clear the events since the last call."""
        found, self.feed.events = self.feed.events, []
        return found

    def _check(self, channel: str) -> None:
        if not 0 < len(channel.encode()) <= 64 - len(PREFIX):
            raise ValueError(f"channel {channel!r}: the name must have 1 to {64 - len(PREFIX)} octets")
        in_use = self._channels_in_use()
        if channel not in in_use and len(in_use) >= MAX_CHANNELS:
            raise ValueError(f"channel {channel!r}: the limit of {MAX_CHANNELS} owned or followed channels is reached")

    def _channels_in_use(self) -> set[str]:
        return self.ownership.channels.keys() | self._follows.keys()

    # Called by the node

    def listed(self, now: int) -> None:
        """The list of gateways has changed."""
        zones = self.membership_view.zones()
        self.feed.boot_epoch = self.membership_view.boot_epoch
        self.members.listed(zones)
        self.placement.listed(zones)
        self._neighbours.listed(zones)
        self._next_heartbeat = self._next_heartbeat or now + self._random.randrange(self.options.heartbeat)
        self._update_presence(now)

    def receive(self, now: int, sender: str, boot_epoch: int, body: bytes) -> None:
        """Handle a message of another gateway. Raises ``DroppedError`` with the reason."""
        self._now = now
        message = wire.decode(body)
        if isinstance(message, InterestDigest | InterestQuery | InterestSet):
            self._receive_interests(sender, boot_epoch, message)
        elif isinstance(message, EndedAt | EndQuery | TransferNotice):
            self._receive_ownership(now, sender, message)
        else:
            self._receive_feed(now, sender, message)
        self._notify_events()

    def _receive_feed(
        self, now: int, sender: str, message: Item | Heartbeat | Subscribe | Retransmit | OwnerQuery
    ) -> None:
        match message:
            case Item():
                self.feed.on_item(now, sender, message)
            case Heartbeat():
                self.feed.on_heartbeat(now, sender, message.states)
            case Subscribe():
                self.feed.on_subscribe(now, sender, message.channels)
            case Retransmit():
                self.feed.on_retransmit(sender, message)
            case OwnerQuery():
                self.feed.on_owner_query(now, sender, message.channels)

    def _receive_ownership(self, now: int, sender: str, message: EndedAt | EndQuery | TransferNotice) -> None:
        match message:
            case EndedAt():
                self.ownership.on_epoch_end(now, sender, message)
            case EndQuery():
                self.ownership.on_end_query(now, sender, message)
            case TransferNotice():
                self._next_poll = now
                self.ownership.expect_transfer(now)

    def _receive_interests(
        self, sender: str, boot_epoch: int, message: InterestDigest | InterestQuery | InterestSet
    ) -> None:
        match message:
            case InterestDigest():
                for answer in self.members.on_interest_digest(sender, boot_epoch, message):
                    self._send(sender, answer)
                self._neighbours.interests_received(sender)
            case InterestQuery():
                for part in self.members.on_interest_query(message):
                    self._send(sender, part)
            case InterestSet():
                self.members.on_interest_set(message)

    def tick(self, now: int) -> None:
        """Do what is due."""
        self._now = now
        if now >= self._next_heartbeat:
            self._next_heartbeat = now + self.options.heartbeat
            self._update_presence(now)
            for name in self._neighbours.due(now, self.options.heartbeat):
                self._send(name, self.members.digest_for(name))
            self.feed.tick(now)
            self.ownership.check_all(now)
        elif self.ownership.check_at and now >= self.ownership.check_at:
            self.ownership.check_all(now)
        elif self.ownership.needs_poll(now) and now >= self._next_poll:
            self._next_poll = now + POLL_INTERVAL
            self.ownership.poll(now)
        if now >= self._next_missing_check and self.feed.has_incomplete():
            self._next_missing_check = now + RETRANSMIT_INTERVAL // 4
            self.feed.request_missing(now)
        self._notify_events()

    def next_at(self) -> int | None:
        """When ``tick`` is due."""
        times = [self._next_heartbeat]
        if self.ownership.check_at:
            times.append(self.ownership.check_at)
        if self.ownership.needs_poll(self._now):
            times.append(self._next_poll)
        if self.feed.has_incomplete():
            times.append(self._next_missing_check)
        return min(times)

    def outgoing_messages(self) -> list[Message]:
        """Return and clear the messages to send."""
        found, self.feed.outgoing_messages = self.feed.outgoing_messages, []
        return found

    def view(self, now: int) -> dict[str, Any]:
        """State shown to operators."""
        feed = self.feed
        return {
            "carried": {
                name: {"epoch": one.epoch, "sequence": one.sequence} for name, one in feed.owned_channels.items()
            },
            "channels": {
                channel: {
                    "owner": known.owner,
                    "epoch": known.epoch,
                    "sequence": known.sequence,
                    "heard_ms": (now - known.heard_at) // MS,
                    "over": known.ended,
                }
                for channel, known in feed.known.items()
            },
            "states": {channel: owner_state.phase.value for channel, owner_state in self.ownership.channels.items()},
            "moves": {f"{old} {new}": count for (old, new), count in self.ownership.table.moves.items()},
            "broken_parents": feed.subscriptions.broken,
            "refused_children": feed.subscriptions.refused,
            "odd": feed.rejected_leaps,
            "lost_events": self.lost_events,
        }

    def _update_presence(self, now: int) -> None:
        self.members.set_present(self._neighbours.update(now, self.members))
        self._update_interests(now)

    def _update_interests(self, now: int) -> None:
        owns = () if self.ownership.stopping else self.ownership.channels
        self.feed.followed = self._follows.keys()
        if self.members.set_own_interests(owns, self._follows):
            for name in sorted(self.membership_view.alive()):
                self._send(name, self.members.digest_for(name))
        if self.members.revision != self._seen_revision:
            self._seen_revision = self.members.revision
            self.placement.keep(self._channels_in_use())
            latest = {channel for channel, only in self._follows.items() if only}
            self.feed.set_followers(
                {channel: self.members.followers(channel) for channel in sorted(self._channels_in_use())}, latest
            )

    def _send(self, to: str, message: wire.ChannelMessage) -> None:
        self.feed.outgoing_messages.append(Message(to, wire.encode(message)))

    def _notify_events(self) -> None:
        surplus = len(self.feed.events) - MAX_EVENTS
        if surplus > 0:  # the program has not fetched them
            self.lost_events += surplus
            del self.feed.events[:surplus]
        if self.feed.events and self.on_events is not None:
            self.on_events()
