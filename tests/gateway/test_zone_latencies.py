"""What a gateway tells of ways to servers, and what it is told of ways between zones."""

import pytest

from tests.support.virtual_gateway import SERVERS, FakeConnection, Place
from yardbank.gateway import ServerSpec
from yardbank.gateway.api import BROKE_OPENING, MS, ProbeResult
from yardbank.interface import ZoneLatencies


def watched(place):
    seen = []
    place.gateway.latency_listeners.append(lambda now, zone, ns, what: seen.append((now, zone, ns, what)))
    return seen


def test_connects_that_came_up_and_probes_answered_in_time_are_told_with_the_servers_zone():
    place = Place()
    place.gateway.apply_list([SERVERS[0], ServerSpec("c", "g", "b", "h", 2)])
    place.gateway.latency_listeners.append(lambda *told: 1 / 0)  # another's error
    seen = watched(place)
    place.backend.mode = "slow"
    place.gateway.ask("c", lambda *told: None)
    place.pass_time(0.03)
    ((server, ready, lost),) = place.backend.waiting
    place.backend.position = None
    connection = FakeConnection(place.backend, server, lost)
    ready(connection)
    place.pass_time(0.02)
    connection.probes.pop()(ProbeResult({"": (1,)}, False))
    now = place.gateway.now()
    assert [(zone, round(ns / MS), what) for _, zone, ns, what in seen] == [("b", 30, "connect"), ("b", 20, "probe")]
    assert seen[1][0] == now
    place.gateway.ask("c", lambda *told: None)
    connection.probes.pop()(None)  # no sense
    place.gateway.ask("c", lambda *told: None)
    place.pass_time(0.6)
    connection.probes.pop()(ProbeResult({"": (1,)}, False))  # too late
    assert len(seen) == 2


def test_a_connection_that_broke_while_opening_and_a_server_that_moved_tell_nothing():
    place = Place()
    seen = watched(place)
    place.backend.mode = "slow"
    place.gateway.ask("c", lambda *told: None)
    place.backend.waiting[0][2](BROKE_OPENING)
    server, ready, lost = place.backend.waiting[1]
    ready(FakeConnection(place.backend, server, lost))
    assert [what for *_, what in seen] == ["probe"]  # how long the second opening took is not known
    place.gateway.apply_list([SERVERS[0], ServerSpec("c", "g", "far", "elsewhere", 9)])
    place.gateway._endpoints.latency_measured(server, 5, "connect")
    assert len(seen) == 1


def test_ways_are_told_to_the_module_where_they_differ_and_bad_ones_change_nothing():
    place = Place()
    told = []
    handle = place.gateway._router.handle
    place.gateway._router.handle = lambda now, event: told.append(event) or handle(now, event)
    ways = [("b", 20 * MS, 0)]
    place.gateway.apply_zone_latencies(ways)
    place.gateway.apply_zone_latencies(tuple(ways))
    with pytest.raises(ValueError, match="negative"):
        place.gateway.apply_zone_latencies([("b", -1, 0)])
    assert told == [ZoneLatencies((("b", 20 * MS, 0),))] and place.gateway._router.table.zone_latencies == {
        "b": (20 * MS, 20 * MS)
    }
    place.gateway.apply_zone_latencies([])
    assert told[1:] == [ZoneLatencies()] and place.gateway._router.table.zone_latencies == {}


def test_with_ways_a_read_goes_where_it_is_there_and_back_soonest():
    place = Place()
    far = ServerSpec("far", "g", "b", "h", 3)
    place.gateway.apply_list([SERVERS[0], ServerSpec("near", "g", "c", "h", 2), far])
    for ways, wanted in (
        ((("b", 300 * MS, 0), ("c", 5 * MS, 0)), "near"),
        ((("b", 5 * MS, 0), ("c", 300 * MS, 0)), "far"),
    ):
        place.gateway.apply_zone_latencies(ways)
        place.ask("read")
        assert place.backend.sent[-1][0] == wanted
        place.backend.to(wanted).answer()
