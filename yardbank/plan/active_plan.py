"""Whether a plan is in force for the list at hand, and what weights follow from it now. No I/O; wall clock passed in.

A plan names the list that it was made for by a hash of the servers' names, groups and zones: states and addresses may
change under it, since what a gateway sees of a server outranks its share in the module anyway. Of two plans for a zone
the one made later counts. A plan fades: older than its own bound it gives way to equal shares, step by step, until at
twice the bound nothing is left of it. A server that has just started gets its warmth's part of its share.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from fractions import Fraction
from typing import Protocol

import xxhash

from yardbank.config.fleet_position import FleetPosition
from yardbank.gateway.api import ServerSpec
from yardbank.plan.aperture import LEAST_WEIGHT, ApertureError, aperture
from yardbank.plan.model import warmth_of

STEPS = 10  # in which a plan fades and a server warms up


@dataclass(slots=True, frozen=True)
class MadePlan:
    """A plan as its file says it, for the gateways of one zone. Times are wall clock, in seconds."""

    zone: str
    list_hash: str
    made: float
    fade: float  # so old, it begins to give way to equal shares
    weights: Mapping[str, float]
    proven: bool = True
    switchover: Mapping[str, str] = field(default_factory=dict)  # by group: who should take over
    relaxed: str = ""  # limits that were taken away by name to get a plan at all


@dataclass(slots=True, frozen=True)
class Warming:
    """How started servers warm up, in seconds."""

    cold: float = 0.0
    share: float = 1.0


@dataclass(slots=True, frozen=True)
class View:
    """The list as this gateway routes by it, and what became of the plan."""

    servers: tuple[ServerSpec, ...]
    note: str  # empty: no plan is there; else which one is in force, or why it is not
    next_at: float | None = None  # when it is to be worked out again


class _Named(Protocol):
    @property
    def name(self) -> str: ...
    @property
    def group(self) -> str: ...
    @property
    def zone(self) -> str: ...


def list_hash(servers: Iterable[_Named]) -> str:
    """The name of a list as plans know it."""
    hasher = xxhash.xxh3_64()
    for server in sorted(servers, key=lambda s: s.name):
        hasher.update(f"{server.name}\0{server.group}\0{server.zone}\n".encode())
    return hasher.hexdigest()


def choose(plans: Sequence[MadePlan], zone: str, servers: Sequence[ServerSpec]) -> tuple[MadePlan | None, str]:
    """The plan that counts for a zone, or why none does."""
    mine = sorted((p for p in plans if p.zone in ("", zone)), key=lambda p: (p.made, p.zone != ""))
    if not mine:
        return None, f"no plan for zone {zone}" if plans else ""
    last = mine[-1]
    if any(p.made == last.made and p.zone == last.zone and p != last for p in mine[:-1]):
        return None, "held back: two plans made at the same moment"
    wanted = list_hash(servers)
    if last.list_hash != wanted:
        return None, f"held back: made for list {last.list_hash}, and this is {wanted}"
    marks = ["not proven optimal"] * (not last.proven) + [f"without its limits of {last.relaxed}"] * bool(last.relaxed)
    return last, f"plan of {last.made:.0f} in force" + (f" ({', '.join(marks)})" if marks else "")


def _faded(plan: MadePlan, wall: float) -> tuple[float, float | None]:
    """How much of a plan is left, from 1 to 0, and when that changes."""
    if plan.fade <= 0:
        return 1.0, None
    over = max(0.0, wall - plan.made - plan.fade) / plan.fade
    step = int(over * STEPS + 1e-6)  # an instant told as the next step's belongs to it
    if step >= STEPS:
        return 0.0, None
    return 1 - step / STEPS, plan.made + plan.fade * (1 + (step + 1) / STEPS)


def _warmth(server: ServerSpec, warming: Warming, wall: float) -> tuple[float, float | None]:
    """A server's warmth in steps, never more than it surely has, and when the next step is due."""
    age = wall - server.started
    if not server.started or warming.cold <= 0 or age >= warming.cold:
        return 1.0, None
    step = max(0, int(age / warming.cold * STEPS + 1e-6))
    part = warming.cold / STEPS
    return warmth_of(step * part, warming.cold, warming.share), server.started + (step + 1) * part


def view(
    servers: Sequence[ServerSpec],
    plans: Sequence[MadePlan],
    zone: str,
    wall: float,
    place: FleetPosition,
    warming: Warming,
) -> View:
    """The servers that this gateway routes by, with their weights: by the plan, or as the list has them."""
    plan, note = choose(plans, zone, servers)
    left, due = _faded(plan, wall) if plan else (0.0, None)
    if plan is not None and not left:
        note, plan = f"plan of {plan.made:.0f} has faded: equal shares", None
    dues = [due] if due is not None else []
    weighted: dict[str, ServerSpec] = {}
    for server in servers:
        weight = server.weight
        if plan is not None:
            weight = 1 + (plan.weights.get(server.name, LEAST_WEIGHT) - 1) * left
            warmth, due = _warmth(server, warming, wall)
            weight *= warmth
            dues += [due] if due is not None else []
        weighted[server.name] = _with_weight(server, weight)
    if place.most <= 0:
        return View(tuple(weighted.values()), note, min(dues, default=None))
    kept: list[ServerSpec] = []
    by_group: dict[str, list[ServerSpec]] = {}
    for server in weighted.values():
        by_group.setdefault(server.group, []).append(server)
    for group in sorted(by_group):
        try:
            kept += _subset(by_group[group], place)
        except ApertureError as problem:
            kept += by_group[group]
            note = f"{note}; {group}: {problem}: all are used" if note else f"{group}: {problem}: all are used"
    return View(tuple(kept), note, min(dues, default=None))


def _subset(members: list[ServerSpec], place: FleetPosition) -> list[ServerSpec]:
    """One group's servers within the bound. Primaries and those that drain are always told of."""
    shares = {s.name: Fraction(s.weight) if s.state == "ready" and not s.primary else Fraction(0) for s in members}
    if not any(shares.values()):
        return members
    mine = aperture(shares, place.index, place.gateways, place.most, place.spares)
    found = []
    for server in members:
        if server.name in mine.weights:
            found.append(_with_weight(server, mine.weights[server.name]))
        elif server.primary or server.state != "ready":
            found.append(server)
        elif server.name in mine.spares:
            found.append(_with_weight(server, LEAST_WEIGHT))
    return found


def _with_weight(server: ServerSpec, weight: float) -> ServerSpec:
    weight = max(LEAST_WEIGHT, round(weight, 4))
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
