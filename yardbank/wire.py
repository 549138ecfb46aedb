"""The wire's settings and lists of servers in the interface's terms, each field checked by its name. No I/O."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, TypeVar

from yardbank import interface as api
from yardbank.interface import Effect, MemberState, ReadMode, ReplicaCheck, ReportMode, TokenMode

Meaning = TypeVar("Meaning")

EFFECTS = {"pure": Effect.SAFE, "token": Effect.KEYED, "side_effect": Effect.UNSAFE}
READS = {
    "mutate": ReadMode.WRITE,
    "strong": ReadMode.FRESH,
    "causal": ReadMode.SESSION,
    "lag_bound": ReadMode.BOUNDED,
    "eventual": ReadMode.ANY,
}
CHECKS = {"silent": ReplicaCheck.NONE, "bounce": ReplicaCheck.REFUSE, "await": ReplicaCheck.WAIT}
REPORTS = {"piggyback": ReportMode.ANSWERS, "pull": ReportMode.PROBE, "silent": ReportMode.NONE}
SUBSCRIBES = {"automatic": False, "subscribe": True}  # whether lists come only to those who ask for them
TOKENS = {"brought": TokenMode.CARRIED, "kept": TokenMode.REMEMBERED}
STATES = {"live": MemberState.READY, "quiescing": MemberState.DRAINING, "dead": MemberState.GONE}
LOAD_FIELDS = ("utilization", "util")  # how busy the cores are, as the wire and as the sites call it
NUMBER = (int, float)
MISSING = object()


class WireError(Exception):
    """A message that does not follow the wire; the text names the field."""


def field(message: Any, name: str, kinds: Any, default: Any = MISSING) -> Any:
    """The value of a field, checked for its type; absent or null gives the default, if there is one.

    Raises ``WireError``.
    """
    if not isinstance(message, dict):
        raise WireError(f"expected an object holding '{name}'")
    value = message.get(name)
    if value is None:
        if default is MISSING:
            raise WireError(f"field '{name}' is missing")
        return default
    if not isinstance(value, kinds) or (isinstance(value, bool) and kinds is not bool):
        raise WireError(f"field '{name}' has the wrong type")
    return value


def word(message: Any, name: str, table: Mapping[str, Meaning], default: Any = MISSING) -> Meaning:
    """A field whose value is one of a few words, in the interface's terms. Raises ``WireError``."""
    value = field(message, name, str, default)
    if value not in table:
        raise WireError(f"field '{name}' has the unknown value '{value}'")
    return table[value]


def read_settings(seed: int, env: Any) -> api.Settings:
    """The first message's settings in the interface's terms; unknown keys are skipped. Raises ``WireError``."""
    domain, limits = field(env, "domain", dict), field(env, "ceilings", dict, {})
    rules = field(env, "rules", dict, {})
    bounds, reads = field(domain, "lag_allowed", list, []), field(domain, "class_read", list)
    services = field(env, "services", list)
    reporting = field(env, "reporting", dict, {})
    names = field(reporting, "names", list, None)
    if not all(isinstance(name, str) for name in names or ()):
        raise WireError("field 'names' of 'reporting' has the wrong type")
    if len(reads) < len(services):
        raise WireError("field 'class_read' names too few classes")
    classes = []
    for index, service in enumerate(services):
        bound = {"lag_allowed": bounds[index]} if index < len(bounds) else {}
        classes.append(
            api.RequestClass(
                name=field(service, "name", str),
                latency_objective=field(service, "aim", int),
                deadline=field(service, "hard_limit", int),
                priority_weight=field(service, "credit", NUMBER, 1.0),
                late_weight=field(service, "late_worth", NUMBER, 0.0),
                effect=word(service, "effect", EFFECTS),
                scope=field(service, "key_scope", str, "all"),
                window=field(service, "window", int, 0),
                read=word({"class_read": reads[index]}, "class_read", READS),
                staleness_bound=field(bound, "lag_allowed", int, 0),
            )
        )
    return api.Settings(
        seed=seed,
        zone=field(env, "zone", str, ""),
        gateways=field(env, "fleet_size", int, 1),
        classes=tuple(classes),
        checks=word(domain, "checks", CHECKS, "silent"),
        patience=field(domain, "patience", int, 0),
        tokens=word(domain, "session_marks", TOKENS, "kept"),
        tells_position=field(domain, "tells_position", bool, False),
        reports=word(reporting, "via", REPORTS, "silent"),
        tells_load=any(name in LOAD_FIELDS for name in names or ()),
        report_fields=None if names is None else tuple(names),
        period=field(env, "period", int, 1_000_000),
        max_attempts=field(limits, "max_attempts", int, 1),
        may_cancel=field(limits, "cancel", bool, False),
        may_probe=field(limits, "probes", bool, False),
        connect_timeout=field(limits, "connect_timeout", int, 250_000_000),
        max_retry_after=field(limits, "max_retry_after", int, 0) if field(limits, "retry_after", bool, False) else 0,
        subscribe=word(env, "registry_mode", SUBSCRIBES, "automatic"),
        cold=field(rules, "cold", int, 0),
        cold_share=field(rules, "start_capacity", NUMBER, 1.0),
        only_draining_binds=field(rules, "dropped_stay_open", bool, False),
    )


def read_member(entry: Any) -> api.Member:
    """One line of a server list. Raises ``WireError``."""
    return api.Member(
        server=field(entry, "server", int),
        zone=field(entry, "zone", str, ""),
        group=field(entry, "shard", NUMBER, 0),
        primary=field(entry, "head", NUMBER, 0) == 1,
        state=word(entry, "mode", STATES),
        started=field(entry, "up_since", int, 0),
    )
