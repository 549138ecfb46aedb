"""Counts how requests ended since the gateway's start, by class. No I/O; bounded by the number of classes.

Latencies are counted in a histogram of fixed size with eight buckets per power of two, like an HDR histogram of one
significant digit: recording takes a few integer operations, and histograms of gateways can be added bucket by bucket.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from yardbank.interface import RequestClass

BUCKET_BITS = 3  # eight buckets per power of two: a quantile is at most an eighth too high
FIRST_POWER, LIMIT_POWER = 14, 37  # powers of two, ns: 16 us and 137 s; the outer buckets count all beyond
BUCKET_COUNT = (LIMIT_POWER - FIRST_POWER) << BUCKET_BITS


def bucket_index(ns: int) -> int:
    """Return the index of a latency's bucket."""
    clamped = min(max(ns, 1 << FIRST_POWER), (1 << LIMIT_POWER) - 1)
    power = clamped.bit_length() - 1
    return ((power - FIRST_POWER) << BUCKET_BITS) + (clamped >> (power - BUCKET_BITS)) - (1 << BUCKET_BITS)


def bucket_upper_bound(index: int) -> int:
    """Return the exclusive upper bound (ns) of a bucket."""
    power, offset = divmod(index, 1 << BUCKET_BITS)
    return ((1 << BUCKET_BITS) + offset + 1) << (power + FIRST_POWER - BUCKET_BITS)


@dataclass(slots=True)
class ClassCounters:
    """Counters of one request class. ``latencies`` counts served requests, in time or late."""

    in_time: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    left: int = 0
    latencies: list[int] = field(default_factory=lambda: [0] * BUCKET_COUNT)

    def quantile(self, fraction: float) -> int:
        """Return the latency (ns) that this fraction of served requests stayed under; 0: none was served.

        The result is at most an eighth too high.
        """
        remaining = fraction * (self.in_time + self.late)
        for index, count in enumerate(self.latencies):
            remaining -= count
            if count and remaining <= 0:
                return bucket_upper_bound(index)
        return 0

    def since(self, earlier: ClassCounters) -> ClassCounters:
        """Return the difference to an earlier copy."""
        return ClassCounters(
            self.in_time - earlier.in_time,
            self.late - earlier.late,
            self.refused - earlier.refused,
            self.failed - earlier.failed,
            self.left - earlier.left,
            [now - then for now, then in zip(self.latencies, earlier.latencies, strict=True)],
        )


class RequestCounters:
    """Counters of all request classes of one gateway."""

    def __init__(self, classes: Iterable[RequestClass]) -> None:
        self.by_class = {request_class.name: ClassCounters() for request_class in classes}

    def add(self, request_class: RequestClass, answer: str, took: int) -> None:
        """Count a request that was served, refused, failed or left by its client, ``took`` ns after it was accepted."""
        counters = self.by_class[request_class.name]
        if answer == "served":
            counters.latencies[bucket_index(took)] += 1
            if took <= request_class.latency_objective:
                counters.in_time += 1
            else:
                counters.late += 1
        elif answer == "refused":
            counters.refused += 1
        elif answer == "failed":
            counters.failed += 1
        else:
            counters.left += 1

    def copy(self) -> dict[str, ClassCounters]:
        """Return a copy of the counters, by class."""
        nothing = ClassCounters()
        return {name: counters.since(nothing) for name, counters in self.by_class.items()}

    def view(self) -> dict[str, dict[str, Any]]:
        """Return the counters as plain values for the log; latencies in ms."""
        return {
            name: {
                "in_time": counters.in_time,
                "late": counters.late,
                "refused": counters.refused,
                "failed": counters.failed,
                "left": counters.left,
                "p50": counters.quantile(0.5) / 1e6,
                "p99": counters.quantile(0.99) / 1e6,
            }
            for name, counters in self.by_class.items()
        }
