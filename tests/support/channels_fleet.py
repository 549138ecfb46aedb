"""A simulated fleet on a virtual clock that serves channels; records what is published and received, and checks it."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from random import Random

from yardbank.cluster.channels.api import MS, SECOND, Delivered, Event, Gap, Options, Owned, resource
from yardbank.cluster.channels.part import ChannelPart
from yardbank.cluster.lease.api import LeaseTerms
from yardbank.cluster.lease.part import LeasePart
from yardbank.cluster.peers.node import GossipNode
from yardbank.cluster.peers.parts import KeyValueStore, NullStore, Part
from yardbank.testing.rig.gossip import GossipFleet


@dataclass
class Listener:
    """One run of a gateway process, with the events that its program received, in order."""

    name: str
    part: ChannelPart
    leases: LeasePart
    heard: dict[str, list[tuple[int, Event]]] = field(default_factory=lambda: defaultdict(list))


class ChannelFleet:
    """Gateways that all bid for and follow the same channels; the owner of a channel publishes on it periodically."""

    def __init__(
        self,
        gateways: int,
        channels: int,
        seed: int = 1,
        *,
        options: Options | None = None,
        zones: Mapping[str, str] | None = None,
        distance: Callable[[str, str], int | None] = lambda a, b: None,
        every: int = 100 * MS,
        step: int = 20 * MS,
    ) -> None:
        self.names = [f"g{number}" for number in range(gateways)]
        self.channels = [f"notices-{number}" for number in range(channels)]
        self.options, self._distance = options or Options(), distance
        self.keeps: dict[str, KeyValueStore] = defaultdict(NullStore)
        self._every, self._step = every, step
        self.publishing = True
        self.listeners: list[Listener] = []
        self.running: dict[str, Listener] = {}
        self.published: dict[tuple[str, int], int] = {}  # by channel and epoch: the last published sequence
        self.refused: dict[str, int] = defaultdict(int)
        self.owned_by: dict[str, list[tuple[int, str, int]]] = defaultdict(list)  # (time, gateway, epoch)
        self.owners: dict[str, list[tuple[int, tuple[str, ...]]]] = defaultdict(list)  # (time, owners) at each change
        self.gossip = GossipFleet(self.names, seed, zones=zones, parts=self._parts)

    def _parts(self, node: GossipNode, random: Random) -> list[Part]:
        terms = LeaseTerms(self.options.term, overlap=self.options.overlap)
        leases = LeasePart(node.membership_view, terms, random, self.keeps[node.name])
        part = ChannelPart(node.membership_view, leases, random, self.options, self._distance)
        part.ownership.heard_epoch = leases.epochs.hear
        listener = Listener(node.name, part, leases)
        self.listeners.append(listener)
        self.running[node.name] = listener
        now = self.gossip.own(node.name)
        for channel in self.channels:
            part.own(now, channel)
            part.follow(now, channel)
        return [leases, part]

    def start(self, *names: str, rate: float = 1.0) -> None:
        for name in names or self.names:
            self.gossip.start(name, rate=rate)

    def kill(self, name: str) -> None:
        self.collect(name)
        self.gossip.kill(name)
        del self.running[name]

    def stop(self, name: str) -> None:
        """Stop as on SIGTERM: hand all channels over, then end."""
        self.running[name].part.stopping(self.gossip.own(name))
        self.gossip.prompt(name)
        self.run_until(lambda: not self.running[name].part.held_channels(), 5 * SECOND)
        self.run(200 * MS)
        self.kill(name)

    def collect(self, name: str) -> None:
        listener = self.running[name]
        for event in listener.part.events():
            listener.heard[event.channel].append((self.gossip.now, event))
            if isinstance(event, Owned):
                self.owned_by[event.channel].append((self.gossip.now, name, event.epoch))

    def run(self, time: int) -> None:
        end = self.gossip.now + time
        while self.gossip.now < end:
            self.gossip.run(min(end, self.gossip.now + self._step))
            publish = self.publishing and self.gossip.now % self._every < self._step
            holders: dict[str, list[str]] = {channel: [] for channel in self.channels}
            for name, listener in self.running.items():
                if name not in self.gossip.paused:
                    self._look(name, listener, publish, holders)
            for channel, names in holders.items():
                changes = self.owners[channel]
                if not changes or changes[-1][1] != tuple(names):
                    changes.append((self.gossip.now, tuple(names)))

    def _look(self, name: str, listener: Listener, publish: bool, holders: dict[str, list[str]]) -> None:
        now, part = self.gossip.own(name), listener.part
        for channel in part.held_channels():
            if part.ownership.epoch(now, channel) is not None:
                holders[channel].append(name)
            if publish:
                self.publish(name, channel)
        if publish and part.held_channels():
            self.gossip.prompt(name)
        self.collect(name)

    def publish(self, name: str, channel: str) -> str:
        part = self.running[name].part
        why = part.publish(self.gossip.own(name), channel, b"number")
        if why:
            self.refused[why] += 1
        else:
            owned = part.feed.owned_channels[channel]
            self.published[channel, owned.epoch] = owned.sequence
        return why

    def run_until(self, condition: Callable[[], bool], most: int) -> int | None:
        end = self.gossip.now + most
        while self.gossip.now < end:
            if condition():
                return self.gossip.now
            self.run(self._step)
        return self.gossip.now if condition() else None

    def owner(self, channel: str) -> tuple[str, ...]:
        """The gateways that may publish on the channel now."""
        known = self.owners[channel]
        return tuple(name for name in known[-1][1] if name in self.running) if known else ()

    def all_owned(self) -> bool:
        return all(len(self.owner(channel)) == 1 for channel in self.channels)

    def votable_owned(self) -> bool:
        """Whether each channel has one owner; channels whose voters are mostly dead are exempt."""
        leases = next(iter(self.running.values())).leases
        voters = {channel: leases.electorate.voters(resource(channel)) for channel in self.channels}
        return all(
            len(self.owner(channel)) == 1
            for channel in self.channels
            if 2 * sum(name in self.running for name in voters[channel]) > len(voters[channel])
        )

    def loads(self) -> dict[str, int]:
        counts = dict.fromkeys(self.running, 0)
        for channel in self.channels:
            for name in self.owner(channel):
                counts[name] += 1
        return counts

    def moved(self) -> int:
        return sum(len(found) for found in self.owned_by.values())

    # Checks

    def faults(self) -> list[str]:
        """Violations that a listener saw: duplicates, items out of order, and losses without a gap event."""
        return [
            fault
            for listener in self.listeners
            for channel, heard in listener.heard.items()
            for fault in self._faults(listener.name, channel, [event for _, event in heard])
        ]

    def _faults(self, name: str, channel: str, events: Iterable[Event]) -> Iterable[str]:
        last, gap = (0, 0), True  # a listener may start at any position
        for event in events:
            if isinstance(event, Gap):
                gap = True
            elif isinstance(event, Delivered):
                position = event.epoch, event.sequence
                if position <= last:
                    yield f"{name} {channel}: {position} after {last}"
                next_in_epoch = position == (last[0], last[1] + 1)
                next_epoch_complete = position[1] == 1 and self.published.get((channel, last[0])) == last[1]
                next_epoch_complete = next_epoch_complete and not any(
                    c == channel and last[0] < e < position[0] and n for (c, e), n in self.published.items()
                )
                if not (next_in_epoch or next_epoch_complete or gap):
                    yield f"{name} {channel}: from {last} to {position}, no gap told"
                last, gap = position, False

    def two_owners(self) -> int:
        """The longest time during which two or more gateways might publish on one channel."""
        longest = 0
        for changes in self.owners.values():
            for (since, names), (until, _) in zip(changes, [*changes[1:], (self.gossip.now, ())]):
                if len(names) > 1:
                    longest = max(longest, until - since)
        return longest

    def gaps(self) -> list[Gap]:
        return [
            event
            for listener in self.listeners
            for heard in listener.heard.values()
            for _, event in heard
            if isinstance(event, Gap)
        ]
