"""Selects the servers of a group that one gateway connects to, and their weights, when it may not use all. No I/O.

Servers lie on a ring, ordered by the hash of their names, and each occupies a length equal to its share. The ring is
divided into as many equal arcs as there are gateways, and each gateway covers the same number of arcs, starting with
its own. So every point is covered by the same number of gateways: together they send exactly the shares of the plan,
without communicating, and adding or removing a server shifts the others by no more than its share. (These are
deterministic apertures as in Finagle, with lengths taken from the plan.)
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections.abc import Mapping
from dataclasses import dataclass
from fractions import Fraction

import xxhash

MIN_WEIGHT = 0.001  # of a server without a share in the plan: used only if all others fail


class ApertureError(ValueError):
    """The gateways together cannot cover all servers within the limit of servers per gateway."""


@dataclass(slots=True, frozen=True)
class Aperture:
    """One gateway's part of a group: weights by server, and spares that serve if all others fail."""

    weights: Mapping[str, float]
    spares: tuple[str, ...]


class Ring:
    """Servers on a ring whose length is the sum of their shares. Servers without a share are left out."""

    def __init__(self, shares: Mapping[str, Fraction]) -> None:
        self.names = [
            name
            for name in sorted(shares, key=lambda name: (xxhash.xxh3_64_intdigest(name.encode()), name))
            if shares[name] > 0
        ]
        self.starts, self.ends, offset = [], [], Fraction(0)
        for name in self.names:
            self.starts.append(offset)
            offset += shares[name]
            self.ends.append(offset)
        self.length = offset

    def covered(self, start: Fraction, width: Fraction) -> list[int]:
        """Return the indexes of the servers that an arc touches, each once. Arcs wrap around the end of the ring."""
        if width >= self.length:
            return list(range(len(self.names)))
        first, end = bisect_right(self.ends, start), start + width
        if end <= self.length:
            return list(range(first, bisect_left(self.starts, end)))
        end_after_wrap = bisect_left(self.starts, end - self.length)
        return [*range(first, len(self.names)), *range(min(end_after_wrap, first))]

    def overlap(self, index: int, start: Fraction, width: Fraction) -> Fraction:
        """Return the length of one server that an arc covers."""
        low, high, end = self.starts[index], self.ends[index], start + width
        before_wrap = max(Fraction(0), min(high, end) - max(low, start))
        return before_wrap + max(Fraction(0), min(high, end - self.length) - low)

    def arcs(self, gateways: int, most: int) -> int:
        """Return how many arcs each gateway covers: the most that respect the limit. Raises ``ApertureError``."""
        if most <= 0 or most >= len(self.names):
            return gateways
        arc = self.length / gateways
        low, high = 0, gateways
        while low < high:  # binary search: more arcs never touch fewer servers
            candidate = (low + high + 1) // 2
            if all(len(self.covered(arc * g, arc * candidate)) <= most for g in range(gateways)):
                low = candidate
            else:
                high = candidate - 1
        if low == 0:
            raise ApertureError(
                f"at most {most} servers a gateway: {gateways} gateways cannot cover {len(self.names)} by their shares"
            )
        return low


def aperture(shares: Mapping[str, Fraction], gateway: int, gateways: int, most: int, spares: int = 0) -> Aperture:
    """Return one gateway's servers of a group, at most ``most`` (0: all). Raises ``ApertureError``."""
    ring = Ring(shares)
    idle = sorted(name for name, share in shares.items() if share == 0)
    if not ring.names:
        return Aperture({}, tuple(idle[:spares]))
    arc = ring.length / gateways
    start, width = arc * (gateway % gateways), arc * ring.arcs(gateways, most)
    indexes = ring.covered(start, width)
    parts = {ring.names[index]: ring.overlap(index, start, width) for index in indexes}
    mean = sum(parts.values(), Fraction(0)) / len(parts)
    count = len(ring.names)
    followers = [ring.names[(indexes[-1] + step) % count] for step in range(1, count - len(indexes) + 1)]
    return Aperture({name: float(part / mean) for name, part in parts.items()}, tuple([*followers, *idle][:spares]))
