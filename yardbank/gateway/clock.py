"""The gateway's clock: nanoseconds that never decrease, even if the time source does."""

from __future__ import annotations

from collections.abc import Callable


class SteadyClock:
    """Monotonic nanoseconds from a source of seconds; if the source steps back, the latest value is kept."""

    def __init__(self, seconds: Callable[[], float]) -> None:
        self._seconds = seconds
        self._latest = 0

    def now(self) -> int:
        """Return the current time in nanoseconds, never less than an earlier result."""
        now = int(self._seconds() * 1e9)
        self._latest = max(self._latest, now)
        return self._latest


def started_at(now: int, wall_now: float, started: float) -> int:
    """Convert a start time from wall-clock seconds to the monotonic clock: at least 1, at most now; 0: long ago."""
    if started <= 0:
        return 0
    return max(1, min(now, now - int((wall_now - started) * 1e9)))
