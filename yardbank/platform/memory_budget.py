"""How many octets all clients of one gateway may occupy together. No I/O.

Bounds on each connection do not bound their sum, and the platform kills a process that passes its memory limit. A
connection whose next message does not fit waits, and is not read, until others have freed octets; those that wait go
on in their order.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterator

MEGABYTE = 10**6
OWN_MEMORY = 46 * MEGABYTE  # of the process, with its connections and without what clients send
LEAST_BUDGET = 4 * MEGABYTE
SHARE = 0.6  # of what is left; the rest is for answers, lists and what the allocator does not give back


class MemoryBudget:
    """What each client connection occupies, by the owner's numbers, and which ones wait.

    Invariant: a connection waits only while it occupies something that a time limit frees, or others do.
    """

    def __init__(self, limit: int) -> None:
        """``limit``: octets of all together."""
        self.limit = limit
        self.used = 0
        self._occupied: dict[int, int] = {}
        self._waiting: OrderedDict[int, None] = OrderedDict()

    @classmethod
    def of(cls, memory_mb: int) -> MemoryBudget:
        """The budget of a process with such a memory limit."""
        left = memory_mb * MEGABYTE - OWN_MEMORY
        return cls(max(LEAST_BUDGET, int(left * SHARE)))

    @property
    def is_full(self) -> bool:
        """Whether nothing more fits."""
        return self.used >= self.limit

    def take(self, number: int, occupied: int, wanted: int) -> bool:
        """A connection occupies so many octets now and wants so many with the message that it is sending.

        Whether they fit: then they are its own. If they do not, it waits.
        """
        fits = wanted == 0 or self.used - self._occupied.get(number, 0) + wanted <= self.limit
        self._set(number, wanted if fits else occupied)
        if fits:
            self._waiting.pop(number, None)
        else:
            self._waiting.setdefault(number)
        return fits

    def release(self, number: int) -> None:
        """A connection occupies nothing any more."""
        self._set(number, 0)
        self._waiting.pop(number, None)

    def waiting(self) -> Iterator[int]:
        """Those that wait, in their order, as long as anything is free."""
        for number in list(self._waiting):
            if self.is_full:
                return
            if number in self._waiting:
                yield number

    def _set(self, number: int, octets: int) -> None:
        self.used += octets - self._occupied.pop(number, 0)
        if octets:
            self._occupied[number] = octets
