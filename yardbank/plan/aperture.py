"""Which servers of a group one gateway connects to, and with which weights, when it may not have them all. No I/O.

Servers lie on a ring, each as long as its share, in an order that hashing their names gives. The ring is cut into as
many equal arcs as there are gateways, and each gateway covers the same number of arcs, beginning with its own. So every
point is covered by equally many gateways: what all send together is the plan's shares exactly, without a word between
them, and a server that comes or goes moves the others' places by no more than its share. (Deterministic apertures, as
known from Finagle; the arcs' lengths are the plan's.)
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections.abc import Mapping
from dataclasses import dataclass
from fractions import Fraction

import xxhash

LEAST_WEIGHT = 0.001  # of a server that the plan gives nothing: a spare, where all others fail


class ApertureError(ValueError):
    """The gateways together cannot reach every server within their bound."""


@dataclass(slots=True, frozen=True)
class Aperture:
    """One gateway's part of a group: weights by server, and spares that serve where all others fail."""

    weights: Mapping[str, float]
    spares: tuple[str, ...]


class Ring:
    """Servers on a ring as long as their shares together. Servers without a share have no place."""

    def __init__(self, shares: Mapping[str, Fraction]) -> None:
        self.names = [
            name
            for name in sorted(shares, key=lambda name: (xxhash.xxh3_64_intdigest(name.encode()), name))
            if shares[name] > 0
        ]
        self.lows, self.highs, at = [], [], Fraction(0)
        for name in self.names:
            self.lows.append(at)
            at += shares[name]
            self.highs.append(at)
        self.length = at

    def covered(self, start: Fraction, width: Fraction) -> list[int]:
        """Places of the servers that an arc touches, each once; arcs go round."""
        if width >= self.length:
            return list(range(len(self.names)))
        first, end = bisect_right(self.highs, start), start + width
        if end <= self.length:
            return list(range(first, bisect_left(self.lows, end)))
        rest = bisect_left(self.lows, end - self.length)
        return [*range(first, len(self.names)), *range(min(rest, first))]

    def overlap(self, place: int, start: Fraction, width: Fraction) -> Fraction:
        """How much of one server an arc covers."""
        low, high, end = self.lows[place], self.highs[place], start + width
        part = max(Fraction(0), min(high, end) - max(low, start))
        return part + max(Fraction(0), min(high, end - self.length) - low)

    def arcs(self, gateways: int, most: int) -> int:
        """How many arcs each gateway covers: as many as keep all within their bound. Raises ``ApertureError``."""
        if most <= 0 or most >= len(self.names):
            return gateways
        arc = self.length / gateways
        low, high = 0, gateways
        while low < high:  # more arcs never touch fewer servers
            middle = (low + high + 1) // 2
            if all(len(self.covered(arc * g, arc * middle)) <= most for g in range(gateways)):
                low = middle
            else:
                high = middle - 1
        if low == 0:
            raise ApertureError(
                f"at most {most} servers a gateway: {gateways} gateways cannot cover {len(self.names)} by their shares"
            )
        return low


def aperture(shares: Mapping[str, Fraction], gateway: int, gateways: int, most: int, spares: int = 0) -> Aperture:
    """One gateway's servers of a group. ``most``: so many at the most (0: all). Raises ``ApertureError``."""
    ring = Ring(shares)
    idle = sorted(name for name, share in shares.items() if share == 0)
    if not ring.names:
        return Aperture({}, tuple(idle[:spares]))
    arc = ring.length / gateways
    start, width = arc * (gateway % gateways), arc * ring.arcs(gateways, most)
    places = ring.covered(start, width)
    parts = {ring.names[place]: ring.overlap(place, start, width) for place in places}
    mean = sum(parts.values(), Fraction(0)) / len(parts)
    count = len(ring.names)
    after = [ring.names[(places[-1] + step) % count] for step in range(1, count - len(places) + 1)]
    return Aperture({name: float(part / mean) for name, part in parts.items()}, tuple([*after, *idle][:spares]))
