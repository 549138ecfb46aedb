"""Decodes settings and server lists of the wire protocol into ``yardbank.interface`` types, checking each field.

No I/O.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, TypeVar

from yardbank import interface as api
from yardbank.interface import Effect, MemberState, ReadMode, ReplicaCheck, ReportMode, TokenMode

Meaning = TypeVar("Meaning")

EFFECTS = {"pure": Effect.SAFE, "token": Effect.KEYED, "side_effect": Effect.UNSAFE}
READ_MODES = {
    "mutate": ReadMode.WRITE,
    "strong": ReadMode.FRESH,
    "causal": ReadMode.SESSION,
    "lag_bound": ReadMode.BOUNDED,
    "eventual": ReadMode.ANY,
}
REPLICA_CHECKS = {"silent": ReplicaCheck.NONE, "bounce": ReplicaCheck.REFUSE, "await": ReplicaCheck.WAIT}
REPORT_MODES = {"piggyback": ReportMode.ANSWERS, "pull": ReportMode.PROBE, "silent": ReportMode.NONE}
SUBSCRIBE_MODES = {"automatic": False, "subscribe": True}  # whether server lists are only sent to subscribers
TOKEN_MODES = {"brought": TokenMode.CARRIED, "kept": TokenMode.REMEMBERED}
MEMBER_STATES = {"live": MemberState.READY, "quiescing": MemberState.DRAINING, "dead": MemberState.GONE}
LOAD_FIELDS = ("utilization", "util")  # names of the CPU load, on the wire and in site files
NUMBER_TYPES = (int, float)
MISSING = object()


class WireError(Exception):
    """A message that violates the wire protocol; the text names the field."""


def get_field(message: Any, name: str, types: Any, default: Any = MISSING) -> Any:
    """Return a field's value after checking its type; an absent or null field yields the default, if there is one.

    Raises ``WireError`` if the field is missing or has the wrong type.
    """
    if not isinstance(message, dict):
        raise WireError(f"expected an object that contains '{name}'")
    value = message.get(name)
    if value is None:
        if default is MISSING:
            raise WireError(f"field '{name}' is missing")
        return default
    if not isinstance(value, types) or (isinstance(value, bool) and types is not bool):
        raise WireError(f"field '{name}' has the wrong type")
    return value


def get_enum(message: Any, name: str, table: Mapping[str, Meaning], default: Any = MISSING) -> Meaning:
    """Return a text field translated by ``table``. Raises ``WireError`` for a text that is not in the table."""
    value = get_field(message, name, str, default)
    if value not in table:
        raise WireError(f"field '{name}' has the unknown value '{value}'")
    return table[value]


def read_settings(seed: int, env: Any) -> api.Settings:
    """Decode the settings from the first message; unknown keys are ignored. Raises ``WireError``."""
    domain, limits = get_field(env, "domain", dict), get_field(env, "ceilings", dict, {})
    rules = get_field(env, "rules", dict, {})
    bounds, read_modes = get_field(domain, "lag_allowed", list, []), get_field(domain, "class_read", list)
    services = get_field(env, "services", list)
    reporting = get_field(env, "reporting", dict, {})
    report_fields = get_field(reporting, "names", list, None)
    if not all(isinstance(name, str) for name in report_fields or ()):
        raise WireError("field 'names' of 'reporting' has the wrong type")
    if len(read_modes) < len(services):
        raise WireError("field 'class_read' has fewer entries than 'services'")
    classes = []
    for index, service in enumerate(services):
        bound = {"lag_allowed": bounds[index]} if index < len(bounds) else {}
        classes.append(
            api.RequestClass(
                name=get_field(service, "name", str),
                latency_objective=get_field(service, "aim", int),
                deadline=get_field(service, "hard_limit", int),
                priority_weight=get_field(service, "credit", NUMBER_TYPES, 1.0),
                late_weight=get_field(service, "late_worth", NUMBER_TYPES, 0.0),
                effect=get_enum(service, "effect", EFFECTS),
                scope=get_field(service, "key_scope", str, "all"),
                window=get_field(service, "window", int, 0),
                read=get_enum({"class_read": read_modes[index]}, "class_read", READ_MODES),
                staleness_bound=get_field(bound, "lag_allowed", int, 0),
            )
        )
    return api.Settings(
        seed=seed,
        zone=get_field(env, "zone", str, ""),
        gateways=get_field(env, "fleet_size", int, 1),
        classes=tuple(classes),
        checks=get_enum(domain, "checks", REPLICA_CHECKS, "silent"),
        patience=get_field(domain, "patience", int, 0),
        tokens=get_enum(domain, "session_marks", TOKEN_MODES, "kept"),
        tells_position=get_field(domain, "tells_position", bool, False),
        reports=get_enum(reporting, "via", REPORT_MODES, "silent"),
        tells_load=any(name in LOAD_FIELDS for name in report_fields or ()),
        report_fields=None if report_fields is None else tuple(report_fields),
        period=get_field(env, "period", int, 1_000_000),
        max_attempts=get_field(limits, "max_attempts", int, 1),
        may_cancel=get_field(limits, "cancel", bool, False),
        may_probe=get_field(limits, "probes", bool, False),
        connect_timeout=get_field(limits, "connect_timeout", int, 250_000_000),
        max_retry_after=get_field(limits, "max_retry_after", int, 0)
        if get_field(limits, "retry_after", bool, False)
        else 0,
        subscribe=get_enum(env, "registry_mode", SUBSCRIBE_MODES, "automatic"),
        cold=get_field(rules, "cold", int, 0),
        cold_share=get_field(rules, "start_capacity", NUMBER_TYPES, 1.0),
        only_draining_binds=get_field(rules, "dropped_stay_open", bool, False),
    )


def read_member(entry: Any) -> api.Member:
    """Decode one entry of a server list. Raises ``WireError``."""
    return api.Member(
        server=get_field(entry, "server", int),
        zone=get_field(entry, "zone", str, ""),
        group=get_field(entry, "shard", NUMBER_TYPES, 0),
        primary=get_field(entry, "head", NUMBER_TYPES, 0) == 1,
        state=get_enum(entry, "mode", MEMBER_STATES),
        started=get_field(entry, "up_since", int, 0),
    )
