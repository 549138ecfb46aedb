"""Plans that a gateway works out for itself when its list changes: what for, and from what. No I/O.

The operator's model says what servers can do and what is asked; the list says which of them are there. Every gateway
with the same model and list comes to the same plan. It stands in only while no plan of the operator's is in force.
"""

from __future__ import annotations

from collections.abc import Generator, Sequence
from dataclasses import dataclass, replace

from yardbank.gateway.api import ServerSpec
from yardbank.plan.active_plan import MadePlan, list_hash
from yardbank.plan.document import candidates, weights
from yardbank.plan.model import Problem, warmth_of


@dataclass(slots=True, frozen=True)
class Replanned:
    """What came of it: a plan, or why there is none."""

    plan: MadePlan | None
    note: str


def problem_for(model: Problem, servers: Sequence[ServerSpec], wall: float, cold: float, cold_share: float) -> Problem:
    """The model as the list leaves it: servers that are ready, in the zones and with the warmth that the list tells.

    A server that the model does not know gets the least capacity of its group's others: it may be new.
    """
    known = {server.name: server for server in model.servers}
    least = {
        group: min((s.capacity for s in model.servers if s.group == group and s.capacity > 0), default=0.0)
        for group in model.groups()
    }
    found = []
    for spec in servers:
        if spec.state != "ready":
            continue
        base = known.get(spec.name)
        warmth = warmth_of(wall - spec.started, cold, cold_share) if spec.started else 1.0
        if base is None:
            base = replace(next(iter(model.servers)), name=spec.name, capacity=least.get(spec.group, 0.0), taken=0.0)
        found.append(replace(base, group=spec.group, zone=spec.zone, warmth=warmth))
    return replace(model, servers=tuple(found))


def replan(
    model: Problem, servers: Sequence[ServerSpec], zone: str, wall: float, cold: float, cold_share: float, fade: float
) -> Generator[object, None, Replanned]:
    """Work out a plan, a group a slice. Ends with what came of it."""
    from yardbank.plan.solver import solve_steps  # the solver is loaded by whoever plans, not by every gateway

    if not model.servers:
        return Replanned(None, "the model names no server")
    problem = problem_for(model, servers, wall, cold, cold_share)
    yield "model"
    found = yield from solve_steps(problem)
    if found.conflicts:
        first = found.conflicts[0]
        return Replanned(None, f"no plan for group {first.group}: {'; '.join(first.limits[:4])} cannot hold together")
    made = MadePlan(zone, list_hash(servers), wall, fade, weights(problem, found, zone), True, candidates(problem))
    return Replanned(made, f"worked out for {len(problem.servers)} servers")
