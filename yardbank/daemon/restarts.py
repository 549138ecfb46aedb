"""Backoff for restarts of a dead worker. No I/O; time is passed in, in seconds."""

from __future__ import annotations


class RestartBackoff:
    """Restarts at once the first time, then with exponential backoff up to a bound while workers die early."""

    def __init__(self, first_wait: float = 0.1, max_wait: float = 5.0, min_uptime: float = 10.0) -> None:
        self._first_wait, self._max_wait, self._min_uptime = first_wait, max_wait, min_uptime
        self._next_wait = 0.0
        self._started_at = 0.0

    def started(self, now: float) -> None:
        """The worker was started."""
        self._started_at = now

    def died(self, now: float) -> float:
        """The worker died; returns how long to wait before the next start."""
        if now - self._started_at >= self._min_uptime:
            self._next_wait = 0.0
        wait, self._next_wait = self._next_wait, min(self._max_wait, max(self._first_wait, 2 * self._next_wait))
        return wait
