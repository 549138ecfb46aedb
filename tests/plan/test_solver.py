"""Checks plans against exact minimum-cost flows, computed in rationals by code independent of the solver."""

import json
import random
import subprocess
import sys
from dataclasses import replace
from fractions import Fraction

import pytest
from click.testing import CliRunner

from tests.support.plan_brute_force import check, exact, grid, written
from yardbank.cli import main
from yardbank.plan import Demand, Limits, PlanServer, Problem, solve
from yardbank.plan.model import relaxed, warmth_of
from yardbank.server_list.document import read_plans


def test_feasibility_and_optimum_match_brute_force():
    found = [check(problem) for problem in grid(6, 47)]
    assert len(found) > 300 and 50 < sum(found) < len(found) - 50


def problem_of_mixed_magnitude(random_source):
    """A problem with numbers of very different magnitude, often just feasible or just infeasible."""

    def scale(low, high):
        return float(f"{10 ** random_source.uniform(low, high):.{random_source.choice((1, 3, 6))}g}")

    servers = tuple(
        PlanServer(
            f"s{n}",
            "g",
            random_source.choice("abc"),
            random_source.choice((0.0, scale(-3, 6), scale(-1, 4))),
            random_source.choice((1.0, 0.3, 0.001)),
            random_source.choice((0.0, 0.0, scale(-3, 2))),
        )
        for n in range(random_source.randint(1, 7))
    )
    demands = [Demand("read", "g", zone, scale(-3, 4)) for zone in "abc" if random_source.random() < 0.8]
    limits = Limits(spill={zone: random_source.choice((0.0, 1.0, round(random_source.random(), 4))) for zone in "ab"})
    if demands and random_source.random() < 0.4:  # demand equals the total capacity, or slightly exceeds it
        room = sum(
            (max(Fraction(0), written(s.capacity) * written(s.warmth) - written(s.taken)) for s in servers), Fraction(0)
        )
        rest = room - sum((written(d.rate) for d in demands[1:]), Fraction(0))
        exactly = float(rest)
        if rest > 0 and written(exactly) == rest:
            demands[0] = Demand("read", "g", demands[0].zone, random_source.choice((exactly, exactly * 1.000001)))
    return Problem(servers, tuple(demands), limits)


def within_limits(problem, plan):
    """Checks a plan against all limits in rationals, independently of the solver."""
    zone = {s.name: s.zone for s in problem.servers}
    load_by_server, spilled_by_zone, demand_by_zone = {}, {}, {}
    for d in problem.demands:
        shares = {name: Fraction(share) for name, share in plan.shares.get((d.kind, d.group, d.zone), {}).items()}
        assert abs(sum(shares.values()) - 1) <= Fraction(1, 10**9)
        demand_by_zone[d.zone] = demand_by_zone.get(d.zone, 0) + written(d.rate)
        for name, share in shares.items():
            assert share > 0
            load_by_server[name] = load_by_server.get(name, 0) + share * written(d.rate)
            spilled_by_zone[d.zone] = spilled_by_zone.get(d.zone, 0) + (zone[name] != d.zone) * share * written(d.rate)
    for s in problem.servers:
        room = max(Fraction(0), written(s.capacity) * written(s.warmth) - written(s.taken))
        assert load_by_server.get(s.name, 0) <= room * (1 + Fraction(1, 10**9))
    for name, most in problem.limits.spill.items():
        assert spilled_by_zone.get(name, 0) <= written(most) * demand_by_zone.get(name, 0) * (1 + Fraction(1, 10**9))


def test_feasibility_is_exact_for_numbers_of_very_different_magnitude():
    random_source, feasible = random.Random(19), 0
    for _ in range(400):
        problem = problem_of_mixed_magnitude(random_source)
        optimum, plan = exact(problem), solve(problem)
        assert plan.feasible == (optimum is not None), problem
        if optimum is not None and problem.demands:
            feasible += 1
            within_limits(problem, plan)
            total = sum(d.rate for d in problem.demands)
            assert abs(plan.crossing - float(optimum)) <= 1e-6 * total, problem
    assert 80 < feasible < 350


def test_a_tiny_demand_beside_a_huge_capacity_is_not_rounded_away():
    servers = (PlanServer("big", "g", "a", 1e6), PlanServer("none", "g", "b", 0.0))
    problem = Problem(servers, (Demand("read", "g", "b", 0.001),), Limits(spill={"b": 0.0}))
    (conflict,) = solve(problem).conflicts
    assert set(conflict.limits) == {
        "demand of read in b: 0.001/s",
        "capacity of none: 0/s",
        "spill out of b: at most 0% of 0.001/s",
    }
    assert conflict.unserved == pytest.approx(0.001)


def can_hold_together(problem, conflict, without=""):
    """Whether the limits of a conflict, except ``without``, can all hold if no other limit applies."""
    descriptions = [limit for limit in conflict.limits if limit != without]
    named = {
        server.name
        for server in problem.servers
        if any(w.startswith(f"capacity of {server.name}:") for w in descriptions)
    }
    servers = tuple(s if s.name in named else replace(s, capacity=1e11, warmth=1.0, taken=0.0) for s in problem.servers)
    demands = tuple(
        d for d in problem.demands if any(w.startswith(f"demand of {d.kind} in {d.zone}:") for w in descriptions)
    )
    spill = {
        zone: share
        for zone, share in problem.limits.spill.items()
        if any(w.startswith(f"spill out of {zone}:") for w in descriptions)
    }
    return exact(Problem(servers, demands, Limits(spill=spill))) is not None


def test_conflicts_are_minimal():
    random_source, seen = random.Random(5), 0
    while seen < 80:
        # With one demand per zone, a spill limit is a share of that demand.
        problem = problem_of_mixed_magnitude(random_source)
        if (plan := solve(problem)).feasible:
            continue
        seen += 1
        (conflict,) = plan.conflicts
        assert not can_hold_together(problem, conflict), problem
        for limit in conflict.limits:
            assert can_hold_together(problem, conflict, limit), (problem, conflict, limit)


def test_a_conflict_names_only_the_classes_that_contribute():
    servers = (PlanServer("s1", "g", "a", 10), PlanServer("s2", "g", "a", 0))
    demands = (Demand("large", "g", "a", 40), Demand("small", "g", "a", 1), Demand("other", "g", "b", 1))
    (conflict,) = solve(Problem(servers, demands)).conflicts
    assert set(conflict.limits) == {"demand of large in a: 40/s", "capacity of s1: 10/s", "capacity of s2: 0/s"}
    assert conflict.unserved == pytest.approx(32)


def test_a_conflict_is_minimal_and_gives_the_unserved_rate():
    servers = (PlanServer("s1", "g", "a", 5), PlanServer("s2", "g", "b", 100))
    problem = Problem(servers, (Demand("read", "g", "a", 20),), Limits(spill={"a": 0.5}))
    (conflict,) = solve(problem).conflicts
    assert set(conflict.limits) == {
        "demand of read in a: 20/s",
        "capacity of s1: 5/s",
        "spill out of a: at most 50% of 20/s",
    }
    assert abs(conflict.unserved - 5) < 1e-3
    assert solve(problem).shares == {}
    for easier in (
        Problem(servers, (Demand("read", "g", "a", 15),), Limits(spill={"a": 0.7})),
        Problem((PlanServer("s1", "g", "a", 10), servers[1]), problem.demands, problem.limits),
        Problem(servers, problem.demands, Limits(spill={"a": 0.75})),
    ):
        assert solve(easier).feasible


@pytest.mark.parametrize(
    ("servers", "limits", "word"),
    [
        ((PlanServer("s1", "g", "a", 10), PlanServer("s2", "g", "a", 8)), Limits(survive_server=True), "s1 lost"),
        ((PlanServer("s1", "g", "a", 20), PlanServer("s2", "g", "b", 0)), Limits(survive_zone=True), None),
        ((PlanServer("s1", "g", "a", 0),), Limits(), "capacity of s1: 0/s"),
        ((), Limits(), "demand of read in a"),
        ((PlanServer("s1", "g", "a", 20, 0.3),), Limits(), "capacity of s1: 6/s"),  # all servers of the zone are cold
        ((PlanServer("s1", "g", "a", 20, taken=15),), Limits(), "capacity of s1: 5/s"),
    ],
)
def test_infeasible_and_borderline_cases(servers, limits, word):
    plan = solve(Problem(servers, (Demand("read", "g", "a", 9),), limits))
    assert plan.feasible == (word is None)
    assert word is None or any(word in limit for limit in plan.conflicts[0].limits)


def test_reads_move_at_most_as_far_as_most_moved_allows():
    servers = (PlanServer("s1", "g", "a", 100), PlanServer("s2", "g", "a", 100))
    key, demands = ("read", "g", "a"), (Demand("read", "g", "a", 80),)
    old = {key: {"s1": 1.0}}
    half = solve(Problem(servers, demands, Limits(most_moved=0.2, before=old))).shares[key]
    assert half == pytest.approx({"s1": 0.8, "s2": 0.2})  # equal shares would move half of the reads
    assert solve(Problem(servers, demands, Limits(most_moved=0.5, before=old))).shares[key] == {"s1": 0.5, "s2": 0.5}
    small = (PlanServer("s1", "g", "a", 60), servers[1])  # s1 has less capacity: a quarter must move
    (conflict,) = solve(Problem(small, demands, Limits(most_moved=0.2, before=old))).conflicts
    assert conflict.limits == ("moved: at most 20% of reads, and 25% must go elsewhere", "capacity of s1: 60/s")
    just = solve(Problem(small, demands, Limits(most_moved=0.25, before=old))).shares[key]
    assert just == pytest.approx({"s1": 0.75, "s2": 0.25})
    gone = solve(Problem(servers, demands, Limits(most_moved=0.0, before={key: {"lost": 0.5, "s2": 0.5}}))).shares[key]
    assert gone == {"s2": 1.0}  # the share of a removed server goes to the others of the active plan


def test_cross_zone_reads_go_to_the_zone_with_the_lower_price():
    servers = (PlanServer("b1", "g", "b", 100), PlanServer("c1", "g", "c", 100))
    demands = (Demand("read", "g", "a", 80),)
    for near, far in (("b", "c"), ("c", "b")):
        plan = solve(Problem(servers, demands, Limits(prices={("a", near): 1.0, ("a", far): 3.0})))
        assert plan.shares["read", "g", "a"] == {f"{near}1": 1.0} and plan.crossing == 80.0
    with pytest.raises(ValueError, match="price from 'a' to 'b'"):
        Problem(servers, demands, Limits(prices={("a", "b"): 0.0}))


def test_the_gap_is_the_distance_from_the_optimal_price():
    servers = (PlanServer("a1", "g", "a", 100), PlanServer("b1", "g", "b", 100))
    demands, key = (Demand("read", "g", "a", 80),), ("read", "g", "a")
    plan = solve(Problem(servers, demands))
    assert plan.proven and plan.gap == 0
    held = solve(Problem(servers, demands, Limits(most_moved=0.25, before={key: {"b1": 1.0}})))
    assert held.gap == pytest.approx(0.75) and not held.proven  # three quarters still cross zones without need
    # Without time for any linear program, the plan still respects all limits.
    late = solve(Problem(servers, demands), seconds=1e-12)
    assert late.feasible and sum(late.shares[key].values()) == pytest.approx(1)


def test_limits_are_relaxed_only_by_name_and_the_plan_names_them(tmp_path):
    file, out = tmp_path / "model.hcl", tmp_path / "made.hcl"
    file.write_text(MODEL.replace("a = 0.5", "a = 0.4"))
    assert call("solve", file, "--zone", "a", "--out", out).exit_code == 4 and not out.exists()
    done = call("solve", file, "--zone", "a", "--out", out, "--relax", "spill")
    assert done.exit_code == 0 and "WITHOUT spill" in done.output and 'relaxed = "spill"' in out.read_text()
    (made,) = read_plans({"made.hcl": out.read_bytes()})
    assert made.relaxed == "spill" and made.proven
    assert call("solve", file, "--relax", "demand").exit_code == 2
    with pytest.raises(ValueError, match="none of spill"):
        relaxed(Problem((), ()), ("demand",))


def test_equal_servers_get_equal_shares_and_the_same_input_gives_the_same_plan():
    servers = tuple(PlanServer(f"s{n}", "g", "a", 10) for n in range(4))
    problem = Problem(servers, (Demand("read", "g", "a", 20), Demand("status", "g", "a", 4)))
    plan = solve(problem)
    assert all(abs(use - 0.6) < 1e-4 for use in plan.used.values())
    again = solve(Problem(tuple(reversed(servers)), tuple(reversed(problem.demands))))
    assert again.shares == plan.shares


def test_binding_limits_are_described_for_capacities_of_different_magnitude():
    servers = (PlanServer("small", "g", "a", 0.5), PlanServer("large", "g", "b", 1e6))
    plan = solve(Problem(servers, (Demand("read", "g", "a", 1000.0),)))
    assert plan.feasible and abs(plan.crossing - 999.5) < 1
    assert any(limit.startswith("capacity of small") and "spare 1/s" in limit for limit in plan.binding)


def test_an_invalid_problem_is_rejected_with_its_cause():
    with pytest.raises(ValueError, match="given twice"):
        Problem((PlanServer("s", "g", "a", 1), PlanServer("s", "g", "b", 1)), ())
    with pytest.raises(ValueError, match="out of range"):
        Problem((PlanServer("s", "g", "a", float("nan")),), ())
    with pytest.raises(ValueError, match="spill of zone 'a'"):
        Problem((), (), Limits(spill={"a": 2}))
    assert [warmth_of(age, 10, 0.3) for age in (0, 5, 99)] == pytest.approx([0.3, 0.65, 1.0])


MODEL = """
server "s1" {
  group    = "g"
  zone     = "a"
  capacity = 10
}

server "s2" {
  group    = "g"
  zone     = "b"
  capacity = 100
  age      = 0
}

demand "read" {
  group = "g"
  zone  = "a"
  rate  = 20
}

limits {
  cold       = 10
  cold_share = 0.3
}

spill {
  a = 0.5
}
"""


def call(*arguments):
    return CliRunner().invoke(main, ["plan", *map(str, arguments)])


def test_commands_solve_and_explain(tmp_path):
    file, out = tmp_path / "model.hcl", tmp_path / "weights.hcl"
    file.write_text(MODEL)
    done = call("solve", file, "--zone", "a", "--out", out)
    assert done.exit_code == 0 and "0.500" in done.output and "10/s between zones" in done.output
    assert "s1 = 1.0" in out.read_text() and "s2 = 1.0" in out.read_text()
    assert json.loads(call("solve", file, "--json").output)["crossing"] == pytest.approx(10, abs=1e-3)
    explained = call("explain", file).output
    assert "s1: 100% of 10/s" in explained and "s2: 33% of 30/s" in explained and "capacity of s1" in explained
    out.unlink()
    file.write_text(MODEL.replace("a = 0.5", "a = 0.4"))
    done = call("solve", file, "--zone", "a", "--out", out)
    assert done.exit_code == 4 and "spill out of a: at most 40%" in done.output and not out.exists()
    for old, new, reason in (
        ("rate  = 20", "rate  = -1", "model.hcl:18: demand 'read': rate"),
        ("capacity = 10\n", "", "server 's1': capacity: missing"),
        ("a = 0.5", 'a = "x"', "a share between 0 and 1"),
        ("limits {", "limit {", "limit: unknown block"),
        ('server "s2"', 'server "s1"', "a name is given twice"),
    ):
        file.write_text(MODEL.replace(old, new, 1))
        done = call("explain", file)
        assert done.exit_code == 2 and reason in done.output


def test_stdout_contains_only_the_result(tmp_path):
    (tmp_path / "model.hcl").write_text(MODEL)
    command = [sys.executable, "-m", "yardbank", "plan", "solve", str(tmp_path / "model.hcl"), "--json"]
    done = subprocess.run(command, capture_output=True, text=True, check=True)
    assert json.loads(done.stdout)["crossing"] == pytest.approx(10, abs=1e-3)


def test_a_written_plan_is_read_as_a_part_of_a_watched_list(tmp_path):
    from yardbank.gateway import ServerSpec
    from yardbank.server_list import read_set
    from yardbank.server_list.document import render

    file, out = tmp_path / "model.hcl", tmp_path / "weights.hcl"
    file.write_text(MODEL.replace("a = 0.5", "a = 1"))
    assert call("solve", file, "--zone", "a", "--out", out).exit_code == 0
    listed = render([ServerSpec(f"s{n}", "g", "ab"[n - 1], "h", n) for n in (1, 2)]).encode()
    fleet = read_set({"servers.hcl": listed, "weights.hcl": out.read_bytes()}, ["g"])
    assert [server.weight for server in fleet.servers] == [1.0, 1.0]
