"""A request that a gateway has taken, as long as anything of it is owed or out."""

from __future__ import annotations

from typing import Any

from yardbank import interface as api
from yardbank.gateway.api import Call
from yardbank.gateway.attempt import Attempt


class InFlightRequest:
    """A request that is owed its answer, or whose attempts are still out."""

    __slots__ = (
        "answering",
        "attempts",
        "call",
        "ended",
        "event",
        "gathered",
        "id",
        "list_version",
        "missed",
        "out",
        "parts",
        "ran_at",
        "request_class",
        "stream_timer",
        "taken_at",
    )

    def __init__(self, number: str, call: Call, request_class: api.RequestClass, now: int, list_version: int) -> None:
        self.id = number
        self.call = call
        self.request_class = request_class
        self.taken_at = now
        self.list_version = list_version
        self.event: api.Request | None = None  # as the decision module was last told of it
        self.attempts = 0
        self.out: dict[int, Attempt] = {}
        self.parts: dict[int, list[Any]] = {}  # gathered, by attempt
        self.gathered: dict[int, int] = {}  # octets
        self.answering: int | None = None  # the attempt whose answer has begun to reach the client
        self.stream_timer: int | None = None
        self.ended = False
        self.ran_at: int | None = None  # when the earliest attempt that has ended and may have run was issued (ns)
        self.missed: Any = None  # what a copy answered along with a miss: it stands if no server answers otherwise

    @property
    def may_have_run(self) -> bool:
        """Whether an attempt has ended that may have run."""
        return self.ran_at is not None

    def ran(self, issued: int) -> None:
        """An attempt issued at that instant (ns) has ended, and may have run."""
        self.ran_at = issued if self.ran_at is None else min(self.ran_at, issued)

    def first_issue(self) -> int | None:
        """When the earliest attempt was issued that may have run or is out (ns); None: there is none."""
        issued = [attempt.sent_at for attempt in self.out.values() if attempt.gone_out]
        return min(issued, default=self.ran_at) if self.ran_at is None else min([self.ran_at, *issued])
