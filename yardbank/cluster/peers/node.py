"""The gossip of one gateway: received datagrams and time in, datagrams to send out. No I/O.

Combines the failure detector, the counters, the health reports and the outbox of the parts, and owns what sending and
receiving datagrams needs: keys, sequence numbers, the replay filter, the rate limit.

Invariant: a datagram is processed whole, or dropped and counted by the reason.

Bound: ``RATE`` octets a second and ``BURST`` at once, without the parts' messages. Beyond it, first the piggybacked
updates, counters and reports are left out, then replies and probes for other gateways. This gateway's own probes are
few and always sent.
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
from yardbank.cluster.peers.failure_detector import STATE_NAMES, Change, Detector, OutgoingProbe, Pace
from yardbank.cluster.peers.outbox import Outbox, Rate
from yardbank.cluster.peers.parts import Part
from yardbank.cluster.peers.report_store import ReportStore

PIGGYBACK_OCTETS = 480  # of updates, counters and health reports in one datagram
RATE, BURST = 1800, 8 * 1024  # octets a second on average, and octets at once
MAX_PINGS = 64  # most recent own pings whose round trip is still timed
MAX_COUNTERS = 4  # in one datagram
MAX_REPORTS = 5  # in one datagram


@dataclass(slots=True, frozen=True)
class _Ping:
    to: str
    sent_at: int


@dataclass(slots=True, frozen=True)
class _Piggyback:
    """What one datagram carries besides its probe."""

    updates: Sequence[MembershipUpdate] = ()
    counters: Sequence[CounterValue] = ()
    health_reports: Sequence[HealthReport] = ()


@dataclass(slots=True, frozen=True)
class Observation:
    """One peer as this gateway sees it; ages in nanoseconds."""

    name: str
    state: str
    incarnation: int
    changed: int  # time since its state changed
    heard: int | None  # time since its last datagram; None: never heard


class _NodeMembershipView:
    """What parts see of the membership; see ``parts.MembershipView``."""

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
    """One gateway's gossip.

    ``dropped``: datagrams and messages by reason; ``withheld``: datagrams not sent because of the rate limit; ``sent``
    and ``sent_octets``: all datagrams sent. The functions in ``on_round_trip`` are called with the time (ns), the peer
    and the duration (ns) of each answered ping.
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
        # By recipient: with one sequence for all, a burst to all peers would leave some recipient's replay window.
        self._sequences: Counter[str] = Counter()
        self._largest_update = wire.MAX_OCTETS  # octets
        self._pings: OrderedDict[int, _Ping] = OrderedDict()  # by probe number

    def add(self, part: Part) -> None:
        """Add a part of this gateway; call it before the first ``listed``."""
        self.outbox.add(part)

    def listed(self, now: int, names: Iterable[str], zones: Mapping[str, str] | None = None) -> None:
        """Set the gateways of the fleet and, where known, their zones."""
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
        """Handle a datagram, from any address. Returns the datagrams to send now, each with its recipient."""
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
        """Handle messages for the parts; each is processed or dropped on its own. Raises ``DroppedError``."""
        batch = batches.decode(data, self.keys, self.fleet)
        self._check_sender(batch.sender, batch.boot_epoch, batch.sequence)
        self.outbox.receive(now, batch, self.dropped)

    def _receive_datagram(self, now: int, data: bytes) -> None:
        """Handle a probe or a reply, and what it carries. Raises ``DroppedError``."""
        datagram = wire.decode(data, self.keys, self.fleet)
        sender = datagram.sender
        self._check_sender(sender, datagram.boot_epoch, datagram.sequence)
        if datagram.kind == ACK:
            self._time_round_trip(now, sender, datagram.number)
        self.detector.receive_probe(now, sender, datagram.incarnation, datagram.kind, datagram.number, datagram.target)
        self.detector.receive_updates(now, sender, datagram.updates)
        self.counters.receive(now, sender, datagram.boot_epoch, datagram.counters)
        self.report_store.boot_epoch = self.detector.boot_epoch  # the updates may have raised it
        self.report_store.receive(now, datagram.health_reports)

    def _check_sender(self, sender: str, boot_epoch: int, sequence: int) -> None:
        """Raises ``DroppedError`` if the sender is not listed, or the datagram was received before."""
        if sender == self.name or sender not in self.detector.peers:
            raise DroppedError("stranger")  # not listed, or another gateway configured with this one's name
        self._replays.accept(sender, boot_epoch, sequence)

    def _time_round_trip(self, now: int, sender: str, number: int) -> None:
        ping = self._pings.get(number)
        if ping is None or ping.to != sender:
            return
        del self._pings[number]
        for notify in self.on_round_trip:
            notify(now, sender, now - ping.sent_at)

    def tick(self, now: int) -> list[tuple[str, bytes]]:
        """Do whatever is due by now. Returns the datagrams to send now, each with its recipient."""
        self.detector.tick(now)
        for part in self.outbox.parts.values():
            part.tick(now)
        return self._flush(now)

    def flush(self, now: int) -> list[tuple[str, bytes]]:
        """The datagrams to send after a part was called from outside of gossip, each with its recipient."""
        return self._flush(now)

    def next_at(self) -> int | None:
        """When ``tick`` is due; None: not before peers are listed."""
        return min((at for at in (self.detector.next_at(), self.outbox.next_at()) if at is not None), default=None)

    def changes(self) -> list[Change]:
        """The changes of peers' states since the last call."""
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
        """What a datagram carries besides its probe: nothing on ASK and NACK, or if the rate limit leaves no room."""
        if probe.kind not in (PING, ACK) or self._rate.left(now) <= PIGGYBACK_OCTETS:
            return _Piggyback()
        reports = self.report_store.next_to_send(now, MAX_REPORTS)
        counters = self.counters.next_to_send(MAX_COUNTERS // 2 if reports else MAX_COUNTERS)
        left = PIGGYBACK_OCTETS - sum(wire.size_of(item) for item in (*counters, *reports))
        updates = self.detector.updates_for(probe.to, max(1, left // self._largest_update))
        return _Piggyback(updates, counters, reports)

    def _remember_ping(self, now: int, probe: OutgoingProbe) -> None:
        self._pings[probe.number] = _Ping(probe.to, now)
        if len(self._pings) > MAX_PINGS:
            self._pings.popitem(last=False)

    def view(self, now: int) -> list[Observation]:
        """Every peer as this gateway sees it."""
        return [
            Observation(
                peer.name,
                STATE_NAMES[peer.state],
                peer.incarnation,
                now - peer.changed_at,
                now - peer.heard_at if peer.heard_at else None,
            )
            for peer in self.detector.peers.values()
        ]

    def totals(self, now: int) -> dict[str, CounterTotal]:
        """Every counter totalled over the gateways heard from recently."""
        return {key: self.counters.total(now, key) for key in self.counters.keys()}  # noqa: SIM118 - no mapping
