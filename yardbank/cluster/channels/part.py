"""A gateway's channels as one part of the peers' node: messages and time in, messages and events out. No I/O.

Owns ``members`` (who is interested), ``placement`` and ``ownership`` (who should own what) and ``feed`` (items and
their retransmission). Bounds: ``MAX_CHANNELS`` owned or followed, ``MAX_EVENTS`` not fetched, the rate of the options.
Invariant: before an item goes out the lease is asked, and a follower drops what comes under an epoch lower than one
that it has seen; safety rests on this alone.
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
from yardbank.cluster.channels.ownership import POLL, Ownership
from yardbank.cluster.channels.placement import Distance, Placement
from yardbank.cluster.lease.api import Leases
from yardbank.cluster.peers.outbox import Rate
from yardbank.cluster.peers.parts import MembershipView, Message

MAX_EVENTS = 8192  # kept until the program fetches them; beyond, the oldest are dropped
ITEM_HEAD = 160  # octets that one item takes beside its data, in a datagram of its own


class ChannelPart:
    """See ``peers.parts.Part``. Calls that take a time are for the program; ``prompt`` the link afterwards."""

    topic = "feed"

    def __init__(
        self, membership_view: MembershipView, leases: Leases, random: Random, options: Options, distance: Distance
    ) -> None:
        self.rate: tuple[int, int] | None = (options.rate, options.burst)
        self.lost_events = 0
        self.on_events: Callable[[], None] | None = (
            None  # called when ``events`` has something; it should not act at once
        )
        self.membership_view, self.options = membership_view, options
        self.members = Members(membership_view.name)
        self.placement = Placement(distance)
        self.feed = Feed(membership_view.name, options, random)
        self.ownership = Ownership(membership_view, leases, self.members, self.placement, self.feed, options, random)
        self._random = random
        self._budget = Rate(options.rate * 3 // 4, options.burst * 3 // 4)  # of items that start here
        self._follows: dict[str, bool] = {}  # by channel: whether only the newest counts
        self._neighbours = Neighbours(membership_view)
        self._seen_changes = -1
        self._next_beat = self._next_poll = self._next_mend = 0
        self._now = 0

    # The program's side

    def own(self, now: int, channel: str) -> None:
        """Own a channel whenever that is this gateway's turn. Raises ``ValueError``: a wrong name, one too many."""
        self._check(channel)
        self.ownership.acquire(now, channel)
        self._changed(now)

    def disown(self, now: int, channel: str) -> None:
        """Own it no more."""
        self.ownership.withdraw(now, channel)
        self._changed(now)

    def follow(self, now: int, channel: str, latest: bool = False) -> None:
        """Take its items. ``latest``: only the newest counts, gaps are of no interest. Raises ``ValueError``."""
        self._check(channel)
        self._follows[channel] = latest
        self._changed(now)

    def unfollow(self, now: int, channel: str) -> None:
        """Take no more of its items."""
        self._follows.pop(channel, None)
        self._changed(now)

    def publish(self, now: int, channel: str, data: bytes) -> str:
        """Give out an item; "" if that was done, otherwise the reason why not."""
        if len(data) > MAX_DATA:
            return f"too long: {len(data)} octets, {MAX_DATA} allowed"
        if self.ownership.epoch(now, channel) is None:
            return "not the owner"
        if self._budget.left(now) <= 0:
            return "full"
        sent = self.feed.publish(now, channel, data)
        self._budget.spend((len(data) + ITEM_HEAD) * max(1, sent))
        return ""

    def stopping(self, now: int) -> None:
        """Transfer all channels; that is done when ``held_channels`` is empty."""
        self.ownership.stop(now)
        self._changed(now)

    def held_channels(self) -> list[str]:
        """Channels owned here, or about to be."""
        return self.ownership.held_channels()

    def prefer(self, order: Callable[[Iterable[str]], Sequence[str]] | None) -> None:
        """Who should be next at a planned end: of some gateways those that are preferred, the best first."""
        self.ownership.succession.prefer = order

    def events(self) -> list[Event]:
        """What happened to channels here since this was asked last."""
        found, self.feed.events = self.feed.events, []
        return found

    def _check(self, channel: str) -> None:
        if not 0 < len(channel.encode()) <= 64 - len(PREFIX):
            raise ValueError(f"channel {channel!r}: a name has 1 to {64 - len(PREFIX)} octets")
        taken = self._taken()
        if channel not in taken and len(taken) >= MAX_CHANNELS:
            raise ValueError(f"channel {channel!r}: {MAX_CHANNELS} are carried or followed here, no more")

    def _taken(self) -> set[str]:
        return self.ownership.channels.keys() | self._follows.keys()

    # The node's side

    def listed(self, now: int) -> None:
        """The list has changed."""
        zones = self.membership_view.zones()
        self.feed.boot_epoch = self.membership_view.boot_epoch
        self.members.listed(zones)
        self.placement.listed(zones)
        self._neighbours.listed(zones)
        self._next_beat = self._next_beat or now + self._random.randrange(self.options.heartbeat)
        self._look_around(now)

    def receive(self, now: int, sender: str, boot_epoch: int, body: bytes) -> None:
        """A message of another gateway. Raises ``DroppedError`` with the reason."""
        self._now = now
        message = wire.decode(body)
        if isinstance(message, InterestDigest | InterestQuery | InterestSet):
            self._receive_interests(sender, boot_epoch, message)
        elif isinstance(message, EndedAt | EndQuery | TransferNotice):
            self._receive_ownership(now, sender, message)
        else:
            self._receive_feed(now, sender, message)
        self._tell_events()

    def _receive_feed(
        self, now: int, sender: str, message: Item | Heartbeat | Subscribe | Retransmit | OwnerQuery
    ) -> None:
        match message:
            case Item():
                self.feed.item(now, sender, message)
            case Heartbeat():
                self.feed.heartbeat(now, sender, message.states)
            case Subscribe():
                self.feed.subscribe(now, sender, message.channels)
            case Retransmit():
                self.feed.retransmit(sender, message)
            case OwnerQuery():
                self.feed.answer(now, sender, message.channels)

    def _receive_ownership(self, now: int, sender: str, message: EndedAt | EndQuery | TransferNotice) -> None:
        match message:
            case EndedAt():
                self.ownership.ended(now, sender, message)
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
                self._neighbours.known(sender)
            case InterestQuery():
                for part in self.members.on_interest_query(message):
                    self._send(sender, part)
            case InterestSet():
                self.members.on_interest_set(message)

    def tick(self, now: int) -> None:
        """Time has passed."""
        self._now = now
        if now >= self._next_beat:
            self._next_beat = now + self.options.heartbeat
            self._look_around(now)
            for name in self._neighbours.due(now, self.options.heartbeat):
                self._send(name, self.members.digest_for(name))
            self.feed.tick(now)
            self.ownership.check_all(now)
        elif self.ownership.soon and now >= self.ownership.soon:
            self.ownership.check_all(now)
        elif self.ownership.busy(now) and now >= self._next_poll:
            self._next_poll = now + POLL
            self.ownership.poll(now)
        if now >= self._next_mend and self.feed.waits():
            self._next_mend = now + RETRANSMIT_INTERVAL // 4
            self.feed.mend(now)
        self._tell_events()

    def next_at(self) -> int | None:
        """When ``tick`` is due."""
        times = [self._next_beat]
        if self.ownership.soon:
            times.append(self.ownership.soon)
        if self.ownership.busy(self._now):
            times.append(self._next_poll)
        if self.feed.waits():
            times.append(self._next_mend)
        return min(times)

    def outgoing_messages(self) -> list[Message]:
        """What is to be sent."""
        found, self.feed.outgoing_messages = self.feed.outgoing_messages, []
        return found

    def view(self, now: int) -> dict[str, Any]:
        """What an operator should see."""
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
                    "over": known.over,
                }
                for channel, known in feed.known.items()
            },
            "states": {channel: own.state.value for channel, own in self.ownership.channels.items()},
            "moves": {f"{old} {new}": count for (old, new), count in self.ownership.table.moves.items()},
            "broken_parents": feed.subscriptions.broken,
            "refused_children": feed.subscriptions.refused,
            "odd": feed.rejected_leaps,
            "lost_events": self.lost_events,
        }

    def _look_around(self, now: int) -> None:
        self.members.here(self._neighbours.look(now, self.members))
        self._changed(now)

    def _changed(self, now: int) -> None:
        owns = () if self.ownership.stopping else self.ownership.channels
        self.feed.followed = self._follows.keys()
        if self.members.change(owns, self._follows):
            for name in sorted(self.membership_view.alive()):
                self._send(name, self.members.digest_for(name))
        if self.members.changes != self._seen_changes:
            self._seen_changes = self.members.changes
            self.placement.keep(self._taken())
            latest = {channel for channel, only in self._follows.items() if only}
            self.feed.joined({channel: self.members.followers(channel) for channel in sorted(self._taken())}, latest)

    def _send(self, to: str, message: wire.ChannelMessage) -> None:
        self.feed.outgoing_messages.append(Message(to, wire.encode(message)))

    def _tell_events(self) -> None:
        surplus = len(self.feed.events) - MAX_EVENTS
        if surplus > 0:  # the program did not fetch them
            self.lost_events += surplus
            del self.feed.events[:surplus]
        if self.feed.events and self.on_events is not None:
            self.on_events()
