"""The map over a fleet under faults, lies and herds, on the virtual clock."""

import pytest

from benchmarks.atlas_fleet import Fleet
from tests.cluster.latency_map.test_fleet import THREE, right, three, wrong
from yardbank.cluster.latency_map import messages as letter
from yardbank.cluster.latency_map.measurements import GatewayHealth
from yardbank.cluster.latency_map.messages import Entry
from yardbank.cluster.latency_map.options import LEAST, MOST, SECOND, Options
from yardbank.cluster.peers.parts import Message
from yardbank.testing.rig.network import Effect, pairs_of

MS = 1_000_000


def test_a_zone_cut_off_ages_to_unknown_and_comes_back_elsewhere():
    fleet = three()
    fleet.run(40)
    zone_c = [name for name in fleet.zones if fleet.zones[name] == "c"]
    rest = [name for name in fleet.zones if name not in zone_c]
    fleet.gossip.network.begin("cut", pairs_of(zone_c, rest, False), Effect(cut="silent"))
    fleet.run(30)
    assert right(fleet, "g0", "a", "c")  # as it was
    fleet.run(60)
    assert all(fleet.figure(name, "a", "c") is None for name in rest) and right(fleet, "g0", "a", "b")
    fleet.run(20)
    assert [way[0] for way in fleet.parts["g0"].zone_latencies(fleet.gossip.own("g0"))] == ["b"]
    fleet.gossip.network.end("cut")
    fleet.change("a", "c", 15)
    fleet.change("b", "c", 90)
    fleet.run(90)
    assert not wrong(fleet)


def test_thirty_per_cent_loss_blinds_nobody():
    fleet = three(12, probes=0.5)
    fleet.gossip.way = Effect(lose=0.3)
    fleet.run(90)
    assert not wrong(fleet)
    assert {part.seen.state for part in fleet.parts.values()} >= {1}  # the link finds some slow: they still see


def test_four_of_six_gateways_of_a_site_that_are_slow_move_no_way():
    fleet = three(18, probes=2)
    fleet.run(40)
    slow = [name for name in fleet.zones if fleet.zones[name] == "a"][:4]
    everybody = list(fleet.zones)
    fleet.gossip.network.begin("slow", pairs_of(slow, everybody, False), Effect(delay=0.02))
    fleet.slow = dict.fromkeys(slow, 40 * MS)
    for _ in range(20):
        fleet.run(2)
        assert not wrong(fleet, off=0.3)
    assert all(fleet.parts[name].seen.state == GatewayHealth.SLOW for name in slow)
    assert not any(fleet.parts[name].seen.state == GatewayHealth.SLOW for name in everybody if name not in slow)


def test_one_that_was_stopped_takes_its_own_stop_for_no_way():
    fleet = three(probes=2)
    fleet.run(40)
    fleet.gossip.pause("g0")
    fleet.run(20)
    fleet.gossip.resume("g0")
    assert fleet.parts["g0"].seen.state == GatewayHealth.SLOW
    assert fleet.gossip.nodes["g0"].dropped["map late"] > 1  # letters that waited: nobody knows how old they are
    for _ in range(20):
        fleet.run(1)
        assert not wrong(fleet)


@pytest.mark.parametrize(("gateways", "step"), [(6, 0.1), (30, 0.1), (30, 0.25)])
def test_no_zone_gets_more_than_a_step_of_the_fleet_more_within_any_second(gateways, step):
    """All want the nearest other zone; ways turn better and worse, for all at once."""
    fleet = three(gateways, probes=1, options=Options(step=step))
    grain, shares, length = 20, {zone: [0.0] for zone in ["", *"abc"]}, 100
    for number, (ab, bc, ac) in enumerate([(10, 30, 60), (10, 30, 60), (90, 20, 60), (90, 80, 5), (10, 30, 60)]):
        for pair, trip in {("a", "b"): ab, ("b", "c"): bc, ("a", "c"): ac}.items():
            fleet.change(*pair, trip)
        for _ in range(length // 4 * grain):
            fleet.run(1 / grain)
            for sums in shares.values():
                sums.append(sums[-1])
            for name, part in fleet.parts.items():
                ways = part.zone_latencies(fleet.gossip.own(name))
                shares[min(ways, key=lambda way: way[1])[0] if ways else ""][-1] += 1 / gateways
        assert number == 0 or not wrong(fleet, own=True)
    for sums in shares.values():
        second = [(sums[at + grain] - sums[at]) / grain for at in range(len(sums) - grain)]
        gained = [later - sooner for sooner, later in zip(second, second[grain:], strict=False)]
        assert max(gained) <= step + 1 / grain + 1e-9  # as fine as it is looked at
    assert all(part.transition.moves >= 4 for part in fleet.parts.values())


def lie(fleet, name, value):
    """From now on it says of every way that it takes so long, seen just now, by many."""
    part, zones = fleet.parts[name], sorted(set(fleet.zones.values()))
    row = {zone: Entry(value, 0, 0, 7) for zone in zones}
    number = 0

    def outgoing_messages():
        nonlocal number
        number += 1
        rows = [(part._zone, row)] + [(zone, row) for zone in zones if zone != part._zone]
        return [Message(to, letter.encode(1 << 40 | number, 0, rows)) for to in fleet.zones if to != name]

    part.outgoing_messages = outgoing_messages


def test_what_is_seen_of_a_peer_that_says_it_is_slow_and_what_it_hears_of_its_own_ways_count_nothing():
    fleet = three(6)
    fleet.run(20)
    part, now = fleet.parts["g0"], fleet.gossip.own("g0")
    rows = [("b", {"c": Entry(40 * MS, 0, 0, 1)}), ("c", {"b": Entry(9 * MS, 0, SECOND, 1)})]
    part.receive(now, "g1", 99, letter.encode(1, GatewayHealth.SLOW, rows))
    told = [report for report in part.reports.about(("b", "c"), 0) if report.order == (99, 1)]
    assert [(report.first, round(report.value / MS)) for report in told] == [(True, 40)]
    before = len(part.seen._round_trips["b"])
    part.saw_peer(now, "g1", 5 * MS)
    assert len(part.seen._round_trips["b"]) == before
    part.receive(now, "g1", 99, letter.encode(2, 0, rows))
    part.saw_peer(now, "g1", 5 * MS)
    assert len(part.seen._round_trips["b"]) == before + 1


# Guards against a gateway whose measurements are all dropped without anybody seeing it.
@pytest.mark.parametrize("measured", [1, LEAST - 1, MOST + 1])
def test_a_gateway_whose_measurements_are_all_out_of_range_goes_by_others_and_shows_it(measured):
    fleet = three()
    part = fleet.parts["g0"]
    saw = part.seen.saw
    part.seen.saw = lambda now, zone, ns, source="": saw(now, zone, measured, source)
    fleet.run(60)
    now = fleet.gossip.own("g0")
    assert not part.seen.row(now) and part.view(now)["odd"] > 20
    assert right(fleet, "g0", "a", "b") and right(fleet, "g0", "a", "c")
    assert fleet.parts["g1"].view(now)["odd"] == 0


@pytest.mark.parametrize("value", [LEAST, MOST])
def test_a_liar_moves_no_way(value):
    fleet = three(9)
    lie(fleet, "g0", value)
    honest = [name for name in fleet.parts if name != "g0"]
    fleet.run(60)
    for _ in range(30):
        fleet.run(1)
        assert not wrong(fleet, honest)


@pytest.mark.parametrize("value", [LEAST, MOST])
def test_a_liar_that_is_the_only_witness_of_its_zone_is_held_to_its_bound(value):
    fleet = Fleet(dict(zip(["g0", "g1", "g2", "g3"], "abcc", strict=True)), THREE)
    lie(fleet, "g0", value)
    fleet.run(60)
    for _ in range(30):
        fleet.run(1)
        assert not wrong(fleet, ["g1", "g2", "g3"], own=True)
        for name in ("g2", "g3"):  # between its zone and another: as far as the ways from here bear it out
            figure = fleet.figure(name, "a", "b")
            assert figure is None or 30 / 2 * 0.8 <= figure <= 90 * 2 * 1.2 or right(fleet, name, "a", "b")


def test_a_map_from_before_a_black_start_is_gone_with_those_who_made_it():
    fleet = three(probes=1)
    fleet.run(40)
    old = letter.encode(1 << 50, 0, [("b", {"a": Entry(900 * MS, 0, 0, 1)})])
    for name in fleet.zones:
        fleet.gossip.kill(name)
    fleet.change("a", "b", 25)
    for name in fleet.zones:
        fleet.gossip.start(name)
    assert fleet.figure("g0", "a", "b") is None and fleet.parts["g0"].zone_latencies(fleet.gossip.own("g0")) == ()
    fleet.run(60)
    node = fleet.gossip.nodes["g0"]
    with pytest.raises(Exception, match="old"):
        fleet.parts["g0"].receive(fleet.gossip.own("g0"), "g1", 1, old)
    fleet.run(10)
    assert not wrong(fleet) and node.detector.boot_epoch > 9


def test_a_peer_that_stands_in_another_zone_now_is_believed_of_that_one_alone():
    fleet = three(probes=1)
    fleet.run(40)
    before = {
        name: sum(report.first for report in part.reports.about(("a", "b"), 0)) for name, part in fleet.parts.items()
    }
    zones = {**fleet.zones, "g1": "c"}
    for name, node in fleet.gossip.nodes.items():
        if name != "g8":  # it has the old list yet
            node.listed(fleet.gossip.own(name), list(zones), zones)
    assert sum(report.first for report in fleet.parts["g0"].reports.about(("a", "b"), 0)) < before["g0"]
    fleet.run(30)
    assert fleet.gossip.nodes["g8"].dropped["map zone"] > 0
    assert all(right(fleet, name, "a", "b") for name in fleet.parts)
