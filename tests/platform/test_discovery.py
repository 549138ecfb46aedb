"""One watch: HTTP responses in any split to lists, and invalid HTTP."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.support.platform import ENTRY, HEAD, LINE, chunk
from yardbank.platform.discovery import HttpError, Watch
from yardbank.platform.listing import Listing

TOLD = {"generation": 43, "reset": False, "instances": [ENTRY]}
INDENTED = json.dumps(TOLD, indent=2).replace("\n", "\r\n").encode()


def lists(watch, *pieces):
    return [found.generation for piece in pieces for found in watch.receive(piece) if isinstance(found, Listing)]


@given(st.data())
def test_a_response_is_parsed_in_any_split_and_lists_may_be_indented(data):
    body = (
        chunk(b"\n")
        + chunk(LINE[:20])
        + chunk(LINE[20:] + LINE)
        + chunk(INDENTED[:-3])
        + chunk(INDENTED[-3:] + INDENTED)
    )
    stream = HEAD + body + b"0\r\n\r\n"
    cuts = sorted(data.draw(st.lists(st.integers(0, len(stream)), max_size=12)))
    watch = Watch("h:1", 41)
    assert (
        lists(watch, *(stream[a:b] for a, b in zip([0, *cuts], [*cuts, len(stream)]) if b > a)) == [43] * 4
        and watch.done
    )
    watch = Watch("h:1", 41)
    assert lists(watch, *(stream[at : at + 1] for at in range(len(stream)))) == [43] * 4 and watch.done
    assert watch.request.startswith(b"GET /discovery/hosts?stream=1&index=41 HTTP/1.1\r\nHost: h:1\r\n")
    assert watch.request.endswith(b"\r\n\r\n") and list(watch.receive(b"more")) == []


def test_a_response_with_content_length_or_until_close_needs_no_last_newline():
    watch = Watch("h:1", 41)
    with_length = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(INDENTED)
    assert lists(watch, with_length + INDENTED + b"surplus") == [43] and watch.done
    watch = Watch("h:1", 41)
    assert lists(watch, b"HTTP/1.0 200 OK\r\n\r\n" + INDENTED, LINE[:-1]) == [43, 43] and not watch.done


def test_data_of_an_unfinished_chunk_is_parsed_as_it_arrives():
    watch = Watch("h:1", 41)
    assert lists(watch, HEAD + b"fffffff\r\n") == []
    assert all(lists(watch, *(LINE[at : at + 1] for at in range(len(LINE)))) == [43] for _ in range(100))


@pytest.mark.parametrize(
    "stream",
    [
        b"HTTP/1.1 503 Busy\r\n\r\n",
        b"SMTP\r\n\r\n",
        b"x" * 20000,
        HEAD + b"zz\r\n",
        HEAD + b"-1\r\n",
        HEAD + b"1\r\n\nxyz",
        b"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nodd\r\n\r\n",
        HEAD + b"1" * 20000,
        b"HTTP/1.1 200 OK\r\n" + b"a: b\r\n" * 5000,
        HEAD + b"0\r\n" + b"a: b\r\n" * 5000,
    ],
)
def test_an_invalid_http_response_is_an_error(stream):
    with pytest.raises(HttpError):
        list(Watch("h:1", 41).receive(stream))
