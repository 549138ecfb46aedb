"""The end that the platform sets: what is owed has its answer before SIGKILL, however late its own deadline is."""

import signal

import pytest

from tests.platform.test_race_program import asked, fleet, until  # noqa: F401 - a fixture
from tests.support.platform import AUTHENTICATED, ENV, READY, service
from yardbank.gateway.api import MS, SECOND
from yardbank.platform.service import LINGER

LONGEST, AFTER = 3 * SECOND, 700 * MS  # of the platform's page: SIGKILL comes no sooner than both together


@pytest.mark.parametrize("deadline", [SECOND // 5, SECOND, 3 * SECOND, 4382 * MS, 600 * SECOND])
def test_all_is_answered_before_the_earliest_kill(tmp_path, deadline):
    services = [{**kind, "aim": SECOND // 10, "hard_limit": deadline} for kind in ENV["services"]]
    made, *_ = service(tmp_path, settings={**ENV, "services": services})
    assert LINGER + made.gateway.limits.stop_grace < min(deadline, LONGEST) + AFTER


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
