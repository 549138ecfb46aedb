"""Serves documents in pieces to gateways with older versions. No I/O; bounded."""

from __future__ import annotations

from collections import OrderedDict

from yardbank.cluster.list_distribution.history import History
from yardbank.cluster.list_distribution.messages import Fetch, Piece
from yardbank.cluster.list_distribution.table import Table
from yardbank.cluster.list_distribution.transfer import split
from yardbank.cluster.list_distribution.version import Version

MAX_DOCUMENTS = 4  # documents cached in pieces

Pieces = tuple[Piece, ...]


class DocumentCache:
    """LRU cache of requested documents, so that a started transfer can complete after a newer version is applied."""

    __slots__ = ("_cache",)

    def __init__(self) -> None:
        self._cache: OrderedDict[tuple[Version, bytes, Version], Pieces] = OrderedDict()

    def pieces(self, request: Fetch, table: Table, history: History) -> Pieces | None:
        """The pieces of the document that leads to the requested version; None if it is not available.

        The document merges the increments since the requester's version. It is a snapshot if that version is unknown.
        """
        key = request.base, request.base_digest, request.version
        if (cached := self._cache.get(key)) is not None:
            self._cache.move_to_end(key)
            return cached
        if request.version != table.version or request.base >= request.version:
            return None
        increment = history.since(request.base, request.base_digest) or table.snapshot()
        pieces = self._cache[key] = split(increment)
        if len(self._cache) > MAX_DOCUMENTS:
            self._cache.popitem(last=False)
        return pieces

    def keys(self) -> list[tuple[Version, bytes, Version]]:
        """Base, digest of the base, and version of each cached document."""
        return sorted(self._cache)
