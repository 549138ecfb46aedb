"""Decides when a new process listens for clients. No I/O.

The list in the configuration may be older than drains that the platform counts as known from the start of the process,
so no request is sent by it. A process listens once discovery's list is in force, as clients that are refused a
connection go to another gateway. With discovery down it listens after a limited wait, to be ready in time; it knows no
server then and refuses all requests until the list is there.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

MAX_WAIT_S = 4.0  # a restarted gateway has 6 s to be ready, and loads for up to 1 s


class Readiness:
    """Calls ``become_ready`` once: with the first list, or after ``MAX_WAIT_S`` without one, if discovery is down.

    ``call_later`` is the reactor's; ``become_ready`` gets whether a list was heard.
    """

    def __init__(self, call_later: Callable[..., Any], become_ready: Callable[[bool], None]) -> None:
        self._call_later = call_later
        self._become_ready = become_ready
        self._wait: Any = None  # the timer while waiting

    def wait(self) -> None:
        """Begins to wait for the first list."""
        self._wait = self._call_later(MAX_WAIT_S, self._wait_is_over)

    def list_heard(self) -> None:
        """A list of discovery is in force."""
        if self.cancel():
            self._become_ready(True)

    def cancel(self) -> bool:
        """Ends the wait without becoming ready. Returns whether it had not ended yet."""
        wait, self._wait = self._wait, None
        if wait is None:
            return False
        wait.cancel()
        return True

    def _wait_is_over(self) -> None:
        self._wait = None
        self._become_ready(False)
