"""Many time-outs, one timer: a heap of instants of which only the earliest is armed.

A reactor runs timers before it reads its sockets, and after a busy turn both are due at once. So a timer that is due
only lets the sockets be read once more; what is due then fires in the turn after. An answer that lies in a socket comes
before its deadline, a list before the retry that it forbids.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from itertools import count
from typing import Any

Fire = Callable[[], None]


class Deadlines:
    """Calls back at or after instants (ns), once the sockets were looked at since. What was cancelled costs nothing."""

    def __init__(self, now: Callable[[], int], call_later: Callable[..., Any]) -> None:
        self._now = now
        self._call_later = call_later
        self._heap: list[tuple[int, int]] = []
        self._fire: dict[int, Fire] = {}
        self._numbers = count()
        self._armed: Any = None
        self._armed_for = 0
        self._looking = False  # something is due: the sockets come first

    def __len__(self) -> int:
        return len(self._fire)

    def add(self, at: int, fire: Fire) -> int:
        """Call ``fire`` once ``at`` has come; returns a number to cancel by."""
        number = next(self._numbers)
        self._fire[number] = fire
        heapq.heappush(self._heap, (at, number))
        if self._armed is None or (at < self._armed_for and not self._looking):
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
            self._looking = False

    def _arm(self) -> None:
        if self._armed is not None:
            self._armed.cancel()
            self._armed = None
        while self._heap and self._heap[0][1] not in self._fire:
            heapq.heappop(self._heap)
        if self._heap:
            self._armed_for = self._heap[0][0]
            self._armed = self._call_later(max(0, self._armed_for - self._now()) / 1e9, self._due)

    def _due(self) -> None:
        """Have the sockets read once more; what is due by now, and nothing that falls due meanwhile, fires then."""
        now = self._now()
        self._looking = True
        self._armed = self._call_later(0, lambda: self._run(now))

    def _run(self, now: int) -> None:
        """Fire what was due at ``now`` (ns). An error in one goes up; the others stay armed."""
        self._armed = None
        self._looking = False
        try:
            while self._heap and self._heap[0][0] <= now:
                fire = self._fire.pop(heapq.heappop(self._heap)[1], None)
                if fire is not None:
                    fire()
        finally:
            if self._armed is None:
                self._arm()
