"""Latencies of connects and probes that a gateway reports, and zone latencies that it is given."""

import pytest

from tests.support.virtual_gateway import SERVERS, FakeConnection, Place
from yardbank.gateway import ServerSpec
from yardbank.gateway.api import LOST_DURING_CONNECT, MS, ProbeResult
from yardbank.interface import ZoneLatencies


def recorded_latencies(harness):
    seen = []
    harness.gateway.latency_listeners.append(lambda now, zone, ns, kind: seen.append((now, zone, ns, kind)))
    return seen


def test_successful_connects_and_timely_probes_are_reported_with_zone():
    harness = Place()
    harness.gateway.apply_list([SERVERS[0], ServerSpec("c", "g", "b", "h", 2)])
    harness.gateway.latency_listeners.append(lambda *args: 1 / 0)  # an error in another listener has no effect
    seen = recorded_latencies(harness)
    harness.backend.mode = "slow"
    harness.gateway.ask("c", lambda *args: None)
    harness.pass_time(0.03)
    ((server, ready, lost),) = harness.backend.waiting
    harness.backend.position = None
    connection = FakeConnection(harness.backend, server, lost)
    ready(connection)
    harness.pass_time(0.02)
    connection.probes.pop()(ProbeResult({"": (1,)}, False))
    now = harness.gateway.now()
    assert [(zone, round(ns / MS), kind) for _, zone, ns, kind in seen] == [("b", 30, "connect"), ("b", 20, "probe")]
    assert seen[1][0] == now
    harness.gateway.ask("c", lambda *args: None)
    connection.probes.pop()(None)  # malformed answer
    harness.gateway.ask("c", lambda *args: None)
    harness.pass_time(0.6)
    connection.probes.pop()(ProbeResult({"": (1,)}, False))  # answered too late
    assert len(seen) == 2


def test_reopened_connection_and_moved_server_report_no_latency():
    harness = Place()
    seen = recorded_latencies(harness)
    harness.backend.mode = "slow"
    harness.gateway.ask("c", lambda *args: None)
    harness.backend.waiting[0][2](LOST_DURING_CONNECT)
    server, ready, lost = harness.backend.waiting[1]
    ready(FakeConnection(harness.backend, server, lost))
    assert [kind for *_, kind in seen] == ["probe"]  # how long the second connect took is not known
    harness.gateway.apply_list([SERVERS[0], ServerSpec("c", "g", "far", "elsewhere", 9)])
    harness.gateway._endpoints.latency_measured(server, 5, "connect")
    assert len(seen) == 1


def test_router_is_told_of_changed_zone_latencies_and_invalid_ones_are_rejected():
    harness = Place()
    events = []
    handle = harness.gateway._router.handle
    harness.gateway._router.handle = lambda now, event: events.append(event) or handle(now, event)
    latencies = [("b", 20 * MS, 0)]
    harness.gateway.apply_zone_latencies(latencies)
    harness.gateway.apply_zone_latencies(tuple(latencies))
    with pytest.raises(ValueError, match="negative"):
        harness.gateway.apply_zone_latencies([("b", -1, 0)])
    assert events == [ZoneLatencies((("b", 20 * MS, 0),))] and harness.gateway._router.table.zone_latencies == {
        "b": (20 * MS, 20 * MS)
    }
    harness.gateway.apply_zone_latencies([])
    assert events[1:] == [ZoneLatencies()] and harness.gateway._router.table.zone_latencies == {}


def test_read_goes_to_zone_with_lowest_round_trip():
    harness = Place()
    far = ServerSpec("far", "g", "b", "h", 3)
    harness.gateway.apply_list([SERVERS[0], ServerSpec("near", "g", "c", "h", 2), far])
    for latencies, expected in (
        ((("b", 300 * MS, 0), ("c", 5 * MS, 0)), "near"),
        ((("b", 5 * MS, 0), ("c", 300 * MS, 0)), "far"),
    ):
        harness.gateway.apply_zone_latencies(latencies)
        harness.ask("read")
        assert harness.backend.sent[-1][0] == expected
        harness.backend.to(expected).answer()
