"""JSON values out of a stream: whole where they end, in any split, in one pass, bounded."""

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
def test_any_objects_with_any_white_space_come_out_whole_in_any_split(told, data):
    texts = [json.dumps(each, indent=indent, ensure_ascii=ascii).encode() for each, indent, ascii, _ in told]
    texts = [text.replace(b"\n", b"\r\n") if len(text) % 2 else text for text in texts]  # no string holds a raw one
    stream = b"".join(text + blank.encode() for text, (*_, blank) in zip(texts, told))
    cuts = sorted(data.draw(st.lists(st.integers(0, len(stream)), max_size=12)))
    pieces = [stream[a:b] for a, b in zip([0, *cuts], [*cuts, len(stream)])]
    for way in (pieces, [stream[at : at + 1] for at in range(len(stream))]):
        parser = StreamParser()
        assert objects(parser, *way) == texts and parser.waiting == 0


def test_white_space_between_values_shows_life_and_inside_of_one_does_not():
    parser = StreamParser()
    assert list(parser.feed(b"\r\n")) == [Token.BLANK]
    assert list(parser.feed(b' {"a":')) == [Token.BLANK, Token.BEGUN]
    assert list(parser.feed(b"\r\n\r\n")) == [] and parser.waiting == 9
    assert list(parser.feed(b"1}\n")) == [b'{"a":\r\n\r\n1}', Token.BLANK]


@pytest.mark.parametrize(
    "spoilt",
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
def test_what_can_be_no_object_is_told_at_once_and_what_came_before_stands(spoilt):
    parser, got = StreamParser(), []
    with pytest.raises(SplitError):
        for found in parser.feed(b'{"b":1}' + spoilt):
            got.append(found)
    assert got[1] == b'{"b":1}'


def test_a_value_is_bounded_and_one_of_just_that_size_is_taken():
    whole = b'{"a":"' + b"x" * 92 + b'"}'
    assert objects(StreamParser(100), whole, whole[:50], whole[50:]) == [whole, whole]
    for pieces in ([whole[:-2], b"xxx"], [whole[:6]] + [b"x"] * 200, [whole[:-1] + b" }"]):
        with pytest.raises(SplitError, match="more than 100"):
            objects(StreamParser(100), *pieces)


def test_each_octet_is_looked_at_once_however_a_value_is_cut(monkeypatch):
    seen = []
    through = StreamParser._through

    def counted(self, data, at):
        end = through(self, data, at)
        seen.append(end - at)
        return end

    monkeypatch.setattr(StreamParser, "_through", counted)
    whole = json.dumps({"instances": [{"instanceId": f"s-{number}"} for number in range(500)]}, indent=2).encode()
    assert objects(StreamParser(), *(whole[at : at + 1] for at in range(len(whole)))) == [whole]
    assert sum(seen) == len(whole)
