"""Which gateway should own which channel; all gateways compute the same result from the same facts. No I/O.

Rendezvous hashing (Thaler and Ravishankar, 1998) with bounded loads (Mirrokni, Thorup and Zadimoghaddam, 2018): each
channel orders the gateways by hash and is assigned to the first one that is not full. Where the latencies between zones
are known, gateways with the lowest worst latency to the followers' zones come first. Only channels without an owner
and the surplus of an overloaded gateway are placed; other owners keep their channels. Gateways with different views
therefore cost a futile candidacy, but never move a channel.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable, Collection, Iterable, Mapping, Sequence

import xxhash

from yardbank.cluster.channels.api import MS

LatencyLookup = Callable[[str, str], "int | None"]
MAX_LOAD_FACTOR = 1.25  # maximum load of a gateway, relative to an even share
# A channel moves to a better placed gateway only if its worst latency there is at most this ratio of the present one,
# and lower by at least this gain.
RELOCATION_COST_RATIO, RELOCATION_MIN_GAIN = 0.7, 2 * MS
BUCKETS_PER_DOUBLING = 2  # latency buckets; latencies in one bucket count as equal


def load_bound(channels: int, gateways: int) -> int:
    """The most channels that one gateway may have."""
    return max(1, math.ceil(MAX_LOAD_FACTOR * channels / gateways)) if gateways else 0


class Placement:
    """Orders the gateways for each channel."""

    def __init__(self, latency_lookup: LatencyLookup) -> None:
        self._latency_lookup = latency_lookup
        self._zones: Mapping[str, str] = {}
        self._base_orders: dict[str, list[str]] = {}  # by channel: all listed gateways, by hash
        self._zones_by_followers: dict[frozenset[str], frozenset[str]] = {}

    def listed(self, zones: Mapping[str, str]) -> None:
        """Set the listed gateways and their zones."""
        self._zones = dict(zones)
        self._base_orders.clear()
        self._zones_by_followers.clear()

    def keep(self, channels: Collection[str]) -> None:
        """Forget cached orders of other channels."""
        for channel in self._base_orders.keys() - set(channels):
            del self._base_orders[channel]
        self._zones_by_followers.clear()

    def zones(self, names: frozenset[str]) -> frozenset[str]:
        """The zones of some gateways."""
        found = self._zones_by_followers.get(names)
        if found is None:
            found = self._zones_by_followers[names] = frozenset(self._zones.get(name, "") for name in names)
        return found

    def worst_latency(self, zone: str, zones: Collection[str]) -> int | None:
        """The highest latency from a zone to others, in ns; None if one of them is unknown."""
        longest = 0
        for other in zones:
            latency = 0 if other == zone else self._latency_lookup(zone, other)
            if latency is None:
                return None
            longest = max(longest, latency)
        return longest

    def cost(self, name: str, followers: frozenset[str]) -> int | None:
        """The highest latency from a gateway's zone to its followers' zones, in ns; None if unknown."""
        return self.worst_latency(self._zones.get(name, ""), self.zones(followers))

    def order(self, channel: str, candidates: frozenset[str], followers: frozenset[str] = frozenset()) -> list[str]:
        """Candidates in order of preference."""
        base_order = self._base_orders.get(channel)
        if base_order is None:
            scored = ((xxhash.xxh3_64_intdigest(f"{channel}/{name}".encode()), name) for name in self._zones)
            base_order = self._base_orders[channel] = [name for _, name in sorted(scored)]
        names = [name for name in base_order if name in candidates]
        zones = self.zones(candidates)
        if len(zones) < 2:
            return names
        follower_zones = self.zones(followers)
        buckets = {zone: self._latency_bucket(zone, follower_zones) for zone in zones}
        if None in buckets.values():  # if the latency of one zone is unknown, none is used
            return names
        return sorted(names, key=lambda name: buckets[self._zones[name]] or 0)

    def _latency_bucket(self, zone: str, zones: Collection[str]) -> int | None:
        latency = self.worst_latency(zone, zones)
        return None if latency is None else round(BUCKETS_PER_DOUBLING * math.log2(max(latency, MS) / MS))


def candidacy_order(order: Sequence[str], loads: Mapping[str, int], max_channels: int) -> list[str]:
    """The order in which gateways become candidates: as given, but full gateways last."""
    full = {name for name, load in loads.items() if load >= max_channels}
    if full.isdisjoint(order):
        return list(order)
    return [name for name in order if name not in full] + [name for name in order if name in full]


def assign(orders: Mapping[str, Sequence[str]], loads: Mapping[str, int], max_channels: int) -> dict[str, list[str]]:
    """For each channel without an owner, the order of its candidates; no gateway is first for more than its bound.

    ``orders``: of those channels; ``loads``: the number of channels that each gateway owns now.
    """
    loads = Counter(loads)
    found: dict[str, list[str]] = {}
    for channel in sorted(orders, key=lambda channel: xxhash.xxh3_64_intdigest(channel.encode())):
        if ranking := candidacy_order(orders[channel], loads, max_channels):
            found[channel] = ranking
            loads[ranking[0]] += 1
    return found


def successors(
    order: Sequence[str],
    loads: Mapping[str, int],
    max_channels: int,
    prefer: Callable[[Iterable[str]], Sequence[str]] | None,
) -> list[str]:
    """Successors at a planned end, best first.

    Gateways that ``prefer`` returns come first and may have twice the bound: a channel that moves to a gateway
    that a rollout has already changed is not moved again when the rollout reaches the others.
    """
    ranks = {name: rank for rank, name in enumerate(prefer(order))} if prefer is not None else {}

    def sort_key(name: str) -> tuple[bool, int, bool]:
        load = loads.get(name, 0)
        preferred = name in ranks and load < 2 * max_channels
        return not preferred, ranks[name] if preferred else 0, load >= max_channels

    return sorted(order, key=sort_key)
