"""How requests ended, by class, since the gateway's start. No I/O; bounded by the number of classes.

Latencies go to buckets of a fixed size, eight for each doubling, as in an HDR histogram of one digit: a few integer
operations a request, and two gateways' figures can be added bucket by bucket.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from yardbank.interface import RequestClass

PARTS = 3  # bits: eight buckets for each doubling, so what is read off is at most an eighth too high
LEAST, MOST = 14, 37  # powers of two, ns: 16 us and 137 s; what lies beyond counts as the last
BUCKETS = (MOST - LEAST) << PARTS


def bucket(ns: int) -> int:
    """Where a latency counts."""
    held = min(max(ns, 1 << LEAST), (1 << MOST) - 1)
    power = held.bit_length() - 1
    return ((power - LEAST) << PARTS) + (held >> (power - PARTS)) - (1 << PARTS)


def beyond(index: int) -> int:
    """The least latency (ns) that is beyond a bucket."""
    power, part = divmod(index, 1 << PARTS)
    return ((1 << PARTS) + part + 1) << (power + LEAST - PARTS)


@dataclass(slots=True)
class ClassCounters:
    """One class. ``latencies`` are of what was served, in time or late."""

    in_time: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    left: int = 0
    latencies: list[int] = field(default_factory=lambda: [0] * BUCKETS)

    def quantile(self, part: float) -> int:
        """The latency (ns) that this part of what was served stayed under, at most an eighth too high; 0: none was."""
        rest = part * (self.in_time + self.late)
        for index, count in enumerate(self.latencies):
            rest -= count
            if count and rest <= 0:
                return beyond(index)
        return 0

    def since(self, earlier: ClassCounters) -> ClassCounters:
        """What came after an earlier copy was taken."""
        return ClassCounters(
            self.in_time - earlier.in_time,
            self.late - earlier.late,
            self.refused - earlier.refused,
            self.failed - earlier.failed,
            self.left - earlier.left,
            [now - then for now, then in zip(self.latencies, earlier.latencies, strict=True)],
        )


class RequestCounters:
    """All classes of one gateway."""

    def __init__(self, classes: Iterable[RequestClass]) -> None:
        self.by_class = {request_class.name: ClassCounters() for request_class in classes}

    def add(self, request_class: RequestClass, answer: str, took: int) -> None:
        """A request has ended: served, refused, failed or left, ``took`` ns after it was taken."""
        tally = self.by_class[request_class.name]
        if answer == "served":
            tally.latencies[bucket(took)] += 1
            if took <= request_class.latency_objective:
                tally.in_time += 1
            else:
                tally.late += 1
        elif answer == "refused":
            tally.refused += 1
        elif answer == "failed":
            tally.failed += 1
        else:
            tally.left += 1

    def copy(self) -> dict[str, ClassCounters]:
        """The figures as they are now, by class."""
        nothing = ClassCounters()
        return {name: tally.since(nothing) for name, tally in self.by_class.items()}

    def view(self) -> dict[str, dict[str, Any]]:
        """The same as plain values, for a log or a page; latencies in ms."""
        return {
            name: {
                "in_time": tally.in_time,
                "late": tally.late,
                "refused": tally.refused,
                "failed": tally.failed,
                "left": tally.left,
                "p50": tally.quantile(0.5) / 1e6,
                "p99": tally.quantile(0.99) / 1e6,
            }
            for name, tally in self.by_class.items()
        }
