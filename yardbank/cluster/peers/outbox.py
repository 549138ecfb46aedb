"""The parts of one gateway: distributes incoming messages, and sends outgoing ones within rate limits. No I/O.

Owns the registered parts and the rate limits. Bound: ``RATE`` octets a second, and ``BURST`` at once, for all parts
without a rate of their own. Urgent messages may exceed it by ``URGENT_DEBT``; other messages have a quarter more in
reserve while urgent ones use it up. Messages beyond the bound are dropped, not sent later: parts repeat what matters.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Collection
from dataclasses import dataclass

from yardbank.cluster.peers.batch import Batch, BatchEntry, entry_capacity, pack
from yardbank.cluster.peers.datagram import DroppedError
from yardbank.cluster.peers.parts import Part

SECOND = 1_000_000_000
RATE, BURST = 1200, 16 * 1024  # octets a second on average, and octets at once
URGENT_DEBT = 64 * 1024  # octets by which urgent messages may exceed the rate


class Rate:
    """A token bucket over octets."""

    def __init__(self, rate: int, burst: int) -> None:
        """``rate``: octets a second; ``burst``: octets at once."""
        self._rate = rate
        self._burst = burst
        self._left = float(burst)
        self._updated_at = 0

    def left(self, now: int) -> float:
        """Octets that may be sent now (ns); negative while a debt is paid off."""
        elapsed = max(0, now - self._updated_at)
        self._left = min(self._burst, self._left + elapsed * self._rate / SECOND)
        self._updated_at = max(self._updated_at, now)
        return self._left

    def spend(self, octets: int) -> None:
        """Charge sent octets. A negative balance blocks sending until it is positive again."""
        self._left -= octets


@dataclass(slots=True, frozen=True)
class _Destination:
    """Messages that may share a batch: same recipient, urgency and rate. ``topic``: "" for the common rate."""

    to: str
    urgent: bool
    topic: str


class Outbox:
    """All parts of one gateway, and their messages.

    ``withheld``: messages dropped because of a rate limit; ``octets``: total size of the datagrams sent.
    """

    def __init__(self, fleet: str, name: str, rate: int = RATE, burst: int = BURST) -> None:
        self.parts: dict[str, Part] = {}
        self.withheld = 0
        self.octets = 0
        self._common = Rate(rate, burst)
        self._reserved = Rate(rate // 4, burst // 4)  # for other messages, while urgent ones use up the common rate
        self._by_topic: dict[str, Rate] = {}  # of parts with a rate of their own
        self._capacity = entry_capacity(fleet, name)

    def add(self, part: Part) -> None:
        """Register a part under its topic."""
        self.parts[part.topic] = part
        if part.rate is not None:
            self._by_topic[part.topic] = Rate(*part.rate)

    def receive(self, now: int, batch: Batch, dropped: Counter[str]) -> None:
        """Pass each message to its part; messages that cannot be used are counted in ``dropped`` by reason."""
        for entry in batch.entries:
            part = self.parts.get(entry.topic)
            if part is None:
                dropped["topic"] += 1  # this gateway does not have that part
                continue
            try:
                part.receive(now, batch.sender, batch.boot_epoch, entry.body)
            except DroppedError as error:
                dropped[f"{entry.topic} {error.reason}"] += 1

    def flush(
        self, now: int, peers: Collection[str], seal: Callable[[str, tuple[BatchEntry, ...]], bytes]
    ) -> list[tuple[str, bytes]]:
        """The datagrams to send, each with its recipient; urgent messages first.

        ``seal`` makes the datagram for a peer from entries, with the next sequence number for that peer.
        """
        waiting = self._collect(peers)
        datagrams = []
        for destination in sorted(waiting, key=lambda key: not key.urgent):
            for entries in pack(waiting[destination], self._capacity):
                rate = self._rate_for(now, destination)
                if rate is None:
                    self.withheld += len(entries)
                    continue
                data = seal(destination.to, tuple(entries))
                rate.spend(len(data))
                self.octets += len(data)
                datagrams.append((destination.to, data))
        return datagrams

    def _collect(self, peers: Collection[str]) -> dict[_Destination, list[BatchEntry]]:
        """Collect the messages of all parts; those to gateways that are not listed are dropped."""
        waiting: dict[_Destination, list[BatchEntry]] = {}
        for topic, part in self.parts.items():
            own_rate = topic if topic in self._by_topic else ""
            for message in part.outgoing_messages():
                if message.to in peers:
                    destination = _Destination(message.to, message.urgent, own_rate)
                    waiting.setdefault(destination, []).append(BatchEntry(topic, message.body))
        return waiting

    def _rate_for(self, now: int, destination: _Destination) -> Rate | None:
        """The rate that the next batch is charged to; None: no rate has room for it."""
        rate = self._by_topic.get(destination.topic, self._common)
        lowest = -URGENT_DEBT if destination.urgent else 0
        if rate.left(now) > lowest:
            return rate
        if destination.topic or destination.urgent:
            return None
        return self._reserved if self._reserved.left(now) > 0 else None

    def next_at(self) -> int | None:
        """When the first part is due; None: not before a message comes."""
        return min((at for part in self.parts.values() if (at := part.next_at()) is not None), default=None)
