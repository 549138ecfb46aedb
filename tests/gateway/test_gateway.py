"""The gateway on a virtual clock: requests, attempts, answers."""

from tests.support.virtual_gateway import SERVERS, FakeConnection, Place
from yardbank.gateway import Limits, Reply
from yardbank.gateway.api import MS, ProbeResult
from yardbank.interface import Role


def test_a_write_is_served_and_its_session_reads_the_primary_until_a_copy_has_it():
    place = Place()
    write = place.ask("write")
    place.backend.to("p").answer(Reply("ok", "done", Role.PRIMARY, ("", (5,))))
    assert write.got == [("served", "done")]
    place.ask("read")
    place.pass_time(0.2)
    assert place.backend.sent[-1][0] == "p"  # the copy has applied mark 1 alone
    place.backend.to("p").answer()
    place.backend.position = lambda server: ProbeResult({"": (5,)}, server.primary)
    place.pass_time(0.3)
    place.ask("read")
    assert place.backend.sent[-1][0] == "c"


def test_a_lost_connection_resends_a_read_and_fails_an_unsafe_write():
    place = Place()
    read = place.ask("read")
    first = place.backend.sent[-1][0]
    place.backend.to(first).drop()
    place.backend.to(place.backend.sent[-1][0]).answer()
    assert read.finals == ["served"] and len(place.backend.sent) == 2
    write = place.ask("write")
    place.backend.to("p").drop()
    place.pass_time(3)
    assert write.finals == ["failed"]
    assert [name for name, _ in place.backend.sent].count("p") <= 2


def test_no_answer_ends_at_the_deadline_and_a_late_one_is_dropped():
    place = Place()
    write = place.ask("write")
    (number,) = place.backend.to("p").out
    _, receiver = place.backend.to("p").out[number]
    place.pass_time(2.1)
    assert write.finals == ["failed"]
    receiver.attempt_done(Reply("ok", "late"))
    assert write.finals == ["failed"]
    assert place.gateway.unanswered == 0


def test_refused_connections_are_told_to_the_module_and_nothing_ran():
    place = Place()
    place.backend.mode = "refuse"
    write = place.ask("write")
    place.pass_time(3)
    assert write.finals == ["refused"]


def test_a_connection_that_does_not_come_up_in_time_is_given_up():
    place = Place()
    place.backend.mode = "slow"
    read = place.ask("read")
    assert place.backend.waiting
    place.pass_time(0.3)
    assert any(f.get("status") == "connect_failed" for f in place.facts)
    _, ready, lost = place.backend.waiting[0]
    late = FakeConnection(place.backend, SERVERS[0], lost)
    ready(late)  # too late: it is closed, nothing is sent on it
    assert late.closed and not late.out
    place.pass_time(2)
    assert len(read.finals) == 1


def test_a_client_that_left_gets_nothing():
    place = Place()
    sink = place.ask("write")
    place.gateway.leave(place.number)
    place.gateway.leave(place.number)
    place.backend.to("p").answer()
    assert sink.got == [] and place.gateway.unanswered == 0 and not len(place.gateway._requests)


def test_long_answers_stream_once_the_bound_is_reached():
    place = Place(limits=Limits(gather=100, stream_idle=500 * MS))
    sink = place.ask("read")
    name = place.backend.sent[-1][0]
    _, receiver = place.backend.to(name).out[1]
    receiver.attempt_part("one", 60)
    assert sink.got == []  # kept back: another server could still answer
    receiver.attempt_part("two", 60)
    assert [payload for _, payload in sink.got] == ["one", "two"]
    receiver.attempt_part("three", 60)
    place.pass_time(0.4)
    receiver.attempt_part("four", 60)
    receiver.attempt_done(Reply("ok", "end"))
    assert sink.got[-1] == ("served", "end") and len(sink.got) == 5
    sink = place.ask("read")
    _, receiver = place.backend.to(place.backend.sent[-1][0]).out[2 if place.backend.sent[-1][0] == name else 1]
    receiver.attempt_part("one", 200)
    place.pass_time(0.7)  # a stream that pauses is broken off, once
    assert sink.finals == ["failed"]


def test_gathered_parts_of_an_attempt_that_died_are_dropped():
    place = Place()
    sink = place.ask("read")
    name = place.backend.sent[-1][0]
    place.backend.to(name).out[1][1].attempt_part("half", 10)
    place.backend.to(name).drop()
    other = place.backend.to(place.backend.sent[-1][0])
    other.out[min(other.out)][1].attempt_part("whole", 10)
    other.answer()
    assert sink.got == [("part", "whole"), ("served", "payload")]
