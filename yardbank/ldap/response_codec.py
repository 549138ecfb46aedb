"""Encodes and decodes responses (RFC 4511 sections 4.1.9, 4.5.2 and 4.13). No I/O; all input is validated."""

from __future__ import annotations

from yardbank.ldap import messages as m
from yardbank.ldap.ber import ENUMERATED, OCTETS, expect, integer, read_integer, text, tlv
from yardbank.ldap.element_codec import expect_end, read_strings
from yardbank.ldap.request_codec import read_dn_and_attributes


def read_result(data: bytes, start: int, stop: int) -> m.Result:
    """Decodes a response that ends an operation. Raises ``BerError``."""
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
        referrals = read_strings(data, low, high, "referral")
    if high < stop and tag == m.Tag.BIND_RESPONSE:
        low, high = expect(data, high, stop, 0x87, "serverSaslCreds")
        value = data[low:high]
    if high < stop and tag == m.Tag.EXTENDED_RESPONSE and data[high] == 0x8A:
        low, high = expect(data, high, stop, 0x8A, "responseName")
        oid = text(data, low, high, "responseName")
    if high < stop and tag == m.Tag.EXTENDED_RESPONSE:
        low, high = expect(data, high, stop, 0x8B, "responseValue")
        value = data[low:high]
    expect_end(high, stop, "LDAPResult")
    return m.Result(tag, code, matched, diagnostic, referrals, oid, value)


def write_result(r: m.Result) -> bytes:
    """Encodes a response that ends an operation."""
    body = integer(r.code, ENUMERATED) + tlv(OCTETS, r.matched.encode()) + tlv(OCTETS, r.diagnostic.encode())
    if r.referrals:
        body += tlv(0xA3, b"".join(tlv(OCTETS, uri.encode()) for uri in r.referrals))
    if r.tag == m.Tag.BIND_RESPONSE and r.value is not None:
        body += tlv(0x87, r.value)
    if r.tag == m.Tag.EXTENDED_RESPONSE:
        body += b"" if r.oid is None else tlv(0x8A, r.oid.encode())
        body += b"" if r.value is None else tlv(0x8B, r.value)
    return tlv(r.tag, body)


def read_entry(data: bytes, start: int, stop: int) -> m.SearchEntry:
    """Decodes a search result entry. Raises ``BerError``."""
    return m.SearchEntry(*read_dn_and_attributes(data, start, stop, "objectName"))


def read_reference(data: bytes, start: int, stop: int) -> m.SearchReference:
    """Decodes a search result reference. Raises ``BerError``."""
    return m.SearchReference(read_strings(data, start, stop, "uri"))


def read_intermediate(data: bytes, start: int, stop: int) -> m.IntermediateResponse:
    """Decodes an intermediate response. Raises ``BerError``."""
    oid = value = None
    at = start
    if at < stop and data[at] == 0x80:
        low, at = expect(data, at, stop, 0x80, "responseName")
        oid = text(data, low, at, "responseName")
    if at < stop:
        low, at = expect(data, at, stop, 0x81, "responseValue")
        value = data[low:at]
    expect_end(at, stop, "intermediateResponse")
    return m.IntermediateResponse(oid, value)


def write_intermediate(r: m.IntermediateResponse) -> bytes:
    """Encodes an intermediate response."""
    body = b"" if r.oid is None else tlv(0x80, r.oid.encode())
    return tlv(m.Tag.INTERMEDIATE, body + (b"" if r.value is None else tlv(0x81, r.value)))
