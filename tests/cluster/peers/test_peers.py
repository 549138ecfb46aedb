"""Who is there, what is counted, what crosses: the peers' deciders on a virtual clock, under faults."""

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from yardbank.cluster.peers import datagram as wire
from yardbank.cluster.peers.counters import FRESH, MAX_KEYS, CounterRegistry
from yardbank.cluster.peers.datagram import (
    ALIVE,
    GONE,
    SUSPECT,
    CounterValue,
    Datagram,
    DroppedError,
    MembershipUpdate,
    ReplayFilter,
    decode,
    encode,
    read_keys,
)
from yardbank.cluster.peers.failure_detector import LEAP, MAX_SLOWNESS, SECOND, Detector
from yardbank.cluster.peers.node import GossipNode, Rate
from yardbank.testing.rig.gossip import FLEET, KEY, GossipFleet
from yardbank.testing.rig.network import Effect, pairs_of

OTHER = b"o" * 32
NAMES = [f"g{number}" for number in range(8)]


def fleet(count=8, seed=1, **more):
    made = GossipFleet([f"g{number}" for number in range(count)], seed=seed, **more)
    for name in made.names:
        made.start(name)
    assert made.run_until(made.agreed, 60 * SECOND)
    return made


def cut(gossip, name, sources, targets, oneway=False, effect=None):
    gossip.network.begin(name, pairs_of(sources, targets, oneway), effect or Effect(cut="silent"))


# Datagrams

NEWS = st.builds(
    MembershipUpdate, st.text(max_size=8), st.sampled_from([1, 2, 3]), st.integers(1, 2**53), st.text(max_size=8)
)
COUNTS = st.builds(CounterValue, st.text(max_size=8), st.integers(1, 2**40), st.integers(0, 2**40))
PLAIN = Datagram(
    FLEET, "g1", 5, 7, 9, wire.PING, 3, "g2", (MembershipUpdate("g3", SUSPECT, 4, "g4"),), (CounterValue("out", 2, 11),)
)


@settings(max_examples=150, deadline=None, derandomize=True)
@given(st.lists(NEWS, max_size=5), st.lists(COUNTS, max_size=5), st.integers(1, 2**50), st.integers(0, 2**50))
def test_a_datagram_survives_the_way(news, counts, sequence, number):
    made = Datagram(FLEET, "g1", 5, 7, sequence, wire.ACK, number, "", tuple(news), tuple(counts))
    assert decode(encode(made, [KEY]), [OTHER, KEY], FLEET) == made


def test_a_datagram_spoilt_in_any_octet_is_dropped_whole():
    data = encode(PLAIN, [KEY])
    node = GossipNode("g0", FLEET, [KEY], 1, Random(1))
    node.listed(SECOND, ["g0", "g1", "g2", "g3"])
    for at in range(len(data)):
        for bit in range(8):
            assert node.receive(SECOND, data[:at] + bytes((data[at] ^ 1 << bit,)) + data[at + 1 :]) == []
        assert node.receive(SECOND, data[:at]) == []
    assert all(seen.state == "unheard" and seen.heard is None for seen in node.view(SECOND))
    assert node.totals(SECOND) == {} and sum(node.dropped.values()) == 9 * len(data)
    assert len(node.receive(SECOND, data)) == 1  # whole, it is answered


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.binary(max_size=1300))
def test_no_octets_break_it(data):
    node = GossipNode("g0", FLEET, [KEY], 1, Random(1))
    node.listed(SECOND, ["g0", "g1"])
    signed = (
        wire.MAGIC + bytes((wire.VERSION,)) + wire._digest(KEY, wire.VERSION, data) + data
    )  # by one who has the key
    for octets in (data, signed):
        assert node.receive(SECOND, octets) == []
    assert sum(node.dropped.values()) == 2


@pytest.mark.parametrize(
    ("change", "reason"),
    [
        ({"fleet": "other"}, "fleet"),
        ({"sender": "g9"}, "stranger"),
        ({"sender": "g0"}, "stranger"),
        ({"kind": "shout"}, "shape"),
        ({"boot_epoch": 0}, "shape"),
        ({"boot_epoch": 8}, "shape"),
        ({"incarnation": 2**60}, "shape"),
        ({"sequence": 0}, "shape"),
        ({"updates": (MembershipUpdate("g2", 4, 1, "g1"),)}, "shape"),
        ({"updates": (MembershipUpdate("g2", 1, 0, "g1"),)}, "shape"),
        ({"counters": (CounterValue("x", 1, -1),)}, "shape"),
    ],
)
def test_what_is_signed_and_wrong_is_dropped_by_its_reason(change, reason):
    import msgspec

    node = GossipNode("g0", FLEET, [KEY], 1, Random(1))
    node.listed(SECOND, ["g0", "g1", "g2"])
    assert node.receive(SECOND, encode(msgspec.structs.replace(PLAIN, **change), [KEY])) == []
    assert node.dropped == {reason: 1}


def test_another_version_and_another_key_are_ignored():
    data = encode(PLAIN, [KEY])
    for spoilt, reason in (
        (data[:2] + b"\x02" + data[3:], "version"),
        (b"zz" + data[2:], "magic"),
        (encode(PLAIN, [OTHER]), "digest"),
        (data + bytes(1200), "size"),
    ):
        with pytest.raises(DroppedError, match=reason):
            decode(spoilt, [KEY], FLEET)
    with pytest.raises(ValueError, match="1200 allowed"):
        encode(
            Datagram(
                FLEET,
                "g1",
                1,
                1,
                1,
                wire.PING,
                updates=tuple(MembershipUpdate("x" * 20, 1, 1, "y" * 20) for _ in range(40)),
            ),
            [KEY],
        )


def test_the_longest_names_there_can_be_fit_a_datagram():
    """One that did not would end the timer that sends the next."""
    names = [f"{number:02d}" + "n" * 30 for number in range(40)]
    gossip = GossipFleet(names, seed=15)
    for name in names:
        made = gossip.start(name, boot_epoch=1 << 40)
        made.counters.update({f"{number:02d}" + "k" * 62: (1 << 61) + number for number in range(20)})
    seen = {f"{number:02d}" + "s" * 62: (5 - number % 3, 1 << 60) for number in range(20)}

    def look():
        for name, node in gossip.nodes.items():
            node.report_store.record_first_hand(gossip.own(name), seen)
        gossip.at(gossip.now + SECOND, look)

    look()
    assert gossip.run_until(gossip.agreed, 120 * SECOND)
    gossip.kill(names[0])
    gossip.run(gossip.now + 60 * SECOND)
    assert all(node.sent > 60 and not node.dropped for node in gossip.nodes.values())


def test_keys_are_read_by_line():
    assert read_keys("# new\n" + "ab" * 16 + "\n\n" + "cd" * 32 + "\n") == [b"\xab" * 16, b"\xcd" * 32]
    for text, fault in (
        ("ab", "1: a key has 16 to 64 octets, this one 1"),
        ("\nxyz", "2: not hexadecimal"),
        ("", "1: one"),
    ):
        with pytest.raises(ValueError, match=fault):
            read_keys(text)


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.lists(st.tuples(st.integers(1, 3), st.integers(1, 100)), max_size=80))
def test_no_datagram_is_taken_twice(arrivals):
    replays, taken, highest = ReplayFilter(), set(), 0
    for boot_epoch, sequence in arrivals:
        try:
            replays.accept("g1", boot_epoch, sequence)
        except DroppedError:
            newest = max((s for w, s in taken if w == boot_epoch), default=0)
            assert (boot_epoch, sequence) in taken or boot_epoch < highest or newest - sequence >= wire.WINDOW
        else:
            assert (boot_epoch, sequence) not in taken and boot_epoch >= highest
            taken.add((boot_epoch, sequence))
        highest = max(highest, boot_epoch) if (boot_epoch, sequence) in taken else highest


# Who is there


def test_all_find_each_other_and_nobody_is_accused():
    gossip = fleet()
    gossip.run(gossip.now + 120 * SECOND)
    assert gossip.agreed() and not gossip.told(SUSPECT) and not gossip.told(GONE)


@pytest.mark.parametrize("seed", range(4))
def test_one_that_dies_is_known_to_all_and_one_that_returns_too(seed):
    gossip = fleet(seed=seed)
    gossip.kill("g3")
    assert gossip.run_until(gossip.agreed, 60 * SECOND)
    assert {(who, whom) for _, who, whom in gossip.told(GONE)} == {
        (name, "g3") for name in gossip.names if name != "g3"
    }
    gossip.start("g3")
    assert gossip.run_until(gossip.agreed, 60 * SECOND)


@pytest.mark.parametrize("seed", range(3))
def test_one_whose_clock_was_set_back_and_whose_store_is_gone_is_taken_back(seed):
    gossip = GossipFleet(NAMES, seed=seed)
    for name in NAMES:
        gossip.start(name, boot_epoch=1_000_000)
    assert gossip.run_until(gossip.agreed, 60 * SECOND)
    gossip.kill("g3")
    assert gossip.run_until(gossip.agreed, 60 * SECOND)
    gossip.start("g3", boot_epoch=1_000)
    assert gossip.run_until(gossip.agreed, 90 * SECOND)
    gossip.kill("g4")
    gossip.start("g4", boot_epoch=1_000)  # at once: nobody has missed it yet
    gossip.run(gossip.now + 30 * SECOND)
    assert gossip.run_until(gossip.agreed, 120 * SECOND)


def test_one_that_never_comes_is_missed_and_spoils_no_datagram():
    gossip = GossipFleet(NAMES, seed=13)
    for name in NAMES[:-1]:
        gossip.start(name)
    assert gossip.run_until(gossip.agreed, 120 * SECOND)
    gossip.run(gossip.now + 30 * SECOND)
    assert gossip.agreed() and not any(node.dropped for node in gossip.nodes.values())
    gossip.start(NAMES[-1])
    assert gossip.run_until(gossip.agreed, 120 * SECOND)


PARTITIONS = {
    "two sides": [(NAMES[:4], NAMES[4:])],
    "three ways": [(NAMES[:3], NAMES[3:]), (NAMES[3:6], NAMES[6:])],
    "one alone": [(NAMES[:1], NAMES[1:])],
}


@pytest.mark.parametrize("shape", PARTITIONS)
def test_each_side_of_a_partition_agrees_and_all_do_after_it(shape):
    gossip = fleet(seed=5)
    for number, (one, other) in enumerate(PARTITIONS[shape]):
        cut(gossip, f"{shape} {number}", one, other)
    reach = {(a, b) for a in NAMES for b in NAMES if gossip.network.effect(a, b) == Effect() and a != b}

    def sides_agree():
        return all(
            gossip.believes(a, b) == (ALIVE if (a, b) in reach else GONE) for a in NAMES for b in NAMES if a != b
        )

    assert gossip.run_until(sides_agree, 120 * SECOND)
    gossip.run(gossip.now + 60 * SECOND)
    assert sides_agree()
    for number in range(len(PARTITIONS[shape])):
        gossip.network.end(f"{shape} {number}")
    assert gossip.run_until(gossip.agreed, 120 * SECOND)


def test_one_deaf_way_between_two_harms_nobody():
    gossip = fleet(seed=2)
    cut(gossip, "deaf", ["g1"], ["g2"])
    gossip.run(gossip.now + 120 * SECOND)
    assert not gossip.told(GONE)  # others reach both


def test_one_that_is_stopped_wakes_without_its_old_convictions():
    gossip = fleet(seed=3)
    gossip.pause("g5")
    gossip.run(gossip.now + 40 * SECOND)
    assert gossip.believes("g0", "g5") == GONE
    before = len(gossip.history)
    gossip.resume("g5")
    assert gossip.nodes["g5"].detector.slowness == MAX_SLOWNESS
    assert gossip.run_until(gossip.agreed, 120 * SECOND)
    accused = [(who, change.name) for _, who, change in gossip.history[before:] if change.state == GONE]
    assert not [pair for pair in accused if pair[1] != "g5"]


def test_loss_makes_suspicions_and_they_are_refuted():
    gossip = fleet(seed=4)
    gossip.way = Effect(delay=0.0005, lose=0.3)
    gossip.run(gossip.now + 300 * SECOND)
    assert gossip.told(SUSPECT)
    falsely = len(gossip.told(GONE))
    assert falsely <= 0.1 * len(gossip.told(SUSPECT))
    gossip.way = Effect(delay=0.0005)
    assert gossip.run_until(gossip.agreed, 120 * SECOND)


def test_a_gateway_that_is_slow_goes_on_telling_and_hearing_news():
    """Refutations ride on datagrams: where slowness stretched those too, the living were forgotten at 30 % loss."""
    gossip = fleet(100, seed=3)
    gossip.way = Effect(delay=0.0005, lose=0.3)
    before = len(gossip.told(GONE))
    octets, began = dict(gossip.octets), gossip.now
    gossip.run(gossip.now + 70 * SECOND)
    seconds = (gossip.now - began) / SECOND
    assert max(node.detector.slowness for node in gossip.nodes.values()) > 3
    assert len(gossip.told(GONE)) - before < 20
    assert max(gossip.octets[name] - octets[name] for name in gossip.names) / seconds < 2048
    gossip.way = Effect(delay=0.0005)
    assert gossip.run_until(gossip.agreed, 60 * SECOND)


def test_doubled_and_overtaking_datagrams_change_nothing():
    gossip = fleet(seed=6, way=Effect(delay=0.001, double=0.3, reorder=0.4))
    gossip.run(gossip.now + 60 * SECOND)
    assert gossip.agreed() and not gossip.told(GONE)
    assert sum(node.dropped["old"] for node in gossip.nodes.values()) > 50
    gossip.kill("g1")
    gossip.start("g1")
    assert gossip.run_until(gossip.agreed, 120 * SECOND)


def test_a_fast_clock_accuses_nobody():
    gossip = GossipFleet(NAMES, seed=7)
    for name in NAMES:
        gossip.start(name, rate=1.2 if name == "g2" else 1.0)
    assert gossip.run_until(gossip.agreed, 60 * SECOND)
    gossip.run(gossip.now + 200 * SECOND)
    assert gossip.agreed() and not gossip.told(GONE)


def test_all_but_one_restart_at_once():
    gossip = fleet(seed=8)
    for name in NAMES[1:]:
        gossip.kill(name)
        gossip.start(name)
    gossip.run(gossip.now + 10 * SECOND)
    assert gossip.run_until(gossip.agreed, 60 * SECOND)


def test_a_liar_cannot_have_one_that_lives_forgotten():
    """One that has the key accuses g2 in every datagram: g2 refutes each time, and is never gone for long."""
    gossip = fleet(seed=9)
    liar = gossip.nodes["g7"].detector
    honest = liar.updates_for
    liar.updates_for = lambda to, count: [
        MembershipUpdate("g2", GONE, liar.peers["g2"].incarnation, "g7"),
        *honest(to, count),
    ][:count]
    gone_for, seen = 0, 0
    for _ in range(600):
        gossip.run(gossip.now + SECOND // 10)
        seen += 6
        gone_for += sum(gossip.believes(name, "g2") == GONE for name in NAMES if name not in ("g2", "g7"))
    assert gossip.nodes["g2"].detector.refuted > 5
    assert gone_for < seen / 50
    assert all(gossip.believes(name, other) == ALIVE for name in NAMES[:7] for other in NAMES[3:7] if other != name)


def test_an_accusation_far_above_ones_incarnation_is_not_believed():
    detector = Detector("g0", 10, Random(1))
    detector.listed(0, NAMES)
    detector.receive_updates(1, "g1", [MembershipUpdate("g0", SUSPECT, 10 + LEAP + 1, "g1")])
    assert detector.incarnation == 10 and detector.boot_epoch == 10
    detector.receive_updates(1, "g1", [MembershipUpdate("g0", SUSPECT, 10, "g1")])
    assert detector.incarnation == 11 and detector.boot_epoch == 10  # refuted in the same life
    detector.receive_updates(1, "g1", [MembershipUpdate("g0", ALIVE, 50, "g0")])
    assert detector.incarnation == 51 and detector.boot_epoch == 51  # an earlier life was there
    assert detector.times_overtaken == 1


def test_peers_come_from_the_list_alone():
    gossip = fleet(seed=10)
    node = gossip.nodes["g0"]
    node.detector.receive_updates(gossip.now, "g1", [MembershipUpdate("g99", ALIVE, 1, "g1")])
    assert "g99" not in node.detector.peers
    node.listed(gossip.now, NAMES[:4])
    assert {seen.name for seen in node.view(gossip.now)} == {"g1", "g2", "g3"}
    gossip.run(gossip.now + 60 * SECOND)
    assert node.dropped["stranger"] > 0  # those that still list it


@pytest.mark.parametrize("lose", [0.0, 0.5])
def test_traffic_is_bounded_in_a_storm_of_suspicion(lose):
    gossip = fleet(16, seed=11, way=Effect(delay=0.0005))
    gossip.way = Effect(delay=0.0005, lose=lose)
    for name in gossip.names[:5]:
        gossip.kill(name)
    before, began = dict(gossip.octets), gossip.now
    gossip.run(gossip.now + 120 * SECOND)
    seconds = (gossip.now - began) / SECOND
    assert max(gossip.octets[name] - before[name] for name in gossip.names) / seconds < 2048


def test_the_rate_bounds_what_is_sent_at_once():
    rate = Rate(rate=1000, burst=2000)
    assert rate.left(0) == 2000
    rate.spend(2500)
    assert rate.left(0) == -500 and rate.left(SECOND) == 500 and rate.left(10 * SECOND) == 2000


# Counts


@settings(max_examples=200, deadline=None, derandomize=True)
@given(
    st.lists(
        st.tuples(st.sampled_from(["set", "tell", "again", "restart"]), st.integers(0, 5), st.integers(0, 9)),
        max_size=40,
    ),
    st.randoms(use_true_random=False),
)
def test_nothing_is_counted_twice_whatever_comes_late_or_again(moves, random):
    here, there, boot_epoch, under_way = CounterRegistry(), CounterRegistry(), 1, []
    here.set_peers({"g1"})
    for move, key, value in moves:
        if move == "set":
            there.update({f"k{key}": value})
        elif move == "restart":
            there, boot_epoch = CounterRegistry(), boot_epoch + 1
        else:
            under_way.append((boot_epoch, there.next_to_send(4)))
            told = random.choice(under_way)  # any of those sent so far, also again
            here.receive(0, "g1", told[0], told[1])
    under_way.append((boot_epoch, there.next_to_send(MAX_KEYS)))
    random.shuffle(under_way)
    for told in under_way * 2:
        here.receive(0, "g1", told[0], told[1])
    for number in range(6):
        assert here.total(0, f"k{number}").value == there.total(0, f"k{number}").value


def test_a_sum_says_who_is_missing_and_how_old_it_is():
    registry = CounterRegistry()
    registry.set_peers({"g1", "g2", "g3"})
    registry.update({"out": 5})
    registry.receive(10, "g1", 1, [CounterValue("out", 1, 7)])
    registry.receive(20, "g2", 1, [CounterValue("out", 1, 1)])
    registry.receive(20, "g9", 1, [CounterValue("out", 1, 100)])
    total = registry.total(30, "out")
    assert (total.value, total.contributors, total.missing, total.oldest) == (13, 3, 1, 20)
    later = registry.total(15 + FRESH, "out")
    assert (later.value, later.missing) == (6, 2)  # g1 was not heard for too long
    registry.set_peers({"g2"})
    assert registry.total(30, "out").value == 6


def test_figures_are_bounded():
    registry = CounterRegistry()
    registry.update({f"k{number}": number for number in range(MAX_KEYS + 10)})
    assert registry.dropped == 10 and len(registry.keys()) == MAX_KEYS
    registry.set_peers({"g1"})
    registry.receive(0, "g1", 1, [CounterValue(f"x{number}", 1, 1) for number in range(MAX_KEYS + 7)])
    assert registry.dropped == 17


def test_counts_reach_the_whole_fleet_and_a_refutation_loses_none():
    gossip = fleet(seed=12)
    for number, name in enumerate(NAMES):
        gossip.nodes[name].counters.update({"out:a-1": number + 1, "asked:lookup": 10})
    gossip.run(gossip.now + 30 * SECOND)
    gossip.nodes["g0"].detector.receive_updates(
        gossip.now, "g1", [MembershipUpdate("g0", SUSPECT, gossip.nodes["g0"].detector.incarnation, "g1")]
    )
    gossip.run(gossip.now + 10 * SECOND)
    for name in NAMES:
        totals = gossip.nodes[name].totals(gossip.own(name))
        assert (totals["out:a-1"].value, totals["out:a-1"].missing) == (36, 0)
        assert totals["asked:lookup"].value == 80


def test_the_same_seed_gives_the_same_story():
    def story(seed):
        gossip = GossipFleet(NAMES, seed=seed, way=Effect(delay=0.001, lose=0.2, reorder=0.2))
        for name in NAMES:
            gossip.start(name)
        gossip.at(20 * SECOND, lambda: gossip.kill("g2"))
        gossip.run(60 * SECOND)
        return gossip.history, gossip.octets

    assert story(1) == story(1) != story(2)


def test_one_that_starts_where_nobody_is_there_is_quiet_and_finds_those_who_come():
    names = [f"g{number}" for number in range(200)]
    gossip = GossipFleet(names, seed=14)
    gossip.start("g0")
    gossip.run(600 * SECOND)
    alone = gossip.octets["g0"] / 600
    assert alone < 2048 and set(gossip.told(ALIVE)) == set()
    for name in names[1:6]:
        gossip.start(name)
    found = gossip.run_until(lambda: all(gossip.believes("g0", name) == ALIVE for name in names[1:6]), 300 * SECOND)
    assert found
