"""A request that a gateway has accepted, kept until it is answered and its attempts have ended."""

from __future__ import annotations

from typing import Any

from yardbank import interface as api
from yardbank.gateway.api import Call
from yardbank.gateway.attempt import Attempt


class InFlightRequest:
    """A request that is not answered yet, or that has attempts outstanding."""

    __slots__ = (
        "answering_attempt",
        "attempts",
        "call",
        "ended",
        "event",
        "gathered_bytes",
        "id",
        "list_version",
        "miss_payload",
        "outstanding",
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
        self.event: api.Request | None = None  # as last passed to the router
        self.attempts = 0
        self.outstanding: dict[int, Attempt] = {}
        self.parts: dict[int, list[Any]] = {}  # buffered parts of responses, by attempt
        self.gathered_bytes: dict[int, int] = {}  # buffered bytes, by attempt
        self.answering_attempt: int | None = None  # the attempt whose response is being streamed to the client
        self.stream_timer: int | None = None
        self.ended = False
        self.ran_at: int | None = None  # issue time (ns) of the earliest finished attempt that may have run
        self.miss_payload: Any = None  # payload of a replica's miss: the answer if no server gives another

    @property
    def may_have_run(self) -> bool:
        """Whether a finished attempt may have run."""
        return self.ran_at is not None

    def record_run(self, issued_at: int) -> None:
        """Record that an attempt issued at that time (ns) has ended and may have run."""
        self.ran_at = issued_at if self.ran_at is None else min(self.ran_at, issued_at)

    def earliest_issue(self) -> int | None:
        """Return when the earliest attempt that is outstanding or may have run was issued (ns); None: there is none."""
        issue_times = [attempt.sent_at for attempt in self.outstanding.values() if attempt.was_written]
        return min(issue_times, default=self.ran_at) if self.ran_at is None else min([self.ran_at, *issue_times])
