"""The last increments that a gateway has applied, kept for gateways with older versions. No I/O; bounded."""

from __future__ import annotations

from collections import deque

from yardbank.cluster.list_distribution.table import Entry, Increment
from yardbank.cluster.list_distribution.version import Version

MAX_INCREMENTS = 1024
MAX_OCTETS = 512 << 10  # of keys and values of all entries


class History:
    """Consecutive increments without a gap. The oldest are removed first."""

    __slots__ = ("_bases", "_increments", "_octets")

    def __init__(self) -> None:
        self._increments: deque[Increment] = deque()
        self._bases: dict[Version, bytes] = {}  # digest by base version of the increments kept
        self._octets = 0

    def __len__(self) -> int:
        return len(self._increments)

    def add(self, increment: Increment, base_digest: bytes) -> None:
        """Add an increment that has just been applied. A snapshot clears the history: no increment leads to it."""
        if increment.is_snapshot or (self._increments and self._increments[-1].version != increment.base):
            self._clear()
        if increment.is_snapshot:
            return
        self._increments.append(increment)
        self._bases[increment.base] = base_digest
        self._octets += _size(increment)
        while len(self._increments) > MAX_INCREMENTS or self._octets > MAX_OCTETS:
            oldest = self._increments.popleft()
            del self._bases[oldest.base]
            self._octets -= _size(oldest)

    def since(self, version: Version, digest: bytes) -> Increment | None:
        """The merged increment from a version to the newest; None if that version with that digest is unknown."""
        if self._bases.get(version) != digest or not self._increments:
            return None
        merged: dict[str, str | None] = {}
        reached = False
        for increment in self._increments:
            reached = reached or increment.base == version
            if reached:
                merged.update((entry.key, entry.value) for entry in increment.entries)
        last = self._increments[-1]
        entries = tuple(Entry(key, merged[key]) for key in sorted(merged))
        return Increment(version, last.version, last.digest, entries)

    def _clear(self) -> None:
        self._increments.clear()
        self._bases.clear()
        self._octets = 0


def _size(increment: Increment) -> int:
    return sum(len(entry.key) + len(entry.value or "") for entry in increment.entries)
