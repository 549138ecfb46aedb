"""Client and server sessions: both ends of connections as state machines without I/O."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.support.platform import AUTHENTICATED, DESCRIPTION, KINDS, READ, READY, START, parameter, query, receive, row
from yardbank.gateway.api import MS, SECOND, ProbeResult
from yardbank.gateway.positions import ClockPositions
from yardbank.interface import Report, Role
from yardbank.pg import messages as pg
from yardbank.pg.wire import Frame, int16, int32, text, value
from yardbank.platform.admission import State
from yardbank.platform.client import EMPTY_QUERY_ANSWER, MAX_MESSAGE_OCTETS, ClientSession
from yardbank.platform.recent_effects import RecentEffects
from yardbank.platform.report import read_report
from yardbank.platform.server import ServerSession
from yardbank.platform.statement import Operation, read_statement


def test_a_query_may_follow_the_startup_at_once_and_queries_are_answered_in_order():
    session = ClientSession(KINDS, set(), RecentEffects(lambda: 0))
    assert session.state() is State.NEW
    received = receive(session, START + query("") + query(READ), 7 * MS)
    assert received.output.startswith(b"R") and received.output.endswith(b"Z\0\0\0\5I") and not received.expedited
    assert session.state() is State.BUSY and session.pipeline.take_answers() == EMPTY_QUERY_ANSWER
    command = session.pipeline.next(True)
    assert command.operation == Operation(read_statement(READ, KINDS), 487 * MS)
    assert session.pipeline.next(True) is None and session.state() is State.BUSY
    session.answered(command, b"x")
    assert session.pipeline.take_answers() == b"x" and session.state() is State.IDLE
    receive(session, query(READ)[:9], 0)
    assert session.state() is State.PARTIAL


@pytest.mark.parametrize(
    "noise",
    [
        b"\0\0\0\0\0",
        b"\xff" * 64,
        b"Q\x7f\xff\xff\xff",
        b"Q\0\0\0\0",
        b"Q" + int32(60 << 20),
        b"\0" + int32(8) + b"ab\0\0",
        b"Q" + int32(8) + b"abcd",
        b"Q" + int32(8) + b"\xff\xfea\0",
        pg.encode_client(pg.Parse("", "SELECT 1")).encode(),
        b"Q" + int32(MAX_MESSAGE_OCTETS + 100),
    ],
)
def test_invalid_input_after_a_valid_query_is_answered_in_order(noise):
    session = ClientSession(KINDS, set(), RecentEffects(lambda: 0))
    receive(session, START + query(READ) + noise, 0)
    command = session.pipeline.next(True)
    assert session.pipeline.next(True) is None and session.pipeline.closing_command() is None
    session.answered(command, b"x")
    assert session.pipeline.take_answers() == b"x"
    last = session.pipeline.closing_command()
    assert last.close_reason and last.answer.startswith(b"E") and session.pipeline.take_answers() == b""


def test_nothing_is_taken_after_a_terminate_message():
    held = set()
    session = ClientSession(KINDS, held, RecentEffects(lambda: 0))
    receive(session, START + query(READ) + pg.encode_client(pg.TERMINATE).encode(), 0)
    assert session.client_left and held == {"a1"}
    (command,) = session.leave()
    assert command.operation.statement.id == "a1" and not held
    assert session.pipeline.next(True) is None and receive(session, query(READ), 0).output == b"" and not held


def open_session():
    session = ServerSession()
    assert session.take_output().endswith(b"\0\0")
    assert session.receive(AUTHENTICATED) is None and session.open
    session.start_statement(READ)
    return session


@given(st.data())
def test_an_answer_and_its_parameters_are_parsed_in_any_split(data):
    session = open_session()
    stream = row() + parameter("part", "replica") + parameter("caught_up_to", "1767225600123") + READY
    cuts = sorted(data.draw(st.lists(st.integers(0, len(stream)), max_size=8)))
    replies = [session.receive(stream[a:b]) for a, b in zip([0, *cuts], [*cuts, len(stream)], strict=True)]
    (reply,) = [reply for reply in replies if reply is not None]
    assert reply.status == "ok" and reply.payload == row() and reply.role is Role.REPLICA
    assert reply.commit == ("clock", (1767225600123 * MS,))
    assert not session.broken and not session.busy


@pytest.mark.parametrize(
    ("state", "status"),
    [("25006", "miss"), ("72000", "miss"), ("53300", "full"), ("XX000", "error"), ("08P01", "error")],
)
def test_error_codes_map_to_reply_statuses(state, status):
    session = open_session()
    reply = session.receive(pg.error(state, "no").encode() + parameter("part", "master") + READY)
    assert (reply.status, reply.payload, reply.role) == (status, None, Role.PRIMARY)
    session.start_statement(READ)
    assert session.receive(pg.error(state, "no").encode()) is None
    assert session.ended().status == status  # no ReadyForQuery after a final message


def test_a_statement_error_is_passed_on_as_the_answer():
    session, fault = open_session(), pg.error("42601", "bad request").encode()
    reply = session.receive(fault + READY)
    assert (reply.status, reply.payload) == ("ok", fault) and not session.broken


INVALID_ANSWERS = [
    b"\xff" * 40,
    b"D" + int32(3 << 29) + b"xx",
    row()[:-12] + b"C\0\0\0\x09ab",
    row(tag="SELECT 2") + READY,
    row(tag="INSERT 0 1") + READY,
    row() + row() + READY,
    DESCRIPTION.encode() + READY,
    READY,
    Frame(ord("D"), int16(1) + value(b"x")).encode(),
    Frame(ord("T"), int16(9) + text("content") + bytes(18)).encode(),
    DESCRIPTION.encode() + Frame(ord("D"), int16(2) + value(b"x") + value(b"y")).encode(),
    DESCRIPTION.encode() + Frame(ord("D"), int16(1) + int32(900) + b"short").encode(),
    b"S" + int32(8) + b"part",
    pg.error("XX000", "no").encode() + row() + READY,
    row() + Frame(ord("Z"), b"?").encode(),
]


@pytest.mark.parametrize("invalid", INVALID_ANSWERS)
def test_an_invalid_answer_is_dropped_and_makes_the_connection_unusable(invalid):
    session = open_session()
    assert session.receive(invalid) is None
    assert session.broken and session.ended() is None
    with pytest.raises(ValueError):
        session.start_statement(READ)


@pytest.mark.parametrize("surplus", [row() + READY, b"\0noise", b"D", parameter("part", "master")])
def test_data_after_a_valid_answer_keeps_the_answer_and_ends_the_connection(surplus):
    session = open_session()
    reply = session.receive(row() + READY + surplus)
    assert reply.status == "ok" and session.broken


def test_load_reports_are_parsed_exactly_or_rejected():
    report = read_report("inflight=7,x0=1767225600.123,x1=1,util=0.61").position
    assert dict(report.marks) == {"clock": (1767225600_123_000_000,)} and report.primary is True
    assert read_report("util=0.61").position == ProbeResult({})
    for broken in ("", "x0", "x0=", "x0=soon", "x0=1,x0=2", "=3", "x0=-4", "x0=1e12", "x0=nan"):
        assert read_report(broken).position is None and read_report(broken).invalid


CLOCK = 1767225600_123_000_000


@pytest.mark.parametrize(
    ("text", "marks", "primary", "load", "invalid"),
    [
        ("x0=1767225600.123,x1=1,utilization=0.61", CLOCK, True, 0.61, ()),
        ("utilization=1.07 , x1=0.0, x0=1767225600.123", CLOCK, False, 1.07, ()),
        ("x0=1767225600.123,x1=1,utilization=nan", CLOCK, True, None, ("utilization",)),
        ("x0=1767225600.123,x1=1,utilization=inf", CLOCK, True, None, ("utilization",)),
        ("x0=1767225600.123,x1=1,utilization=-inf", CLOCK, True, None, ("utilization",)),
        ("x0=1767225600.123,x1=1,utilization=1e400", CLOCK, True, None, ("utilization",)),
        ("x0=1767225600.123,x1=1,utilization=-0.2", CLOCK, True, None, ("utilization",)),
        ("x0=1767225600.123,x1=1,utilization=61", CLOCK, True, None, ("utilization",)),
        ("x0=1767225600.123,x1=1,utilization=1_0", CLOCK, True, None, ("utilization",)),
        ("x0=1767225600.123,x1=1,utilization=6.1e-05", CLOCK, True, 6.1e-05, ()),
        ("x0=1767225600.123,x1=1,utilization", CLOCK, True, None, ("utilization",)),
        ("x0=1767225600.123,x1=0.5,utilization=0.5", CLOCK, None, 0.5, ("x1",)),
        ("x0=soon,x1=1,utilization=0.5", None, None, 0.5, ("x0",)),  # a role without its time is not used
        ("x0=1,x1=1,utilization=0.5,x0=2", None, None, 0.5, ("x0",)),
        ("x0=1767225600.123,\0\xff,x1=1", CLOCK, True, None, ("\0\xff",)),
        ("x1=1", None, True, None, ()),
        ("throughput=3,utilization=0.25", None, None, 0.25, ()),
    ],
)
def test_an_invalid_load_report_field_leaves_the_other_fields_valid(text, marks, primary, load, invalid):
    report = read_report(text)
    assert report.position == ProbeResult({"clock": (marks,)} if marks else {}, primary, load)
    assert report.invalid == invalid


def test_a_load_report_uses_only_the_configured_fields():
    full = "x0=1767225600.123,x1=1,utilization=0.61,util=0.33,outstanding=7"
    for fields, position in (
        (("x0", "x1", "utilization"), ProbeResult({"clock": (CLOCK,)}, True, 0.61)),
        (("util", "x1", "inflight", "x0"), ProbeResult({"clock": (CLOCK,)}, True, 0.33)),
        (("outstanding", "x0"), ProbeResult({"clock": (CLOCK,)})),
        (("x1",), ProbeResult({}, True)),
        ((), ProbeResult({})),
    ):
        assert read_report(full, fields).position == position
    assert read_report("x0=soon,utilization=0.61", ("utilization",)).position == ProbeResult({}, None, 0.61)
    assert read_report("," * 5000).position is None


def test_a_session_uses_the_configured_report_fields_and_reports_invalid_ones():
    problems = []
    session = ServerSession(("x0", "util"), problems.append)
    session.receive(AUTHENTICATED)
    for gauges, load in (("x0=2,util=0.5,utilization=0.9", 0.5), ("x0=2,util=nan", None), ("x0=2", None)):
        session.start_statement(READ)
        reply = session.receive(row() + parameter("gauges", gauges) + READY)
        assert reply.status == "ok" and reply.report == ProbeResult({"clock": (2 * SECOND,)}, None, load)
    session.start_statement("SHOW gauges", probe=True)
    assert session.receive(row(b"util=0.4,x0=\xff", "SHOW") + READY).report == ProbeResult({}, None, 0.4)
    session.start_statement(READ)
    assert session.receive(b"\xff" * 40) is None
    assert problems[:2] == ["load report in gauges: util", "load report in the row: x0"]
    assert len(problems) == 3 and problems[2] == session.broken


def test_positions_are_times_and_dropped_servers_are_forgotten():
    positions = ClockPositions()
    positions.listed(1, 0, True, 0)
    assert positions.committed(1, ("clock", (77,)), 5) == 77 and positions.reference(1) is None
    reported = read_report("x0=2,x1=0").position
    positions.observed(1, reported, 9)
    assert positions.report(1, reported, 9) == Report(2 * SECOND, False)
    assert positions.report(1, read_report("util=1").position, 9) == Report(None, None)
    positions.dropped(1)
    assert positions.marks(1) == {}
