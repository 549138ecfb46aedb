"""Parses the input of planning from HCL, and renders a plan as a part of a watched list. No I/O."""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING, Annotated, Any

import xxhash
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from yardbank.config.hcl import Body, HclError, parse
from yardbank.plan.active_plan import list_hash
from yardbank.plan.aperture import MIN_WEIGHT
from yardbank.plan.model import Demand, Limits, PlanServer, Problem, warmth_of

if TYPE_CHECKING:
    from yardbank.plan.solver import Plan


class PlanError(ValueError):
    """Unusable input; ``faults`` are messages that name file and line."""

    def __init__(self, faults: list[str]) -> None:
        super().__init__("\n".join(faults))
        self.faults = faults


class _StrictModel(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class _Server(_StrictModel):
    group: str
    zone: str
    capacity: Annotated[float, Field(ge=0)]
    taken: Annotated[float, Field(ge=0)] = 0.0
    age: Annotated[float, Field(ge=0)] | None = None  # seconds since it started; omitted: started long ago
    primary: bool = False
    kind: str = ""


class _Demand(_StrictModel):
    group: str
    zone: str
    rate: Annotated[float, Field(ge=0)]


class _Limits(_StrictModel):
    most_used: Annotated[float, Field(gt=0, le=1)] = 1.0
    survive_server: bool = False
    survive_zone: bool = False
    most_moved: Annotated[float, Field(ge=0, le=1)] = 1.0
    cold: Annotated[float, Field(ge=0)] = 0.0  # seconds until a started server is warm
    cold_share: Annotated[float, Field(gt=0, le=1)] = 1.0


def read_problem(
    text: str, name: str, before: Mapping[tuple[str, str, str], Mapping[str, float]] | None = None
) -> Problem:
    """Parse the model; ``before`` are the shares of the active plan. Raises ``PlanError``."""
    faults: list[str] = []
    try:
        body = parse(text)
    except HclError as problem:
        raise PlanError([f"{name}:{problem.line}: {problem.reason}"]) from None
    faults += [f"{name}:{line}: {key}: unknown key" for key, line in body.lines.items()]
    models = {"server": _Server, "demand": _Demand, "limits": _Limits, "spill": None, "price": None}
    prices: dict[tuple[str, str], float] = {}
    found: dict[str, list[tuple[str, Any]]] = {kind: [] for kind in models}
    spill: dict[str, float] = {}
    for kind, blocks in body.blocks.items():
        for block in blocks:
            if kind not in models:
                faults.append(f"{name}:{block.line}: {kind}: unknown block")
            elif kind == "price":
                prices.update(
                    {(block.label, zone): price for zone, price in _positive_numbers(block, name, "price", faults)}
                )
            elif kind == "spill":
                spill.update(_read_spill(block, name, faults))
            else:
                _read_block(kind, models[kind], block, name, found, faults)
    if len(found["limits"]) > 1:
        faults.append(f"{name}: only one limits block is allowed")
    if faults:
        raise PlanError(faults)
    limits = found["limits"][0][1] if found["limits"] else _Limits()
    try:
        return Problem(
            tuple(
                PlanServer(
                    label,
                    s.group,
                    s.zone,
                    s.capacity,
                    1.0 if s.age is None else warmth_of(s.age, limits.cold, limits.cold_share),
                    s.taken,
                    s.primary,
                    s.kind,
                )
                for label, s in found["server"]
            ),
            tuple(Demand(label, d.group, d.zone, d.rate) for label, d in found["demand"]),
            Limits(
                limits.most_used,
                spill,
                limits.survive_server,
                limits.survive_zone,
                prices,
                limits.most_moved,
                before or {},
            ),
        )
    except ValueError as problem:
        raise PlanError([f"{name}: {problem}"]) from None


def _read_block(
    kind: str, model: Any, block: Body, name: str, found: dict[str, list[tuple[str, Any]]], faults: list[str]
) -> None:
    if kind != "limits" and not block.label:
        faults.append(f"{name}:{block.line}: {kind}: a label is required")
        return
    try:
        found[kind].append((block.label, model.model_validate(block.attributes)))
    except ValidationError as problem:
        for error in problem.errors():
            key = str(error["loc"][0]) if error["loc"] else ""
            reason = {"extra_forbidden": "unknown key", "missing": "missing"}.get(error["type"], error["msg"])
            faults.append(f"{name}:{block.lines.get(key, block.line)}: {kind} {block.label!r}: {key}: {reason}")


def _positive_numbers(block: Body, name: str, kind: str, faults: list[str]) -> list[tuple[str, float]]:
    found = []
    for key, value in block.attributes.items():
        if isinstance(value, bool) or not isinstance(value, int | float) or value <= 0:
            faults.append(f"{name}:{block.lines[key]}: {kind} {block.label!r}: {key}: a number above 0 is required")
        else:
            found.append((key, float(value)))
    return found


def _read_spill(block: Body, name: str, faults: list[str]) -> dict[str, float]:
    found = {}
    for zone, share in block.attributes.items():
        if isinstance(share, bool) or not isinstance(share, int | float) or not 0 <= share <= 1:
            faults.append(f"{name}:{block.lines[zone]}: spill: {zone}: a share between 0 and 1 is required")
        else:
            found[zone] = float(share)
    return found


def zone_weights(problem: Problem, plan: Plan, zone: str) -> dict[str, float]:
    """Return the server weights for the gateways of one zone: shares of reads, scaled to a mean of 1 per group."""
    rates_by_group: dict[str, dict[str, float]] = {}
    for demand in problem.demands:
        for server, share in plan.shares.get((demand.kind, demand.group, demand.zone), {}).items():
            if demand.zone == zone:
                group_rates = rates_by_group.setdefault(demand.group, {})
                group_rates[server] = group_rates.get(server, 0.0) + share * demand.rate
    found = {}
    for group, rates in rates_by_group.items():
        members = sorted(server.name for server in problem.servers if server.group == group)
        mean = sum(rates.values()) / len(members)
        found.update({name: round(max(MIN_WEIGHT, rates.get(name, 0.0) / mean), 4) for name in members})
    return found


def candidates(problem: Problem) -> dict[str, str]:
    """Return by group the server that should take over from the primary.

    Servers of the primary's kind come first, then the warmest, then those with the most usable capacity.
    """
    found: dict[str, str] = {}
    for group in problem.groups():
        members = [s for s in problem.servers if s.group == group]
        kinds = {s.kind for s in members if s.primary}
        eligible = [s for s in members if not s.primary and s.usable > 0]
        if eligible:
            found[group] = min(eligible, key=lambda s: (s.kind not in kinds, -s.warmth, -s.usable, s.name)).name
    return found


def render(
    problem: Problem, plan: Plan, zone: str, source: bytes, made: float, fade: str = "1h", relaxed: str = ""
) -> str:
    """Render a part of a watched list: the plan for the gateways of one zone, and the hash of the list it is for."""
    list_id = list_hash(problem.servers)
    lines = [
        f"# worked out from input {xxhash.xxh3_64_hexdigest(source)}",
        f'plan "{zone}" {{',
        f'  list = "{list_id}"',
    ]
    lines += [f"  made = {made:.3f}", f'  fade = "{fade}"', f"  proven = {'true' if plan.proven else 'false'}"]
    lines += [f'  relaxed = "{relaxed}"'] if relaxed else []
    lines += ["  weights {"]
    lines += [f"    {name} = {weight}" for name, weight in sorted(zone_weights(problem, plan, zone).items())]
    lines += ["  }", "  switchover {"]
    lines += [f'    {group} = "{name}"' for group, name in sorted(candidates(problem).items())]
    return "\n".join([*lines, "  }", "}", ""])


def moved_share(old: Mapping[str, float], new: Mapping[str, float]) -> float:
    """Return the share of reads that moves to another server: half the sum of the differences of all shares."""
    before, after = sum(old.values()) or 1.0, sum(new.values()) or 1.0
    return sum(abs(new.get(n, 0.0) / after - old.get(n, 0.0) / before) for n in {*old, *new}) / 2
