"""The map over a fleet on the virtual clock, against the delays that were set, under faults and lies."""

import pytest

from benchmarks.atlas import middle
from benchmarks.atlas_fleet import Fleet, sites, spread_over
from yardbank.cluster.latency_map.options import SECOND, Options, pair_of
from yardbank.testing.rig.network import Effect, pairs_of

MS = 1_000_000
THREE = {("a", "a"): 1, ("b", "b"): 1, ("c", "c"): 1, ("a", "b"): 10, ("b", "c"): 30, ("a", "c"): 60}
LINE = {("a", "a"): 1, ("b", "b"): 1, ("c", "c"): 1, ("a", "b"): 30, ("b", "c"): 40, ("a", "c"): 70}
OFF = 0.15  # of a round trip, that figures may be off; a way's own spread is a fifth


def three(gateways=9, trips=THREE, zones="abc", **more):
    return Fleet({f"g{number}": zones[number % len(zones)] for number in range(gateways)}, trips, **more)


def right(fleet, name, one, other, off=OFF):
    figure, trip = fleet.figure(name, one, other), fleet.trips[pair_of(one, other)]
    return figure is not None and abs(figure - trip) <= off * trip + 0.5


def wrong(fleet, names=None, off=OFF, own=False):
    """Figures of ways that are off: between all zones (``own``: those to the own one), and within the own zone."""
    zones, found = list(fleet.zones.values()), []
    for name in names or fleet.parts:
        here = fleet.zones[name]
        for one, other in fleet.trips:
            asked = (not own or here in (one, other)) if one != other else one == here and zones.count(here) > 1
            if asked and not right(fleet, name, one, other, off):
                found.append((name, one, other, fleet.figure(name, one, other)))
    return found


@pytest.mark.parametrize(("gateways", "zones", "seconds"), [(6, 3, 60), (24, 8, 90)])
def test_every_gateway_has_every_way_right(gateways, zones, seconds):
    trips = sites(zones)
    fleet = Fleet(spread_over(gateways, trips), trips)
    fleet.run(seconds)
    assert not wrong(fleet)
    assert max(node.outbox.octets for node in fleet.gossip.nodes.values()) / seconds < 200
    assert not any(node.dropped for node in fleet.gossip.nodes.values())


def test_twenty_zones_and_a_gateway_or_two_in_each_stay_within_their_octets():
    trips = sites(20)
    fleet = Fleet(spread_over(30, trips), trips, probes=0.5)
    fleet.run(90)
    own, lacking = fleet.errors(own=True)
    assert lacking == 0 and middle(own)[1] <= OFF
    others, lacking = fleet.errors(own=False)
    assert lacking <= 0.02 * len(others) and middle(others)[0] <= OFF and middle(others)[1] <= 0.5
    assert max(node.outbox.octets for node in fleet.gossip.nodes.values()) / 90 < 400


def test_a_way_that_changed_for_good_is_taken_up_in_time_up_and_down():
    fleet = three(probes=1)
    fleet.run(40)
    for trip in (45, 10):
        fleet.change("a", "b", trip)
        assert max(fleet.taken_up("a", "b", own=True)) <= Options().taken_up / SECOND
        fleet.run(30)
        assert not wrong(fleet)


def test_a_way_that_flaps_each_two_seconds_is_not_followed():
    fleet = three(probes=4)
    fleet.run(40)
    seen, before = set(), {name: part.transition.moves for name, part in fleet.parts.items()}
    for number in range(30):
        fleet.change("a", "b", 80 if number % 2 else 10)
        for _ in range(4):
            fleet.run(0.5)
            seen |= {round(fleet.figure(name, "a", "b")) for name in fleet.parts}
    assert seen <= set(range(9, 13))
    assert all(part.transition.moves <= before[name] + 2 for name, part in fleet.parts.items())
    spread = [one["spread"] for one in fleet.parts["g0"].view(fleet.gossip.own("g0"))["pairs"] if one["to"] == "b"]
    assert max(spread) > 30  # who looks sees that it is not well


def test_one_way_slow_is_seen_from_both_ends_alike():
    """A round trip holds both directions: which of them is slow, it cannot tell."""
    fleet = three()
    fleet.run(30)
    sources, targets = ([name for name in fleet.zones if fleet.zones[name] == zone] for zone in "ac")
    fleet.gossip.network.begin("one way", pairs_of(sources, targets, True), Effect(delay=0.04))
    fleet.trips["a", "c"] = 100
    fleet.run(40)
    assert all(right(fleet, name, "a", "c") for name in fleet.parts)


def test_large_answers_that_crawl_put_nothing_on_the_way():
    fleet = three(probes=2)
    sources, targets = ([name for name in fleet.zones if fleet.zones[name] == zone] for zone in "ab")
    fleet.gossip.network.begin("thin", pairs_of(sources, targets, False), Effect(rate=200_000))
    fleet.run(40)
    for name, zone in fleet.zones.items():
        for _ in range(8):
            fleet.parts[name].saw_server(fleet.gossip.own(name), "b" if zone == "a" else "a", 900 * MS, "answer")
    fleet.run(10)
    assert not wrong(fleet)


def test_a_zone_of_servers_alone_is_seen_by_their_answers_and_the_rest_through_a_third():
    trips = {**LINE, ("a", "s"): 20, ("b", "s"): 25}
    fleet = Fleet(dict(zip(["g0", "g1", "g2", "g3", "g4", "g5"], "aabbcc", strict=True)), trips, probes=2)
    fleet.run(40)
    for name in ("g0", "g1", "g2", "g3"):
        assert right(fleet, name, "a", "s") and right(fleet, name, "b", "s")
    for name in ("g4", "g5"):  # nobody in c has asked there
        found = next(
            (one for one in fleet.parts[name].view(0)["pairs"] if {one["from"], one["to"]} == {"c", "s"}), None
        )
        assert found is None  # it does not even know the zone
    fleet.parts["g4"].saw_server(fleet.gossip.own("g4"), "s", MS)  # its list names servers there
    fleet.parts["g4"].seen._round_trips.clear()
    fleet.run(40)
    view = fleet.parts["g4"].view(fleet.gossip.own("g4"))["pairs"]
    found = next(one for one in view if {one["from"], one["to"]} == {"c", "s"})
    assert found["how"] == "estimated" and found["witnesses"] == 0 and 60 <= found["ms"] <= 75


def test_two_sites_far_and_a_third_between_with_one_gateway_each():
    fleet = three(3, LINE)
    fleet.run(60)
    assert not wrong(fleet)
    fleet.gossip.network.begin("cut", pairs_of(["g0"], ["g2"], False), Effect(cut="silent"))
    fleet.run(90)  # what was seen of it is too old
    view = fleet.parts["g1"].view(fleet.gossip.own("g1"))["pairs"]
    assert {(one["from"], one["to"]): one["how"] for one in view}["a", "c"] == "estimated"
    assert right(fleet, "g1", "a", "c")
    assert fleet.figure("g0", "a", "c") is None  # it has the other half from one voice alone, and that is not enough


def test_the_same_seed_gives_the_same_map():
    def story(seed):
        fleet = three(6, seed=seed)
        fleet.run(30)
        return [part.view(fleet.gossip.own(name)) for name, part in fleet.parts.items()], fleet.gossip.octets

    assert story(1) == story(1) != story(2)
