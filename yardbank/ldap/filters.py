"""Parses and formats the string representation of filters (RFC 4515)."""

from __future__ import annotations

import re

from yardbank.ldap import messages as m

MAX_DEPTH = 64
_ATTRIBUTE = re.compile(r"[A-Za-z0-9.;_-]+")
_ITEM = re.compile(r"([A-Za-z0-9.;_-]*)(:dn)?(?::([A-Za-z0-9.-]+))?(:=|>=|<=|~=|=)", re.IGNORECASE)


class FilterError(ValueError):
    """The string is not a filter; the message gives the offset of the error."""


def parse(source: str) -> m.Filter:
    """Parses a filter's string representation."""
    found, at = _parse(source, 0, MAX_DEPTH)
    if at != len(source):
        raise FilterError(f"at {at}: text after the filter")
    return found


def _parse(s: str, at: int, depth: int) -> tuple[m.Filter, int]:
    if depth == 0:
        raise FilterError(f"at {at}: nested deeper than {MAX_DEPTH}")
    if s[at : at + 1] != "(":
        raise FilterError(f"at {at}: '(' expected")
    at += 1
    sign = s[at : at + 1]
    if sign and sign in "&|":
        parts, at = [], at + 1
        while s[at : at + 1] == "(":
            part, at = _parse(s, at, depth - 1)
            parts.append(part)
        found: m.Filter = (m.And if sign == "&" else m.Or)(tuple(parts))
    elif sign == "!":
        part, at = _parse(s, at + 1, depth - 1)
        found = m.Not(part)
    else:
        end = s.find(")", at)
        if end < 0:
            raise FilterError(f"at {at}: ')' expected")
        found, at = _parse_item(s[at:end], at), end
    if s[at : at + 1] != ")":
        raise FilterError(f"at {at}: ')' expected")
    return found, at + 1


def _parse_item(s: str, at: int) -> m.Filter:
    item = _ITEM.match(s)
    if item is None:
        raise FilterError(f"at {at}: attribute and comparison expected")
    name, dn, rule, sign = item.groups()
    value = s[item.end() :]
    if sign == ":=":
        if not name and not rule:
            raise FilterError(f"at {at}: an extensible match needs an attribute or a rule")
        return m.Extensible(rule, name or None, _unescape(value, at), bool(dn))
    if not name or dn or rule:
        raise FilterError(f"at {at}: attribute expected")
    if sign != "=":
        return m.Match(sign, name, _unescape(value, at))
    if value == "*":
        return m.Present(name)
    if "*" not in value:
        return m.Match("=", name, _unescape(value, at))
    first, *middle, last = (_unescape(part, at) for part in value.split("*"))
    if not all(middle):
        raise FilterError(f"at {at}: empty part between two '*'")
    return m.Substrings(name, first or None, tuple(middle), last or None)


def _unescape(value: str, at: int) -> bytes:
    raw, out, i = value.encode(), bytearray(), 0
    while i < len(raw):
        if raw[i] == 0x5C:
            try:
                out.append(int(raw[i + 1 : i + 3].decode("ascii"), 16))
            except ValueError:
                raise FilterError(f"at {at}: '\\' needs two hex digits") from None
            if len(raw) < i + 3:
                raise FilterError(f"at {at}: '\\' needs two hex digits")
            i += 3
        elif raw[i] in b"\x00()*":
            raise FilterError(f"at {at}: a character that must be escaped")
        else:
            out.append(raw[i])
            i += 1
    return bytes(out)


def _escape(value: bytes) -> str:
    try:
        source = value.decode()
    except UnicodeDecodeError:
        return "".join(f"\\{octet:02x}" if octet >= 0x80 or octet in b"\x00()*\\" else chr(octet) for octet in value)
    return "".join(f"\\{ord(c):02x}" if c in "\x00()*\\" else c for c in source)


def format_filter(value: m.Filter) -> str:
    """The string representation of a filter."""
    if isinstance(value, m.And | m.Or):
        return f"({'&' if isinstance(value, m.And) else '|'}{''.join(map(format_filter, value.parts))})"
    if isinstance(value, m.Not):
        return f"(!{format_filter(value.part)})"
    if isinstance(value, m.Match):
        return f"({value.attribute}{value.rule}{_escape(value.value)})"
    if isinstance(value, m.Present):
        return f"({value.attribute}=*)"
    if isinstance(value, m.Substrings):
        parts = [value.initial or b"", *value.any, value.final or b""]
        return f"({value.attribute}={'*'.join(map(_escape, parts))})"
    rule = f":{value.rule}" if value.rule else ""
    return f"({value.attribute or ''}{':dn' if value.dn_attributes else ''}{rule}:={_escape(value.value)})"


def attributes_of(value: m.Filter) -> frozenset[str]:
    """All attributes that a filter uses, in lower case."""
    if isinstance(value, m.And | m.Or):
        return frozenset().union(*map(attributes_of, value.parts))
    if isinstance(value, m.Not):
        return attributes_of(value.part)
    return frozenset([value.attribute.lower()] if value.attribute else [])
