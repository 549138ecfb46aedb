"""Failure detection, counters and datagrams of gossip, on a virtual clock and under faults."""

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from yardbank.cluster.peers import datagram as wire
from yardbank.cluster.peers.counters import MAX_CONTRIBUTION_AGE, MAX_KEYS, CounterRegistry
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
from yardbank.cluster.peers.failure_detector import MAX_INCARNATION_LEAD, MAX_SLOWNESS, SECOND, Detector
from yardbank.cluster.peers.node import GossipNode, Rate
from yardbank.testing.rig.gossip import FLEET, KEY, GossipFleet
from yardbank.testing.rig.network import Effect, pairs_of

OTHER_KEY = b"o" * 32
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

UPDATES = st.builds(
    MembershipUpdate, st.text(max_size=8), st.sampled_from([1, 2, 3]), st.integers(1, 2**53), st.text(max_size=8)
)
COUNTERS = st.builds(CounterValue, st.text(max_size=8), st.integers(1, 2**40), st.integers(0, 2**40))
VALID = Datagram(
    FLEET, "g1", 5, 7, 9, wire.PING, 3, "g2", (MembershipUpdate("g3", SUSPECT, 4, "g4"),), (CounterValue("out", 2, 11),)
)


@settings(max_examples=150, deadline=None, derandomize=True)
@given(st.lists(UPDATES, max_size=5), st.lists(COUNTERS, max_size=5), st.integers(1, 2**50), st.integers(0, 2**50))
def test_datagram_is_unchanged_by_encoding_and_decoding(updates, counters, sequence, number):
    made = Datagram(FLEET, "g1", 5, 7, sequence, wire.ACK, number, "", tuple(updates), tuple(counters))
    assert decode(encode(made, [KEY]), [OTHER_KEY, KEY], FLEET) == made


def test_datagram_corrupt_in_any_octet_or_truncated_is_dropped_whole():
    data = encode(VALID, [KEY])
    node = GossipNode("g0", FLEET, [KEY], 1, Random(1))
    node.listed(SECOND, ["g0", "g1", "g2", "g3"])
    for at in range(len(data)):
        for bit in range(8):
            assert node.receive(SECOND, data[:at] + bytes((data[at] ^ 1 << bit,)) + data[at + 1 :]) == []
        assert node.receive(SECOND, data[:at]) == []
    assert all(seen.state == "unheard" and seen.heard is None for seen in node.view(SECOND))
    assert node.totals(SECOND) == {} and sum(node.dropped.values()) == 9 * len(data)
    assert len(node.receive(SECOND, data)) == 1  # the unchanged datagram is answered


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.binary(max_size=1300))
def test_arbitrary_octets_are_dropped_even_when_signed(data):
    node = GossipNode("g0", FLEET, [KEY], 1, Random(1))
    node.listed(SECOND, ["g0", "g1"])
    signed = (
        wire.MAGIC + bytes((wire.VERSION,)) + wire._digest(KEY, wire.VERSION, data) + data
    )  # as a holder of the key could send it
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
def test_signed_but_invalid_datagram_is_dropped_and_counted_by_reason(change, reason):
    import msgspec

    node = GossipNode("g0", FLEET, [KEY], 1, Random(1))
    node.listed(SECOND, ["g0", "g1", "g2"])
    assert node.receive(SECOND, encode(msgspec.structs.replace(VALID, **change), [KEY])) == []
    assert node.dropped == {reason: 1}


def test_datagram_of_other_version_magic_key_or_size_is_rejected():
    data = encode(VALID, [KEY])
    for changed, reason in (
        (data[:2] + b"\x02" + data[3:], "version"),
        (b"zz" + data[2:], "magic"),
        (encode(VALID, [OTHER_KEY]), "digest"),
        (data + bytes(1200), "size"),
    ):
        with pytest.raises(DroppedError, match=reason):
            decode(changed, [KEY], FLEET)
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


def test_longest_allowed_names_fit_a_datagram():
    """A datagram that is too long raises an error, which would end the timer that sends the next ones."""
    names = [f"{number:02d}" + "n" * 30 for number in range(40)]
    gossip = GossipFleet(names, seed=15)
    for name in names:
        made = gossip.start(name, boot_epoch=1 << 40)
        made.counters.update({f"{number:02d}" + "k" * 62: (1 << 61) + number for number in range(20)})
    seen = {f"{number:02d}" + "s" * 62: (5 - number % 3, 1 << 60) for number in range(20)}

    def record_findings():
        for name, node in gossip.nodes.items():
            node.report_store.record_first_hand(gossip.own(name), seen)
        gossip.at(gossip.now + SECOND, record_findings)

    record_findings()
    assert gossip.run_until(gossip.agreed, 120 * SECOND)
    gossip.kill(names[0])
    gossip.run(gossip.now + 60 * SECOND)
    assert all(node.sent > 60 and not node.dropped for node in gossip.nodes.values())


def test_keys_are_read_one_a_line_and_faults_name_the_line():
    assert read_keys("# new\n" + "ab" * 16 + "\n\n" + "cd" * 32 + "\n") == [b"\xab" * 16, b"\xcd" * 32]
    for text, fault in (
        ("ab", "1: a key must have 16 to 64 octets, this one has 1"),
        ("\nxyz", "2: not hexadecimal"),
        ("", "1: one or two keys are required, 0 found"),
    ):
        with pytest.raises(ValueError, match=fault):
            read_keys(text)


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.lists(st.tuples(st.integers(1, 3), st.integers(1, 100)), max_size=80))
def test_no_datagram_is_accepted_twice(arrivals):
    replays, taken, highest = ReplayFilter(), set(), 0
    for boot_epoch, sequence in arrivals:
        try:
            replays.accept("g1", boot_epoch, sequence)
        except DroppedError:
            newest = max((s for w, s in taken if w == boot_epoch), default=0)
            assert (boot_epoch, sequence) in taken or boot_epoch < highest or newest - sequence >= wire.REPLAY_WINDOW
        else:
            assert (boot_epoch, sequence) not in taken and boot_epoch >= highest
            taken.add((boot_epoch, sequence))
        highest = max(highest, boot_epoch) if (boot_epoch, sequence) in taken else highest


# Failure detection


def test_all_gateways_find_each_other_without_false_suspicions():
    gossip = fleet()
    gossip.run(gossip.now + 120 * SECOND)
    assert gossip.agreed() and not gossip.told(SUSPECT) and not gossip.told(GONE)


@pytest.mark.parametrize("seed", range(4))
def test_death_and_restart_of_a_gateway_become_known_to_all(seed):
    gossip = fleet(seed=seed)
    gossip.kill("g3")
    assert gossip.run_until(gossip.agreed, 60 * SECOND)
    assert {(who, whom) for _, who, whom in gossip.told(GONE)} == {
        (name, "g3") for name in gossip.names if name != "g3"
    }
    gossip.start("g3")
    assert gossip.run_until(gossip.agreed, 60 * SECOND)


@pytest.mark.parametrize("seed", range(3))
def test_gateway_restarted_with_a_lower_boot_epoch_is_found_alive_again(seed):
    gossip = GossipFleet(NAMES, seed=seed)
    for name in NAMES:
        gossip.start(name, boot_epoch=1_000_000)
    assert gossip.run_until(gossip.agreed, 60 * SECOND)
    gossip.kill("g3")
    assert gossip.run_until(gossip.agreed, 60 * SECOND)
    gossip.start("g3", boot_epoch=1_000)
    assert gossip.run_until(gossip.agreed, 90 * SECOND)
    gossip.kill("g4")
    gossip.start("g4", boot_epoch=1_000)  # at once: no peer has noticed that it was gone
    gossip.run(gossip.now + 30 * SECOND)
    assert gossip.run_until(gossip.agreed, 120 * SECOND)


def test_listed_gateway_that_never_starts_is_gone_and_causes_no_drops():
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
def test_each_side_of_a_partition_agrees_and_all_agree_after_it_heals(shape):
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


def test_loss_in_one_direction_between_two_gateways_makes_nobody_gone():
    gossip = fleet(seed=2)
    cut(gossip, "deaf", ["g1"], ["g2"])
    gossip.run(gossip.now + 120 * SECOND)
    assert not gossip.told(GONE)  # other gateways reach both


def test_resumed_gateway_does_not_accuse_peers_by_old_deadlines():
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


def test_suspicions_from_packet_loss_are_refuted():
    gossip = fleet(seed=4)
    gossip.way = Effect(delay=0.0005, lose=0.3)
    gossip.run(gossip.now + 300 * SECOND)
    assert gossip.told(SUSPECT)
    gone = len(gossip.told(GONE))
    assert gone <= 0.1 * len(gossip.told(SUSPECT))
    gossip.way = Effect(delay=0.0005)
    assert gossip.run_until(gossip.agreed, 120 * SECOND)


def test_slow_gateway_keeps_exchanging_updates():
    """Updates with refutations travel on pings.

    When slowness also stretched the interval of the pings, live peers became gone at 30 % packet loss.
    """
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


def test_duplicate_and_reordered_datagrams_change_nothing():
    gossip = fleet(seed=6, way=Effect(delay=0.001, double=0.3, reorder=0.4))
    gossip.run(gossip.now + 60 * SECOND)
    assert gossip.agreed() and not gossip.told(GONE)
    assert sum(node.dropped["old"] for node in gossip.nodes.values()) > 50
    gossip.kill("g1")
    gossip.start("g1")
    assert gossip.run_until(gossip.agreed, 120 * SECOND)


def test_fast_clock_makes_nobody_gone():
    gossip = GossipFleet(NAMES, seed=7)
    for name in NAMES:
        gossip.start(name, rate=1.2 if name == "g2" else 1.0)
    assert gossip.run_until(gossip.agreed, 60 * SECOND)
    gossip.run(gossip.now + 200 * SECOND)
    assert gossip.agreed() and not gossip.told(GONE)


def test_all_but_one_gateway_restart_at_once():
    gossip = fleet(seed=8)
    for name in NAMES[1:]:
        gossip.kill(name)
        gossip.start(name)
    gossip.run(gossip.now + 10 * SECOND)
    assert gossip.run_until(gossip.agreed, 60 * SECOND)


def test_false_accusations_by_one_gateway_do_not_make_a_live_peer_gone():
    """A gateway that has the key accuses g2 in every datagram; g2 refutes each time and is never gone for long."""
    gossip = fleet(seed=9)
    faulty = gossip.nodes["g7"].detector
    honest = faulty.updates_for
    faulty.updates_for = lambda to, count: [
        MembershipUpdate("g2", GONE, faulty.peers["g2"].incarnation, "g7"),
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


def test_accusation_with_implausibly_high_incarnation_is_ignored():
    detector = Detector("g0", 10, Random(1))
    detector.listed(0, NAMES)
    detector.receive_updates(1, "g1", [MembershipUpdate("g0", SUSPECT, 10 + MAX_INCARNATION_LEAD + 1, "g1")])
    assert detector.incarnation == 10 and detector.boot_epoch == 10
    detector.receive_updates(1, "g1", [MembershipUpdate("g0", SUSPECT, 10, "g1")])
    assert detector.incarnation == 11 and detector.boot_epoch == 10  # refuted within the same start
    detector.receive_updates(1, "g1", [MembershipUpdate("g0", ALIVE, 50, "g0")])
    assert detector.incarnation == 51 and detector.boot_epoch == 51  # there was an earlier start
    assert detector.times_overtaken == 1


def test_only_listed_gateways_are_peers():
    gossip = fleet(seed=10)
    node = gossip.nodes["g0"]
    node.detector.receive_updates(gossip.now, "g1", [MembershipUpdate("g99", ALIVE, 1, "g1")])
    assert "g99" not in node.detector.peers
    node.listed(gossip.now, NAMES[:4])
    assert {seen.name for seen in node.view(gossip.now)} == {"g1", "g2", "g3"}
    gossip.run(gossip.now + 60 * SECOND)
    assert node.dropped["stranger"] > 0  # from gateways that still list it


@pytest.mark.parametrize("lose", [0.0, 0.5])
def test_traffic_is_bounded_while_many_gateways_are_suspected(lose):
    gossip = fleet(16, seed=11, way=Effect(delay=0.0005))
    gossip.way = Effect(delay=0.0005, lose=lose)
    for name in gossip.names[:5]:
        gossip.kill(name)
    before, began = dict(gossip.octets), gossip.now
    gossip.run(gossip.now + 120 * SECOND)
    seconds = (gossip.now - began) / SECOND
    assert max(gossip.octets[name] - before[name] for name in gossip.names) / seconds < 2048


def test_rate_allows_debt_and_refills_up_to_the_burst():
    rate = Rate(rate=1000, burst=2000)
    assert rate.left(0) == 2000
    rate.spend(2500)
    assert rate.left(0) == -500 and rate.left(SECOND) == 500 and rate.left(10 * SECOND) == 2000


# Counters


@settings(max_examples=200, deadline=None, derandomize=True)
@given(
    st.lists(
        st.tuples(st.sampled_from(["set", "tell", "again", "restart"]), st.integers(0, 5), st.integers(0, 9)),
        max_size=40,
    ),
    st.randoms(use_true_random=False),
)
def test_late_duplicate_and_reordered_counters_are_not_counted_twice(actions, random):
    here, there, boot_epoch, in_flight = CounterRegistry(), CounterRegistry(), 1, []
    here.set_peers({"g1"})
    for action, key, value in actions:
        if action == "set":
            there.update({f"k{key}": value})
        elif action == "restart":
            there, boot_epoch = CounterRegistry(), boot_epoch + 1
        else:
            in_flight.append((boot_epoch, there.next_to_send(4)))
            sent = random.choice(in_flight)  # any sent so far, perhaps again
            here.receive(0, "g1", sent[0], sent[1])
    in_flight.append((boot_epoch, there.next_to_send(MAX_KEYS)))
    random.shuffle(in_flight)
    for sent in in_flight * 2:
        here.receive(0, "g1", sent[0], sent[1])
    for number in range(6):
        assert here.total(0, f"k{number}").value == there.total(0, f"k{number}").value


def test_total_tells_missing_contributors_and_age():
    registry = CounterRegistry()
    registry.set_peers({"g1", "g2", "g3"})
    registry.update({"out": 5})
    registry.receive(10, "g1", 1, [CounterValue("out", 1, 7)])
    registry.receive(20, "g2", 1, [CounterValue("out", 1, 1)])
    registry.receive(20, "g9", 1, [CounterValue("out", 1, 100)])
    total = registry.total(30, "out")
    assert (total.value, total.contributors, total.missing, total.oldest) == (13, 3, 1, 20)
    later = registry.total(15 + MAX_CONTRIBUTION_AGE, "out")
    assert (later.value, later.missing) == (6, 2)  # g1 was not heard recently enough
    registry.set_peers({"g2"})
    assert registry.total(30, "out").value == 6


def test_counters_are_bounded():
    registry = CounterRegistry()
    registry.update({f"k{number}": number for number in range(MAX_KEYS + 10)})
    assert registry.dropped == 10 and len(registry.keys()) == MAX_KEYS
    registry.set_peers({"g1"})
    registry.receive(0, "g1", 1, [CounterValue(f"x{number}", 1, 1) for number in range(MAX_KEYS + 7)])
    assert registry.dropped == 17


def test_counters_reach_the_whole_fleet_and_survive_a_refutation():
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


def test_same_seed_gives_the_same_history():
    def history(seed):
        gossip = GossipFleet(NAMES, seed=seed, way=Effect(delay=0.001, lose=0.2, reorder=0.2))
        for name in NAMES:
            gossip.start(name)
        gossip.at(20 * SECOND, lambda: gossip.kill("g2"))
        gossip.run(60 * SECOND)
        return gossip.history, gossip.octets

    assert history(1) == history(1) != history(2)


def test_gateway_alone_in_a_long_list_sends_little_and_finds_peers_that_start_later():
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
