"""Limits the memory that all connections of one kind, to clients or to database servers, occupy together. No I/O.

Limits on each connection do not limit their sum, and the platform kills a process that exceeds its memory limit. Memory
is reserved before octets are read and before a command is queued. Each connection is guaranteed enough for one short
command or answer, so that it is served whatever others send; the rest is shared. A connection whose next message does
not fit is not read until others have freed memory; waiting connections resume in order.

A request has to be answered in time, and its time is known only once it is read. So the wait of a message is bounded:
while one waits, messages of others that make no progress are discarded, and in the end the waiting one is. A discarded
message of a client is refused, which never harms; a discarded answer of a server is a failed attempt.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from yardbank.gateway.api import MS

MEGABYTE = 10**6
BASE_MEMORY = 46 * MEGABYTE  # of the process and its connections, without data from clients
MIN_BUDGET = 4 * MEGABYTE
GUARANTEED_OCTETS = 10 << 10  # of each connection: one read, and the command that it completes
MIN_SHARED_OCTETS = 512 << 10  # a message of the greatest length, however many connections there are
CLIENT_SHARE = 0.6  # of the remaining memory
SERVER_SHARE = 0.2  # of the remaining memory; the rest is for unsent answers, lists and what the allocator keeps
MIN_SERVER_BUDGET = 2 * MEGABYTE
SERVER_GUARANTEED_OCTETS = 4 << 10  # of each connection to a server: a short answer
SERVER_MIN_SHARED_OCTETS = 1200 << 10  # an answer of the greatest length, however many connections there are
STALL_TIME = 100 * MS  # without further octets, after which a message may be discarded in favour of one that waits
MAX_MESSAGE_WAIT = 250 * MS  # of one message; a request with no time left must be answered within half a second


@dataclass(slots=True, frozen=True)
class Reservation:
    """What a connection occupies and wants to occupy."""

    occupied: int  # octets
    wanted: int  # octets, including the rest of the message that is being received
    is_message: bool = False  # it is for a message that may need more than is guaranteed
    last_received: int | None = None  # when octets of that message were last received (ns); None: it is complete


class MemoryBudget:
    """Memory that each connection occupies, by the caller's numbers, and the connections that wait for memory.

    Invariants: a reservation never takes more than ``limit`` together, except that each connection always gets its
    guaranteed octets, and all together always get ``min_shared`` beyond those. A connection waits only while it,
    or others, occupy memory that a time limit will free.
    """

    def __init__(self, limit: int, guaranteed: int = 0, min_shared: int = MIN_SHARED_OCTETS) -> None:
        """``limit``: octets of all connections together; ``guaranteed``: octets that each one may always occupy.

        ``min_shared``: octets that all together may always occupy beyond those.
        """
        self.limit = limit
        self._min_shared = min_shared
        self.used = 0
        self._guaranteed = guaranteed
        self._connections: set[int] = set()
        self._shared = 0  # octets that connections occupy beyond what is guaranteed to them
        self._occupied: dict[int, int] = {}
        self._waiting_messages: dict[int, int] = {}  # connections whose message waits, since when (ns), in order
        self._waiting: dict[int, None] = {}  # other connections that wait, in order
        self._last_received: dict[int, int] = {}  # by connection with a reservation for an incomplete message (ns)

    @classmethod
    def of(cls, memory_mb: int) -> MemoryBudget:
        """Returns the budget for all clients of a process with this memory limit."""
        available = memory_mb * MEGABYTE - BASE_MEMORY
        return cls(max(MIN_BUDGET, int(available * CLIENT_SHARE)), GUARANTEED_OCTETS)

    @classmethod
    def for_servers(cls, memory_mb: int) -> MemoryBudget:
        """Returns the budget for all server connections of a process with this memory limit."""
        available = memory_mb * MEGABYTE - BASE_MEMORY
        limit = max(MIN_SERVER_BUDGET, int(available * SERVER_SHARE))
        return cls(limit, SERVER_GUARANTEED_OCTETS, SERVER_MIN_SHARED_OCTETS)

    @property
    def shared_limit(self) -> int:
        """Octets that connections may occupy together beyond what is guaranteed to each."""
        if not self._guaranteed:
            return self.limit
        return max(self._min_shared, self.limit - self._guaranteed * len(self._connections))

    @property
    def is_full(self) -> bool:
        """Whether nothing more fits beyond what is guaranteed."""
        return self._shared >= self.shared_limit

    def connected(self, number: int) -> None:
        """Adds a connection, to which memory is guaranteed until it is released."""
        self._connections.add(number)

    @property
    def waiting_count(self) -> int:
        """Number of connections that wait for memory."""
        return len(self._waiting_messages) + len(self._waiting)

    @property
    def waits_for_message(self) -> bool:
        """Whether a message waits for memory, so that a request may be kept from its answer."""
        return bool(self._waiting_messages)

    def reserve(self, number: int, reservation: Reservation, now: int) -> bool:
        """Reserves memory for a connection at ``now`` (ns).

        Returns whether it fits; otherwise the connection keeps what it occupies and waits.
        """
        wanted = reservation.wanted
        others = self._shared - self._beyond_guaranteed(self._occupied.get(number, 0))
        has_room = others + self._beyond_guaranteed(wanted) <= self.shared_limit
        fits = has_room or wanted <= max(self._guaranteed, self._occupied.get(number, 0))
        self._set(number, wanted if fits else reservation.occupied)
        self._last_received.pop(number, None)
        if not fits:
            self._wait(number, reservation.is_message, now)
            return False
        self._waiting.pop(number, None)
        self._waiting_messages.pop(number, None)
        if reservation.last_received is not None:
            self._last_received[number] = reservation.last_received
        return True

    def _wait(self, number: int, is_message: bool, now: int) -> None:
        if is_message:
            self._waiting.pop(number, None)
            self._waiting_messages.setdefault(number, now)
        else:
            self._waiting_messages.pop(number, None)
            self._waiting.setdefault(number)

    def release(self, number: int) -> None:
        """Frees everything that a connection occupies; nothing is guaranteed to it any longer."""
        self._set(number, 0)
        self._connections.discard(number)
        self._last_received.pop(number, None)
        self._waiting.pop(number, None)
        self._waiting_messages.pop(number, None)

    def waiting(self) -> list[int]:
        """Returns the connections that wait, those with a message first."""
        return [*self._waiting_messages, *self._waiting]

    def resumable(self) -> Iterator[int]:
        """Yields waiting connections in order, as long as memory is free and the one before no longer waits.

        The caller lets each reserve again. So memory that is freed bit by bit adds up for a large message, and is not
        offered to all who wait each time.
        """
        for number in self.waiting():
            if self.is_full:
                return
            if self._waits(number):
                yield number
                if self._waits(number):
                    return

    def _waits(self, number: int) -> bool:
        return number in self._waiting_messages or number in self._waiting

    def stalled(self, now: int) -> list[int]:
        """Returns the connections whose reserved message makes no progress, those that stall longest first."""
        found = [(at, number) for number, at in self._last_received.items() if now - at >= STALL_TIME]
        return [number for _, number in sorted(found)]

    def overdue(self, now: int) -> list[int]:
        """Returns the connections whose message has waited as long as it may."""
        return [number for number, since in self._waiting_messages.items() if now - since >= MAX_MESSAGE_WAIT]

    def _set(self, number: int, octets: int) -> None:
        before = self._occupied.pop(number, 0)
        self.used += octets - before
        self._shared += self._beyond_guaranteed(octets) - self._beyond_guaranteed(before)
        if octets:
            self._occupied[number] = octets

    def _beyond_guaranteed(self, octets: int) -> int:
        return max(0, octets - self._guaranteed)
