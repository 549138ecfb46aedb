"""The gateway on a virtual clock: requests, attempts and answers."""

from tests.support.virtual_gateway import SERVERS, FakeConnection, Place
from yardbank.gateway import Limits, Reply
from yardbank.gateway.api import MS, ProbeResult
from yardbank.interface import Role


def test_session_reads_primary_until_replica_has_its_write():
    harness = Place()
    write = harness.ask("write")
    harness.backend.to("p").answer(Reply("ok", "done", Role.PRIMARY, ("", (5,))))
    assert write.got == [("served", "done")]
    harness.ask("read")
    harness.pass_time(0.2)
    assert harness.backend.sent[-1][0] == "p"  # the replica has applied position 1 only
    harness.backend.to("p").answer()
    harness.backend.position = lambda server: ProbeResult({"": (5,)}, server.primary)
    harness.pass_time(0.3)
    harness.ask("read")
    assert harness.backend.sent[-1][0] == "c"


def test_lost_connection_retries_read_and_fails_unsafe_write():
    harness = Place()
    read = harness.ask("read")
    first = harness.backend.sent[-1][0]
    harness.backend.to(first).drop()
    harness.backend.to(harness.backend.sent[-1][0]).answer()
    assert read.finals == ["served"] and len(harness.backend.sent) == 2
    write = harness.ask("write")
    harness.backend.to("p").drop()
    harness.pass_time(3)
    assert write.finals == ["failed"]
    assert [name for name, _ in harness.backend.sent].count("p") <= 2


def test_unanswered_request_fails_at_deadline_and_late_answer_is_dropped():
    harness = Place()
    write = harness.ask("write")
    (number,) = harness.backend.to("p").out
    _, receiver = harness.backend.to("p").out[number]
    harness.pass_time(2.1)
    assert write.finals == ["failed"]
    receiver.attempt_done(Reply("ok", "late"))
    assert write.finals == ["failed"]
    assert harness.gateway.unanswered == 0


def test_write_is_refused_when_connections_are_refused():
    harness = Place()
    harness.backend.mode = "refuse"
    write = harness.ask("write")
    harness.pass_time(3)
    assert write.finals == ["refused"]


def test_connection_that_opens_too_late_is_closed():
    harness = Place()
    harness.backend.mode = "slow"
    read = harness.ask("read")
    assert harness.backend.waiting
    harness.pass_time(0.3)
    assert any(f.get("status") == "connect_failed" for f in harness.facts)
    _, ready, lost = harness.backend.waiting[0]
    late = FakeConnection(harness.backend, SERVERS[0], lost)
    ready(late)  # too late: the connection is closed and nothing is sent on it
    assert late.closed and not late.out
    harness.pass_time(2)
    assert len(read.finals) == 1


def test_client_that_left_gets_no_answer():
    harness = Place()
    sink = harness.ask("write")
    harness.gateway.leave(harness.number)
    harness.gateway.leave(harness.number)
    harness.backend.to("p").answer()
    assert sink.got == [] and harness.gateway.unanswered == 0 and not len(harness.gateway._requests)


def test_long_response_streams_once_buffer_limit_is_reached():
    harness = Place(limits=Limits(gather=100, stream_idle=500 * MS))
    sink = harness.ask("read")
    name = harness.backend.sent[-1][0]
    _, receiver = harness.backend.to(name).out[1]
    receiver.attempt_part("one", 60)
    assert sink.got == []  # buffered: another server could still answer
    receiver.attempt_part("two", 60)
    assert [payload for _, payload in sink.got] == ["one", "two"]
    receiver.attempt_part("three", 60)
    harness.pass_time(0.4)
    receiver.attempt_part("four", 60)
    receiver.attempt_done(Reply("ok", "end"))
    assert sink.got[-1] == ("served", "end") and len(sink.got) == 5
    sink = harness.ask("read")
    _, receiver = harness.backend.to(harness.backend.sent[-1][0]).out[2 if harness.backend.sent[-1][0] == name else 1]
    receiver.attempt_part("one", 200)
    harness.pass_time(0.7)  # a stream that pauses is aborted, once
    assert sink.finals == ["failed"]


def test_buffered_parts_of_failed_attempt_are_dropped():
    harness = Place()
    sink = harness.ask("read")
    name = harness.backend.sent[-1][0]
    harness.backend.to(name).out[1][1].attempt_part("half", 10)
    harness.backend.to(name).drop()
    other = harness.backend.to(harness.backend.sent[-1][0])
    other.out[min(other.out)][1].attempt_part("whole", 10)
    other.answer()
    assert sink.got == [("part", "whole"), ("served", "payload")]
