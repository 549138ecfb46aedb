"""Encodes and decodes requests (RFC 4511 sections 4.2 to 4.12). No I/O; all input is validated."""

from __future__ import annotations

from yardbank.ldap import messages as m
from yardbank.ldap.ber import (
    BOOLEAN,
    ENUMERATED,
    INTEGER,
    OCTETS,
    SEQUENCE,
    SET,
    BerError,
    boolean,
    expect,
    header,
    integer,
    read_boolean,
    read_integer,
    text,
    tlv,
)
from yardbank.ldap.element_codec import expect_end, read_attributes, read_strings, read_values, write_attribute
from yardbank.ldap.filter_codec import decode_filter, encode_filter


def read_bind(data: bytes, start: int, stop: int) -> m.BindRequest:
    """Decodes a bind request, simple or SASL. Raises ``BerError``."""
    low, high = expect(data, start, stop, INTEGER, "version")
    version = read_integer(data, low, high, "version", 1, 127)
    low, high = expect(data, high, stop, OCTETS, "name")
    name = text(data, low, high, "name")
    tag, low, after = header(data, high, stop)
    expect_end(after, stop, "bindRequest")
    if tag == 0x80:
        return m.BindRequest(name, data[low:after], version=version)
    if tag != 0xA3:
        raise BerError(f"authentication: tag 0x{tag:02x} in place of 0x80 or 0xa3")
    first, last = expect(data, low, after, OCTETS, "mechanism")
    mechanism, credentials = text(data, first, last, "mechanism"), None
    if last < after:
        first, last = expect(data, last, after, OCTETS, "credentials")
        credentials = data[first:last]
    expect_end(last, after, "sasl")
    return m.BindRequest(name, None, mechanism, credentials, version)


def write_bind(request: m.BindRequest) -> bytes:
    """Encodes a bind request."""
    body = integer(request.version) + tlv(OCTETS, request.name.encode())
    if request.mechanism is None:
        return tlv(m.Tag.BIND, body + tlv(0x80, request.password or b""))
    sasl = tlv(OCTETS, request.mechanism.encode())
    sasl += b"" if request.credentials is None else tlv(OCTETS, request.credentials)
    return tlv(m.Tag.BIND, body + tlv(0xA3, sasl))


def read_search(data: bytes, start: int, stop: int) -> m.SearchRequest:
    """Decodes a search request. Raises ``BerError``."""
    low, high = expect(data, start, stop, OCTETS, "baseObject")
    base = text(data, low, high, "baseObject")
    low, high = expect(data, high, stop, ENUMERATED, "scope")
    scope = read_integer(data, low, high, "scope", 0, 3)
    low, high = expect(data, high, stop, ENUMERATED, "derefAliases")
    deref = read_integer(data, low, high, "derefAliases", 0, 3)
    low, high = expect(data, high, stop, INTEGER, "sizeLimit")
    size_limit = read_integer(data, low, high, "sizeLimit")
    low, high = expect(data, high, stop, INTEGER, "timeLimit")
    time_limit = read_integer(data, low, high, "timeLimit")
    low, high = expect(data, high, stop, BOOLEAN, "typesOnly")
    types_only = read_boolean(data, low, high, "typesOnly")
    found, at = decode_filter(data, high, stop)
    low, high = expect(data, at, stop, SEQUENCE, "attributes")
    expect_end(high, stop, "searchRequest")
    attributes = read_strings(data, low, high, "attributes")
    return m.SearchRequest(base, scope, found, attributes, size_limit, time_limit, types_only, deref)


def write_search(r: m.SearchRequest) -> bytes:
    """Encodes a search request."""
    return tlv(
        m.Tag.SEARCH,
        tlv(OCTETS, r.base.encode())
        + integer(r.scope, ENUMERATED)
        + integer(r.deref, ENUMERATED)
        + integer(r.size_limit)
        + integer(r.time_limit)
        + boolean(r.types_only)
        + encode_filter(r.filter)
        + tlv(SEQUENCE, b"".join([tlv(OCTETS, name.encode()) for name in r.attributes])),
    )


def read_modify(data: bytes, start: int, stop: int) -> m.ModifyRequest:
    """Decodes a modify request. Raises ``BerError``."""
    low, high = expect(data, start, stop, OCTETS, "object")
    entry = text(data, low, high, "object")
    at, end = expect(data, high, stop, SEQUENCE, "changes")
    expect_end(end, stop, "modifyRequest")
    changes = []
    while at < end:
        start, at = expect(data, at, end, SEQUENCE, "change")
        low, high = expect(data, start, at, ENUMERATED, "operation")
        kind = read_integer(data, low, high, "operation", 0, 3)
        low, high = expect(data, high, at, SEQUENCE, "modification")
        expect_end(high, at, "change")
        first, last = expect(data, low, high, OCTETS, "type")
        name = text(data, first, last, "type")
        first, last = expect(data, last, high, SET, "vals")
        expect_end(last, high, "modification")
        changes.append((kind, name, read_values(data, first, last)))
    return m.ModifyRequest(entry, tuple(changes))


def write_modify(r: m.ModifyRequest) -> bytes:
    """Encodes a modify request."""
    changes = [tlv(SEQUENCE, integer(kind, ENUMERATED) + write_attribute(name, v)) for kind, name, v in r.changes]
    return tlv(m.Tag.MODIFY, tlv(OCTETS, r.entry.encode()) + tlv(SEQUENCE, b"".join(changes)))


def read_dn_and_attributes(data: bytes, start: int, stop: int, name: str) -> tuple[str, m.Attributes]:
    """Decodes a DN followed by attributes, as in add requests and entries. Raises ``BerError``."""
    low, high = expect(data, start, stop, OCTETS, name)
    at, end = expect(data, high, stop, SEQUENCE, "attributes")
    expect_end(end, stop, "attributes")
    return text(data, low, high, name), read_attributes(data, at, end)


def read_add(data: bytes, start: int, stop: int) -> m.AddRequest:
    """Decodes an add request. Raises ``BerError``."""
    return m.AddRequest(*read_dn_and_attributes(data, start, stop, "entry"))


def read_modify_dn(data: bytes, start: int, stop: int) -> m.ModifyDNRequest:
    """Decodes a modify DN request. Raises ``BerError``."""
    low, high = expect(data, start, stop, OCTETS, "entry")
    entry = text(data, low, high, "entry")
    low, high = expect(data, high, stop, OCTETS, "newrdn")
    rdn = text(data, low, high, "newrdn")
    low, high = expect(data, high, stop, BOOLEAN, "deleteoldrdn")
    delete, superior = read_boolean(data, low, high, "deleteoldrdn"), None
    if high < stop:
        low, high = expect(data, high, stop, 0x80, "newSuperior")
        superior = text(data, low, high, "newSuperior")
    expect_end(high, stop, "modDNRequest")
    return m.ModifyDNRequest(entry, rdn, delete, superior)


def write_modify_dn(r: m.ModifyDNRequest) -> bytes:
    """Encodes a modify DN request."""
    body = tlv(OCTETS, r.entry.encode()) + tlv(OCTETS, r.new_rdn.encode()) + boolean(r.delete_old)
    body += b"" if r.new_superior is None else tlv(0x80, r.new_superior.encode())
    return tlv(m.Tag.MODIFY_DN, body)


def read_compare(data: bytes, start: int, stop: int) -> m.CompareRequest:
    """Decodes a compare request. Raises ``BerError``."""
    low, high = expect(data, start, stop, OCTETS, "entry")
    entry = text(data, low, high, "entry")
    at, end = expect(data, high, stop, SEQUENCE, "ava")
    expect_end(end, stop, "compareRequest")
    low, high = expect(data, at, end, OCTETS, "attributeDesc")
    first, last = expect(data, high, end, OCTETS, "assertionValue")
    expect_end(last, end, "ava")
    return m.CompareRequest(entry, text(data, low, high, "attributeDesc"), data[first:last])


def write_compare(r: m.CompareRequest) -> bytes:
    """Encodes a compare request."""
    pair = tlv(SEQUENCE, tlv(OCTETS, r.attribute.encode()) + tlv(OCTETS, r.value))
    return tlv(m.Tag.COMPARE, tlv(OCTETS, r.entry.encode()) + pair)


def read_extended(data: bytes, start: int, stop: int) -> m.ExtendedRequest:
    """Decodes an extended request. Raises ``BerError``."""
    low, high = expect(data, start, stop, 0x80, "requestName")
    oid, value = text(data, low, high, "requestName"), None
    if high < stop:
        low, high = expect(data, high, stop, 0x81, "requestValue")
        value = data[low:high]
    expect_end(high, stop, "extendedReq")
    return m.ExtendedRequest(oid, value)


def write_extended(r: m.ExtendedRequest) -> bytes:
    """Encodes an extended request."""
    return tlv(m.Tag.EXTENDED, tlv(0x80, r.oid.encode()) + (b"" if r.value is None else tlv(0x81, r.value)))


def read_unbind(data: bytes, start: int, stop: int) -> m.UnbindRequest:
    """Decodes an unbind request, which is empty. Raises ``BerError``."""
    expect_end(start, stop, "unbindRequest")
    return m.UnbindRequest()
