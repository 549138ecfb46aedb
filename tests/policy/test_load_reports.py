"""Load reports: when a gateway probes a server's load before sending, and how much it sends at which load."""

from itertools import pairwise

from tests.support.router_world import MS, SECOND, Report, Role, World, group, told
from yardbank.interface import ClientCancelled, Member, Probe, Probed, Refuse, Send, ServerList

LATE = 700 * MS  # later than the latency objective of a lookup


def large_fleet_gateway(**more):
    """Return a gateway of two hundred whose servers report their load when probed; no group is probed first yet."""
    return World(group(2), gateways=200, reports="probe", checks="refuse", tells_load=True, **more)


def answer_late(world):
    """Answer a lookup later than its objective: from now on its group is probed before sending."""
    world.ask("first", "lookup")
    server = world.of(Send)[0].server
    world.end("first", server, after=LATE)
    return server


def test_group_without_late_answers_is_sent_to_without_a_probe():
    world = large_fleet_gateway()
    for number in range(20):
        world.ask(f"r{number}", "lookup", after=10 * MS)
        assert world.of(Send) and not world.of(Probe)
        world.end(f"r{number}", world.of(Send)[0].server)


def test_after_a_late_answer_a_read_waits_for_a_load_probe():
    world = large_fleet_gateway()
    answer_late(world)
    world.ask("second", "lookup")
    probes = world.of(Probe)
    assert len(probes) == 1 and not world.of(Send)
    told(world, probes[0].server, 0.3, after=5 * MS)
    assert [send.id for send in world.of(Send)] == ["second"]


def test_attempt_in_flight_beyond_its_objective_starts_load_probes():
    world = large_fleet_gateway()
    world.ask("first", "lookup")
    world.tick(450 * MS)  # it has not ended yet
    world.ask("second", "lookup")
    assert world.of(Probe) and not [send for send in world.of(Send) if send.id == "second"]


def test_load_probes_end_after_the_caution_period():
    world = large_fleet_gateway()
    answer_late(world)
    world.ask("second", "lookup", after=4 * SECOND)
    assert world.of(Send) and not world.of(Probe)


def share_sent_at(load, count=200, class_name="lookup"):
    """Return the share of requests sent at once in a group that is probed first and whose servers reported a load."""
    world = large_fleet_gateway()
    answer_late(world)
    for server in (2, 3):
        told(world, server, load)
    told(world, 1, load, primary=True)
    sent_count = 0
    for number in range(count):
        world.ask(f"r{number}", class_name, after=0)
        sent_count += len(world.of(Send))
        for send in world.of(Send):
            world.end(send.id, send.server, after=0)
    return sent_count / count


def test_share_sent_falls_with_the_load_and_never_reaches_zero():
    shares = [share_sent_at(load) for load in (0.5, 0.8, 0.95, 1.3)]
    assert shares[0] == 1.0
    assert 0.35 < shares[1] < 0.65
    assert 0.005 < shares[2] < 0.08 and 0.005 < shares[3] < 0.08


def test_reads_that_overload_the_replicas_do_not_go_to_the_primary():
    world = large_fleet_gateway()
    answer_late(world)
    for server in (2, 3):
        told(world, server, 1.0)
    told(world, 1, 0.0, primary=True)  # idle, but still not used
    for number in range(50):
        world.ask(f"r{number}", "lookup", after=0)
        for send in world.of(Send):
            assert send.server != 1
            world.end(send.id, send.server, after=0)


def shares_sent_to_primary_at(load, count=100):
    """Return the shares of reads that no replica may serve yet and of writes that a primary with this load gets."""
    world = large_fleet_gateway()
    world.ask("w", "commit", session="s")
    world.end("w", 1, role=Role.PRIMARY, position=world.now)
    for server in (2, 3):
        told(world, server, 0.1, lag=30 * SECOND)
    told(world, 1, load, primary=True)
    sent_counts = dict.fromkeys(("status", "commit"), 0)
    for number in range(count):
        for class_name in sent_counts:
            world.ask(f"{class_name}{number}", class_name, after=0, session="s")
            for send in world.of(Send):
                assert send.server == 1
                sent_counts[send.id.rstrip("0123456789")] += 1
                world.end(send.id, 1, after=0)
    return sent_counts["status"] / count, sent_counts["commit"] / count


def test_reads_leave_a_busy_primary_to_writes():
    assert shares_sent_to_primary_at(0.2) == (1.0, 1.0)
    reads, writes = shares_sent_to_primary_at(0.8)
    assert reads < 0.5 and writes == 1.0


def test_no_load_probe_where_servers_report_no_load():
    world = World(group(2), gateways=200, reports="probe", checks="refuse")
    answer_late(world)
    world.ask("second", "lookup")
    assert world.of(Send) and not world.of(Probe)


def test_requests_that_are_not_sent_are_refused_in_time():
    world = large_fleet_gateway()
    answer_late(world)
    for server in (2, 3):
        told(world, server, 1.5)
    refused = set()
    for number in range(30):
        world.ask(f"r{number}", "lookup", after=0)
        for send in world.of(Send):
            world.end(send.id, send.server, after=0)
    for _ in range(50):
        world.tick()
        refused |= {action.id for action in world.of(Refuse)}
        for send in world.of(Send):
            world.end(send.id, send.server, after=0)
    assert refused and not world.router.requests


def test_shed_requests_do_not_lower_admission_where_load_is_reported():
    world = large_fleet_gateway()
    router = world.router
    router.admission.recent_attempts, router.admission.recent_successes = 40.0, 0.0
    router.admission.attempts_updated_at = router.admission.overloaded_at = world.now
    for number in range(200):
        world.ask(f"s{number}", "lookup", after=0)
        for send in world.of(Send):
            world.feed(ClientCancelled(send.id))
    assert router.shed_counts["share"] > 150 and (
        router.admission.recent_attempts,
        router.admission.recent_successes,
    ) == (
        40.0,
        0.0,
    )


def test_requests_are_tried_again_after_an_outage():
    world = large_fleet_gateway()
    request_class = world.router.request_classes["lookup"]
    world.router.admission.average_latency["lookup"] = 2.0 * request_class.latency_objective  # as after many timeouts
    world.ask("r", "lookup", after=10 * SECOND)
    assert [send.id for send in world.of(Send)] == ["r"]


def test_server_that_does_not_answer_probes_is_probed_less_often():
    world = large_fleet_gateway()
    probe_times = []
    for _ in range(1000):
        if world.router.table.probe(world.now, world.router.servers[2]):
            probe_times.append(world.now)
            world.feed(Probed(2, "timeout", 10 * MS), 10 * MS)
        world.now += 10 * MS
    gaps = [later - earlier for earlier, later in pairwise(probe_times)]
    assert gaps[0] < 2 * gaps[2] < 4 * gaps[-1] and max(gaps) < 2 * SECOND
    world.feed(Probed(2, "ok", MS, Report(world.now, False, 0.1)))
    assert world.router.servers[2].unanswered_probes == 0


def test_small_fleet_uses_no_load_probes():
    world = World(group(2), gateways=5, reports="probe", checks="refuse", tells_load=True)
    answer_late(world)
    world.ask("second", "lookup")
    assert world.of(Send) and not world.of(Probe)


def test_restarted_replica_that_checks_positions_is_tried_by_one_read_at_a_time():
    world = large_fleet_gateway(tokens="carried", seed=3)
    world.feed(ServerList("delta", (Member(4, "a", 0, False, "ready", world.now - 30 * SECOND),)))
    for other in (1, 2, 3):
        world.router.servers[other].overload_until = world.now + 10 * SECOND
    world.ask("one", "lookup")
    assert [send.server for send in world.of(Send)] == [4] and not world.of(Probe)
    world.ask("two", "lookup")
    assert not world.of(Send)  # its position is still unknown, and one read is in flight
    world.end("one", 4, "miss", role=Role.REPLICA)
    world.ask("three", "lookup")
    assert 4 not in [send.server for send in world.of(Send)]  # it answered that it is behind
    small_fleet = large_fleet_gateway(tokens="carried", seed=3)
    small_fleet.router.table.probes_before_sending = False  # in a small fleet the replica is probed instead
    small_fleet.feed(ServerList("delta", (Member(4, "a", 0, False, "ready", small_fleet.now - 30 * SECOND),)))
    small_fleet.ask("one", "lookup")
    assert 4 not in [send.server for send in small_fleet.of(Send)]


def test_draining_replicas_do_not_reduce_the_share_of_cold_ones():
    """Guards against halved shares of cold replicas in a rolling release, which lists them beside draining servers.

    Three new servers replace three old ones: each has a third of the admission draws, not a sixth.
    """
    world = large_fleet_gateway(cold=18 * SECOND, cold_share=0.5)
    old = tuple(Member(number, "a", 0, number == 1, "draining") for number in (1, 2, 3))
    new = tuple(Member(number, "a", 0, number == 4, "ready", world.now) for number in (4, 5, 6))
    world.feed(ServerList("delta", old))
    world.feed(ServerList("delta", new))
    assert world.router.table.max_members[0] == 3
    replicas = [world.router.servers[number] for number in (5, 6)]
    accepted = 0
    for index in range(300):
        world.ask(f"r{index}", "lookup")
        pending = world.router.requests.get(f"r{index}")
        accepted += pending is not None and any(
            world.router.selection.has_capacity(world.now, replica, pending) for replica in replicas
        )
        world.feed(ClientCancelled(f"r{index}"))
    assert 70 <= accepted <= 130  # two half-warm replicas of three get a third of the draws; with six it was a sixth
