"""A virtual clock: what is due happens in order of time, and of entry where times are equal."""

from __future__ import annotations

import heapq
from collections.abc import Callable


class VirtualClock:
    """Time in ns; it moves only when the next thing that is due is done."""

    def __init__(self, start: int = 0) -> None:
        self.now = start
        self._due: list[tuple[int, int, Callable[[], None]]] = []
        self._entered = 0

    def at(self, when: int, do: Callable[[], None]) -> None:
        """Do something at an instant; one that has passed means now."""
        self._entered += 1
        heapq.heappush(self._due, (max(when, self.now), self._entered, do))

    def run(self, until: int) -> None:
        """Do all that is due up to an instant, and stop there."""
        due = self._due
        while due and due[0][0] <= until:
            self.now, _, do = heapq.heappop(due)
            do()
        self.now = until
