"""PostgreSQL wire codec and statement classification."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.support.pg_statements import CORPUS
from yardbank.pg import messages as pg
from yardbank.pg.classify import Classifier, Kind, Taint
from yardbank.pg.wire import MAX_STARTUP, SSL_REQUEST, VERSION_3_0, Frame, Framer, WireError, int32

WORDS = st.text(st.characters(codec="utf-8", exclude_characters="\0"), max_size=20)
TYPES = st.lists(st.integers(0, 2**32 - 1), max_size=5).map(tuple)
CLIENT = st.one_of(
    st.builds(pg.Query, WORDS),
    st.builds(pg.Parse, WORDS, WORDS, TYPES),
    st.builds(pg.Bind, WORDS, WORDS),
    st.builds(pg.Describe, st.sampled_from("SP"), WORDS),
    st.builds(pg.Close, st.sampled_from("SP"), WORDS),
    st.builds(pg.Execute, WORDS, st.integers(0, 2**31 - 1)),
    st.sampled_from([pg.SYNC, pg.FLUSH, pg.TERMINATE, pg.COPY_DONE]),
    st.builds(pg.Data, st.sampled_from(b"dfp"), st.binary(max_size=30)),
)


def test_corpus_has_three_hundred_distinct_statements_and_every_kind_and_taint():
    assert len(CORPUS) >= 300 and len({text for text, _, _ in CORPUS}) == len(CORPUS)
    assert {kind for _, kind, _ in CORPUS} == set(Kind)
    assert {taint for _, _, taints in CORPUS for taint in taints} == set(Taint)


@pytest.mark.parametrize(("text", "kind", "taints"), CORPUS)
def test_statements_are_classified_as_in_the_corpus(text, kind, taints):
    found = Classifier().of(text)
    assert (found.kind, found.taints) == (kind, frozenset(taints)), found.why


@given(st.text(max_size=60))
@settings(max_examples=300, deadline=None)
def test_text_that_cannot_be_parsed_is_an_unknown_write(text):
    found = Classifier().of(text)
    if "cannot be parsed" in found.why:
        assert found.kind is Kind.WRITE and Taint.UNKNOWN in found.taints


@given(
    st.sampled_from([text for text, kind, _ in CORPUS if kind is Kind.WRITE]),
    st.sampled_from([text for text, kind, _ in CORPUS if kind is Kind.READ]),
)
@settings(max_examples=200, deadline=None)
def test_text_with_a_read_and_a_write_is_not_a_read(write, read):
    for text in (f"{read}\n; {write}", f"{write}\n; {read}"):
        assert Classifier().of(text).kind is not Kind.READ


def test_configured_functions_cache_and_unparsable_texts():
    classifier = Classifier(("app.route_of",), max_cached=2)
    assert (
        classifier.of("select app.route_of('x')").kind is Kind.READ
        and Classifier().of("select app.route_of('x')").kind is Kind.WRITE
    )
    classifier.of("select app.route_of('x')")
    assert (classifier.hits, classifier.misses) == (1, 1)
    classifier.of("select 1")
    classifier.of("select 2")  # evicts the first text
    classifier.of("select app.route_of('x')")
    assert classifier.misses == 4
    deep = Classifier().of("select " + "(" * 200_000 + "1" + ")" * 200_000)
    assert deep.kind is Kind.WRITE and "cannot be parsed" in deep.why
    assert "not parsed" in Classifier().of("select 1 --" + "x" * (1 << 20)).why


@given(st.lists(CLIENT, max_size=8), st.data())
@settings(max_examples=200, deadline=None)
def test_messages_round_trip_for_any_read_sizes(wanted, data):
    first = pg.Startup(VERSION_3_0, (("user", "desk"), ("database", "porting")))
    octets = b"".join(pg.encode_client(message).encode() for message in (first, *wanted))
    framer, found, at = Framer(startup=True), [], 0
    while at < len(octets):
        size = data.draw(st.integers(1, len(octets) - at))
        for frame in framer.feed(octets[at : at + size]):
            if frame.type == 0:
                found.append(pg.decode_first(frame))
                framer.started()
            else:
                found.append(pg.decode_client(frame))
        at += size
    assert found == [first, *wanted] and framer.waiting == 0


@given(st.binary(max_size=80), st.booleans())
@settings(max_examples=500, deadline=None)
def test_arbitrary_octets_decode_or_raise_a_wire_error(octets, startup):
    try:
        for frame in Framer(1000, startup).feed(octets):
            (pg.decode_first if startup else pg.decode_client)(frame)
            if startup:
                break
    except WireError as problem:
        assert str(problem)


def test_invalid_lengths_types_and_counts_are_rejected():
    for octets, max_body in (
        (b"Q" + int32(2000), 100),
        (b"Q" + int32(3), 100),
        (b"Q" + int32(-5), 100),
        (b"\x01" + int32(4), 100),
    ):
        with pytest.raises(WireError):
            list(Framer(max_body).feed(octets))
    with pytest.raises(WireError, match="message length"):
        list(Framer(startup=True).feed(int32(MAX_STARTUP + 5)))
    with pytest.raises(WireError, match="items do not fit"):
        pg.decode_client(Frame(ord("P"), b"\0\0\xff\xff"))
    with pytest.raises(WireError, match="items do not fit"):
        pg.decode_client(Frame(ord("B"), b"\0\0\0\0\x7f\xff\0\0"))


def test_first_messages_are_decoded_or_rejected():
    assert pg.decode_first(Frame(0, int32(SSL_REQUEST))) == pg.EncryptionRequest(SSL_REQUEST)
    cancel = pg.CancelRequest(7, b"k" * 32)  # protocol 3.2 allows long keys
    assert pg.decode_first(pg.encode_client(cancel)) == cancel
    for body, reason in (
        (int32(2 << 16), "version 2.0"),
        (int32(VERSION_3_0) + b"user\0", "parameter 'user'"),
        (int32(SSL_REQUEST) + b"x", "after its end"),
        (int32(80877102) + b"\0\0\0\1ab", "key of 2"),
    ):
        with pytest.raises(WireError, match=reason):
            pg.decode_first(Frame(0, body))


def test_server_messages_round_trip_and_malformed_ones_are_rejected():
    frame = pg.error("40001", "the primary changed", "try again")
    fault = pg.read_fault(frame)
    assert fault.state == "40001" and not fault.notice and pg.write_fault(fault) == frame
    assert pg.read_ready(Frame(ord("Z"), b"T")).status == "T"
    assert pg.read_parameter(Frame(ord("S"), b"TimeZone\0UTC\0")) == ("TimeZone", "UTC")
    row = (b"1", None, b"")
    assert pg.read_row(pg.write_row(row)) == row
    for read, body in (
        (pg.read_ready, b"X"),
        (pg.read_fault, b"Mtext"),
        (pg.read_row, b"\0\5"),
        (pg.read_parameter, b"a\0b\0c"),
    ):
        with pytest.raises(WireError):
            read(Frame(0x5A, body))
