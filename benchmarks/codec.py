"""Compares the LDAP codec with those of ldaptor and pyasn1 on a search request and an entry of ten attributes."""

from __future__ import annotations

import warnings

from benchmarks.common import keep, per_second, table
from yardbank.ldap import codec, filters
from yardbank.ldap import messages as m


def main() -> None:
    """Measure and store the results."""
    warnings.simplefilter("ignore")
    from ldap3.protocol import rfc4511
    from ldaptor.protocols import pureber, pureldap
    from pyasn1.codec.ber import decoder, encoder

    search = m.Message(
        7,
        m.SearchRequest("ou=numbers,dc=porting", 2, filters.parse("(cn=593987654321)"), ("cn", "description")),
    )
    entry = m.Message(
        7,
        m.SearchEntry(
            "cn=593987654321,ou=numbers,dc=porting",
            tuple((f"attribute{number}", (b"value %d of the entry" % number,)) for number in range(10)),
        ),
    )
    rows = []
    for name, message in (("search request", search), ("entry of 10 attributes", entry)):
        data = codec.encode(message)
        ldaptor_context = pureldap.LDAPBERDecoderContext_TopLevel(
            inherit=pureldap.LDAPBERDecoderContext_LDAPMessage(
                fallback=pureldap.LDAPBERDecoderContext(fallback=pureber.BERDecoderContext()),
                inherit=pureldap.LDAPBERDecoderContext(fallback=pureber.BERDecoderContext()),
            )
        )
        ldaptor_message = pureber.berDecodeObject(ldaptor_context, data)[0]
        asn1, _ = decoder.decode(data, asn1Spec=rfc4511.LDAPMessage())
        assert codec.decode(data) == message and codec.encode(message) == data
        ours = (per_second(lambda d=data: codec.decode(d)), per_second(lambda x=message: codec.encode(x)))
        ldaptor = (
            per_second(lambda c=ldaptor_context, d=data: pureber.berDecodeObject(c, d)),
            per_second(lambda x=ldaptor_message: x.toWire()),
        )
        pyasn1 = (
            per_second(lambda d=data: decoder.decode(d, asn1Spec=rfc4511.LDAPMessage())),
            per_second(lambda x=asn1: encoder.encode(x)),
        )
        for direction, a, b, c in zip(("decode", "encode"), ours, ldaptor, pyasn1, strict=True):
            rows.append([f"{name}, {direction}", f"{a:,.0f}", f"{b:,.0f}", f"{c:,.0f}", f"{a / b:.1f}", f"{a / c:.1f}"])
        reenveloped_rate = per_second(lambda d=data: codec.open_envelope(d).with_id(9))
        rows.append([f"{name}, passed on under another ID", f"{reenveloped_rate:,.0f}", "", "", "", ""])
    head = ["what", "ours, 1/s", "ldaptor, 1/s", "pyasn1, 1/s", "ours / ldaptor", "ours / pyasn1"]
    notes = ["Medians of 5 runs of 0.3 s each, one after the other in one process. Aim: 8 times ldaptor."]
    keep("codec", "LDAP codec", [table("Messages a second", head, rows, notes)])


if __name__ == "__main__":
    main()
