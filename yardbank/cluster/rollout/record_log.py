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
from yardbank.cluster.rollout.record import GatewayRecord, encoded, letter, records

MAX_PENDING = 4  # versions of one owner's record that wait for a second sender
MAX_PAST = 8  # records by beat kept for each owner
LETTER = 900  # octets of records in one message
RATE, BURST = 450, 3000  # octets a second, and octets, of relayed records
DIRECT = 10  # peers that get this gateway's own record at once
REST = 3  # other records, in rotation, in a message with room, so that a gateway that was cut off catches up


@dataclass(slots=True)
class _Kept:
    said: GatewayRecord
    raw: bytes
    told: int = 0  # how often it was relayed
    # By beat; only records comparable with the newest one
    past: deque[GatewayRecord] = field(default_factory=lambda: deque(maxlen=MAX_PAST))


class RecordLog:
    """Newest records of all gateways on the peer list, including this one."""

    def __init__(self, name: str, random: Random) -> None:
        self.name, self._random = name, random
        self._kept: dict[str, _Kept] = {}
        self._pending: dict[str, OrderedDict[bytes, set[str]]] = {}
        self._names: set[str] = {name}
        self._rate = Rate(RATE, BURST)
        self._turn: list[str] = []
        self._own_told = 0
        self.contested = 0  # records in this gateway's name that it did not write

    def listed(self, names: Iterable[str]) -> None:
        """Adopts a peer list; records of other gateways are dropped."""
        self._names = {*names, self.name}
        self._kept = {name: kept for name, kept in self._kept.items() if name in self._names}
        self._pending = {name: found for name, found in self._pending.items() if name in self._names}

    def take(self, sender: str, body: bytes) -> list[GatewayRecord]:
        """Takes a message; returns the records accepted by it. Raises ``DroppedError``."""
        found = []
        for said, raw in records(body):
            if said.owner not in self._names:
                continue
            if said.owner == self.name:
                own = self._kept.get(self.name)
                self.contested += own is not None and own.said.boot_epoch == said.boot_epoch and self._newer(said)
                continue
            if not self._newer(said):
                continue
            if sender == said.owner or self._second_voice(said, raw, sender):
                self._pending.pop(said.owner, None)
                self._put(said, raw)
                found.append(said)
        return found

    def _newer(self, said: GatewayRecord) -> bool:
        kept = self._kept.get(said.owner)
        return kept is None or (said.boot_epoch, said.number) > (kept.said.boot_epoch, kept.said.number)

    def _second_voice(self, said: GatewayRecord, raw: bytes, sender: str) -> bool:
        voices = self._pending.setdefault(said.owner, OrderedDict())
        by = voices.setdefault(raw, set())
        by.add(sender)
        voices.move_to_end(raw)
        if len(voices) > MAX_PENDING:
            voices.popitem(last=False)
        return len(by) >= 2

    def _put(self, said: GatewayRecord, raw: bytes) -> None:
        kept = self._kept.get(said.owner)
        made = _Kept(said, raw)
        if kept is not None and same_course(kept.said, said):
            made.past = kept.past
            if said.beat == kept.said.beat and made.past:
                made.past.pop()  # same figures, only the state changed
        made.past.append(said)
        self._kept[said.owner] = made

    def say(self, said: GatewayRecord) -> None:
        """Stores this gateway's own new record."""
        kept = self._kept.get(self.name)
        if kept is not None and kept.said.stop != said.stop:
            self._own_told = 0
        self._put(said, encoded(said))

    def said(self, name: str) -> GatewayRecord | None:
        """A gateway's newest record; None: there is none."""
        kept = self._kept.get(name)
        return None if kept is None else kept.said

    def all(self) -> dict[str, GatewayRecord]:
        """Newest record of every gateway."""
        return {name: kept.said for name, kept in self._kept.items()}

    def past(self, name: str) -> Mapping[int, GatewayRecord]:
        """A gateway's last records on its current version, by beat."""
        kept = self._kept.get(name)
        return {} if kept is None else {said.beat: said for said in kept.past}

    def second_beat(self) -> int:
        """The second highest beat reported, so that one gateway alone cannot advance the others' beat."""
        beats = sorted((kept.said.beat for name, kept in self._kept.items() if name != self.name), reverse=True)
        return beats[1] if len(beats) > 1 else 0

    # Messages to send

    def direct(self, alive: Iterable[str], urgent: bool) -> list[Message]:
        """Messages with this gateway's own record to a random sample of peers."""
        kept = self._kept.get(self.name)
        peers = sorted(alive)
        if kept is None or not peers:
            return []
        body = letter([kept.raw])
        return [Message(to, body, urgent) for to in self._random.sample(peers, min(DIRECT, len(peers)))]

    def passed_on(self, now: int, alive: Iterable[str], often: int) -> list[Message]:
        """A message to one random peer: the own record, records relayed less than ``often`` times, others in rotation.

        Records with a stop vote come first, then those with figures. Above the rate limit only the own record is sent.
        """
        peers, own = sorted(alive), self._kept.get(self.name)
        if own is None or not peers:
            return []
        to = peers[self._random.randrange(len(peers))]
        found, octets = [own.raw], len(own.raw)
        if self._rate.left(now) > 0:
            fresh = [kept for name, kept in self._kept.items() if kept.told < often and name not in (self.name, to)]
            fresh.sort(key=lambda kept: (not kept.said.stop, not kept.said.cells, kept.told))
            chosen = [kept for kept in fresh if kept.said.mark]
            if len(fresh) <= REST:
                chosen += [self._kept[name] for name in self._by_turns(to)]
            for kept in chosen:
                if octets + len(kept.raw) > LETTER or kept.raw in found:
                    continue
                found.append(kept.raw)
                octets += len(kept.raw)
                kept.told += 1
            self._rate.spend(octets)
        return [Message(to, letter(found))]

    def _by_turns(self, to: str) -> list[str]:
        found: list[str] = []
        for _ in range(REST):
            if not self._turn:
                self._turn = [name for name in self._kept if name != self.name]
                self._random.shuffle(self._turn)
            if self._turn and (name := self._turn.pop()) in self._kept and name not in (to, self.name):
                found.append(name)
        return found


def same_course(one: GatewayRecord, other: GatewayRecord) -> bool:
    """Whether counters of two records can be subtracted: same process start, request, version and restart count."""
    return (one.boot_epoch, one.mark, one.version, one.restarts) == (
        other.boot_epoch,
        other.mark,
        other.version,
        other.restarts,
    )


def passed_on_often(size: int) -> int:
    """How often each gateway relays a record so that it reaches nearly all of ``size`` gateways through two senders."""
    return 1 if size <= 12 else 3 if size <= 60 else 5
