"""The latency map on a simulated fleet under faults, false reports and simultaneous transitions."""

import pytest

from benchmarks.atlas_fleet import Fleet
from tests.cluster.latency_map.test_fleet import THREE_ZONES_MS, inaccurate_pairs, is_accurate, three_zone_fleet
from yardbank.cluster.latency_map import messages as wire
from yardbank.cluster.latency_map.measurements import GatewayHealth
from yardbank.cluster.latency_map.messages import Entry
from yardbank.cluster.latency_map.options import MAX_ROUND_TRIP, MIN_ROUND_TRIP, SECOND, Options
from yardbank.cluster.peers.parts import Message
from yardbank.testing.rig.network import Effect, pairs_of

MS = 1_000_000


def test_zone_that_is_cut_off_becomes_unknown_and_returns_with_new_latencies():
    fleet = three_zone_fleet()
    fleet.run(40)
    zone_c = [name for name in fleet.zones if fleet.zones[name] == "c"]
    rest = [name for name in fleet.zones if name not in zone_c]
    fleet.gossip.network.begin("cut", pairs_of(zone_c, rest, False), Effect(cut="silent"))
    fleet.run(30)
    assert is_accurate(fleet, "g0", "a", "c")  # not outdated yet
    fleet.run(60)
    assert all(fleet.figure(name, "a", "c") is None for name in rest) and is_accurate(fleet, "g0", "a", "b")
    fleet.run(20)
    assert [way[0] for way in fleet.parts["g0"].zone_latencies(fleet.gossip.own("g0"))] == ["b"]
    fleet.gossip.network.end("cut")
    fleet.change("a", "c", 15)
    fleet.change("b", "c", 90)
    fleet.run(90)
    assert not inaccurate_pairs(fleet)


def test_estimates_stay_accurate_with_thirty_per_cent_loss():
    fleet = three_zone_fleet(12, probes=0.5)
    fleet.gossip.way = Effect(lose=0.3)
    fleet.run(90)
    assert not inaccurate_pairs(fleet)
    # Some gateways are found slow by the failure detector; they still measure.
    assert {part.own_measurements.health for part in fleet.parts.values()} >= {1}


def test_four_slow_gateways_of_six_in_a_zone_change_no_estimate():
    fleet = three_zone_fleet(18, probes=2)
    fleet.run(40)
    slow = [name for name in fleet.zones if fleet.zones[name] == "a"][:4]
    all_names = list(fleet.zones)
    fleet.gossip.network.begin("slow", pairs_of(slow, all_names, False), Effect(delay=0.02))
    fleet.slow = dict.fromkeys(slow, 40 * MS)
    for _ in range(20):
        fleet.run(2)
        assert not inaccurate_pairs(fleet, tolerance=0.3)
    assert all(fleet.parts[name].own_measurements.health == GatewayHealth.SLOW for name in slow)
    assert not any(
        fleet.parts[name].own_measurements.health == GatewayHealth.SLOW for name in all_names if name not in slow
    )


def test_paused_gateway_does_not_count_its_pause_as_latency():
    fleet = three_zone_fleet(probes=2)
    fleet.run(40)
    fleet.gossip.pause("g0")
    fleet.run(20)
    fleet.gossip.resume("g0")
    assert fleet.parts["g0"].own_measurements.health == GatewayHealth.SLOW
    assert fleet.gossip.nodes["g0"].dropped["map late"] > 1  # messages that waited in the socket: their age is unknown
    for _ in range(20):
        fleet.run(1)
        assert not inaccurate_pairs(fleet)


@pytest.mark.parametrize(("gateways", "step"), [(6, 0.1), (30, 0.1), (30, 0.25)])
def test_no_zone_gains_more_than_one_step_of_the_fleet_within_a_second(gateways, step):
    """All gateways choose the nearest other zone; latencies improve and worsen for all of them at once."""
    fleet = three_zone_fleet(gateways, probes=1, options=Options(step=step))
    steps_per_second, shares, length = 20, {zone: [0.0] for zone in ["", *"abc"]}, 100
    for number, (ab, bc, ac) in enumerate([(10, 30, 60), (10, 30, 60), (90, 20, 60), (90, 80, 5), (10, 30, 60)]):
        for pair, trip in {("a", "b"): ab, ("b", "c"): bc, ("a", "c"): ac}.items():
            fleet.change(*pair, trip)
        for _ in range(length // 4 * steps_per_second):
            fleet.run(1 / steps_per_second)
            for sums in shares.values():
                sums.append(sums[-1])
            for name, part in fleet.parts.items():
                latencies = part.zone_latencies(fleet.gossip.own(name))
                shares[min(latencies, key=lambda latency: latency[1])[0] if latencies else ""][-1] += 1 / gateways
        assert number == 0 or not inaccurate_pairs(fleet, own=True)
    for sums in shares.values():
        second = [
            (sums[at + steps_per_second] - sums[at]) / steps_per_second for at in range(len(sums) - steps_per_second)
        ]
        gained = [later - sooner for sooner, later in zip(second, second[steps_per_second:], strict=False)]
        assert max(gained) <= step + 1 / steps_per_second + 1e-9  # within the resolution of the samples
    assert all(part.transition.transition_count >= 4 for part in fleet.parts.values())


def report_falsely(fleet, name, value):
    """From now on the gateway reports ``value`` for every pair, as just measured by many."""
    part, zones = fleet.parts[name], sorted(set(fleet.zones.values()))
    row = {zone: Entry(value, 0, 0, 7) for zone in zones}
    number = 0

    def outgoing_messages():
        nonlocal number
        number += 1
        rows = [(part._zone, row)] + [(zone, row) for zone in zones if zone != part._zone]
        return [Message(to, wire.encode(1 << 40 | number, 0, rows)) for to in fleet.zones if to != name]

    part.outgoing_messages = outgoing_messages


def test_round_trips_to_a_slow_peer_and_its_second_hand_reports_on_its_own_zone_are_ignored():
    fleet = three_zone_fleet(6)
    fleet.run(20)
    part, now = fleet.parts["g0"], fleet.gossip.own("g0")
    rows = [("b", {"c": Entry(40 * MS, 0, 0, 1)}), ("c", {"b": Entry(9 * MS, 0, SECOND, 1)})]
    part.receive(now, "g1", 99, wire.encode(1, GatewayHealth.SLOW, rows))
    kept_reports = [report for report in part.reports.for_pair(("b", "c"), 0) if report.order == (99, 1)]
    assert [(report.first_hand, round(report.value / MS)) for report in kept_reports] == [(True, 40)]
    before = len(part.own_measurements._round_trips["b"])
    part.record_peer_round_trip(now, "g1", 5 * MS)
    assert len(part.own_measurements._round_trips["b"]) == before
    part.receive(now, "g1", 99, wire.encode(2, 0, rows))
    part.record_peer_round_trip(now, "g1", 5 * MS)
    assert len(part.own_measurements._round_trips["b"]) == before + 1


# Guards against a gateway whose measurements are all dropped without any sign of it in the view.
@pytest.mark.parametrize("measured", [1, MIN_ROUND_TRIP - 1, MAX_ROUND_TRIP + 1])
def test_gateway_with_only_out_of_range_measurements_uses_reports_and_shows_it(measured):
    fleet = three_zone_fleet()
    part = fleet.parts["g0"]
    record = part.own_measurements.record
    part.own_measurements.record = lambda now, zone, ns, source="": record(now, zone, measured, source)
    fleet.run(60)
    now = fleet.gossip.own("g0")
    assert not part.own_measurements.row(now) and part.view(now)["odd"] > 20
    assert is_accurate(fleet, "g0", "a", "b") and is_accurate(fleet, "g0", "a", "c")
    assert fleet.parts["g1"].view(now)["odd"] == 0


@pytest.mark.parametrize("value", [MIN_ROUND_TRIP, MAX_ROUND_TRIP])
def test_one_gateway_with_false_reports_changes_no_estimate(value):
    fleet = three_zone_fleet(9)
    report_falsely(fleet, "g0", value)
    honest = [name for name in fleet.parts if name != "g0"]
    fleet.run(60)
    for _ in range(30):
        fleet.run(1)
        assert not inaccurate_pairs(fleet, honest)


@pytest.mark.parametrize("value", [MIN_ROUND_TRIP, MAX_ROUND_TRIP])
def test_false_reports_of_the_only_gateway_in_a_zone_are_limited_by_detour_bounds(value):
    fleet = Fleet(dict(zip(["g0", "g1", "g2", "g3"], "abcc", strict=True)), THREE_ZONES_MS)
    report_falsely(fleet, "g0", value)
    fleet.run(60)
    for _ in range(30):
        fleet.run(1)
        assert not inaccurate_pairs(fleet, ["g1", "g2", "g3"], own=True)
        for name in ("g2", "g3"):  # between its zone and another: limited by the detours from here
            figure = fleet.figure(name, "a", "b")
            assert figure is None or 30 / 2 * 0.8 <= figure <= 90 * 2 * 1.2 or is_accurate(fleet, name, "a", "b")


def test_map_is_empty_after_a_restart_of_the_whole_fleet_and_old_messages_are_dropped():
    fleet = three_zone_fleet(probes=1)
    fleet.run(40)
    old = wire.encode(1 << 50, 0, [("b", {"a": Entry(900 * MS, 0, 0, 1)})])
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
    assert not inaccurate_pairs(fleet) and node.detector.boot_epoch > 9


def test_peer_moved_to_another_zone_counts_as_first_hand_there_only():
    fleet = three_zone_fleet(probes=1)
    fleet.run(40)
    before = {
        name: sum(report.first_hand for report in part.reports.for_pair(("a", "b"), 0))
        for name, part in fleet.parts.items()
    }
    zones = {**fleet.zones, "g1": "c"}
    for name, node in fleet.gossip.nodes.items():
        if name != "g8":  # g8 still has the old list
            node.listed(fleet.gossip.own(name), list(zones), zones)
    assert sum(report.first_hand for report in fleet.parts["g0"].reports.for_pair(("a", "b"), 0)) < before["g0"]
    fleet.run(30)
    assert fleet.gossip.nodes["g8"].dropped["map zone"] > 0
    assert all(is_accurate(fleet, name, "a", "b") for name in fleet.parts)
