"""The program's settings for a plan, in the platform's format. No I/O."""

from __future__ import annotations

from typing import Any

from yardbank.testing.soak.plan import Plan

NS_PER_SECOND = 10**9


def settings(plan: Plan) -> dict[str, Any]:
    """The router's settings, in the platform's format."""
    services = []
    for name, deadline in plan.deadlines.items():
        nanoseconds = int(deadline * NS_PER_SECOND)
        effect = plan.effect if name == "commit" else "pure"
        services.append(
            {
                "name": name,
                "aim": nanoseconds // 2,
                "hard_limit": nanoseconds,
                "effect": effect,
                "key_scope": "cell",
                "window": int(plan.window * NS_PER_SECOND) if effect == "token" else 0,
                "credit": 1.0,
                "late_worth": 0.3,
            }
        )
    replication = plan.replication
    bound = 1.0 if replication is None else replication.staleness_bound
    return {
        "domain": {
            "checks": "bounce" if replication is None or replication.checked else "silent",
            "class_read": ["mutate" if name == "commit" else "lag_bound" for name in plan.deadlines],
            "lag_allowed": [0 if name == "commit" else int(bound * NS_PER_SECOND) for name in plan.deadlines],
            "session_marks": "brought",
        },
        "reporting": {} if replication is None else {"names": ["x0", "x1", "utilization"], "via": "pull"},
        "services": services,
        "ceilings": {
            "probes": replication is not None,
            "max_attempts": 4,
            "cancel": True,
            "connect_timeout": NS_PER_SECOND // 4,
            "idle_close": 20 * NS_PER_SECOND,
            "retry_after": True,
            "max_retry_after": NS_PER_SECOND,
        },
    }
