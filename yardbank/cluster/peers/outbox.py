"""The parts of one gateway and their messages: who receives what comes in, and what goes out at what rate. No I/O.

Owns the registered parts and the rates. Bound: per second ``RATE`` octets of all parts without a rate of their own, and
``BURST`` at once; urgent messages may exceed it by ``URGENT_DEBT``, others by a quarter while urgent ones use it up.
What exceeds the bound is withheld, that is, lost: parts repeat what matters.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Collection
from dataclasses import dataclass

from yardbank.cluster.peers.batch import Batch, BatchEntry, entry_capacity, pack
from yardbank.cluster.peers.datagram import DroppedError
from yardbank.cluster.peers.parts import Part

SECOND = 1_000_000_000
RATE, BURST = 1200, 16 * 1024  # octets a second on average, and at once
URGENT_DEBT = 64 * 1024  # octets that urgent messages may go beyond the rate


class Rate:
    """A token bucket over octets: how many may still be sent now."""

    def __init__(self, rate: int, burst: int) -> None:
        """``rate``: octets a second; ``burst``: octets at once."""
        self._rate = rate
        self._burst = burst
        self._left = float(burst)
        self._updated_at = 0

    def left(self, now: int) -> float:
        """Octets that may be sent now (ns); below zero while a debt is paid off."""
        elapsed = max(0, now - self._updated_at)
        self._left = min(self._burst, self._left + elapsed * self._rate / SECOND)
        self._updated_at = max(self._updated_at, now)
        return self._left

    def spend(self, octets: int) -> None:
        """So many were sent. This may go below zero; what follows waits for it."""
        self._left -= octets


@dataclass(slots=True, frozen=True)
class _Destination:
    """What goes into the same batches: one recipient, one urgency, one rate. ``topic``: "" for the common rate."""

    to: str
    urgent: bool
    topic: str


class Outbox:
    """All parts of one gateway, and their messages.

    ``withheld`` counts messages not sent to keep the rate, ``octets`` those sent.
    """

    def __init__(self, fleet: str, name: str, rate: int = RATE, burst: int = BURST) -> None:
        self.parts: dict[str, Part] = {}
        self.withheld = 0
        self.octets = 0
        self._common = Rate(rate, burst)
        self._reserved = Rate(rate // 4, burst // 4)  # for messages not urgent, while urgent ones use up the rest
        self._by_topic: dict[str, Rate] = {}  # of parts with a rate of their own
        self._capacity = entry_capacity(fleet, name)

    def add(self, part: Part) -> None:
        """Register a part under its topic."""
        self.parts[part.topic] = part
        if part.rate is not None:
            self._by_topic[part.topic] = Rate(*part.rate)

    def receive(self, now: int, batch: Batch, dropped: Counter[str]) -> None:
        """Hand each message to its part; one that cannot be used is counted in ``dropped`` by its reason."""
        for entry in batch.entries:
            part = self.parts.get(entry.topic)
            if part is None:
                dropped["topic"] += 1  # a part that this gateway does not have
                continue
            try:
                part.receive(now, batch.sender, batch.boot_epoch, entry.body)
            except DroppedError as error:
                dropped[f"{entry.topic} {error.reason}"] += 1

    def flush(
        self, now: int, peers: Collection[str], seal: Callable[[str, tuple[BatchEntry, ...]], bytes]
    ) -> list[tuple[str, bytes]]:
        """The datagrams to send, each with its recipient; urgent messages first.

        ``seal`` makes the datagram of some entries for a peer, with the sender's next sequence number there.
        """
        waiting = self._collect(peers)
        datagrams = []
        for destination in sorted(waiting, key=lambda one: not one.urgent):
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
        """Take the messages of all parts, those to gateways that are not listed left out."""
        waiting: dict[_Destination, list[BatchEntry]] = {}
        for topic, part in self.parts.items():
            own_rate = topic if topic in self._by_topic else ""
            for message in part.outgoing_messages():
                if message.to in peers:
                    destination = _Destination(message.to, message.urgent, own_rate)
                    waiting.setdefault(destination, []).append(BatchEntry(topic, message.body))
        return waiting

    def _rate_for(self, now: int, destination: _Destination) -> Rate | None:
        """The rate that the next batch is charged to; None: it has to be withheld."""
        rate = self._by_topic.get(destination.topic, self._common)
        lowest = -URGENT_DEBT if destination.urgent else 0
        if rate.left(now) > lowest:
            return rate
        if destination.topic or destination.urgent:
            return None
        return self._reserved if self._reserved.left(now) > 0 else None

    def next_at(self) -> int | None:
        """When a part is due; None: not before something comes in."""
        return min((at for part in self.parts.values() if (at := part.next_at()) is not None), default=None)
