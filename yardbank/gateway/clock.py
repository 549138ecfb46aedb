"""The gateway's clock: nanoseconds that never go back, whatever the source does."""

from __future__ import annotations

from collections.abc import Callable


class SteadyClock:
    """Nanoseconds from a source of seconds; a source that steps back is held at its latest value."""

    def __init__(self, seconds: Callable[[], float]) -> None:
        self._seconds = seconds
        self._latest = 0

    def now(self) -> int:
        """The time, in nanoseconds, never less than before."""
        now = int(self._seconds() * 1e9)
        self._latest = max(self._latest, now)
        return self._latest


def started_at(now: int, wall_now: float, started: float) -> int:
    """A start told in wall-clock seconds, on the steady clock: at most now, at least 1; 0 means long ago."""
    if started <= 0:
        return 0
    return max(1, min(now, now - int((wall_now - started) * 1e9)))
