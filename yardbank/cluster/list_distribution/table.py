"""The list as one gateway holds it: entries by key, their version, and the digest that proves it. No I/O.

Invariants: the version only rises; the digest is always that of the entries; an increment is applied whole or not at
all, and only if the list that comes of it has the digest that its publisher said.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import msgspec

from yardbank.cluster.list_distribution.version import EMPTY_DIGEST, NOTHING, Version, digest_octets, entry_hash

MAX_ENTRIES = 20_000
MAX_KEY_OCTETS = 128
MAX_VALUE_OCTETS = 8192


class Entry(msgspec.Struct, array_like=True, frozen=True):
    """One entry that changes. ``value`` is None where it is removed."""

    key: str
    value: str | None


class Increment(msgspec.Struct, array_like=True, frozen=True):
    """What leads from ``base`` to ``version``; with ``base`` = ``NOTHING`` it is the whole list, a snapshot."""

    base: Version
    version: Version
    digest: bytes  # of the whole list at ``version``
    entries: tuple[Entry, ...]

    @property
    def is_snapshot(self) -> bool:
        """Whether it needs no other version to begin from."""
        return self.base == NOTHING


class DoesNotFitError(ValueError):
    """An increment that cannot be applied here; the text says why. The list is as it was."""


class Table:
    """One copy of the list."""

    __slots__ = ("_entries", "_sum", "digest", "version")

    def __init__(self) -> None:
        self._entries: dict[str, str] = {}
        self._sum = 0
        self.version = NOTHING
        self.digest = EMPTY_DIGEST

    @property
    def entries(self) -> Mapping[str, str]:
        """Values by key; not to be changed."""
        return self._entries

    def apply(self, increment: Increment) -> None:
        """Go on to the version of an increment. Raises ``DoesNotFitError``."""
        if increment.version <= self.version:
            raise DoesNotFitError(f"version {shown(increment.version)} is not after {shown(self.version)}")
        if not increment.is_snapshot and increment.base != self.version:
            raise DoesNotFitError(f"it begins from {shown(increment.base)}, this is {shown(self.version)}")
        check_entries(increment.entries)
        before: Mapping[str, str] = {} if increment.is_snapshot else self._entries
        total = 0 if increment.is_snapshot else self._sum
        for entry in increment.entries:
            if (old := before.get(entry.key)) is not None:
                total -= entry_hash(entry.key, old)
            if entry.value is not None:
                total += entry_hash(entry.key, entry.value)
        if digest_octets(total) != increment.digest:
            raise DoesNotFitError(f"version {shown(increment.version)} would not have the digest that was said")
        self._commit(increment, total)

    def _commit(self, increment: Increment, total: int) -> None:
        if increment.is_snapshot:
            self._entries = {}
        for entry in increment.entries:
            if entry.value is None:
                self._entries.pop(entry.key, None)
            else:
                self._entries[entry.key] = entry.value
        self._sum = total
        self.version, self.digest = increment.version, increment.digest

    def difference(self, wanted: Mapping[str, str], version: Version) -> Increment | None:
        """The increment that leads from here to other entries; None if they are the same."""
        changed = [Entry(key, value) for key, value in wanted.items() if self._entries.get(key) != value]
        changed += [Entry(key, None) for key in self._entries if key not in wanted]
        if not changed:
            return None
        total = self._sum
        for entry in changed:
            if (old := self._entries.get(entry.key)) is not None:
                total -= entry_hash(entry.key, old)
            if entry.value is not None:
                total += entry_hash(entry.key, entry.value)
        ordered = tuple(sorted(changed, key=lambda entry: entry.key))
        return Increment(self.version, version, digest_octets(total), ordered)

    def snapshot(self) -> Increment:
        """The whole list. Its entries are in the order of their keys, so it is the same at every gateway."""
        entries = tuple(Entry(key, self._entries[key]) for key in sorted(self._entries))
        return Increment(NOTHING, self.version, self.digest, entries)


def check_entries(entries: Iterable[Entry]) -> None:
    """Raises ``DoesNotFitError`` if there are too many, one is too large, or a key comes twice."""
    seen: set[str] = set()
    for entry in entries:
        if not 0 < len(entry.key.encode()) <= MAX_KEY_OCTETS:
            raise DoesNotFitError(f"entry {entry.key[:40]!r}: a key has 1 to {MAX_KEY_OCTETS} octets")
        if entry.value is not None and len(entry.value.encode()) > MAX_VALUE_OCTETS:
            raise DoesNotFitError(f"entry {entry.key!r}: more than {MAX_VALUE_OCTETS} octets")
        if entry.key in seen:
            raise DoesNotFitError(f"entry {entry.key!r} comes twice")
        seen.add(entry.key)
    if len(seen) > MAX_ENTRIES:
        raise DoesNotFitError(f"{len(seen)} entries, {MAX_ENTRIES} allowed")


def shown(version: Version) -> str:
    """A version as it is written in logs and files."""
    return f"{version.epoch}.{version.number}"
