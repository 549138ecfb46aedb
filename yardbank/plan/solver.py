"""Solves the model as linear programs (HiGHS), one group at a time: groups share neither servers nor limits.

The objectives are, in this order, each kept while the next is optimized: the least traffic between zones; the lowest
utilization of the busiest server; the first zones by name, so that the same input gives the same plan. The programs
only choose: whether limits hold is decided in exact rationals (``yardbank.plan.exact``), which also repair the rounding
errors of floating point. If no plan is feasible, the result is a minimal set of limits that cannot all hold, described
in the operator's terms, and the rate that cannot be served.
"""

from __future__ import annotations

from collections.abc import Generator, Iterator, Sequence
from dataclasses import dataclass, field
from fractions import Fraction
from typing import Any

import numpy as np

from yardbank.plan.exact import Cut, Flow, broken_limits, exact_decimal, usable_capacity
from yardbank.plan.highs import Row, solve_lp
from yardbank.plan.model import Demand, PlanServer, Problem

NEGLIGIBLE_SHARE = 1e-7  # of a zone's demand: smaller flows are merged into the others
PROVEN_GAP = 1e-6  # of all reads: the optimum within the accuracy of floating point
TOLERANCE = 1e-9  # of the largest rate: how much a later objective may worsen an earlier one


class PlanFaultError(ArithmeticError):
    """The computed plan violates a limit and was rejected: a bug in this program, never an error of the input."""


@dataclass(slots=True, frozen=True)
class Conflict:
    """No plan is feasible for a group: these limits cannot all hold, but without any one of them the others can."""

    group: str
    limits: tuple[str, ...]
    unserved: float  # the lowest unserved rate if all limits except the demand hold


@dataclass(slots=True)
class Plan:
    """Shares by (class, group, requesting zone) and server, which add up to 1; or the conflicts that prevent a plan."""

    shares: dict[tuple[str, str, str], dict[str, float]] = field(default_factory=dict)
    crossing: float = 0.0  # requests per second between zones
    used: dict[str, float] = field(default_factory=dict)  # utilization of each server's usable capacity
    # Descriptions of limits that cost cross-zone traffic, and of what relaxing each would save.
    binding: list[str] = field(default_factory=list)
    conflicts: list[Conflict] = field(default_factory=list)
    gap: float = 0.0  # price of cross-zone traffic above the optimum, relative to all reads

    @property
    def proven(self) -> bool:
        """Whether the price of cross-zone traffic is optimal, except for rounding."""
        return self.gap <= PROVEN_GAP

    @property
    def feasible(self) -> bool:
        """Whether every group has a plan."""
        return not self.conflicts


class _Group:
    """One group's part of the problem, aggregated by zone.

    Within a zone, limits do not distinguish classes, and distinguish servers only by capacity. The load of a zone is
    best divided in proportion to the usable capacity of its servers, which utilizes all of them equally. So the
    programs work on zones alone, however many servers there are. A column is the rate from one requesting zone to one
    serving zone.
    """

    def __init__(self, group: str, problem: Problem) -> None:
        self.group, self.limits = group, problem.limits
        self.servers = sorted((s for s in problem.servers if s.group == group), key=lambda s: s.name)
        self.demands = sorted(
            (d for d in problem.demands if d.group == group and d.rate > 0), key=lambda d: (d.kind, d.zone)
        )
        most_used = exact_decimal(problem.limits.most_used)
        self.rates = [exact_decimal(d.rate) for d in self.demands]
        self.usable = [usable_capacity(s) for s in self.servers]
        self.capacity_limits = [capacity * most_used for capacity in self.usable]
        self.zone_of = {server.name: server.zone for server in self.servers}
        self.capacity_limit_by_name = {
            server.name: capacity for server, capacity in zip(self.servers, self.capacity_limits, strict=True)
        }
        self.zone_demand = _by_zone(self.demands, self.rates)
        self.zone_usable = _by_zone(self.servers, self.usable)
        self.zone_capacity_limit = {zone: capacity * most_used for zone, capacity in self.zone_usable.items()}
        self.requesting_zones, self.serving_zones = sorted(self.zone_demand), sorted(self.zone_usable)
        spill = problem.limits.spill
        self.spill = {
            zone: exact_decimal(spill[zone]) * total for zone, total in self.zone_demand.items() if zone in spill
        }
        self.scale = float(max(self.zone_demand.values(), default=Fraction(1)))

    # Descriptions of limits

    def describe_demand(self, index: int) -> str:
        demand = self.demands[index]
        return f"demand of {demand.kind} in {demand.zone}: {demand.rate:g}/s"

    def describe_server(self, index: int) -> str:
        return f"capacity of {self.servers[index].name}: {float(self.capacity_limits[index]):g}/s"

    def describe_zone(self, zone: str) -> str:
        members = [index for index, server in enumerate(self.servers) if server.zone == zone]
        if len(members) == 1:
            return self.describe_server(members[0])
        return f"capacity of the {len(members)} servers in {zone}: {float(self.zone_capacity_limit[zone]):g}/s"

    def describe_spill(self, zone: str) -> str:
        return f"spill out of {zone}: at most {self.limits.spill[zone]:.0%} of {float(self.zone_demand[zone]):g}/s"

    def unsurvivable_losses(self) -> list[tuple[str, Fraction]]:
        """Return the losses of a server or zone that the rest could not carry, and the missing rate of each."""
        found: list[tuple[str, Fraction]] = []
        total_rate, total_capacity = sum(self.rates, Fraction(0)), sum(self.capacity_limits, Fraction(0))
        if self.limits.survive_server and self.servers:
            largest = max(range(len(self.servers)), key=lambda i: self.capacity_limits[i])
            remaining = total_capacity - self.capacity_limits[largest]
            description = (
                f"{self.servers[largest].name} lost: {float(remaining):g}/s would be left for {float(total_rate):g}/s"
            )
            found.append((description, total_rate - remaining))
        for zone in self.serving_zones if self.limits.survive_zone else ():
            remaining = total_capacity - self.zone_capacity_limit[zone]
            demand = total_rate - self.zone_demand.get(zone, Fraction(0))
            description = f"zone {zone} lost: {float(remaining):g}/s would be left for {float(demand):g}/s"
            found.append((description, demand - remaining))
        return [(description, missing) for description, missing in found if missing > 0]

    # Exact feasibility

    def flow(self, limits: _LimitSubset | None = None) -> Flow:
        """Return an empty flow under all limits, or only under the given ones."""
        if limits is None:
            rates = [self.zone_demand[zone] for zone in self.requesting_zones]
            return Flow(
                self.requesting_zones,
                self.serving_zones,
                rates,
                [self.zone_capacity_limit[z] for z in self.serving_zones],
                self.spill,
            )
        demand_rates = _by_zone([self.demands[i] for i in limits.demands], [self.rates[i] for i in limits.demands])
        return Flow(
            self.requesting_zones,
            self.serving_zones,
            [demand_rates.get(zone, Fraction(0)) for zone in self.requesting_zones],
            [self.zone_capacity_limit[zone] if zone in limits.capacities else None for zone in self.serving_zones],
            {zone: self.spill[zone] for zone in limits.spills},
        )

    def conflict(self, cut: Cut) -> Conflict:
        """Return a minimal set of limits that cannot all hold, found with a deletion filter over the cut.

        Removing the capacity limit of one server removes that of its zone, so the set has all servers of a zone or
        none.
        """
        zones = [self.requesting_zones[i] for i in cut.demands]
        subset = _LimitSubset(
            [i for i, demand in enumerate(self.demands) if demand.zone in zones],
            [self.serving_zones[i] for i in cut.servers],
            list(cut.zones),
        )
        limits: list[Any]
        lists: tuple[list[Any], ...] = subset.demands, subset.capacities, subset.spills
        for limits in lists:
            for item in list(limits):
                index = limits.index(item)
                del limits[index]
                if self.flow(subset).serve_all() is None:
                    limits.insert(index, item)
        descriptions = [self.describe_demand(i) for i in subset.demands]
        descriptions += [
            self.describe_server(i) for i, server in enumerate(self.servers) if server.zone in subset.capacities
        ]
        descriptions += [self.describe_spill(zone) for zone in subset.spills]
        return Conflict(self.group, tuple(descriptions), float(self.flow().shortfall()))

    # The programs: columns by requesting zone, then serving zone; rates relative to the largest zone's demand

    def crossing_prices(self) -> np.ndarray:
        """Return the price of each column: 0 within a zone."""
        prices = self.limits.prices
        return np.array(
            [prices.get((a, b), 1.0) if a != b else 0.0 for a in self.requesting_zones for b in self.serving_zones]
        )

    def constraint_rows(self) -> list[Row]:
        """Return the constraints: demands, capacities, spills."""
        columns = np.arange(len(self.requesting_zones) * len(self.serving_zones), dtype=np.int32).reshape(
            -1, len(self.serving_zones)
        )
        ones = np.ones(columns.size)
        rows = [
            Row(columns[i], ones[: columns.shape[1]], rate, rate)
            for i, rate in enumerate(float(self.zone_demand[zone]) / self.scale for zone in self.requesting_zones)
        ]
        rows += [
            Row(
                columns[:, j],
                ones[: columns.shape[0]],
                -np.inf,
                float(self.zone_capacity_limit[zone]) / self.scale,
                self.describe_zone(zone),
            )
            for j, zone in enumerate(self.serving_zones)
        ]
        for zone, max_spill in sorted(self.spill.items()):
            outgoing = columns[self.requesting_zones.index(zone), [other != zone for other in self.serving_zones]]
            if len(outgoing):
                rows.append(
                    Row(
                        outgoing,
                        ones[: len(outgoing)],
                        -np.inf,
                        float(max_spill) / self.scale,
                        self.describe_spill(zone),
                    )
                )
        return rows


@dataclass(slots=True)
class _LimitSubset:
    """A subset of a group's limits: indexes of demands, zones with a capacity limit, zones with a spill limit."""

    demands: list[int]
    capacities: list[str]
    spills: list[str]


def _by_zone(items: Sequence[Demand | PlanServer], numbers: Sequence[Fraction]) -> dict[str, Fraction]:
    found: dict[str, Fraction] = {}
    for item, number in zip(items, numbers, strict=True):
        found[item.zone] = found.get(item.zone, Fraction(0)) + number
    return found


def solve(problem: Problem, seconds: float = 0.0) -> Plan:
    """Compute a plan. Raises ``PlanFaultError`` if the result violates a limit.

    ``seconds`` limits the time of each linear program (0: no limit). A plan that is not proven optimal in time still
    respects all limits.
    """
    steps = solve_steps(problem, seconds)
    while True:
        try:
            next(steps)
        except StopIteration as ended:
            found: Plan = ended.value
            return found


def solve_steps(problem: Problem, seconds: float = 0.0) -> Generator[str, None, Plan]:
    """Like ``solve``, for background work: yields after each group, with its name."""
    plan = Plan()
    for name in problem.groups():
        group = _Group(name, problem)
        if group.demands:
            _solve_group(group, plan, seconds)
        for server in group.servers:
            plan.used.setdefault(server.name, 0.0)
        yield name
    if plan.conflicts:
        return Plan(conflicts=plan.conflicts)
    if broken := broken_limits(problem, plan.shares):
        raise PlanFaultError("; ".join(broken[:5]))
    return plan


def _solve_group(group: _Group, plan: Plan, seconds: float) -> None:
    if losses := group.unsurvivable_losses():
        plan.conflicts.append(Conflict(group.group, (losses[0][0],), float(losses[0][1])))
        return
    flow = group.flow()
    chosen, optimal_price = _optimize(group, plan, seconds) if group.servers else (None, 0.0)
    if chosen is not None:
        flow.start_from(_exact_rates(group, chosen))
    if (cut := flow.serve_all()) is not None:
        plan.conflicts.append(group.conflict(cut))
        return
    target = _shares(group, flow)
    if group.limits.before and group.limits.most_moved < 1:
        limited = _limit_moves(group, target)
        if isinstance(limited, Conflict):
            plan.conflicts.append(limited)
            return
        target = limited
    load = dict.fromkeys((server.name for server in group.servers), Fraction(0))
    zones = {server.name: server.zone for server in group.servers}
    crossing = price = Fraction(0)
    prices = group.limits.prices
    for demand, rate, parts in zip(group.demands, group.rates, target, strict=True):
        float_shares = {name: float(part) for name, part in parts.items()}
        plan.shares[demand.kind, demand.group, demand.zone] = {
            name: part for name, part in float_shares.items() if part > 0
        }
        for name, part in parts.items():
            load[name] += rate * part
            if zones[name] != demand.zone:
                crossing += rate * part
                price += rate * part * exact_decimal(prices.get((demand.zone, zones[name]), 1.0))
    plan.crossing += float(crossing)
    total_rate = float(sum(group.rates, Fraction(0)))
    plan.gap = max(plan.gap, (float(price) - optimal_price * group.scale) / total_rate)
    for server, capacity in zip(group.servers, group.usable, strict=True):
        plan.used[server.name] = float(load[server.name] / capacity) if capacity else 0.0


def _exact_rates(group: _Group, chosen: np.ndarray) -> Iterator[tuple[int, int, Fraction]]:
    """Yield the chosen rates without negligible ones, scaled so that they meet each zone's demand exactly."""
    count = len(group.serving_zones)
    for index, zone in enumerate(group.requesting_zones):
        row = [max(0.0, float(value)) for value in chosen[index * count : (index + 1) * count]]
        kept = {j: Fraction(value) for j, value in enumerate(row) if value > NEGLIGIBLE_SHARE * sum(row)}
        total = sum(kept.values(), Fraction(0))
        for j, value in kept.items():
            yield index, j, group.zone_demand[zone] * value / total


Shares = list[dict[str, Fraction]]  # one for each demand, by server


def _shares(group: _Group, flow: Flow) -> Shares:
    """Convert a flow between zones to shares by server: servers of a zone share its load by usable capacity."""
    rate_by_zones = {(group.requesting_zones[a], group.serving_zones[b]): rate for a, b, rate in flow.pairs()}
    parts: dict[str, dict[str, Fraction]] = {zone: {} for zone in group.requesting_zones}
    members: dict[str, list[tuple[str, Fraction]]] = {zone: [] for zone in group.serving_zones}
    for server, capacity in zip(group.servers, group.usable, strict=True):
        if capacity > 0:
            members[server.zone].append((server.name, capacity / group.zone_usable[server.zone]))
    for (requesting, serving), rate in sorted(rate_by_zones.items()):
        share = rate / group.zone_demand[requesting]
        for name, part in members[serving]:
            parts[requesting][name] = share * part
    return [parts[demand.zone] for demand in group.demands]


def _limit_moves(group: _Group, target: Shares) -> Shares | Conflict:
    """Move from the active plan towards the target only as far as ``most_moved`` allows.

    Limits are linear, so every point between two plans that respect them respects them too. If the active plan no
    longer respects them and the allowed move does not restore them, the conflict is returned.
    """
    known = {server.name for server in group.servers}
    before: Shares = []
    for demand, target_shares in zip(group.demands, target, strict=True):
        old = group.limits.before.get((demand.kind, demand.group, demand.zone), {})
        kept = {name: exact_decimal(share) for name, share in old.items() if name in known and share > 0}
        total = sum(kept.values(), Fraction(0))
        before.append({name: share / total for name, share in kept.items()} if total else target_shares)
    total_rate = sum(group.rates, Fraction(0))
    moved = (
        sum(
            (
                rate * sum((abs(b.get(n, Fraction(0)) - a.get(n, Fraction(0))) for n in {*a, *b}), Fraction(0)) / 2
                for rate, a, b in zip(group.rates, before, target, strict=True)
            ),
            Fraction(0),
        )
        / total_rate
    )
    max_moved = exact_decimal(group.limits.most_moved)
    if moved <= max_moved:
        return target
    allowed = max_moved / moved
    needed, requiring_limit = _required_progress(group, before, target)
    if needed > allowed:
        limit = f"moved: at most {float(max_moved):.0%} of reads, and {float(needed * moved):.0%} must go elsewhere"
        return Conflict(group.group, (limit, requiring_limit), 0.0)
    return [
        {
            n: part
            for n in sorted({*a, *b})
            if (part := a.get(n, Fraction(0)) * (1 - allowed) + b.get(n, Fraction(0)) * allowed) > 0
        }
        for a, b in zip(before, target, strict=True)
    ]


def _required_progress(group: _Group, before: Shares, target: Shares) -> tuple[Fraction, str]:
    """Return how much of the way to the target is needed to respect all limits, and the limit that requires it."""

    def totals(shares: Shares) -> dict[str, Fraction]:
        loads = dict.fromkeys((*group.capacity_limit_by_name, *(f"\0{zone}" for zone in group.spill)), Fraction(0))
        for demand, rate, parts in zip(group.demands, group.rates, shares, strict=True):
            for name, part in parts.items():
                loads[name] += rate * part
                if group.zone_of[name] != demand.zone and demand.zone in group.spill:
                    loads[f"\0{demand.zone}"] += rate * part
        return loads

    old, new, worst = totals(before), totals(target), (Fraction(0), "")
    for index, server in enumerate(group.servers):
        if (excess := old[server.name] - group.capacity_limits[index]) > 0:
            worst = max(worst, (excess / (old[server.name] - new[server.name]), group.describe_server(index)))
    for zone, max_spill in group.spill.items():
        if (excess := old[f"\0{zone}"] - max_spill) > 0:
            worst = max(worst, (excess / (old[f"\0{zone}"] - new[f"\0{zone}"]), group.describe_spill(zone)))
    return worst


def _optimize(group: _Group, plan: Plan, seconds: float) -> tuple[np.ndarray | None, float]:
    """Optimize one objective after the other. Return the rates, None if not found, and the optimal price."""
    rows, prices = group.constraint_rows(), group.crossing_prices()
    first = solve_lp(prices, rows, seconds)
    if first is None:
        return None, 0.0
    _describe_binding(rows, first[1], plan)
    size, count = len(prices), len(group.serving_zones)
    crossing_columns = np.flatnonzero(prices).astype(np.int32)
    price_limit = (
        [Row(crossing_columns, prices[crossing_columns], -np.inf, float(first[0] @ prices) + TOLERANCE)]
        if len(crossing_columns)
        else []
    )
    columns = np.arange(size, dtype=np.int32).reshape(-1, count)
    usable = [float(group.zone_usable[zone]) / group.scale for zone in group.serving_zones]
    ones = np.ones(len(group.requesting_zones))
    utilization_rows = [
        Row(np.append(columns[:, j], np.int32(size)), np.append(ones, -capacity), -np.inf, 0.0)
        for j, capacity in enumerate(usable)
        if capacity > 0
    ]
    second = solve_lp(np.append(np.zeros(size), 1.0), [*rows, *price_limit, *utilization_rows], seconds)
    if second is None:
        return first[0], float(first[0] @ prices)
    max_utilization = float(second[0][size]) + TOLERANCE
    utilization_limits = [
        Row(columns[:, j], ones, -np.inf, max_utilization * capacity + TOLERANCE) for j, capacity in enumerate(usable)
    ]
    columns_in_order = np.arange(size)
    third = solve_lp(
        (1 + (columns_in_order % count) * (1 + columns_in_order / 1000)) / size,
        [*rows, *price_limit, *utilization_limits],
        seconds,
    )
    return (third[0] if third is not None else second[0][:size]), float(first[0] @ prices)


def _describe_binding(rows: list[Row], duals: np.ndarray, plan: Plan) -> None:
    """Record the limits that cost cross-zone traffic in ``plan.binding``, with a description."""
    for row, price in zip(rows, duals, strict=True):
        if price < -1e-6 and row.description:
            plan.binding.append(
                f"{row.description}; one request a second more would spare {-price:.2g}/s between zones"
            )
