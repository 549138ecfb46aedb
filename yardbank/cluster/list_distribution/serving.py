"""Documents for those who are behind: what leads from their version to this copy's, in pieces. No I/O; bounded."""

from __future__ import annotations

from collections import OrderedDict

from yardbank.cluster.list_distribution.history import History
from yardbank.cluster.list_distribution.messages import Fetch, Piece
from yardbank.cluster.list_distribution.table import Table
from yardbank.cluster.list_distribution.transfer import split
from yardbank.cluster.list_distribution.version import Version

MAX_DOCUMENTS = 4  # that are kept in pieces

Pieces = tuple[Piece, ...]


class Documents:
    """The documents asked for last. One that was begun stays to be had for a while after the copy has gone on."""

    __slots__ = ("_kept",)

    def __init__(self) -> None:
        self._kept: OrderedDict[tuple[Version, bytes, Version], Pieces] = OrderedDict()

    def pieces(self, asked: Fetch, table: Table, history: History) -> Pieces | None:
        """What leads to the version that is asked for; None: it is not to be had here.

        The increments since the asker's version, merged; a snapshot where that version is not known here.
        """
        key = asked.base, asked.base_digest, asked.version
        if (kept := self._kept.get(key)) is not None:
            self._kept.move_to_end(key)
            return kept
        if asked.version != table.version or asked.base >= asked.version:
            return None
        increment = history.since(asked.base, asked.base_digest) or table.snapshot()
        pieces = self._kept[key] = split(increment)
        if len(self._kept) > MAX_DOCUMENTS:
            self._kept.popitem(last=False)
        return pieces

    def keys(self) -> list[tuple[Version, bytes, Version]]:
        """What is kept: base, its digest, and version of each."""
        return sorted(self._kept)
