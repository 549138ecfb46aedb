"""The requests that a gateway has accepted, by number.

Owns: the table, the numbers, the count of unanswered requests. ``Gateway.take`` adds requests; the responder marks them
as answered and, like the attempt runner, has them removed. Bound: ``Limits.max_open`` unanswered requests are admitted;
one more is entered for as long as it takes to refuse it. Invariant: a request stays until it is answered and has no
attempt outstanding.
"""

from __future__ import annotations

import random
from collections.abc import Iterable

from yardbank import interface as api
from yardbank.gateway.api import Call
from yardbank.gateway.request import InFlightRequest


class RequestTable:
    """Requests of one gateway. ``seed`` determines the prefix of their numbers."""

    def __init__(self, classes: Iterable[api.RequestClass], seed: int) -> None:
        self.classes = {request_class.name: request_class for request_class in classes}
        self._requests: dict[str, InFlightRequest] = {}
        self._sequence = 0
        self._prefix = f"{random.Random(seed).getrandbits(32):08x}"
        self.unanswered = 0

    def __len__(self) -> int:
        return len(self._requests)

    def add(self, call: Call, now: int, list_version: int) -> InFlightRequest:
        """Add a request under a new number. Raises ``KeyError`` if its class is not in the settings."""
        self._sequence += 1
        number = f"{self._prefix}-{self._sequence}"
        request = InFlightRequest(number, call, self.classes[call.class_name], now, list_version)
        self._requests[number] = request
        self.unanswered += 1
        return request

    def get(self, number: str) -> InFlightRequest | None:
        """Return a request by its number, including one that is answered but has attempts outstanding."""
        return self._requests.get(number)

    def get_open(self, number: str) -> InFlightRequest | None:
        """Return a request by its number, if it is not answered yet."""
        request = self._requests.get(number)
        if request is None or request.ended:
            return None
        return request

    def all(self) -> list[InFlightRequest]:
        """Return all requests, in the order in which they were accepted."""
        return list(self._requests.values())

    def mark_answered(self, request: InFlightRequest) -> None:
        """Mark a request as answered."""
        request.ended = True
        self.unanswered -= 1

    def discard_if_done(self, request: InFlightRequest) -> None:
        """Remove a request that is answered and has no attempt outstanding."""
        if request.ended and not request.outstanding:
            self._requests.pop(request.id, None)
