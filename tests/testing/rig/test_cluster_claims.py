"""Claims on owners, followers, rollouts and maps over facts made by hand, each with one that breaks it."""

import msgspec
import pytest

from tests.testing.rig.test_scenarios import scenario, step
from yardbank.cluster.peers.batch import Batch, BatchEntry, encode
from yardbank.config.checked import ConfigError
from yardbank.config.load import load_text
from yardbank.testing.audit import changes, feeds
from yardbank.testing.audit.gossip_messages import decode_datagram, items
from yardbank.testing.audit.zone_latencies import latencies_accurate
from yardbank.testing.rig.changes import asking, changed
from yardbank.testing.rig.gateway_folder import peers_text, settings_text
from yardbank.testing.rig.network import Effect, Network, ways
from yardbank.testing.rig.observations import Known, fact_of

FLEET = "fleet {\n  gateways = 4\n  peers = true\n  channels = true\n  rollout = true\n  atlas = true\n}\n"
NOTICES = 'program "notices" {\n  who = ["g1", "g2"]\n  channels = 3\n}\n'


def fact(at, kind, **more):
    return {"at": at, "kind": kind, **more}


def item(at, owner, epoch, sequence, channel="c", sender=None):
    return fact(
        at, "item", channel=channel, epoch=epoch, sequence=sequence, owner=owner, sender=sender or owner, to="f"
    )


def reign(owner, epoch, since, until):
    return [item(since + n * 0.1, owner, epoch, n + 1) for n in range(round((until - since) * 10) + 1)]


def by_time(*rows):
    return sorted((one for row in rows for one in row), key=lambda fact: fact["at"])


def test_two_owners_are_found_by_what_crossed_and_only_beyond_the_overlap():
    good = by_time(reign("g1", 1, 0, 5), reign("g2", 2, 4.8, 9))
    assert feeds.owners(good, 0.3).held and not feeds.owners(good, 0.1).held
    assert feeds.owners(by_time(good, [item(8.0, "g1", 1, 3)]), 0.3).held  # sent again: no new sign of owning
    assert feeds.owners(by_time(good, [item(8.0, "g1", 1, 9, sender="g3")]), 0.3).held  # handed on by another
    broken = feeds.owners(by_time(good, [item(8.0, "g1", 1, 99)]), 0.3)  # it still makes items
    assert not broken.held and "g1 (epoch 1) and g2 (epoch 2)" in broken.seen and broken.fact["at"] == 8.0
    late = fact(8.01, "rig_late", by=3.0)  # the rig may have noted it by so much later than it was sent
    assert feeds.owners(by_time(good, [item(8.0, "g1", 1, 99), late]), 0.3).held
    twice = feeds.owners(by_time(reign("g1", 1, 0, 5), reign("g2", 1, 6, 7)), 0.3)
    assert not twice.held and "both own epoch 1" in twice.seen
    assert not feeds.owners([], 0.3).held


def taken(at, *place, gateway="f"):
    return fact(at, "feed_item", gateway=gateway, channel="c", epoch=place[0], sequence=place[1])


def test_a_follower_that_hears_twice_backwards_or_loses_silently_is_found():
    crossed = reign("g1", 1, 0, 0.4)  # five items
    gap = fact(1.5, "channel", gateway="f", channel="c", what="gap", epoch=1)
    places = [(1, 1), (1, 2), (1, 3)]
    whole = [taken(1 + n / 10, *place) for n, place in enumerate(places)]
    assert feeds.followers(by_time(crossed, whole)).held
    for more, held in (
        ([taken(2, 1, 3)], False),
        ([taken(2, 1, 2)], False),
        ([taken(2, 1, 5)], False),
        ([gap, taken(2, 1, 5)], True),
        ([taken(2, 2, 1)], False),
        ([gap, taken(2, 2, 1)], True),
        ([taken(2, 1, 4), taken(3, 1, 5), taken(4, 2, 1)], True),
        ([taken(2, 1, 2, gateway="other")], True),
        ([fact(1.9, "peer_start", gateway="f"), taken(2, 1, 1)], True),
        ([gap, taken(2, 2, 1), taken(3, 1, 4)], False),
        ([gap, taken(2, 1, 5), taken(3, 2, 2)], False),
    ):
        assert feeds.followers(by_time(crossed, whole, more)).held == held, more
    assert not feeds.followers(crossed).held


def test_each_channel_has_one_owner_in_the_end_and_they_stay():
    over = [fact(9.0, "load_over")]
    steps = [fact(4.0, "step", name="x", phase="begin")]
    good = by_time(reign("g1", 1, 0, 5), reign("g2", 2, 6, 9), over, steps)
    assert feeds.owned_again(good, "x", ["c"], 1.0).held
    assert "d has 0 owners" in feeds.owned_again(good, "x", ["c", "d"], 1.0).seen
    assert not feeds.owned_again(by_time(good, [item(8.5, "g1", 1, 99)]), "x", ["c"], 1.0).held
    assert not feeds.owned_again(by_time(reign("g1", 1, 0, 5), over, steps), "x", ["c"], 1.0).held
    assert not feeds.owned_again(good, "y", ["c"], 1.0).held
    assert feeds.steady(good, 1, "x", "").held and not feeds.steady(good, 0, "x", "").held
    assert feeds.steady(good, 0, "", "x").held and not feeds.steady([*steps, *over], 0, "x", "").held


ZONES = {"g1": "n", "g2": "s", "g3": "n", "g4": "s"}


def said(at, gateway, what, stage):
    return fact(at, "rollout", gateway=gateway, rollout="r", what=what, stage=stage, version="v")


def over(at, gateway, stage):
    return [said(at, gateway, what, stage) for what in ("going_over", "settling", "new")]


def process(at, name, what):
    return fact(at, "process", name=name, what=what)


UP = [process(0, name, "ready") for name in ZONES]
GOOD = [
    *over(1, "g1", 1),
    *over(2, "g2", 1),
    said(3, "g3", "well", 1),
    said(3, "g3", "stage", 2),
    said(3, "g4", "well", 1),
    *over(4, "g3", 2),
    *over(5, "g4", 2),
    fact(9, "load_over"),
]


def without(facts, *gone):
    return [one for index, one in enumerate(facts) if index not in gone]


def test_stages_are_kept_spread_and_bounded():
    assert changes.stages([*UP, *GOOD], ZONES, 1).held and changes.advanced([*UP, *GOOD], list(ZONES)).held
    tried = [said(0.5, "g1", "going_over", 1), said(0.6, "g1", "due", 1)]  # in service, which could not be
    assert changes.stages([*UP, *tried, *GOOD], ZONES, 1).seen.startswith("4 went over")
    early = changes.stages([*UP, said(0, "g1", "stage", 1), *without(GOOD, 6)], ZONES, 1)
    assert not early.held and "g3 went in stage 2 and had not found stage 1 well" in early.seen
    whole = [*over(1, "g1", 1), *over(2, "g3", 1), *GOOD[6:9], *over(4, "g2", 2)]
    assert "zone n has gone as a whole" in changes.stages(whole, ZONES, 1).seen
    many = ZONES | {"g5": "n", "g6": "s"}
    lopsided = whole
    assert "not spread" in changes.stages(lopsided, many, 1).seen
    leaving = [process(1, "g1", "leaving"), process(2, "g2", "leaving"), process(3, "g1", "ready")]
    assert changes.stages(by_time(GOOD, leaving), ZONES, 2).held
    assert "g1, g2 are out" in changes.stages(by_time(GOOD, leaving), ZONES, 1).seen
    assert changes.stages(by_time(GOOD, leaving), ZONES, 1, outage=1.0).held  # g1 is late, and no planned one any more
    assert not changes.stages([], ZONES, 1).held


def test_ends_on_the_old_version_and_on_the_new_one_are_told_apart():
    back = [said(3, "g4", "stopped", 1), said(4, "g1", "old", 1), said(5, "g2", "old", 1), fact(9, "load_over")]
    stopped = [*UP, *GOOD[:6], *back]
    assert changes.stopped(stopped, list(ZONES)).held and not changes.advanced(stopped, list(ZONES)).held
    assert not changes.stopped([*UP, *GOOD], list(ZONES)).held
    assert "still on the new version: g2" in changes.stopped([*UP, *GOOD[:6], *without(back, 2)], list(ZONES)).seen
    assert not changes.stopped([*UP, *back[1:]], list(ZONES)).held  # nobody said stop
    again = [*UP, *back[:1], *over(3.5, "g4", 1), said(4, "g4", "fell_back", 1), *back[3:]]
    assert "though it had heard" in changes.stopped(again, list(ZONES)).seen
    dead = [*UP, process(0.5, "g1", "kill"), *GOOD[3:]]
    assert changes.advanced(dead, list(ZONES)).held and not changes.advanced([*UP, *GOOD[:9]], list(ZONES)).held


def test_a_map_is_right_within_what_is_claimed():
    way = [fact(1, "way", **{"from": a, "to": b, "ms": 80.0}) for a, b in ("ns", "sn")]
    say = [
        fact(3, "map", gateway=g, how="seen", ms=83.0, **{"from": z, "to": "s" if z == "n" else "n"})
        for g, z in ZONES.items()
    ]
    assert (
        latencies_accurate([*UP, *way, *say], ZONES, 0.05, 0).held
        and latencies_accurate([*UP, *way, *say], ZONES, 0, 4).held
    )
    off = latencies_accurate([*UP, *way, *say, {**say[1], "ms": 20.0}], ZONES, 0.05, 5)
    assert not off.held and "g2 says 20.0 ms from s to n, 80.0 are set" in off.seen
    assert "g3 knows nothing" in latencies_accurate([*UP, *way, *without(say, 2)], ZONES, 0.05, 0).seen
    assert not latencies_accurate([*UP, *way, *say, {**say[0], "how": "unknown"}], ZONES, 0.05, 0).held
    assert not latencies_accurate([*UP, *say], ZONES, 0.05, 0).held


def datagram(sender, *bodies):
    letters = tuple(BatchEntry("feed", msgspec.msgpack.encode(body)) for body in bodies)
    return encode(Batch("rig", sender, 7, 1, letters), [b"k" * 32])


def test_letters_are_read_off_the_way_and_say_who_owns():
    body, other = ["item", "notices-1", 3, 9, b"x", "g1", 7, None, "more"], ["beat", []]
    data = datagram("g1", body, other)
    assert [one[2][0] for one in decode_datagram(data)] == ["item", "beat"] and items(data)[0]["sequence"] == 9
    assert items(data[:40]) == items(b"yb\x01" + data[3:]) == items(b"") == items(data[:19] + b"\xc1" * 30) == []
    known = Known()
    facts, events = known.crossed("g1", "g2", data)
    assert facts[0]["to"] == "g2" and events == ["owned:notices-1"] and known.names(["owner:notices-1"]) == ["g1"]
    assert known.crossed("g2", "g1", datagram("g2", body))[1] == []  # handed on
    assert known.crossed("g2", "g1", datagram("g2", [*body[:2], 2, 1, b"", "g2", 7]))[1] == []  # an older epoch
    assert known.crossed("g2", "g1", datagram("g2", [*body[:2], 4, 1, b"", "g2", 7]))[1] == ["owned:notices-1"]
    line = {"event": "rollout", "rollout": "r", "what": "settling", "stage": 2, "level": "info"}
    assert known.heard(fact_of("g4", line)) == ["went_over", "stage:2"] and known.names(["moved"]) == ["g4"]
    assert known.heard(fact_of("g4", {**line, "what": "fell_back"})) == [] == known.names(["moved"])
    assert fact_of("g4", {"event": "hello"}) is None
    assert not known.settled(["g4"])
    for what, settled in (("stopped", True), ("new", False), ("finished", True), ("old", False)):
        known.heard(fact_of("g4", {**line, "what": what}))
        assert known.settled(["g4"]) == settled and not known.settled(["g4", "g5"])


FAULTY = [
    (FLEET.replace("peers = true", "peers = false"), "fleet: channels: needs peers = true"),
    (NOTICES, 'program "notices": needs fleet { channels = true }'),
    (FLEET + NOTICES.replace("g2", "h2"), 'program "notices": who: a word names no gateway'),
    (step("x", 'do = "rollout"\nchange = "anew"'), "do: needs fleet { rollout = true }"),
    (FLEET + step("x", 'do = "rollout"'), 'change: missing for do = "rollout"'),
    (FLEET + step("x", 'do = "withdraw"\nlasts = "1s"'), "withdraw does not last"),
    (FLEET + step("x", 'do = "kill"\nwho = ["owner:d"]'), 'who: nothing is called "owner:d"'),
    (step("x", 'do = "kill"\nwho = ["moved"]'), 'who: nothing is called "moved"'),
    (step("x", 'do = "cut"\nfrom = ["zone:x"]\nto = ["g1"]'), 'from: nothing is called "zone:x"'),
    (FLEET + step("x", 'do = "kill"\nwho = ["g1"]\nafter = "owned:d"'), 'after: no step or event "owned:d"'),
    ('claim "m" {\n  kind = "map"\n}\n', 'within: missing for kind = "map"'),
    ('claim "m" {\n  kind = "map"\n  within = "9ms"\n}\n', "kind: map needs fleet { atlas = true }"),
    ('claim "m" {\n  kind = "owners"\n}\n', "kind: owners needs fleet { channels = true }"),
    ('claim "m" {\n  kind = "followers"\n  most = 3\n}\n', 'most: not for kind = "followers"'),
]


@pytest.mark.parametrize(("text", "fault"), FAULTY)
def test_a_faulty_scenario_of_a_fleet_together_is_told(text, fault):
    with pytest.raises(ConfigError) as problem:
        scenario(text)
    assert any(fault in line for line in problem.value.faults), problem.value.faults


def test_zones_and_settings_are_those_of_the_scenario():
    made = scenario(FLEET + NOTICES)
    assert made.meant(("zone:sur", "g1"), made.ends()) == ["g1", "g2", "g4", "a-2"]
    assert made.channels() == ["notices-1", "notices-2", "notices-3"] and "owned:notices-3" in made.events()
    text = settings_text(made, "g1", 1)
    assert all(f"\n{block} {{" in text for block in ("leases", "channels", "rollout", "atlas"))
    older = settings_text(scenario(FLEET + NOTICES.replace("notices", "landed")), "g1", 1)
    assert not any(f"\n{block} {{" in older for block in ("leases", "channels", "rollout", "atlas"))
    assert 'zone = "n"' in peers_text({"g1": 1}, {"g1": "n"}) and "zone" not in peers_text({"g1": 1})
    for change in ("in-service", "anew", "refuses", "locked-out", "one-class", "crashes"):
        other = changed(text, change)
        assert other != text and load_text(other)
    asked = scenario(FLEET + step("x", 'do = "rollout"\nchange = "anew"\nstages = [0.5, 1]\nhold = "2s"')).step[0]
    assert 'rollout "change" {\n  settings = "change.hcl"\n  stages = [0.5, 1.0]\n  hold = "2000ms"' in asking(asked)


def test_the_round_trip_between_zones_is_the_least_of_its_ways():
    network = Network()
    network.begin("x", [("g1", "g2"), ("g2", "g1"), ("g3", "g2")], Effect(delay=0.04))
    assert ("n", "s", 0.0) in ways(network, ZONES, list(ZONES))
    network.begin("y", [(a, b) for a in ZONES for b in ZONES if ZONES[a] != ZONES[b]], Effect(delay=0.02, jitter=0.01))
    assert ("n", "s", pytest.approx(50.0)) in ways(network, ZONES, list(ZONES))
