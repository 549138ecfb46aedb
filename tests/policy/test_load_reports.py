"""What servers tell of their load: when a gateway looks before it sends, and what it then leaves to others."""

from itertools import pairwise

from tests.support.router_world import MS, SECOND, Report, Role, World, group, told
from yardbank.interface import ClientCancelled, Member, Probe, Probed, Refuse, Send, ServerList

LATE = 700 * MS  # later than a lookup's aim


def thin(**more):
    """A gateway of two hundred, whose servers tell their load when asked; no group is doubted yet."""
    return World(group(2), gateways=200, reports="probe", checks="refuse", tells_load=True, **more)


def stumble(world):
    """A lookup is answered later than its aim: from now on its group is looked at first."""
    world.ask("first", "lookup")
    server = world.of(Send)[0].server
    world.end("first", server, after=LATE)
    return server


def test_a_calm_group_is_sent_to_without_a_look():
    world = thin()
    for number in range(20):
        world.ask(f"r{number}", "lookup", after=10 * MS)
        assert world.of(Send) and not world.of(Probe)
        world.end(f"r{number}", world.of(Send)[0].server)


def test_after_a_late_answer_a_server_is_asked_before_it_is_sent_to_and_the_read_waits():
    world = thin()
    stumble(world)
    world.ask("second", "lookup")
    asked = world.of(Probe)
    assert len(asked) == 1 and not world.of(Send)
    told(world, asked[0].server, 0.3, after=5 * MS)
    assert [send.id for send in world.of(Send)] == ["second"]


def test_an_attempt_out_for_longer_than_its_aim_is_warning_enough():
    world = thin()
    world.ask("first", "lookup")
    world.tick(450 * MS)  # no end of it yet
    world.ask("second", "lookup")
    assert world.of(Probe) and not [send for send in world.of(Send) if send.id == "second"]


def test_the_warning_passes():
    world = thin()
    stumble(world)
    world.ask("second", "lookup", after=4 * SECOND)
    assert world.of(Send) and not world.of(Probe)


def sent_at(load, count=200, class_name="lookup"):
    """Of so many requests of a warned group whose servers told a load, how many went out at once."""
    world = thin()
    stumble(world)
    for server in (2, 3):
        told(world, server, load)
    told(world, 1, load, primary=True)
    went = 0
    for number in range(count):
        world.ask(f"r{number}", class_name, after=0)
        went += len(world.of(Send))
        for send in world.of(Send):
            world.end(send.id, send.server, after=0)
    return went / count


def test_the_fuller_the_less_is_sent_and_never_nothing():
    shares = [sent_at(load) for load in (0.5, 0.8, 0.95, 1.3)]
    assert shares[0] == 1.0
    assert 0.35 < shares[1] < 0.65
    assert 0.005 < shares[2] < 0.08 and 0.005 < shares[3] < 0.08


def test_what_replicas_have_too_much_of_does_not_go_to_their_primary():
    world = thin()
    stumble(world)
    for server in (2, 3):
        told(world, server, 1.0)
    told(world, 1, 0.0, primary=True)  # idle, and yet
    for number in range(50):
        world.ask(f"r{number}", "lookup", after=0)
        for send in world.of(Send):
            assert send.server != 1
            world.end(send.id, send.server, after=0)


def spilt_at(load, count=100):
    """Of so many reads that no replica may serve yet, the share that went to a primary with that load, and of writes."""
    world = thin()
    world.ask("w", "commit", session="s")
    world.end("w", 1, role=Role.PRIMARY, position=world.now)
    for server in (2, 3):
        told(world, server, 0.1, lag=30 * SECOND)
    told(world, 1, load, primary=True)
    went = dict.fromkeys(("status", "commit"), 0)
    for number in range(count):
        for class_name in went:
            world.ask(f"{class_name}{number}", class_name, after=0, session="s")
            for send in world.of(Send):
                assert send.server == 1
                went[send.id.rstrip("0123456789")] += 1
                world.end(send.id, 1, after=0)
    return went["status"] / count, went["commit"] / count


def test_reads_leave_a_busy_primary_to_its_writes():
    assert spilt_at(0.2) == (1.0, 1.0)
    reads, writes = spilt_at(0.8)
    assert reads < 0.5 and writes == 1.0


def test_where_no_load_is_told_nothing_is_looked_at():
    world = World(group(2), gateways=200, reports="probe", checks="refuse")
    stumble(world)
    world.ask("second", "lookup")
    assert world.of(Send) and not world.of(Probe)


def test_what_is_left_out_is_answered_in_time():
    world = thin()
    stumble(world)
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


def test_what_is_shed_is_no_reason_to_shed_where_load_is_told():
    world = thin()
    router = world.router
    router.admission.recent_attempts, router.admission.recent_successes = 40.0, 0.0
    router.admission.counted_at = router.admission.pressed_at = world.now
    for number in range(200):
        world.ask(f"s{number}", "lookup", after=0)
        for send in world.of(Send):
            world.feed(ClientCancelled(send.id))
    assert router.shed["share"] > 150 and (router.admission.recent_attempts, router.admission.recent_successes) == (
        40.0,
        0.0,
    )


def test_after_an_outage_requests_are_tried_again():
    world = thin()
    kind = world.router.request_classes["lookup"]
    world.router.admission.usual_latency["lookup"] = 2.0 * kind.latency_objective  # only time-outs, for long
    world.ask("r", "lookup", after=10 * SECOND)
    assert [send.id for send in world.of(Send)] == ["r"]


def test_a_server_that_leaves_probes_unanswered_is_asked_less_often():
    world = thin()
    asked = []
    for _ in range(1000):
        if world.router.table.probe(world.now, world.router.servers[2]):
            asked.append(world.now)
            world.feed(Probed(2, "timeout", 10 * MS), 10 * MS)
        world.now += 10 * MS
    gaps = [later - earlier for earlier, later in pairwise(asked)]
    assert gaps[0] < 2 * gaps[2] < 4 * gaps[-1] and max(gaps) < 2 * SECOND
    world.feed(Probed(2, "ok", MS, Report(world.now, False, 0.1)))
    assert world.router.servers[2].unanswered_probes == 0


def test_few_gateways_go_by_what_they_hear_themselves():
    world = World(group(2), gateways=5, reports="probe", checks="refuse", tells_load=True)
    stumble(world)
    world.ask("second", "lookup")
    assert world.of(Send) and not world.of(Probe)


def test_a_copy_just_started_is_tried_by_one_read_at_a_time_where_it_says_itself_if_it_is_behind():
    world = thin(tokens="carried", seed=3)
    world.feed(ServerList("delta", (Member(4, "a", 0, False, "ready", world.now - 30 * SECOND),)))
    for other in (1, 2, 3):
        world.router.servers[other].overload_until = world.now + 10 * SECOND
    world.ask("one", "lookup")
    assert [send.server for send in world.of(Send)] == [4] and not world.of(Probe)
    world.ask("two", "lookup")
    assert not world.of(Send)  # nothing is known of it yet, and one is out
    world.end("one", 4, "miss", role=Role.REPLICA)
    world.ask("three", "lookup")
    assert 4 not in [send.server for send in world.of(Send)]  # it said that it is behind
    few = thin(tokens="carried", seed=3)
    few.router.table.probes_before_sending = False  # gateways that see much of each server ask it instead
    few.feed(ServerList("delta", (Member(4, "a", 0, False, "ready", few.now - 30 * SECOND),)))
    few.ask("one", "lookup")
    assert 4 not in [send.server for send in few.of(Send)]


def test_copies_that_drain_take_no_part_of_a_cold_one_s_lots():
    """A release lists the new beside the old: of three places each new copy has a third, not a sixth."""
    world = thin(cold=18 * SECOND, cold_share=0.5)
    old = tuple(Member(number, "a", 0, number == 1, "draining") for number in (1, 2, 3))
    new = tuple(Member(number, "a", 0, number == 4, "ready", world.now) for number in (4, 5, 6))
    world.feed(ServerList("delta", old))
    world.feed(ServerList("delta", new))
    assert world.router.table.max_members[0] == 3
    copies = [world.router.servers[number] for number in (5, 6)]
    taken = 0
    for index in range(300):
        world.ask(f"r{index}", "lookup")
        pending = world.router.requests.get(f"r{index}")
        taken += pending is not None and any(
            world.router.selection.has_capacity(world.now, copy, pending) for copy in copies
        )
        world.feed(ClientCancelled(f"r{index}"))
    assert 70 <= taken <= 130  # two copies, half warm: a third of the lots; by six places it was a sixth
