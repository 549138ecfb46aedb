"""Encodes and decodes LDAP messages (RFC 4511 sections 4 and 5). No I/O; all input is validated."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from yardbank.ldap import messages as m
from yardbank.ldap.ber import INTEGER, OCTETS, SEQUENCE, BerError, expect, header, integer, read_integer, text, tlv
from yardbank.ldap.control_codec import decode_controls, encode_controls
from yardbank.ldap.element_codec import write_attributes
from yardbank.ldap.request_codec import (
    read_add,
    read_bind,
    read_compare,
    read_extended,
    read_modify,
    read_modify_dn,
    read_search,
    read_unbind,
    write_bind,
    write_compare,
    write_extended,
    write_modify,
    write_modify_dn,
    write_search,
)
from yardbank.ldap.response_codec import (
    read_entry,
    read_intermediate,
    read_reference,
    read_result,
    write_intermediate,
    write_result,
)


@dataclass(slots=True)
class Envelope:
    """A message whose operation is still encoded, so that it can be forwarded without decoding."""

    id: int
    tag: int
    operation: bytes  # tag and length included
    controls: bytes  # the [0] element, or empty

    def with_id(self, number: int) -> bytes:
        """Encodes the same message with another message ID."""
        return tlv(SEQUENCE, integer(number) + self.operation + self.controls)


def open_envelope(data: bytes) -> Envelope:
    """Decodes a whole message only as far as its ID and its operation's tag."""
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
    """Decodes one whole message. Raises ``BerError`` naming the invalid field."""
    envelope = open_envelope(data)
    return m.Message(envelope.id, decode_operation(envelope.operation), decode_controls(envelope.controls))


def decode_operation(data: bytes) -> m.Operation:
    """Decodes a protocolOp, tag included."""
    tag, start, stop = header(data, 0, len(data))
    reader = _READERS.get(tag)
    if reader is None:
        raise BerError(f"protocolOp: unknown tag 0x{tag:02x}")
    operation: m.Operation = reader(data, start, stop)
    return operation


def encode(message: m.Message) -> bytes:
    """Encodes one message."""
    body = integer(message.id) + encode_operation(message.operation) + encode_controls(message.controls)
    return tlv(SEQUENCE, body)


def entry_name(data: bytes) -> bytes:
    """The encoded DN in a SearchResultEntry, without decoding the rest."""
    _, start, stop = header(data, 0, len(data))
    low, high = expect(data, start, stop, OCTETS, "objectName")
    return data[low:high]


def encode_operation(operation: m.Operation) -> bytes:
    """Encodes a protocolOp, tag included."""
    writer: Callable[[Any], bytes] = _WRITERS[type(operation)]
    return writer(operation)


_READERS: dict[int, Callable[[bytes, int, int], Any]] = {
    m.Tag.BIND: read_bind,
    m.Tag.UNBIND: read_unbind,
    m.Tag.SEARCH: read_search,
    m.Tag.MODIFY: read_modify,
    m.Tag.ADD: read_add,
    m.Tag.DELETE: lambda data, start, stop: m.DeleteRequest(text(data, start, stop, "delRequest")),
    m.Tag.MODIFY_DN: read_modify_dn,
    m.Tag.COMPARE: read_compare,
    m.Tag.ABANDON: lambda data, start, stop: m.AbandonRequest(read_integer(data, start, stop, "abandonRequest")),
    m.Tag.EXTENDED: read_extended,
    m.Tag.ENTRY: read_entry,
    m.Tag.REFERENCE: read_reference,
    m.Tag.INTERMEDIATE: read_intermediate,
    **dict.fromkeys(m.RESULT_TAGS, read_result),
}
_WRITERS: dict[type, Callable[[Any], bytes]] = {
    m.BindRequest: write_bind,
    m.UnbindRequest: lambda r: tlv(m.Tag.UNBIND, b""),
    m.SearchRequest: write_search,
    m.ModifyRequest: write_modify,
    m.AddRequest: lambda r: tlv(m.Tag.ADD, tlv(OCTETS, r.entry.encode()) + write_attributes(r.attributes)),
    m.DeleteRequest: lambda r: tlv(m.Tag.DELETE, r.entry.encode()),
    m.ModifyDNRequest: write_modify_dn,
    m.CompareRequest: write_compare,
    m.AbandonRequest: lambda r: integer(r.target, m.Tag.ABANDON),
    m.ExtendedRequest: write_extended,
    m.Result: write_result,
    m.SearchEntry: lambda r: tlv(m.Tag.ENTRY, tlv(OCTETS, r.name.encode()) + write_attributes(r.attributes)),
    m.SearchReference: lambda r: tlv(m.Tag.REFERENCE, b"".join(tlv(OCTETS, uri.encode()) for uri in r.uris)),
    m.IntermediateResponse: write_intermediate,
}
