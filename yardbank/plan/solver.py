"""The model as linear programs (HiGHS), one group at a time: groups share neither servers nor limits.

In this order, each kept while the next is sought: least traffic between zones; least use of the busiest server;
then the earliest zones by name, so that the same input gives the same plan. The programs choose; whether limits hold
is settled in exact rationals (``yardbank.plan.exact``), which repair what floating point left open. Where nothing is
feasible the answer is a smallest set of limits that cannot hold together, in the operator's words, and by how much.
"""

from __future__ import annotations

from collections.abc import Generator, Iterator, Sequence
from dataclasses import dataclass, field
from fractions import Fraction
from typing import Any

import numpy as np

from yardbank.plan.exact import Cut, Flow, broken_limits, usable, written
from yardbank.plan.highs import Row, run
from yardbank.plan.model import Demand, PlanServer, Problem

DUST = 1e-7  # of what a zone asks: less than that goes along with the rest
PROVEN = 1e-6  # of all reads: as close to the least as floating point tells
TOLERANCE = 1e-9  # of the largest rate: what a later aim may cost an earlier one


class PlanFaultError(ArithmeticError):
    """A plan that breaks a limit was found and refused: an error of the program, never of the input."""


@dataclass(slots=True, frozen=True)
class Conflict:
    """No feasible answer for a group: these limits cannot all hold; without any one of them the rest can."""

    group: str
    limits: tuple[str, ...]
    unserved: float  # the least rate that would go unserved if all limits but the demand held


@dataclass(slots=True)
class Plan:
    """Shares by (class, group, zone asked in) and server, adding up to 1; or what stands in the way."""

    shares: dict[tuple[str, str, str], dict[str, float]] = field(default_factory=dict)
    crossing: float = 0.0  # requests a second between zones
    used: dict[str, float] = field(default_factory=dict)  # of each server's usable capacity
    binding: list[str] = field(default_factory=list)  # limits that hold the plan back, and what one more would bring
    conflicts: list[Conflict] = field(default_factory=list)
    gap: float = 0.0  # the price of what crosses, above the least there is, as a part of all reads

    @property
    def proven(self) -> bool:
        """Whether no plan crosses zones for less, but for rounding."""
        return self.gap <= PROVEN

    @property
    def feasible(self) -> bool:
        """Whether every group has an answer."""
        return not self.conflicts


class _Group:
    """One group's part of the problem, by zones.

    Within a zone, classes are alike to the limits, and servers but for their size: whatever a zone's servers take
    together is best shared in proportion to what each has left, which uses all of them equally. So the programs are
    over zones alone, however many servers there are. A column is what one zone asks of the servers of another.
    """

    def __init__(self, group: str, problem: Problem) -> None:
        self.group, self.limits = group, problem.limits
        self.servers = sorted((s for s in problem.servers if s.group == group), key=lambda s: s.name)
        self.demands = sorted(
            (d for d in problem.demands if d.group == group and d.rate > 0), key=lambda d: (d.kind, d.zone)
        )
        most_used = written(problem.limits.most_used)
        self.rates = [written(d.rate) for d in self.demands]
        self.usable = [usable(s) for s in self.servers]
        self.room = [room * most_used for room in self.usable]
        self.zone_of = {server.name: server.zone for server in self.servers}
        self.room_by_name = {server.name: room for server, room in zip(self.servers, self.room, strict=True)}
        self.asked = _by_zone(self.demands, self.rates)
        self.left = _by_zone(self.servers, self.usable)
        self.zone_room = {zone: room * most_used for zone, room in self.left.items()}
        self.asking, self.serving = sorted(self.asked), sorted(self.left)
        spill = problem.limits.spill
        self.spill = {zone: written(spill[zone]) * total for zone, total in self.asked.items() if zone in spill}
        self.scale = float(max(self.asked.values(), default=Fraction(1)))

    # Limits in words

    def demand_words(self, index: int) -> str:
        demand = self.demands[index]
        return f"demand of {demand.kind} in {demand.zone}: {demand.rate:g}/s"

    def server_words(self, index: int) -> str:
        return f"capacity of {self.servers[index].name}: {float(self.room[index]):g}/s"

    def zone_words(self, zone: str) -> str:
        members = [index for index, server in enumerate(self.servers) if server.zone == zone]
        if len(members) == 1:
            return self.server_words(members[0])
        return f"capacity of the {len(members)} servers in {zone}: {float(self.zone_room[zone]):g}/s"

    def spill_words(self, zone: str) -> str:
        return f"spill out of {zone}: at most {self.limits.spill[zone]:.0%} of {float(self.asked[zone]):g}/s"

    def not_survived(self) -> list[tuple[str, Fraction]]:
        """Losses that the rest could not carry, and by how much."""
        found: list[tuple[str, Fraction]] = []
        whole, room = sum(self.rates, Fraction(0)), sum(self.room, Fraction(0))
        if self.limits.survive_server and self.servers:
            largest = max(range(len(self.servers)), key=lambda i: self.room[i])
            left = room - self.room[largest]
            words = f"{self.servers[largest].name} lost: {float(left):g}/s would be left for {float(whole):g}/s"
            found.append((words, whole - left))
        for zone in self.serving if self.limits.survive_zone else ():
            left = room - self.zone_room[zone]
            asked = whole - self.asked.get(zone, Fraction(0))
            words = f"zone {zone} lost: {float(left):g}/s would be left for {float(asked):g}/s"
            found.append((words, asked - left))
        return [(words, short) for words, short in found if short > 0]

    # Feasibility, exactly

    def flow(self, limits: _Limits | None = None) -> Flow:
        """An empty flow under all limits, or under some alone."""
        if limits is None:
            rates = [self.asked[zone] for zone in self.asking]
            return Flow(self.asking, self.serving, rates, [self.zone_room[z] for z in self.serving], self.spill)
        asked = _by_zone([self.demands[i] for i in limits.demands], [self.rates[i] for i in limits.demands])
        return Flow(
            self.asking,
            self.serving,
            [asked.get(zone, Fraction(0)) for zone in self.asking],
            [self.zone_room[zone] if zone in limits.capacities else None for zone in self.serving],
            {zone: self.spill[zone] for zone in limits.spills},
        )

    def conflict(self, cut: Cut) -> Conflict:
        """A smallest set of limits that cannot hold together (deletion filter over the cut).

        Lifting the capacity of one server of a zone lifts the zone's: each of them is needed, or none.
        """
        zones = [self.asking[i] for i in cut.demands]
        kept = _Limits(
            [i for i, demand in enumerate(self.demands) if demand.zone in zones],
            [self.serving[i] for i in cut.servers],
            list(cut.zones),
        )
        held: list[Any]
        lists: tuple[list[Any], ...] = kept.demands, kept.capacities, kept.spills
        for held in lists:
            for one in list(held):
                place = held.index(one)
                del held[place]
                if self.flow(kept).fill() is None:
                    held.insert(place, one)
        words = [self.demand_words(i) for i in kept.demands]
        words += [self.server_words(i) for i, server in enumerate(self.servers) if server.zone in kept.capacities]
        words += [self.spill_words(zone) for zone in kept.spills]
        return Conflict(self.group, tuple(words), float(self.flow().shortfall()))

    # The programs: columns by asking zone, then serving zone; rates in units of the largest zone's

    def far(self) -> np.ndarray:
        """The price of each column that crosses zones; 0 for those that stay."""
        prices = self.limits.prices
        return np.array([prices.get((a, b), 1.0) if a != b else 0.0 for a in self.asking for b in self.serving])

    def rows(self) -> list[Row]:
        """Demands, capacities, spills."""
        columns = np.arange(len(self.asking) * len(self.serving), dtype=np.int32).reshape(-1, len(self.serving))
        ones = np.ones(columns.size)
        rows = [
            Row(columns[i], ones[: columns.shape[1]], rate, rate)
            for i, rate in enumerate(float(self.asked[zone]) / self.scale for zone in self.asking)
        ]
        rows += [
            Row(
                columns[:, j],
                ones[: columns.shape[0]],
                -np.inf,
                float(self.zone_room[zone]) / self.scale,
                self.zone_words(zone),
            )
            for j, zone in enumerate(self.serving)
        ]
        for zone, most in sorted(self.spill.items()):
            mine = columns[self.asking.index(zone), [other != zone for other in self.serving]]
            if len(mine):
                rows.append(Row(mine, ones[: len(mine)], -np.inf, float(most) / self.scale, self.spill_words(zone)))
        return rows


@dataclass(slots=True)
class _Limits:
    """Some of a group's limits: places of demands, zones whose capacity counts, zones whose spill does."""

    demands: list[int]
    capacities: list[str]
    spills: list[str]


def _by_zone(placed: Sequence[Demand | PlanServer], numbers: Sequence[Fraction]) -> dict[str, Fraction]:
    found: dict[str, Fraction] = {}
    for one, number in zip(placed, numbers, strict=True):
        found[one.zone] = found.get(one.zone, Fraction(0)) + number
    return found


def solve(problem: Problem, seconds: float = 0.0) -> Plan:
    """The plan, group by group. Raises ``PlanFaultError`` if what was found breaks a limit.

    ``seconds`` bounds each program (0: none); what was not proved in time is a plan within all limits all the same.
    """
    steps = solve_steps(problem, seconds)
    while True:
        try:
            next(steps)
        except StopIteration as ended:
            found: Plan = ended.value
            return found


def solve_steps(problem: Problem, seconds: float = 0.0) -> Generator[str, None, Plan]:
    """As ``solve``, a group at a time: for background work. Yields each group's name once it is done."""
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
    if lost := group.not_survived():
        plan.conflicts.append(Conflict(group.group, (lost[0][0],), float(lost[0][1])))
        return
    flow = group.flow()
    chosen, least = _choose(group, plan, seconds) if group.servers else (None, 0.0)
    if chosen is not None:
        flow.begin(_whole_rates(group, chosen))
    if (cut := flow.fill()) is not None:
        plan.conflicts.append(group.conflict(cut))
        return
    wanted = _shares(group, flow)
    if group.limits.before and group.limits.most_moved < 1:
        held = _held_back(group, wanted)
        if isinstance(held, Conflict):
            plan.conflicts.append(held)
            return
        wanted = held
    load = dict.fromkeys((server.name for server in group.servers), Fraction(0))
    zones = {server.name: server.zone for server in group.servers}
    crossing = price = Fraction(0)
    prices = group.limits.prices
    for demand, rate, parts in zip(group.demands, group.rates, wanted, strict=True):
        held_ = {name: float(part) for name, part in parts.items()}
        plan.shares[demand.kind, demand.group, demand.zone] = {name: part for name, part in held_.items() if part > 0}
        for name, part in parts.items():
            load[name] += rate * part
            if zones[name] != demand.zone:
                crossing += rate * part
                price += rate * part * written(prices.get((demand.zone, zones[name]), 1.0))
    plan.crossing += float(crossing)
    whole = float(sum(group.rates, Fraction(0)))
    plan.gap = max(plan.gap, (float(price) - least * group.scale) / whole)
    for server, room in zip(group.servers, group.usable, strict=True):
        plan.used[server.name] = float(load[server.name] / room) if room else 0.0


def _whole_rates(group: _Group, chosen: np.ndarray) -> Iterator[tuple[int, int, Fraction]]:
    """What was chosen, without dust, and so that each zone's demand is met exactly."""
    count = len(group.serving)
    for place, zone in enumerate(group.asking):
        row = [max(0.0, float(value)) for value in chosen[place * count : (place + 1) * count]]
        kept = {j: Fraction(value) for j, value in enumerate(row) if value > DUST * sum(row)}
        total = sum(kept.values(), Fraction(0))
        for j, value in kept.items():
            yield place, j, group.asked[zone] * value / total


Shares = list[dict[str, Fraction]]  # of each demand, by server


def _shares(group: _Group, flow: Flow) -> Shares:
    """A flow between zones as shares by server: each server has its part of what its zone takes."""
    moved = {(group.asking[a], group.serving[b]): rate for a, b, rate in flow.pairs()}
    parts: dict[str, dict[str, Fraction]] = {zone: {} for zone in group.asking}
    members: dict[str, list[tuple[str, Fraction]]] = {zone: [] for zone in group.serving}
    for server, room in zip(group.servers, group.usable, strict=True):
        if room > 0:
            members[server.zone].append((server.name, room / group.left[server.zone]))
    for (asking, serving), rate in sorted(moved.items()):
        share = rate / group.asked[asking]
        for name, part in members[serving]:
            parts[asking][name] = share * part
    return [parts[demand.zone] for demand in group.demands]


def _held_back(group: _Group, wanted: Shares) -> Shares | Conflict:
    """As far from the plan in force towards the one wanted as may be moved.

    Limits are linear, so whatever lies between two plans that keep them keeps them too; where the one in force no
    longer does, it is moved as far as the limits ask, or the conflict is told.
    """
    known = {server.name for server in group.servers}
    before: Shares = []
    for demand, target in zip(group.demands, wanted, strict=True):
        old = group.limits.before.get((demand.kind, demand.group, demand.zone), {})
        kept = {name: written(share) for name, share in old.items() if name in known and share > 0}
        total = sum(kept.values(), Fraction(0))
        before.append({name: share / total for name, share in kept.items()} if total else target)
    whole = sum(group.rates, Fraction(0))
    moved = (
        sum(
            (
                rate * sum((abs(b.get(n, Fraction(0)) - a.get(n, Fraction(0))) for n in {*a, *b}), Fraction(0)) / 2
                for rate, a, b in zip(group.rates, before, wanted, strict=True)
            ),
            Fraction(0),
        )
        / whole
    )
    most = written(group.limits.most_moved)
    if moved <= most:
        return wanted
    allowed = most / moved
    needed, words = _needed_part(group, before, wanted)
    if needed > allowed:
        limit = f"moved: at most {float(most):.0%} of reads, and {float(needed * moved):.0%} must go elsewhere"
        return Conflict(group.group, (limit, words), 0.0)
    return [
        {
            n: part
            for n in sorted({*a, *b})
            if (part := a.get(n, Fraction(0)) * (1 - allowed) + b.get(n, Fraction(0)) * allowed) > 0
        }
        for a, b in zip(before, wanted, strict=True)
    ]


def _needed_part(group: _Group, before: Shares, wanted: Shares) -> tuple[Fraction, str]:
    """How far one must go from the plan in force until every limit holds, and the limit that asks for it."""

    def totals(shares: Shares) -> dict[str, Fraction]:
        found = dict.fromkeys((*group.room_by_name, *(f"\0{zone}" for zone in group.spill)), Fraction(0))
        for demand, rate, parts in zip(group.demands, group.rates, shares, strict=True):
            for name, part in parts.items():
                found[name] += rate * part
                if group.zone_of[name] != demand.zone and demand.zone in group.spill:
                    found[f"\0{demand.zone}"] += rate * part
        return found

    old, new, worst = totals(before), totals(wanted), (Fraction(0), "")
    for index, server in enumerate(group.servers):
        if (over := old[server.name] - group.room[index]) > 0:
            worst = max(worst, (over / (old[server.name] - new[server.name]), group.server_words(index)))
    for zone, most in group.spill.items():
        if (over := old[f"\0{zone}"] - most) > 0:
            worst = max(worst, (over / (old[f"\0{zone}"] - new[f"\0{zone}"]), group.spill_words(zone)))
    return worst


def _choose(group: _Group, plan: Plan, seconds: float) -> tuple[np.ndarray | None, float]:
    """What the programs choose, one aim after the other, and the least price; None where nothing was found."""
    rows, far = group.rows(), group.far()
    first = run(far, rows, seconds)
    if first is None:
        return None, 0.0
    _binding(rows, first[1], plan)
    size, count = len(far), len(group.serving)
    across = np.flatnonzero(far).astype(np.int32)
    keep = [Row(across, far[across], -np.inf, float(first[0] @ far) + TOLERANCE)] if len(across) else []
    columns = np.arange(size, dtype=np.int32).reshape(-1, count)
    left = [float(group.left[zone]) / group.scale for zone in group.serving]
    ones = np.ones(len(group.asking))
    busy = [
        Row(np.append(columns[:, j], np.int32(size)), np.append(ones, -room), -np.inf, 0.0)
        for j, room in enumerate(left)
        if room > 0
    ]
    second = run(np.append(np.zeros(size), 1.0), [*rows, *keep, *busy], seconds)
    if second is None:
        return first[0], float(first[0] @ far)
    most = float(second[0][size]) + TOLERANCE
    bounds = [Row(columns[:, j], ones, -np.inf, most * room + TOLERANCE) for j, room in enumerate(left)]
    turn = np.arange(size)
    third = run((1 + (turn % count) * (1 + turn / 1000)) / size, [*rows, *keep, *bounds], seconds)
    return (third[0] if third is not None else second[0][:size]), float(first[0] @ far)


def _binding(rows: list[Row], duals: np.ndarray, plan: Plan) -> None:
    """Which limits cost crossings, in plain words."""
    for row, price in zip(rows, duals, strict=True):
        if price < -1e-6 and row.words:
            plan.binding.append(f"{row.words}; one request a second more would spare {-price:.2g}/s between zones")
