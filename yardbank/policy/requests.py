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

MAX_REROUTED_PER_CLASS = 8  # few, because about one slot became free, and one class must not block the others


@dataclass(slots=True)
class PendingRequest:
    """A request to which this gateway has not yet given a final answer."""

    request: api.Request
    request_class: api.RequestClass
    arrived: int
    admission_draw: float  # drawn once, between 0 and 1: decides which requests are admitted when not all can be
    session_position: int = 0  # log position of the session's last write, as far as it is known
    attempts: int = 0
    late: bool = False  # it can no longer meet its latency objective
    ran_at: int | None = None  # when the first attempt that may have run was sent
    tried: set[int] = field(default_factory=set)  # servers that are not tried again until the request is queued
    needs_primary: bool = field(init=False)  # a write, or a read that only a primary may answer

    def __post_init__(self) -> None:
        self.needs_primary = self.request_class.read in api.NEEDS_PRIMARY

    def required_position(self, sent_at: int) -> int:
        """Return the log position that a read must see if it is sent at ``sent_at``; 0 means any."""
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

    def is_probably_lost(self) -> bool:
        """Whether a server with spare capacity answered a later attempt: this connection alone may be dead."""
        server = self.server
        return not server.silent and not server.is_full() and server.last_answered_sent_at > self.sent_at


class WaitQueue:
    """Requests that wait for capacity, by group, class and whether they are late.

    Owns: the arrival order within each of these queues. Written by the router only.
    Bound: one entry per pending request, and one empty dictionary per combination of group, class and lateness used.
    Invariant: a request is queued at most once, under its current value of ``late``; ``late`` changes only while the
    request is not queued, in ``add``.
    """

    def __init__(self) -> None:
        self._queues: dict[tuple[int, str, bool], dict[str, PendingRequest]] = {}

    def __len__(self) -> int:
        return sum(map(len, self._queues.values()))

    def add(self, pending: PendingRequest, late: bool) -> None:
        """Append a request to its queue; one that was queued already moves to the end."""
        self.remove(pending)
        pending.late = late
        key = pending.request.group, pending.request_class.name, late
        self._queues.setdefault(key, {})[pending.request.id] = pending

    def remove(self, pending: PendingRequest) -> None:
        """Remove a request; does nothing if it is not queued."""
        queue = self._queues.get((pending.request.group, pending.request_class.name, pending.late))
        if queue is not None:
            queue.pop(pending.request.id, None)

    def all(self) -> list[PendingRequest]:
        """Return every waiting request, queue by queue."""
        return [pending for queue in self._queues.values() for pending in queue.values()]

    def groups(self) -> list[int]:
        """Return the groups for which requests wait, each once."""
        return list({group: None for (group, _, _), queue in self._queues.items() if queue})

    def first_of_each_class(self, group: int, ranking: list[tuple[str, bool]]) -> Iterator[PendingRequest]:
        """Yield the first few requests of each class for a group, in the order of a ranking of (class, late) pairs."""
        for class_name, late in ranking:
            queue = self._queues.get((group, class_name, late))
            if queue:
                yield from list(queue.values())[:MAX_REROUTED_PER_CLASS]
