"""What a gateway makes of things, for the log: totals, and the servers that stand out. No I/O; bounded in length."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from typing import Any

from yardbank.gateway.api import MS, ServerSpec
from yardbank.policy import FULL_LATENCY_RATIO, Router, Server

MOST_SERVERS = 10  # that stand out; a line stays under 4 KiB, as collectors cut longer ones
MOST_ENDS = 10
MOST_GROUPS = 16
EASY_LAG = 1000 * MS  # a copy that is further behind stands out


def server_line(server: Server, spec: ServerSpec, connections: int) -> dict[str, Any]:
    """One server as the module sees it; lag in ms, load as it last told."""
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


def _outstanding(server: Server, router: Router) -> float:
    """How much a server stands out: doubt first, then what fills or strains it; 0: it does not."""
    doubt = (
        100.0 * server.silent + 50.0 * (server.failures > 0) + 20.0 * (server.draining or server.overload_backoff > 0)
    )
    told = server.load if router.table.load_of(router.now, server) is not None else 0.0
    strained = server.latency_ratio if server.latency_ratio > FULL_LATENCY_RATIO else 0.0
    behind = 5.0 if server.lag > EASY_LAG and not server.is_primary() else 0.0
    return doubt + 10.0 * (told > 1.0) + behind + strained + len(server.in_flight) / max(server.limit, 1.0)


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
    ends: Counter[str],
) -> dict[str, Any]:
    """Totals by role, what admission goes by, groups that are looked at first, and the servers that stand out."""
    known = {name: router.servers[numbers[name]] for name in specs if numbers[name] in router.servers}
    marked = sorted(((_outstanding(server, router), name) for name, server in known.items()), reverse=True)
    out = [name for weight, name in marked[:MOST_SERVERS] if weight > 0]
    wary = [name for name, number in groups.items() if router.selection.cautious_until.get(number, 0) > router.now]
    primaries = [server for server in known.values() if server.is_primary()]
    return {
        "held": len(router.queue),
        "ends": dict(ends.most_common(MOST_ENDS)),
        "wanted_and_good": [  # lately: what admission goes by
            round(router.admission.recent_attempts, 1),
            round(router.admission.recent_successes, 1),
        ],
        "positions_ahead": router.sessions.positions_ahead,
        "shed": {str(reason): count for reason, count in router.shed.items()},
        "share": round(router.admission.admitted_share(), 2),  # of what is asked that is let through; 1 and more: all
        "looked_at_first": len(wary),
        "groups_looked_at": wary[:MOST_GROUPS],
        "primaries": _totals(primaries, router),
        "replicas": _totals([server for server in known.values() if not server.is_primary()], router),
        "connections": sum(connections.values()),
        "servers": {name: server_line(known[name], specs[name], connections.get(name, 0)) for name in out},
    }
