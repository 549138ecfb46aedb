"""PostgreSQL log positions, and their order on the timeline shared by all protocols."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from yardbank.pg.classify import Classifier, Kind
from yardbank.pg.positions import ORIGIN, PROBE_QUERY, log_position, parse_lsn, parse_probe_row
from yardbank.timeline import Timeline


@given(st.integers(0, 2**64 - 1), st.integers(0, 2**64 - 1))
def test_log_sequence_numbers_and_positions_have_the_same_order(a, b):
    shown = [f"{n >> 32:X}/{n & 0xFFFFFFFF:X}" for n in (a, b)]
    assert [parse_lsn(text) for text in shown] == [a, b]
    assert (log_position("1", shown[0]) < log_position("1", shown[1])) == (a < b)


@pytest.mark.parametrize("text", ["", "0", "0/", "/0", "0/G", "0/123456789", "-1/0", " 0/0", "0/0\n", "\u0660/0"])
def test_invalid_log_sequence_number_is_none(text):
    assert parse_lsn(text) is None


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
def test_invalid_probe_row_is_none(row):
    assert parse_probe_row(row) is None


def test_probe_row_gives_role_and_position():
    assert parse_probe_row((b"f", b"1/A", b"3")) == parse_probe_row((b"f", b"00000001/0000000A", b"3"))
    result = parse_probe_row((b"f", b"0/10", b"3"))
    assert result.primary and result.marks == {ORIGIN: (3, 16)} and not parse_probe_row((b"t", b"0/10", b"3")).primary


def test_unreplicated_log_of_an_old_primary_does_not_include_commits_of_the_new_one():
    """The old primary has log up to 0/900 on timeline 1; the new one continued from 0/500 on timeline 2."""
    timeline = Timeline()
    timeline.observe({ORIGIN: log_position("1", "0/500")}, 100)
    token = timeline.commit(ORIGIN, log_position("2", "0/510"), 200)
    assert timeline.position({ORIGIN: log_position("1", "0/900")}) < token
    assert timeline.position({ORIGIN: log_position("2", "0/510")}) >= token


def test_probe_query_is_a_read():
    functions = ("pg_current_wal_insert_lsn", "pg_control_checkpoint", "pg_walfile_name")
    assert Classifier(functions).of(PROBE_QUERY).kind is Kind.READ
