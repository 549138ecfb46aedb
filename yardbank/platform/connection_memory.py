"""Memory of all connections of one kind: reserves it, resumes connections that wait and ends waits that are too long.

``MemoryBudget`` decides; this module calls the connections and owns the timer, which runs only while some wait.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from yardbank.gateway.api import MS
from yardbank.platform.memory_budget import MemoryBudget, Reservation

CHECK_INTERVAL = 50 * MS  # between checks for waits that are too long


class MemoryUser(Protocol):
    """A connection to a client or a server, as seen from here."""

    number: int

    def memory_freed(self) -> None:
        """Goes on after waiting for memory."""

    def discard_message(self) -> None:
        """Frees the memory of the message that is being received, which will not be used."""

    def present(self) -> bool:
        """Whether the peer is still connected; the connection ends if it is not."""

    def unread(self) -> bool:
        """Whether octets of the peer are unread in the socket."""


class ConnectionMemory:
    """Memory of all connections of one kind, by their numbers."""

    def __init__(
        self,
        budget: MemoryBudget,
        now: Callable[[], int],
        call_at: Callable[[int, Callable[[], None]], Callable[[], None]],
        on_full: Callable[[], None],
    ) -> None:
        """``call_at``: calls a function at a time (ns); ``on_full``: called when a reservation does not fit."""
        self.budget = budget
        self.discarded = 0  # messages that were discarded for lack of memory
        self._now = now
        self._call_at = call_at
        self._on_full = on_full
        self._users: dict[int, MemoryUser] = {}
        self._is_resuming = False
        self._is_check_scheduled = False

    @property
    def is_full(self) -> bool:
        """Whether nothing more fits beyond what is guaranteed to each connection."""
        return self.budget.is_full

    def connected(self, user: MemoryUser) -> None:
        """Adds a connection."""
        self._users[user.number] = user
        self.budget.connected(user.number)

    def reserve(self, user: MemoryUser, wanted: Reservation) -> bool:
        """Reserves memory for a connection. Returns whether it fits; if not, ``memory_freed`` is called later."""
        used = self.budget.used
        fits = self.budget.reserve(user.number, wanted, self._now())
        if not fits:
            self._on_full()
            self._schedule_check()
        if self.budget.used < used:
            self._resume_waiting()
        return fits

    def release(self, user: MemoryUser) -> None:
        """Frees everything that a connection occupies."""
        self.budget.release(user.number)
        self._users.pop(user.number, None)
        self._resume_waiting()

    def view(self) -> dict[str, int]:
        """Returns figures for the log: octets used and allowed, connections that wait, messages discarded."""
        budget = self.budget
        return {
            "used": budget.used,
            "limit": budget.limit,
            "waiting": budget.waiting_count,
            "discarded": self.discarded,
        }

    def _resume_waiting(self) -> None:
        if self._is_resuming:
            return
        self._is_resuming = True
        try:
            for number in self.budget.resumable():
                self._users[number].memory_freed()
        finally:
            self._is_resuming = False

    def _schedule_check(self) -> None:
        if self.budget.waiting_count and not self._is_check_scheduled:
            self._is_check_scheduled = True
            self._call_at(self._now() + CHECK_INTERVAL, self._check)

    def _check(self) -> None:
        """Frees memory of peers that have left or make no progress, and ends waits that are too long."""
        self._is_check_scheduled = False
        now = self._now()
        for number in self.budget.waiting():
            self._users[number].present()  # a paused connection does not see the client's end by itself
        self._discard_stalled(now)
        for number in self.budget.overdue(now):
            self._discard(number)
        self._resume_waiting()  # an offer is lost if it meets a connection that is just being advanced
        self._schedule_check()

    def _discard_stalled(self, now: int) -> None:
        """Discards messages without progress until no message waits."""
        checked: set[int] = set()
        while pending := [number for number in self.budget.stalled(now) if number not in checked]:
            for number in pending:  # those that get the memory then may be stalled as well
                checked.add(number)
                user = self._users.get(number)
                if self.budget.waits_for_message and user is not None and not user.unread():
                    self._discard(number)

    def _discard(self, number: int) -> None:
        """Discards a message; its connection may have ended because of one discarded before."""
        if (user := self._users.get(number)) is not None:
            self.discarded += 1
            user.discard_message()
