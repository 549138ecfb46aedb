"""Ids of requests that may have taken effect, so that none runs again when its id comes a second time. No I/O.

Each request has an id of its own, a client's retry included. Where one comes again, after its client has left or
on another connection, the earlier request may have run, or may run yet.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from hashlib import blake2b

from yardbank.gateway.api import SECOND

REMEMBERED_FOR = 30 * SECOND  # longer than any request and its client's repeats last
MAX_IDS = 8192  # beyond this the oldest are forgotten, so that memory stays bounded
DIGEST_OCTETS = 16


class RecentEffects:
    """Digests of the ids, oldest first, with the time until which each is remembered (ns)."""

    def __init__(self, now: Callable[[], int]) -> None:
        self._now = now
        self._remembered_until: OrderedDict[bytes, int] = OrderedDict()
        self.repeated = 0  # requests whose id had come before

    def __len__(self) -> int:
        return len(self._remembered_until)

    def add(self, request_id: str) -> None:
        """Remembers a request that may have taken effect."""
        now = self._now()
        digest = _digest(request_id)
        self._remembered_until.pop(digest, None)
        self._remembered_until[digest] = now + REMEMBERED_FOR
        self._forget_old(now)

    def is_repeated(self, request_id: str) -> bool:
        """Whether a request with this id may have taken effect; counts those that have."""
        until = self._remembered_until.get(_digest(request_id))
        if until is None or until < self._now():
            return False
        self.repeated += 1
        return True

    def _forget_old(self, now: int) -> None:
        remembered = self._remembered_until
        while len(remembered) > MAX_IDS or next(iter(remembered.values())) < now:
            remembered.popitem(last=False)


def _digest(request_id: str) -> bytes:
    return blake2b(request_id.encode(), digest_size=DIGEST_OCTETS).digest()
