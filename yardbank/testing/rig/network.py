"""Simulated network faults. No I/O: times (seconds) and randomness are passed in.

Each directed pair of endpoints has a set of current faults. Streams keep their order, like TCP: a silent cut holds
octets, and the end of the connection, until it is over. Datagrams may be lost, duplicated and reordered.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, replace
from random import Random

MAX_HELD_OCTETS = 256 << 10  # octets in one direction of a connection; above that the rig stops reading from the sender
MAX_DATAGRAMS = 10_000  # in transit on one directed pair; further ones are lost

Pair = tuple[str, str]


@dataclass(slots=True, frozen=True)
class Effect:
    """The faults on one directed pair; the default is none."""

    cut: str = ""  # "silent" or "reset"
    delay: float = 0.0
    jitter: float = 0.0
    rate: float = 0.0  # octets per second; 0: unlimited
    spoil: float = 0.0  # share of chunks with one octet corrupted
    lose: float = 0.0  # share of datagrams, as in the two below
    double: float = 0.0
    reorder: float = 0.0

    def combined_with(self, other: Effect) -> Effect:
        """Combines two effects: worse cut, sum of times, lower rate, shares as independent probabilities."""
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


NO_FAULTS = Effect()


class Network:
    """The current faults of all directed pairs."""

    def __init__(self) -> None:
        self._faults: dict[str, tuple[frozenset[Pair], Effect]] = {}
        self._effects: dict[Pair, Effect] = {}

    def begin(self, name: str, pairs: Iterable[Pair], effect: Effect) -> set[Pair]:
        """Begins a fault; returns the changed pairs."""
        self._faults[name] = frozenset(pairs), effect
        return self._recompute()

    def end(self, name: str) -> set[Pair]:
        """Ends a fault; returns the changed pairs."""
        self._faults.pop(name, None)
        return self._recompute()

    def _recompute(self) -> set[Pair]:
        before, self._effects = self._effects, {}
        for pairs, effect in self._faults.values():
            for pair in pairs:
                self._effects[pair] = self._effects.get(pair, NO_FAULTS).combined_with(effect)
        return {pair for pair in before.keys() | self._effects.keys() if before.get(pair) != self._effects.get(pair)}

    def effect(self, source: str, target: str) -> Effect:
        """The current effect on data from ``source`` to ``target``."""
        return self._effects.get((source, target), NO_FAULTS)


def corrupt_octet(data: bytes, random: Random) -> bytes:
    """Returns the data with one octet changed."""
    if not data:
        return data
    at = random.randrange(len(data))
    return data[:at] + bytes((data[at] ^ random.randint(1, 255),)) + data[at + 1 :]


@dataclass(slots=True, frozen=True)
class StreamEnd:
    """The end of a stream, queued after its octets."""

    reset: bool


class DelayedStream:
    """One direction of one connection."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self._held: deque[tuple[float, bytes | StreamEnd]] = deque()  # with the earliest time of delivery
        self._octets = 0
        self._line_free_at = 0.0  # when the rate limit allows the next octets
        self._last_delivery = 0.0

    @property
    def is_full(self) -> bool:
        """Whether the buffer is full, so that the sender must wait."""
        return self._octets >= MAX_HELD_OCTETS

    def push(self, now: float, chunk: bytes | StreamEnd, effect: Effect) -> None:
        """Adds octets, or the end of the stream."""
        size = len(chunk) if isinstance(chunk, bytes) else 0
        if isinstance(chunk, bytes) and effect.spoil and self._random.random() < effect.spoil:
            chunk = corrupt_octet(chunk, self._random)
        sent = now
        if effect.rate:
            self._line_free_at = max(self._line_free_at, now) + size / effect.rate
            sent = self._line_free_at
        at = sent + effect.delay + (self._random.uniform(0, effect.jitter) if effect.jitter else 0.0)
        self._last_delivery = max(self._last_delivery, at)
        self._held.append((self._last_delivery, chunk))
        self._octets += size

    def due(self, now: float, effect: Effect) -> list[bytes | StreamEnd]:
        """Removes and returns what is delivered by now, in order; nothing while the link is cut."""
        found: list[bytes | StreamEnd] = []
        while self._held and not effect.cut and self._held[0][0] <= now:
            chunk = self._held.popleft()[1]
            self._octets -= len(chunk) if isinstance(chunk, bytes) else 0
            found.append(chunk)
        return found

    def next_at(self, effect: Effect) -> float | None:
        """The time of the next delivery; None: only after a change."""
        return self._held[0][0] if self._held and not effect.cut else None


class DatagramLink:
    """The datagrams in transit on one directed pair."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self._line_free_at = 0.0
        self.in_transit = 0
        self.lost = 0

    def push(self, now: float, data: bytes, effect: Effect) -> list[tuple[float, bytes]]:
        """Returns no, one or two deliveries (time, octets). The caller reports each delivery with ``arrived``."""
        random = self._random
        if effect.cut or random.random() < effect.lose or self.in_transit >= MAX_DATAGRAMS:
            self.lost += 1
            return []
        copies = 2 if random.random() < effect.double else 1
        found = []
        for _ in range(copies):
            sent = now
            if effect.rate:
                self._line_free_at = max(self._line_free_at, now) + len(data) / effect.rate
                sent = self._line_free_at
            at = sent + effect.delay + random.uniform(0, effect.jitter)
            if random.random() < effect.reorder:  # delayed so that later ones overtake it
                at += max(effect.delay, 0.02) * random.uniform(0.5, 1.5)
            found.append((at, corrupt_octet(data, random) if random.random() < effect.spoil else data))
        self.in_transit += len(found)
        return found

    def arrived(self) -> None:
        """Reports the delivery of one datagram."""
        self.in_transit -= 1


def pairs_of(sources: Iterable[str], targets: Iterable[str], oneway: bool) -> set[Pair]:
    """The directed pairs between two sets of endpoints, without pairs of an endpoint and itself."""
    found = {(a, b) for a in sources for b in targets if a != b}
    return found if oneway else found | {(b, a) for a, b in found}


def zone_round_trips(network: Network, zones: Mapping[str, str], names: Sequence[str]) -> list[tuple[str, str, float]]:
    """The current round trip (ms) between zones, as the least over all pairs of gateways."""
    found: dict[Pair, float] = {}
    for a in names:
        for b in names:
            if zones[a] != zones[b]:
                both = (network.effect(a, b), network.effect(b, a))
                trip = sum(effect.delay + effect.jitter / 2 for effect in both) * 1e3
                found[zones[a], zones[b]] = min(trip, found.get((zones[a], zones[b]), trip))
    return [(*pair, trip) for pair, trip in found.items()]


def with_changes(effect: Effect, **changes: float | str) -> Effect:
    """A copy of an effect with some fields changed."""
    return replace(effect, **changes)  # type: ignore[arg-type]
