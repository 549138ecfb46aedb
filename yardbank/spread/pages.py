"""A search over several groups in pages (RFC 2696): one part after another, under a cookie of the gateway's own.

The cookie says which part is next and holds that part's own cookie, so nothing is kept between pages: any gateway
with the same settings can go on with it, after a restart too. What a server's own cookie is worth at another copy
is up to the servers. No I/O.
"""

from __future__ import annotations

import msgspec
import xxhash

OWN = -1  # in place of a part: the gateway's own entries


class CookieError(ValueError):
    """The cookie is none of ours, or belongs to another search."""


def identity_of(*facts: bytes) -> int:
    """What a cookie is bound to: the search without its page, and the suffixes that it covers."""
    hasher = xxhash.xxh3_64()
    for fact in facts:
        hasher.update(len(fact).to_bytes(4, "big"))
        hasher.update(fact)
    return hasher.intdigest() >> 1  # within a signed integer of 64 bits


class Pages:
    """Where a paged search stands. ``at`` is the part (or ``OWN``), ``inner`` its own cookie."""

    def __init__(self, identity: int, parts: int, own: int, size: int, cookie: bytes) -> None:
        """``own``: entries of the gateway itself, which come first. Raises ``CookieError``."""
        self._identity, self._parts, self._own, self.size = identity, parts, own, size
        self.at, self._offset, self.inner, self.passed = OWN, 0, b"", 0
        if cookie:
            try:
                read = msgspec.msgpack.decode(cookie, type=tuple[int, int, int, bytes])
            except msgspec.MsgspecError:
                raise CookieError("the cookie was not given here") from None
            bound, self.at, self._offset, self.inner = read
            if bound != identity:
                raise CookieError("the cookie belongs to another search")
            if not OWN <= self.at < parts or self._offset < 0:
                raise CookieError("the cookie leads nowhere")
        self._settle()

    def _settle(self) -> None:
        if self.at == OWN and self._offset >= self._own:
            self.at = 0

    @property
    def left(self) -> int:
        """Entries that the page still has room for."""
        return max(0, self.size - self.passed)

    @property
    def over(self) -> bool:
        """Whether nothing is left of the search."""
        return self.at >= self._parts

    @property
    def full(self) -> bool:
        """Whether this page is complete."""
        return self.over or self.passed >= self.size

    def own(self) -> range:
        """Which of the gateway's own entries come on this page."""
        if self.at != OWN:
            return range(0)
        stop = min(self._own, self._offset + self.left)
        found = range(self._offset, stop)
        self._offset, self.passed = stop, self.passed + len(found)
        self._settle()
        return found

    def ended(self, passed: int, inner: bytes) -> None:
        """The part at hand was answered with so many entries and its own cookie."""
        self.passed += passed
        self.inner = inner
        if not inner:
            self.at += 1

    def cookie(self) -> bytes:
        """For the client to come back with; empty: that was all."""
        if self.over:
            return b""
        return msgspec.msgpack.encode((self._identity, self.at, self._offset, self.inner))
