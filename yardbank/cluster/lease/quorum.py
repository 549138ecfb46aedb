"""Who votes on a resource: computed alike by all from the list. No I/O.

Rendezvous hashing (Thaler and Ravishankar 1998): each name has a draw for each resource, the highest draws vote. A
gateway that comes or goes changes the voters of few resources, and one voter of each.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping

import xxhash


def majority(count: int) -> int:
    """The fewest of so many of which any two choices share one."""
    return count // 2 + 1


def voters_of(resource: str, zones: Mapping[str, str], count: int) -> tuple[str, ...]:
    """At most ``count`` names of the list, by their draw.

    Where there are zones enough, no zone has so many that the others are no majority; else they are spread as evenly
    as the zones allow.
    """
    drawn = sorted(zones, key=lambda name: (-xxhash.xxh3_64_intdigest(f"{resource}\0{name}".encode()), name))
    count = min(count, len(drawn))
    most = max(1, count - majority(count))
    taken: Counter[str] = Counter()
    found: list[str] = []
    while len(found) < count:
        for name in drawn:
            if len(found) < count and name not in found and taken[zones[name]] < most:
                taken[zones[name]] += 1
                found.append(name)
        most += 1
    return tuple(found)
