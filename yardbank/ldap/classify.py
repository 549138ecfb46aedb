"""Finds the request class and the group of an LDAP operation. No I/O.

An operation that matches no rule, or several equally specific ones, gets the strictest class: for a read, that it
must see every commit; for a write, that it must never run twice.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from yardbank.directory import naming
from yardbank.directory.codes import Code, Scope
from yardbank.interface import RequestClass
from yardbank.ldap import filters
from yardbank.ldap import messages as m
from yardbank.ldap.match import matches
from yardbank.spread.tree import Tree, glue_attributes

READS, WRITES = ("search", "compare"), ("add", "delete", "modify", "modifydn", "passwd")
SCOPES = {"base": Scope.BASE, "one": Scope.ONE, "sub": Scope.SUBTREE, "subordinate": Scope.SUBORDINATE}


@dataclass(slots=True, frozen=True)
class Rule:
    """Conditions under which an operation belongs to a class; an empty field matches everything."""

    class_name: str
    operations: frozenset[str]
    base: str = ""  # folded DN; matches this entry and all below it
    scopes: frozenset[int] = frozenset()
    attributes: frozenset[str] = frozenset()  # matches if the search filter uses one of them
    identities: frozenset[str] = frozenset()  # folded bind names

    def specificity(self) -> tuple[int, int, int, int]:
        """How specific the rule is: of several matching rules, the most specific wins."""
        depth = self.base.count(",") + 1 if self.base else 0
        return len(self.identities) > 0, depth, len(self.attributes) > 0, len(self.scopes) > 0


@dataclass(slots=True)
class Classification:
    """The class and group of an operation; ``group`` is None if the entry is below no group's suffix."""

    class_name: str
    group: str | None
    why: str
    deadline: int = 0  # in ns, the shortest among the classes that a search covers; 0: that of the class


def operation_name(operation: m.Request) -> str:
    """The name of an operation in the rules."""
    if isinstance(operation, m.ExtendedRequest):
        return "passwd" if operation.oid == m.Oid.PASSWORD_MODIFY else "extended"
    return _OPERATION_NAMES.get(type(operation), "other")


_OPERATION_NAMES = {
    m.SearchRequest: "search",
    m.CompareRequest: "compare",
    m.AddRequest: "add",
    m.DeleteRequest: "delete",
    m.ModifyRequest: "modify",
    m.ModifyDNRequest: "modifydn",
}


def target_dn(operation: m.Request) -> str:
    """The folded DN of the entry that an operation addresses."""
    if isinstance(operation, m.SearchRequest):
        return naming.fold(operation.base)
    return naming.fold(getattr(operation, "entry", ""))


def old_and_new_dn(request: m.ModifyDNRequest) -> tuple[str, str]:
    """The folded DN of an entry before and after a rename."""
    entry = naming.fold(request.entry)
    superior = naming.parent(entry) if request.new_superior is None else naming.fold(request.new_superior)
    return entry, ",".join(filter(None, (naming.fold(request.new_rdn), superior)))


def result_outside_groups(tree: Tree, operation: m.Request, entry: str) -> tuple[Code, str]:
    """Result code and matchedDN for a DN outside all groups. A glue entry answers as a real entry on a server would."""
    configured = tree.glue(entry)
    if configured is None:
        return Code.NO_SUCH_OBJECT, tree.matched(entry)
    match operation:
        case m.CompareRequest(_, attribute, value):
            values_by_name = {name.lower(): values for name, values in glue_attributes(configured)}
            if attribute.lower() not in values_by_name:
                return Code.NO_SUCH_ATTRIBUTE, ""
            found = matches(m.Match("=", attribute, value), lambda name: values_by_name.get(name.lower(), ()))
            return (Code.COMPARE_TRUE if found else Code.COMPARE_FALSE), ""
        case m.AddRequest():
            return Code.ENTRY_EXISTS, ""
        case m.DeleteRequest():
            return Code.NOT_ALLOWED_ON_NON_LEAF, ""
    return Code.UNWILLING, ""


class Classifier:
    """Classifies operations by the rules of one settings file; the most specific matching rule wins."""

    def __init__(
        self,
        rules: tuple[Rule, ...],
        suffixes: Mapping[str, str],
        strict_read: str,
        strict_write: str,
        classes: Mapping[str, RequestClass] | None = None,
    ) -> None:
        """``suffixes`` by group, as configured; with ``classes``, a search across several gets the strictest."""
        self._rules = rules
        self.tree = Tree(suffixes)
        self._by_attribute = any(rule.attributes for rule in rules)
        self._strict = {True: strict_read, False: strict_write}
        self._classes = classes or {}
        self._search_rules = tuple(
            (rule, self.tree.group_holding(rule.base)) for rule in rules if rule.base and "search" in rule.operations
        )

    def group_of(self, entry: str) -> str | None:
        """The group whose suffix contains an entry; the longest suffix wins."""
        return self.tree.group_holding(entry)

    def place(self, operation: m.Request, identity: str = "", entry: str | None = None) -> Classification:
        """Class and group of one operation; ``identity`` is the client's folded bind DN."""
        entry = target_dn(operation) if entry is None else entry
        name, group = operation_name(operation), self.group_of(entry)
        if isinstance(operation, m.SearchRequest):
            return self.place_search(group, entry, operation, operation.scope, identity)
        return self._match_rules(name, group, entry, identity, -1, frozenset())

    def place_search(
        self, group: str | None, base: str, request: m.SearchRequest, scope: int, identity: str = ""
    ) -> Classification:
        """Class of a search, or of one part of it, from a folded base DN."""
        attributes = filters.attributes_of(request.filter) if self._by_attribute else frozenset[str]()
        classification = self._match_rules("search", group, base, identity, scope, attributes)
        if scope == Scope.BASE or not self._classes:
            return classification
        below = {
            rule.class_name
            for rule, rule_group in self._search_rules
            if rule.base != base
            and rule_group == group
            and (naming.under(rule.base, base) if scope != Scope.ONE else naming.parent(rule.base) == base)
            and (not rule.attributes or rule.attributes & attributes)
            and (not rule.identities or identity in rule.identities)
        }
        below.discard(classification.class_name)
        return self._strictest_of(classification, below) if below else classification

    def _strictest_of(self, classification: Classification, others: set[str]) -> Classification:
        """Picks one class for a search across several: its staleness and deadline satisfy each of them."""
        candidates = [self._classes[name] for name in sorted({classification.class_name, *others})]
        read_levels = {request_class.read for request_class in candidates} - {"any"}
        # Session consistency and a staleness bound are not comparable, so that only a fresh read satisfies both.
        if len(read_levels) > 1 or "fresh" in read_levels:
            name = next(
                (request_class.name for request_class in candidates if request_class.read == "fresh"),
                self._strict[True],
            )
        elif not read_levels:
            name = classification.class_name
        else:
            same_level = [request_class for request_class in candidates if request_class.read in read_levels]
            name = min(
                same_level,
                key=lambda request_class: (request_class.staleness_bound, request_class.deadline, request_class.name),
            ).name
        deadline = min(request_class.deadline for request_class in candidates)
        return Classification(name, classification.group, "the strictest of the classes that it reaches", deadline)

    def _match_rules(
        self, name: str, group: str | None, entry: str, identity: str, scope: int, attributes: frozenset[str]
    ) -> Classification:
        matching = [
            rule
            for rule in self._rules
            if name in rule.operations
            and naming.under(entry, rule.base)
            and (not rule.scopes or scope in rule.scopes)
            and (not rule.attributes or rule.attributes & attributes)
            and (not rule.identities or identity in rule.identities)
        ]
        if not matching:
            return Classification(self._strict[name in READS], group, "no rule matches: the strictest class")
        if len(matching) == 1:
            return Classification(matching[0].class_name, group, "the one rule that matches")
        specificity = max(rule.specificity() for rule in matching)
        best = {rule.class_name for rule in matching if rule.specificity() == specificity}
        if len(best) > 1:
            return Classification(
                self._strict[name in READS], group, f"{', '.join(sorted(best))} match alike: the strictest class"
            )
        return Classification(best.pop(), group, "the narrowest rule that matches")
