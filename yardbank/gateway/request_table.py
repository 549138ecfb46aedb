"""The requests that a gateway has taken, by number.

Owns: the table, the numbers, the count of unanswered requests. ``Gateway.take`` adds; the responder marks a request as
answered and, like the attempt runner, has it removed. Bound: ``Limits.max_open`` unanswered requests are admitted; one
more is entered for as long as it takes to refuse it. Invariant: a request stays until it is answered and none of its
attempts is out.
"""

from __future__ import annotations

import random
from collections.abc import Iterable

from yardbank import interface as api
from yardbank.gateway.api import Call
from yardbank.gateway.request import InFlightRequest


class RequestTable:
    """Requests of one gateway. ``seed`` draws the prefix of their numbers."""

    def __init__(self, classes: Iterable[api.RequestClass], seed: int) -> None:
        self.classes = {request_class.name: request_class for request_class in classes}
        self._requests: dict[str, InFlightRequest] = {}
        self._sequence = 0
        self._prefix = f"{random.Random(seed).getrandbits(32):08x}"
        self.unanswered = 0

    def __len__(self) -> int:
        return len(self._requests)

    def add(self, call: Call, now: int, list_version: int) -> InFlightRequest:
        """Enter a request under a number of its own. Raises ``KeyError`` if its class is not one of the settings'."""
        self._sequence += 1
        number = f"{self._prefix}-{self._sequence}"
        request = InFlightRequest(number, call, self.classes[call.class_name], now, list_version)
        self._requests[number] = request
        self.unanswered += 1
        return request

    def get(self, number: str) -> InFlightRequest | None:
        """A request by its number, also one that is answered while its attempts are out."""
        return self._requests.get(number)

    def unended(self, number: str) -> InFlightRequest | None:
        """A request by its number, if it is not answered yet."""
        request = self._requests.get(number)
        if request is None or request.ended:
            return None
        return request

    def all(self) -> list[InFlightRequest]:
        """All requests, in the order in which they were taken."""
        return list(self._requests.values())

    def answered(self, request: InFlightRequest) -> None:
        """A request has its final answer."""
        request.ended = True
        self.unanswered -= 1

    def discard_if_over(self, request: InFlightRequest) -> None:
        """Forget a request that is answered and has no attempt out."""
        if request.ended and not request.out:
            self._requests.pop(request.id, None)
