"""Elements that several LDAP messages share: lists of strings and values, attributes (RFC 4511 section 4.1). No I/O."""

from __future__ import annotations

from yardbank.ldap import messages as m
from yardbank.ldap.ber import OCTET_HEADS, OCTETS, SEQUENCE, SEQUENCE_HEADS, SET, SET_HEADS, BerError, expect, text, tlv


def read_strings(data: bytes, at: int, end: int, name: str) -> tuple[str, ...]:
    """Text strings up to ``end``. Raises ``BerError`` that names the element."""
    found = []
    while at < end:
        low, at = expect(data, at, end, OCTETS, name)
        found.append(text(data, low, at, name))
    return tuple(found)


def read_values(data: bytes, at: int, end: int) -> tuple[bytes, ...]:
    """The values of a SET, as octets. Raises ``BerError``."""
    found = []
    while at < end:
        if data[at] == OCTETS and at + 1 < end and data[at + 1] < 0x80 and at + 2 + data[at + 1] <= end:
            low = at + 2  # the short form, read in place: most values take it
            at = low + data[at + 1]
        else:
            low, at = expect(data, at, end, OCTETS, "vals")
        found.append(data[low:at])
    return tuple(found)


def read_attributes(data: bytes, at: int, end: int) -> m.Attributes:
    """A list of attributes with their values. Raises ``BerError``."""
    found = []
    while at < end:
        stop = at + 2 + data[at + 1] if at + 6 <= end else end + 1
        if stop <= end and data[at] == SEQUENCE and data[at + 2] == OCTETS and data[at + 1] < 0x80:
            high = at + 4 + data[at + 3]  # all lengths short: read in place
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
    """One attribute with its values."""
    name = kind.encode()
    if len(values) == 1:  # short ones are put together in place: an entry is mostly these
        (value,) = values
        held, named = len(value) + 2, len(name) + 2
        if held + named < 0x7E:
            return b"".join(
                (
                    SEQUENCE_HEADS[named + held + 2],
                    OCTET_HEADS[named - 2],
                    name,
                    SET_HEADS[held],
                    OCTET_HEADS[held - 2],
                    value,
                )
            )
    return tlv(SEQUENCE, tlv(OCTETS, name) + tlv(SET, b"".join([tlv(OCTETS, value) for value in values])))


def write_attributes(attributes: m.Attributes) -> bytes:
    """A list of attributes, as entries and add requests hold it."""
    return tlv(SEQUENCE, b"".join([write_attribute(kind, values) for kind, values in attributes]))


def expect_end(at: int, stop: int, name: str) -> None:
    """Raise ``BerError`` if an element has octets after its last part."""
    if at != stop:
        raise BerError(f"{name}: octets after its end")
