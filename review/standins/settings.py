"""Settings of small deployments, in the form of the first message's ``env``; figures are those of the site files."""

from __future__ import annotations

from typing import Any

MS = 1_000_000
SECOND = 1000 * MS


def _service(name: str, aim: int, limit: int, effect: str, worth: float, late: float) -> dict[str, Any]:
    return {
        "name": name,
        "aim": aim * MS,
        "hard_limit": limit * MS,
        "effect": effect,
        "key_scope": "all",
        "window": 5 * SECOND,
        "credit": worth,
        "late_worth": late,
        "stream": False,
    }


def quito(fleet: int = 3) -> dict[str, Any]:
    """Settings like those of ``quito-porting``."""
    return {
        "ceilings": {
            "cancel": True,
            "connect_timeout": 250 * MS,
            "idle_close": 30 * SECOND,
            "max_attempts": 8,
            "max_retry_after": 2 * SECOND,
            "multiplex": 1,
            "peers": False,
            "probes": True,
            "retry_after": True,
            "second_copies": True,
        },
        "domain": {
            "checks": "bounce",
            "class_read": ["lag_bound", "causal", "mutate"],
            "lag_allowed": [800 * MS, 0, 0],
            "patience": 0,
            "role_in_list": "trailing",
            "session_marks": "brought",
            "tells_position": False,
        },
        "family": "replicas",
        "fleet_size": fleet,
        "period": 5 * MS,
        "registry_mode": "automatic",
        "reporting": {"names": ["x0", "x1", "util"], "via": "pull"},
        "rules": {
            "ask_within": 10 * SECOND,
            "cold": 18 * SECOND,
            "drain_grace": 500 * MS,
            "fall": 1500 * MS,
            "grace_to_answer": 20 * MS,
            "start_capacity": 0.29,
            "tip_multiple": 2.5,
        },
        "services": [
            _service("route-lookup", 500, 1500, "pure", 2.0, 0.0),
            _service("request-status", 750, 2000, "pure", 1.0, 0.2),
            _service("port-commit", 500, 3000, "side_effect", 3.0, 0.7),
        ],
        "zone": "a",
        "dcs": ["a"],
    }


def cuenca(fleet: int = 3) -> dict[str, Any]:
    """Settings like those of ``cuenca-registro``."""
    settings = quito(fleet)
    settings["ceilings"] |= {"max_retry_after": 500 * MS, "second_copies": False}
    settings["period"] = 2 * MS
    settings["domain"] |= {
        "checks": "silent",
        "class_read": ["lag_bound", "causal", "eventual", "eventual", "mutate"],
        "lag_allowed": [3 * SECOND, 0, 0, 0, 0],
        "role_in_list": "static",
        "session_marks": "kept",
    }
    settings["reporting"] = {"names": ["x0", "x1", "backlog"], "via": "piggyback"}
    settings["rules"] |= {"drain_grace": 2 * SECOND, "fall": SECOND, "start_capacity": 0.15}
    settings["services"] = [
        _service("ruteo-consulta", 200, 500, "pure", 2.0, 0.0),
        _service("estado-solicitud", 200, 600, "pure", 1.0, 0.2),
        _service("historial-numero", 400, 1000, "pure", 3.0, 0.0),
        _service("reporte-conciliacion", 1500, 3000, "pure", 4.0, 0.2),
        _service("registro-portacion", 500, 5000, "side_effect", 3.0, 0.5),
    ]
    return settings
