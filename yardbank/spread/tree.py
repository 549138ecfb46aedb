"""The directory tree over all groups' suffixes: which group holds a DN, and what a search covers. No I/O.

DNs above suffixes that no group holds are glue. Glue entries are derived from the suffixes' DNs alone, never from
other settings: ``dc=x`` is a domain, ``ou=x`` an organizationalUnit, and so on.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from functools import lru_cache

from yardbank.directory import naming
from yardbank.directory.codes import Scope

MAX_CACHED_COVERAGES = 4096  # size of the cache of search coverages
_OBJECT_CLASSES = {
    "dc": "domain",
    "ou": "organizationalUnit",
    "o": "organization",
    "c": "country",
    "l": "locality",
    "st": "locality",
}


@dataclass(slots=True, frozen=True)
class GroupScope:
    """The part of a search that one group answers. ``excluded`` subtrees below the base belong to other groups."""

    group: str
    suffix: str  # as configured, for diagnostics
    base: str
    scope: int
    excluded: tuple[str, ...] = ()


@dataclass(slots=True, frozen=True)
class Coverage:
    """What a search covers: the parts in order of their suffixes, and the DNs of glue entries."""

    group_scopes: tuple[GroupScope, ...]
    glue: tuple[str, ...] = ()
    known: bool = True  # whether the base exists in the tree; if not, ``matched`` is its nearest ancestor that does
    matched: str = ""


class Tree:
    """The suffixes of all groups as one tree. DNs are folded unless stated otherwise."""

    def __init__(self, suffixes: Mapping[str, str]) -> None:
        """``suffixes`` by group, as configured."""
        self._configured = dict(suffixes)
        self._group_by_suffix: dict[str, str] = {naming.fold(suffix): group for group, suffix in suffixes.items()}
        self._below: dict[str, list[str]] = {}  # by ancestor DN: the suffixes strictly below it
        self._glue: dict[str, str] = {}  # by folded DN of a glue entry: its DN as configured
        for suffix in sorted(self._group_by_suffix):
            configured, name = self._configured[self._group_by_suffix[suffix]], suffix
            while name:
                name, configured = naming.parent(name), naming.parent(configured)
                self._below.setdefault(name, []).append(suffix)
                if name and self.group_holding(name) is None:
                    self._glue.setdefault(name, configured.strip())
        self.coverage = lru_cache(MAX_CACHED_COVERAGES)(self._coverage)

    def group_holding(self, name: str) -> str | None:
        """The group whose suffix contains a DN; the longest suffix wins."""
        while True:
            if (group := self._group_by_suffix.get(name)) is not None:
                return group
            if not name:
                return None
            name = naming.parent(name)

    def glue(self, name: str) -> str | None:
        """The DN of a glue entry as configured; None if the DN is not glue."""
        return self._glue.get(name)

    def suffix(self, group: str) -> str:
        """A group's suffix as configured."""
        return self._configured[group]

    def has_suffixes_below(self, name: str) -> bool:
        """Whether suffixes lie strictly below a DN, so that an operation on its subtree affects several groups."""
        return name in self._below

    def moves_between_groups(self, entry: str, new: str) -> bool:
        """Whether a rename would move an entry, or entries below it, to another group (RFC 4511 section 4.9)."""
        holding_group = self.group_holding(entry)
        return holding_group != self.group_holding(new) or (
            holding_group is not None and (self.has_suffixes_below(entry) or self.has_suffixes_below(new))
        )

    def matched(self, name: str) -> str:
        """The nearest glue DN above a DN that no group holds, as configured (matchedDN, RFC 4511 section 4.1.9)."""
        while name:
            name = naming.parent(name)
            if (configured := self._glue.get(name)) is not None:
                return configured
        return ""

    def _coverage(self, base: str, scope: int) -> Coverage:
        """Computes what a search covers; cached by ``coverage``."""
        group, below = self.group_holding(base), self._below.get(base, [])
        if group is None and base and base not in self._glue:
            return Coverage((), (), False, self.matched(base))
        group_scopes: list[GroupScope] = []
        glue: list[str] = []
        if group is not None:
            excluded_below = tuple(below) if scope != Scope.BASE else ()
            group_scopes.append(GroupScope(group, self._configured[group], base, scope, excluded_below))
        elif scope in (Scope.BASE, Scope.SUBTREE) and base:
            glue.append(base)
        if scope == Scope.ONE:
            below = [suffix for suffix in below if naming.parent(suffix) == base]
        for suffix in below if scope != Scope.BASE else ():
            excluded = tuple(self._below.get(suffix, ())) if scope != Scope.ONE else ()
            part_scope = Scope.BASE if scope == Scope.ONE else Scope.SUBTREE
            holding_group = self._group_by_suffix[suffix]
            group_scopes.append(
                GroupScope(holding_group, self._configured[holding_group], suffix, part_scope, excluded)
            )
        if group is None:
            if scope == Scope.ONE:
                glue += [name for name in self._glue if naming.parent(name) == base]
            elif scope in (Scope.SUBTREE, Scope.SUBORDINATE):
                glue += [name for name in self._glue if name != base and naming.under(name, base)]
        return Coverage(tuple(group_scopes), tuple(sorted(glue, key=lambda name: (name.count(","), name))))


def glue_attributes(configured: str) -> tuple[tuple[str, tuple[bytes, ...]], ...]:
    """The attributes of a glue entry, derived from its DN."""
    first = configured[: len(configured) - len(naming.parent(configured))].rstrip().removesuffix(",")
    pairs = [part.partition("=") for part in first.split("+")]
    object_class = _OBJECT_CLASSES.get(pairs[0][0].strip().lower(), "extensibleObject")
    values_by_type: dict[str, list[bytes]] = {}
    for name, _, value in pairs:
        values_by_type.setdefault(name.strip(), []).append(value.strip().encode())
    return (
        ("objectClass", (b"top", object_class.encode())),
        *((name, tuple(values)) for name, values in values_by_type.items()),
    )
