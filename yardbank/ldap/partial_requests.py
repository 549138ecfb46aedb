"""Limits the memory of the incomplete requests of all clients together. No I/O.

A limit on each message does not limit their sum: hundreds of clients that stop within a large request would fill the
process. Beyond the limit those that have brought nothing for the longest time give way.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Hashable
from typing import Generic, TypeVar

Client = TypeVar("Client", bound=Hashable)


class PartialRequests(Generic[Client]):
    """Octets that each client occupies with an incomplete request, in order of its latest progress."""

    def __init__(self, limit: int) -> None:
        """``limit``: octets of all clients together."""
        self._limit = limit
        self._octets: OrderedDict[Client, int] = OrderedDict()
        self.total = 0

    def received(self, client: Client, octets: int) -> list[Client]:
        """Sets what a client occupies after a read; returns the clients that must give way, which occupy nothing then.

        The client itself is among them only if its request alone exceeds the limit.
        """
        self.release(client)
        if octets:
            self._octets[client] = octets
            self.total += octets
        evicted = []
        while self.total > self._limit:
            stalled = next(iter(self._octets))
            self.release(stalled)
            evicted.append(stalled)
        return evicted

    def release(self, client: Client) -> None:
        """A client has no incomplete request, or has ended."""
        self.total -= self._octets.pop(client, 0)
