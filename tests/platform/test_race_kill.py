"""The platform's kill after a stop: every open request is answered before SIGKILL, however late its own deadline is."""

import signal

import pytest

from tests.platform.test_race_program import fleet, read_query, receive_until  # noqa: F401 - a fixture
from tests.support.platform import AUTHENTICATED, ENV, READ, READY, START, StringTransport, query, service
from yardbank.gateway.api import MS, SECOND
from yardbank.platform.stop_schedule import MAX_STALL, SERVE_AFTER_SIGNAL, StopSchedule

# By the platform's documentation, SIGKILL comes no sooner than the sum of both.
MAX_GRACE, KILL_AFTER = 3 * SECOND, 700 * MS


@pytest.mark.parametrize("deadline", [SECOND // 5, SECOND, 3 * SECOND, 4382 * MS, 600 * SECOND])
def test_the_stop_schedule_ends_before_the_earliest_kill(tmp_path, deadline):
    services = [{**kind, "aim": SECOND // 10, "hard_limit": deadline} for kind in ENV["services"]]
    made, *_ = service(tmp_path, settings={**ENV, "services": services})
    assert SERVE_AFTER_SIGNAL + made.gateway.limits.stop_grace < min(deadline, MAX_GRACE) + KILL_AFTER
    schedule = StopSchedule.of(deadline)
    assert schedule.answered_by + MAX_STALL < min(deadline, MAX_GRACE) + KILL_AFTER
    assert schedule.drain_at <= schedule.answered_by < schedule.exit_by < min(deadline, MAX_GRACE) + KILL_AFTER


def short_service(tmp_path):
    """A gateway whose longest deadline is 0.2 s, so that SIGKILL may come 0.9 s after SIGTERM."""
    services = [{**kind, "aim": SECOND // 10, "hard_limit": SECOND // 5} for kind in ENV["services"]]
    made, reactor, log, _ = service(tmp_path, settings={**ENV, "services": services})
    return made, reactor, log


def idle_client(made):
    protocol, transport = made.factory.buildProtocol(None), StringTransport()
    transport.setTcpNoDelay = lambda on: None
    protocol.makeConnection(transport)
    protocol.dataReceived(START + query(""))
    transport.clear()
    return protocol, transport


# Guards against a process that still runs at the earliest kill because idle clients do not close their connections.
@pytest.mark.parametrize("stall", [0, 0.15], ids=["in time", "stalled"])
def test_a_process_with_idle_clients_exits_before_the_earliest_kill(tmp_path, stall):
    made, reactor, _ = short_service(tmp_path)
    clients = [idle_client(made) for _ in range(30)]
    made.handle_signal(signal.SIGTERM, {})
    reactor.advance(0.59)
    reactor.advance(0.01 + stall)
    for _ in range(10):
        reactor.advance(0.02)
        if reactor.stops:
            break
    assert reactor.stops == 1 and reactor.seconds() < 0.9 and all(far.disconnecting for _, far in clients)


# Guards against a stop whose grace period counts from its own late start: SIGKILL came before the request was answered.
def test_a_request_read_late_after_a_stall_is_answered_before_the_earliest_kill(tmp_path):
    made, reactor, _ = short_service(tmp_path)
    protocol, transport = idle_client(made)
    made.handle_signal(signal.SIGTERM, {})
    reactor.advance(0.59)
    reactor.rightNow += 0.15  # a stall: sockets are read first, then due timers run
    protocol.dataReceived(query(READ.replace("cluster=2", "cluster=3")))
    assert made.gateway.unanswered == 1
    while reactor.seconds() < 0.8:
        reactor.advance(0.02)
    assert b"C53300\0" in transport.value() and made.gateway.unanswered == 0


@pytest.mark.parametrize("fleet", [600], indirect=True)
def test_stop_refuses_a_request_at_a_hanging_server_long_before_its_deadline(fleet):  # noqa: F811
    client = fleet.client()
    client.sendall(read_query("owed", 500_000))
    server = fleet.accept_opening(0)
    server.sendall(AUTHENTICATED)
    assert b"SELECT" in server.recv(1000)
    fleet.process.send_signal(signal.SIGTERM)
    assert b"C53300\0" in receive_until(client, READY)  # a read, so a retry is safe
    assert fleet.process.wait(60) == 0
