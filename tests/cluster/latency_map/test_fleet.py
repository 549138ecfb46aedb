"""The latency map on a simulated fleet, compared with the configured delays."""

import pytest

from benchmarks.atlas import middle
from benchmarks.atlas_fleet import Fleet, sites, spread_over
from yardbank.cluster.latency_map.options import SECOND, Options, pair_of
from yardbank.testing.rig.network import Effect, pairs_of

MS = 1_000_000
THREE_ZONES_MS = {("a", "a"): 1, ("b", "b"): 1, ("c", "c"): 1, ("a", "b"): 10, ("b", "c"): 30, ("a", "c"): 60}
LINE_MS = {("a", "a"): 1, ("b", "b"): 1, ("c", "c"): 1, ("a", "b"): 30, ("b", "c"): 40, ("a", "c"): 70}
TOLERANCE = 0.15  # allowed error, relative to the round trip; the simulated jitter is a fifth


def three_zone_fleet(gateways=9, trips=THREE_ZONES_MS, zones="abc", **more):
    return Fleet({f"g{number}": zones[number % len(zones)] for number in range(gateways)}, trips, **more)


def is_accurate(fleet, name, one, other, tolerance=TOLERANCE):
    estimate_ms, trip = fleet.figure(name, one, other), fleet.trips[pair_of(one, other)]
    return estimate_ms is not None and abs(estimate_ms - trip) <= tolerance * trip + 0.5


def inaccurate_pairs(fleet, names=None, tolerance=TOLERANCE, own=False):
    """Inaccurate estimates: of all pairs of zones, or with ``own`` of those with the own zone; and within the own zone."""
    zones, inaccurate = list(fleet.zones.values()), []
    for name in names or fleet.parts:
        own_zone = fleet.zones[name]
        for one, other in fleet.trips:
            relevant = (
                (not own or own_zone in (one, other)) if one != other else one == own_zone and zones.count(own_zone) > 1
            )
            if relevant and not is_accurate(fleet, name, one, other, tolerance):
                inaccurate.append((name, one, other, fleet.figure(name, one, other)))
    return inaccurate


@pytest.mark.parametrize(("gateways", "zones", "seconds"), [(6, 3, 60), (24, 8, 90)])
def test_every_gateway_estimates_every_pair_accurately(gateways, zones, seconds):
    trips = sites(zones)
    fleet = Fleet(spread_over(gateways, trips), trips)
    fleet.run(seconds)
    assert not inaccurate_pairs(fleet)
    assert max(node.outbox.octets for node in fleet.gossip.nodes.values()) / seconds < 200
    assert not any(node.dropped for node in fleet.gossip.nodes.values())


def test_twenty_zones_with_one_or_two_gateways_each_stay_within_bandwidth():
    trips = sites(20)
    fleet = Fleet(spread_over(30, trips), trips, probes=0.5)
    fleet.run(90)
    own, lacking = fleet.errors(own=True)
    assert lacking == 0 and middle(own)[1] <= TOLERANCE
    others, lacking = fleet.errors(own=False)
    assert lacking <= 0.02 * len(others) and middle(others)[0] <= TOLERANCE and middle(others)[1] <= 0.5
    assert max(node.outbox.octets for node in fleet.gossip.nodes.values()) / 90 < 400


def test_lasting_latency_change_is_adopted_in_time_up_and_down():
    fleet = three_zone_fleet(probes=1)
    fleet.run(40)
    for trip in (45, 10):
        fleet.change("a", "b", trip)
        assert max(fleet.taken_up("a", "b", own=True)) <= Options().taken_up / SECOND
        fleet.run(30)
        assert not inaccurate_pairs(fleet)


def test_latency_that_flaps_every_two_seconds_is_not_followed():
    fleet = three_zone_fleet(probes=4)
    fleet.run(40)
    seen, before = set(), {name: part.transition.transition_count for name, part in fleet.parts.items()}
    for number in range(30):
        fleet.change("a", "b", 80 if number % 2 else 10)
        for _ in range(4):
            fleet.run(0.5)
            seen |= {round(fleet.figure(name, "a", "b")) for name in fleet.parts}
    assert seen <= set(range(9, 13))
    assert all(part.transition.transition_count <= before[name] + 2 for name, part in fleet.parts.items())
    spread = [one["spread"] for one in fleet.parts["g0"].view(fleet.gossip.own("g0"))["pairs"] if one["to"] == "b"]
    assert max(spread) > 30  # the flapping shows in the spread


def test_delay_in_one_direction_raises_the_round_trip_at_both_ends():
    """A round trip covers both directions, so it cannot tell which of them is slow."""
    fleet = three_zone_fleet()
    fleet.run(30)
    sources, targets = ([name for name in fleet.zones if fleet.zones[name] == zone] for zone in "ac")
    fleet.gossip.network.begin("one way", pairs_of(sources, targets, True), Effect(delay=0.04))
    fleet.trips["a", "c"] = 100
    fleet.run(40)
    assert all(is_accurate(fleet, name, "a", "c") for name in fleet.parts)


def test_slow_transfers_of_large_answers_do_not_raise_the_latency():
    fleet = three_zone_fleet(probes=2)
    sources, targets = ([name for name in fleet.zones if fleet.zones[name] == zone] for zone in "ab")
    fleet.gossip.network.begin("thin", pairs_of(sources, targets, False), Effect(rate=200_000))
    fleet.run(40)
    for name, zone in fleet.zones.items():
        for _ in range(8):
            fleet.parts[name].record_server_round_trip(
                fleet.gossip.own(name), "b" if zone == "a" else "a", 900 * MS, "answer"
            )
    fleet.run(10)
    assert not inaccurate_pairs(fleet)


def test_zone_without_gateways_is_measured_by_server_answers_or_estimated_by_detour():
    trips = {**LINE_MS, ("a", "s"): 20, ("b", "s"): 25}
    fleet = Fleet(dict(zip(["g0", "g1", "g2", "g3", "g4", "g5"], "aabbcc", strict=True)), trips, probes=2)
    fleet.run(40)
    for name in ("g0", "g1", "g2", "g3"):
        assert is_accurate(fleet, name, "a", "s") and is_accurate(fleet, name, "b", "s")
    for name in ("g4", "g5"):  # no gateway in c has contacted a server there
        found = next(
            (one for one in fleet.parts[name].view(0)["pairs"] if {one["from"], one["to"]} == {"c", "s"}), None
        )
        assert found is None  # the zone itself is unknown here
    fleet.parts["g4"].record_server_round_trip(fleet.gossip.own("g4"), "s", MS)  # a server of its list is there
    fleet.parts["g4"].own_measurements._round_trips.clear()
    fleet.run(40)
    view = fleet.parts["g4"].view(fleet.gossip.own("g4"))["pairs"]
    found = next(one for one in view if {one["from"], one["to"]} == {"c", "s"})
    assert found["how"] == "estimated" and found["witnesses"] == 0 and 60 <= found["ms"] <= 75


def test_single_gateway_per_zone_falls_back_to_detour_estimate_when_cut_off():
    fleet = three_zone_fleet(3, LINE_MS)
    fleet.run(60)
    assert not inaccurate_pairs(fleet)
    fleet.gossip.network.begin("cut", pairs_of(["g0"], ["g2"], False), Effect(cut="silent"))
    fleet.run(90)  # the measurements of the cut path are too old by now
    view = fleet.parts["g1"].view(fleet.gossip.own("g1"))["pairs"]
    assert {(one["from"], one["to"]): one["how"] for one in view}["a", "c"] == "estimated"
    assert is_accurate(fleet, "g1", "a", "c")
    assert fleet.figure("g0", "a", "c") is None  # one report on the other leg is not enough


def test_same_seed_gives_the_same_map():
    def run_fleet(seed):
        fleet = three_zone_fleet(6, seed=seed)
        fleet.run(30)
        return [part.view(fleet.gossip.own(name)) for name, part in fleet.parts.items()], fleet.gossip.octets

    assert run_fleet(1) == run_fleet(1) != run_fleet(2)
