"""The records received from every gateway, and which are sent to whom. No I/O.

A record is accepted if its owner sent it or two other gateways sent it octet for octet alike: one gateway alone cannot
forge a record of a third. Only accepted records are relayed, so two relays are two gateways that know it.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from random import Random

from yardbank.cluster.peers.outbox import Rate
from yardbank.cluster.peers.parts import Message
from yardbank.cluster.rollout.record import GatewayRecord, decode_message, encode_message, encode_record

MAX_PENDING = 4  # versions of one owner's record that wait for a second sender
MAX_HISTORY = 8  # records by beat kept for each owner
MAX_MESSAGE_OCTETS = 900  # octets of records in one message
RELAY_RATE, RELAY_BURST = 450, 3000  # octets a second, and octets, of relayed records
MAX_DIRECT_PEERS = 10  # peers that get this gateway's own record at once
MAX_CATCH_UP_RECORDS = 3  # in a message with room, by rotation, so that a gateway that was cut off catches up


@dataclass(slots=True)
class _Entry:
    record: GatewayRecord
    raw: bytes
    relays: int = 0  # how often it was relayed
    # By beat; only records comparable with the newest one
    history: deque[GatewayRecord] = field(default_factory=lambda: deque(maxlen=MAX_HISTORY))


class RecordLog:
    """Newest records of all gateways on the peer list, including this one."""

    def __init__(self, name: str, random: Random) -> None:
        self.name, self._random = name, random
        self._entries: dict[str, _Entry] = {}
        self._pending: dict[str, OrderedDict[bytes, set[str]]] = {}
        self._names: set[str] = {name}
        self._rate = Rate(RELAY_RATE, RELAY_BURST)
        self._rotation: list[str] = []
        self._own_relays = 0
        self.contested = 0  # records in this gateway's name that it did not write

    def listed(self, names: Iterable[str]) -> None:
        """Adopts a peer list; records of other gateways are dropped."""
        self._names = {*names, self.name}
        self._entries = {name: entry for name, entry in self._entries.items() if name in self._names}
        self._pending = {name: found for name, found in self._pending.items() if name in self._names}

    def receive(self, sender: str, body: bytes) -> list[GatewayRecord]:
        """Takes a message; returns the records accepted by it. Raises ``DroppedError``."""
        found = []
        for record, raw in decode_message(body):
            if record.owner not in self._names:
                continue
            if record.owner == self.name:
                own = self._entries.get(self.name)
                self.contested += own is not None and own.record.boot_epoch == record.boot_epoch and self._newer(record)
                continue
            if not self._newer(record):
                continue
            if sender == record.owner or self._has_second_sender(record, raw, sender):
                self._pending.pop(record.owner, None)
                self._put(record, raw)
                found.append(record)
        return found

    def _newer(self, record: GatewayRecord) -> bool:
        entry = self._entries.get(record.owner)
        return entry is None or (record.boot_epoch, record.number) > (entry.record.boot_epoch, entry.record.number)

    def _has_second_sender(self, record: GatewayRecord, raw: bytes, sender: str) -> bool:
        senders_by_record = self._pending.setdefault(record.owner, OrderedDict())
        senders = senders_by_record.setdefault(raw, set())
        senders.add(sender)
        senders_by_record.move_to_end(raw)
        if len(senders_by_record) > MAX_PENDING:
            senders_by_record.popitem(last=False)
        return len(senders) >= 2

    def _put(self, record: GatewayRecord, raw: bytes) -> None:
        entry = self._entries.get(record.owner)
        new_entry = _Entry(record, raw)
        if entry is not None and comparable(entry.record, record):
            new_entry.history = entry.history
            if record.beat == entry.record.beat and new_entry.history:
                new_entry.history.pop()  # same figures, only the state changed
        new_entry.history.append(record)
        self._entries[record.owner] = new_entry

    def put_own(self, record: GatewayRecord) -> None:
        """Stores this gateway's own new record."""
        entry = self._entries.get(self.name)
        if entry is not None and entry.record.stop != record.stop:
            self._own_relays = 0
        self._put(record, encode_record(record))

    def latest(self, name: str) -> GatewayRecord | None:
        """A gateway's newest record; None: there is none."""
        entry = self._entries.get(name)
        return None if entry is None else entry.record

    def all(self) -> dict[str, GatewayRecord]:
        """Newest record of every gateway."""
        return {name: entry.record for name, entry in self._entries.items()}

    def history(self, name: str) -> Mapping[int, GatewayRecord]:
        """A gateway's last records on its current version, by beat."""
        entry = self._entries.get(name)
        return {} if entry is None else {record.beat: record for record in entry.history}

    def second_highest_beat(self) -> int:
        """The second highest beat reported, so that one gateway alone cannot advance the others' beat."""
        beats = sorted((entry.record.beat for name, entry in self._entries.items() if name != self.name), reverse=True)
        return beats[1] if len(beats) > 1 else 0

    # Messages to send

    def announce(self, alive: Iterable[str], urgent: bool) -> list[Message]:
        """Messages with this gateway's own record to a random sample of peers."""
        entry = self._entries.get(self.name)
        peers = sorted(alive)
        if entry is None or not peers:
            return []
        body = encode_message([entry.raw])
        return [Message(to, body, urgent) for to in self._random.sample(peers, min(MAX_DIRECT_PEERS, len(peers)))]

    def relay(self, now: int, alive: Iterable[str], relays: int) -> list[Message]:
        """A message to one random peer: the own record, records relayed less than ``relays`` times, others in rotation.

        Records with a stop vote come first, then those with figures. Above the rate limit only the own record is sent.
        """
        peers, own = sorted(alive), self._entries.get(self.name)
        if own is None or not peers:
            return []
        to = peers[self._random.randrange(len(peers))]
        found, octets = [own.raw], len(own.raw)
        if self._rate.left(now) > 0:
            fresh = [
                entry for name, entry in self._entries.items() if entry.relays < relays and name not in (self.name, to)
            ]
            fresh.sort(key=lambda entry: (not entry.record.stop, not entry.record.cells, entry.relays))
            chosen = [entry for entry in fresh if entry.record.mark]
            if len(fresh) <= MAX_CATCH_UP_RECORDS:
                chosen += [self._entries[name] for name in self._next_in_rotation(to)]
            for entry in chosen:
                if octets + len(entry.raw) > MAX_MESSAGE_OCTETS or entry.raw in found:
                    continue
                found.append(entry.raw)
                octets += len(entry.raw)
                entry.relays += 1
            self._rate.spend(octets)
        return [Message(to, encode_message(found))]

    def _next_in_rotation(self, to: str) -> list[str]:
        found: list[str] = []
        for _ in range(MAX_CATCH_UP_RECORDS):
            if not self._rotation:
                self._rotation = [name for name in self._entries if name != self.name]
                self._random.shuffle(self._rotation)
            if self._rotation and (name := self._rotation.pop()) in self._entries and name not in (to, self.name):
                found.append(name)
        return found


def comparable(one: GatewayRecord, other: GatewayRecord) -> bool:
    """Whether counters of two records can be subtracted: same process start, request, version and restart count."""
    return (one.boot_epoch, one.mark, one.version, one.restarts) == (
        other.boot_epoch,
        other.mark,
        other.version,
        other.restarts,
    )


def relay_count(size: int) -> int:
    """How often each gateway relays a record so that it reaches nearly all of ``size`` gateways through two senders."""
    return 1 if size <= 12 else 3 if size <= 60 else 5
