"""The gateway's status line in the log: bounded in length, whatever state its servers are in."""

import json

from tests.support.virtual_gateway import Place
from yardbank.gateway.api import MS, ServerSpec
from yardbank.gateway.view import MAX_SERVERS


def harness_with_servers(count):
    harness = Place(gateways=200)
    specs = [ServerSpec(f"s-{n:08x}", str(n // 6), "quito-norte", "127.0.0.1", n + 1, n % 6 == 0) for n in range(count)]
    harness.gateway.apply_list(specs)
    return harness


def test_healthy_fleet_is_reported_by_totals_only():
    view = harness_with_servers(86).gateway.view()
    assert view["servers"] == {} and view["groups_looked_at"] == [] and view["share"] >= 1
    assert view["primaries"]["count"] == 15 and view["replicas"]["count"] == 71


def test_line_stays_short_when_every_server_is_unhealthy():
    harness = harness_with_servers(120)
    router = harness.gateway._router
    for server in router.servers.values():
        server.silent, server.failures, server.latency_ratio, server.load, server.lag = (
            True,
            3,
            3.999,
            1.123,
            12345 * MS,
        )
    for group in range(20):
        router.selection.load_probes_until[group] = 1 << 62
    for number in range(64):
        harness.gateway._attempts.failure_counts[
            f"error: a rather long reason that was seen once and number {number:02} of it"
        ] = 12345
    view = harness.gateway.view()
    assert len(view["servers"]) == MAX_SERVERS
    assert len(json.dumps(view)) < 4096 - 200  # room for the fields that the log adds


def test_worst_servers_and_reasons_of_shed_requests_are_listed():
    harness = harness_with_servers(86)
    router = harness.gateway._router
    worst = router.servers[harness.gateway._endpoints.server_numbers["s-00000007"]]
    worst.silent = True
    router.servers[harness.gateway._endpoints.server_numbers["s-00000010"]].lag = 5000 * MS
    router.shed_counts["share"] += 3
    view = harness.gateway.view()
    assert list(view["servers"]) == ["s-00000007", "s-00000010"]
    assert view["servers"]["s-00000007"]["silent"] and view["shed"] == {"share": 3}
