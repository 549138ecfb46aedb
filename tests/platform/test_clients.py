"""Client connections, admission and the gateway together."""

from tests.support.platform import READ, READY, WRITE, World, query
from yardbank.gateway import Reply
from yardbank.pg import messages as pg
from yardbank.pg.wire import Frame
from yardbank.platform.admission import State
from yardbank.platform.client import EMPTY_QUERY_ANSWER
from yardbank.platform.pipeline import MAX_OPEN


def test_requests_are_answered_in_order_with_their_own_answers():
    world = World()
    made, transport = world.connect()
    made.dataReceived(query(READ) + query(WRITE) + query(""))  # one row: the write waits for the read
    assert len(world.backend.out) == 1 and world.factory.open_ids == {"a1", "a2"}
    world.backend.out[0][1].attempt_done(Reply("ok", b"first"))
    assert transport.value() == b"first" + READY and world.backend.out[1][0].statement.id == "a2"
    assert world.factory.open_ids == {"a2"}
    transport.clear()
    world.backend.out[1][1].attempt_done(Reply("ok", b"second"))
    assert transport.value() == b"second" + READY + EMPTY_QUERY_ANSWER and not world.factory.open_ids
    assert world.factory.admission.count(State.IDLE) == 1


def test_a_refusal_carries_a_retry_delay_and_a_write_that_may_have_run_fails():
    world = World()
    made, transport = world.connect()
    made.dataReceived(query(READ.replace("cluster=2", "cluster=9")))
    fault = pg.read_fault(Frame(transport.value()[0], transport.value()[5:-6]))
    assert fault.state == "53300" and dict(fault.fields)["D"] == "2000"
    transport.clear()
    made.dataReceived(query(WRITE))
    world.backend.out[0][1].attempt_lost("gone")
    assert b"C58000\0" in transport.value() and world.gateway.counts["failed"] == 1


def test_an_invalid_statement_or_a_reused_id_is_an_error_and_leaves_the_open_request_alone():
    world = World()
    first, first_out = world.connect()
    first.dataReceived(query(READ))
    for bad in (READ, READ.replace("c=lookup", "c=none")):
        other, out = world.connect()
        other.dataReceived(query(bad))
        assert b"C42601\0" in out.value() and out.disconnecting
    world.backend.out[0][1].attempt_done(Reply("ok", b"mine"))
    assert first_out.value().startswith(b"mine") and len(world.backend.out) == 1


def test_requests_of_a_disconnected_client_are_withdrawn():
    world = World()
    made, transport = world.connect()
    made.dataReceived(query(READ))
    made.connectionLost()
    assert world.gateway.unanswered == 0 and world.gateway.counts["left"] == 1
    world.backend.out[0][1].attempt_done(Reply("ok", b"late"))
    assert transport.value() == b"" and len(world.factory.admission) == 0 and not world.factory.open_ids


def test_silent_and_partial_clients_time_out_before_idle_ones():
    world = World()
    silent, halting, idle = world.connect(b""), world.connect(), world.connect()
    halting[0].dataReceived(query(READ)[:20])
    world.clock.advance(2.5)
    assert silent[1].disconnecting and halting[1].disconnecting and not idle[1].disconnecting
    assert b"C57P03\0" in silent[1].value()
    for _ in range(40):
        world.clock.advance(0.25)
    assert idle[1].disconnecting


def test_at_the_connection_limit_a_new_client_replaces_a_silent_one_or_is_refused():
    world = World(connections=3)  # one of them is reserved for servers
    silent, busy = world.connect(b""), world.connect()
    busy[0].dataReceived(query(READ))
    world.clock.advance(0.3)
    newcomer = world.connect()
    assert silent[1].disconnecting and not newcomer[1].disconnecting
    late = world.connect(b"")
    assert late[1].disconnecting and ("client_connections_bound", {"bound": 2}) in world.log.lines
    silent[0].connectionLost()
    late[0].connectionLost()
    assert len(world.factory.admission) == 2


def test_a_client_that_does_not_read_has_no_requests_dispatched_and_times_out():
    world = World()
    made, transport = world.connect()
    made.pauseProducing()
    made.dataReceived(query(READ))
    assert not world.backend.out
    made.resumeProducing()
    assert len(world.backend.out) == 1
    world.backend.out[0][1].attempt_done(Reply("ok", b"x"))
    made.pauseProducing()
    made.dataReceived(query(READ))
    world.clock.advance(3.5)
    assert transport.disconnecting


def test_many_queries_at_once_are_limited_in_parallel_and_pause_reading():
    world = World(replicas=4)
    made, transport = world.connect()
    made.dataReceived(b"".join(query(READ.replace("a1", f"q{n}")) for n in range(300)))
    world.finish_turns()
    assert len(world.backend.out) == MAX_OPEN and transport.producerState == "paused"
    for n in range(300):
        assert len(world.backend.out) == min(n + MAX_OPEN, 300) and transport.value().count(READY) == n
        world.backend.out[n][1].attempt_done(Reply("ok", b"."))
        world.finish_turns()
    assert transport.producerState == "producing" and transport.value().count(READY) == 300
