"""Which gateways are told of a version: drawn anew each time, some in other zones. No I/O."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from random import Random

ACROSS = 0.5  # of single messages, the share that goes to another zone


class Neighbours:
    """The other gateways that are there, by whether they are in this gateway's zone."""

    __slots__ = ("_far", "_name", "_near")

    def __init__(self, name: str) -> None:
        self._name = name
        self._near: list[str] = []
        self._far: list[str] = []

    def update(self, alive: Collection[str], zones: Mapping[str, str]) -> None:
        """Who is there now, and everybody's zone."""
        here = zones.get(self._name, "")
        self._near = sorted(name for name in alive if zones.get(name, "") == here and name != self._name)
        self._far = sorted(name for name in alive if zones.get(name, "") != here)

    def draw(self, count: int, random: Random) -> list[str]:
        """So many, if there are: one in another zone where there is one, the rest in this zone first."""
        far = random.sample(self._far, min(1, len(self._far)))
        if count == 1 and far and self._near and random.random() >= ACROSS:
            far = []
        near = random.sample(self._near, min(count - len(far), len(self._near)))
        more = count - len(far) - len(near)
        others = [name for name in self._far if name not in far] if more > 0 else []
        return far + near + random.sample(others, min(more, len(others)))
