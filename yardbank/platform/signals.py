"""Queues signals from the start of the process until the program can handle them.

By default SIGTERM, SIGINT and SIGHUP end a process. This module imports nothing heavy, so that the handlers are in
place before anything else is loaded.
"""

from __future__ import annotations

import signal
from collections.abc import Callable

HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


class Signals:
    """Queues each kind of signal once until ``set_handler`` is called."""

    def __init__(self) -> None:
        self._pending: list[int] = []
        self._handler: Callable[[int], None] = self._queue

    def install(self) -> None:
        """Installs handlers for all signals in ``HANDLED_SIGNALS``; must be called in the main thread."""
        for number in HANDLED_SIGNALS:
            signal.signal(number, lambda number, frame: self._handler(number))

    def ignore(self) -> None:
        """Ignores the signals from now on, so that none of them changes the exit code.

        At exit the interpreter replaces Python handlers with the system's default, which would kill the process.
        """
        for number in HANDLED_SIGNALS:
            signal.signal(number, signal.SIG_IGN)

    def _queue(self, number: int) -> None:
        if number not in self._pending:  # a repeated signal is queued once
            self._pending.append(number)

    def set_handler(self, handler: Callable[[int], None]) -> None:
        """Passes each signal number to ``handler``, in a signal handler; queued ones first, in order."""
        self._handler = handler
        while self._pending:
            handler(self._pending.pop(0))
