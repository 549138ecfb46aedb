"""Paged results (RFC 2696) for a search over several groups: its parts run in sequence, under the gateway's cookie.

The cookie contains the index of the next part and the server's cookie for that part, so no state is kept between
pages: any gateway with the same settings can continue, also after a restart. Whether a server's cookie is valid at
another replica depends on the servers. No I/O.
"""

from __future__ import annotations

import msgspec
import xxhash

GLUE_ENTRIES = -1  # in place of a part index: the gateway's own (glue) entries


class CookieError(ValueError):
    """The cookie was not issued by a gateway, or belongs to another search."""


def search_identity(*fields: bytes) -> int:
    """Hash of the search without its paging control and of the suffixes that it covers; a cookie is bound to it."""
    hasher = xxhash.xxh3_64()
    for field in fields:
        hasher.update(len(field).to_bytes(4, "big"))
        hasher.update(field)
    return hasher.intdigest() >> 1  # fits a signed integer of 64 bits


class Pages:
    """Progress of a paged search: the current ``part`` (or ``GLUE_ENTRIES``) and the ``server_cookie`` for it."""

    def __init__(self, identity: int, parts: int, glue_count: int, size: int, cookie: bytes) -> None:
        """``glue_count``: the number of the gateway's own entries, which come first. Raises ``CookieError``."""
        self._identity, self._parts, self._glue_count, self.size = identity, parts, glue_count, size
        self.part, self._offset, self.server_cookie, self.passed = GLUE_ENTRIES, 0, b"", 0
        if cookie:
            try:
                read = msgspec.msgpack.decode(cookie, type=tuple[int, int, int, bytes])
            except msgspec.MsgspecError:
                raise CookieError("the cookie was not given here") from None
            cookie_identity, self.part, self._offset, self.server_cookie = read
            if cookie_identity != identity:
                raise CookieError("the cookie belongs to another search")
            if not GLUE_ENTRIES <= self.part < parts or self._offset < 0:
                raise CookieError("the cookie leads nowhere")
        self._skip_finished_glue()

    def _skip_finished_glue(self) -> None:
        if self.part == GLUE_ENTRIES and self._offset >= self._glue_count:
            self.part = 0

    @property
    def remaining(self) -> int:
        """Number of entries that may still be added to the page."""
        return max(0, self.size - self.passed)

    @property
    def finished(self) -> bool:
        """Whether the whole search is complete."""
        return self.part >= self._parts

    @property
    def page_complete(self) -> bool:
        """Whether this page is complete."""
        return self.finished or self.passed >= self.size

    def glue_entries(self) -> range:
        """Indices of the gateway's own entries on this page."""
        if self.part != GLUE_ENTRIES:
            return range(0)
        stop = min(self._glue_count, self._offset + self.remaining)
        found = range(self._offset, stop)
        self._offset, self.passed = stop, self.passed + len(found)
        self._skip_finished_glue()
        return found

    def part_answered(self, passed: int, server_cookie: bytes) -> None:
        """The current part returned this many entries and this server cookie."""
        self.passed += passed
        self.server_cookie = server_cookie
        if not server_cookie:
            self.part += 1

    def cookie(self) -> bytes:
        """The cookie with which the client requests the next page; empty if there is none."""
        if self.finished:
            return b""
        return msgspec.msgpack.encode((self._identity, self.part, self._offset, self.server_cookie))
