"""How a gateway applies a plan, and that all gateways together send the planned shares."""

import itertools
import random
import time
from fractions import Fraction

import pytest
from click.testing import CliRunner
from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet.defer import gatherResults

from tests.config.test_settings import TEXT
from tests.support.reactor_thread import Desk, run, until, world
from yardbank.cli import main
from yardbank.config.fleet_position import FleetPosition
from yardbank.gateway.api import ServerSpec
from yardbank.ldap import messages as m
from yardbank.plan.active_plan import MadePlan, Warming, choose, list_hash, view
from yardbank.plan.aperture import ApertureError, Ring, aperture
from yardbank.server_list.document import ServerListError, read_plans, read_set, render
from yardbank.server_list.incremental_reader import ListReader
from yardbank.server_list.watcher import read_files
from yardbank.testing.audit import judge
from yardbank.testing.standin.server import Capacity

NOW = 1_000_000.0

ALL, WARM = FleetPosition(), Warming()


def spec(number, **more):
    base = {
        "name": f"s{number}",
        "group": "g",
        "zone": "ab"[number % 2],
        "host": "h",
        "port": number,
        "primary": number == 0,
    }
    return ServerSpec(**(base | more))


SERVERS = tuple(spec(n) for n in range(6))


def plan(**more):
    base = {
        "zone": "a",
        "list_hash": list_hash(SERVERS),
        "made": NOW - 10,
        "fade": 100.0,
        "weights": {"s1": 2.0, "s2": 0.5},
    }
    return MadePlan(**(base | more))


def weights(plans, wall=NOW, servers=SERVERS, place=ALL, warming=WARM):
    found = view(servers, plans, "a", wall, place, warming)
    return {s.name: s.weight for s in found.servers}, found


@given(st.lists(st.integers(0, 50), min_size=1, max_size=40), st.integers(1, 30), st.integers(1, 40))
@settings(max_examples=300, deadline=None)
def test_apertures_of_all_gateways_add_up_to_the_planned_shares(sizes, gateways, most):
    shares = {f"s{n}": Fraction(size) for n, size in enumerate(sizes)}
    ring = Ring(shares)
    if not ring.names:
        assert aperture(shares, 0, gateways, most).weights == {}
        return
    try:
        arcs = ring.arcs(gateways, most)
    except ApertureError:
        arc = ring.length / gateways
        assert any(len(ring.covered(arc * g, arc)) > most for g in range(gateways))  # one arc touches too many servers
        return
    total = dict.fromkeys(ring.names, Fraction(0))
    arc = ring.length / gateways
    for gateway in range(gateways):
        places = ring.covered(arc * gateway, arc * arcs)
        assert len(places) == len(set(places)) and (most >= len(ring.names) or len(places) <= most)
        parts = {ring.names[p]: ring.overlap(p, arc * gateway, arc * arcs) for p in places}
        assert all(part > 0 for part in parts.values()) and sum(parts.values()) == arc * arcs
        for name, part in parts.items():
            total[name] += part
        found = aperture(shares, gateway, gateways, most, spares=3)
        assert set(found.weights) == set(parts) and not set(found.spares) & set(parts)
        assert len(found.spares) == min(3, len(sizes) - len(parts))
    assert all(total[name] == arcs * shares[name] for name in total)


def test_removing_a_server_changes_few_connections_of_each_gateway():
    names = {f"s{n}": Fraction(1) for n in range(300)}
    before = [set(aperture(names, g, 30, 20).weights) for g in range(30)]
    moved = []
    for lost in ("s7", "s123", "s250"):
        rest = {name: share for name, share in names.items() if name != lost}
        after = [set(aperture(rest, g, 30, 20).weights) for g in range(30)]
        moved += [len(a - b) for a, b in zip(after, before, strict=True)]
    assert max(moved) <= 2 and sum(moved) / len(moved) <= 1.1


def test_too_many_servers_for_the_limit_is_an_error_and_all_are_used():
    with pytest.raises(ApertureError, match="at most 2 servers a gateway: 3 gateways cannot cover 9"):
        aperture({f"s{n}": Fraction(1) for n in range(9)}, 0, 3, 2)
    found, seen = weights((), place=FleetPosition(0, 1, 2, 0))
    assert set(found) == {s.name for s in SERVERS} and "all are used" in seen.note


def test_a_plan_applies_only_to_the_list_it_was_made_for():
    assert weights((plan(),))[0] == {"s0": 0.001, "s1": 2.0, "s2": 0.5, "s3": 0.001, "s4": 0.001, "s5": 0.001}
    assert set(weights((plan(list_hash="x"),))[0].values()) == {1.0}
    assert "held back: made for list x" in weights((plan(list_hash="x"),))[1].note
    lost = SERVERS[:-1]  # a server was removed between solving and applying
    assert "held back" in weights((plan(),), servers=lost)[1].note
    moved = tuple(spec(n, port=100 + n, state="draining" if n == 3 else "ready") for n in range(6))
    # A draining server or another port does not change the identity of the list.
    assert "in force" in weights((plan(),), servers=moved)[1].note
    assert weights((plan(zone="b"),))[1].note == "no plan for zone a" and weights(())[1].note == ""


def test_the_later_of_two_plans_applies_and_neither_if_made_at_the_same_time():
    older, newer = plan(made=NOW - 20), plan(made=NOW - 5, weights={"s4": 3.0})
    for both in itertools.permutations((older, newer)):
        assert choose(both, "a", SERVERS)[0] is newer
    tie = plan(weights={"s4": 3.0})
    found, why = choose((plan(), tie), "a", SERVERS)
    assert found is None and "same moment" in why
    assert choose((plan(zone=""), plan(made=NOW - 11)), "a", SERVERS)[0].zone == ""
    stale = plan(made=NOW - 1, list_hash="other")  # the newest plan decides, even if it is for another list
    assert choose((plan(), stale), "a", SERVERS)[0] is None


def test_an_old_plan_fades_to_equal_shares_in_steps():
    made = plan()
    weights_of_s1, time_now, steps = [], NOW, 0
    while (found := view(SERVERS, (made,), "a", time_now, FleetPosition(), Warming())).next_at is not None:
        assert found.next_at > time_now
        weights_of_s1.append({s.name: s.weight for s in found.servers}["s1"])
        time_now, steps = found.next_at, steps + 1
    assert weights_of_s1[0] == 2.0 and weights_of_s1 == sorted(weights_of_s1, reverse=True) and steps == 10
    assert (
        time_now == pytest.approx(made.made + 200)
        and {s.weight for s in found.servers} == {1.0}
        and "faded" in found.note
    )
    assert "proven" in weights((plan(proven=False),))[1].note


def test_the_weight_of_a_started_server_never_exceeds_its_warmth():
    cold = Warming(10.0, 0.3)
    started = tuple(spec(n, started=NOW - 2 if n == 1 else 0.0) for n in range(6))
    time_now, last = NOW - 2, 0.0
    while True:
        found = view(started, (plan(),), "a", time_now, FleetPosition(), cold)
        weight = {s.name: s.weight for s in found.servers}["s1"]
        assert last <= weight <= 2.0 * (0.3 + 0.7 * min(1.0, (time_now - NOW + 2) / 10.0)) + 1e-9
        last = weight
        if found.next_at is None or found.next_at > NOW + 9:
            break
        time_now = found.next_at
    assert last == 2.0


def test_a_subset_keeps_primaries_and_draining_servers_and_has_spares():
    servers = tuple(spec(n, state="draining" if n == 5 else "ready") for n in range(40))
    for index in range(8):
        found, _ = weights((), servers=servers, place=FleetPosition(index, 8, 10, 2))
        assert {"s0", "s5"} <= set(found)
        chosen = [name for name, weight in found.items() if weight > 0.001 and name not in ("s0", "s5")]
        assert len(chosen) <= 10 and sum(weight == 0.001 for weight in found.values()) == 2


def test_random_lists_and_plans_give_positive_weights_and_the_same_view_twice():
    random_source = random.Random(3)
    for _ in range(100):
        servers = tuple(
            spec(n, started=NOW - random_source.uniform(0, 30)) for n in range(random_source.randint(1, 20))
        )
        made = plan(
            list_hash=list_hash(servers),
            made=NOW - random_source.uniform(0, 250),
            weights={f"s{n}": random_source.uniform(0, 9) for n in range(10)},
        )
        place = FleetPosition(random_source.randrange(5), 5, random_source.choice((0, 6)), 1)
        one, two = (view(servers, (made,), "a", NOW, place, Warming(18, 0.3)) for _ in range(2))
        assert one == two and all(s.weight > 0 for s in one.servers) and (one.next_at is None or one.next_at > NOW)


LISTED = tuple(
    ServerSpec(f"n{n}", "numbers", "norte" if n < 2 else "sur", "127.0.0.1", n + 1, n == 0) for n in range(3)
)


def plan_file(servers=LISTED, made=NOW, extra="", **weights):
    rows = "".join(f"    {name} = {weight}\n" for name, weight in weights.items())
    return f'plan "norte" {{\n  list = "{list_hash(servers)}"\n  made = {made}\n{extra}  weights {{\n{rows}  }}\n}}\n'.encode()


@pytest.mark.parametrize(
    ("old", "new", "reason"),
    [
        (b"  made = ", b"  mode = ", "mode: unknown key"),
        (b"  made = 1000000.0\n", b"", "made: missing"),
        (b"n1 = 2", b"n1 = -2", "a number above 0"),
        (b"made = 1000000.0", b'made = "now"', "made: not what is wanted"),
        (b"weights {", b"shares {", "shares: unknown block"),
        (b"  made", b'  fade = "soon"\n  made', "is not a duration"),
    ],
)
def test_an_invalid_plan_is_reported_with_file_and_line(old, new, reason):
    texts = {"list.hcl": render(LISTED).encode(), "plan.hcl": plan_file(n1=2)}
    assert read_set(texts, ["numbers"]).plans[0].weights == {"n1": 2.0}
    texts["plan.hcl"] = texts["plan.hcl"].replace(old, new)
    with pytest.raises(ServerListError, match=r"plan\.hcl:\d+: ") as caught:
        read_set(texts, ["numbers"])
    assert any(reason in fault for fault in caught.value.faults)


def test_reading_a_list_incrementally_keeps_its_plan():
    reader, texts = ListReader(["numbers"]), {"list.hcl": render(LISTED).encode(), "plan.hcl": plan_file(n1=2)}
    first = reader.read(texts)
    texts["list.hcl"] = texts["list.hcl"].replace(b"port    = 2", b"port    = 99")
    assert reader.read(texts).plans == first.plans and reader.edits == 1


def test_the_gateway_uses_plan_weights_while_the_plan_applies_and_equal_ones_otherwise(tmp_path):
    with world(start=False) as place:
        folder = tmp_path / "list.d"
        folder.mkdir()
        specs = [
            ServerSpec(name, group, zone, "127.0.0.1", place.servers[name].port, name in ("n1", "r1"))
            for group, members in place.members.items()
            for name, zone in members
        ]
        (folder / "servers.hcl").write_text(render(specs))
        (folder / "plan.hcl").write_bytes(plan_file(specs, time.time(), n2=1.8, n3=0.2))
        place.watched = folder
        run(place.start_gateway)
        gateway = place.proxy.gateway
        until(lambda: gateway.list_version == 1)
        seen = lambda name: run(lambda: gateway._endpoints.specs[name].weight)  # noqa: E731
        assert (seen("n2"), seen("n3")) == (1.8, 0.2)
        (folder / "servers.hcl").write_text(render(specs[:-1]))  # a server was removed after the plan was made
        until(lambda: gateway.list_version == 2)
        assert seen("n2") == seen("n3") == 1.0
        (folder / "plan.hcl").write_bytes(plan_file(specs[:-1], time.time(), n2=1.5, n3=0.5))
        until(lambda: gateway.list_version == 3)
        assert (seen("n2"), seen("n3")) == (1.5, 0.5)
        (folder / "plan.hcl").write_bytes(plan_file(specs[:-1], time.time() - 7300, n2=1.5, n3=0.5))
        until(lambda: gateway.list_version == 4)
        assert seen("n2") == seen("n3") == 1.0  # older than twice the default fade of 1 h: faded completely
        assert Desk(place).read("numbers", "bounded", staleness=0.8).code == 0


def test_a_gateway_computes_its_own_plan_when_its_list_changes(tmp_path):
    with world(start=False) as place:
        folder = tmp_path / "list.d"
        folder.mkdir()
        specs = [
            ServerSpec(name, group, zone, "127.0.0.1", place.servers[name].port, name in ("n1", "r1"))
            for group, members in place.members.items()
            for name, zone in members
        ]
        rows = [
            f'server "{s.name}" {{\n group = "{s.group}"\n zone = "{s.zone}"\n capacity = {10 * n + 10}\n}}\n'
            for n, s in enumerate(specs)
        ]
        rows += [f'demand "read" {{\n group = "{group}"\n zone = "norte"\n rate = 20\n}}\n' for group in place.groups]
        (tmp_path / "model.hcl").write_text("".join(rows))
        (folder / "servers.hcl").write_text(render(specs))
        place.watched, place.more_membership = folder, f'  model = "{tmp_path / "model.hcl"}"\n'
        run(place.start_gateway)
        gateway = place.proxy.gateway
        weight = lambda name: run(lambda: gateway._endpoints.specs[name].weight)  # noqa: E731
        until(lambda: gateway.list_version == 1 and gateway._endpoints.specs["n2"].weight != 1.0)
        assert weight("n2") == pytest.approx(2 * weight("n1"), rel=1e-3) and weight("n3") == 0.001
        (folder / "servers.hcl").write_text(render([s for s in specs if s.name != "n2"]))
        until(lambda: gateway.list_version == 2 and gateway._endpoints.specs["n3"].weight > 0.001)
        # 10/s each: half of the reads must go to the other zone.
        assert weight("n1") == pytest.approx(weight("n3"), rel=1e-3)
        (folder / "servers.hcl").write_text(render([s for s in specs if s.name in ("n1", "r1", "r2")]))
        until(lambda: gateway.list_version == 3 and place.proxy._fleet._own is None)
        assert weight("n1") == 1.0  # no plan is feasible: equal shares (the log has the reason)


def test_commands_solve_diff_and_apply(tmp_path):
    def call(*arguments):
        return CliRunner().invoke(main, ["plan", *map(str, arguments)])

    model = tmp_path / "model.hcl"
    blocks = [
        f'server "n{n}" {{\n group = "numbers"\n zone = "{z}"\n capacity = {c}\n taken = {t}\n primary = {p}\n kind = "{k}"\n}}\n'
        for n, z, c, t, p, k in (
            (0, "norte", 10, 9, "true", "big"),
            (1, "norte", 10, 0, "false", "big"),
            (2, "sur", 30, 0, "false", ""),
        )
    ]
    model.write_text("".join(blocks) + 'demand "read" {\n group = "numbers"\n zone = "norte"\n rate = 20\n}\n')
    out = tmp_path / "made.hcl"
    assert call("solve", model, "--zone", "norte", "--out", out, "--fade", "2h").exit_code == 0
    (made,) = read_plans({"made.hcl": out.read_bytes()})
    # The switchover names the server of the same kind as the primary.
    assert made.list_hash == list_hash(LISTED) and made.fade == 7200.0 and made.switchover == {"numbers": "n1"}
    folder = tmp_path / "list.d"
    folder.mkdir()
    settings_file = tmp_path / "gateway.hcl"
    servers = TEXT[TEXT.index('server "norte-1"') : TEXT.index("# Anyone")]
    settings_file.write_text(TEXT.replace(servers, 'membership {\n  path = "list.d"\n}\n'))
    (folder / "list.hcl").write_text(render(LISTED[:2]))
    done = call("apply", out, "--settings", settings_file)
    assert done.exit_code == 3 and "another list" in done.output and not (folder / "plan.hcl").exists()
    (folder / "list.hcl").write_text(render(LISTED))
    assert call("apply", out, "--settings", settings_file).exit_code == 0
    assert read_set(read_files(folder), ["numbers"]).plans == (made,)
    other = tmp_path / "other.hcl"
    other.write_bytes(plan_file(n0=0.001, n1=1.5, n2=1.5))
    output = call("diff", out, other).output
    assert "zone norte:" in output and "5.0% of reads move" in output and "n2: 1.35 -> 1.5" in output
    assert call("diff", model, other).exit_code == 2 and call("solve", model, "--fade", "x").exit_code == 2


def test_a_restarted_server_is_not_overloaded_by_its_planned_share(tmp_path):
    """The plan gives n2 nearly all reads. It restarts cold under load; the record shows how many requests it received."""
    capacity = Capacity(slots=1, queue=10_000, read_s=0.01, cold_s=6.0, cold_share=0.2)
    with world(start=False, capacity=capacity, entries=2) as place:
        folder = tmp_path / "list.d"
        folder.mkdir()

        def listed():
            boot_time = time.time() - time.monotonic()
            return [
                ServerSpec(
                    name,
                    group,
                    zone,
                    "127.0.0.1",
                    place.servers[name].port,
                    name in ("n1", "r1"),
                    "ready",
                    boot_time + place.servers[name].started if place.servers[name].started else 0.0,
                )
                for group, members in place.members.items()
                for name, zone in members
            ]

        specs = listed()
        (folder / "servers.hcl").write_text(render(specs))
        (folder / "plan.hcl").write_bytes(plan_file(specs, time.time(), n2=2.9, n3=0.05))
        place.watched = folder
        run(place.start_gateway)
        gateway, desk = place.proxy.gateway, Desk(place)
        until(lambda: gateway.list_version == 1)
        desk.read("numbers", "bounded", staleness=0.8)
        run(place.servers["n2"].crash)
        run(place.servers["n2"].restart)
        (folder / "servers.hcl").write_text(render(listed()))
        until(lambda: gateway.list_version == 2)
        assert run(lambda: gateway._endpoints.specs["n2"].weight) <= 2.9 * 0.35  # scaled by its warmth, in steps
        request = m.SearchRequest("cn=1,ou=numbers,dc=porting", 0, m.Present("cn"))
        for _ in range(4):
            run(lambda: gatherResults([desk.ask(request, "bounded", staleness=0.8) for _ in range(60)]))
        received = [
            f for f in place.record.facts if f["kind"] == "received" and f["server"] == "n2" and f["op"] == "search"
        ]
        verdict = judge(sorted(place.record.facts, key=lambda fact: fact["at"]))
        assert verdict.rules["cold_not_pushed_over"].judged == 1 and verdict.held
        assert received  # it still received requests
