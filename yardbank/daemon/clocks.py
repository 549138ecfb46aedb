"""The clocks of a process: the machine's, or clocks with an error for tests of the fleet."""

from __future__ import annotations

import time
from typing import Any


class Clocks:
    """Monotonic and wall clock in seconds. ``rate``: clock seconds per second; ``offset``: error of the wall clock."""

    def __init__(self, rate: float = 1.0, offset: float = 0.0) -> None:
        self.rate, self.offset = rate, offset
        self._monotonic_origin, self._wall_origin = time.monotonic(), time.time()

    def seconds(self) -> float:
        """Monotonic time."""
        now = time.monotonic()
        return now if self.rate == 1.0 else self._monotonic_origin + (now - self._monotonic_origin) * self.rate

    def wall(self) -> float:
        """Wall-clock time, seconds since 1970."""
        return (
            self._wall_origin + self.offset + (time.monotonic() - self._monotonic_origin) * self.rate
            if self.odd
            else time.time()
        )

    @property
    def odd(self) -> bool:
        """Whether these clocks differ from the machine's."""
        return self.rate != 1.0 or self.offset != 0.0

    def set(self, reactor: Any) -> None:
        """Makes a reactor use this monotonic clock: timers must not move when the wall clock is set."""
        reactor.seconds = time.monotonic if self.rate == 1.0 else self.seconds
        if self.rate != 1.0:  # the reactor's poll timeout is in the machine's seconds
            timeout = reactor.timeout

            def in_machine_seconds() -> float | None:
                wait = timeout()
                return None if wait is None else wait / self.rate

            reactor.timeout = in_machine_seconds
