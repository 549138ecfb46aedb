"""Commands of one connection that are processed in parallel: the state machine alone, and with a gateway."""

from types import SimpleNamespace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.support.platform import KINDS, READ, READY, WRITE, World, query
from yardbank.gateway import Reply
from yardbank.gateway.api import MS, SECOND
from yardbank.platform.client import MAX_QUEUED
from yardbank.platform.memory_budget import MemoryBudget
from yardbank.platform.pipeline import MAX_HELD_OCTETS, MAX_OPEN, ORDER_MARGIN, Pipeline, Stage
from yardbank.platform.statement import Operation, read_statement

TERMINATE = b"X\0\0\0\4"
STATUS = "/* id=a3,c=status,d=900,cluster=2 */ SELECT content FROM kv WHERE name = '7f3a'"


def read(number, key="k", limit=480, kind="lookup"):
    """A read of ``key``, with the client's id and a time limit in ms."""
    return READ.replace("a1", number).replace("7f3a", key).replace("480", str(limit)).replace("lookup", kind)


def write(number, key="k", limit=900):
    """A write of ``key``."""
    return WRITE.replace("a2", number).replace("'7f3a'", f"'{key}'").replace("900", str(limit))


def operation(text, now=0):
    """A statement as the session adds it to its pipeline."""
    statement = read_statement(text, KINDS)
    return Operation(statement, now + statement.time_limit)


def dispatch_all(pipeline, more=True):
    """Dispatches all commands that may be now; returns their ids."""
    numbers = []
    while (command := pipeline.next(more)) is not None:
        numbers.append(command.operation.statement.id)
    return numbers


def command(pipeline, number):
    """The command with this id."""
    return next(each for each in pipeline if each.operation and each.operation.statement.id == number)


@pytest.mark.parametrize(
    ("texts", "first", "second"),
    [
        ([write("w"), read("r", kind="status"), read("o", "other")], ["w", "o"], ["r"]),
        ([write("w"), read("r", kind="lookup")], ["w"], ["r"]),
        ([write("w"), write("x"), write("y", "other")], ["w", "y"], ["x"]),
        ([read("r"), write("w"), read("q")], ["r"], ["w"]),
        ([read("r"), read("q")], ["r", "q"], []),
    ],
    ids=["session read", "read of a class without sessions", "write", "write behind a read", "reads"],
)
def test_a_command_waits_only_for_earlier_conflicting_commands_on_its_row(texts, first, second):
    pipeline = Pipeline()
    for text in texts:
        pipeline.add(operation(text), len(text), 0)
    assert dispatch_all(pipeline) == first
    pipeline.answered(command(pipeline, first[0]), b"done")
    assert dispatch_all(pipeline) == second


def test_the_same_key_in_another_group_is_a_different_row():
    pipeline = Pipeline()
    pipeline.add(operation(write("w")), 1, 0)
    pipeline.add(operation(read("r").replace("cluster=2", "cluster=3")), 1, 0)
    assert dispatch_all(pipeline) == ["w", "r"]


def test_a_command_is_due_before_the_deadline_of_every_later_one():
    pipeline = Pipeline()
    pipeline.add(operation(read("slow", limit=3000)), 1, 0)
    pipeline.add(operation(read("middle", limit=2000)), 1, 0)
    assert command(pipeline, "slow").operation.expires == 2000 * MS - ORDER_MARGIN
    expedited = pipeline.add(operation(read("short", limit=100)), 1, 0)
    assert [each.operation.statement.id for each in expedited] == ["middle", "slow"]
    assert {each.operation.expires for each in expedited} == {100 * MS - ORDER_MARGIN}
    assert pipeline.add(operation(read("long", limit=9000)), 1, 0) == []
    assert command(pipeline, "short").operation.expires == 100 * MS


def test_held_answers_limit_dispatch_except_for_the_first_unanswered_command():
    pipeline = Pipeline()
    for number in range(5):
        pipeline.add(operation(read(f"r{number}", f"k{number}")), 1, 0)
    first, second = pipeline.next(True), pipeline.next(True)
    pipeline.answered(second, bytes(MAX_HELD_OCTETS))
    assert pipeline.next(True) is None
    pipeline.answered(first, b"x")
    assert pipeline.next(True) is not None  # the first unanswered one
    assert pipeline.next(True) is None  # the large answer still waits
    assert len(pipeline.take_answers()) == MAX_HELD_OCTETS + 1
    assert pipeline.next(True) is not None


def test_a_command_is_answered_only_once():
    pipeline = Pipeline()
    pipeline.add(operation(READ), 1, 0)
    first = pipeline.next(True)
    pipeline.answered(first, b"x")
    with pytest.raises(ValueError, match="already answered"):
        pipeline.answered(first, b"y")


STEPS = st.one_of(
    st.tuples(st.just("add"), st.booleans(), st.sampled_from("abc"), st.integers(1, 5000)),
    st.tuples(st.just("open"), st.booleans()),
    st.tuples(st.just("answer"), st.integers(0, 30)),
    st.tuples(st.just("empty")),
)


@given(st.lists(STEPS, max_size=60))
def test_invariants_hold_for_any_sequence_of_steps(steps):
    pipeline, now, number, written, added = Pipeline(), 0, 0, b"", []
    deadlines, over = {}, set()  # by id; ids whose time was practically over when read
    for step in steps:
        now += MS
        if step[0] == "add":
            number += 1
            text = (write if step[1] else read)(f"n{number}", step[2], step[3])
            pipeline.add(operation(text, now), len(text), now)
            deadlines[f"n{number}"] = now + step[3] * MS
            if step[3] * MS <= ORDER_MARGIN:
                over.add(f"n{number}")
            added.append(b"<n%d>" % number)
        elif step[0] == "empty":
            pipeline.add_answered(b"<>")
            added.append(b"<>")
        elif step[0] == "open":
            pipeline.next(step[1])
        else:
            out = [each for each in pipeline if each.stage is Stage.OPEN]
            if out:
                each = out[step[1] % len(out)]
                pipeline.answered(each, b"<%s>" % each.operation.statement.id.encode())
        written += pipeline.take_answers()
        assert written == b"".join(added)[: len(written)]  # in order, each once
        left = list(pipeline)
        out = [each for each in left if each.stage is Stage.OPEN]
        assert len(out) == pipeline.open <= MAX_OPEN
        assert pipeline.unanswered_octets == sum(each.size for each in left if each.stage is not Stage.ANSWERED)
        for at, each in enumerate(left):
            if each.stage is Stage.ANSWERED or each.operation is None:
                continue
            numbers = [later.operation.statement.id for later in left[at + 1 :] if later.operation]
            behind = [deadlines[number] for number in numbers if number not in over]
            due = min([deadlines[each.operation.statement.id], *(deadline - ORDER_MARGIN for deadline in behind)])
            if each.operation.statement.id not in over:
                assert each.operation.expires <= due
            if each.stage is Stage.OPEN:
                rivals = [e for e in left[:at] if e.stage is not Stage.ANSWERED and e.key == each.key]
                assert not any(each.writes or rival.writes for rival in rivals)


def answer(world, number, payload=None):
    """The server answers the request with this id."""
    receiver = next(r for held, r in world.backend.out if held.statement.id == number)
    receiver.attempt_done(Reply("ok", payload or number.encode()))


def sent(world):
    """Ids of the requests sent to servers, in order."""
    return [held.statement.id for held, _ in world.backend.out]


def test_answers_wait_for_a_slow_first_command():
    world = World(replicas=4)
    made, transport = world.connect()
    made.dataReceived(b"".join(query(read(f"r{n}", f"k{n}")) for n in range(10)))
    assert sent(world) == [f"r{n}" for n in range(MAX_OPEN)]
    for n in range(1, MAX_OPEN):
        answer(world, f"r{n}")
    assert sent(world) == [f"r{n}" for n in range(10)] and transport.value() == b""
    answer(world, "r8")
    answer(world, "r9")
    answer(world, "r0")
    assert transport.value() == b"".join(b"r%d" % n + READY for n in range(10))


def test_a_command_behind_a_slow_one_is_answered_before_its_own_deadline():
    world = World(replicas=4)
    made, transport = world.connect()
    made.dataReceived(query(read("slow", limit=1400)))
    world.clock.advance(0.1)
    made.dataReceived(query(read("quick", "other", limit=200)))
    answer(world, "quick")
    assert transport.value() == b""
    world.clock.advance(0.2 - ORDER_MARGIN / SECOND)  # the slow one is due
    world.clock.advance(0)  # the sockets are read once more
    assert b"C53300\0" in transport.value() and transport.value().endswith(b"quick" + READY)


def test_an_unfinished_write_with_a_shortened_deadline_fails_and_is_not_refused():
    world = World(replicas=4)
    made, transport = world.connect()
    made.dataReceived(query(write("slow", limit=2900)) + query(read("quick", "other", limit=200)))
    answer(world, "quick")
    world.clock.advance(0.2 - ORDER_MARGIN / SECOND)
    world.clock.advance(0)
    assert b"C58000\0" in transport.value() and transport.value().endswith(b"quick" + READY)
    assert world.gateway.counts["failed"] == 1


def test_a_time_limit_counts_from_the_last_octet_not_from_dispatch():
    world = World(replicas=4)
    made, _ = world.connect()
    made.dataReceived(query(write("w", limit=2000)) + query(read("r", kind="status", limit=2000)))
    assert sent(world) == ["w"]
    world.clock.advance(0.5)
    answer(world, "w")
    assert sent(world) == ["w", "r"]
    held = world.backend.out[1][0]
    assert held.statement.text(held.expires - world.gateway.now()).startswith("/* id=r,c=status,d=1500,")


# Guards against a command that waited unread in the socket and is sent on as if all of its time were left.
def test_a_time_limit_counts_from_the_pause_of_reading_for_octets_read_after_it():
    world = World(replicas=4)
    made, transport = world.connect()
    paused_at = world.gateway.now()
    made.dataReceived(b"".join(query(read(f"r{n}", f"k{n}", limit=1400)) for n in range(MAX_QUEUED)))
    world.finish_turns()
    assert transport.producerState == "paused"
    world.clock.advance(0.3)
    for n in range(MAX_QUEUED - 2):
        answer(world, f"r{n}")
        world.finish_turns()
    assert transport.producerState == "producing"
    limit = 900 * MS
    transport.socket = SimpleNamespace(recv=lambda *_: b"/", fileno=lambda: -1)  # more is unread
    made.dataReceived(query(read("waited", "k", limit=900)))
    transport.socket = None
    made.dataReceived(query(read("waited-too", "k", limit=900)))
    world.clock.advance(0.1)
    made.dataReceived(query(read("in-time", "k", limit=900)))
    expires = {held.statement.id: held.expires for held, _ in world.backend.out}
    assert expires["waited"] == expires["waited-too"] - ORDER_MARGIN == paused_at + limit - ORDER_MARGIN
    assert expires["in-time"] == world.gateway.now() + limit


# Guards against a pause that counts for good, so that every later command of the connection is refused.
def test_a_pause_of_reading_no_longer_counts_once_a_whole_large_message_was_read():
    world = World(replicas=4, budget=MemoryBudget(80_000))
    (made, transport), (other, _) = world.connect(), world.connect()
    other.dataReceived(query(write("other").replace("9f03", "9f" * 15_000)))
    large = query(write("large", "k", limit=900).replace("9f03", "9f" * 15_000))
    made.dataReceived(large[:100])
    assert transport.producerState == "paused"
    answer(world, "other")
    world.clock.advance(0.3)
    assert transport.read_size == len(large) - 100  # the last read brings as much as was asked for
    made.dataReceived(large[100:])
    answer(world, "large")
    world.clock.advance(1)
    made.dataReceived(query(read("next", limit=480)))
    held = next(held for held, _ in world.backend.out if held.statement.id == "next")
    assert held.expires == world.gateway.now() + 480 * MS


@pytest.mark.parametrize("answered", [(), (5,), range(1, 9)], ids=["none", "one", "all but the first"])
def test_a_last_command_with_the_shortest_time_limit_is_answered_or_refused_in_time(answered):
    world = World(replicas=4)
    made, transport = world.connect()
    made.dataReceived(b"".join(query(read(f"r{n}", f"k{n}", limit=1400)) for n in range(9)))
    made.dataReceived(query(read("last", "k9", limit=300)))
    for n in answered:
        answer(world, f"r{n}")
    if "last" in sent(world):
        answer(world, "last")
    world.clock.advance(0.28)
    world.clock.advance(0)
    assert transport.value().count(READY) == 10 and not world.gateway.unanswered
    assert transport.value().count(b"C53300\0") == 10 - len(answered) - len(answered) // 8
    assert transport.value().endswith(b"last" + READY) == (len(answered) == 8)


@pytest.mark.parametrize("end", ["closed", "Terminate", "found gone"])
def test_all_commands_of_a_client_that_left_are_withdrawn(end):
    world = World(replicas=4)
    made, transport = world.connect()
    made.dataReceived(b"".join(query(read(f"r{n}", f"k{n}")) for n in range(20)))
    assert world.gateway.unanswered == MAX_OPEN and len(world.factory.open_ids) == 20
    if end == "closed":
        made.connectionLost()
    elif end == "Terminate":
        made.dataReceived(TERMINATE)
    else:
        made._session.client_left = True
        answer(world, "r0")
    assert world.gateway.unanswered == 0 and not world.factory.open_ids and transport.value() == b""
    assert world.gateway.counts["left"] == MAX_OPEN - (end == "found gone")
    assert sent(world) == [f"r{n}" for n in range(MAX_OPEN)]
    answer(world, "r1")
    assert transport.value() == b""


@pytest.mark.parametrize("behind", [0, 3, MAX_OPEN, 20])
def test_stop_answers_everything_that_was_read_in_order(behind):
    world = World(replicas=4)
    made, transport = world.connect()
    made.dataReceived(b"".join(query(read(f"r{n}", f"k{n}", limit=1400)) for n in range(1 + behind)))
    world.factory.close_idle()
    stopped = world.gateway.stop()
    answer(world, "r0")
    assert transport.value().startswith(b"r0" + READY)
    world.clock.advance(1.4)
    world.clock.advance(0)
    assert transport.value().count(READY) == 1 + behind and stopped.called
    assert transport.disconnecting


def test_an_invalid_statement_is_answered_in_order_and_ends_the_connection():
    world = World(replicas=4)
    made, transport = world.connect()
    made.dataReceived(query(read("r0")) + query("SELECT 1") + query(read("r1")))
    assert sent(world) == ["r0"] and not transport.disconnecting
    answer(world, "r0")
    assert transport.value().startswith(b"r0" + READY) and b"C42601\0" in transport.value()
    assert transport.disconnecting and sent(world) == ["r0"]


def test_a_reused_id_is_rejected_in_the_order_of_the_second_command():
    world = World(replicas=4)
    made, transport = world.connect()
    made.dataReceived(query(read("same", "k0")) + query(read("same", "k1")))
    answer(world, "same")
    assert transport.value().startswith(b"same" + READY) and b"C42601\0" in transport.value()


@pytest.mark.parametrize("piece", [1, 7, 64])
def test_commands_split_into_pieces_are_answered_in_order(piece):
    world = World(replicas=4)
    made, transport = world.connect()
    octets = query(read("a", "k0")) + query("") + query(write("b")) + query(STATUS.replace("7f3a", "k")) + query("")
    for at in range(0, len(octets), piece):
        made.dataReceived(octets[at : at + piece])
    assert sent(world) == ["a", "b"]
    answer(world, "b")
    assert sent(world) == ["a", "b", "a3"]
    answer(world, "a3")
    answer(world, "a")
    empty = b"I\0\0\0\4" + READY
    assert transport.value() == b"a" + READY + empty + b"b" + READY + b"a3" + READY + empty


def test_further_requests_of_a_connection_are_limited_to_half_of_the_server_connections():
    world = World(connections=40, replicas=4)
    made, _ = world.connect()
    other, _ = world.connect()
    max_servers = world.factory._descriptors.max_servers(world.factory.open_descriptors)
    for connection, name in ((made, "a"), (other, "b")):
        connection.dataReceived(b"".join(query(read(f"{name}{n}", f"{name}{n}")) for n in range(20)))
    assert world.gateway.unanswered == min(2 * MAX_OPEN, max_servers // 2 + max_servers % 2)
    third, _ = world.connect()
    third.dataReceived(query(read("c0", "c0")) + query(read("c1", "c1")))
    assert "c0" in sent(world)


@pytest.mark.parametrize("limit", [0, 5])
def test_an_expired_command_is_refused_in_order_without_ending_others(limit):
    world = World(replicas=4)
    made, transport = world.connect()
    made.dataReceived(query(read("a", "k0")) + query(read("over", "k1", limit)) + query(read("b", "k2")))
    assert sent(world) == ["a", "b"] and not transport.disconnecting
    assert {held.expires - world.gateway.now() for held, _ in world.backend.out} == {460 * MS, 480 * MS}
    answer(world, "b")
    answer(world, "a")
    first, second, third = transport.value().split(READY)[:3]
    assert first == b"a" and b"C53300\0" in second and third == b"b"
