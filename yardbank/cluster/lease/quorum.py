"""Selects the voters of a resource; all gateways compute the same ones from the same list. No I/O.

Uses rendezvous hashing (Thaler and Ravishankar 1998): each gateway has a score for each resource, and those with the
highest scores vote. Adding or removing a gateway changes the voters of few resources, and only one voter of each.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping

import xxhash


def majority(count: int) -> int:
    """The smallest size at which any two subsets of ``count`` members share a member."""
    return count // 2 + 1


def voters_of(resource: str, zones: Mapping[str, str], count: int) -> tuple[str, ...]:
    """At most ``count`` gateways of the list (``zones``: zone by name), by descending score.

    If there are enough zones, the voters outside of any one zone are still a majority; otherwise the voters are spread
    over the zones as evenly as possible.
    """
    ranked = sorted(zones, key=lambda name: (-xxhash.xxh3_64_intdigest(f"{resource}\0{name}".encode()), name))
    count = min(count, len(ranked))
    max_per_zone = max(1, count - majority(count))
    in_zone: Counter[str] = Counter()
    found: list[str] = []
    while len(found) < count:
        for name in ranked:
            if len(found) < count and name not in found and in_zone[zones[name]] < max_per_zone:
                in_zone[zones[name]] += 1
                found.append(name)
        max_per_zone += 1
    return tuple(found)
