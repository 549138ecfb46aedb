"""Items of channels: publishing, receiving, forwarding along the tree, and retransmission. No I/O.

Owners and forwarding gateways keep the last items (bounded, see ``RecentItems``), so a follower that misses some asks
its parent or the owner. Invariant: no gateway reports on behalf of another; only an owner itself says that its epoch
has ended.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping

from yardbank.cluster.channels import messages as wire
from yardbank.cluster.channels.api import MS
from yardbank.cluster.channels.items import RecentItems, Stream
from yardbank.cluster.channels.messages import ChannelState, EndedAt, FollowerProgress, Item, Retransmit
from yardbank.cluster.channels.outgoing import KnownChannel, Outgoing, OwnedChannel
from yardbank.cluster.peers.datagram import DroppedError
from yardbank.cluster.peers.parts import Message

MAX_SEQUENCE_LEAP = 1 << 20  # a sequence number further above the known one is rejected
MAX_EPOCH_LEAP = 1 << 44  # likewise; an epoch starts as wall clock seconds followed by ten more bits


class Feed(Outgoing):
    """Items of all channels that this gateway owns, would own or follows."""

    def set_followers(self, followers: Mapping[str, frozenset[str]], latest: Collection[str]) -> None:
        """Set the channels of this gateway and their followers.

        In channels of ``latest`` only the newest item counts.
        """
        self.subscriptions.set_followers(followers)
        for channel in self.streams.keys() - followers.keys():
            del self.streams[channel], self.recent[channel]
            self.known.pop(channel, None)
            self.epoch_ends.pop(channel, None)
            self.incomplete.discard(channel)
            self.higher_epochs.pop(channel, None)
        for channel in followers.keys() - self.streams.keys():
            self.streams[channel], self.recent[channel] = Stream(channel), RecentItems()
        for channel, stream in self.streams.items():
            stream.latest = channel in latest

    # Ownership

    def start_ownership(self, now: int, channel: str, epoch: int) -> None:
        """Become the owner; the roots of the tree and the standbys are told at once."""
        known, end = self.known.get(channel), self.epoch_ends.get(channel)
        previous_end = end if end is not None and known is not None and end[0] == known.epoch < epoch else None
        self.owned_channels[channel] = OwnedChannel(epoch, 0, previous_end)
        self.known[channel] = KnownChannel(epoch, 0, self.name, self.boot_epoch, now, previous_end)
        self.higher_epochs.pop(channel, None)
        if (stream := self.streams.get(channel)) is not None:
            stream.note_newest(now, epoch, 0, previous_end)
            self.flush(stream)
        self.send_states(now, {to: [channel] for to in self.targets(now, channel, standbys=True)}, urgent=True)

    def publish(self, now: int, channel: str, data: bytes) -> int:
        """Publish the next item of a channel owned here; returns the number of gateways it was sent to."""
        owned = self.owned_channels[channel]
        owned.sequence += 1
        item = Item(channel, owned.epoch, owned.sequence, data, self.name, self.boot_epoch, owned.previous_end)
        known = self.known[channel]
        if known.epoch == owned.epoch:
            known.sequence, known.heard_at = owned.sequence, now
        self._store(now, item)
        targets = self.targets(now, channel)
        self.send_item(item, targets)
        return len(targets)

    def end_ownership(self, now: int, channel: str, to: Iterable[str]) -> None:
        """Stop being the owner, and tell successor, standbys and children where the epoch ended."""
        owned = self.owned_channels.pop(channel)
        position = owned.epoch, owned.sequence
        self.epoch_ends[channel] = max(position, self.epoch_ends.get(channel, position))
        known = self.known[channel]
        known.ended = known.ended or known.epoch == owned.epoch
        body = wire.encode(EndedAt(channel, *position))
        targets = {*to, *self.standbys.get(channel, ()), *self.targets(now, channel)} - {self.name}
        self.outgoing_messages += [Message(name, body, urgent=True) for name in sorted(targets)]

    def own_epoch_end(self, channel: str, before: int) -> EndedAt | None:
        """Where this gateway's own last epoch before ``before`` ended.

        None if this gateway is still the owner or the end is not known.
        """
        if (
            channel in self.owned_channels
            or (position := self.epoch_ends.get(channel)) is None
            or position[0] >= before
        ):
            return None
        return EndedAt(channel, *position)

    # Messages from other gateways

    def on_item(self, now: int, sender: str, item: Item) -> None:
        """Store a received item, deliver it in order, and forward it if it is new. Raises ``DroppedError``."""
        if (stream := self.streams.get(item.channel)) is None:
            raise DroppedError("unasked")
        known = self.known.get(item.channel)
        if item.sequence < 1 or self._exceeds_max_leap(known, item.epoch, item.sequence):
            self.rejected_leaps += 1
            raise DroppedError("leap")
        self.subscriptions.note_message(now, item.channel, sender)
        if known is None or item.epoch > known.epoch:
            self.known[item.channel] = KnownChannel(
                item.epoch, item.sequence, item.owner, item.boot_epoch, now, item.previous_end
            )
        elif item.epoch == known.epoch and item.sequence > known.sequence:
            known.sequence, known.heard_at = item.sequence, now
        if self._store(now, item):
            self.send_item(item, [to for to in self.targets(now, item.channel) if to not in (sender, item.owner)])
        self.flush(stream)

    def _store(self, now: int, item: Item) -> bool:
        stream = self.streams.get(item.channel)
        if stream is None or not stream.take(now, item):
            return False
        self.recent[item.channel].add(item)
        self.flush(stream)
        return True

    def _exceeds_max_leap(self, known: KnownChannel | None, epoch: int, sequence: int) -> bool:
        if known is None:
            return sequence > MAX_SEQUENCE_LEAP
        if epoch == known.epoch:
            return sequence > known.sequence + MAX_SEQUENCE_LEAP
        return epoch > known.epoch + MAX_EPOCH_LEAP

    def on_heartbeat(self, now: int, sender: str, states: Iterable[ChannelState]) -> None:
        """Handle a heartbeat; a new owner or epoch is forwarded at once."""
        changed: dict[str, list[str]] = {}
        for state in states:
            stream, known = self.streams.get(state.channel), self.known.get(state.channel)
            if stream is None:
                continue
            self.subscriptions.note_message(now, state.channel, sender)
            if self._exceeds_max_leap(known, state.epoch, state.sequence):
                self.rejected_leaps += 1
                continue
            heard_at = now - state.age * MS
            if known is None or state.epoch > known.epoch:
                self.known[state.channel] = KnownChannel(
                    state.epoch, state.sequence, state.owner, state.boot_epoch, heard_at, state.previous_end
                )
                for to in self.targets(now, state.channel):
                    if to != sender:
                        changed.setdefault(to, []).append(state.channel)
            elif state.epoch == known.epoch and state.owner == known.owner:
                known.sequence, known.heard_at = max(known.sequence, state.sequence), max(known.heard_at, heard_at)
                known.ended = known.ended and sender != known.owner
            else:
                continue
            stream.note_newest(now, state.epoch, state.sequence, state.previous_end)
            self.flush(stream)
        self.send_states(now, changed, urgent=True)

    def on_subscribe(self, now: int, child: str, channels: Iterable[FollowerProgress]) -> None:
        """Handle a child's subscription; items newer than the child's last one are sent at once."""
        accepted = []
        for progress in channels:
            if progress.channel not in self.streams:
                continue
            if (owned := self.owned_channels.get(progress.channel)) is not None and progress.epoch > owned.epoch:
                self.higher_epochs[progress.channel] = max(progress.epoch, self.higher_epochs.get(progress.channel, 0))
            if not self.subscriptions.add_child(now, progress.channel, child):
                continue
            accepted.append(progress.channel)
            if progress.epoch:
                for item in self.recent[progress.channel].newer_than((progress.epoch, progress.sequence)):
                    self.send_item(item, [child])
        self.send_states(now, {child: accepted})

    def on_retransmit(self, requester: str, request: Retransmit) -> None:
        """Retransmit those of the requested items that are still kept."""
        if (recent := self.recent.get(request.channel)) is not None:
            for item in recent.between(request.epoch, request.first, request.last):
                self.send_item(item, [requester])

    def on_epoch_end(self, now: int, sender: str, message: EndedAt, expected: bool) -> None:
        """An owner reports the end of its epoch. ``expected``: it transfers the channel to this gateway."""
        if (stream := self.streams.get(message.channel)) is None:
            return
        position, known = (message.epoch, message.sequence), self.known.get(message.channel)
        if not expected and (known is None or message.epoch != known.epoch or sender != known.owner):
            return  # only the owner itself may report the end
        self.epoch_ends[message.channel] = max(position, self.epoch_ends.get(message.channel, position))
        if known is None or message.epoch > known.epoch:
            known = self.known[message.channel] = KnownChannel(message.epoch, message.sequence, sender, 0, now)
        known.ended = known.ended or message.epoch == known.epoch
        stream.on_epoch_end(now, position)
        self.flush(stream)
