"""Items: published by an owner, received and forwarded along the tree, retransmitted to who missed some. No I/O.

An owner and all that forward keep the last items (see ``Recent`` for the bound), so that a follower that misses some
asks its parent or the owner. Invariant: nobody speaks for another; only an owner itself says that its epoch ended.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping

from yardbank.cluster.channels import messages as wire
from yardbank.cluster.channels.api import MS
from yardbank.cluster.channels.items import Recent, Stream
from yardbank.cluster.channels.messages import ChannelState, EndedAt, FollowerProgress, Item, Retransmit
from yardbank.cluster.channels.outgoing import Known, Outgoing, OwnedChannel
from yardbank.cluster.peers.datagram import DroppedError
from yardbank.cluster.peers.parts import Message

MAX_SEQUENCE_LEAP = 1 << 20  # beyond what is known; a sequence further off is rejected
MAX_EPOCH_LEAP = 1 << 44  # likewise: epochs begin with the seconds of the wall clock and ten bits


class Feed(Outgoing):
    """All channels that this gateway owns, would own or follows."""

    def joined(self, followers: Mapping[str, frozenset[str]], latest: Collection[str]) -> None:
        """The channels that this gateway takes part in, and who follows each; ``latest``: only the newest counts."""
        self.subscriptions.joined(followers)
        for channel in self.streams.keys() - followers.keys():
            del self.streams[channel], self.recent[channel]
            self.known.pop(channel, None)
            self.ends.pop(channel, None)
            self.waiting.discard(channel)
            self.above.pop(channel, None)
        for channel in followers.keys() - self.streams.keys():
            self.streams[channel], self.recent[channel] = Stream(channel), Recent()
        for channel, stream in self.streams.items():
            stream.latest = channel in latest

    # As owner

    def carry(self, now: int, channel: str, epoch: int) -> None:
        """This gateway is the owner from now on: the first of the tree and the heirs hear it at once."""
        known, end = self.known.get(channel), self.ends.get(channel)
        after = end if end is not None and known is not None and end[0] == known.epoch < epoch else None
        self.owned_channels[channel] = OwnedChannel(epoch, 0, after)
        self.known[channel] = Known(epoch, 0, self.name, self.boot_epoch, now, after)
        self.above.pop(channel, None)
        if (stream := self.streams.get(channel)) is not None:
            stream.heard(now, epoch, 0, after)
            self.flush(stream)
        self.tell(now, {to: [channel] for to in self.targets(now, channel, heirs=True)}, urgent=True)

    def publish(self, now: int, channel: str, data: bytes) -> int:
        """Publish the next item of a channel owned here; how many gateways it was sent to."""
        mine = self.owned_channels[channel]
        mine.sequence += 1
        item = Item(channel, mine.epoch, mine.sequence, data, self.name, self.boot_epoch, mine.after)
        known = self.known[channel]
        if known.epoch == mine.epoch:
            known.sequence, known.heard_at = mine.sequence, now
        self._keep(now, item)
        targets = self.targets(now, channel)
        self.send_item(item, targets)
        return len(targets)

    def stop(self, now: int, channel: str, to: Iterable[str]) -> None:
        """It is owned here no longer: tell successor, heirs and children where the epoch ended."""
        mine = self.owned_channels.pop(channel)
        place = mine.epoch, mine.sequence
        self.ends[channel] = max(place, self.ends.get(channel, place))
        known = self.known[channel]
        known.over = known.over or known.epoch == mine.epoch
        body = wire.encode(EndedAt(channel, *place))
        targets = {*to, *self.heirs.get(channel, ()), *self.targets(now, channel)} - {self.name}
        self.outgoing_messages += [Message(name, body, urgent=True) for name in sorted(targets)]

    def end(self, channel: str, before: int) -> EndedAt | None:
        """Where this gateway's own last epoch before another one ended; None: it did not, or that is not known."""
        if channel in self.owned_channels or (place := self.ends.get(channel)) is None or place[0] >= before:
            return None
        return EndedAt(channel, *place)

    # What other gateways send

    def item(self, now: int, sender: str, item: Item) -> None:
        """An item came: keep it, deliver it in order, forward it if it is new. Raises ``DroppedError``."""
        if (stream := self.streams.get(item.channel)) is None:
            raise DroppedError("unasked")
        known = self.known.get(item.channel)
        if item.sequence < 1 or self._leaps(known, item.epoch, item.sequence):
            self.rejected_leaps += 1
            raise DroppedError("leap")
        self.subscriptions.heard(now, item.channel, sender)
        if known is None or item.epoch > known.epoch:
            self.known[item.channel] = Known(item.epoch, item.sequence, item.owner, item.boot_epoch, now, item.after)
        elif item.epoch == known.epoch and item.sequence > known.sequence:
            known.sequence, known.heard_at = item.sequence, now
        if self._keep(now, item):
            self.send_item(item, [to for to in self.targets(now, item.channel) if to not in (sender, item.owner)])
        self.flush(stream)

    def _keep(self, now: int, item: Item) -> bool:
        stream = self.streams.get(item.channel)
        if stream is None or not stream.take(now, item):
            return False
        self.recent[item.channel].add(item)
        self.flush(stream)
        return True

    def _leaps(self, known: Known | None, epoch: int, sequence: int) -> bool:
        if known is None:
            return sequence > MAX_SEQUENCE_LEAP
        if epoch == known.epoch:
            return sequence > known.sequence + MAX_SEQUENCE_LEAP
        return epoch > known.epoch + MAX_EPOCH_LEAP

    def heartbeat(self, now: int, sender: str, states: Iterable[ChannelState]) -> None:
        """A heartbeat came; a new owner or epoch is forwarded at once."""
        news: dict[str, list[str]] = {}
        for state in states:
            stream, known = self.streams.get(state.channel), self.known.get(state.channel)
            if stream is None:
                continue
            self.subscriptions.heard(now, state.channel, sender)
            if self._leaps(known, state.epoch, state.sequence):
                self.rejected_leaps += 1
                continue
            heard_at = now - state.age * MS
            if known is None or state.epoch > known.epoch:
                self.known[state.channel] = Known(
                    state.epoch, state.sequence, state.owner, state.boot_epoch, heard_at, state.after
                )
                for to in self.targets(now, state.channel):
                    if to != sender:
                        news.setdefault(to, []).append(state.channel)
            elif state.epoch == known.epoch and state.owner == known.owner:
                known.sequence, known.heard_at = max(known.sequence, state.sequence), max(known.heard_at, heard_at)
                known.over = known.over and sender != known.owner
            else:
                continue
            stream.heard(now, state.epoch, state.sequence, state.after)
            self.flush(stream)
        self.tell(now, news, urgent=True)

    def subscribe(self, now: int, child: str, channels: Iterable[FollowerProgress]) -> None:
        """A child subscribes, and says what it has: newer items go out at once."""
        told = []
        for have in channels:
            if have.channel not in self.streams:
                continue
            if (mine := self.owned_channels.get(have.channel)) is not None and have.epoch > mine.epoch:
                self.above[have.channel] = max(have.epoch, self.above.get(have.channel, 0))
            if not self.subscriptions.adopt(now, have.channel, child):
                continue
            told.append(have.channel)
            if have.epoch:
                for item in self.recent[have.channel].beyond((have.epoch, have.sequence)):
                    self.send_item(item, [child])
        self.tell(now, {child: told})

    def retransmit(self, asker: str, wanted: Retransmit) -> None:
        """Retransmit what is still kept of the items asked for."""
        if (recent := self.recent.get(wanted.channel)) is not None:
            for item in recent.some(wanted.epoch, wanted.first, wanted.last):
                self.send_item(item, [asker])

    def ended(self, now: int, sender: str, told: EndedAt, expected: bool) -> None:
        """An owner says where its epoch ended. ``expected``: it transfers the channel to this gateway."""
        if (stream := self.streams.get(told.channel)) is None:
            return
        place, known = (told.epoch, told.sequence), self.known.get(told.channel)
        if not expected and (known is None or told.epoch != known.epoch or sender != known.owner):
            return  # nobody speaks for another
        self.ends[told.channel] = max(place, self.ends.get(told.channel, place))
        if known is None or told.epoch > known.epoch:
            known = self.known[told.channel] = Known(told.epoch, told.sequence, sender, 0, now)
        known.over = known.over or told.epoch == known.epoch
        stream.ended(now, place)
        self.flush(stream)
