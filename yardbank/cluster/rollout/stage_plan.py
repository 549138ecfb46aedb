"""Order of a rollout and pairs to compare, computed by every gateway from the peer list alone. No I/O.

Stages are prefixes of one order of the whole list. The order interleaves the zones in proportion to their sizes and
puts the last gateway of every zone into the last stage, so that until then each zone has an old gateway to compare
with. Within a zone a hash of rollout and name decides, so that rollouts do not always start with the same gateways.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from fractions import Fraction

import xxhash

MIN_STAGE_SIZE = 2  # a single gateway could show neither that the change is well nor that it is not
MIN_PAIRS, MAX_PAIRS = 6, 24  # compared pairs, whose figures are sent to all; above the lower bound only for more zones


@dataclass(slots=True, frozen=True)
class Pair:
    """A gateway of the new version and one of the old version in the same zone."""

    zone: str
    new: str
    old: str


def _hash(rollout: str, what: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{rollout}/{what}".encode())


class StagePlan:
    """Order and stages of one rollout for one peer list."""

    def __init__(self, rollout: str, zones: Mapping[str, str], stages: Sequence[float]) -> None:
        self.zones = dict(zones)
        names_by_zone: dict[str, list[str]] = defaultdict(list)
        for name in sorted(zones, key=lambda name: (_hash(rollout, name), name)):
            names_by_zone[zones[name]].append(name)
        before_last_stage = {zone: names[:-1] for zone, names in names_by_zone.items()}
        order: list[str] = []
        taken = dict.fromkeys(names_by_zone, 0)
        while remaining := [zone for zone in names_by_zone if taken[zone] < len(before_last_stage[zone])]:
            zone = min(
                remaining,
                key=lambda zone: (Fraction(taken[zone], len(names_by_zone[zone])), _hash(rollout, f"/{zone}"), zone),
            )
            order.append(before_last_stage[zone][taken[zone]])
            taken[zone] += 1
        before_last = len(order)
        self.names = tuple(order + [names[-1] for names in names_by_zone.values()])
        size = len(self.names)
        self._ends = [min(before_last, max(MIN_STAGE_SIZE, math.ceil(share * size))) for share in stages[:-1]] + [size]
        self.stages = len(stages)
        self._positions = {name: position for position, name in enumerate(self.names)}
        self.can_be_judged = before_last > 0

    def position(self, name: str) -> int:
        """Position in the order; behind all others for a gateway that is not on the list."""
        return self._positions.get(name, len(self.names))

    def stage_of(self, name: str) -> int:
        """Stage of a gateway, from 1; 0: it is not on the list."""
        position = self._positions.get(name)
        return 0 if position is None else next(stage for stage, end in enumerate(self._ends, 1) if position < end)

    def up_to(self, stage: int) -> tuple[str, ...]:
        """All gateways that are changed when a stage is complete; none for stage 0."""
        return self.names[: self._ends[stage - 1]] if stage else ()

    def of(self, stage: int) -> tuple[str, ...]:
        """Gateways that change in a stage; may be empty in a small fleet."""
        return self.names[len(self.up_to(stage - 1)) : len(self.up_to(stage))]

    def pairs(self, stage: int) -> tuple[Pair, ...]:
        """Pairs to compare during a stage; the last stage compares those of the stage before it.

        Old gateways are taken from the end of the order, so that pairs stay the same over stages.
        """
        new: dict[str, list[str]] = defaultdict(list)
        old: dict[str, list[str]] = defaultdict(list)
        ahead = set(self.up_to(min(stage, self.stages - 1)))
        for name in self.names:
            (new if name in ahead else old)[self.zones[name]].append(name)
        rows = [list(zip(new[zone], reversed(old[zone]), strict=False)) for zone in sorted(new)]
        limit = min(MAX_PAIRS, max(MIN_PAIRS, len(rows)))
        found = [
            Pair(self.zones[a], a, b)
            for turn in range(max(map(len, rows), default=0))
            for row in rows
            if turn < len(row)
            for a, b in (row[turn],)
        ]
        return tuple(found[:limit])
