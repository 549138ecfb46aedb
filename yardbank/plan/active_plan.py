"""Decides whether a plan is active for the current server list, and computes the weights that result from it.

No I/O; the wall clock time is passed in.

A plan identifies the list that it was made for by a hash of the servers' names, groups and zones. States and addresses
may change without invalidating it, because the decision module ranks what a gateway observes of a server above its
share anyway. Of two plans for a zone the later one applies. A plan fades: once it is older than its ``fade`` time, its
weights move in steps to equal shares, which they reach at twice that age. The weight of a server that has just started
is scaled by its warmth.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from fractions import Fraction
from typing import Protocol

import xxhash

from yardbank.config.fleet_position import FleetPosition
from yardbank.gateway.api import ServerSpec
from yardbank.plan.aperture import MIN_WEIGHT, ApertureError, aperture
from yardbank.plan.model import warmth_of

FADE_AND_WARMUP_STEPS = 10  # a plan fades and a server warms up in this many steps


@dataclass(slots=True, frozen=True)
class MadePlan:
    """A plan as read from its file, for the gateways of one zone. Times are wall clock, in seconds."""

    zone: str
    list_hash: str
    made: float
    fade: float  # age at which it starts to fade to equal shares; 0: never
    weights: Mapping[str, float]
    proven: bool = True
    switchover: Mapping[str, str] = field(default_factory=dict)  # by group: the server that should take over as primary
    relaxed: str = ""  # names of the limits that were dropped to make the plan feasible


@dataclass(slots=True, frozen=True)
class Warming:
    """How servers warm up after a start."""

    cold: float = 0.0  # seconds until a server is warm
    share: float = 1.0  # share of its capacity at the start


@dataclass(slots=True, frozen=True)
class RoutingView:
    """The list that this gateway routes by, and the status of the plan."""

    servers: tuple[ServerSpec, ...]
    note: str  # empty without a plan; else which plan is active, or why none is
    next_at: float | None = None  # when the weights change next


class _ListedServer(Protocol):
    @property
    def name(self) -> str: ...
    @property
    def group(self) -> str: ...
    @property
    def zone(self) -> str: ...


def list_hash(servers: Iterable[_ListedServer]) -> str:
    """Hash by which plans identify a list."""
    hasher = xxhash.xxh3_64()
    for server in sorted(servers, key=lambda s: s.name):
        hasher.update(f"{server.name}\0{server.group}\0{server.zone}\n".encode())
    return hasher.hexdigest()


def choose(plans: Sequence[MadePlan], zone: str, servers: Sequence[ServerSpec]) -> tuple[MadePlan | None, str]:
    """Return the plan that applies to a zone, or None and the reason. A plan for zone ``""`` applies to every zone."""
    applicable = sorted((p for p in plans if p.zone in ("", zone)), key=lambda p: (p.made, p.zone != ""))
    if not applicable:
        return None, f"no plan for zone {zone}" if plans else ""
    latest = applicable[-1]
    if any(p.made == latest.made and p.zone == latest.zone and p != latest for p in applicable[:-1]):
        return None, "held back: two plans made at the same moment"
    current_hash = list_hash(servers)
    if latest.list_hash != current_hash:
        return None, f"held back: made for list {latest.list_hash}, and this is {current_hash}"
    remarks = ["not proven optimal"] * (not latest.proven) + [f"without its limits of {latest.relaxed}"] * bool(
        latest.relaxed
    )
    return latest, f"plan of {latest.made:.0f} in force" + (f" ({', '.join(remarks)})" if remarks else "")


def _remaining_strength(plan: MadePlan, wall: float) -> tuple[float, float | None]:
    """Return how strongly a plan still applies, from 1 to 0, and when that changes next."""
    if plan.fade <= 0:
        return 1.0, None
    overdue = max(0.0, wall - plan.made - plan.fade) / plan.fade
    step = int(overdue * FADE_AND_WARMUP_STEPS + 1e-6)  # at the announced time the step has begun
    if step >= FADE_AND_WARMUP_STEPS:
        return 0.0, None
    return 1 - step / FADE_AND_WARMUP_STEPS, plan.made + plan.fade * (1 + (step + 1) / FADE_AND_WARMUP_STEPS)


def _warmth(server: ServerSpec, warming: Warming, wall: float) -> tuple[float, float | None]:
    """Return a server's warmth, rounded down to a step so as not to overestimate it, and when the next step is due."""
    age = wall - server.started
    if not server.started or warming.cold <= 0 or age >= warming.cold:
        return 1.0, None
    step = max(0, int(age / warming.cold * FADE_AND_WARMUP_STEPS + 1e-6))
    step_seconds = warming.cold / FADE_AND_WARMUP_STEPS
    return warmth_of(step * step_seconds, warming.cold, warming.share), server.started + (step + 1) * step_seconds


def view(
    servers: Sequence[ServerSpec],
    plans: Sequence[MadePlan],
    zone: str,
    wall: float,
    place: FleetPosition,
    warming: Warming,
) -> RoutingView:
    """Return the servers that this gateway routes to, with weights from the plan or else from the list."""
    plan, note = choose(plans, zone, servers)
    strength, change_at = _remaining_strength(plan, wall) if plan else (0.0, None)
    if plan is not None and not strength:
        note, plan = f"plan of {plan.made:.0f} has faded: equal shares", None
    changes = [change_at] if change_at is not None else []
    weighted: dict[str, ServerSpec] = {}
    for server in servers:
        weight = server.weight
        if plan is not None:
            weight = 1 + (plan.weights.get(server.name, MIN_WEIGHT) - 1) * strength
            warmth, change_at = _warmth(server, warming, wall)
            weight *= warmth
            changes += [change_at] if change_at is not None else []
        weighted[server.name] = _with_weight(server, weight)
    if place.most <= 0:
        return RoutingView(tuple(weighted.values()), note, min(changes, default=None))
    selected: list[ServerSpec] = []
    by_group: dict[str, list[ServerSpec]] = {}
    for server in weighted.values():
        by_group.setdefault(server.group, []).append(server)
    for group in sorted(by_group):
        try:
            selected += _subset(by_group[group], place)
        except ApertureError as error:
            selected += by_group[group]
            note = f"{note}; {group}: {error}: all are used" if note else f"{group}: {error}: all are used"
    return RoutingView(tuple(selected), note, min(changes, default=None))


def _subset(members: list[ServerSpec], position: FleetPosition) -> list[ServerSpec]:
    """Return the servers of one group within the gateway's limit, and always primaries and draining servers."""
    shares = {s.name: Fraction(s.weight) if s.state == "ready" and not s.primary else Fraction(0) for s in members}
    if not any(shares.values()):
        return members
    selection = aperture(shares, position.index, position.gateways, position.most, position.spares)
    selected = []
    for server in members:
        if server.name in selection.weights:
            selected.append(_with_weight(server, selection.weights[server.name]))
        elif server.primary or server.state != "ready":
            selected.append(server)
        elif server.name in selection.spares:
            selected.append(_with_weight(server, MIN_WEIGHT))
    return selected


def _with_weight(server: ServerSpec, weight: float) -> ServerSpec:
    weight = max(MIN_WEIGHT, round(weight, 4))
    if weight == server.weight:
        return server
    return ServerSpec(
        server.name,
        server.group,
        server.zone,
        server.host,
        server.port,
        server.primary,
        server.state,
        server.started,
        weight,
    )
