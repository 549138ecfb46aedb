"""Signals from the first moment of the process on: what comes before the program can act is kept for it.

By default SIGTERM, SIGINT and SIGHUP end a process. This module imports nothing heavy, so that it is in place before
anything else is loaded.
"""

from __future__ import annotations

import signal
from collections.abc import Callable

NUMBERS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


class Signals:
    """Keeps each kind of signal that has come until ``hand_over``."""

    def __init__(self) -> None:
        self._kept: list[int] = []
        self._act: Callable[[int], None] = self._keep

    def install(self) -> None:
        """Take all three; to be called in the main thread."""
        for number in NUMBERS:
            signal.signal(number, lambda number, frame: self._act(number))

    def ignore(self) -> None:
        """All is done: from now on none of them changes how the process ends.

        The interpreter's own end puts the system's default back in place of a function, and that would kill it.
        """
        for number in NUMBERS:
            signal.signal(number, signal.SIG_IGN)

    def _keep(self, number: int) -> None:
        if number not in self._kept:  # again is once
            self._kept.append(number)

    def hand_over(self, act: Callable[[int], None]) -> None:
        """From now on ``act`` gets each number, in a signal handler; first those that were kept, in their order."""
        self._act = act
        while self._kept:
            act(self._kept.pop(0))
