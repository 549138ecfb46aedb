"""Requests without a final answer, their attempts, and the queue of those that wait for capacity.

Times are integer nanoseconds.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from yardbank import interface as api

if TYPE_CHECKING:
    from yardbank.policy.servers import Server

RETRIES_PER_CLASS = 8  # a few only: about one place came free, and one class must not block the others


@dataclass(slots=True)
class PendingRequest:
    """A request that this gateway still owes a final answer."""

    request: api.Request
    request_class: api.RequestClass
    arrived: int
    admission_draw: float  # drawn once, between 0 and 1: decides who may go where not all may
    session_position: int = 0  # the log position of the session's last write, as far as it is known
    attempts: int = 0
    late: bool = False  # it can no longer make its latency objective
    ran_at: int | None = None  # when the first attempt that may have run was sent
    tried: set[int] = field(default_factory=set)  # servers that are not tried again for now
    needs_primary: bool = field(init=False)  # a write, or a read that only a primary may answer

    def __post_init__(self) -> None:
        self.needs_primary = self.request_class.read in api.NEEDS_PRIMARY

    def required_position(self, sent_at: int) -> int:
        """The log position that a read must see if it is sent at a given time; 0: any."""
        if self.request_class.read == api.ReadMode.BOUNDED:
            return sent_at - self.request_class.staleness_bound
        return self.session_position


@dataclass(slots=True)
class Attempt:
    """One attempt that is in flight."""

    pending: PendingRequest
    server: Server
    sent_at: int
    idle: int  # how long its connection had been unused (ns)
    cancelled: bool = False

    def is_overtaken(self) -> bool:
        """Whether a server with room has answered a later attempt: the connection may be dead by itself."""
        server = self.server
        return not server.silent and not server.is_full() and server.last_answered_sent_at > self.sent_at


class WaitQueue:
    """Requests that wait for capacity, by group, class and whether they are late.

    Owns: the order of arrival within each of these. Written by the router only.
    Bound: one entry a pending request, one empty dictionary a group, class and lateness ever used.
    Invariant: a request is in the queue at most once, under the ``late`` it has now; ``late`` changes only while
    the request is outside, in ``add``.
    """

    def __init__(self) -> None:
        self._queues: dict[tuple[int, str, bool], dict[str, PendingRequest]] = {}

    def __len__(self) -> int:
        return sum(map(len, self._queues.values()))

    def add(self, pending: PendingRequest, late: bool) -> None:
        """Append a request to its queue; one that was in a queue goes to the end."""
        self.remove(pending)
        pending.late = late
        key = pending.request.group, pending.request_class.name, late
        self._queues.setdefault(key, {})[pending.request.id] = pending

    def remove(self, pending: PendingRequest) -> None:
        """Take a request out; nothing happens if it is not in a queue."""
        queue = self._queues.get((pending.request.group, pending.request_class.name, pending.late))
        if queue is not None:
            queue.pop(pending.request.id, None)

    def all(self) -> list[PendingRequest]:
        """Every request that waits, queue by queue."""
        return [pending for queue in self._queues.values() for pending in queue.values()]

    def groups(self) -> list[int]:
        """The groups that requests wait for, each once."""
        return list({group: None for (group, _, _), queue in self._queues.items() if queue})

    def next_of(self, group: int, ranking: list[tuple[str, bool]]) -> Iterator[PendingRequest]:
        """The first few requests of each class for a group, in the order of a ranking of class and lateness."""
        for class_name, late in ranking:
            queue = self._queues.get((group, class_name, late))
            if queue:
                yield from list(queue.values())[:RETRIES_PER_CLASS]
