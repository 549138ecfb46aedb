"""Plans that a gateway computes itself when its server list changes. No I/O.

The operator's model gives the capacities and the demand; the list gives the servers that exist. All gateways with the
same model and list compute the same plan. It is used only while no plan of the operator is active.
"""

from __future__ import annotations

from collections.abc import Generator, Sequence
from dataclasses import dataclass, replace

from yardbank.gateway.api import ServerSpec
from yardbank.plan.active_plan import MadePlan, list_hash
from yardbank.plan.document import candidates, zone_weights
from yardbank.plan.model import Problem, warmth_of


@dataclass(slots=True, frozen=True)
class ReplanResult:
    """The computed plan, or the reason why there is none."""

    plan: MadePlan | None
    note: str


def problem_for_list(
    model: Problem, servers: Sequence[ServerSpec], wall: float, cold: float, cold_share: float
) -> Problem:
    """Return the model with the servers that are ready, in the zones and with the warmth that follow from the list.

    A server that is not in the model may be new: it gets the lowest capacity known in its group.
    """
    known = {server.name: server for server in model.servers}
    min_capacity = {
        group: min((s.capacity for s in model.servers if s.group == group and s.capacity > 0), default=0.0)
        for group in model.groups()
    }
    ready = []
    for spec in servers:
        if spec.state != "ready":
            continue
        base = known.get(spec.name)
        warmth = warmth_of(wall - spec.started, cold, cold_share) if spec.started else 1.0
        if base is None:
            base = replace(
                next(iter(model.servers)), name=spec.name, capacity=min_capacity.get(spec.group, 0.0), taken=0.0
            )
        ready.append(replace(base, group=spec.group, zone=spec.zone, warmth=warmth))
    return replace(model, servers=tuple(ready))


def replan(
    model: Problem, servers: Sequence[ServerSpec], zone: str, wall: float, cold: float, cold_share: float, fade: float
) -> Generator[object, None, ReplanResult]:
    """Compute a plan, yielding after each group so that it can run in the background. Returns the result."""
    from yardbank.plan.solver import solve_steps  # only gateways that compute plans import the solver

    if not model.servers:
        return ReplanResult(None, "the model names no server")
    problem = problem_for_list(model, servers, wall, cold, cold_share)
    yield "model"
    solution = yield from solve_steps(problem)
    if solution.conflicts:
        first = solution.conflicts[0]
        return ReplanResult(
            None, f"no plan for group {first.group}: {'; '.join(first.limits[:4])} cannot hold together"
        )
    made = MadePlan(
        zone, list_hash(servers), wall, fade, zone_weights(problem, solution, zone), True, candidates(problem)
    )
    return ReplanResult(made, f"worked out for {len(problem.servers)} servers")
