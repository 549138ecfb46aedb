"""Which class and group an LDAP operation belongs to. No I/O.

What matches no rule, or two rules alike, falls to the strictest class: a read that must see every commit, a
write that must never run twice.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from yardbank.ldap import filters
from yardbank.ldap import messages as m

READS, WRITES = ("search", "compare"), ("add", "delete", "modify", "modifydn", "passwd")
SCOPES = {"base": m.Scope.BASE, "one": m.Scope.ONE, "sub": m.Scope.SUBTREE}


@dataclass(slots=True, frozen=True)
class Rule:
    """What a class's operations look like; an empty field matches all."""

    class_name: str
    operations: frozenset[str]
    base: str = ""  # folded; the operation's entry is this or below
    scopes: frozenset[int] = frozenset()
    attributes: frozenset[str] = frozenset()  # a search's filter names one of them
    identities: frozenset[str] = frozenset()  # folded bind names

    def weight(self) -> tuple[int, int, int, int]:
        """How narrow a rule is: the narrower of two that match wins."""
        depth = self.base.count(",") + 1 if self.base else 0
        return len(self.identities) > 0, depth, len(self.attributes) > 0, len(self.scopes) > 0


@dataclass(slots=True)
class Placed:
    """Where an operation belongs; ``group`` None: under no group's suffix, or above several."""

    class_name: str
    group: str | None
    why: str


def operation_name(operation: m.Request) -> str:
    """The word by which rules name an operation."""
    if isinstance(operation, m.ExtendedRequest):
        return "passwd" if operation.oid == m.Oid.PASSWORD_MODIFY else "extended"
    return _NAMES.get(type(operation), "other")


_NAMES = {
    m.SearchRequest: "search",
    m.CompareRequest: "compare",
    m.AddRequest: "add",
    m.DeleteRequest: "delete",
    m.ModifyRequest: "modify",
    m.ModifyDNRequest: "modifydn",
}


def entry_of(operation: m.Request) -> str:
    """The folded name of the entry that an operation is about."""
    if isinstance(operation, m.SearchRequest):
        return filters.fold(operation.base)
    return filters.fold(getattr(operation, "entry", ""))


class Classifier:
    """Rules of one settings file, narrowest first."""

    def __init__(
        self, rules: tuple[Rule, ...], suffixes: Mapping[str, str], strict_read: str, strict_write: str
    ) -> None:
        self._rules = rules
        self._suffixes = sorted(((suffix, name) for name, suffix in suffixes.items()), key=lambda s: -len(s[0]))
        self._by_attribute = any(rule.attributes for rule in rules)
        self._strict = {True: strict_read, False: strict_write}

    def group_of(self, entry: str) -> str | None:
        """The group whose suffix holds an entry; the longest suffix wins."""
        return next((name for suffix, name in self._suffixes if filters.under(entry, suffix)), None)

    def place(self, operation: m.Request, identity: str = "", entry: str | None = None) -> Placed:
        """Class and group of one operation under a folded bind name."""
        entry = entry_of(operation) if entry is None else entry
        name, group = operation_name(operation), self.group_of(entry)
        scope, attributes = -1, frozenset[str]()
        if isinstance(operation, m.SearchRequest):
            scope = operation.scope
            if self._by_attribute:
                attributes = filters.attributes_of(operation.filter)
            if group is None and scope != m.Scope.BASE and len(self._suffixes) == 1:
                suffix, only = self._suffixes[0]  # a search from above the one group there is
                group = only if filters.under(suffix, entry) else None
        fit = [
            rule
            for rule in self._rules
            if name in rule.operations
            and filters.under(entry, rule.base)
            and (not rule.scopes or scope in rule.scopes)
            and (not rule.attributes or rule.attributes & attributes)
            and (not rule.identities or identity in rule.identities)
        ]
        if not fit:
            return Placed(self._strict[name in READS], group, "no rule matches: the strictest class")
        if len(fit) == 1:
            return Placed(fit[0].class_name, group, "the one rule that matches")
        weight = max(rule.weight() for rule in fit)
        best = {rule.class_name for rule in fit if rule.weight() == weight}
        if len(best) > 1:
            return Placed(
                self._strict[name in READS], group, f"{', '.join(sorted(best))} match alike: the strictest class"
            )
        return Placed(best.pop(), group, "the narrowest rule that matches")
