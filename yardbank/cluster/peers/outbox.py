"""Letters of a gateway's parts: who takes what comes in, and what goes out in which datagrams, at what rate. No I/O."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Collection

from yardbank.cluster.peers import batch as parcel
from yardbank.cluster.peers.batch import Item, Parcel
from yardbank.cluster.peers.datagram import DroppedError
from yardbank.cluster.peers.parts import Part

SECOND = 1_000_000_000
RATE, BURST = 1200, 16 * 1024  # octets a second on average, and at once
URGENT_DEBT = 64 * 1024  # octets beyond it that urgent letters may go


class Rate:
    """Octets that may still be sent now."""

    def __init__(self, rate: int, burst: int) -> None:
        self._rate, self._burst = rate, burst
        self._left, self._at = float(burst), 0

    def left(self, now: int) -> float:
        """How many."""
        self._left = min(self._burst, self._left + max(0, now - self._at) * self._rate / SECOND)
        self._at = max(self._at, now)
        return self._left

    def spend(self, octets: int) -> None:
        """So many were sent; this may go below nothing, and what follows waits for it."""
        self._left -= octets


class Post:
    """All parts of one gateway, and their letters."""

    def __init__(self, fleet: str, name: str, rate: int = RATE, burst: int = BURST) -> None:
        self.parts: dict[str, Part] = {}
        self.withheld = 0  # letters not sent, to keep the rate
        self.octets = 0  # sent
        self._common = Rate(rate, burst)
        self._spared = Rate(rate // 4, burst // 4)  # for letters that are not urgent, where urgent ones use up the rest
        self._own: dict[str, Rate] = {}  # by topic, of those that have one of their own
        self._room = parcel.room(fleet, name)

    def add(self, part: Part) -> None:
        """One more part."""
        self.parts[part.topic] = part
        if part.rate is not None:
            self._own[part.topic] = Rate(*part.rate)

    def take(self, now: int, found: Parcel, dropped: Counter[str]) -> None:
        """Letters that came; each is taken or dropped by itself, by a reason that is counted."""
        for item in found.items:
            if (part := self.parts.get(item.topic)) is None:
                dropped["topic"] += 1  # a part that this gateway does not have
                continue
            try:
                part.receive(now, found.sender, found.boot_epoch, item.body)
            except DroppedError as problem:
                dropped[f"{item.topic} {problem.reason}"] += 1

    def out(
        self, now: int, peers: Collection[str], sealer: Callable[[str, tuple[Item, ...]], bytes]
    ) -> list[tuple[str, bytes]]:
        """Datagrams to send, to whom. Urgent letters go first; beyond the rate the others are left out.

        ``sealer`` makes the datagram of some letters for a peer, with the sender's next sequence number there.
        """
        by: dict[tuple[str, int, str], list[Item]] = {}  # to whom, urgent ones first, at whose rate
        for topic, part in self.parts.items():
            for letter in part.outgoing_messages():
                if letter.to in peers:
                    key = letter.to, int(not letter.urgent), topic if topic in self._own else ""
                    by.setdefault(key, []).append(Item(topic, letter.body))
        found = []
        for (to, later, topic), items in sorted(by.items(), key=lambda one: one[0][1]):
            rate = self._own.get(topic, self._common)
            for packed in parcel.packed(items, self._room):
                if rate.left(now) <= (0 if later else -URGENT_DEBT):
                    if topic or not later or self._spared.left(now) <= 0:
                        self.withheld += len(packed)
                        continue
                    rate = self._spared
                data = sealer(to, tuple(packed))
                rate.spend(len(data))
                self.octets += len(data)
                found.append((to, data))
        return found

    def next_at(self) -> int | None:
        """When a part is due; None: not before something comes in."""
        return min((at for part in self.parts.values() if (at := part.next_at()) is not None), default=None)
