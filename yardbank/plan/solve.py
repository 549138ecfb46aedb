"""The model as linear programs (HiGHS), one group at a time: groups share neither servers nor limits.

In this order, each kept while the next is sought: least traffic between zones; least use of the busiest server;
then the earliest servers by name, so that the same input gives the same plan. Where nothing is feasible the
answer is a smallest set of limits that cannot hold together, in the operator's words, and by how much.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

import highspy

from yardbank.plan.model import Demand, PlanServer, Problem

TOLERANCE = 1e-7  # of the largest rate


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

    @property
    def feasible(self) -> bool:
        """Whether every group has an answer."""
        return not self.conflicts


@dataclass(slots=True)
class _Row:
    """One limit: ``low <= sum(coefficient * variable) <= high``."""

    words: str
    terms: list[tuple[int, float]]
    low: float
    high: float


class _Program:
    """A group's linear program: variables are rates, (demand, server)."""

    def __init__(self, group: str, problem: Problem) -> None:
        self.group = group
        self.servers = sorted((s for s in problem.servers if s.group == group), key=lambda s: s.name)
        self.demands = sorted(
            (d for d in problem.demands if d.group == group and d.rate > 0), key=lambda d: (d.kind, d.zone)
        )
        self.scale = max([d.rate for d in self.demands] + [s.usable for s in self.servers] + [1e-9])
        self.pairs = [(d, s) for d in self.demands for s in self.servers]
        self.crossing = [float(d.zone != s.zone) for d, s in self.pairs]
        self.rows = self._rows(problem)

    def _columns(self, keep: Callable[[Demand, PlanServer], bool]) -> list[tuple[int, float]]:
        return [(index, 1.0) for index, (d, s) in enumerate(self.pairs) if keep(d, s)]

    def _rows(self, problem: Problem) -> list[_Row]:
        limits, rows, free = problem.limits, [], float("inf")
        for demand in self.demands:
            words = f"demand of {demand.kind} in {demand.zone}: {demand.rate:g}/s"
            rows.append(_Row(words, self._columns(lambda d, s, x=demand: d is x), demand.rate, demand.rate))  # type: ignore[misc]
        for server in self.servers:
            most = server.usable * limits.most_used
            words = f"capacity of {server.name}: {most:g}/s"
            rows.append(_Row(words, self._columns(lambda d, s, x=server: s is x), -free, most))  # type: ignore[misc]
        zones = sorted({d.zone for d in self.demands})
        for zone in zones:
            if zone in limits.spill:
                total = sum(d.rate for d in self.demands if d.zone == zone)
                most = limits.spill[zone] * total
                words = f"spill out of {zone}: at most {limits.spill[zone]:.0%} of {total:g}/s"
                inside = self._columns(lambda d, s, z=zone: d.zone == z and s.zone != z)  # type: ignore[misc]
                rows.append(_Row(words, inside, -free, most))
        whole = sum(d.rate for d in self.demands)
        if limits.survive_server and self.servers:
            largest = max(self.servers, key=lambda s: s.usable)
            left = sum(s.usable for s in self.servers if s is not largest) * limits.most_used
            rows.append(_Row(f"{largest.name} lost: {left:g}/s would be left for {whole:g}/s", [], whole - left, free))
        for zone in sorted({s.zone for s in self.servers}) if limits.survive_zone else ():
            left = sum(s.usable for s in self.servers if s.zone != zone) * limits.most_used
            asked = sum(d.rate for d in self.demands if d.zone != zone)
            rows.append(_Row(f"zone {zone} lost: {left:g}/s would be left for {asked:g}/s", [], asked - left, free))
        return rows

    def run(
        self,
        cost: list[float],
        rows: list[_Row],
        extra: tuple[_Row, ...] = (),
        more: int = 0,
    ) -> tuple[list[float], list[float]] | None:
        """Least cost under some rows; values and prices of the rows, or None where nothing is feasible.

        A row without variables (a limit on the input alone) holds or not. ``more`` variables follow the rates.
        """
        slack = TOLERANCE * self.scale
        for row in rows:
            if not row.terms and not (row.low <= slack and row.high >= -slack):
                return None
        if not cost:  # no server to send anything to: what has no variables was judged above
            return [], [0.0] * (len(rows) + len(extra))
        model = highspy.Highs()
        for name, value in (("output_flag", False), ("threads", 1), ("random_seed", 1), ("presolve", "off")):
            model.setOptionValue(name, value)
        infinity = model.inf
        for price in cost:
            model.addVar(0.0, infinity)
            model.changeColCost(model.getNumCol() - 1, price)
        for row in (*rows, *extra):
            low = row.low / self.scale if row.low > -float("inf") else -infinity
            high = row.high / self.scale if row.high < float("inf") else infinity
            terms = row.terms
            if terms:
                model.addRow(low, high, len(terms), [i for i, _ in terms], [c for _, c in terms])
        model.run()
        if model.getModelStatus() != highspy.HighsModelStatus.kOptimal:
            return None
        solution = model.getSolution()
        duals, at = [], 0
        for row in (*rows, *extra):
            duals.append(solution.row_dual[at] if row.terms else 0.0)
            at += bool(row.terms)
        size = len(self.pairs)
        values = [value * self.scale for value in solution.col_value[:size]]
        return values + list(solution.col_value[size : size + more]), duals

    def feasible(self, rows: list[_Row]) -> bool:
        """Whether some rates keep all of these rows."""
        return self.run([0.0] * len(self.pairs), rows) is not None

    def conflict(self) -> Conflict:
        """A smallest set of limits that cannot hold together (deletion filter)."""
        kept = list(self.rows)
        for row in list(kept):
            fewer = [other for other in kept if other is not row]
            if not self.feasible(fewer):
                kept = fewer
        size, count = len(self.pairs), len(self.demands)
        relaxed = [
            _Row(row.words, [*row.terms, (size + index, 1.0)], row.low, row.high) if index < count else row
            for index, row in enumerate(self.rows)
            if row.terms or index < count
        ]
        found = self.run([0.0] * size + [1.0] * count, relaxed, more=count)
        unserved = sum(found[0][size:]) * self.scale if found else float("nan")
        return Conflict(self.group, tuple(row.words for row in kept), unserved)


def solve(problem: Problem) -> Plan:
    """The plan, group by group."""
    plan = Plan()
    for group in problem.groups():
        program = _Program(group, problem)
        if program.demands and not program.feasible(program.rows):
            plan.conflicts.append(program.conflict())
        elif program.demands:
            _solve_group(program, plan)
        for server in program.servers:
            plan.used.setdefault(server.name, 0.0)
    if plan.conflicts:
        return Plan(conflicts=plan.conflicts)
    return plan


def _solve_group(program: _Program, plan: Plan) -> None:
    size, scale = len(program.pairs), program.scale
    first = program.run(program.crossing, program.rows)
    assert first is not None
    crossing = sum(rate * far for rate, far in zip(first[0], program.crossing, strict=True))
    _binding(program, first[1], plan)
    slack = TOLERANCE * scale
    far = [(index, 1.0) for index, value in enumerate(program.crossing) if value]
    keep = _Row("least crossing", far, -float("inf"), crossing + slack)
    busiest = tuple(
        _Row(
            "use",
            [*((i, 1.0) for i, (_, s) in enumerate(program.pairs) if s is server), (size, -server.usable / scale)],
            -float("inf"),
            0.0,
        )
        for server in program.servers
    )
    second = program.run([0.0] * size + [1.0], program.rows, (keep, *busiest), 1)
    assert second is not None
    most = second[0][size] + TOLERANCE
    bounds = tuple(
        _Row("use", [(i, 1.0) for i, (_, s) in enumerate(program.pairs) if s is server], -float("inf"),
             most * server.usable + slack)
        for server in program.servers
    )  # fmt: skip
    order = {server.name: place for place, server in enumerate(program.servers)}
    tie = [1 + order[s.name] * (1 + turn / 1000) for turn, (_, s) in enumerate(program.pairs)]
    third = program.run([price / len(tie) for price in tie], program.rows, (keep, *bounds)) or (second[0][:size], [])
    rates = [max(0.0, rate) for rate in third[0][:size]]
    plan.crossing += sum(rate * cross for rate, cross in zip(rates, program.crossing, strict=True))
    for (demand, server), rate in zip(program.pairs, rates, strict=True):
        share = round(rate / demand.rate, 9)
        if share > 0:
            plan.shares.setdefault((demand.kind, demand.group, demand.zone), {})[server.name] = share
    for server in program.servers:
        total = sum(rate for (_, s), rate in zip(program.pairs, rates, strict=True) if s is server)
        plan.used[server.name] = total / server.usable if server.usable else 0.0


def _binding(program: _Program, duals: list[float], plan: Plan) -> None:
    """Which limits cost crossings, in plain words."""
    for row, price in zip(program.rows, duals, strict=True):
        if price < -1e-6 and row.high < float("inf") and row.low != row.high:
            plan.binding.append(f"{row.words}; one request a second more would spare {-price:.2g}/s between zones")
