"""Messages that a gateway sends about channels on its own: heartbeats, subscriptions, retransmission requests. No I/O.

A heartbeat names the newest item, so that the loss of the last item is detected too, and how long ago the owner was
heard, so that a gateway behind a broken path does not take the owner for alive.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass
from random import Random

from yardbank.cluster.channels import messages as wire
from yardbank.cluster.channels.api import MS, Delivered, Event, Gap, Options
from yardbank.cluster.channels.items import RecentItems, Stream
from yardbank.cluster.channels.messages import ChannelState, FollowerProgress, Item, ItemPosition, Retransmit
from yardbank.cluster.channels.subscriptions import Subscriptions
from yardbank.cluster.peers.parts import Message


@dataclass(slots=True)
class KnownChannel:
    """The newest known state of a channel; ``heard_at``: when its owner was heard, on the local clock (ns)."""

    epoch: int
    sequence: int
    owner: str
    boot_epoch: int
    heard_at: int
    previous_end: ItemPosition | None = None
    ended: bool = False  # the owner itself reported the end of its epoch


@dataclass(slots=True)
class OwnedChannel:
    """A channel that this gateway owns now, and its newest item."""

    epoch: int
    sequence: int
    previous_end: ItemPosition | None


class Outgoing:
    """Known states of channels, and the messages derived from them."""

    def __init__(self, name: str, options: Options, random: Random) -> None:
        self.name, self.boot_epoch = name, 0
        self.known: dict[str, KnownChannel] = {}
        self.higher_epochs: dict[str, int] = {}  # channels owned here of which others have seen a higher epoch
        self.standbys: dict[str, list[str]] = {}  # by channel owned here: the gateways next in line
        self.subscriptions = Subscriptions(name, options.fan_out, random)
        self.outgoing_messages: list[Message] = []
        self.events: list[Event] = []
        self.incomplete: set[str] = set()  # channels with missing items
        self.followed: Collection[str] = ()  # channels with local listeners; items of the others are only forwarded
        self.owned_channels: dict[str, OwnedChannel] = {}
        self.epoch_ends: dict[str, ItemPosition] = {}  # the latest end of an epoch reported by an owner
        self.rejected_leaps = 0  # items and states too far above the known ones
        self._random, self._heartbeat_interval = random, options.heartbeat
        self.streams: dict[str, Stream] = {}
        self.recent: dict[str, RecentItems] = {}
        self._heartbeat_count = 0

    def targets(self, now: int, channel: str, standbys: bool = False) -> list[str]:
        """Gateways that receive items of a channel from this one, optionally with the standbys."""
        found = {*self.subscriptions.children(now, channel)}
        if channel in self.owned_channels:
            found.update(self.subscriptions.roots(channel, self.name))
            if standbys:
                found.update(self.standbys.get(channel, ()))
        return sorted(found - {self.name})

    def send_item(self, item: Item, to: Iterable[str]) -> None:
        """Send an item to some gateways."""
        body = wire.encode(item)
        self.outgoing_messages += [Message(name, body) for name in to]

    def send_urgent(self, to: str, message: wire.ChannelMessage) -> None:
        """Send a message without waiting for the next batch."""
        self.outgoing_messages.append(Message(to, wire.encode(message), urgent=True))

    def tick(self, now: int) -> None:
        """A heartbeat is due: choose parents, renew subscriptions, send states to children and standbys."""
        self._heartbeat_count += 1
        owners = {channel: "" if known.ended else known.owner for channel, known in self.known.items()}
        changed = self.subscriptions.update_parents(now, owners)
        self._subscribe(self.streams if self._heartbeat_count % 4 == 0 else changed)
        to: dict[str, list[str]] = {}
        for channel in self.streams:
            if channel in self.owned_channels:
                for name in self.targets(now, channel, standbys=True):
                    to.setdefault(name, []).append(channel)
            elif self._heartbeat_count % 2 == 0 and channel in self.known:
                for name in self.targets(now, channel):
                    to.setdefault(name, []).append(channel)
        self.send_states(now, to)

    def request_missing(self, now: int) -> None:
        """Request missing items again, or give them up."""
        for channel in sorted(self.incomplete):
            stream = self.streams[channel]
            stream.tick(now)
            self.flush(stream)
            if (missing := stream.missing(now)) is not None and (to := self._retransmit_source(channel)):
                body = wire.encode(Retransmit(channel, missing.epoch, missing.first, missing.last))
                self.outgoing_messages.append(Message(to, body))

    def _retransmit_source(self, channel: str) -> str:
        """The parent or the owner, chosen at random, in case one of them lacks the items or is unreachable."""
        known = self.known.get(channel)
        names = [name for name in (self.subscriptions.parent(channel), known.owner if known else "") if name]
        names = [name for name in names if name != self.name]
        return self._random.choice(names) if names else ""

    def has_incomplete(self) -> bool:
        """Whether ``request_missing`` has something to do."""
        return bool(self.incomplete)

    def _subscribe(self, channels: Iterable[str]) -> None:
        by_parent: dict[str, list[FollowerProgress]] = {}
        for channel in channels:
            if parent := self.subscriptions.parent(channel):
                by_parent.setdefault(parent, []).append(FollowerProgress(channel, *self.streams[channel].position))
        for parent, progress in by_parent.items():
            self.outgoing_messages += [Message(parent, body) for body in wire.encode_subscriptions(progress)]

    def on_owner_query(self, now: int, requester: str, channels: Iterable[str]) -> None:
        """Answer a query for the owners of channels."""
        self.send_states(now, {requester: [channel for channel in channels if channel in self.streams]})

    def send_states(self, now: int, channels: Mapping[str, Iterable[str]], urgent: bool = False) -> None:
        """Send states of channels to gateways; ``urgent`` messages are exempt from the rate limit."""
        for to, some in channels.items():
            states = [state for channel in some if (state := self._state(now, channel)) is not None]
            self.outgoing_messages += [Message(to, body, urgent) for body in wire.encode_heartbeats(states)]

    def _state(self, now: int, channel: str) -> ChannelState | None:
        owned, known = self.owned_channels.get(channel), self.known.get(channel)
        if owned is not None and (known is None or known.epoch <= owned.epoch):
            return ChannelState(channel, owned.epoch, owned.sequence, 0, self.name, self.boot_epoch, owned.previous_end)
        if known is None or known.ended:
            return None
        age = max(0, now - known.heard_at) // MS
        return ChannelState(
            channel, known.epoch, known.sequence, age, known.owner, known.boot_epoch, known.previous_end
        )

    def flush(self, stream: Stream) -> None:
        """Pass on the items that a stream has ready, and track whether it misses any."""
        if stream.is_waiting():
            self.incomplete.add(stream.channel)
        else:
            self.incomplete.discard(stream.channel)
        for one in stream.out:
            if stream.channel not in self.followed:
                continue
            if isinstance(one, Gap):
                self.events.append(one)
            else:
                self.events.append(Delivered(one.channel, one.epoch, one.sequence, one.data, one.owner, one.boot_epoch))
        stream.out.clear()
