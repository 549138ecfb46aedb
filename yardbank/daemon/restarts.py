"""When a worker that died is started again. No I/O; time is passed in, in seconds."""

from __future__ import annotations


class Restarts:
    """At once the first time; after that later each time, up to a bound, as long as it dies young."""

    def __init__(self, first: float = 0.1, most: float = 5.0, settled: float = 10.0) -> None:
        self._first, self._most, self._settled = first, most, settled
        self._wait = 0.0
        self._started = 0.0

    def started(self, now: float) -> None:
        """The worker was started."""
        self._started = now

    def died(self, now: float) -> float:
        """The worker died: how long to wait before the next start."""
        if now - self._started >= self._settled:
            self._wait = 0.0
        wait, self._wait = self._wait, min(self._most, max(self._first, 2 * self._wait))
        return wait
