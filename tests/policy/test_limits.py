"""How much is sent to each server: slow start, limits, shares, admission, queueing and refusal."""

from dataclasses import replace

import pytest

from tests.support.router_world import MS, SECOND, Member, Role, World, answer_all, group, sent
from yardbank.interface import Refuse, Send, ServerList


def test_cold_server_gets_its_reduced_share_from_hundreds_of_gateways_together():
    sent_count = 0
    for seed in range(400):  # one request each: if every gateway sent it there, server 4 would get them all
        world = World(group(3), seed=seed, gateways=400)
        world.feed(ServerList("delta", (Member(4, "a", 0, False, "ready", world.now),)))
        for server in (1, 2, 3):  # its lower latency ratio must not attract more requests
            world.router.servers[server].latency_ratio = 2.0
        world.ask("r", "any")
        sent_count += sent(world) == [4]
    assert 0 < sent_count < 1.5 * 400 * 0.3 / 4


def test_group_that_restarted_cold_gets_requests_in_proportion_to_its_warm_up():
    sent_count = 0
    for seed in range(200):
        world = World(seed=seed, gateways=200)
        world.feed(ServerList("delta", tuple(group(2, started=world.now))))
        world.known(1, primary=True)
        for name, kind in (("w", "commit"), ("r", "any")):
            world.ask(name, kind)
            sent_count += len(sent(world))
    assert 0.2 * 400 < sent_count < 0.4 * 400


def test_queued_request_is_refused_in_time_with_a_retry_after():
    world = World()
    world.ask("w", "commit", left=400 * MS)
    expires = world.now + 400 * MS
    world.end("w", 1, "miss", role=Role.REPLICA)
    answers = []
    while world.now < expires:
        world.tick()
        answers += world.of(Refuse)
    assert [answer.id for answer in answers] == ["w"] and answers[0].retry_after > 0


def test_full_server_gets_no_request_and_the_rejected_one_goes_elsewhere_or_waits():
    world = World(group(1))
    world.known(2)
    world.ask("r", "any")
    assert sent(world) == [2]
    world.end("r", 2, "full", after=MS)
    assert 2 not in sent(world)


def test_late_requests_wait_behind_those_in_time():
    world = World(group(0))
    world.known(1, primary=True)
    world.router.servers[1].limit = 1.0
    world.ask("first", "commit", left=3 * SECOND)
    world.ask("old", "commit", left=3 * SECOND)
    for _ in range(5):
        world.tick(100 * MS)
    world.ask("new", "commit", left=3 * SECOND)
    world.router.servers[1].silent, world.router.servers[1].ejected_until = False, 0
    world.end("first", 1, role=Role.PRIMARY, after=MS)
    assert [action.id for action in world.of(Send)] == ["new", "old"]  # in this order; the limit rose to two


def test_queued_read_whose_token_no_server_has_reached_does_not_block_others():
    world = World(group(1), tokens="carried")
    world.known(2, lag=300 * MS)
    world.router.servers[1].role.believed_at[True] = -1  # no primary is known
    world.router.servers[2].limit = 1.0
    world.router.servers[1].draining = True
    world.ask("first", "any")
    world.ask("recent", "status", since_write=10 * MS)
    world.ask("old", "status", since_write=900 * MS)
    assert sent(world) == []
    world.end("first", 2, after=MS)
    assert [action.id for action in world.of(Send)] == ["old"]


def test_unsuccessful_attempts_shed_the_lowest_weight_first():
    world = World(group(3))
    for index in range(40):
        world.ask(f"r{index}", "any", after=50 * MS)
        answer_all(world, "full")
    refused = {"any": 0, "commit": 0}
    for index in range(20):
        for kind in refused:
            world.ask(f"{kind}{index}", kind, after=500 * MS)
            refused[kind] += sum(action.id == f"{kind}{index}" for action in world.of(Refuse))
            assert all(action.retry_after > 0 for action in world.of(Refuse))
            answer_all(world, "full")
            world.tick(0)
    assert refused["any"] > refused["commit"]
    sent_counts = []
    for index in range(160):  # admission recovers by the requests that are still sent
        world.ask(f"y{index}", "any", after=500 * MS)
        sent_counts.append(len(sent(world)))
        answer_all(world, "ok")
    assert sum(sent_counts[:20]) < 6 and sum(sent_counts[-20:]) > 12


def test_failed_connections_shed_nothing():
    world = World(group(3))
    for index in range(40):
        world.ask(f"r{index}", "any", after=50 * MS)
        for server in sent(world):
            world.end(f"r{index}", server, "connect_failed", after=MS)
    assert world.router.admission.recent_attempts == 0


def test_full_server_is_backed_off_from_for_longer_each_time():
    world = World(group(0))
    world.router.table.settings = replace(world.router.table.settings, may_probe=False)
    pauses = []
    for index in range(3):
        world.ask(f"w{index}", "commit", left=3 * SECOND)
        started_at = world.now
        while not world.of(Send):
            world.tick(5 * MS)
        pauses.append(world.now - started_at)
        name = world.of(Send)[0].id
        world.end(name, 1, "full", world.router.requests[name].attempts - 1, after=MS)
    assert pauses[0] == 0 and pauses[1] < pauses[2]


def test_slow_answers_from_a_zone_keep_reads_from_its_other_servers():
    members = [Member(1, "a", 0, True, "ready"), Member(2, "a", 0, False, "ready")]
    members += [Member(3 + index, "b", 0, False, "ready") for index in range(8)]
    world = World(members)
    for index in range(8):
        world.router.servers[2].draining = index < 7  # at first the replica in the gateway's zone is draining
        world.ask(f"r{index}", "any", after=500 * MS)
        for server in sent(world):
            world.end(f"r{index}", server, after=350 * MS, role=Role.REPLICA)
    world.ask("next", "any", after=8 * SECOND)
    assert sent(world) == [2]
    assert all(
        world.router.table.expected_latency_ratio(world.now, world.router.servers[3 + index]) > 0.3
        for index in range(8)
    )


def test_large_group_is_sampled_and_scanned_in_full_if_the_sample_has_no_replica():
    members = [Member(n, "a", 0, n == 0, "ready") for n in range(200)]
    world = World(members, reports="answers")
    for server in range(1, 200):  # all but one lag far behind
        world.known(server, lag=0 if server == 77 else 60 * SECOND)
    for number in range(20):
        world.ask(f"r{number}", "lookup")
        (send,) = world.of(Send)
        assert send.server == 77  # never the primary, although few samples contain server 77
        world.end(f"r{number}", 77, after=MS)
        world.known(77, after=MS)


def reads_per_server(world, requests=400):
    """Count how many reads each server gets while all are idle."""
    counts = {}
    for number in range(requests):
        world.ask(f"r{number}", "any")
        (send,) = world.of(Send)
        counts[send.server] = counts.get(send.server, 0) + 1
        world.end(f"r{number}", send.server, after=20 * MS)
    return counts


def test_equal_servers_get_their_shares_and_ejection_outranks_a_share():
    members = [Member(1, "a", 0, True, "ready")]
    members += [Member(n, "a", 0, False, "ready", share=share) for n, share in ((2, 3.0), (3, 1.0), (4, 1.0))]
    world = World(members)
    reads_per_server(world, 50)
    world.now += 60 * SECOND  # latency ratios have faded to the zone's mean by now: all servers are equal
    counts = reads_per_server(world)
    assert 190 < counts[2] < 290 and 40 < counts[3] < 130 and 40 < counts[4] < 130
    world = World(members)
    world.ask("lost", "any")
    world.end("lost", world.of(Send)[0].server, "reset", closed=False)
    for server in (2, 3, 4):
        world.router.servers[server].ejected_until = world.now + 100 * SECOND if server == 2 else 0
    assert 2 not in reads_per_server(world, 50)


def test_equal_shares_use_no_random_draw_and_change_no_action():
    drawn = []
    worlds = [World([Member(n, "a", 0, n == 1, "ready", share=share) for n in range(1, 6)]) for share in (1.0, 2.0)]
    for world in worlds:
        world.router.random.choices = lambda *args: drawn.append(args)
    assert reads_per_server(worlds[0]) == reads_per_server(worlds[1])
    assert drawn == []
    with pytest.raises(ValueError, match="share must be positive"):
        Member(1, "a", 0, True, "ready", share=0)


def test_request_that_was_never_sent_is_refused_after_half_its_time():
    world = World(group(replicas=0))
    world.router.servers[1].overload_until = world.now + 10 * SECOND
    world.ask("held", "commit", left=1000 * MS)
    assert not world.of(Refuse)
    world.tick(400 * MS)
    assert not world.of(Refuse)
    world.tick(90 * MS)
    assert [action.id for action in world.of(Refuse)] == ["held"] and not world.router.requests


def test_request_that_was_sent_before_is_queued_for_longer():
    world = World(group(replicas=0))
    world.ask("again", "commit", left=1000 * MS)
    world.end("again", 1, "full", closed=False)
    world.router.servers[1].overload_until = world.now + 10 * SECOND
    world.tick(500 * MS)
    assert "again" in world.router.requests and not world.of(Refuse)


def test_limit_of_one_grows_again_after_fast_answers():
    world = World(group(replicas=0))
    world.router.servers[1].limit = 1.0
    for number in range(20):
        world.ask(f"w{number}", "commit")
        assert world.of(Send)
        world.end(f"w{number}", 1)
    assert world.router.servers[1].limit > 1.9


def test_shed_requests_lower_admission_only_while_servers_are_overloaded():
    """Guards against a gateway whose own refusals keep its admitted share low after a short overload has ended."""
    for overloaded in (False, True):
        world = World(group(replicas=4))
        for number in range(60):  # all late
            world.ask(f"late{number}", "any")
            for send in world.of(Send):
                world.end(send.id, send.server, "ok", after=450 * MS)
        for server in world.router.servers.values():
            server.latency_ratio = 0.1
        world.router.table.zone_latency_ratios["a"] = 0.1
        if overloaded:
            world.ask("full", "commit")
            world.end("full", 1, "full", closed=False)
        attempts_before = world.router.admission.recent_attempts
        for number in range(30):
            world.ask(f"next{number}", "any", after=0)
        assert (world.router.admission.recent_attempts > attempts_before) is overloaded


def test_shedding_works_before_any_answer_has_come():
    world = World(group(replicas=0))
    world.router.admission.recent_attempts, world.router.admission.recent_successes = 100.0, 0.0
    world.router.admission.attempts_updated_at = world.now
    for number in range(20):
        world.ask(f"r{number}", "any", after=0)
    assert world.of(Refuse) and not world.router.table.zone_latency_ratios
