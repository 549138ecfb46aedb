"""Limits the memory that all clients of one gateway occupy together. No I/O.

Limits on each connection do not limit their sum, and the platform kills a process that exceeds its memory limit. Memory
is reserved before octets are read and before a command is queued. Each connection is guaranteed enough for one short
command, so that it is served whatever others send; the rest is shared. A connection whose next message does not fit is
not read until others have freed memory; waiting connections resume in order.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterator

MEGABYTE = 10**6
BASE_MEMORY = 46 * MEGABYTE  # of the process and its connections, without data from clients
MIN_BUDGET = 4 * MEGABYTE
GUARANTEED_OCTETS = 10 << 10  # of each connection: one read, and the command that it completes
MIN_SHARED_OCTETS = 512 << 10  # a message of the greatest length, however many connections there are
CLIENT_SHARE = 0.6  # of the remaining memory; the rest is for answers, lists and memory that the allocator keeps


class MemoryBudget:
    """Memory that each client connection occupies, by the caller's numbers, and the connections that wait for memory.

    Invariants: a reservation never takes more than ``limit`` together, except that each connection always gets its
    guaranteed octets, and all together always get ``MIN_SHARED_OCTETS`` beyond those. A connection waits only while it,
    or others, occupy memory that a time limit will free.
    """

    def __init__(self, limit: int, guaranteed: int = 0) -> None:
        """``limit``: octets of all connections together; ``guaranteed``: octets that each one may always occupy."""
        self.limit = limit
        self.used = 0
        self._guaranteed = guaranteed
        self._connections: set[int] = set()
        self._shared = 0  # octets that connections occupy beyond what is guaranteed to them
        self._occupied: dict[int, int] = {}
        self._waiting: OrderedDict[int, None] = OrderedDict()

    @classmethod
    def of(cls, memory_mb: int) -> MemoryBudget:
        """Returns the budget for a process with this memory limit."""
        available = memory_mb * MEGABYTE - BASE_MEMORY
        return cls(max(MIN_BUDGET, int(available * CLIENT_SHARE)), GUARANTEED_OCTETS)

    @property
    def shared_limit(self) -> int:
        """Octets that connections may occupy together beyond what is guaranteed to each."""
        if not self._guaranteed:
            return self.limit
        return max(MIN_SHARED_OCTETS, self.limit - self._guaranteed * len(self._connections))

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
        return len(self._waiting)

    def reserve(self, number: int, occupied: int, wanted: int) -> bool:
        """Reserves ``wanted`` octets for a connection that occupies ``occupied`` of them so far.

        ``wanted`` includes the rest of the message being received. Returns whether it fits; otherwise the connection
        keeps what it occupies and waits.
        """
        others = self._shared - self._beyond_guaranteed(self._occupied.get(number, 0))
        fits = wanted <= self._guaranteed or others + self._beyond_guaranteed(wanted) <= self.shared_limit
        self._set(number, wanted if fits else occupied)
        if fits:
            self._waiting.pop(number, None)
        else:
            self._waiting.setdefault(number)
        return fits

    def release(self, number: int) -> None:
        """Frees everything that a connection occupies; nothing is guaranteed to it any longer."""
        self._set(number, 0)
        self._connections.discard(number)
        self._waiting.pop(number, None)

    def waiting(self) -> list[int]:
        """Returns the connections that wait, in order."""
        return list(self._waiting)

    def resumable(self) -> Iterator[int]:
        """Yields waiting connections in order, as long as memory is free and the one before no longer waits.

        The caller lets each reserve again. So memory that is freed bit by bit adds up for a large message, and is not
        offered to all who wait each time.
        """
        for number in self.waiting():
            if self.is_full:
                return
            if number in self._waiting:
                yield number
                if number in self._waiting:
                    return

    def _set(self, number: int, octets: int) -> None:
        before = self._occupied.pop(number, 0)
        self.used += octets - before
        self._shared += self._beyond_guaranteed(octets) - self._beyond_guaranteed(before)
        if octets:
            self._occupied[number] = octets

    def _beyond_guaranteed(self, octets: int) -> int:
        return max(0, octets - self._guaranteed)
