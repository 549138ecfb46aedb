"""Encodes and decodes elements that several LDAP messages share: strings, values, attributes (RFC 4511 section 4.1).

No I/O.
"""

from __future__ import annotations

from yardbank.ldap import messages as m
from yardbank.ldap.ber import (
    OCTETS,
    OCTETS_HEADERS,
    SEQUENCE,
    SEQUENCE_HEADERS,
    SET,
    SET_HEADERS,
    BerError,
    expect,
    text,
    tlv,
)


def read_strings(data: bytes, at: int, end: int, name: str) -> tuple[str, ...]:
    """Reads the strings up to ``end``. Raises ``BerError`` naming the element."""
    found = []
    while at < end:
        low, at = expect(data, at, end, OCTETS, name)
        found.append(text(data, low, at, name))
    return tuple(found)


def read_values(data: bytes, at: int, end: int) -> tuple[bytes, ...]:
    """Reads the values of a SET as octets. Raises ``BerError``."""
    found = []
    while at < end:
        if data[at] == OCTETS and at + 1 < end and data[at + 1] < 0x80 and at + 2 + data[at + 1] <= end:
            low = at + 2  # fast path: most values have a short-form length
            at = low + data[at + 1]
        else:
            low, at = expect(data, at, end, OCTETS, "vals")
        found.append(data[low:at])
    return tuple(found)


def read_attributes(data: bytes, at: int, end: int) -> m.Attributes:
    """Reads a list of attributes with their values. Raises ``BerError``."""
    found = []
    while at < end:
        stop = at + 2 + data[at + 1] if at + 6 <= end else end + 1
        if stop <= end and data[at] == SEQUENCE and data[at + 2] == OCTETS and data[at + 1] < 0x80:
            high = at + 4 + data[at + 3]  # fast path: all lengths are in short form
            if high + 2 <= stop and data[high] == SET and data[high + 1] < 0x80 and high + 2 + data[high + 1] == stop:
                found.append((text(data, at + 4, high, "type"), read_values(data, high + 2, stop)))
                at = stop
                continue
        start, at = expect(data, at, end, SEQUENCE, "attribute")
        low, high = expect(data, start, at, OCTETS, "type")
        first, last = expect(data, high, at, SET, "vals")
        if last != at:
            raise BerError("attribute: octets after its end")
        found.append((text(data, low, high, "type"), read_values(data, first, last)))
    return tuple(found)


def write_attribute(kind: str, values: tuple[bytes, ...]) -> bytes:
    """Encodes one attribute with its values."""
    name = kind.encode()
    if len(values) == 1:  # fast path: most attributes have one short value
        (value,) = values
        value_size, type_size = len(value) + 2, len(name) + 2
        if value_size + type_size < 0x7E:
            return b"".join(
                (
                    SEQUENCE_HEADERS[type_size + value_size + 2],
                    OCTETS_HEADERS[type_size - 2],
                    name,
                    SET_HEADERS[value_size],
                    OCTETS_HEADERS[value_size - 2],
                    value,
                )
            )
    return tlv(SEQUENCE, tlv(OCTETS, name) + tlv(SET, b"".join([tlv(OCTETS, value) for value in values])))


def write_attributes(attributes: m.Attributes) -> bytes:
    """Encodes a list of attributes, as in entries and add requests."""
    return tlv(SEQUENCE, b"".join([write_attribute(kind, values) for kind, values in attributes]))


def expect_end(at: int, stop: int, name: str) -> None:
    """Raises ``BerError`` if an element has octets after its last field."""
    if at != stop:
        raise BerError(f"{name}: octets after its end")
