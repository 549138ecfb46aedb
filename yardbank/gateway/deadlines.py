"""Many deadlines on a single reactor timer: a heap in which only the earliest deadline is armed.

A reactor runs timers before it reads its sockets, and after a long reactor iteration both are due at once. When the
timer fires, the deadlines that are due are therefore postponed by one reactor iteration, so that the sockets are read
first: a response that is already in a socket buffer is processed before its deadline expires, and a server list update
before the retry that it rules out.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from itertools import count
from typing import Any

Callback = Callable[[], None]


class Deadlines:
    """Calls functions at or after given times (ns), once the sockets have been polled; cancelling costs nothing."""

    def __init__(self, now: Callable[[], int], call_later: Callable[..., Any]) -> None:
        self._now = now
        self._call_later = call_later
        self._heap: list[tuple[int, int]] = []
        self._callbacks: dict[int, Callback] = {}
        self._numbers = count()
        self._timer: Any = None
        self._timer_due_at = 0
        self._polling_sockets = False  # a deadline is due, and the sockets are polled before it fires

    def __len__(self) -> int:
        return len(self._callbacks)

    def add(self, at: int, callback: Callback) -> int:
        """Call ``callback`` once ``at`` has been reached; returns a number to cancel it by."""
        number = next(self._numbers)
        self._callbacks[number] = callback
        heapq.heappush(self._heap, (at, number))
        if self._timer is None or (at < self._timer_due_at and not self._polling_sockets):
            self._arm()
        return number

    def cancel(self, number: int) -> None:
        """Cancel a deadline; has no effect if it has already fired."""
        if self._callbacks.pop(number, None) is not None and len(self._heap) > 64 + 2 * len(self._callbacks):
            self._heap = [entry for entry in self._heap if entry[1] in self._callbacks]
            heapq.heapify(self._heap)

    def clear(self) -> None:
        """Cancel all deadlines."""
        self._heap.clear()
        self._callbacks.clear()
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
            self._polling_sockets = False

    def _arm(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        while self._heap and self._heap[0][1] not in self._callbacks:
            heapq.heappop(self._heap)
        if self._heap:
            self._timer_due_at = self._heap[0][0]
            self._timer = self._call_later(max(0, self._timer_due_at - self._now()) / 1e9, self._on_timer)

    def _on_timer(self) -> None:
        """Poll the sockets, then fire what is due now; deadlines that pass meanwhile get a poll of their own."""
        now = self._now()
        self._polling_sockets = True
        self._timer = self._call_later(0, lambda: self._fire_due(now))

    def _fire_due(self, now: int) -> None:
        """Fire the deadlines that were due at ``now`` (ns). An exception in one propagates; the others stay armed."""
        self._timer = None
        self._polling_sockets = False
        try:
            while self._heap and self._heap[0][0] <= now:
                callback = self._callbacks.pop(heapq.heappop(self._heap)[1], None)
                if callback is not None:
                    callback()
        finally:
            if self._timer is None:
                self._arm()
