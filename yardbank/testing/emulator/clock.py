"""A virtual clock: callbacks run in the order of their times, and of entry where times are equal."""

from __future__ import annotations

import heapq
from collections.abc import Callable


class VirtualClock:
    """Time in ns, which advances only to the next callback that is due."""

    def __init__(self, start: int = 0) -> None:
        self.now = start
        self._due: list[tuple[int, int, Callable[[], None]]] = []
        self._entered = 0

    def at(self, when: int, do: Callable[[], None]) -> None:
        """Schedule a callback; a time that has passed means now."""
        self._entered += 1
        heapq.heappush(self._due, (max(when, self.now), self._entered, do))

    def run(self, until: int) -> None:
        """Run everything due up to a time, and set the clock to it."""
        due = self._due
        while due and due[0][0] <= until:
            self.now, _, do = heapq.heappop(due)
            do()
        self.now = until
