"""The outgoing lease messages of one gateway. No I/O.

Owns the queue of outgoing messages and the count of numbered ones. Messages that keep or transfer a lease are urgent.
Those that only request one are subject to the rate limit, so that many candidates cannot starve holders.
"""

from __future__ import annotations

from typing import NamedTuple

from yardbank.cluster.lease.messages import LeaseMessage


class Outgoing(NamedTuple):
    """One message; ``to`` may be this gateway itself."""

    to: str
    message: LeaseMessage
    urgent: bool


class Outbox:
    """Messages in sending order; emptied after each event."""

    __slots__ = ("_last_number", "queue")

    def __init__(self) -> None:
        self.queue: list[Outgoing] = []
        self._last_number = 0

    def send(self, to: str, message: LeaseMessage, urgent: bool = True) -> None:
        """Queue a message."""
        self.queue.append(Outgoing(to, message, urgent))

    def next_number(self) -> int:
        """The next message number; numbers rise from this start on."""
        self._last_number += 1
        return self._last_number
