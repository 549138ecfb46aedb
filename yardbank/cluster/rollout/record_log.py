"""What is known of every gateway's records, and which go out to whom. No I/O.

A record counts when its owner told it, or two others told it octet for octet alike: what one gateway alone says of a
third moves nothing. Only records that count are passed on, so two voices are two that know.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from random import Random

from yardbank.cluster.peers.outbox import Rate
from yardbank.cluster.peers.parts import Message
from yardbank.cluster.rollout.record import GatewayRecord, encoded, letter, records

MAX_PENDING = 4  # records of one owner that one voice has told
MAX_PAST = 8  # beats of one owner that are remembered
LETTER = 900  # octets of records in one
RATE, BURST = 450, 3000  # octets a second of records passed on
DIRECT = 10  # peers that are told one's own record at once
REST = 3  # records by turns in a letter that has room, so that who was cut off hears all again


@dataclass(slots=True)
class _Kept:
    said: GatewayRecord
    raw: bytes
    told: int = 0  # how often it was passed on
    # By beat; only records comparable with the newest one
    past: deque[GatewayRecord] = field(default_factory=lambda: deque(maxlen=MAX_PAST))


class RecordLog:
    """Records of all gateways of the list, this one's too."""

    def __init__(self, name: str, random: Random) -> None:
        self.name, self._random = name, random
        self._kept: dict[str, _Kept] = {}
        self._pending: dict[str, OrderedDict[bytes, set[str]]] = {}
        self._names: set[str] = {name}
        self._rate = Rate(RATE, BURST)
        self._turn: list[str] = []
        self._own_told = 0
        self.contested = 0  # records told in this gateway's name that it did not write

    def listed(self, names: Iterable[str]) -> None:
        """The gateways of the list; others are forgotten."""
        self._names = {*names, self.name}
        self._kept = {name: kept for name, kept in self._kept.items() if name in self._names}
        self._pending = {name: found for name, found in self._pending.items() if name in self._names}

    def take(self, sender: str, body: bytes) -> list[GatewayRecord]:
        """A letter came: the records that count from now on. Raises ``DroppedError``."""
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
                made.past.pop()  # the same figures, another state
        made.past.append(said)
        self._kept[said.owner] = made

    def say(self, said: GatewayRecord) -> None:
        """This gateway's own, newest record."""
        kept = self._kept.get(self.name)
        if kept is not None and kept.said.stop != said.stop:
            self._own_told = 0
        self._put(said, encoded(said))

    def said(self, name: str) -> GatewayRecord | None:
        """A gateway's newest record; None: it is not known."""
        kept = self._kept.get(name)
        return None if kept is None else kept.said

    def all(self) -> dict[str, GatewayRecord]:
        """Every gateway's newest record."""
        return {name: kept.said for name, kept in self._kept.items()}

    def past(self, name: str) -> Mapping[int, GatewayRecord]:
        """A gateway's last records on the version that it is on, by beat."""
        kept = self._kept.get(name)
        return {} if kept is None else {said.beat: said for said in kept.past}

    def second_beat(self) -> int:
        """The second highest beat told: one gateway alone moves nobody's."""
        beats = sorted((kept.said.beat for name, kept in self._kept.items() if name != self.name), reverse=True)
        return beats[1] if len(beats) > 1 else 0

    # What goes out

    def direct(self, alive: Iterable[str], urgent: bool) -> list[Message]:
        """One's own record to some at once."""
        kept = self._kept.get(self.name)
        peers = sorted(alive)
        if kept is None or not peers:
            return []
        body = letter([kept.raw])
        return [Message(to, body, urgent) for to in self._random.sample(peers, min(DIRECT, len(peers)))]

    def passed_on(self, now: int, alive: Iterable[str], often: int) -> list[Message]:
        """To one peer one's own record, news that were passed on less than ``often`` times, and others by turns.

        Who says stop goes first, then figures. Over the rate one's own goes alone.
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
    """Whether figures of the two may be taken from each other: the same start of the process, on the same version."""
    return (one.boot_epoch, one.mark, one.version, one.restarts) == (
        other.boot_epoch,
        other.mark,
        other.version,
        other.restarts,
    )


def passed_on_often(size: int) -> int:
    """How often each passes a record on, so that two voices of it reach nearly all of so many."""
    return 1 if size <= 12 else 3 if size <= 60 else 5
