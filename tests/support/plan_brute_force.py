"""Exact brute-force check of plans, independent of the solver; all cases: python -m tests.support.plan_brute_force."""

import itertools
from concurrent.futures import ProcessPoolExecutor
from fractions import Fraction

from yardbank.plan import Demand, Limits, PlanServer, Problem, solve


def written(value):
    """The exact decimal value of a number as the operator writes it: 0.1 is one tenth."""
    return Fraction(str(value))


def exact(problem):
    """Returns the lowest cross-zone rate, by successive shortest paths in rationals; None if infeasible."""
    total = Fraction(0)
    for group in problem.groups():
        servers = [s for s in problem.servers if s.group == group]
        demands = [d for d in problem.demands if d.group == group]
        edges, ends = {}, {}

        def add(a, b, cap, cost, edges=edges, ends=ends):
            edges[a, b], edges[b, a] = [Fraction(cap), cost], edges.get((b, a), [Fraction(0), -cost])
            ends.setdefault(a, set()).add(b)
            ends.setdefault(b, set()).add(a)

        for d in demands:
            add("from", d, written(d.rate), 0)
            share = written(problem.limits.spill.get(d.zone, 1))
            add(d, ("out", d.zone), Fraction(10**9), 1)
            for s in servers:
                if s.zone == d.zone:
                    add(d, s, Fraction(10**9), 0)
        for zone in {d.zone for d in demands}:
            asked = sum(written(d.rate) for d in demands if d.zone == zone)
            share = written(problem.limits.spill.get(zone, 1))
            add(("out", zone), ("away", zone), asked * share, 0)
            for s in servers:
                if s.zone != zone:
                    add(("away", zone), s, Fraction(10**9), 0)
        for s in servers:
            usable = written(s.capacity) * written(s.warmth) - written(s.taken)
            add(s, "to", max(Fraction(0), usable), 0)
        flow = cost = Fraction(0)
        while True:  # Bellman-Ford, because residual edges have negative costs
            best, before = {"from": 0}, {}
            for _ in range(len(ends)):
                for (a, b), (cap, price) in edges.items():
                    if cap > 0 and a in best and best[a] + price < best.get(b, 10**9):
                        best[b], before[b] = best[a] + price, a
            if "to" not in best:
                break
            path, at = [], "to"
            while at != "from":
                path.append((before[at], at))
                at = before[at]
            step = min(edges[edge][0] for edge in path)
            for a, b in path:
                edges[a, b][0] -= step
                edges[b, a][0] += step
            flow, cost = flow + step, cost + step * best["to"]
        if flow < sum(written(d.rate) for d in demands):
            return None
        total += cost
    return total


def grid(most_servers, stride):
    """Yields every ``stride``-th case with up to ``most_servers`` servers in 3 zones."""
    zones, number = ("a", "b", "c"), 0
    for count in range(1, most_servers + 1):
        for places in itertools.product(zones, repeat=count):
            for capacity, spill, warm in itertools.product((0, 5, 8), (None, 0, 0.25), (1.0, 0.3)):
                number += 1
                if number % stride:
                    continue
                servers = tuple(
                    PlanServer(f"s{n}", "g", zone, capacity + n % 3, warm if n == 0 else 1.0)
                    for n, zone in enumerate(places)
                )
                demands = tuple(Demand("read", "g", zone, rate) for zone, rate in zip(zones, (6, 3, 1)))
                limits = Limits(spill={} if spill is None else {"a": spill, "b": 0.5})
                yield Problem(servers, demands, limits)


def check(problem):
    wanted, plan = exact(problem), solve(problem)
    assert plan.feasible == (wanted is not None)
    if wanted is None:
        return False
    assert abs(plan.crossing - float(wanted)) < 1e-4
    used = dict.fromkeys((s.name for s in problem.servers), 0.0)
    for demand in problem.demands:
        shares = plan.shares.get((demand.kind, demand.group, demand.zone), {})
        assert abs(sum(shares.values()) - (demand.rate > 0)) < 1e-5
        for name, share in shares.items():
            used[name] += share * demand.rate
    for server in problem.servers:  # a server that has just started can carry its share
        assert used[server.name] <= server.usable + 1e-4
    return True


def check_part(part):
    """Checks one of 64 parts of all cases; returns the number of cases and of feasible ones."""
    found = [check(problem) for problem in itertools.islice(grid(6, 1), part, None, 64)]
    return len(found), sum(found)


def main():
    """Checks every case of up to 6 servers and 3 zones and stores the figures."""
    from benchmarks.common import keep, table

    with ProcessPoolExecutor(6) as pool:
        parts = list(pool.map(check_part, range(64)))
    cases, feasible = (sum(part[n] for part in parts) for n in (0, 1))
    row = [f"{cases:,}", f"{feasible:,}", f"{cases - feasible:,}", "0"]
    notes = [
        "Every placement of 1 to 6 servers in 3 zones, 3 capacities, 3 spill limits, first server warm or cold. Judge: "
        "least-cost flow in rationals by successive shortest paths."
    ]
    keep(
        "plan-grid",
        "Plans against brute force",
        [table("Every case", ["cases", "feasible", "not feasible", "another verdict or optimum"], [row], notes)],
    )


if __name__ == "__main__":
    main()
