"""A gateway's own figures as records carry them. No I/O; durations in nanoseconds."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Protocol

import xxhash

from yardbank.cluster.rollout.record import MAX_CELLS, Cell

LEAST = 100  # requests for a p99


@dataclass(slots=True, frozen=True)
class ClassFigures:
    """What came of one class's requests since the gateway's start."""

    good: int = 0  # served in time
    late: int = 0
    refused: int = 0
    failed: int = 0
    left: int = 0
    latencies: Mapping[int, int] = field(default_factory=dict)  # bucket's upper bound (ns): count, of answered requests

    def total(self) -> int:
        """All of them."""
        return self.good + self.late + self.refused + self.failed + self.left


@dataclass(slots=True, frozen=True)
class Metrics:
    """Of one gateway: by ``class_key``, and the memory of its process in octets."""

    classes: Mapping[str, ClassFigures] = field(default_factory=dict)
    memory: int = 0


def class_key(name: str, promise: Iterable[object]) -> str:
    """A class and what is promised for it: where settings change the promise, it is not the same class any more."""
    return f"{name[:32]}:{xxhash.xxh3_64_hexdigest(repr(tuple(promise)).encode())[:4]}"


def p99(before: Mapping[int, int], after: Mapping[int, int]) -> int:
    """Of what came between two histograms; 0: too few."""
    gained = sorted((bound, count - before.get(bound, 0)) for bound, count in after.items())
    total = sum(count for _, count in gained)
    if total < LEAST or min(count for _, count in gained) < 0:
        return 0
    seen = 0
    for bound, count in gained:
        seen += count
        if seen * 100 >= total * 99:
            return bound
    return 0


def cells(before: Metrics, after: Metrics) -> tuple[tuple[Cell, ...], tuple[str, ...]]:
    """A record's cells, p99 of what came since ``before``; and the classes that there is no room for.

    Those with most requests are told; of equals the first by name.
    """
    busy: Sequence[str] = sorted(after.classes, key=lambda key: (-after.classes[key].total(), key))
    told, left_out = sorted(busy[:MAX_CELLS]), tuple(sorted(busy[MAX_CELLS:]))
    found = []
    for key in told:
        one, old = after.classes[key], before.classes.get(key, ClassFigures())
        slow = p99(old.latencies, one.latencies) // 1000
        found.append(Cell(key, one.good, one.late, one.refused, one.failed, one.left, slow))
    return tuple(found), left_out


class RequestTally(Protocol):
    """One class as the gateway counts it (``gateway.tallies.Tally``)."""

    @property
    def in_time(self) -> int:
        """Served in time."""

    @property
    def late(self) -> int:
        """Served late."""

    @property
    def refused(self) -> int:
        """Turned away."""

    @property
    def failed(self) -> int:
        """Failed."""

    @property
    def left(self) -> int:
        """Given up by their clients."""

    @property
    def latencies(self) -> Sequence[int]:
        """Of what was served, by bucket."""


def of_gateway(
    tallies: Mapping[str, RequestTally],
    promises: Mapping[str, Iterable[object]],
    beyond: Callable[[int], int],
    memory: int,
) -> Metrics:
    """A gateway's figures; ``beyond``: the latency that ends a bucket; ``promises``: what is promised for a class."""
    classes = {
        class_key(name, promises[name]): ClassFigures(
            one.in_time,
            one.late,
            one.refused,
            one.failed,
            one.left,
            {beyond(index): count for index, count in enumerate(one.latencies) if count},
        )
        for name, one in tallies.items()
        if name in promises
    }
    return Metrics(classes, memory)


def resident(statm: str, page: int) -> int:
    """A process's memory (octets) by what ``/proc/self/statm`` says; 0: it says nothing."""
    words = statm.split()
    return int(words[1]) * page if len(words) > 1 and words[1].isdigit() else 0
