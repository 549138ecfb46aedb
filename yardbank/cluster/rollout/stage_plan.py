"""Who goes when, and who is compared with whom: worked out alike by all from the list alone. No I/O.

Stages are beginnings of one order of the whole list. It takes the zones by turns, by the share of each that is in it
already, and keeps the last gateway of every zone for the last stage: until then each zone has an old one to compare
with. Within a zone a hash of rollout and name decides, so that it is not always the same ones who go first.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from fractions import Fraction

import xxhash

LEAST = 2  # members of a stage: one alone could neither show that the change is well nor that it is not
PAIRS, MOST_PAIRS = 6, 24  # whose figures are told to all; more only where there are more zones


@dataclass(slots=True, frozen=True)
class Pair:
    """A new one and an old one of the same zone."""

    zone: str
    new: str
    old: str


def _drawn(rollout: str, what: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{rollout}/{what}".encode())


class StagePlan:
    """The order of one rollout over one list."""

    def __init__(self, rollout: str, zones: Mapping[str, str], stages: Sequence[float]) -> None:
        self.zones = dict(zones)
        by: dict[str, list[str]] = defaultdict(list)
        for name in sorted(zones, key=lambda name: (_drawn(rollout, name), name)):
            by[zones[name]].append(name)
        early = {zone: names[:-1] for zone, names in by.items()}
        order: list[str] = []
        taken = dict.fromkeys(by, 0)
        while left := [zone for zone in by if taken[zone] < len(early[zone])]:
            zone = min(left, key=lambda zone: (Fraction(taken[zone], len(by[zone])), _drawn(rollout, f"/{zone}"), zone))
            order.append(early[zone][taken[zone]])
            taken[zone] += 1
        before_last = len(order)
        self.names = tuple(order + [names[-1] for names in by.values()])
        size = len(self.names)
        self._ends = [min(before_last, max(LEAST, math.ceil(share * size))) for share in stages[:-1]] + [size]
        self.stages = len(stages)
        self._positions = {name: position for position, name in enumerate(self.names)}
        self.can_be_judged = before_last > 0

    def position(self, name: str) -> int:
        """Its place in the order; after all others: it is not on the list."""
        return self._positions.get(name, len(self.names))

    def stage_of(self, name: str) -> int:
        """The stage that it goes in, from 1; 0: it is not on the list."""
        position = self._positions.get(name)
        return 0 if position is None else next(stage for stage, end in enumerate(self._ends, 1) if position < end)

    def upto(self, stage: int) -> tuple[str, ...]:
        """All that have gone when a stage is through; of stage 0 nobody."""
        return self.names[: self._ends[stage - 1]] if stage else ()

    def of(self, stage: int) -> tuple[str, ...]:
        """Those that go in a stage; may be none of a small fleet."""
        return self.names[len(self.upto(stage - 1)) : len(self.upto(stage))]

    def pairs(self, stage: int) -> tuple[Pair, ...]:
        """Whose figures are compared while a stage is under way; in the last one those of the stage before it.

        The old ones are taken from the end of the order, so that pairs last over stages.
        """
        new: dict[str, list[str]] = defaultdict(list)
        old: dict[str, list[str]] = defaultdict(list)
        ahead = set(self.upto(min(stage, self.stages - 1)))
        for name in self.names:
            (new if name in ahead else old)[self.zones[name]].append(name)
        rows = [list(zip(new[zone], reversed(old[zone]), strict=False)) for zone in sorted(new)]
        most = min(MOST_PAIRS, max(PAIRS, len(rows)))
        found = [
            Pair(self.zones[a], a, b)
            for turn in range(max(map(len, rows), default=0))
            for row in rows
            if turn < len(row)
            for a, b in (row[turn],)
        ]
        return tuple(found[:most])
