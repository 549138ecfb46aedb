"""Limits the memory that all clients of one gateway occupy together. No I/O.

Limits on each connection do not limit their sum, and the platform kills a process that exceeds its memory limit. A
connection whose next message does not fit is not read until others have freed memory; waiting connections resume in
order.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterator

MEGABYTE = 10**6
BASE_MEMORY = 46 * MEGABYTE  # of the process and its connections, without data from clients
MIN_BUDGET = 4 * MEGABYTE
CLIENT_SHARE = 0.6  # of the remaining memory; the rest is for answers, lists and memory that the allocator keeps


class MemoryBudget:
    """Memory that each client connection occupies, by the caller's numbers, and the connections that wait for memory.

    Invariant: a connection waits only while it, or others, occupy memory that a time limit will free.
    """

    def __init__(self, limit: int) -> None:
        """``limit``: octets of all connections together."""
        self.limit = limit
        self.used = 0
        self._occupied: dict[int, int] = {}
        self._waiting: OrderedDict[int, None] = OrderedDict()

    @classmethod
    def of(cls, memory_mb: int) -> MemoryBudget:
        """Returns the budget for a process with this memory limit."""
        available = memory_mb * MEGABYTE - BASE_MEMORY
        return cls(max(MIN_BUDGET, int(available * CLIENT_SHARE)))

    @property
    def is_full(self) -> bool:
        """Whether nothing more fits."""
        return self.used >= self.limit

    @property
    def waiting_count(self) -> int:
        """Number of connections that wait for memory."""
        return len(self._waiting)

    def reserve(self, number: int, occupied: int, wanted: int) -> bool:
        """Reserves ``wanted`` octets for a connection that occupies ``occupied`` of them so far.

        ``wanted`` includes the rest of the message being received. Returns whether it fits; otherwise the connection
        keeps what it occupies and waits.
        """
        fits = wanted == 0 or self.used - self._occupied.get(number, 0) + wanted <= self.limit
        self._set(number, wanted if fits else occupied)
        if fits:
            self._waiting.pop(number, None)
        else:
            self._waiting.setdefault(number)
        return fits

    def release(self, number: int) -> None:
        """Frees everything that a connection occupies."""
        self._set(number, 0)
        self._waiting.pop(number, None)

    def waiting(self) -> Iterator[int]:
        """Yields waiting connections in order, as long as memory is free."""
        for number in list(self._waiting):
            if self.is_full:
                return
            if number in self._waiting:
                yield number

    def _set(self, number: int, octets: int) -> None:
        self.used += octets - self._occupied.pop(number, 0)
        if octets:
            self._occupied[number] = octets
