"""The judge's own reader of LDAP messages, against the program's codec and against garbled octets."""

import pytest

from yardbank.ldap import codec, control_codec
from yardbank.ldap import messages as m
from yardbank.ldap.state import ClientEnd
from yardbank.testing.audit.frames import TAG, Frames
from yardbank.testing.standin.server import TAG_CONTROL


def asked(end, operation, tag=""):
    raw = codec.encode_operation(operation)
    controls = (m.Control(TAG_CONTROL, False, tag.encode()),) if tag else ()
    return end.ask(raw, raw[0], control_codec.encode_controls(controls))[1]


SEARCH = m.SearchRequest("dc=a", 0, m.Present("objectClass"))
PROBE = m.SearchRequest("dc=a", 0, m.Present("objectClass"), ("contextCSN",))
MODIFY = m.ModifyRequest("cn=1,dc=a", ((2, "description", (b"x" * 300,)),))


def test_messages_are_read_at_any_split_with_the_time_of_their_first_octet():
    end = ClientEnd()
    stream = [asked(end, SEARCH, "c1/1"), asked(end, PROBE), asked(end, MODIFY, "c1/2"), end.abandon(3)]
    data, starts = b"".join(stream), [sum(map(len, stream[:n])) for n in range(4)]
    assert TAG_CONTROL.encode() == TAG
    for size in (1, 2, 7, 64, len(data)):
        frames, found = Frames(), []
        for at in range(0, len(data), size):
            found += frames.push(float(at), data[at : at + size])
        assert [(one.operation, one.tag, one.number) for one in found] == [
            ("search", "c1/1", 1),
            ("probe", "", 2),
            ("modify", "c1/2", 3),
            ("abandon", "", 4),
        ]
        assert found[3].target == 3
        assert [one.at for one in found] == [start // size * size for start in starts]


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
def test_nothing_is_told_of_garbled_octets_nor_after_them(data):
    frames = Frames()
    assert frames.push(1.0, data + bytes(9)) == [] and frames.garbled
    assert frames.push(2.0, asked(ClientEnd(), SEARCH, "c1/1")) == []
