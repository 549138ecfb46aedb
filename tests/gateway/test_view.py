"""The line that tells what a gateway makes of things: short, whatever state its servers are in."""

import json

from tests.support.virtual_gateway import Place
from yardbank.gateway.api import MS, ServerSpec
from yardbank.gateway.view import MAX_SERVERS


def fleet_of(count):
    place = Place(gateways=200)
    specs = [ServerSpec(f"s-{n:08x}", str(n // 6), "quito-norte", "127.0.0.1", n + 1, n % 6 == 0) for n in range(count)]
    place.gateway.apply_list(specs)
    return place


def test_a_calm_fleet_is_told_by_totals_alone():
    view = fleet_of(86).gateway.view()
    assert view["servers"] == {} and view["groups_looked_at"] == [] and view["share"] >= 1
    assert view["primaries"]["count"] == 15 and view["replicas"]["count"] == 71


def test_the_line_stays_short_when_every_server_is_in_trouble():
    place = fleet_of(120)
    router = place.gateway._router
    for server in router.servers.values():
        server.silent, server.failures, server.latency_ratio, server.load, server.lag = (
            True,
            3,
            3.999,
            1.123,
            12345 * MS,
        )
    for group in range(20):
        router.selection.cautious_until[group] = 1 << 62
    for number in range(64):
        place.gateway._attempts.failure_counts[f"error: a rather long reason that was seen once and number {number:02} of it"] = (
            12345
        )
    view = place.gateway.view()
    assert len(view["servers"]) == MAX_SERVERS
    assert len(json.dumps(view)) < 4096 - 200  # what the log adds of its own


def test_the_worst_stand_out_and_why_requests_were_shed_is_told():
    place = fleet_of(86)
    router = place.gateway._router
    worst = router.servers[place.gateway._endpoints.server_numbers["s-00000007"]]
    worst.silent = True
    router.servers[place.gateway._endpoints.server_numbers["s-00000010"]].lag = 5000 * MS
    router.shed["share"] += 3
    view = place.gateway.view()
    assert list(view["servers"]) == ["s-00000007", "s-00000010"]
    assert view["servers"]["s-00000007"]["silent"] and view["shed"] == {"share": 3}
