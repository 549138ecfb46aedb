"""What a plan is made for, as HCL; and a plan as a file. No I/O."""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING, Annotated, Any

import xxhash
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from yardbank.config.hcl import Body, HclError, parse
from yardbank.plan.active_plan import list_hash
from yardbank.plan.aperture import LEAST_WEIGHT
from yardbank.plan.model import Demand, Limits, PlanServer, Problem, warmth_of

if TYPE_CHECKING:
    from yardbank.plan.solver import Plan


class PlanError(ValueError):
    """Input that cannot be used; ``faults`` are lines that name file and line."""

    def __init__(self, faults: list[str]) -> None:
        super().__init__("\n".join(faults))
        self.faults = faults


class _Model(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class _Server(_Model):
    group: str
    zone: str
    capacity: Annotated[float, Field(ge=0)]
    taken: Annotated[float, Field(ge=0)] = 0.0
    age: Annotated[float, Field(ge=0)] | None = None  # seconds since it started; left out: long
    primary: bool = False
    kind: str = ""


class _Demand(_Model):
    group: str
    zone: str
    rate: Annotated[float, Field(ge=0)]


class _Limits(_Model):
    most_used: Annotated[float, Field(gt=0, le=1)] = 1.0
    survive_server: bool = False
    survive_zone: bool = False
    most_moved: Annotated[float, Field(ge=0, le=1)] = 1.0
    cold: Annotated[float, Field(ge=0)] = 0.0  # seconds until a started server is warm
    cold_share: Annotated[float, Field(gt=0, le=1)] = 1.0


def read_problem(
    text: str, name: str, before: Mapping[tuple[str, str, str], Mapping[str, float]] | None = None
) -> Problem:
    """The model from its text; ``before`` are the shares in force. Raises ``PlanError``."""
    faults: list[str] = []
    try:
        body = parse(text)
    except HclError as problem:
        raise PlanError([f"{name}:{problem.line}: {problem.reason}"]) from None
    faults += [f"{name}:{line}: {key}: unknown key" for key, line in body.lines.items()]
    known = {"server": _Server, "demand": _Demand, "limits": _Limits, "spill": None, "price": None}
    prices: dict[tuple[str, str], float] = {}
    found: dict[str, list[tuple[str, Any]]] = {kind: [] for kind in known}
    spill: dict[str, float] = {}
    for kind, blocks in body.blocks.items():
        for block in blocks:
            if kind not in known:
                faults.append(f"{name}:{block.line}: {kind}: unknown block")
            elif kind == "price":
                prices.update({(block.label, zone): price for zone, price in _numbers(block, name, "price", faults)})
            elif kind == "spill":
                spill.update(_spill(block, name, faults))
            else:
                _block(kind, known[kind], block, name, found, faults)
    if len(found["limits"]) > 1:
        faults.append(f"{name}: limits is given twice")
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


def _block(
    kind: str, model: Any, block: Body, name: str, found: dict[str, list[tuple[str, Any]]], faults: list[str]
) -> None:
    if kind != "limits" and not block.label:
        faults.append(f"{name}:{block.line}: {kind}: a label is wanted")
        return
    try:
        found[kind].append((block.label, model.model_validate(block.attributes)))
    except ValidationError as problem:
        for error in problem.errors():
            key = str(error["loc"][0]) if error["loc"] else ""
            reason = {"extra_forbidden": "unknown key", "missing": "missing"}.get(error["type"], error["msg"])
            faults.append(f"{name}:{block.lines.get(key, block.line)}: {kind} {block.label!r}: {key}: {reason}")


def _numbers(block: Body, name: str, kind: str, faults: list[str]) -> list[tuple[str, float]]:
    found = []
    for key, value in block.attributes.items():
        if isinstance(value, bool) or not isinstance(value, int | float) or value <= 0:
            faults.append(f"{name}:{block.lines[key]}: {kind} {block.label!r}: {key}: a number above 0 is wanted")
        else:
            found.append((key, float(value)))
    return found


def _spill(block: Body, name: str, faults: list[str]) -> dict[str, float]:
    found = {}
    for zone, share in block.attributes.items():
        if isinstance(share, bool) or not isinstance(share, int | float) or not 0 <= share <= 1:
            faults.append(f"{name}:{block.lines[zone]}: spill: {zone}: a share between 0 and 1 is wanted")
        else:
            found[zone] = float(share)
    return found


def weights(problem: Problem, plan: Plan, zone: str) -> dict[str, float]:
    """Each server's weight for the gateways of one zone: its part of what they read, 1 in the mean of a group."""
    asked: dict[str, dict[str, float]] = {}
    for demand in problem.demands:
        for server, share in plan.shares.get((demand.kind, demand.group, demand.zone), {}).items():
            if demand.zone == zone:
                of_group = asked.setdefault(demand.group, {})
                of_group[server] = of_group.get(server, 0.0) + share * demand.rate
    found = {}
    for group, rates in asked.items():
        members = sorted(server.name for server in problem.servers if server.group == group)
        mean = sum(rates.values()) / len(members)
        found.update({name: round(max(LEAST_WEIGHT, rates.get(name, 0.0) / mean), 4) for name in members})
    return found


def candidates(problem: Problem) -> dict[str, str]:
    """By group, who should take over from its primary: of its kind if there is one, warm, with most to give."""
    found: dict[str, str] = {}
    for group in problem.groups():
        members = [s for s in problem.servers if s.group == group]
        kinds = {s.kind for s in members if s.primary}
        fit = [s for s in members if not s.primary and s.usable > 0]
        if fit:
            found[group] = min(fit, key=lambda s: (s.kind not in kinds, -s.warmth, -s.usable, s.name)).name
    return found


def render(
    problem: Problem, plan: Plan, zone: str, source: bytes, made: float, fade: str = "1h", without: str = ""
) -> str:
    """A part of a watched list: the plan for the gateways of one zone, and which list it is for."""
    hashed = list_hash(problem.servers)
    lines = [f"# worked out from input {xxhash.xxh3_64_hexdigest(source)}", f'plan "{zone}" {{', f'  list = "{hashed}"']
    lines += [f"  made = {made:.3f}", f'  fade = "{fade}"', f"  proven = {'true' if plan.proven else 'false'}"]
    lines += [f'  relaxed = "{without}"'] if without else []
    lines += ["  weights {"]
    lines += [f"    {name} = {weight}" for name, weight in sorted(weights(problem, plan, zone).items())]
    lines += ["  }", "  switchover {"]
    lines += [f'    {group} = "{name}"' for group, name in sorted(candidates(problem).items())]
    return "\n".join([*lines, "  }", "}", ""])


def moved(old: Mapping[str, float], new: Mapping[str, float]) -> float:
    """Which part of the reads goes elsewhere by another plan's weights: half of what the shares differ by."""
    before, after = sum(old.values()) or 1.0, sum(new.values()) or 1.0
    return sum(abs(new.get(n, 0.0) / after - old.get(n, 0.0) / before) for n in {*old, *new}) / 2
