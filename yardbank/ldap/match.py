"""Evaluates filters against an entry and selects the attributes of a search result (RFC 4511 section 4.5.1). No I/O.

There is no schema: values are compared case-insensitively, decimal numbers by value, and undefined results are false.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

from yardbank.ldap import messages as m

Values = Callable[[str], Sequence[bytes]]  # looks up the values of an attribute by name


def matches(wanted: m.Filter, values: Values) -> bool:
    """Whether an entry matches a filter; undefined counts as false (RFC 4511 section 4.5.1.7)."""
    match wanted:
        case m.And(parts):
            return all(matches(part, values) for part in parts)
        case m.Or(parts):
            return any(matches(part, values) for part in parts)
        case m.Not(part):
            return not matches(part, values)
        case m.Present(name):
            return bool(values(name))
        case m.Match(rule, name, value):
            low = value.lower()
            held = [one.lower() for one in values(name)]
            if rule in ("=", "~="):
                return low in held
            return any(_greater_or_equal(one, low) if rule == ">=" else _greater_or_equal(low, one) for one in held)
        case m.Substrings():
            return any(_substrings(wanted, value.lower()) for value in values(wanted.attribute))
        case m.Extensible(_, name, value, _):
            return name is not None and value.lower() in [one.lower() for one in values(name)]
    return False


def _greater_or_equal(larger: bytes, smaller: bytes) -> bool:
    if larger.isdigit() and smaller.isdigit():
        return int(larger) >= int(smaller)
    return larger >= smaller


def _substrings(wanted: m.Substrings, value: bytes) -> bool:
    at, end = 0, len(value)
    if wanted.initial is not None:
        if not value.startswith(wanted.initial.lower()):
            return False
        at = len(wanted.initial)
    if wanted.final is not None:
        if not value.endswith(wanted.final.lower()) or end - len(wanted.final) < at:
            return False
        end -= len(wanted.final)
    for part in wanted.any:
        found = value.find(part.lower(), at, end)
        if found < 0:
            return False
        at = found + len(part)
    return True


def wanted_attributes(attributes: m.Attributes, request: m.SearchRequest) -> list[tuple[str, tuple[bytes, ...]]]:
    """The user attributes that a search selects: those listed, or all with ``*`` or an empty list (section 4.5.1.8)."""
    requested = [name.lower() for name in request.attributes]
    all_attributes = not requested or "*" in requested
    return [(name, values) for name, values in attributes if values and (all_attributes or name.lower() in requested)]


def without_values(attributes: m.Attributes) -> m.Attributes:
    """The attributes with their types only."""
    return tuple((name, ()) for name, _ in attributes)
