"""A virtual clock: callbacks run in order of time, and in order of scheduling for equal times."""

from __future__ import annotations

import heapq
from collections.abc import Callable


class VirtualClock:
    """A clock in ns that advances from one scheduled callback to the next."""

    def __init__(self, start: int = 0) -> None:
        self.now = start
        self._due: list[tuple[int, int, Callable[[], None]]] = []
        self._sequence = 0

    def at(self, when: int, do: Callable[[], None]) -> None:
        """Schedules a callback; a time in the past means now."""
        self._sequence += 1
        heapq.heappush(self._due, (max(when, self.now), self._sequence, do))

    def run(self, until: int) -> None:
        """Runs all callbacks due by a time and sets the clock to it."""
        due = self._due
        while due and due[0][0] <= until:
            self.now, _, do = heapq.heappop(due)
            do()
        self.now = until
