"""One gateway's gossip as a whole: octets and time in, octets for peers out. No I/O.

Owns and joins the failure detector, the counters, the health reports, the outbox of the parts, and what it takes to
send and receive datagrams: keys, sequence numbers, the replay filter, the rate.

Invariant: a datagram is received whole, or dropped by a reason that is counted.

Bound: ``RATE`` octets a second and ``BURST`` at once, the parts' messages aside. Beyond it first the updates, counters
and reports that ride along are left out, then answers and probes made for others; this gateway's own probes are few by
themselves and are always sent.
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
from yardbank.cluster.peers.datagram import (
    ACK,
    ALIVE,
    PING,
    CounterValue,
    Datagram,
    DroppedError,
    HealthReport,
    MembershipUpdate,
    ReplayFilter,
)
from yardbank.cluster.peers.failure_detector import NAMES, Change, Detector, OutgoingProbe, Pace
from yardbank.cluster.peers.outbox import Outbox, Rate
from yardbank.cluster.peers.parts import Part
from yardbank.cluster.peers.report_store import ReportStore

FILL = 480  # octets of updates, counters and health reports in one datagram
RATE, BURST = 1800, 8 * 1024  # octets a second on average, and at once
MAX_PINGS = 64  # latest own pings whose round trip is still timed
MAX_COUNTERS = 4  # in one datagram
MAX_REPORTS = 5  # in one datagram


@dataclass(slots=True, frozen=True)
class _Ping:
    to: str
    sent_at: int


@dataclass(slots=True, frozen=True)
class _Piggyback:
    """What rides along in one datagram."""

    updates: Sequence[MembershipUpdate] = ()
    counters: Sequence[CounterValue] = ()
    health_reports: Sequence[HealthReport] = ()


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
    """One gateway among its peers.

    ``dropped``: datagrams and messages by reason; ``withheld``: datagrams not sent to keep the rate; ``sent`` and
    ``sent_octets``: of all datagrams. ``on_round_trip`` is called with the time (ns), the peer and the duration (ns)
    of each answered ping.
    """

    def __init__(
        self, name: str, fleet: str, keys: Sequence[bytes], boot_epoch: int, random: Random, pace: Pace | None = None
    ) -> None:
        self.name = name
        self.fleet = fleet
        self.keys = list(keys)
        self.detector = Detector(name, boot_epoch, random, pace)
        self.counters = CounterRegistry()
        self.report_store = ReportStore(name, boot_epoch)
        self.outbox = Outbox(fleet, name)
        self.zones: Mapping[str, str] = {name: ""}
        self.list_hash = 0
        self.membership_view = _NodeMembershipView(self)
        self.on_round_trip: list[Callable[[int, str, int], None]] = []
        self.dropped: Counter[str] = Counter()
        self.withheld = 0
        self.sent = 0
        self.sent_octets = 0
        self._replays = ReplayFilter()
        self._rate = Rate(RATE, BURST)
        self._sequences: Counter[str] = Counter()  # by recipient: a burst to all must not look old to one
        self._largest_update = wire.MAX_OCTETS  # octets
        self._pings: OrderedDict[int, _Ping] = OrderedDict()  # by number of the probe

    def add(self, part: Part) -> None:
        """A part of this gateway; before the first list."""
        self.outbox.add(part)

    def listed(self, now: int, names: Iterable[str], zones: Mapping[str, str] | None = None) -> None:
        """The gateways of the fleet, as the settings or the list say, and their zones where it names them."""
        known = set(names) - {self.name}
        zone_of = zones or {}
        self.zones = {name: zone_of.get(name, "") for name in sorted({*known, self.name})}
        self.list_hash = xxhash.xxh3_64_intdigest(repr(sorted(self.zones.items())).encode())
        longest = max(known | {self.name}, key=len)
        self._largest_update = wire.size_of(MembershipUpdate(longest, ALIVE, wire.MAX_INCARNATION, longest))
        self.detector.listed(now, known)
        self.counters.set_peers(known)
        self.report_store.set_peers(known)
        self._replays.retain(known)
        for part in self.outbox.parts.values():
            part.listed(now)

    def receive(self, now: int, data: bytes) -> list[tuple[str, bytes]]:
        """A datagram came, from any address. Returns the datagrams to send now, each with its recipient."""
        is_batch = wire.version_of(data) == batches.VERSION
        try:
            if is_batch:
                self._receive_batch(now, data)
            else:
                self._receive_datagram(now, data)
        except DroppedError as error:
            self.dropped[error.reason] += 1
            return self._flush(now) if is_batch else []
        return self._flush(now)

    def _receive_batch(self, now: int, data: bytes) -> None:
        """Messages for the parts; each is received or dropped by itself. Raises ``DroppedError``."""
        batch = batches.decode(data, self.keys, self.fleet)
        self._check_sender(batch.sender, batch.boot_epoch, batch.sequence)
        self.outbox.receive(now, batch, self.dropped)

    def _receive_datagram(self, now: int, data: bytes) -> None:
        """A probe or its answer, with what rides along. Raises ``DroppedError``."""
        datagram = wire.decode(data, self.keys, self.fleet)
        sender = datagram.sender
        self._check_sender(sender, datagram.boot_epoch, datagram.sequence)
        if datagram.kind == ACK:
            self._time_round_trip(now, sender, datagram.number)
        self.detector.receive_probe(now, sender, datagram.incarnation, datagram.kind, datagram.number, datagram.target)
        self.detector.receive_updates(now, sender, datagram.updates)
        self.counters.receive(now, sender, datagram.boot_epoch, datagram.counters)
        self.report_store.boot_epoch = self.detector.boot_epoch  # an update may have raised it
        self.report_store.receive(now, datagram.health_reports)

    def _check_sender(self, sender: str, boot_epoch: int, sequence: int) -> None:
        """Raises ``DroppedError`` for a gateway that is not listed, and for a datagram received before."""
        if sender == self.name or sender not in self.detector.peers:
            raise DroppedError("stranger")  # the list says who is a peer; two of one name are seen here too
        self._replays.accept(sender, boot_epoch, sequence)

    def _time_round_trip(self, now: int, sender: str, number: int) -> None:
        ping = self._pings.get(number)
        if ping is None or ping.to != sender:
            return
        del self._pings[number]
        for notify in self.on_round_trip:
            notify(now, sender, now - ping.sent_at)

    def tick(self, now: int) -> list[tuple[str, bytes]]:
        """Time has passed. Returns the datagrams to send now, each with its recipient."""
        self.detector.tick(now)
        for part in self.outbox.parts.values():
            part.tick(now)
        return self._flush(now)

    def flush(self, now: int) -> list[tuple[str, bytes]]:
        """The datagrams to send after a part learned something outside of gossip, each with its recipient."""
        return self._flush(now)

    def next_at(self) -> int | None:
        """When ``tick`` is due; None: when peers are listed."""
        return min((at for at in (self.detector.next_at(), self.outbox.next_at()) if at is not None), default=None)

    def changes(self) -> list[Change]:
        """What has changed since this was asked last."""
        changes = self.detector.changes
        self.detector.changes = []
        return changes

    def _flush(self, now: int) -> list[tuple[str, bytes]]:
        probes = self.detector.outgoing
        self.detector.outgoing = []
        datagrams = []
        for probe in probes:
            if probe.kind != PING and self._rate.left(now) <= 0:
                self.withheld += 1
                continue
            datagrams.append((probe.to, self._encode_probe(now, probe)))
        return datagrams + self.outbox.flush(now, self.detector.peers, self._encode_batch)

    def _encode_batch(self, to: str, entries: tuple[BatchEntry, ...]) -> bytes:
        self._sequences[to] += 1
        batch = Batch(self.fleet, self.name, self.detector.boot_epoch, self._sequences[to], entries)
        data = batches.encode(batch, self.keys)
        self.sent += 1
        self.sent_octets += len(data)
        return data

    def _encode_probe(self, now: int, probe: OutgoingProbe) -> bytes:
        load = self._piggyback(now, probe)
        self._sequences[probe.to] += 1
        if probe.kind == PING:
            self._remember_ping(now, probe)
        datagram = Datagram(
            fleet=self.fleet,
            sender=self.name,
            boot_epoch=self.detector.boot_epoch,
            incarnation=self.detector.incarnation,
            sequence=self._sequences[probe.to],
            kind=probe.kind,
            number=probe.number,
            target=probe.target,
            updates=tuple(load.updates),
            counters=tuple(load.counters),
            health_reports=tuple(load.health_reports),
        )
        data = wire.encode(datagram, self.keys)
        self._rate.spend(len(data))
        self.sent += 1
        self.sent_octets += len(data)
        return data

    def _piggyback(self, now: int, probe: OutgoingProbe) -> _Piggyback:
        """What rides along with a probe: nothing if the rate leaves no room, or on requests and answers of helpers."""
        if probe.kind not in (PING, ACK) or self._rate.left(now) <= FILL:
            return _Piggyback()
        reports = self.report_store.next_to_send(now, MAX_REPORTS)
        counters = self.counters.next_to_send(MAX_COUNTERS // 2 if reports else MAX_COUNTERS)
        left = FILL - sum(wire.size_of(one) for one in (*counters, *reports))
        updates = self.detector.updates_for(probe.to, max(1, left // self._largest_update))
        return _Piggyback(updates, counters, reports)

    def _remember_ping(self, now: int, probe: OutgoingProbe) -> None:
        self._pings[probe.number] = _Ping(probe.to, now)
        if len(self._pings) > MAX_PINGS:
            self._pings.popitem(last=False)

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
        """Every counter totalled over the peers heard lately."""
        return {key: self.counters.total(now, key) for key in self.counters.keys()}  # noqa: SIM118 - no mapping
