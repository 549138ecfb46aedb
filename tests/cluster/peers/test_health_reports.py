"""Words on servers: told as the witness said them, believed by few rules, and what the module makes of that."""

from itertools import product

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.support.router_world import World, group
from yardbank.cluster.peers.datagram import HealthReport
from yardbank.cluster.peers.outlier_consensus import PART, SPREAD, ListedServer, reach_consensus
from yardbank.cluster.peers.report_store import (
    BAD,
    FAILING,
    FULL,
    LIFE,
    MAX_SERVERS,
    MAX_WITNESSES,
    MS,
    NOTHING,
    REPEAT_AFTER,
    SECOND,
    SETTLED,
    SILENT,
    WELL,
    ReportStore,
)
from yardbank.interface import GossipedOutliers, Send
from yardbank.testing.rig.gossip import GossipFleet
from yardbank.testing.rig.network import Effect, pairs_of

PEERS = [f"g{number}" for number in range(1, 8)]
GROUP = [ListedServer(f"a-{number}", "a", 0) for number in range(1, 6)]


def report_store(name="g0", peers=PEERS):
    made = ReportStore(name, 1)
    made.set_peers(peers)
    return made


def word(witness, server="a-1", kind=SILENT, number=1, age=0, started=0, boot_epoch=1):
    return HealthReport(witness, boot_epoch, number, server, started, kind, age)


def half(server):
    return 0.5


# Words


def test_a_fleet_in_which_all_is_well_is_silent():
    made = report_store()
    for now in range(0, 60 * SECOND, SECOND):
        made.record_first_hand(now, {"a-1": (WELL, 0), "a-2": (WELL, 0)})
    assert made.next_to_send(60 * SECOND, 10) == [] and made.servers() == []


def test_trouble_is_told_again_while_it_lasts_and_its_end_once():
    made, told = report_store(), []
    for second in range(40):
        kind = SILENT if 5 <= second < 15 else WELL
        made.record_first_hand(second * SECOND, {"a-1": (kind, 0)})
        told += [(second, one.kind) for one in made.next_to_send(second * SECOND, 1) if one.age == 0]
    assert told == [(5, SILENT), (9, SILENT), (13, SILENT), (15, WELL)] and REPEAT_AFTER == 4 * SECOND


def test_what_comes_and_goes_is_not_told_each_time():
    made = report_store()
    for tick in range(100):
        made.record_first_hand(tick * SETTLED // 10, {"a-1": (FULL if tick % 2 else WELL, 0)})
    assert made._number <= 2 * 10 + 1


def test_that_a_server_does_well_is_told_where_somebody_denies_it():
    made = report_store()
    made.receive(0, [word("g1")])
    made.record_first_hand(0, {"a-1": (WELL, 0), "a-2": (WELL, 0)})
    assert [(one.witness, one.kind) for one in made.next_to_send(0, 9)] == [("g1", SILENT), ("g0", WELL)]


def test_age_grows_on_the_way_and_no_word_outlives_it():
    made = report_store()
    made.receive(10 * SECOND, [word("g1", age=3000)])
    (passed,) = made.next_to_send(12 * SECOND, 9)
    assert passed.witness == "g1" and passed.age == 5000
    assert made.reports_on_start(21 * SECOND, "a-1", 0) and not made.reports_on_start(22 * SECOND + 1, "a-1", 0)
    made.receive(0, [word("g2", age=LIFE // MS)])
    assert "g2" not in made.reports_on("a-1")


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.lists(st.tuples(st.integers(1, 2), st.integers(1, 9), st.sampled_from([WELL, SILENT, FAILING])), max_size=30))
def test_the_newest_word_counts_in_whatever_order_they_come(moves):
    made, by_number = report_store(), {}
    for boot_epoch, number, drawn in moves:
        kind = by_number.setdefault((boot_epoch, number), drawn)
        made.receive(0, [word("g1", kind=kind, number=number, boot_epoch=boot_epoch)])
    if by_number:
        assert made.reports_on("a-1")["g1"].report.kind == by_number[max(by_number)]


def test_words_are_of_peers_alone_and_bounded():
    made = ReportStore("g0", 1)
    made.set_peers([f"p{number}" for number in range(MAX_WITNESSES + 5)])
    made.receive(0, [word("stranger")])
    assert made.servers() == []
    for number in range(MAX_WITNESSES + 5):
        made.receive(number, [word(f"p{number}")])
    assert len(made.reports_on("a-1")) == MAX_WITNESSES and "p0" not in made.reports_on("a-1") and made.dropped == 5
    made.receive(0, [word("p1", server=f"s{number}") for number in range(MAX_SERVERS + 3)])
    assert len(made.servers()) == MAX_SERVERS
    made.set_peers(["p1"])
    assert all(set(made.reports_on(server)) <= {"p1"} for server in made.servers())


def test_words_put_into_ones_mouth_are_taken_back():
    made = report_store()
    made.receive(0, [word("g0", number=40)])
    (said,) = made.next_to_send(0, 9)
    assert (said.witness, said.kind, said.number) == ("g0", NOTHING, 41) and made.corrected == 1
    other = report_store("g1", ["g0", "g2"])
    other.receive(0, [word("g0", number=40)])
    other.receive(1, [said])
    assert other.reports_on("a-1")["g0"].report.kind == NOTHING


# Consensus


def told(*words, now=0):
    made = report_store()
    made.receive(now, words)
    return made


def outliers(made, own=None, servers=GROUP, now=0, draw=half):
    return set(reach_consensus(now, made, servers, own or {}, draw).outliers)


def test_one_witness_is_not_enough_and_two_are_unless_outnumbered():
    assert outliers(told(word("g1"))) == set()
    assert outliers(told(word("g1"), word("g2", kind=FAILING))) == {"a-1"}
    assert outliers(told(word("g1"), word("g2"), word("g3", kind=WELL))) == {"a-1"}
    assert outliers(told(word("g1"), word("g2"), word("g3", kind=WELL), word("g4", kind=WELL))) == set()
    assert outliers(told(word("g1"), word("g2", kind=NOTHING))) == set()


def test_ones_own_fresh_evidence_comes_first():
    made = told(word("g1"), word("g2"), word("g3"))
    assert outliers(made, {"a-1": (WELL, 0)}) == set()
    assert outliers(made, {"a-1": (SILENT, 0)}) == set()  # its own doubt needs no other


def test_words_on_another_start_of_a_server_are_not_of_this_one():
    made = told(word("g1", started=5000), word("g2", started=5000))
    assert outliers(made) == set()
    assert outliers(made, servers=[ListedServer("a-1", "a", 5000), *GROUP[1:]]) == {"a-1"}
    assert outliers(made, servers=[ListedServer("b-1", "b", 0)]) == set()  # not listed here


@pytest.mark.parametrize("size", [1, 2, 3, 4, 5, 9])
def test_hearsay_takes_half_of_a_group_at_most_and_never_the_last(size):
    servers = [ListedServer(f"a-{number}", "a", 0) for number in range(size)]
    made = told(*(word(witness, server=one.name) for witness, one in product(PEERS, servers)))
    assert len(outliers(made, servers=servers)) == int(size * PART) < size
    own = {servers[0].name: (SILENT, 0)}
    spared = outliers(made, own, servers)
    assert len(spared) == int((size - 1) * PART) and servers[0].name not in spared


def test_the_worst_spoken_of_are_doubted_first():
    made = told(
        word("g1", "a-4"),
        word("g2", "a-4"),
        word("g3", "a-4"),
        word("g1", "a-2"),
        word("g2", "a-2"),
        word("g1", "a-5"),
        word("g2", "a-5"),
        word("g3", "a-5"),
        word("g4", "a-5"),
    )
    assert outliers(made) == {"a-4", "a-5"}


def test_doubts_end_by_age_and_not_at_one_time():
    made = told(word("g1"), word("g2", age=2000))
    ends = [reach_consensus(0, made, GROUP, {}, lambda server, d=draw: d).outliers["a-1"] for draw in (0.0, 0.5, 1.0)]
    assert ends[0] == LIFE - 2 * SECOND and ends[2] - ends[0] == SPREAD
    assert outliers(made, now=LIFE - 2 * SECOND - 1) and not outliers(made, now=LIFE - 2 * SECOND)


def test_good_words_bring_a_trial_forward_and_end_nothing():
    made = told(word("g1", kind=WELL), word("g2", kind=WELL), word("g3"))
    found = reach_consensus(0, made, GROUP, {"a-1": (FAILING, 0)}, half)
    assert found.healthy == {"a-1"} and not found.outliers
    assert not reach_consensus(0, told(word("g1", kind=WELL)), GROUP, {"a-1": (FAILING, 0)}, half).healthy


@settings(max_examples=200, deadline=None, derandomize=True)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(PEERS),
            st.sampled_from([s.name for s in GROUP]),
            st.sampled_from([WELL, SILENT, FAILING, FULL, NOTHING]),
            st.integers(0, 14_000),
        ),
        max_size=60,
    ),
    st.dictionaries(st.sampled_from([s.name for s in GROUP]), st.tuples(st.sampled_from([WELL, SILENT]), st.just(0))),
    st.integers(0, 20),
)
def test_bounds_of_belief_hold_whatever_is_said(words, own, second):
    made, now = report_store(), second * SECOND
    for number, (witness, server, kind, age) in enumerate(words, 1):
        made.receive(0, [word(witness, server, kind, number, age)])
    found = reach_consensus(now, made, GROUP, own, half)
    usable = [one.name for one in GROUP if own.get(one.name, (0, 0))[0] not in BAD]
    assert len(found.outliers) <= len(usable) * PART and not set(found.outliers) & set(own)
    for server in found.outliers:
        against = {w for w, one in made.reports_on(server).items() if one.report.kind in BAD and one.age(now) < LIFE}
        assert len(against) >= 2 and found.outliers[server] <= now + LIFE + SPREAD
    assert found.healthy <= {name for name, (kind, _) in own.items() if kind in BAD}


def test_a_bad_server_is_known_to_all_after_two_have_met_it():
    gossip = GossipFleet([f"g{number}" for number in range(30)], seed=3)
    for name in gossip.names:
        gossip.start(name)
    assert gossip.run_until(gossip.agreed, 60 * SECOND)
    seen = {"g4": {"a-1": (SILENT, 0)}, "g9": {"a-1": (SILENT, 0)}}

    def look():
        for name, node in gossip.nodes.items():
            node.report_store.record_first_hand(gossip.own(name), seen.get(name, {}))
        gossip.at(gossip.now + SECOND // 2, look)

    def believers():
        return [
            name
            for name, node in gossip.nodes.items()
            if outliers(node.report_store, seen.get(name), now=gossip.own(name))
        ]

    look()
    assert gossip.run_until(lambda: len(believers()) == 28, 15 * SECOND)
    gossip.network.begin("alone", pairs_of(["g0"], gossip.names, False), Effect(cut="silent"))
    seen.clear()
    assert gossip.run_until(lambda: not believers(), LIFE + 5 * SECOND)  # also where nothing is heard any more


# What the module makes of it


def knowing(replicas=3):
    """A gateway that knows all positions and roles, and has no evidence against anybody."""
    world = World(group(replicas), reports="probe")
    world.known(1, primary=True)
    for number in range(2, 2 + replicas):
        world.known(number)
    return world


def went(world, count=60, class_name="any"):
    """Where so many requests went, each answered before the next."""
    servers = []
    for number in range(count):
        world.ask(f"q{world.now}-{number}", class_name)
        for send in world.of(Send):
            servers.append(send.server)
            world.end(send.id, send.server)
    return servers


def test_a_server_that_others_find_bad_is_spared_reads():
    world = knowing()
    favourite = went(world)[-1]
    assert favourite in went(world)
    world.feed(GossipedOutliers(((favourite, world.now + 5 * SECOND),)))
    others = set(went(world))
    assert others and favourite not in others
    world.feed(
        GossipedOutliers(tuple((number, world.now + 5 * SECOND) for number in others | {1}))
    )  # replaces the last one
    assert not set(went(world)) & others


def test_a_doubt_by_hearsay_ends_without_another_word():
    world = knowing()
    world.feed(GossipedOutliers(tuple((number, world.now + 5 * SECOND) for number in (1, 3, 4))))
    assert set(went(world, 20)) == {2}
    world.feed(GossipedOutliers(tuple((number, world.now + 5 * SECOND) for number in (1, 2, 4))))
    assert set(went(world, 20)) == {3}
    until = max(world.router.table.gossiped_outliers.values())
    world.now = until - 1000 * MS
    assert set(went(world, 20)) == {3}
    world.router.servers[3].latency_ratio = 4.0  # it is the worst now: only the doubt keeps reads there
    assert set(went(world, 1)) == {3}
    world.router.servers[3].latency_ratio, world.now = 4.0, until
    assert 3 not in went(world, 1)


def test_where_all_are_spoken_ill_of_reads_go_on():
    world = knowing()
    world.feed(GossipedOutliers(tuple((number, world.now + 9 * SECOND) for number in (1, 2, 3, 4))))
    assert len(went(world)) == 60


def test_a_write_goes_to_the_primary_whatever_is_said_of_it():
    world = knowing()
    world.feed(GossipedOutliers(((1, world.now + 9 * SECOND),)))
    assert set(went(world, 10, "commit")) == {1} and set(went(world, 10, "check")) == {1}


def test_ones_own_answer_outweighs_what_is_said():
    world = knowing()
    world.ask("first", "any")
    server = world.of(Send)[0].server
    world.feed(GossipedOutliers(((server, world.now + 9 * SECOND),)))
    world.end("first", server)
    assert server in went(world)


def test_good_words_bring_a_trial_forward_and_do_not_end_a_doubt():
    """A copy that failed eight times is away for two seconds; others find it well."""
    world = knowing()
    copy = world.router.servers[2]
    copy.failures, copy.ejected_until = 4, world.now + 2 * SECOND
    assert 2 not in went(world, 10)
    world.feed(GossipedOutliers(healthy=(2, 99)))
    assert world.now < copy.ejected_until <= world.now + 250 * MS and copy.failures == 4
    before = copy.ejected_until
    world.feed(GossipedOutliers(healthy=(2,)))
    assert copy.ejected_until <= before
    assert world.router.servers[3].ejected_until == 0


def test_gateways_that_hear_good_words_do_not_try_at_one_time():
    times = set()
    for seed in range(20):
        world = World(group(3), reports="probe", seed=seed)
        world.router.servers[2].failures, world.router.servers[2].ejected_until = 4, world.now + 2 * SECOND
        world.feed(GossipedOutliers(healthy=(2,)))
        times.add(world.router.servers[2].ejected_until)
    assert len(times) == 20
