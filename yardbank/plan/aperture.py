"""Which servers of a group one gateway connects to, and with which weights, when it may not have them all. No I/O.

Servers lie on a ring, each as long as its share, in an order that hashing their names gives. The ring is cut into as
many equal arcs as there are gateways, and each gateway covers the same number of arcs, beginning with its own. So every
point is covered by equally many gateways: what all send together is the plan's shares exactly, without a word between
them, and a server that comes or goes moves the others' places by no more than its share. (Deterministic apertures, as
known from Finagle; the arcs' lengths are the plan's.)
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
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


def ring(shares: Mapping[str, Fraction]) -> list[tuple[Fraction, Fraction, str]]:
    """Servers with their places, from 0 to 1. Servers without a share have none."""
    total = sum(shares.values(), Fraction(0))
    at, found = Fraction(0), []
    for name in sorted(shares, key=lambda name: (xxhash.xxh3_64_intdigest(name.encode()), name)):
        if shares[name] > 0:
            found.append((at, at + shares[name] / total, name))
            at += shares[name] / total
    return found


def _overlap(places: Sequence[tuple[Fraction, Fraction, str]], start: Fraction, width: Fraction) -> dict[str, Fraction]:
    """How much of each server an arc covers; arcs go round."""
    found: dict[str, Fraction] = {}
    for low, high in ((start, min(start + width, Fraction(1))), (Fraction(0), start + width - 1)):
        for first, last, name in places:
            if (part := min(high, last) - max(low, first)) > 0:
                found[name] = found.get(name, Fraction(0)) + part
    return found


def arcs(places: Sequence[tuple[Fraction, Fraction, str]], gateways: int, most: int) -> int:
    """How many arcs each gateway covers: as many as keep every gateway within its bound. Raises ``ApertureError``."""
    if most <= 0 or most >= len(places):
        return gateways
    low, high = 0, gateways
    while low < high:  # more arcs never touch fewer servers
        middle = (low + high + 1) // 2
        width = Fraction(middle, gateways)
        if all(len(_overlap(places, Fraction(g, gateways), width)) <= most for g in range(gateways)):
            low = middle
        else:
            high = middle - 1
    if low == 0:
        raise ApertureError(
            f"at most {most} servers a gateway: {gateways} gateways cannot cover {len(places)} servers by their shares"
        )
    return low


def aperture(
    shares: Mapping[str, Fraction], gateway: int, gateways: int, most: int, spares: int = 0, covered: int | None = None
) -> Aperture:
    """One gateway's servers of a group. ``most``: so many at the most (0: all); ``covered``: from ``arcs``, if known."""
    places = ring(shares)
    if not places:
        return Aperture({}, tuple(sorted(shares))[:spares])
    number = arcs(places, gateways, most) if covered is None else covered
    start = Fraction(gateway % gateways, gateways)
    parts = _overlap(places, start, Fraction(number, gateways))
    mean = sum(parts.values(), Fraction(0)) / len(parts)
    after = sorted(places, key=lambda place: (place[0] - start - Fraction(number, gateways)) % 1)
    others = [name for _, _, name in after if name not in parts]
    others += sorted(name for name, share in shares.items() if share == 0)
    return Aperture({name: float(part / mean) for name, part in parts.items()}, tuple(others[:spares]))
