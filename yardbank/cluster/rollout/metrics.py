"""A gateway's request and memory figures in the form that records carry. No I/O; durations in nanoseconds."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Protocol

import xxhash

from yardbank.cluster.rollout.record import MAX_CELLS, Cell

MIN_P99_REQUESTS = 100


@dataclass(slots=True, frozen=True)
class ClassFigures:
    """Outcomes of one class's requests since the start of the gateway."""

    good: int = 0  # served in time
    late: int = 0
    refused: int = 0
    failed: int = 0
    left: int = 0  # abandoned by the client
    latencies: Mapping[int, int] = field(default_factory=dict)  # bucket's upper bound (ns): count, of answered requests

    def total(self) -> int:
        """Number of requests with any outcome."""
        return self.good + self.late + self.refused + self.failed + self.left


@dataclass(slots=True, frozen=True)
class Metrics:
    """Figures of one gateway: classes by ``class_key``, resident memory of the process in octets."""

    classes: Mapping[str, ClassFigures] = field(default_factory=dict)
    memory: int = 0


def class_key(name: str, promise: Iterable[object]) -> str:
    """Name of a class with a hash of its targets: a class whose targets differ is not comparable."""
    return f"{name[:32]}:{xxhash.xxh3_64_hexdigest(repr(tuple(promise)).encode())[:4]}"


def p99(before: Mapping[int, int], after: Mapping[int, int]) -> int:
    """The 99th percentile of what was added between two histograms; 0: too few samples."""
    added = sorted((bound, count - before.get(bound, 0)) for bound, count in after.items())
    total = sum(count for _, count in added)
    if total < MIN_P99_REQUESTS or min(count for _, count in added) < 0:
        return 0
    seen = 0
    for bound, count in added:
        seen += count
        if seen * 100 >= total * 99:
            return bound
    return 0


def cells(before: Metrics, after: Metrics) -> tuple[tuple[Cell, ...], tuple[str, ...]]:
    """Cells of a record, with the p99 since ``before``; and the classes that did not fit.

    The classes with most requests are included, ties by name.
    """
    ordered: Sequence[str] = sorted(after.classes, key=lambda key: (-after.classes[key].total(), key))
    included, omitted = sorted(ordered[:MAX_CELLS]), tuple(sorted(ordered[MAX_CELLS:]))
    found = []
    for key in included:
        new, old = after.classes[key], before.classes.get(key, ClassFigures())
        p99_us = p99(old.latencies, new.latencies) // 1000
        found.append(Cell(key, new.good, new.late, new.refused, new.failed, new.left, p99_us))
    return tuple(found), omitted


class RequestTally(Protocol):
    """Counters of one class as the gateway keeps them (``gateway.request_counters``)."""

    @property
    def in_time(self) -> int:
        """Served in time."""

    @property
    def late(self) -> int:
        """Served late."""

    @property
    def refused(self) -> int:
        """Rejected."""

    @property
    def failed(self) -> int:
        """Failed."""

    @property
    def left(self) -> int:
        """Abandoned by their clients."""

    @property
    def latencies(self) -> Sequence[int]:
        """Histogram of the latencies of served requests: count by bucket."""


def of_gateway(
    tallies: Mapping[str, RequestTally],
    promises: Mapping[str, Iterable[object]],
    bucket_bound: Callable[[int], int],
    memory: int,
) -> Metrics:
    """Figures of a gateway; ``bucket_bound``: a latency bucket's upper bound; ``promises``: targets by class."""
    classes = {
        class_key(name, promises[name]): ClassFigures(
            tally.in_time,
            tally.late,
            tally.refused,
            tally.failed,
            tally.left,
            {bucket_bound(index): count for index, count in enumerate(tally.latencies) if count},
        )
        for name, tally in tallies.items()
        if name in promises
    }
    return Metrics(classes, memory)


def resident(statm: str, page: int) -> int:
    """Resident memory in octets from the text of ``/proc/self/statm``; 0: unreadable. ``page``: octets of a page."""
    words = statm.split()
    return int(words[1]) * page if len(words) > 1 and words[1].isdigit() else 0
