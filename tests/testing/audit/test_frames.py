"""The audit's own LDAP message reader, checked against the gateway's codec and with malformed octets."""

import pytest

from yardbank.ldap import codec, control_codec
from yardbank.ldap import messages as m
from yardbank.ldap.state import ClientEnd
from yardbank.testing.audit.frames import TAG_CONTROL_OID, MessageReader
from yardbank.testing.standin.server import TAG_CONTROL


def encode_request(end, operation, tag=""):
    raw = codec.encode_operation(operation)
    controls = (m.Control(TAG_CONTROL, False, tag.encode()),) if tag else ()
    return end.ask(raw, raw[0], control_codec.encode_controls(controls))[1]


SEARCH = m.SearchRequest("dc=a", 0, m.Present("objectClass"))
PROBE = m.SearchRequest("dc=a", 0, m.Present("objectClass"), ("contextCSN",))
MODIFY = m.ModifyRequest("cn=1,dc=a", ((2, "description", (b"x" * 300,)),))


def test_messages_are_decoded_at_any_chunk_size_with_the_time_of_their_first_octet():
    end = ClientEnd()
    messages = [
        encode_request(end, SEARCH, "c1/1"),
        encode_request(end, PROBE),
        encode_request(end, MODIFY, "c1/2"),
        end.abandon(3),
    ]
    data, offsets = b"".join(messages), [sum(map(len, messages[:n])) for n in range(4)]
    assert TAG_CONTROL.encode() == TAG_CONTROL_OID
    for size in (1, 2, 7, 64, len(data)):
        reader, found = MessageReader(), []
        for at in range(0, len(data), size):
            found += reader.push(float(at), data[at : at + size])
        assert [(message.operation, message.tag, message.number) for message in found] == [
            ("search", "c1/1", 1),
            ("probe", "", 2),
            ("modify", "c1/2", 3),
            ("abandon", "", 4),
        ]
        assert found[3].target == 3
        assert [message.at for message in found] == [offset // size * size for offset in offsets]


@pytest.mark.parametrize(
    "data",
    [
        b"GET / HTTP/1.1",
        b"\x30\x80ab",
        b"\x30\x85\1\1\1\1\1",
        b"\x30\x84\x7f\1\1\1",
        b"\x30\x03\x02\x01\x01",
        b"\x30\x03\x02\x09\x01",
        b"\x30\x04\x04\x01\x01\x42\x00",
    ],
)
def test_malformed_octets_yield_no_message_then_or_later(data):
    reader = MessageReader()
    assert reader.push(1.0, data + bytes(9)) == [] and reader.garbled
    assert reader.push(2.0, encode_request(ClientEnd(), SEARCH, "c1/1")) == []
