"""One gateway's whole part among its peers: octets and time in, octets for peers out. No I/O.

Puts together who is there (``detector``), what is counted (``counters``) and what crosses (``datagram``). Whatever
comes in is taken whole or dropped by a reason that is counted. What goes out keeps to a rate: beyond it first the news
that ride along are left out, then probes made for others; one's own probes are few by themselves.
"""

from __future__ import annotations

from collections import Counter, OrderedDict
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass
from random import Random

import xxhash

from yardbank.cluster.peers import batch as batches
from yardbank.cluster.peers import datagram as wire
from yardbank.cluster.peers.batch import Batch, BatchEntry
from yardbank.cluster.peers.counters import CounterRegistry, CounterTotal
from yardbank.cluster.peers.datagram import ACK, ALIVE, PING, Datagram, DroppedError, MembershipUpdate, ReplayFilter
from yardbank.cluster.peers.failure_detector import NAMES, Change, Detector, OutgoingProbe, Pace
from yardbank.cluster.peers.outbox import Outbox, Rate
from yardbank.cluster.peers.parts import Part
from yardbank.cluster.peers.report_store import ReportStore

FILL = 480  # octets of news, counts and words in one datagram
RATE, BURST = 1800, 8 * 1024  # octets a second on average, and at once
MAX_PINGS = 64  # of one's own that an answer is still timed of
FEW = 4  # counts in a datagram
MOST_WORDS = 5  # and words of servers


@dataclass(slots=True, frozen=True)
class Observation:
    """One peer as it is seen here; ages in nanoseconds."""

    name: str
    state: str
    incarnation: int
    changed: int  # since its state changed
    heard: int | None  # since its own last datagram; None: never


class _NodeMembershipView:
    """What parts may know; see ``parts.MembershipView``."""

    def __init__(self, node: GossipNode) -> None:
        self._node = node

    @property
    def name(self) -> str:
        return self._node.name

    @property
    def boot_epoch(self) -> int:
        return self._node.detector.boot_epoch

    def zones(self) -> Mapping[str, str]:
        return self._node.zones

    def alive(self) -> frozenset[str]:
        return frozenset(name for name, peer in self._node.detector.peers.items() if peer.state == ALIVE)

    def list_hash(self) -> int:
        return self._node.list_hash

    def slowness(self) -> int:
        return self._node.detector.slowness


class GossipNode:
    """One gateway among its peers."""

    def __init__(
        self, name: str, fleet: str, keys: Sequence[bytes], boot_epoch: int, random: Random, pace: Pace | None = None
    ) -> None:
        self.name, self.fleet, self.keys = name, fleet, list(keys)
        self.detector = Detector(name, boot_epoch, random, pace)
        self.counters = CounterRegistry()
        self.report_store = ReportStore(name, boot_epoch)
        self.dropped: Counter[str] = Counter()
        self.withheld = 0  # datagrams not sent, to keep the rate
        self.sent = self.sent_octets = 0
        self._replays = ReplayFilter()
        self._rate = Rate(RATE, BURST)
        self._sequences: Counter[str] = Counter()  # by whom they are for: a burst to all must not look old to one
        self._largest = wire.MAX_OCTETS
        self.zones: Mapping[str, str] = {name: ""}
        self.list_hash = 0
        self.membership_view = _NodeMembershipView(self)
        self.outbox = Outbox(fleet, name)
        self.on_round_trip: list[Callable[[int, str, int], None]] = []  # told of each: now, to whom, how long (ns)
        self._pings: OrderedDict[int, tuple[str, int]] = OrderedDict()  # by number: to whom, when

    def add(self, part: Part) -> None:
        """A part of this gateway; before the first list."""
        self.outbox.add(part)

    def listed(self, now: int, names: Iterable[str], zones: Mapping[str, str] | None = None) -> None:
        """The gateways of the fleet, as the settings or the list say, and their zones where it names them."""
        known = set(names) - {self.name}
        told = zones or {}
        self.zones = {name: told.get(name, "") for name in sorted({*known, self.name})}
        self.list_hash = xxhash.xxh3_64_intdigest(repr(sorted(self.zones.items())).encode())
        longest = max(known | {self.name}, key=len)
        self._largest = wire.size_of(MembershipUpdate(longest, ALIVE, wire.MAX_INCARNATION, longest))
        self.detector.listed(now, known)
        self.counters.set_peers(known)
        self.report_store.set_peers(known)
        self._replays.retain(known)
        for part in self.outbox.parts.values():
            part.listed(now)

    def receive(self, now: int, data: bytes) -> list[tuple[str, bytes]]:
        """A datagram came, from wherever: what to send to whom."""
        if wire.version_of(data) == batches.VERSION:
            self._receive_batch(now, data)
            return self._flush(now)
        try:
            found = wire.decode(data, self.keys, self.fleet)
            if found.sender == self.name or found.sender not in self.detector.peers:
                raise DroppedError("stranger")  # the list says who is a peer; two of one name are seen here too
            self._replays.accept(found.sender, found.boot_epoch, found.sequence)
        except DroppedError as problem:
            self.dropped[problem.reason] += 1
            return []
        if found.kind == ACK and (ping := self._pings.get(found.number)) and ping[0] == found.sender:
            del self._pings[found.number]
            for told in self.on_round_trip:
                told(now, found.sender, now - ping[1])
        self.detector.receive_probe(now, found.sender, found.incarnation, found.kind, found.number, found.target)
        self.detector.receive_updates(now, found.sender, found.updates)
        self.counters.receive(now, found.sender, found.boot_epoch, found.counters)
        self.report_store.boot_epoch = self.detector.boot_epoch
        self.report_store.receive(now, found.health_reports)
        return self._flush(now)

    def _receive_batch(self, now: int, data: bytes) -> None:
        """Messages for the parts; each is received or dropped by itself."""
        try:
            found = batches.decode(data, self.keys, self.fleet)
            if found.sender == self.name or found.sender not in self.detector.peers:
                raise DroppedError("stranger")
            self._replays.accept(found.sender, found.boot_epoch, found.sequence)
        except DroppedError as problem:
            self.dropped[problem.reason] += 1
            return
        self.outbox.receive(now, found, self.dropped)

    def tick(self, now: int) -> list[tuple[str, bytes]]:
        """What to send to whom by now."""
        self.detector.tick(now)
        for part in self.outbox.parts.values():
            part.tick(now)
        return self._flush(now)

    def flush(self, now: int) -> list[tuple[str, bytes]]:
        """What to send to whom, after a part was told something from elsewhere than the link."""
        return self._flush(now)

    def next_at(self) -> int | None:
        """When ``tick`` is due; None: when peers are listed."""
        return min((at for at in (self.detector.next_at(), self.outbox.next_at()) if at is not None), default=None)

    def changes(self) -> list[Change]:
        """What has changed since this was asked last."""
        found, self.detector.changes = self.detector.changes, []
        return found

    def _flush(self, now: int) -> list[tuple[str, bytes]]:
        orders, self.detector.outgoing = self.detector.outgoing, []
        found = [(order.to, data) for order in orders if (data := self._datagram(now, order))]
        return found + self.outbox.flush(now, self.detector.peers, self._sealed)

    def _sealed(self, to: str, entries: tuple[BatchEntry, ...]) -> bytes:
        self._sequences[to] += 1
        batch = Batch(self.fleet, self.name, self.detector.boot_epoch, self._sequences[to], entries)
        data = batches.encode(batch, self.keys)
        self.sent += 1
        self.sent_octets += len(data)
        return data

    def _datagram(self, now: int, order: OutgoingProbe) -> bytes:
        left = self._rate.left(now)
        if left <= 0 and order.kind != PING:
            self.withheld += 1
            return b""
        full = order.kind in (PING, ACK) and left > FILL
        words = self.report_store.next_to_send(now, MOST_WORDS) if full else []
        counts = self.counters.next_to_send(FEW // 2 if words else FEW) if full else []
        room = FILL - sum(wire.size_of(one) for one in (*counts, *words))
        news = self.detector.updates_for(order.to, max(1, room // self._largest)) if full else []
        self._sequences[order.to] += 1
        if order.kind == PING:
            self._pings[order.number] = order.to, now
            if len(self._pings) > MAX_PINGS:
                self._pings.popitem(last=False)
        detector = self.detector
        data = wire.encode(
            Datagram(
                self.fleet,
                self.name,
                detector.boot_epoch,
                detector.incarnation,
                self._sequences[order.to],
                order.kind,
                order.number,
                order.target,
                tuple(news),
                tuple(counts),
                tuple(words),
            ),
            self.keys,
        )
        self._rate.spend(len(data))
        self.sent, self.sent_octets = self.sent + 1, self.sent_octets + len(data)
        return data

    def view(self, now: int) -> list[Observation]:
        """Every peer as it is seen here."""
        return [
            Observation(
                peer.name,
                NAMES[peer.state],
                peer.incarnation,
                now - peer.changed_at,
                now - peer.heard_at if peer.heard_at else None,
            )
            for peer in self.detector.peers.values()
        ]

    def totals(self, now: int) -> dict[str, CounterTotal]:
        """Every count summed over those heard lately."""
        return {key: self.counters.total(now, key) for key in self.counters.keys()}  # noqa: SIM118 - no mapping
