"""Notices clients that have left although their end cannot be read. No I/O of its own.

A client that closes its connection with more data on the way than the sockets hold sends its end behind that data. As
long as the gateway does not read, it does not see the end, and the client's commands would still be sent to servers.
But a peer that has closed answers anything written to it with a reset, which the system reports at once. So a short
message that clients skip is written at intervals to each connection that is not read.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from yardbank.gateway.api import MS

CHECK_INTERVAL = 30 * MS  # an attempt may begin 100 ms after its client has left, at the latest


class UnreadConnection(Protocol):
    """A client connection that is not read, as seen from here."""

    number: int

    def check_presence(self) -> None:
        """Ends the connection if its client has left; otherwise writes a message that a closed peer resets."""


class PresenceChecks:
    """Checks the connections that are not read; a timer runs only while there are some."""

    def __init__(
        self, now: Callable[[], int], call_at: Callable[[int, Callable[[], None]], Callable[[], None]]
    ) -> None:
        """``call_at``: calls a function at a time (ns)."""
        self._now = now
        self._call_at = call_at
        self._unread: dict[int, UnreadConnection] = {}
        self._is_scheduled = False

    def paused(self, connection: UnreadConnection) -> None:
        """A connection is not read from now on."""
        self._unread[connection.number] = connection
        self._schedule()

    def resumed(self, connection: UnreadConnection) -> None:
        """A connection is read again, or has ended."""
        self._unread.pop(connection.number, None)

    def _schedule(self) -> None:
        if self._unread and not self._is_scheduled:
            self._is_scheduled = True
            self._call_at(self._now() + CHECK_INTERVAL, self._check)

    def _check(self) -> None:
        self._is_scheduled = False
        for connection in list(self._unread.values()):
            connection.check_presence()
        self._schedule()
