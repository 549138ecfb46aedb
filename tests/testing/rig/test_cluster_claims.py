"""Claims on channel owners, followers, rollouts and latency maps, on handmade facts with and without violations."""

import msgspec
import pytest

from tests.testing.rig.test_scenarios import scenario, step
from yardbank.cluster.peers.batch import Batch, BatchEntry, encode
from yardbank.config.checked import ConfigError
from yardbank.config.load import load_text
from yardbank.testing.audit import changes, feeds
from yardbank.testing.audit.gossip_messages import decode_datagram, items
from yardbank.testing.audit.zone_latencies import latencies_accurate
from yardbank.testing.rig.changes import changed_settings, rollout_request
from yardbank.testing.rig.gateway_folder import peers_text, settings_text
from yardbank.testing.rig.network import Effect, Network, zone_round_trips
from yardbank.testing.rig.observations import Observations, fact_from_log

FLEET = "fleet {\n  gateways = 4\n  peers = true\n  channels = true\n  rollout = true\n  atlas = true\n}\n"
NOTICES = 'program "notices" {\n  who = ["g1", "g2"]\n  channels = 3\n}\n'


def fact(at, kind, **more):
    return {"at": at, "kind": kind, **more}


def item(at, owner, epoch, sequence, channel="c", sender=None):
    return fact(
        at, "item", channel=channel, epoch=epoch, sequence=sequence, owner=owner, sender=sender or owner, to="f"
    )


def items_of_owner(owner, epoch, since, until):
    return [item(since + n * 0.1, owner, epoch, n + 1) for n in range(round((until - since) * 10) + 1)]


def by_time(*rows):
    return sorted((one for row in rows for one in row), key=lambda fact: fact["at"])


def test_two_concurrent_owners_are_found_beyond_the_allowed_overlap():
    good = by_time(items_of_owner("g1", 1, 0, 5), items_of_owner("g2", 2, 4.8, 9))
    assert feeds.owners(good, 0.3).held and not feeds.owners(good, 0.1).held
    assert feeds.owners(by_time(good, [item(8.0, "g1", 1, 3)]), 0.3).held  # a resent item does not prove ownership
    assert feeds.owners(by_time(good, [item(8.0, "g1", 1, 9, sender="g3")]), 0.3).held  # relayed by another gateway
    broken = feeds.owners(by_time(good, [item(8.0, "g1", 1, 99)]), 0.3)  # it still creates items
    assert not broken.held and "g1 (epoch 1) and g2 (epoch 2)" in broken.seen and broken.fact["at"] == 8.0
    late = fact(8.01, "rig_late", by=3.0)  # the rig may have recorded the item this much late
    assert feeds.owners(by_time(good, [item(8.0, "g1", 1, 99), late]), 0.3).held
    twice = feeds.owners(by_time(items_of_owner("g1", 1, 0, 5), items_of_owner("g2", 1, 6, 7)), 0.3)
    assert not twice.held and "both own epoch 1" in twice.seen
    assert not feeds.owners([], 0.3).held


def item_received(at, *place, gateway="f"):
    return fact(at, "feed_item", gateway=gateway, channel="c", epoch=place[0], sequence=place[1])


def test_duplicate_reordered_or_silently_lost_items_at_a_follower_are_found():
    sent_items = items_of_owner("g1", 1, 0, 0.4)  # five items
    gap = fact(1.5, "channel", gateway="f", channel="c", what="gap", epoch=1)
    places = [(1, 1), (1, 2), (1, 3)]
    whole = [item_received(1 + n / 10, *place) for n, place in enumerate(places)]
    assert feeds.followers(by_time(sent_items, whole)).held
    for more, held in (
        ([item_received(2, 1, 3)], False),
        ([item_received(2, 1, 2)], False),
        ([item_received(2, 1, 5)], False),
        ([gap, item_received(2, 1, 5)], True),
        ([item_received(2, 2, 1)], False),
        ([gap, item_received(2, 2, 1)], True),
        ([item_received(2, 1, 4), item_received(3, 1, 5), item_received(4, 2, 1)], True),
        ([item_received(2, 1, 2, gateway="other")], True),
        ([fact(1.9, "peer_start", gateway="f"), item_received(2, 1, 1)], True),
        ([gap, item_received(2, 2, 1), item_received(3, 1, 4)], False),
        ([gap, item_received(2, 1, 5), item_received(3, 2, 2)], False),
    ):
        assert feeds.followers(by_time(sent_items, whole, more)).held == held, more
    assert not feeds.followers(sent_items).held


def test_each_channel_must_have_one_owner_at_the_end_and_few_changes_of_owner():
    load_over = [fact(9.0, "load_over")]
    steps = [fact(4.0, "step", name="x", phase="begin")]
    good = by_time(items_of_owner("g1", 1, 0, 5), items_of_owner("g2", 2, 6, 9), load_over, steps)
    assert feeds.owned_again(good, "x", ["c"], 1.0).held
    assert "d has 0 owners" in feeds.owned_again(good, "x", ["c", "d"], 1.0).seen
    assert not feeds.owned_again(by_time(good, [item(8.5, "g1", 1, 99)]), "x", ["c"], 1.0).held
    assert not feeds.owned_again(by_time(items_of_owner("g1", 1, 0, 5), load_over, steps), "x", ["c"], 1.0).held
    assert not feeds.owned_again(good, "y", ["c"], 1.0).held
    assert feeds.steady(good, 1, "x", "").held and not feeds.steady(good, 0, "x", "").held
    assert feeds.steady(good, 0, "", "x").held and not feeds.steady([*steps, *load_over], 0, "x", "").held


ZONES = {"g1": "n", "g2": "s", "g3": "n", "g4": "s"}


def rollout_event(at, gateway, what, stage):
    return fact(at, "rollout", gateway=gateway, rollout="r", what=what, stage=stage, version="v")


def change_over(at, gateway, stage):
    return [rollout_event(at, gateway, what, stage) for what in ("going_over", "settling", "new")]


def process(at, name, what):
    return fact(at, "process", name=name, what=what)


UP = [process(0, name, "ready") for name in ZONES]
GOOD = [
    *change_over(1, "g1", 1),
    *change_over(2, "g2", 1),
    rollout_event(3, "g3", "well", 1),
    rollout_event(3, "g3", "stage", 2),
    rollout_event(3, "g4", "well", 1),
    *change_over(4, "g3", 2),
    *change_over(5, "g4", 2),
    fact(9, "load_over"),
]


def without(facts, *gone):
    return [one for index, one in enumerate(facts) if index not in gone]


def test_rollout_stages_must_be_in_order_spread_over_zones_and_limited():
    assert changes.stages([*UP, *GOOD], ZONES, 1).held and changes.advanced([*UP, *GOOD], list(ZONES)).held
    # Tried in service, which was not possible.
    tried = [rollout_event(0.5, "g1", "going_over", 1), rollout_event(0.6, "g1", "due", 1)]
    assert changes.stages([*UP, *tried, *GOOD], ZONES, 1).seen.startswith("4 went over")
    early = changes.stages([*UP, rollout_event(0, "g1", "stage", 1), *without(GOOD, 6)], ZONES, 1)
    assert not early.held and "g3 went in stage 2 and had not found stage 1 well" in early.seen
    whole = [*change_over(1, "g1", 1), *change_over(2, "g3", 1), *GOOD[6:9], *change_over(4, "g2", 2)]
    assert "zone n has gone as a whole" in changes.stages(whole, ZONES, 1).seen
    many = ZONES | {"g5": "n", "g6": "s"}
    unbalanced = whole
    assert "not spread" in changes.stages(unbalanced, many, 1).seen
    leaving = [process(1, "g1", "leaving"), process(2, "g2", "leaving"), process(3, "g1", "ready")]
    assert changes.stages(by_time(GOOD, leaving), ZONES, 2).held
    assert "g1, g2 are out" in changes.stages(by_time(GOOD, leaving), ZONES, 1).seen
    # g1 exceeds the outage and does not count any more.
    assert changes.stages(by_time(GOOD, leaving), ZONES, 1, outage=1.0).held
    assert not changes.stages([], ZONES, 1).held


def test_stopped_and_finished_rollouts_are_distinguished():
    back = [
        rollout_event(3, "g4", "stopped", 1),
        rollout_event(4, "g1", "old", 1),
        rollout_event(5, "g2", "old", 1),
        fact(9, "load_over"),
    ]
    stopped = [*UP, *GOOD[:6], *back]
    assert changes.stopped(stopped, list(ZONES)).held and not changes.advanced(stopped, list(ZONES)).held
    assert not changes.stopped([*UP, *GOOD], list(ZONES)).held
    assert "still on the new version: g2" in changes.stopped([*UP, *GOOD[:6], *without(back, 2)], list(ZONES)).seen
    assert not changes.stopped([*UP, *back[1:]], list(ZONES)).held  # no gateway reported a stop
    again = [*UP, *back[:1], *change_over(3.5, "g4", 1), rollout_event(4, "g4", "fell_back", 1), *back[3:]]
    assert "though it had heard" in changes.stopped(again, list(ZONES)).seen
    dead = [*UP, process(0.5, "g1", "kill"), *GOOD[3:]]
    assert changes.advanced(dead, list(ZONES)).held and not changes.advanced([*UP, *GOOD[:9]], list(ZONES)).held


def test_reported_latencies_must_be_within_the_claimed_tolerance():
    configured = [fact(1, "way", **{"from": a, "to": b, "ms": 80.0}) for a, b in ("ns", "sn")]
    reported = [
        fact(3, "map", gateway=g, how="seen", ms=83.0, **{"from": z, "to": "s" if z == "n" else "n"})
        for g, z in ZONES.items()
    ]
    assert (
        latencies_accurate([*UP, *configured, *reported], ZONES, 0.05, 0).held
        and latencies_accurate([*UP, *configured, *reported], ZONES, 0, 4).held
    )
    off = latencies_accurate([*UP, *configured, *reported, {**reported[1], "ms": 20.0}], ZONES, 0.05, 5)
    assert not off.held and "g2 says 20.0 ms from s to n, 80.0 are set" in off.seen
    assert "g3 knows nothing" in latencies_accurate([*UP, *configured, *without(reported, 2)], ZONES, 0.05, 0).seen
    assert not latencies_accurate([*UP, *configured, *reported, {**reported[0], "how": "unknown"}], ZONES, 0.05, 0).held
    assert not latencies_accurate([*UP, *reported], ZONES, 0.05, 0).held


def datagram(sender, *bodies):
    entries = tuple(BatchEntry("feed", msgspec.msgpack.encode(body)) for body in bodies)
    return encode(Batch("rig", sender, 7, 1, entries), [b"k" * 32])


def test_datagrams_and_log_lines_give_channel_owners_and_rollout_progress():
    body, other = ["item", "notices-1", 3, 9, b"x", "g1", 7, None, "more"], ["beat", []]
    data = datagram("g1", body, other)
    assert [one[2][0] for one in decode_datagram(data)] == ["item", "beat"] and items(data)[0]["sequence"] == 9
    assert items(data[:40]) == items(b"yb\x01" + data[3:]) == items(b"") == items(data[:19] + b"\xc1" * 30) == []
    observations = Observations()
    facts, events = observations.process_datagram("g1", "g2", data)
    assert (
        facts[0]["to"] == "g2" and events == ["owned:notices-1"] and observations.resolve(["owner:notices-1"]) == ["g1"]
    )
    assert observations.process_datagram("g2", "g1", datagram("g2", body))[1] == []  # relayed
    # An older epoch.
    assert observations.process_datagram("g2", "g1", datagram("g2", [*body[:2], 2, 1, b"", "g2", 7]))[1] == []
    assert observations.process_datagram("g2", "g1", datagram("g2", [*body[:2], 4, 1, b"", "g2", 7]))[1] == [
        "owned:notices-1"
    ]
    line = {"event": "rollout", "rollout": "r", "what": "settling", "stage": 2, "level": "info"}
    assert observations.process_log_fact(fact_from_log("g4", line)) == [
        "went_over",
        "stage:2",
    ] and observations.resolve(["moved"]) == ["g4"]
    assert (
        observations.process_log_fact(fact_from_log("g4", {**line, "what": "fell_back"}))
        == []
        == observations.resolve(["moved"])
    )
    assert fact_from_log("g4", {"event": "hello"}) is None
    assert not observations.rollout_complete(["g4"])
    for what, settled in (("stopped", True), ("new", False), ("finished", True), ("old", False)):
        observations.process_log_fact(fact_from_log("g4", {**line, "what": what}))
        assert observations.rollout_complete(["g4"]) == settled and not observations.rollout_complete(["g4", "g5"])


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
def test_a_scenario_with_invalid_fleet_features_is_rejected(text, fault):
    with pytest.raises(ConfigError) as problem:
        scenario(text)
    assert any(fault in line for line in problem.value.faults), problem.value.faults


def test_zones_channels_and_settings_follow_the_scenario():
    made = scenario(FLEET + NOTICES)
    assert made.matching_ends(("zone:sur", "g1"), made.ends()) == ["g1", "g2", "g4", "a-2"]
    assert made.channels() == ["notices-1", "notices-2", "notices-3"] and "owned:notices-3" in made.events()
    text = settings_text(made, "g1", 1)
    assert all(f"\n{block} {{" in text for block in ("leases", "channels", "rollout", "atlas"))
    older = settings_text(scenario(FLEET + NOTICES.replace("notices", "landed")), "g1", 1)
    assert not any(f"\n{block} {{" in older for block in ("leases", "channels", "rollout", "atlas"))
    assert 'zone = "n"' in peers_text({"g1": 1}, {"g1": "n"}) and "zone" not in peers_text({"g1": 1})
    for change in ("in-service", "anew", "refuses", "locked-out", "one-class", "crashes"):
        other = changed_settings(text, change)
        assert other != text and load_text(other)
    asked = scenario(FLEET + step("x", 'do = "rollout"\nchange = "anew"\nstages = [0.5, 1]\nhold = "2s"')).step[0]
    assert 'rollout "change" {\n  settings = "change.hcl"\n  stages = [0.5, 1.0]\n  hold = "2000ms"' in rollout_request(
        asked
    )


def test_the_round_trip_between_zones_is_the_least_of_all_pairs():
    network = Network()
    network.begin("x", [("g1", "g2"), ("g2", "g1"), ("g3", "g2")], Effect(delay=0.04))
    assert ("n", "s", 0.0) in zone_round_trips(network, ZONES, list(ZONES))
    network.begin("y", [(a, b) for a in ZONES for b in ZONES if ZONES[a] != ZONES[b]], Effect(delay=0.02, jitter=0.01))
    assert ("n", "s", pytest.approx(50.0)) in zone_round_trips(network, ZONES, list(ZONES))
