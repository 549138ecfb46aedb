"""Servers in other zones: which are used, and when."""

import pytest

from tests.support.router_world import MS, SECOND, Member, Role, World, sent
from yardbank.interface import ClientCancelled, Probe, Refuse, Send, ZoneLatencies


def test_replica_in_the_own_zone_is_preferred():
    world = World(
        [
            Member(1, "b", 0, True, "ready"),
            Member(2, "a", 0, False, "ready"),
            Member(3, "b", 0, False, "ready"),
        ]
    )
    for index in range(5):
        world.ask(f"r{index}", "any")
        assert sent(world) == [2]
        world.end(f"r{index}", 2, role=Role.REPLICA)


BOTH_SEEDS = pytest.mark.parametrize("seed", [7, 8])


def world_with_remote_replica(seed, **more):
    """Return a primary and a replica in the own zone, a replica in b; positions are known, replicas lightly loaded."""
    members = [Member(1, "a", 0, True, "ready"), Member(2, "a", 0, False, "ready"), Member(3, "b", 0, False, "ready")]
    world = World(members, seed=seed, reports="probe", **more)
    for server, primary in ((1, True), (2, False), (3, False)):
        world.known(server, primary=primary)
        world.router.servers[server].latency_ratio = 2.0 if primary else 0.1
    return world


def share_of(world, server, class_name="any", count=60):
    """Return the share of consecutive requests that goes to a server."""
    sent_count = 0
    for number in range(count):
        world.ask(f"{class_name}{number}", class_name, after=0)
        (send,) = world.of(Send)
        sent_count += send.server == server
        world.feed(ClientCancelled(send.id))
        world.router.attempts.pop((send.id, 0))
        del world.router.servers[send.server].in_flight[send.id, 0]
    return sent_count / count


@BOTH_SEEDS
def test_zone_with_a_known_latency_costs_its_round_trip_and_other_zones_a_constant_factor(seed):
    world = world_with_remote_replica(seed)
    local, remote = world.router.servers[2], world.router.servers[3]
    local.latency_ratio = 0.124  # jitter adds up to a fifth
    assert share_of(world, 3) == 0  # 0.1 * 1.5 is more
    world.feed(ZoneLatencies((("b", MS, 0),)))
    assert share_of(world, 3) == 1  # 0.1 + 1/400 is less
    world.feed(ZoneLatencies((("b", 40 * MS, 0),)))
    assert share_of(world, 3) == 0
    world.feed(ZoneLatencies((("c", 1, 0),)))  # replaces the last event: b costs the constant factor again
    assert share_of(world, 3) == 0
    remote.latency_ratio = 0.06
    assert share_of(world, 3) == 1


@BOTH_SEEDS
def test_fast_remote_replica_is_preferred_to_a_slow_local_one_only_if_its_round_trip_is_short(seed):
    world = world_with_remote_replica(seed)
    world.router.servers[2].latency_ratio, world.router.servers[3].latency_ratio = 0.5, 0.05
    for extra, expected in ((100 * MS, 1), (300 * MS, 0)):  # of a latency objective of 400 ms
        world.feed(ZoneLatencies((("b", extra, 0),)))
        assert share_of(world, 3) == expected


@BOTH_SEEDS
def test_equality_of_servers_includes_the_round_trip_and_shares_decide_among_equals(seed):
    world = world_with_remote_replica(seed)
    world.router.servers[2].share = 3.0
    world.feed(ZoneLatencies((("b", 4 * MS, 0),)))
    assert 0.1 < share_of(world, 3, count=200) < 0.45  # the costs 0.1 and 0.11 are equal
    world.feed(ZoneLatencies((("b", 100 * MS, 0),)))
    assert share_of(world, 3) == 0


@BOTH_SEEDS
def test_server_whose_round_trip_exceeds_the_time_left_is_used_only_as_a_last_resort(seed):
    world = world_with_remote_replica(seed)
    world.router.servers[2].latency_ratio = 3.0  # so the remote replica looks best
    world.feed(ZoneLatencies((("b", 0, 500 * MS),)))
    world.ask("enough", "any", left=600 * MS)
    assert sent(world) == [3]
    world.end("enough", 3)
    world.ask("short", "any", left=450 * MS)
    assert sent(world) == [2]
    world.end("short", 2)
    world.feed(ZoneLatencies((("b", 470 * MS, 0),)))  # the extra round trip counts where no longest one is given
    world.ask("alone", "any", left=450 * MS)
    assert sent(world) == [2]
    world.end("alone", 2)
    world.router.servers[1].draining = world.router.servers[2].draining = True
    world.ask("last", "any", left=450 * MS)
    assert sent(world) == [3]


@BOTH_SEEDS
def test_replica_ruled_out_by_its_round_trip_is_not_probed(seed):
    world = world_with_remote_replica(seed)
    world.known(3, lag=SECOND, after=2 * SECOND)  # too far behind when last reported, perhaps no longer
    world.router.servers[2].draining = True
    world.feed(ZoneLatencies((("b", 0, 900 * MS),)))
    world.ask("wide", "lookup", after=2 * SECOND, left=1000 * MS)
    assert [probe.server for probe in world.of(Probe)] == [3] and not sent(world)
    world.known(3, lag=SECOND)
    world.ask("short", "lookup", after=2 * SECOND, left=800 * MS)
    assert not world.of(Probe) and sent(world) == [1]


@BOTH_SEEDS
def test_writes_go_to_the_primary_whatever_its_round_trip(seed):
    world = world_with_remote_replica(seed)
    world.known(3, primary=True, after=MS)  # it has moved to b
    world.feed(ZoneLatencies((("b", SECOND, 9 * SECOND),)))
    for name, class_name in (("w", "commit"), ("k", "keyed"), ("f", "check")):
        world.ask(name, class_name)
        assert sent(world) == [3]
        world.end(name, 3, role=Role.PRIMARY)


@BOTH_SEEDS
def test_zone_latencies_do_not_make_a_request_too_late(seed):
    """The average latency already contains the round trips of past requests.

    Before a server is chosen, no particular round trip is known to be needed.
    """
    world = world_with_remote_replica(seed)
    world.feed(ZoneLatencies((("b", 390 * MS, 0),)))
    world.router.servers[1].draining = world.router.servers[2].draining = True
    world.ask("r", "any", left=500 * MS)
    assert sent(world) == [3]  # no other server is left, and it may be faster than the latency map says
    world.ask("late", "any", left=50 * MS)
    assert world.of(Refuse)


def test_error_for_a_negative_round_trip_names_the_zone():
    with pytest.raises(ValueError, match=r"ways\[b\]"):
        ZoneLatencies((("a", 1, 1), ("b", -1, 0)))
