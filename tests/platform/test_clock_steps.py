"""The wall clock is set while the program runs: what is known of servers stays dated by real time."""

import orjson
import pytest

from tests.support.platform import ENTRY, HEAD, chunk, connected, service
from yardbank.gateway import clock
from yardbank.gateway.api import MS, SECOND
from yardbank.platform import service as program

HOUR = 3600.0


@pytest.mark.parametrize("step", [HOUR, 5.0, -5.0, -HOUR])
def test_a_server_that_starts_after_the_wall_clock_was_set_still_counts_as_cold(tmp_path, monkeypatch, step):
    began = program.time.time()
    made, reactor, _, _ = service(tmp_path)
    monkeypatch.setattr(program.time, "time", lambda: began + step)
    made.gateway._endpoints._wall = _current(made.gateway._endpoints._wall)
    watch, _, _ = connected(reactor)
    started_ms = int(began * 1000)
    document = {"generation": 50, "reset": False, "instances": [{**ENTRY, "startedAtMs": started_ms}]}
    watch.dataReceived(HEAD + chunk(orjson.dumps(document) + b"\n"))
    (server,) = made.gateway._router.servers.values()
    assert abs(server.started - started_ms * MS) < SECOND


def _current(wall):
    """The clock that the program was given; ``time.time`` as it is bound at the call, not at the import."""
    return (lambda: program.time.time()) if getattr(wall, "__name__", "") == "time" else wall


def test_a_start_is_converted_by_the_difference_of_the_clocks():
    assert clock.started_at(100 * SECOND, 5000.0, 4990.0) == 90 * SECOND
