"""Who should carry which channel: computed alike by all from the same facts. No I/O.

Rendezvous hashing (Thaler and Ravishankar, 1998) with bounded loads (Mirrokni, Thorup and Zadimoghaddam, 2018): each
channel has an order of its gateways, and goes to the first of them that is not full. Where the map tells the ways
between zones, the order begins with those whose worst way to the followers' zones is shortest. Who holds a channel
keeps it: only channels without an owner are placed, and the surplus of a gateway that has too many. So views that
differ cost a bid in vain, never a channel's move.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable, Collection, Iterable, Mapping, Sequence

import xxhash

from yardbank.cluster.channels.api import MS

Distance = Callable[[str, str], "int | None"]
LOAD = 1.25  # of an even share, that one gateway has at most
BETTER, BETTER_BY = 0.7, 2 * MS  # a place is worth a move if its worst way is so much shorter
FINE = 2  # steps of cost in each doubling: ways that differ less count as equal


def bound(channels: int, gateways: int) -> int:
    """How many channels one gateway has at most."""
    return max(1, math.ceil(LOAD * channels / gateways)) if gateways else 0


class Placement:
    """Orders of gateways by channel."""

    def __init__(self, distance: Distance) -> None:
        self._distance = distance
        self._zones: Mapping[str, str] = {}
        self._bases: dict[str, list[str]] = {}  # by channel: all gateways of the list, by score
        self._wide: dict[frozenset[str], frozenset[str]] = {}  # by followers: their zones

    def listed(self, zones: Mapping[str, str]) -> None:
        """Gateways of the list, and their zones."""
        self._zones = dict(zones)
        self._bases.clear()
        self._wide.clear()

    def keep(self, channels: Collection[str]) -> None:
        """Forget what is known of other channels."""
        for channel in self._bases.keys() - set(channels):
            del self._bases[channel]
        self._wide.clear()

    def zones(self, names: frozenset[str]) -> frozenset[str]:
        """Where some gateways are."""
        found = self._wide.get(names)
        if found is None:
            found = self._wide[names] = frozenset(self._zones.get(name, "") for name in names)
        return found

    def worst_latency(self, zone: str, zones: Collection[str]) -> int | None:
        """The longest way from a zone to others, ns; None: one of them is not known."""
        longest = 0
        for other in zones:
            way = 0 if other == zone else self._distance(zone, other)
            if way is None:
                return None
            longest = max(longest, way)
        return longest

    def cost(self, name: str, followers: frozenset[str]) -> int | None:
        """The longest way from a gateway's zone to its followers', ns; None: not known."""
        return self.worst_latency(self._zones.get(name, ""), self.zones(followers))

    def order(self, channel: str, candidates: frozenset[str], followers: frozenset[str] = frozenset()) -> list[str]:
        """Candidates, the best place first."""
        base = self._bases.get(channel)
        if base is None:
            scored = ((xxhash.xxh3_64_intdigest(f"{channel}/{name}".encode()), name) for name in self._zones)
            base = self._bases[channel] = [name for _, name in sorted(scored)]
        names = [name for name in base if name in candidates]
        zones = self.zones(candidates)
        if len(zones) < 2:
            return names
        wanted = self.zones(followers)
        steps = {zone: self._step(zone, wanted) for zone in zones}
        if None in steps.values():  # what is not known of one zone counts for none
            return names
        return sorted(names, key=lambda name: steps[self._zones[name]] or 0)

    def _step(self, zone: str, zones: Collection[str]) -> int | None:
        way = self.worst_latency(zone, zones)
        return None if way is None else round(FINE * math.log2(max(way, MS) / MS))


def turns(order: Sequence[str], loads: Mapping[str, int], most: int) -> list[str]:
    """Whose turn it is to bid: in that order, but who is full comes last."""
    full = {name for name, load in loads.items() if load >= most}
    if full.isdisjoint(order):
        return list(order)
    return [name for name in order if name not in full] + [name for name in order if name in full]


def place(orders: Mapping[str, Sequence[str]], loads: Mapping[str, int], most: int) -> dict[str, list[str]]:
    """For each channel without an owner, whose turn it is, the first first: nobody gets more than the bound.

    ``orders``: of those channels; ``loads``: how many each gateway carries now.
    """
    loads = Counter(loads)
    found: dict[str, list[str]] = {}
    for channel in sorted(orders, key=lambda channel: xxhash.xxh3_64_intdigest(channel.encode())):
        if queue := turns(orders[channel], loads, most):
            found[channel] = queue
            loads[queue[0]] += 1
    return found


def successors(
    order: Sequence[str], loads: Mapping[str, int], most: int, prefer: Callable[[Iterable[str]], Sequence[str]] | None
) -> list[str]:
    """Who should be next after a planned end, the best first.

    Those that ``prefer`` names come first and may have twice the bound: a channel that goes where a rollout has been
    already is not handed on again when the rest follows.
    """
    ranks = {name: rank for rank, name in enumerate(prefer(order))} if prefer is not None else {}

    def worth(name: str) -> tuple[bool, int, bool]:
        load = loads.get(name, 0)
        liked = name in ranks and load < 2 * most
        return not liked, ranks[name] if liked else 0, load >= most

    return sorted(order, key=worth)
