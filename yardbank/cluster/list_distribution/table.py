"""The list as one gateway holds it: entries by key, their version and their digest. No I/O.

Invariants: the version only increases; the digest always matches the entries; an increment is applied atomically, and
only if the resulting list has the digest stated by the publisher.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import msgspec

from yardbank.cluster.list_distribution.version import EMPTY_DIGEST, NOTHING, Version, digest_octets, entry_hash

MAX_ENTRIES = 20_000
MAX_KEY_OCTETS = 128
MAX_VALUE_OCTETS = 8192


class Entry(msgspec.Struct, array_like=True, frozen=True):
    """One changed entry. ``value`` is None if it is removed."""

    key: str
    value: str | None


class Increment(msgspec.Struct, array_like=True, frozen=True):
    """The changes from ``base`` to ``version``. With ``base`` = ``NOTHING`` it is a snapshot of the whole list."""

    base: Version
    version: Version
    digest: bytes  # of the whole list at ``version``
    entries: tuple[Entry, ...]

    @property
    def is_snapshot(self) -> bool:
        """Whether it contains the whole list and can be applied to any version."""
        return self.base == NOTHING


class DoesNotFitError(ValueError):
    """An increment that cannot be applied, with the reason. The list is unchanged."""


class Table:
    """One copy of the list with its version and digest."""

    __slots__ = ("_entries", "_hash_sum", "digest", "version")

    def __init__(self) -> None:
        self._entries: dict[str, str] = {}
        self._hash_sum = 0
        self.version = NOTHING
        self.digest = EMPTY_DIGEST

    @property
    def entries(self) -> Mapping[str, str]:
        """Values by key, read-only."""
        return self._entries

    def apply(self, increment: Increment) -> None:
        """Apply an increment. Raises ``DoesNotFitError`` and changes nothing if it does not apply to this version."""
        if increment.version <= self.version:
            raise DoesNotFitError(
                f"version {format_version(increment.version)} is not after {format_version(self.version)}"
            )
        if not increment.is_snapshot and increment.base != self.version:
            raise DoesNotFitError(
                f"the increment begins from {format_version(increment.base)}, not from {format_version(self.version)}"
            )
        check_entries(increment.entries)
        before: Mapping[str, str] = {} if increment.is_snapshot else self._entries
        total = 0 if increment.is_snapshot else self._hash_sum
        for entry in increment.entries:
            if (old := before.get(entry.key)) is not None:
                total -= entry_hash(entry.key, old)
            if entry.value is not None:
                total += entry_hash(entry.key, entry.value)
        if digest_octets(total) != increment.digest:
            raise DoesNotFitError(f"version {format_version(increment.version)} would not have the stated digest")
        self._commit(increment, total)

    def _commit(self, increment: Increment, total: int) -> None:
        if increment.is_snapshot:
            self._entries = {}
        for entry in increment.entries:
            if entry.value is None:
                self._entries.pop(entry.key, None)
            else:
                self._entries[entry.key] = entry.value
        self._hash_sum = total
        self.version, self.digest = increment.version, increment.digest

    def difference(self, wanted: Mapping[str, str], version: Version) -> Increment | None:
        """The increment from this list to ``wanted`` as ``version``; None if the entries are equal."""
        changed = [Entry(key, value) for key, value in wanted.items() if self._entries.get(key) != value]
        changed += [Entry(key, None) for key in self._entries if key not in wanted]
        if not changed:
            return None
        total = self._hash_sum
        for entry in changed:
            if (old := self._entries.get(entry.key)) is not None:
                total -= entry_hash(entry.key, old)
            if entry.value is not None:
                total += entry_hash(entry.key, entry.value)
        ordered = tuple(sorted(changed, key=lambda entry: entry.key))
        return Increment(self.version, version, digest_octets(total), ordered)

    def snapshot(self) -> Increment:
        """The whole list as an increment. Entries are sorted by key, so that it is identical at every gateway."""
        entries = tuple(Entry(key, self._entries[key]) for key in sorted(self._entries))
        return Increment(NOTHING, self.version, self.digest, entries)


def check_entries(entries: Iterable[Entry]) -> None:
    """Raises ``DoesNotFitError`` if there are too many entries, one is too large, or a key is repeated."""
    seen: set[str] = set()
    for entry in entries:
        if not 0 < len(entry.key.encode()) <= MAX_KEY_OCTETS:
            raise DoesNotFitError(f"entry {entry.key[:40]!r}: a key has 1 to {MAX_KEY_OCTETS} octets")
        if entry.value is not None and len(entry.value.encode()) > MAX_VALUE_OCTETS:
            raise DoesNotFitError(f"entry {entry.key!r}: more than {MAX_VALUE_OCTETS} octets")
        if entry.key in seen:
            raise DoesNotFitError(f"entry {entry.key!r} is repeated")
        seen.add(entry.key)
    if len(seen) > MAX_ENTRIES:
        raise DoesNotFitError(f"{len(seen)} entries, {MAX_ENTRIES} allowed")


def format_version(version: Version) -> str:
    """A version as text for logs and files."""
    return f"{version.epoch}.{version.number}"
