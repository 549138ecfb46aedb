"""What the network does to what crosses it. No I/O: time and randomness are passed in, in seconds.

Every directed pair of ends has the faults that hold there now. A stream keeps its order whatever happens, as TCP does:
what is cut off silently is held and comes through when the cut is over, the end of a connection included. Datagrams
may be lost, doubled and overtaken.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, replace
from random import Random

MAX_HELD = 256 << 10  # octets of one direction of one connection; beyond, its sender is not read from
MAX_DATAGRAMS = 10_000  # on one directed pair's way at once; beyond, they are lost

Pair = tuple[str, str]


@dataclass(slots=True, frozen=True)
class Effect:
    """What happens on one directed pair; the default is a sound network."""

    cut: str = ""  # "silent" or "reset"
    delay: float = 0.0
    jitter: float = 0.0
    rate: float = 0.0  # octets a second; 0: without bound
    spoil: float = 0.0  # share of pieces with one octet changed
    lose: float = 0.0  # shares of datagrams
    double: float = 0.0
    reorder: float = 0.0

    def along(self, other: Effect) -> Effect:
        """Both at once: the harder cut, times added, the lower rate, shares that are independent."""
        rates = [rate for rate in (self.rate, other.rate) if rate]
        cuts = (self.cut, other.cut)
        both = {
            name: 1 - (1 - getattr(self, name)) * (1 - getattr(other, name))
            for name in ("spoil", "lose", "double", "reorder")
        }
        return Effect(
            "reset" if "reset" in cuts else "silent" if "silent" in cuts else "",
            self.delay + other.delay,
            self.jitter + other.jitter,
            min(rates, default=0.0),
            **both,
        )


SOUND = Effect()


class Network:
    """Which faults hold on which pairs."""

    def __init__(self) -> None:
        self._faults: dict[str, tuple[frozenset[Pair], Effect]] = {}
        self._now: dict[Pair, Effect] = {}

    def begin(self, name: str, pairs: Iterable[Pair], effect: Effect) -> set[Pair]:
        """A fault begins; the pairs that it changes."""
        self._faults[name] = frozenset(pairs), effect
        return self._work_out()

    def end(self, name: str) -> set[Pair]:
        """A fault is over; the pairs that this changes."""
        self._faults.pop(name, None)
        return self._work_out()

    def _work_out(self) -> set[Pair]:
        before, self._now = self._now, {}
        for pairs, effect in self._faults.values():
            for pair in pairs:
                self._now[pair] = self._now.get(pair, SOUND).along(effect)
        return {pair for pair in before.keys() | self._now.keys() if before.get(pair) != self._now.get(pair)}

    def effect(self, source: str, target: str) -> Effect:
        """What happens to what is sent from one end to the other."""
        return self._now.get((source, target), SOUND)


def spoilt(data: bytes, random: Random) -> bytes:
    """The same with one octet changed."""
    if not data:
        return data
    at = random.randrange(len(data))
    return data[:at] + bytes((data[at] ^ random.randint(1, 255),)) + data[at + 1 :]


@dataclass(slots=True, frozen=True)
class Ended:
    """The end of a stream takes its turn behind the octets."""

    reset: bool


class Stream:
    """One direction of one connection."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self._held: deque[tuple[float, bytes | Ended]] = deque()  # not before this time
        self._octets = 0
        self._free = 0.0  # when the line has sent what it was given
        self._last = 0.0

    @property
    def crowded(self) -> bool:
        """Whether the sender is to be held back."""
        return self._octets >= MAX_HELD

    def push(self, now: float, piece: bytes | Ended, effect: Effect) -> None:
        """Take octets, or the end, from the sender."""
        size = len(piece) if isinstance(piece, bytes) else 0
        if isinstance(piece, bytes) and effect.spoil and self._random.random() < effect.spoil:
            piece = spoilt(piece, self._random)
        sent = now
        if effect.rate:
            self._free = max(self._free, now) + size / effect.rate
            sent = self._free
        at = sent + effect.delay + (self._random.uniform(0, effect.jitter) if effect.jitter else 0.0)
        self._last = max(self._last, at)
        self._held.append((self._last, piece))
        self._octets += size

    def due(self, now: float, effect: Effect) -> list[bytes | Ended]:
        """What reaches the receiver now, in order; nothing while the link is cut."""
        found: list[bytes | Ended] = []
        while self._held and not effect.cut and self._held[0][0] <= now:
            piece = self._held.popleft()[1]
            self._octets -= len(piece) if isinstance(piece, bytes) else 0
            found.append(piece)
        return found

    def next_at(self, effect: Effect) -> float | None:
        """When to look again; None: when something changes."""
        return self._held[0][0] if self._held and not effect.cut else None


class Datagrams:
    """One directed pair's datagrams."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self._free = 0.0
        self.under_way = 0
        self.lost = 0

    def push(self, now: float, data: bytes, effect: Effect) -> list[tuple[float, bytes]]:
        """When which octets arrive: none, once or twice. The caller says ``arrived`` of each."""
        random = self._random
        if effect.cut or random.random() < effect.lose or self.under_way >= MAX_DATAGRAMS:
            self.lost += 1
            return []
        copies = 2 if random.random() < effect.double else 1
        found = []
        for _ in range(copies):
            sent = now
            if effect.rate:
                self._free = max(self._free, now) + len(data) / effect.rate
                sent = self._free
            at = sent + effect.delay + random.uniform(0, effect.jitter)
            if random.random() < effect.reorder:  # later ones overtake it
                at += max(effect.delay, 0.02) * random.uniform(0.5, 1.5)
            found.append((at, spoilt(data, random) if random.random() < effect.spoil else data))
        self.under_way += len(found)
        return found

    def arrived(self) -> None:
        """One is off the link."""
        self.under_way -= 1


def pairs_of(sources: Iterable[str], targets: Iterable[str], oneway: bool) -> set[Pair]:
    """Directed pairs of two sets of ends, without those from an end to itself."""
    found = {(a, b) for a in sources for b in targets if a != b}
    return found if oneway else found | {(b, a) for a, b in found}


def ways(network: Network, zones: Mapping[str, str], names: Sequence[str]) -> list[tuple[str, str, float]]:
    """Zone, other zone, and the round trip (ms) that holds now for gateways between them: the least of all pairs."""
    found: dict[Pair, float] = {}
    for a in names:
        for b in names:
            if zones[a] != zones[b]:
                both = (network.effect(a, b), network.effect(b, a))
                trip = sum(effect.delay + effect.jitter / 2 for effect in both) * 1e3
                found[zones[a], zones[b]] = min(trip, found.get((zones[a], zones[b]), trip))
    return [(*pair, trip) for pair, trip in found.items()]


def only(effect: Effect, **changes: float | str) -> Effect:
    """An effect with some of it changed."""
    return replace(effect, **changes)  # type: ignore[arg-type]
