"""Limits how many parts of searches one client may have in flight, and schedules its searches fairly. No I/O."""

from __future__ import annotations

from collections import deque
from typing import Generic, TypeVar

T = TypeVar("T")


class Budget(Generic[T]):
    """Schedules the parts of one client's searches round-robin, with one limit of parts in flight for all of them.

    The limit is halved when a part is turned away, since the gateway or the group is full, and grows by one for each
    window of parts served, up to ``max_parts``: the parts of one search must not fill a gateway or group that has no
    capacity left.
    """

    def __init__(self, max_parts: int) -> None:
        if max_parts < 1:
            raise ValueError("max_parts must be positive")
        self._max_parts = max_parts
        self._window = float(max_parts)
        self._in_flight = 0
        self._waiting: deque[T] = deque()

    @property
    def in_flight(self) -> int:
        """Parts in flight."""
        return self._in_flight

    @property
    def window(self) -> int:
        """Current limit of parts in flight."""
        return max(1, int(self._window))

    @property
    def reduced(self) -> bool:
        """Whether the limit is still reduced after parts were turned away."""
        return self._window < self._max_parts

    def enqueue(self, search: T) -> None:
        """Adds a search that has parts to send."""
        if search not in self._waiting:
            self._waiting.append(search)

    def dequeue(self, search: T) -> None:
        """Removes a search that has no more parts to send."""
        if search in self._waiting:
            self._waiting.remove(search)

    def next_search(self) -> T | None:
        """The search that may send a part now, or None; it moves to the end of the queue."""
        if self._in_flight >= self.window or not self._waiting:
            return None
        self._waiting.rotate(-1)
        return self._waiting[-1]

    def part_sent(self) -> None:
        """Counts a part that was sent."""
        self._in_flight += 1

    def part_ended(self, refused: bool = False, served: bool = False) -> None:
        """Counts a part that ended, and adjusts the limit."""
        self._in_flight -= 1
        if refused:
            self._window = max(1.0, self._window / 2)
        elif served:
            self._window = min(float(self._max_parts), self._window + 1 / self._window)
