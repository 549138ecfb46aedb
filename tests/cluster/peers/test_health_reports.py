"""Health reports on servers: exchange, consensus, and how the decision module uses them."""

from itertools import product

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.support.router_world import World, group
from yardbank.cluster.peers.datagram import HealthReport
from yardbank.cluster.peers.outlier_consensus import (
    MAX_EJECTED_SHARE,
    READMISSION_SPREAD,
    ListedServer,
    reach_consensus,
)
from yardbank.cluster.peers.report_store import (
    FAILING,
    FAULTY_KINDS,
    FULL,
    MAX_REPORT_AGE,
    MAX_SERVERS,
    MAX_WITNESSES,
    MIN_FAULT_TIME,
    MS,
    NOTHING,
    REPEAT_INTERVAL,
    SECOND,
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


def report(witness, server="a-1", kind=SILENT, number=1, age=0, started=0, boot_epoch=1):
    return HealthReport(witness, boot_epoch, number, server, started, kind, age)


def half_draw(server):
    return 0.5


# Reports


def test_fleet_without_faults_sends_no_reports():
    made = report_store()
    for now in range(0, 60 * SECOND, SECOND):
        made.record_first_hand(now, {"a-1": (WELL, 0), "a-2": (WELL, 0)})
    assert made.next_to_send(60 * SECOND, 10) == [] and made.servers() == []


def test_fault_is_reported_repeatedly_while_it_lasts_and_its_end_once():
    made, sent = report_store(), []
    for second in range(40):
        kind = SILENT if 5 <= second < 15 else WELL
        made.record_first_hand(second * SECOND, {"a-1": (kind, 0)})
        sent += [(second, one.kind) for one in made.next_to_send(second * SECOND, 1) if one.age == 0]
    assert sent == [(5, SILENT), (9, SILENT), (13, SILENT), (15, WELL)] and REPEAT_INTERVAL == 4 * SECOND


def test_flapping_fault_is_not_reported_each_time():
    made = report_store()
    for tick in range(100):
        made.record_first_hand(tick * MIN_FAULT_TIME // 10, {"a-1": (FULL if tick % 2 else WELL, 0)})
    assert made._number <= 2 * 10 + 1


def test_healthy_server_is_reported_only_if_another_witness_disagrees():
    made = report_store()
    made.receive(0, [report("g1")])
    made.record_first_hand(0, {"a-1": (WELL, 0), "a-2": (WELL, 0)})
    assert [(one.witness, one.kind) for one in made.next_to_send(0, 9)] == [("g1", SILENT), ("g0", WELL)]


def test_report_age_grows_while_stored_and_old_reports_expire():
    made = report_store()
    made.receive(10 * SECOND, [report("g1", age=3000)])
    (passed,) = made.next_to_send(12 * SECOND, 9)
    assert passed.witness == "g1" and passed.age == 5000
    assert made.reports_on_start(21 * SECOND, "a-1", 0) and not made.reports_on_start(22 * SECOND + 1, "a-1", 0)
    made.receive(0, [report("g2", age=MAX_REPORT_AGE // MS)])
    assert "g2" not in made.reports_on("a-1")


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.lists(st.tuples(st.integers(1, 2), st.integers(1, 9), st.sampled_from([WELL, SILENT, FAILING])), max_size=30))
def test_newest_report_of_a_witness_counts_in_any_order_of_arrival(moves):
    made, by_number = report_store(), {}
    for boot_epoch, number, drawn in moves:
        kind = by_number.setdefault((boot_epoch, number), drawn)
        made.receive(0, [report("g1", kind=kind, number=number, boot_epoch=boot_epoch)])
    if by_number:
        assert made.reports_on("a-1")["g1"].report.kind == by_number[max(by_number)]


def test_reports_are_accepted_of_listed_witnesses_only_and_bounded():
    made = ReportStore("g0", 1)
    made.set_peers([f"p{number}" for number in range(MAX_WITNESSES + 5)])
    made.receive(0, [report("stranger")])
    assert made.servers() == []
    for number in range(MAX_WITNESSES + 5):
        made.receive(number, [report(f"p{number}")])
    assert len(made.reports_on("a-1")) == MAX_WITNESSES and "p0" not in made.reports_on("a-1") and made.dropped == 5
    made.receive(0, [report("p1", server=f"s{number}") for number in range(MAX_SERVERS + 3)])
    assert len(made.servers()) == MAX_SERVERS
    made.set_peers(["p1"])
    assert all(set(made.reports_on(server)) <= {"p1"} for server in made.servers())


def test_forged_report_in_own_name_is_corrected():
    made = report_store()
    made.receive(0, [report("g0", number=40)])
    (correction,) = made.next_to_send(0, 9)
    assert (correction.witness, correction.kind, correction.number) == ("g0", NOTHING, 41) and made.corrected == 1
    other = report_store("g1", ["g0", "g2"])
    other.receive(0, [report("g0", number=40)])
    other.receive(1, [correction])
    assert other.reports_on("a-1")["g0"].report.kind == NOTHING


# Consensus


def store_with(*reports, now=0):
    made = report_store()
    made.receive(now, reports)
    return made


def outliers(made, own=None, servers=GROUP, now=0, draw=half_draw):
    return set(reach_consensus(now, made, servers, own or {}, draw).outliers)


def test_two_witnesses_eject_a_server_unless_as_many_report_it_healthy():
    assert outliers(store_with(report("g1"))) == set()
    assert outliers(store_with(report("g1"), report("g2", kind=FAILING))) == {"a-1"}
    assert outliers(store_with(report("g1"), report("g2"), report("g3", kind=WELL))) == {"a-1"}
    assert outliers(store_with(report("g1"), report("g2"), report("g3", kind=WELL), report("g4", kind=WELL))) == set()
    assert outliers(store_with(report("g1"), report("g2", kind=NOTHING))) == set()


def test_first_hand_findings_take_precedence():
    made = store_with(report("g1"), report("g2"), report("g3"))
    assert outliers(made, {"a-1": (WELL, 0)}) == set()
    assert outliers(made, {"a-1": (SILENT, 0)}) == set()  # ejected here; needs no report


def test_reports_on_another_start_of_a_server_are_ignored():
    made = store_with(report("g1", started=5000), report("g2", started=5000))
    assert outliers(made) == set()
    assert outliers(made, servers=[ListedServer("a-1", "a", 5000), *GROUP[1:]]) == {"a-1"}
    assert outliers(made, servers=[ListedServer("b-1", "b", 0)]) == set()  # not listed here


@pytest.mark.parametrize("size", [1, 2, 3, 4, 5, 9])
def test_gossip_ejects_at_most_half_of_a_group_and_never_the_last_server(size):
    servers = [ListedServer(f"a-{number}", "a", 0) for number in range(size)]
    made = store_with(*(report(witness, server=one.name) for witness, one in product(PEERS, servers)))
    assert len(outliers(made, servers=servers)) == int(size * MAX_EJECTED_SHARE) < size
    own = {servers[0].name: (SILENT, 0)}
    with_own = outliers(made, own, servers)
    assert len(with_own) == int((size - 1) * MAX_EJECTED_SHARE) and servers[0].name not in with_own


def test_servers_with_the_most_adverse_reports_are_ejected_first():
    made = store_with(
        report("g1", "a-4"),
        report("g2", "a-4"),
        report("g3", "a-4"),
        report("g1", "a-2"),
        report("g2", "a-2"),
        report("g1", "a-5"),
        report("g2", "a-5"),
        report("g3", "a-5"),
        report("g4", "a-5"),
    )
    assert outliers(made) == {"a-4", "a-5"}


def test_ejection_ends_with_the_age_of_reports_at_spread_times():
    made = store_with(report("g1"), report("g2", age=2000))
    ends = [reach_consensus(0, made, GROUP, {}, lambda server, d=draw: d).outliers["a-1"] for draw in (0.0, 0.5, 1.0)]
    assert ends[0] == MAX_REPORT_AGE - 2 * SECOND and ends[2] - ends[0] == READMISSION_SPREAD
    assert outliers(made, now=MAX_REPORT_AGE - 2 * SECOND - 1) and not outliers(made, now=MAX_REPORT_AGE - 2 * SECOND)


def test_favourable_reports_mark_an_ejected_server_healthy_but_do_not_readmit_it():
    made = store_with(report("g1", kind=WELL), report("g2", kind=WELL), report("g3"))
    found = reach_consensus(0, made, GROUP, {"a-1": (FAILING, 0)}, half_draw)
    assert found.healthy == {"a-1"} and not found.outliers
    assert not reach_consensus(0, store_with(report("g1", kind=WELL)), GROUP, {"a-1": (FAILING, 0)}, half_draw).healthy


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
def test_bounds_of_the_consensus_hold_for_arbitrary_reports(reports, own, second):
    made, now = report_store(), second * SECOND
    for number, (witness, server, kind, age) in enumerate(reports, 1):
        made.receive(0, [report(witness, server, kind, number, age)])
    found = reach_consensus(now, made, GROUP, own, half_draw)
    usable = [one.name for one in GROUP if own.get(one.name, (0, 0))[0] not in FAULTY_KINDS]
    assert len(found.outliers) <= len(usable) * MAX_EJECTED_SHARE and not set(found.outliers) & set(own)
    for server in found.outliers:
        against = {
            w
            for w, one in made.reports_on(server).items()
            if one.report.kind in FAULTY_KINDS and one.age(now) < MAX_REPORT_AGE
        }
        assert len(against) >= 2 and found.outliers[server] <= now + MAX_REPORT_AGE + READMISSION_SPREAD
    assert found.healthy <= {name for name, (kind, _) in own.items() if kind in FAULTY_KINDS}


def test_all_gateways_eject_a_server_that_two_report():
    gossip = GossipFleet([f"g{number}" for number in range(30)], seed=3)
    for name in gossip.names:
        gossip.start(name)
    assert gossip.run_until(gossip.agreed, 60 * SECOND)
    seen = {"g4": {"a-1": (SILENT, 0)}, "g9": {"a-1": (SILENT, 0)}}

    def record_findings():
        for name, node in gossip.nodes.items():
            node.report_store.record_first_hand(gossip.own(name), seen.get(name, {}))
        gossip.at(gossip.now + SECOND // 2, record_findings)

    def gateways_ejecting():
        return [
            name
            for name, node in gossip.nodes.items()
            if outliers(node.report_store, seen.get(name), now=gossip.own(name))
        ]

    record_findings()
    assert gossip.run_until(lambda: len(gateways_ejecting()) == 28, 15 * SECOND)
    gossip.network.begin("alone", pairs_of(["g0"], gossip.names, False), Effect(cut="silent"))
    seen.clear()
    assert gossip.run_until(lambda: not gateways_ejecting(), MAX_REPORT_AGE + 5 * SECOND)  # also at the isolated g0


# The decision module


def world_with_healthy_servers(replicas=3):
    """A gateway that knows all positions and roles, and has no findings against any server."""
    world = World(group(replicas), reports="probe")
    world.known(1, primary=True)
    for number in range(2, 2 + replicas):
        world.known(number)
    return world


def servers_used(world, count=60, class_name="any"):
    """The servers that handle ``count`` requests, each answered before the next."""
    servers = []
    for number in range(count):
        world.ask(f"q{world.now}-{number}", class_name)
        for send in world.of(Send):
            servers.append(send.server)
            world.end(send.id, send.server)
    return servers


def test_server_that_others_report_gets_no_reads():
    world = world_with_healthy_servers()
    preferred = servers_used(world)[-1]
    assert preferred in servers_used(world)
    world.feed(GossipedOutliers(((preferred, world.now + 5 * SECOND),)))
    others = set(servers_used(world))
    assert others and preferred not in others
    world.feed(
        GossipedOutliers(tuple((number, world.now + 5 * SECOND) for number in others | {1}))
    )  # replaces the last one
    assert not set(servers_used(world)) & others


def test_ejection_by_gossip_ends_without_a_further_event():
    world = world_with_healthy_servers()
    world.feed(GossipedOutliers(tuple((number, world.now + 5 * SECOND) for number in (1, 3, 4))))
    assert set(servers_used(world, 20)) == {2}
    world.feed(GossipedOutliers(tuple((number, world.now + 5 * SECOND) for number in (1, 2, 4))))
    assert set(servers_used(world, 20)) == {3}
    until = max(world.router.table.gossiped_outliers.values())
    world.now = until - 1000 * MS
    assert set(servers_used(world, 20)) == {3}
    world.router.servers[3].latency_ratio = 4.0  # the slowest now: reads stay only because the others are outliers
    assert set(servers_used(world, 1)) == {3}
    world.router.servers[3].latency_ratio, world.now = 4.0, until
    assert 3 not in servers_used(world, 1)


def test_reads_continue_if_all_servers_are_reported():
    world = world_with_healthy_servers()
    world.feed(GossipedOutliers(tuple((number, world.now + 9 * SECOND) for number in (1, 2, 3, 4))))
    assert len(servers_used(world)) == 60


def test_writes_go_to_the_primary_even_if_it_is_reported():
    world = world_with_healthy_servers()
    world.feed(GossipedOutliers(((1, world.now + 9 * SECOND),)))
    assert set(servers_used(world, 10, "commit")) == {1} and set(servers_used(world, 10, "check")) == {1}


def test_own_answer_outweighs_reports_of_others():
    world = world_with_healthy_servers()
    world.ask("first", "any")
    server = world.of(Send)[0].server
    world.feed(GossipedOutliers(((server, world.now + 9 * SECOND),)))
    world.end("first", server)
    assert server in servers_used(world)


def test_favourable_reports_bring_a_trial_forward_but_do_not_end_an_ejection():
    """A replica is ejected for two seconds after several failures; others report it healthy."""
    world = world_with_healthy_servers()
    replica = world.router.servers[2]
    replica.failures, replica.ejected_until = 4, world.now + 2 * SECOND
    assert 2 not in servers_used(world, 10)
    world.feed(GossipedOutliers(healthy=(2, 99)))
    assert world.now < replica.ejected_until <= world.now + 250 * MS and replica.failures == 4
    before = replica.ejected_until
    world.feed(GossipedOutliers(healthy=(2,)))
    assert replica.ejected_until <= before
    assert world.router.servers[3].ejected_until == 0


def test_trials_after_favourable_reports_are_spread_between_gateways():
    times = set()
    for seed in range(20):
        world = World(group(3), reports="probe", seed=seed)
        world.router.servers[2].failures, world.router.servers[2].ejected_until = 4, world.now + 2 * SECOND
        world.feed(GossipedOutliers(healthy=(2,)))
        times.add(world.router.servers[2].ejected_until)
    assert len(times) == 20
