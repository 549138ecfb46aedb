"""Encodes and decodes search filters (RFC 4511 section 4.5.1.7). No I/O."""

from __future__ import annotations

from yardbank.ldap import messages as m
from yardbank.ldap.ber import OCTETS, SEQUENCE, BerError, boolean, expect, header, read_boolean, text, tlv
from yardbank.ldap.element_codec import expect_end

MAX_FILTER_DEPTH = 64
_MATCH_RULES = {0xA3: "=", 0xA5: ">=", 0xA6: "<=", 0xA8: "~="}
_MATCH_TAGS = {rule: tag for tag, rule in _MATCH_RULES.items()}


def decode_filter(data: bytes, at: int, end: int, depth: int = MAX_FILTER_DEPTH) -> tuple[m.Filter, int]:
    """Decodes one filter; returns it and its end offset. The nesting depth is checked before each recursion."""
    if depth == 0:
        raise BerError(f"filter: nested deeper than {MAX_FILTER_DEPTH}")
    if at >= end:
        raise BerError("filter: missing")
    tag, start, stop = header(data, at, end)
    rule = _MATCH_RULES.get(tag)
    if rule is not None:
        return _decode_match(data, start, stop, rule), stop
    if tag == 0x87:
        return m.Present(text(data, start, stop, "present")), stop
    if tag in (0xA0, 0xA1):
        parts = _decode_parts(data, start, stop, depth - 1)
        return (m.And if tag == 0xA0 else m.Or)(parts), stop
    if tag == 0xA2:
        return _decode_not(data, start, stop, depth - 1), stop
    if tag == 0xA4:
        return _decode_substrings(data, start, stop), stop
    if tag == 0xA9:
        return _decode_extensible(data, start, stop), stop
    raise BerError(f"filter: unknown tag 0x{tag:02x}")


def _decode_match(data: bytes, start: int, stop: int, rule: str) -> m.Match:
    low, high = expect(data, start, stop, OCTETS, "attributeDesc")
    first, last = expect(data, high, stop, OCTETS, "assertionValue")
    if last != stop:
        raise BerError("filter: octets after its end")
    return m.Match(rule, text(data, low, high, "attributeDesc"), data[first:last])


def _decode_parts(data: bytes, start: int, stop: int, depth: int) -> tuple[m.Filter, ...]:
    """Decodes the operands of an "and" or "or" filter."""
    parts: list[m.Filter] = []
    at = start
    while at < stop:
        part, at = decode_filter(data, at, stop, depth)
        parts.append(part)
    return tuple(parts)


def _decode_not(data: bytes, start: int, stop: int, depth: int) -> m.Not:
    part, at = decode_filter(data, start, stop, depth)
    if at != stop:
        raise BerError("filter: not has more than one part")
    return m.Not(part)


def _decode_substrings(data: bytes, start: int, stop: int) -> m.Substrings:
    low, high = expect(data, start, stop, OCTETS, "type")
    attribute = text(data, low, high, "type")
    at, end = expect(data, high, stop, SEQUENCE, "substrings")
    start_of_parts = at
    if end != stop or at == end:
        raise BerError("substrings: empty, or octets after their end")
    initial: bytes | None = None
    middle: list[bytes] = []
    final: bytes | None = None
    while at < end:
        tag, low, after = header(data, at, end)
        if final is not None or tag not in (0x80, 0x81, 0x82) or (tag == 0x80 and at != start_of_parts):
            raise BerError("substrings: parts out of order")
        if tag == 0x80:
            initial = data[low:after]
        elif tag == 0x81:
            middle.append(data[low:after])
        else:
            final = data[low:after]
        at = after
    return m.Substrings(attribute, initial, tuple(middle), final)


def _decode_extensible(data: bytes, at: int, stop: int) -> m.Extensible:
    found: dict[int, bytes] = {}
    last = 0x80
    while at < stop:
        tag, low, after = header(data, at, stop)
        if tag not in (0x81, 0x82, 0x83, 0x84) or tag <= last:
            raise BerError("extensibleMatch: parts out of order")
        found[tag], last, at = data[low:after], tag, after
    if 0x83 not in found:
        raise BerError("matchValue: missing")
    names = [text(found[tag], 0, len(found[tag]), "extensibleMatch") if tag in found else None for tag in (0x81, 0x82)]
    dn = read_boolean(found[0x84], 0, len(found[0x84]), "dnAttributes") if 0x84 in found else False
    return m.Extensible(names[0], names[1], found[0x83], dn)


def encode_filter(value: m.Filter) -> bytes:
    """Encodes one filter."""
    if isinstance(value, m.Match):
        pair = tlv(OCTETS, value.attribute.encode()) + tlv(OCTETS, value.value)
        return tlv(_MATCH_TAGS[value.rule], pair)
    if isinstance(value, m.Present):
        return tlv(0x87, value.attribute.encode())
    if isinstance(value, m.And | m.Or):
        return tlv(0xA0 if isinstance(value, m.And) else 0xA1, b"".join(map(encode_filter, value.parts)))
    if isinstance(value, m.Not):
        return tlv(0xA2, encode_filter(value.part))
    if isinstance(value, m.Substrings):
        parts = b"" if value.initial is None else tlv(0x80, value.initial)
        parts += b"".join(tlv(0x81, part) for part in value.any)
        parts += b"" if value.final is None else tlv(0x82, value.final)
        return tlv(0xA4, tlv(OCTETS, value.attribute.encode()) + tlv(SEQUENCE, parts))
    parts = b"" if value.rule is None else tlv(0x81, value.rule.encode())
    parts += b"" if value.attribute is None else tlv(0x82, value.attribute.encode())
    parts += tlv(0x83, value.value)
    parts += boolean(True, 0x84) if value.dn_attributes else b""
    return tlv(0xA9, parts)


def decode_bare_filter(data: bytes) -> m.Filter:
    """Decodes bytes that hold exactly one filter, such as an assertion control's value (RFC 4528)."""
    found, at = decode_filter(data, 0, len(data))
    expect_end(at, len(data), "filter")
    return found
