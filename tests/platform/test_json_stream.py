"""Splitting a stream into JSON objects: complete at their last octet, in any split, scanned once, limited in size."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from yardbank.platform.json_stream import MAX_DEPTH, SplitError, StreamParser, Token

TEXTS = st.text(max_size=6) | st.sampled_from(['"', "\\", "}", "{[", '\\"}', "\n"])
LEAVES = st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False, allow_infinity=False) | TEXTS
OBJECTS = st.dictionaries(
    TEXTS,
    st.recursive(
        LEAVES, lambda held: st.lists(held, max_size=3) | st.dictionaries(TEXTS, held, max_size=3), max_leaves=8
    ),
    max_size=4,
)
BLANKS = st.text(alphabet=" \t\r\n", max_size=4)


def objects(parser, *pieces):
    return [found for piece in pieces for found in parser.feed(piece) if not isinstance(found, Token)]


@given(st.lists(st.tuples(OBJECTS, st.sampled_from([None, 0, 2, "\t"]), st.booleans(), BLANKS), max_size=5), st.data())
def test_objects_with_any_whitespace_are_parsed_in_any_split(drawn, data):
    texts = [json.dumps(each, indent=indent, ensure_ascii=ascii).encode() for each, indent, ascii, _ in drawn]
    texts = [text.replace(b"\n", b"\r\n") if len(text) % 2 else text for text in texts]  # no string has a raw one
    stream = b"".join(text + blank.encode() for text, (*_, blank) in zip(texts, drawn))
    cuts = sorted(data.draw(st.lists(st.integers(0, len(stream)), max_size=12)))
    pieces = [stream[a:b] for a, b in zip([0, *cuts], [*cuts, len(stream)])]
    for way in (pieces, [stream[at : at + 1] for at in range(len(stream))]):
        parser = StreamParser()
        assert objects(parser, *way) == texts and parser.buffered_octets == 0


def test_whitespace_yields_a_token_between_values_but_not_inside_one():
    parser = StreamParser()
    assert list(parser.feed(b"\r\n")) == [Token.WHITESPACE]
    assert list(parser.feed(b' {"a":')) == [Token.WHITESPACE, Token.VALUE_STARTED]
    assert list(parser.feed(b"\r\n\r\n")) == [] and parser.buffered_octets == 9
    assert list(parser.feed(b"1}\n")) == [b'{"a":\r\n\r\n1}', Token.WHITESPACE]


@pytest.mark.parametrize(
    "invalid",
    [
        b"[",
        b"x",
        b"\xef\xbb\xbf{}",
        b"}",
        b'"',
        b"{nonsense",
        b"{]",
        b'{"a":[}',
        b'{"a\n',
        b'{"a":"\x00',
        b"{\xff",
        b'{"a":' * (MAX_DEPTH + 1),
    ],
)
def test_invalid_input_is_reported_at_once_and_earlier_objects_are_kept(invalid):
    parser, got = StreamParser(), []
    with pytest.raises(SplitError):
        for found in parser.feed(b'{"b":1}' + invalid):
            got.append(found)
    assert got[1] == b'{"b":1}'


def test_a_value_of_the_maximum_size_is_accepted_and_a_larger_one_rejected():
    whole = b'{"a":"' + b"x" * 92 + b'"}'
    assert objects(StreamParser(100), whole, whole[:50], whole[50:]) == [whole, whole]
    for pieces in ([whole[:-2], b"xxx"], [whole[:6]] + [b"x"] * 200, [whole[:-1] + b" }"]):
        with pytest.raises(SplitError, match="more than 100"):
            objects(StreamParser(100), *pieces)


def test_each_octet_is_scanned_once_in_any_split(monkeypatch):
    seen = []
    scan = StreamParser._scan

    def counted(self, data, at):
        end = scan(self, data, at)
        seen.append(end - at)
        return end

    monkeypatch.setattr(StreamParser, "_scan", counted)
    whole = json.dumps({"instances": [{"instanceId": f"s-{number}"} for number in range(500)]}, indent=2).encode()
    assert objects(StreamParser(), *(whole[at : at + 1] for at in range(len(whole)))) == [whole]
    assert sum(seen) == len(whole)
