"""Encodes and decodes controls and the values of those that the gateway handles. No I/O.

These are the controls of RFC 2696, 2891, 3909 and 4527.
"""

from __future__ import annotations

from yardbank.ldap import messages as m
from yardbank.ldap.ber import (
    BOOLEAN,
    ENUMERATED,
    INTEGER,
    OCTETS,
    SEQUENCE,
    BerError,
    boolean,
    expect,
    integer,
    read_boolean,
    read_integer,
    text,
    tlv,
)
from yardbank.ldap.element_codec import read_strings
from yardbank.ldap.response_codec import read_entry


def decode_controls(data: bytes) -> tuple[m.Control, ...]:
    """Decodes the [0] element that holds the controls; empty bytes mean no controls."""
    if not data:
        return ()
    at, end = expect(data, 0, len(data), 0xA0, "controls")
    found = []
    while at < end:
        start, at = expect(data, at, end, SEQUENCE, "control")
        low, high = expect(data, start, at, OCTETS, "controlType")
        oid, critical, value = text(data, low, high, "controlType"), False, None
        if high < at and data[high] == BOOLEAN:
            low, high = expect(data, high, at, BOOLEAN, "criticality")
            critical = read_boolean(data, low, high, "criticality")
        if high < at:
            low, high = expect(data, high, at, OCTETS, "controlValue")
            value = data[low:high]
        if high != at:
            raise BerError("control: octets after its end")
        found.append(m.Control(oid, critical, value))
    return tuple(found)


def encode_controls(controls: tuple[m.Control, ...]) -> bytes:
    """Encodes controls as the [0] element; empty bytes if there are none."""
    if not controls:
        return b""
    parts = []
    for control in controls:
        part = tlv(OCTETS, control.oid.encode())
        if control.critical:
            part += boolean(True)
        if control.value is not None:
            part += tlv(OCTETS, control.value)
        parts.append(tlv(SEQUENCE, part))
    return tlv(0xA0, b"".join(parts))


def paged_value(size: int, cookie: bytes) -> bytes:
    """Encodes the value of a paged results control (RFC 2696 section 2)."""
    return tlv(SEQUENCE, integer(size) + tlv(OCTETS, cookie))


def read_paged_value(value: bytes) -> tuple[int, bytes]:
    """Decodes the size and cookie of a paged results control. Raises ``BerError``."""
    low, high = expect(value, 0, len(value), SEQUENCE, "pagedResults")
    first, last = expect(value, low, high, INTEGER, "size")
    size = read_integer(value, first, last, "size")
    first, last = expect(value, last, high, OCTETS, "cookie")
    return size, value[first:last]


def sort_result(code: int) -> bytes:
    """Encodes the value of a sort response control (RFC 2891 section 1.2)."""
    return tlv(SEQUENCE, integer(code, ENUMERATED))


def post_read_request(attributes: tuple[str, ...]) -> bytes:
    """Encodes the value of a post-read request control (RFC 4527 section 3.2)."""
    return tlv(SEQUENCE, b"".join(tlv(OCTETS, name.encode()) for name in attributes))


def read_post_read_request(value: bytes) -> tuple[str, ...]:
    """Decodes the attributes that a post-read request control selects."""
    low, high = expect(value, 0, len(value), SEQUENCE, "postRead")
    return read_strings(value, low, high, "postRead")


def read_post_read(value: bytes) -> m.SearchEntry:
    """Decodes the entry in a post-read response control."""
    low, high = expect(value, 0, len(value), m.Tag.ENTRY, "postRead")
    return read_entry(value, low, high)


def cancel_target(value: bytes | None) -> int:
    """The message ID of the operation that a Cancel request addresses (RFC 3909 section 2)."""
    low, high = expect(value or b"", 0, len(value or b""), SEQUENCE, "cancelRequestValue")
    first, last = expect(value or b"", low, high, INTEGER, "cancelID")
    return read_integer(value or b"", first, last, "cancelID")
