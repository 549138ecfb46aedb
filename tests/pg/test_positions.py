"""Log sequence numbers as marks, on the timeline that all protocols share."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from yardbank.pg.classify import Classifier, Kind
from yardbank.pg.positions import ORIGIN, PROBE, lsn, mark, of_probe
from yardbank.timeline import Timeline


@given(st.integers(0, 2**64 - 1), st.integers(0, 2**64 - 1))
def test_numbers_order_as_positions_do(a, b):
    shown = [f"{n >> 32:X}/{n & 0xFFFFFFFF:X}" for n in (a, b)]
    assert [lsn(text) for text in shown] == [a, b]
    assert (mark("1", shown[0]) < mark("1", shown[1])) == (a < b)


@pytest.mark.parametrize("text", ["", "0", "0/", "/0", "0/G", "0/123456789", "-1/0", " 0/0", "0/0\n", "\u0660/0"])
def test_what_is_no_number_is_none(text):
    assert lsn(text) is None


@pytest.mark.parametrize(
    "row",
    [
        (b"t", None, b"1"),
        (b"t", b"0/1"),
        (b"x", b"0/1", b"1"),
        (b"t", b"0/1", b"0"),
        (b"t", b"0/1", b"-1"),
        (b"t", b"\xff", b"1"),
        (),
    ],
)
def test_a_probe_that_makes_no_sense_tells_nothing(row):
    assert of_probe(row) is None


def test_a_probe_tells_role_and_mark():
    assert of_probe((b"f", b"1/A", b"3")) == of_probe((b"f", b"00000001/0000000A", b"3"))
    told = of_probe((b"f", b"0/10", b"3"))
    assert told.primary and told.marks == {ORIGIN: (3, 16)} and not of_probe((b"t", b"0/10", b"3")).primary


def test_an_old_primarys_unshipped_log_reaches_nothing_of_the_new_one():
    """The old one has log up to 0/900 on timeline 1; the new one went on from 0/500 on timeline 2."""
    timeline = Timeline()
    timeline.observe({ORIGIN: mark("1", "0/500")}, 100)
    token = timeline.commit(ORIGIN, mark("2", "0/510"), 200)
    assert timeline.position({ORIGIN: mark("1", "0/900")}) < token
    assert timeline.position({ORIGIN: mark("2", "0/510")}) >= token


def test_the_probe_itself_may_go_to_any_server():
    functions = ("pg_current_wal_insert_lsn", "pg_control_checkpoint", "pg_walfile_name")
    assert Classifier(functions).of(PROBE).kind is Kind.READ
