"""LDAP codec: round trips, arbitrary read sizes and malformed input."""

import random
import tracemalloc

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from yardbank.ldap import codec, csn, filter_codec, filters
from yardbank.ldap import messages as m
from yardbank.ldap.ber import BerError, Framer, header, integer, read_integer
from yardbank.ldap.state import Abandoned, Answered, Asked, Broken, ClientEnd, Closed, ServerEnd

NAME = st.from_regex(r"[A-Za-z][A-Za-z0-9-]{0,10}", fullmatch=True)
TEXT = st.text(max_size=20)
OCTETS = st.binary(max_size=300)
VALUES = st.lists(OCTETS, max_size=3).map(tuple)
ATTRIBUTES = st.lists(st.tuples(NAME, VALUES), max_size=3).map(tuple)
LEAF = st.one_of(
    st.builds(m.Match, st.sampled_from(["=", ">=", "<=", "~="]), NAME, OCTETS),
    st.builds(m.Present, NAME),
    st.builds(
        m.Substrings,
        NAME,
        st.binary(min_size=1, max_size=5),
        st.lists(st.binary(min_size=1, max_size=5), max_size=2).map(tuple),
        st.none() | st.binary(min_size=1, max_size=5),
    ),
    st.builds(m.Extensible, st.none() | st.just("2.5.13.2"), NAME, OCTETS, st.booleans()),
)
FILTER = st.recursive(
    LEAF,
    lambda inner: st.one_of(
        st.lists(inner, max_size=3).map(lambda parts: m.And(tuple(parts))),
        st.lists(inner, max_size=3).map(lambda parts: m.Or(tuple(parts))),
        inner.map(m.Not),
    ),
    max_leaves=8,
)
COUNT = st.integers(0, 2**31 - 1)
OPERATION = st.one_of(
    st.builds(m.BindRequest, TEXT, OCTETS),
    st.builds(m.BindRequest, TEXT, st.none(), NAME, st.none() | OCTETS),
    st.just(m.UnbindRequest()),
    st.builds(
        m.SearchRequest,
        TEXT,
        st.integers(0, 2),
        FILTER,
        st.lists(NAME, max_size=3).map(tuple),
        COUNT,
        COUNT,
        st.booleans(),
        st.integers(0, 3),
    ),
    st.builds(m.ModifyRequest, TEXT, st.lists(st.tuples(st.integers(0, 3), NAME, VALUES), max_size=3).map(tuple)),
    st.builds(m.AddRequest, TEXT, ATTRIBUTES),
    st.builds(m.DeleteRequest, TEXT),
    st.builds(m.ModifyDNRequest, TEXT, TEXT, st.booleans(), st.none() | TEXT),
    st.builds(m.CompareRequest, TEXT, NAME, OCTETS),
    st.builds(m.AbandonRequest, COUNT),
    st.builds(m.ExtendedRequest, NAME, st.none() | OCTETS),
    st.builds(m.SearchEntry, TEXT, ATTRIBUTES),
    st.builds(m.SearchReference, st.lists(TEXT, max_size=2).map(tuple)),
    st.builds(m.IntermediateResponse, st.none() | NAME, st.none() | OCTETS),
    st.builds(m.Result, st.just(m.Tag.DONE), st.integers(0, 200), TEXT, TEXT, st.lists(TEXT, max_size=2).map(tuple)),
    st.builds(m.Result, st.just(m.Tag.EXTENDED_RESPONSE), COUNT, TEXT, TEXT, st.just(()), NAME, st.none() | OCTETS),
    st.builds(m.Result, st.just(m.Tag.BIND_RESPONSE), COUNT, TEXT, TEXT, st.just(()), st.none(), st.none() | OCTETS),
)
CONTROLS = st.lists(st.builds(m.Control, NAME, st.booleans(), st.none() | OCTETS), max_size=2).map(tuple)
MESSAGE = st.builds(m.Message, COUNT, OPERATION, CONTROLS)
THOROUGH = settings(max_examples=300, deadline=None, derandomize=True)


@THOROUGH
@given(MESSAGE)
def test_every_message_round_trips_through_the_codec(message):
    data = codec.encode(message)
    assert codec.decode(data) == message
    assert codec.open_envelope(data).with_id(message.id) == data


@THOROUGH
@given(st.lists(MESSAGE, max_size=4), st.lists(st.integers(1, 60), min_size=1))
def test_framer_returns_whole_messages_for_any_read_sizes(messages, sizes):
    data, framer, out, at, turn = b"".join(map(codec.encode, messages)), Framer(), [], 0, 0
    while at < len(data):
        size = sizes[turn % len(sizes)]
        out += framer.feed(data[at : at + size])
        at, turn = at + size, turn + 1
    assert [codec.decode(frame) for frame in out] == messages
    assert framer.pending == 0


@THOROUGH
@given(FILTER)
def test_filters_round_trip_through_strings(found):
    assert filters.parse(filters.format_filter(found)) == found


@pytest.mark.parametrize(
    "text",
    [
        "(cn=Babs Jensen)",
        "(!(cn=Tim Howes))",
        "(&(objectClass=Person)(|(sn=Jensen)(cn=Babs J*)))",
        "(o=univ*of*mich*)",
        "(seeAlso=)",
        "(cn:caseExactMatch:=Fred Flintstone)",
        "(cn:=Betty Rubble)",
        "(sn:dn:2.4.6.8.10:=Barney Rubble)",
        "(o:dn:=Ace Industry)",
        "(:1.2.3:=Wilma Flintstone)",
        "(:dn:2.4.6.8.10:=Dino)",
        "(o=Parens R Us \\28for all your parenthetical needs\\29)",
        "(cn=*\\2a*)",
        "(filename=C:\\5cMyFile)",
        "(sn=Lu\\c4\\8di\\c4\\87)",
        "(&)",
        "(|)",
    ],
)
def test_examples_of_rfc_4515_and_4526(text):
    found = filters.parse(text)
    data = filter_codec.encode_filter(found)
    assert filter_codec.decode_filter(data, 0, len(data)) == (found, len(data))
    assert filters.parse(filters.format_filter(found)) == found


@pytest.mark.parametrize(
    "text", ["", "cn=x", "(cn=x", "(cn=x))", "(=x)", "(cn=\\2)", "(cn=\\zz)", "(&(cn=x)", "(a=b**c)", "(!)"]
)
def test_invalid_filter_strings_are_rejected(text):
    with pytest.raises(filters.FilterError):
        filters.parse(text)


def test_filter_depth_and_message_length_are_limited_before_decoding():
    deep = m.Present("x")
    for _ in range(filter_codec.MAX_FILTER_DEPTH):
        deep = m.Not(deep)
    with pytest.raises(BerError, match="nested deeper"):
        filter_codec.decode_filter(filter_codec.encode_filter(deep), 0, len(filter_codec.encode_filter(deep)))
    with pytest.raises(filters.FilterError, match="nested deeper"):
        filters.parse("(!" * 65 + "(a=b)" + ")" * 65)
    framer = Framer(1000)
    with pytest.raises(BerError, match="1000 allowed"):
        framer.feed(b"\x30\x84\x7f\xff\xff\xff")
    assert framer.pending == 0


@pytest.mark.parametrize(
    ("data", "reason"),
    [
        (b"\x31\x00", "tag 0x31"),
        (b"\x30\x80", "indefinite"),
        (b"\x30\x03\x02\x01\x05", "cut short"),
        (b"\x30\x05\x02\x01\x05\x42\x05", "goes beyond"),
        (b"\x30\x05\x02\x01\xff\x42\x00", "messageID: -1"),
        (b"\x30\x05\x02\x01\x05\x5f\x00", "more than one octet"),
        (b"\x30\x05\x02\x01\x05\x7d\x00", "unknown tag"),
    ],
)
def test_decoding_errors_name_the_problem(data, reason):
    with pytest.raises(BerError, match=reason):
        Framer().feed(data)
        codec.decode(data)


@given(st.integers(-(2**31), 2**31 - 1))
def test_integers_round_trip(value):
    data = integer(value)
    _, start, stop = header(data, 0, len(data))
    assert read_integer(data, start, stop, "x", -(2**31)) == value


def corpus():
    search = m.SearchRequest("ou=numbers,dc=porting", 2, filters.parse("(&(cn=1*)(!(o=x)))"), ("cn", "description"))
    entry = m.SearchEntry("cn=1,dc=x", (("cn", (b"1",)), ("description", (b"a" * 200, b"b"))))
    yield codec.encode(m.Message(1, search, (m.Control("1.2.3", True, b"x"),)))
    yield codec.encode(m.Message(2, entry))
    yield codec.encode(m.Message(3, m.ModifyRequest("cn=1", ((2, "a", (b"b",)),))))
    yield codec.encode(m.Message(4, m.BindRequest("cn=1", b"pw")))
    yield codec.encode(m.Message(5, m.Result(m.Tag.MODIFY_RESPONSE, 10, referrals=("ldap://x/",))))


def test_100_000_mutated_messages_cause_only_protocol_errors():
    """Mutated input is decoded or rejected as a protocol error; it raises no other exception and leaks no memory."""
    rng, seeds = random.Random(5), list(corpus())
    refused = 0
    tracemalloc.start()
    before = 0
    for number in range(100_000):
        data = bytearray(seeds[number % len(seeds)])
        for _ in range(rng.randrange(1, 4)):
            kind, at = rng.random(), rng.randrange(len(data))
            if kind < 0.6:
                data[at] = rng.randrange(256)
            elif kind < 0.8:
                del data[at:]
                data += b"\0"
            else:
                data[at:at] = rng.randbytes(3)
        end: ServerEnd | ClientEnd = ServerEnd() if number % 2 else ClientEnd()
        try:
            events = end.receive(bytes(data))
            refused += any(isinstance(event, Broken) for event in events)
        except BerError:
            refused += 1
        if number == 20_000:
            before = tracemalloc.get_traced_memory()[0]
    memory_growth = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    assert refused > 10_000
    assert memory_growth < 200_000


def request_bytes(number, operation=None):
    return codec.encode(m.Message(number, operation or m.SearchRequest("", 0, m.Present("x"))))


def test_server_end_tracks_outstanding_requests():
    end = ServerEnd(max_outstanding=2)
    (first,) = end.receive(request_bytes(1))
    assert isinstance(first, Asked) and end.outstanding == {1}
    assert end.receive(request_bytes(2, m.AbandonRequest(7))) == []  # no such request
    assert end.receive(request_bytes(3, m.AbandonRequest(1))) == [Abandoned(1)]
    assert end.final(1, m.Result(m.Tag.DONE, 0)) == b""  # abandoned, so it gets no response
    end.receive(request_bytes(4))
    assert end.final(4, m.Result(m.Tag.DONE, 0)) and not end.final(4, m.Result(m.Tag.DONE, 0))
    end.receive(request_bytes(5) + request_bytes(6))
    (broken,) = end.receive(request_bytes(7))
    assert isinstance(broken, Broken) and "2 operations" in broken.reason
    assert end.receive(request_bytes(8)) == []


@pytest.mark.parametrize(
    "data",
    [
        request_bytes(1) + request_bytes(1),
        request_bytes(0),
        codec.encode(m.Message(1, m.Result(m.Tag.DONE, 0))),
        b"\x30\x80",
    ],
)
def test_server_end_answers_protocol_errors_with_a_notice_of_disconnection(data):
    end = ServerEnd()
    broken = end.receive(data)[-1]
    notice = codec.decode(broken.notice)
    assert notice.id == 0 and notice.operation.oid == m.Oid.NOTICE_OF_DISCONNECTION


def test_unbind_ends_the_connection():
    assert ServerEnd().receive(request_bytes(1, m.UnbindRequest()) + request_bytes(2)) == [Closed()]


def test_client_end_accepts_late_responses_to_abandoned_requests_and_rejects_unknown_ids():
    end = ClientEnd()
    raw = codec.encode_operation(m.SearchRequest("", 0, m.Present("x")))
    number, _ = end.ask(raw, raw[0])
    assert end.abandon(number) and not end.abandon(number)
    done = codec.encode(m.Message(number, m.Result(m.Tag.DONE, 0)))
    assert end.receive(done) == []
    with pytest.raises(BerError, match="never asked"):
        end.receive(done)
    number, _ = end.ask(raw, raw[0])
    with pytest.raises(BerError, match="another kind"):
        end.receive(codec.encode(m.Message(number, m.Result(m.Tag.ADD_RESPONSE, 0))))
    (event,) = end.receive(codec.encode(m.Message(number, m.Result(m.Tag.DONE, 0))))
    assert isinstance(event, Answered) and event.final and end.outstanding == 0


def test_change_sequence_numbers_are_parsed_and_rendered():
    text = csn.render(1_700_000_000.25, 7, 3)
    assert text == "20231114221320.250000Z#000007#003#000000"
    assert csn.parse(text.encode()) == ("003", ("20231114221320.250000Z", 7, 0))
    later = csn.render(1_700_000_000.25, 8, 3)
    assert csn.vector([text.encode(), later.encode(), b"nonsense", b"\xff"]) == {"003": csn.parse(later.encode())[1]}
