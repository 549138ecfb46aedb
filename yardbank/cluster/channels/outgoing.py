"""What one gateway sends of its channels by itself: heartbeats, subscriptions, requests to retransmit. No I/O.

A heartbeat says which item is the newest, so that the loss of the last item is noticed too, and how long ago the owner
was heard: a broken path is not taken for a living owner.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass
from random import Random

from yardbank.cluster.channels import messages as wire
from yardbank.cluster.channels.api import MS, Delivered, Event, Gap, Options
from yardbank.cluster.channels.items import Recent, Stream
from yardbank.cluster.channels.messages import ChannelState, FollowerProgress, Item, ItemPosition, Retransmit
from yardbank.cluster.channels.subscriptions import Subscriptions
from yardbank.cluster.peers.parts import Message


@dataclass(slots=True)
class Known:
    """The newest that is known of a channel; ``heard_at``: when its owner was heard, on this gateway's clock (ns)."""

    epoch: int
    sequence: int
    owner: str
    boot_epoch: int
    heard_at: int
    after: ItemPosition | None = None
    over: bool = False  # the owner said itself that it is none any more


@dataclass(slots=True)
class OwnedChannel:
    """A channel that this gateway owns now, and its newest item."""

    epoch: int
    sequence: int
    after: ItemPosition | None


class Outgoing:
    """What is known of channels here, and the messages that follow from it."""

    def __init__(self, name: str, options: Options, random: Random) -> None:
        self.name, self.boot_epoch = name, 0
        self.known: dict[str, Known] = {}
        self.above: dict[str, int] = {}  # channels carried here of which others have seen a higher epoch
        self.heirs: dict[str, list[str]] = {}  # by channel carried here: who would be next
        self.subscriptions = Subscriptions(name, options.fan_out, random)
        self.outgoing_messages: list[Message] = []
        self.events: list[Event] = []
        self.waiting: set[str] = set()  # channels of which something is missing
        self.followed: Collection[str] = ()  # here, by listeners: the others only pass through
        self.owned_channels: dict[str, OwnedChannel] = {}
        self.ends: dict[str, ItemPosition] = {}  # where an owner said that it ended, the latest
        self.rejected_leaps = 0  # items and states too far beyond what is known
        self._random, self._beat = random, options.heartbeat
        self.streams: dict[str, Stream] = {}
        self.recent: dict[str, Recent] = {}
        self._beats = 0

    def targets(self, now: int, channel: str, heirs: bool = False) -> list[str]:
        """Who gets items of a channel from this gateway; ``heirs``: whoever may own it next, too."""
        found = {*self.subscriptions.children(now, channel)}
        if channel in self.owned_channels:
            found.update(self.subscriptions.roots(channel, self.name))
            if heirs:
                found.update(self.heirs.get(channel, ()))
        return sorted(found - {self.name})

    def send_item(self, item: Item, to: Iterable[str]) -> None:
        """Send an item to some gateways."""
        body = wire.encode(item)
        self.outgoing_messages += [Message(name, body) for name in to]

    def send_urgent(self, to: str, message: wire.ChannelMessage) -> None:
        """A message that does not wait for the next batch."""
        self.outgoing_messages.append(Message(to, wire.encode(message), urgent=True))

    def tick(self, now: int) -> None:
        """A heartbeat is due: choose parents, renew subscriptions, send states to children and heirs."""
        self._beats += 1
        owners = {channel: "" if known.over else known.owner for channel, known in self.known.items()}
        changed = self.subscriptions.choose(now, owners)
        self._subscribe(self.streams if self._beats % 4 == 0 else changed)
        to: dict[str, list[str]] = {}
        for channel in self.streams:
            if channel in self.owned_channels:
                for name in self.targets(now, channel, heirs=True):
                    to.setdefault(name, []).append(channel)
            elif self._beats % 2 == 0 and channel in self.known:
                for name in self.targets(now, channel):
                    to.setdefault(name, []).append(channel)
        self.tell(now, to)

    def mend(self, now: int) -> None:
        """Request missing items again, or give them up."""
        for channel in sorted(self.waiting):
            stream = self.streams[channel]
            stream.tick(now)
            self.flush(stream)
            if (missing := stream.missing(now)) is not None and (to := self._helper(channel)):
                body = wire.encode(Retransmit(channel, missing.epoch, missing.first, missing.last))
                self.outgoing_messages.append(Message(to, body))

    def _helper(self, channel: str) -> str:
        """The parent or the owner, by chance, so that one of them that lacks it or is lost does not matter."""
        known = self.known.get(channel)
        names = [name for name in (self.subscriptions.parent(channel), known.owner if known else "") if name]
        names = [name for name in names if name != self.name]
        return self._random.choice(names) if names else ""

    def waits(self) -> bool:
        """Whether ``mend`` has something to do."""
        return bool(self.waiting)

    def _subscribe(self, channels: Iterable[str]) -> None:
        by: dict[str, list[FollowerProgress]] = {}
        for channel in channels:
            if parent := self.subscriptions.parent(channel):
                by.setdefault(parent, []).append(FollowerProgress(channel, *self.streams[channel].place))
        for parent, haves in by.items():
            self.outgoing_messages += [Message(parent, body) for body in wire.encode_subscriptions(haves)]

    def answer(self, now: int, asker: str, channels: Iterable[str]) -> None:
        """A gateway asks who owns some channels."""
        self.tell(now, {asker: [channel for channel in channels if channel in self.streams]})

    def tell(self, now: int, channels: Mapping[str, Iterable[str]], urgent: bool = False) -> None:
        """Send states of channels to gateways; ``urgent``: beside the rate."""
        for to, some in channels.items():
            states = [state for channel in some if (state := self._state(now, channel)) is not None]
            self.outgoing_messages += [Message(to, body, urgent) for body in wire.encode_heartbeats(states)]

    def _state(self, now: int, channel: str) -> ChannelState | None:
        mine, known = self.owned_channels.get(channel), self.known.get(channel)
        if mine is not None and (known is None or known.epoch <= mine.epoch):
            return ChannelState(channel, mine.epoch, mine.sequence, 0, self.name, self.boot_epoch, mine.after)
        if known is None or known.over:
            return None
        age = max(0, now - known.heard_at) // MS
        return ChannelState(channel, known.epoch, known.sequence, age, known.owner, known.boot_epoch, known.after)

    def flush(self, stream: Stream) -> None:
        """Hand a stream's items on, or wait for what is missing of it."""
        if stream.waits():
            self.waiting.add(stream.channel)
        else:
            self.waiting.discard(stream.channel)
        for one in stream.out:
            if stream.channel not in self.followed:
                continue
            if isinstance(one, Gap):
                self.events.append(one)
            else:
                self.events.append(Delivered(one.channel, one.epoch, one.sequence, one.data, one.owner, one.boot_epoch))
        stream.out.clear()
