"""Many time-outs, one timer: a heap of instants of which only the earliest is armed."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from itertools import count
from typing import Any

Fire = Callable[[], None]


class Deadlines:
    """Calls back at or after instants (ns). What was cancelled costs nothing when its time comes."""

    def __init__(self, now: Callable[[], int], call_later: Callable[..., Any]) -> None:
        self._now, self._call_later = now, call_later
        self._heap: list[tuple[int, int]] = []
        self._fire: dict[int, Fire] = {}
        self._numbers = count()
        self._armed: Any = None
        self._armed_for = 0

    def __len__(self) -> int:
        return len(self._fire)

    def add(self, at: int, fire: Fire) -> int:
        """Call ``fire`` once ``at`` has come; returns a number to cancel by."""
        number = next(self._numbers)
        self._fire[number] = fire
        heapq.heappush(self._heap, (at, number))
        if self._armed is None or at < self._armed_for:
            self._arm()
        return number

    def cancel(self, number: int) -> None:
        """Forget one; harmless if it has fired."""
        if self._fire.pop(number, None) is not None and len(self._heap) > 64 + 2 * len(self._fire):
            self._heap = [entry for entry in self._heap if entry[1] in self._fire]
            heapq.heapify(self._heap)

    def clear(self) -> None:
        """Forget all."""
        self._heap.clear()
        self._fire.clear()
        if self._armed is not None:
            self._armed.cancel()
            self._armed = None

    def _arm(self) -> None:
        if self._armed is not None:
            self._armed.cancel()
            self._armed = None
        while self._heap and self._heap[0][1] not in self._fire:
            heapq.heappop(self._heap)
        if self._heap:
            self._armed_for = self._heap[0][0]
            self._armed = self._call_later(max(0, self._armed_for - self._now()) / 1e9, self._run)

    def _run(self) -> None:
        self._armed = None
        now = self._now()
        while self._heap and self._heap[0][0] <= now:
            fire = self._fire.pop(heapq.heappop(self._heap)[1], None)
            if fire is not None:
                fire()
        if self._armed is None:
            self._arm()
