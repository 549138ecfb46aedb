"""Builds a gateway's status for the log: totals, and the most notable servers. No I/O; bounded in length."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from typing import Any

from yardbank.gateway.api import MS, ServerSpec
from yardbank.policy import FULL_LATENCY_RATIO, Router, Server

MAX_SERVERS = 10  # most notable servers listed; keeps a line under 4 KiB, as log collectors truncate longer ones
MAX_FAILURES_SHOWN = 10
MAX_GROUPS = 16
NOTABLE_LAG = 1000 * MS  # a replica with a greater lag is notable


def server_view(server: Server, spec: ServerSpec, connections: int) -> dict[str, Any]:
    """One server as the router sees it; lag in ms, load as last reported."""
    return {
        "group": spec.group,
        "zone": spec.zone,
        "primary": server.is_primary(),
        "state": spec.state,
        "out": len(server.in_flight),
        "limit": round(server.limit, 1),
        "strain": round(server.latency_ratio, 2),
        "load": round(server.load, 2),
        "lag_ms": server.lag // MS,
        "failures": server.failures,
        "silent": server.silent,
        "connections": connections,
    }


def _notability(server: Server, router: Router) -> float:
    """Return how notable a server is: suspected failures first, then high load or latency; 0: not at all."""
    suspicion = (
        100.0 * server.silent + 50.0 * (server.failures > 0) + 20.0 * (server.draining or server.overload_backoff > 0)
    )
    known_load = server.load if router.table.reported_load(router.now, server) is not None else 0.0
    latency = server.latency_ratio if server.latency_ratio > FULL_LATENCY_RATIO else 0.0
    behind = 5.0 if server.lag > NOTABLE_LAG and not server.is_primary() else 0.0
    return suspicion + 10.0 * (known_load > 1.0) + behind + latency + len(server.in_flight) / max(server.limit, 1.0)


def _totals(servers: list[Server], router: Router) -> dict[str, Any]:
    count = max(len(servers), 1)
    return {
        "count": len(servers),
        "out": sum(len(server.in_flight) for server in servers),
        "limit": round(sum(server.limit for server in servers) / count, 1),
        "strain": round(sum(router.table.expected_latency_ratio(router.now, server) for server in servers) / count, 2),
        "doubted": sum(server.ejected_until > 0 for server in servers),
        "resting": sum(server.overload_until > router.now for server in servers),
    }


def gateway_view(
    router: Router,
    specs: Mapping[str, ServerSpec],
    numbers: Mapping[str, int],
    connections: Mapping[str, int],
    groups: Mapping[str, int],
    failure_counts: Counter[str],
) -> dict[str, Any]:
    """Totals by role, admission figures, groups whose servers are probed before use, and the most notable servers."""
    known = {name: router.servers[numbers[name]] for name in specs if numbers[name] in router.servers}
    ranked = sorted(((_notability(server, router), name) for name, server in known.items()), reverse=True)
    notable = [name for weight, name in ranked[:MAX_SERVERS] if weight > 0]
    cautious_groups = [
        name for name, number in groups.items() if router.selection.load_probes_until.get(number, 0) > router.now
    ]
    primaries = [server for server in known.values() if server.is_primary()]
    return {
        "held": len(router.queue),
        "ends": dict(failure_counts.most_common(MAX_FAILURES_SHOWN)),
        "wanted_and_good": [  # recent attempts and successes, on which admission is based
            round(router.admission.recent_attempts, 1),
            round(router.admission.recent_successes, 1),
        ],
        "positions_ahead": router.sessions.positions_ahead,
        "shed": {str(reason): count for reason, count in router.shed_counts.items()},
        "share": round(router.admission.admitted_share(), 2),  # share of requests that is admitted; 1 or more: all
        "looked_at_first": len(cautious_groups),
        "groups_looked_at": cautious_groups[:MAX_GROUPS],
        "primaries": _totals(primaries, router),
        "replicas": _totals([server for server in known.values() if not server.is_primary()], router),
        "connections": sum(connections.values()),
        "servers": {name: server_view(known[name], specs[name], connections.get(name, 0)) for name in notable},
    }
