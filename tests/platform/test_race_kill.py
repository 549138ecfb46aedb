"""The end that the platform sets: what is owed has its answer before SIGKILL, however late its own deadline is."""

import signal

import pytest

from tests.platform.test_race_program import asked, fleet, until  # noqa: F401 - a fixture
from tests.support.platform import AUTHENTICATED, ENV, READ, READY, START, StringTransport, query, service
from yardbank.gateway.api import MS, SECOND
from yardbank.platform.stop_schedule import HELD_UP, SERVE_ON, StopSchedule

LONGEST, AFTER = 3 * SECOND, 700 * MS  # of the platform's page: SIGKILL comes no sooner than both together


@pytest.mark.parametrize("deadline", [SECOND // 5, SECOND, 3 * SECOND, 4382 * MS, 600 * SECOND])
def test_all_is_answered_before_the_earliest_kill(tmp_path, deadline):
    services = [{**kind, "aim": SECOND // 10, "hard_limit": deadline} for kind in ENV["services"]]
    made, *_ = service(tmp_path, settings={**ENV, "services": services})
    assert SERVE_ON + made.gateway.limits.stop_grace < min(deadline, LONGEST) + AFTER
    schedule = StopSchedule.of(deadline)
    assert schedule.answered_by + HELD_UP < min(deadline, LONGEST) + AFTER
    assert schedule.drain_at <= schedule.answered_by < schedule.gone_by < min(deadline, LONGEST) + AFTER


def short_service(tmp_path):
    """A gateway whose longest deadline is 0.2 s, so that SIGKILL may come 0.9 s after SIGTERM, and a client of it."""
    services = [{**kind, "aim": SECOND // 10, "hard_limit": SECOND // 5} for kind in ENV["services"]]
    made, reactor, log, _ = service(tmp_path, settings={**ENV, "services": services})
    return made, reactor, log


def resting_client(made):
    protocol, transport = made.factory.buildProtocol(None), StringTransport()
    transport.setTcpNoDelay = lambda on: None
    protocol.makeConnection(transport)
    protocol.dataReceived(START + query(""))
    transport.clear()
    return protocol, transport


# Guards against a process that is still there at the earliest kill, as clients that rest do not end their connections.
@pytest.mark.parametrize("held_up", [0, 0.15], ids=["in time", "held up"])
def test_a_process_with_resting_clients_is_gone_before_the_earliest_kill(tmp_path, held_up):
    made, reactor, _ = short_service(tmp_path)
    crowd = [resting_client(made) for _ in range(30)]
    made.signalled(signal.SIGTERM, {})
    reactor.advance(0.59)
    reactor.advance(0.01 + held_up)
    for _ in range(10):
        reactor.advance(0.02)
        if reactor.stops:
            break
    assert reactor.stops == 1 and reactor.seconds() < 0.9 and all(far.disconnecting for _, far in crowd)


# Guards against a stop that counts its grace from its own late begin: SIGKILL found the request unanswered.
def test_a_request_that_a_held_up_process_reads_late_has_its_answer_before_the_earliest_kill(tmp_path):
    made, reactor, _ = short_service(tmp_path)
    protocol, transport = resting_client(made)
    made.signalled(signal.SIGTERM, {})
    reactor.advance(0.59)
    reactor.rightNow += 0.15  # held up: sockets are looked at first, then the timers that are due
    protocol.dataReceived(query(READ.replace("cluster=2", "cluster=3")))
    assert made.gateway.unanswered == 1
    while reactor.seconds() < 0.8:
        reactor.advance(0.02)
    assert b"C53300\0" in transport.value() and made.gateway.unanswered == 0


@pytest.mark.parametrize("fleet", [600], indirect=True)
def test_a_request_at_a_server_that_hangs_has_its_word_though_its_deadline_is_minutes_away(fleet):  # noqa: F811
    client = fleet.client()
    client.sendall(asked("owed", 500_000))
    server = fleet.opening(0)
    server.sendall(AUTHENTICATED)
    assert b"SELECT" in server.recv(1000)
    fleet.process.send_signal(signal.SIGTERM)
    assert b"C53300\0" in until(client, READY)  # a read: to try again is harmless
    assert fleet.process.wait(60) == 0
