"""Selects random gateways to announce a version to, some of them in other zones. No I/O."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from random import Random

OTHER_ZONE_SHARE = 0.5  # share of single messages that go to another zone


class Neighbours:
    """The other live gateways, split into those in this gateway's zone and those in other zones."""

    __slots__ = ("_name", "_other_zones", "_same_zone")

    def __init__(self, name: str) -> None:
        self._name = name
        self._same_zone: list[str] = []
        self._other_zones: list[str] = []

    def update(self, alive: Collection[str], zones: Mapping[str, str]) -> None:
        """Set the live gateways and the zone of each gateway."""
        own_zone = zones.get(self._name, "")
        self._same_zone = sorted(name for name in alive if zones.get(name, "") == own_zone and name != self._name)
        self._other_zones = sorted(name for name in alive if zones.get(name, "") != own_zone)

    def sample(self, count: int, random: Random) -> list[str]:
        """Select up to ``count`` gateways at random: one in another zone if any, the rest preferably in this zone.

        A single one is chosen from this zone with probability 1 - ``OTHER_ZONE_SHARE``.
        """
        other_zones = random.sample(self._other_zones, min(1, len(self._other_zones)))
        if count == 1 and other_zones and self._same_zone and random.random() >= OTHER_ZONE_SHARE:
            other_zones = []
        same_zone = random.sample(self._same_zone, min(count - len(other_zones), len(self._same_zone)))
        missing = count - len(other_zones) - len(same_zone)
        remaining = [name for name in self._other_zones if name not in other_zones] if missing > 0 else []
        return other_zones + same_zone + random.sample(remaining, min(missing, len(remaining)))
