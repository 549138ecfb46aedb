"""Messages to bytes and back (RFC 4511 sections 4 and 5). No I/O; nothing is trusted before it is checked."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from yardbank.ldap import messages as m
from yardbank.ldap.ber import (
    BOOLEAN,
    ENUMERATED,
    INTEGER,
    OCTET_HEADS,
    OCTETS,
    SEQUENCE,
    SEQUENCE_HEADS,
    SET,
    SET_HEADS,
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

MAX_FILTER_DEPTH = 64
_MATCH_RULES = {0xA3: "=", 0xA5: ">=", 0xA6: "<=", 0xA8: "~="}
_MATCH_TAGS = {rule: tag for tag, rule in _MATCH_RULES.items()}


@dataclass(slots=True)
class Envelope:
    """A message whose operation is still bytes, so that it can be passed on unread."""

    id: int
    tag: int
    operation: bytes  # tag and length included
    controls: bytes  # the [0] element, or empty

    def with_id(self, number: int) -> bytes:
        """The same message under another ID."""
        return tlv(SEQUENCE, integer(number) + self.operation + self.controls)


def open_envelope(data: bytes) -> Envelope:
    """Read a whole message as far as its ID and the tag of its operation."""
    end = len(data)
    start, stop = expect(data, 0, end, SEQUENCE, "message")
    if stop != end:
        raise BerError("message: octets after its end")
    low, high = expect(data, start, stop, INTEGER, "messageID")
    number = read_integer(data, low, high, "messageID")
    tag, _, after = header(data, high, stop)
    controls = data[after:stop]
    if controls:
        bounds = expect(data, after, stop, 0xA0, "controls")
        if bounds[1] != stop:
            raise BerError("controls: octets after their end")
    return Envelope(number, tag, data[high:after], controls)


def decode(data: bytes) -> m.Message:
    """Read one whole message. Raises ``BerError`` naming the field that is wrong."""
    envelope = open_envelope(data)
    return m.Message(envelope.id, decode_operation(envelope.operation), decode_controls(envelope.controls))


def decode_operation(data: bytes) -> m.Operation:
    """Read a protocolOp, tag included."""
    tag, start, stop = header(data, 0, len(data))
    reader = _READERS.get(tag)
    if reader is None:
        raise BerError(f"protocolOp: unknown tag 0x{tag:02x}")
    operation: m.Operation = reader(data, start, stop)
    return operation


def decode_controls(data: bytes) -> tuple[m.Control, ...]:
    """Read the [0] element that holds controls; empty bytes are none."""
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
    """The [0] element, or nothing."""
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


def encode(message: m.Message) -> bytes:
    """The bytes of one message."""
    body = integer(message.id) + encode_operation(message.operation) + encode_controls(message.controls)
    return tlv(SEQUENCE, body)


def entry_name(data: bytes) -> bytes:
    """The name in a SearchResultEntry as it stands there, the rest left unread."""
    _, start, stop = header(data, 0, len(data))
    low, high = expect(data, start, stop, OCTETS, "objectName")
    return data[low:high]


def paged_value(size: int, cookie: bytes) -> bytes:
    """The value of a paged results control (RFC 2696 section 2)."""
    return tlv(SEQUENCE, integer(size) + tlv(OCTETS, cookie))


def read_paged_value(value: bytes) -> tuple[int, bytes]:
    """Size and cookie. Raises ``BerError``."""
    low, high = expect(value, 0, len(value), SEQUENCE, "pagedResults")
    first, last = expect(value, low, high, INTEGER, "size")
    size = read_integer(value, first, last, "size")
    first, last = expect(value, last, high, OCTETS, "cookie")
    return size, value[first:last]


def sort_result(code: int) -> bytes:
    """The value of a sort response control (RFC 2891 section 1.2)."""
    return tlv(SEQUENCE, integer(code, ENUMERATED))


def encode_operation(operation: m.Operation) -> bytes:
    """The bytes of a protocolOp, tag included."""
    writer: Callable[[Any], bytes] = _WRITERS[type(operation)]
    return writer(operation)


# Filters


def decode_filter(data: bytes, at: int, end: int, depth: int = MAX_FILTER_DEPTH) -> tuple[m.Filter, int]:
    """Read one filter; returns it and where it stops. Depth is bounded before descending."""
    if depth == 0:
        raise BerError(f"filter: nested deeper than {MAX_FILTER_DEPTH}")
    if at >= end:
        raise BerError("filter: missing")
    tag, start, stop = header(data, at, end)
    rule = _MATCH_RULES.get(tag)
    if rule is not None:
        low, high = expect(data, start, stop, OCTETS, "attributeDesc")
        first, last = expect(data, high, stop, OCTETS, "assertionValue")
        if last != stop:
            raise BerError("filter: octets after its end")
        return m.Match(rule, text(data, low, high, "attributeDesc"), data[first:last]), stop
    if tag == 0x87:
        return m.Present(text(data, start, stop, "present")), stop
    if tag in (0xA0, 0xA1):
        parts, at = [], start
        while at < stop:
            part, at = decode_filter(data, at, stop, depth - 1)
            parts.append(part)
        return (m.And if tag == 0xA0 else m.Or)(tuple(parts)), stop
    if tag == 0xA2:
        part, at = decode_filter(data, start, stop, depth - 1)
        if at != stop:
            raise BerError("filter: not has more than one part")
        return m.Not(part), stop
    if tag == 0xA4:
        return _decode_substrings(data, start, stop), stop
    if tag == 0xA9:
        return _decode_extensible(data, start, stop), stop
    raise BerError(f"filter: unknown tag 0x{tag:02x}")


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
    """The bytes of one filter."""
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


# Parts shared by several messages


def _strings(data: bytes, at: int, end: int, name: str) -> tuple[str, ...]:
    found = []
    while at < end:
        low, at = expect(data, at, end, OCTETS, name)
        found.append(text(data, low, at, name))
    return tuple(found)


def _values(data: bytes, at: int, end: int) -> tuple[bytes, ...]:
    found = []
    while at < end:
        if data[at] == OCTETS and at + 1 < end and data[at + 1] < 0x80 and at + 2 + data[at + 1] <= end:
            low = at + 2  # the short form, read in place: most values take it
            at = low + data[at + 1]
        else:
            low, at = expect(data, at, end, OCTETS, "vals")
        found.append(data[low:at])
    return tuple(found)


def _attributes(data: bytes, at: int, end: int) -> m.Attributes:
    found = []
    while at < end:
        stop = at + 2 + data[at + 1] if at + 6 <= end else end + 1
        if stop <= end and data[at] == SEQUENCE and data[at + 2] == OCTETS and data[at + 1] < 0x80:
            high = at + 4 + data[at + 3]  # all lengths short: read in place
            if high + 2 <= stop and data[high] == SET and data[high + 1] < 0x80 and high + 2 + data[high + 1] == stop:
                found.append((text(data, at + 4, high, "type"), _values(data, high + 2, stop)))
                at = stop
                continue
        start, at = expect(data, at, end, SEQUENCE, "attribute")
        low, high = expect(data, start, at, OCTETS, "type")
        first, last = expect(data, high, at, SET, "vals")
        if last != at:
            raise BerError("attribute: octets after its end")
        found.append((text(data, low, high, "type"), _values(data, first, last)))
    return tuple(found)


def _write_attribute(kind: str, values: tuple[bytes, ...]) -> bytes:
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
    return tlv(SEQUENCE, b"".join([_write_attribute(kind, values) for kind, values in attributes]))


def _end(at: int, stop: int, name: str) -> None:
    if at != stop:
        raise BerError(f"{name}: octets after its end")


# Requests


def _read_bind(data: bytes, start: int, stop: int) -> m.BindRequest:
    low, high = expect(data, start, stop, INTEGER, "version")
    version = read_integer(data, low, high, "version", 1, 127)
    low, high = expect(data, high, stop, OCTETS, "name")
    name = text(data, low, high, "name")
    tag, low, after = header(data, high, stop)
    _end(after, stop, "bindRequest")
    if tag == 0x80:
        return m.BindRequest(name, data[low:after], version=version)
    if tag != 0xA3:
        raise BerError(f"authentication: tag 0x{tag:02x} in place of 0x80 or 0xa3")
    first, last = expect(data, low, after, OCTETS, "mechanism")
    mechanism, credentials = text(data, first, last, "mechanism"), None
    if last < after:
        first, last = expect(data, last, after, OCTETS, "credentials")
        credentials = data[first:last]
    _end(last, after, "sasl")
    return m.BindRequest(name, None, mechanism, credentials, version)


def _write_bind(request: m.BindRequest) -> bytes:
    body = integer(request.version) + tlv(OCTETS, request.name.encode())
    if request.mechanism is None:
        return tlv(m.Tag.BIND, body + tlv(0x80, request.password or b""))
    sasl = tlv(OCTETS, request.mechanism.encode())
    sasl += b"" if request.credentials is None else tlv(OCTETS, request.credentials)
    return tlv(m.Tag.BIND, body + tlv(0xA3, sasl))


def _read_search(data: bytes, start: int, stop: int) -> m.SearchRequest:
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
    _end(high, stop, "searchRequest")
    attributes = _strings(data, low, high, "attributes")
    return m.SearchRequest(base, scope, found, attributes, size_limit, time_limit, types_only, deref)


def _write_search(r: m.SearchRequest) -> bytes:
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


def _read_modify(data: bytes, start: int, stop: int) -> m.ModifyRequest:
    low, high = expect(data, start, stop, OCTETS, "object")
    entry = text(data, low, high, "object")
    at, end = expect(data, high, stop, SEQUENCE, "changes")
    _end(end, stop, "modifyRequest")
    changes = []
    while at < end:
        start, at = expect(data, at, end, SEQUENCE, "change")
        low, high = expect(data, start, at, ENUMERATED, "operation")
        kind = read_integer(data, low, high, "operation", 0, 3)
        low, high = expect(data, high, at, SEQUENCE, "modification")
        _end(high, at, "change")
        first, last = expect(data, low, high, OCTETS, "type")
        name = text(data, first, last, "type")
        first, last = expect(data, last, high, SET, "vals")
        _end(last, high, "modification")
        changes.append((kind, name, _values(data, first, last)))
    return m.ModifyRequest(entry, tuple(changes))


def _write_modify(r: m.ModifyRequest) -> bytes:
    changes = [tlv(SEQUENCE, integer(kind, ENUMERATED) + _write_attribute(name, v)) for kind, name, v in r.changes]
    return tlv(m.Tag.MODIFY, tlv(OCTETS, r.entry.encode()) + tlv(SEQUENCE, b"".join(changes)))


def _read_named(data: bytes, start: int, stop: int, name: str) -> tuple[str, m.Attributes]:
    low, high = expect(data, start, stop, OCTETS, name)
    at, end = expect(data, high, stop, SEQUENCE, "attributes")
    _end(end, stop, "attributes")
    return text(data, low, high, name), _attributes(data, at, end)


def _read_add(data: bytes, start: int, stop: int) -> m.AddRequest:
    return m.AddRequest(*_read_named(data, start, stop, "entry"))


def _read_modify_dn(data: bytes, start: int, stop: int) -> m.ModifyDNRequest:
    low, high = expect(data, start, stop, OCTETS, "entry")
    entry = text(data, low, high, "entry")
    low, high = expect(data, high, stop, OCTETS, "newrdn")
    rdn = text(data, low, high, "newrdn")
    low, high = expect(data, high, stop, BOOLEAN, "deleteoldrdn")
    delete, superior = read_boolean(data, low, high, "deleteoldrdn"), None
    if high < stop:
        low, high = expect(data, high, stop, 0x80, "newSuperior")
        superior = text(data, low, high, "newSuperior")
    _end(high, stop, "modDNRequest")
    return m.ModifyDNRequest(entry, rdn, delete, superior)


def _write_modify_dn(r: m.ModifyDNRequest) -> bytes:
    body = tlv(OCTETS, r.entry.encode()) + tlv(OCTETS, r.new_rdn.encode()) + boolean(r.delete_old)
    body += b"" if r.new_superior is None else tlv(0x80, r.new_superior.encode())
    return tlv(m.Tag.MODIFY_DN, body)


def _read_compare(data: bytes, start: int, stop: int) -> m.CompareRequest:
    low, high = expect(data, start, stop, OCTETS, "entry")
    entry = text(data, low, high, "entry")
    at, end = expect(data, high, stop, SEQUENCE, "ava")
    _end(end, stop, "compareRequest")
    low, high = expect(data, at, end, OCTETS, "attributeDesc")
    first, last = expect(data, high, end, OCTETS, "assertionValue")
    _end(last, end, "ava")
    return m.CompareRequest(entry, text(data, low, high, "attributeDesc"), data[first:last])


def _write_compare(r: m.CompareRequest) -> bytes:
    pair = tlv(SEQUENCE, tlv(OCTETS, r.attribute.encode()) + tlv(OCTETS, r.value))
    return tlv(m.Tag.COMPARE, tlv(OCTETS, r.entry.encode()) + pair)


def _read_extended(data: bytes, start: int, stop: int) -> m.ExtendedRequest:
    low, high = expect(data, start, stop, 0x80, "requestName")
    oid, value = text(data, low, high, "requestName"), None
    if high < stop:
        low, high = expect(data, high, stop, 0x81, "requestValue")
        value = data[low:high]
    _end(high, stop, "extendedReq")
    return m.ExtendedRequest(oid, value)


def _write_extended(r: m.ExtendedRequest) -> bytes:
    return tlv(m.Tag.EXTENDED, tlv(0x80, r.oid.encode()) + (b"" if r.value is None else tlv(0x81, r.value)))


def _read_unbind(data: bytes, start: int, stop: int) -> m.UnbindRequest:
    _end(start, stop, "unbindRequest")
    return m.UnbindRequest()


# Responses


def _read_result(data: bytes, start: int, stop: int) -> m.Result:
    tag = data[0]
    low, high = expect(data, start, stop, ENUMERATED, "resultCode")
    code = read_integer(data, low, high, "resultCode", -(1 << 31))
    low, high = expect(data, high, stop, OCTETS, "matchedDN")
    matched = text(data, low, high, "matchedDN")
    low, high = expect(data, high, stop, OCTETS, "diagnosticMessage")
    diagnostic = text(data, low, high, "diagnosticMessage")
    referrals: tuple[str, ...] = ()
    oid = value = None
    if high < stop and data[high] == 0xA3:
        low, high = expect(data, high, stop, 0xA3, "referral")
        referrals = _strings(data, low, high, "referral")
    if high < stop and tag == m.Tag.BIND_RESPONSE:
        low, high = expect(data, high, stop, 0x87, "serverSaslCreds")
        value = data[low:high]
    if high < stop and tag == m.Tag.EXTENDED_RESPONSE and data[high] == 0x8A:
        low, high = expect(data, high, stop, 0x8A, "responseName")
        oid = text(data, low, high, "responseName")
    if high < stop and tag == m.Tag.EXTENDED_RESPONSE:
        low, high = expect(data, high, stop, 0x8B, "responseValue")
        value = data[low:high]
    _end(high, stop, "LDAPResult")
    return m.Result(tag, code, matched, diagnostic, referrals, oid, value)


def _write_result(r: m.Result) -> bytes:
    body = integer(r.code, ENUMERATED) + tlv(OCTETS, r.matched.encode()) + tlv(OCTETS, r.diagnostic.encode())
    if r.referrals:
        body += tlv(0xA3, b"".join(tlv(OCTETS, uri.encode()) for uri in r.referrals))
    if r.tag == m.Tag.BIND_RESPONSE and r.value is not None:
        body += tlv(0x87, r.value)
    if r.tag == m.Tag.EXTENDED_RESPONSE:
        body += b"" if r.oid is None else tlv(0x8A, r.oid.encode())
        body += b"" if r.value is None else tlv(0x8B, r.value)
    return tlv(r.tag, body)


def _read_entry(data: bytes, start: int, stop: int) -> m.SearchEntry:
    return m.SearchEntry(*_read_named(data, start, stop, "objectName"))


def _read_reference(data: bytes, start: int, stop: int) -> m.SearchReference:
    return m.SearchReference(_strings(data, start, stop, "uri"))


def _read_intermediate(data: bytes, start: int, stop: int) -> m.IntermediateResponse:
    oid = value = None
    at = start
    if at < stop and data[at] == 0x80:
        low, at = expect(data, at, stop, 0x80, "responseName")
        oid = text(data, low, at, "responseName")
    if at < stop:
        low, at = expect(data, at, stop, 0x81, "responseValue")
        value = data[low:at]
    _end(at, stop, "intermediateResponse")
    return m.IntermediateResponse(oid, value)


def _write_intermediate(r: m.IntermediateResponse) -> bytes:
    body = b"" if r.oid is None else tlv(0x80, r.oid.encode())
    return tlv(m.Tag.INTERMEDIATE, body + (b"" if r.value is None else tlv(0x81, r.value)))


_READERS: dict[int, Callable[[bytes, int, int], Any]] = {
    m.Tag.BIND: _read_bind,
    m.Tag.UNBIND: _read_unbind,
    m.Tag.SEARCH: _read_search,
    m.Tag.MODIFY: _read_modify,
    m.Tag.ADD: _read_add,
    m.Tag.DELETE: lambda data, start, stop: m.DeleteRequest(text(data, start, stop, "delRequest")),
    m.Tag.MODIFY_DN: _read_modify_dn,
    m.Tag.COMPARE: _read_compare,
    m.Tag.ABANDON: lambda data, start, stop: m.AbandonRequest(read_integer(data, start, stop, "abandonRequest")),
    m.Tag.EXTENDED: _read_extended,
    m.Tag.ENTRY: _read_entry,
    m.Tag.REFERENCE: _read_reference,
    m.Tag.INTERMEDIATE: _read_intermediate,
    **dict.fromkeys(m.RESULT_TAGS, _read_result),
}
_WRITERS: dict[type, Callable[[Any], bytes]] = {
    m.BindRequest: _write_bind,
    m.UnbindRequest: lambda r: tlv(m.Tag.UNBIND, b""),
    m.SearchRequest: _write_search,
    m.ModifyRequest: _write_modify,
    m.AddRequest: lambda r: tlv(m.Tag.ADD, tlv(OCTETS, r.entry.encode()) + write_attributes(r.attributes)),
    m.DeleteRequest: lambda r: tlv(m.Tag.DELETE, r.entry.encode()),
    m.ModifyDNRequest: _write_modify_dn,
    m.CompareRequest: _write_compare,
    m.AbandonRequest: lambda r: integer(r.target, m.Tag.ABANDON),
    m.ExtendedRequest: _write_extended,
    m.Result: _write_result,
    m.SearchEntry: lambda r: tlv(m.Tag.ENTRY, tlv(OCTETS, r.name.encode()) + write_attributes(r.attributes)),
    m.SearchReference: lambda r: tlv(m.Tag.REFERENCE, b"".join(tlv(OCTETS, uri.encode()) for uri in r.uris)),
    m.IntermediateResponse: _write_intermediate,
}


def decode_bare_filter(data: bytes) -> m.Filter:
    """A filter by itself, as the assertion control holds it (RFC 4528)."""
    found, at = decode_filter(data, 0, len(data))
    _end(at, len(data), "filter")
    return found


def post_read_request(attributes: tuple[str, ...]) -> bytes:
    """The value of a post-read control (RFC 4527 section 3.2)."""
    return tlv(SEQUENCE, b"".join(tlv(OCTETS, name.encode()) for name in attributes))


def read_post_read_request(value: bytes) -> tuple[str, ...]:
    """The attributes that a post-read control asks for."""
    low, high = expect(value, 0, len(value), SEQUENCE, "postRead")
    return _strings(value, low, high, "postRead")


def read_post_read(value: bytes) -> m.SearchEntry:
    """The entry in a post-read control's answer."""
    low, high = expect(value, 0, len(value), m.Tag.ENTRY, "postRead")
    return _read_entry(value, low, high)


def cancel_target(value: bytes | None) -> int:
    """The operation that a Cancel names (RFC 3909 section 2)."""
    low, high = expect(value or b"", 0, len(value or b""), SEQUENCE, "cancelRequestValue")
    first, last = expect(value or b"", low, high, INTEGER, "cancelID")
    return read_integer(value or b"", first, last, "cancelID")
