"""What lies in other zones: which servers there are used, and when."""

import pytest

from tests.support.router_world import MS, SECOND, Member, Role, World, sent
from yardbank.interface import ClientCancelled, Probe, Refuse, Send, ZoneLatencies


def test_own_zone_first():
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


def far_and_near(seed, **more):
    """A primary and a copy here, a copy in b; both copies are proven and calm."""
    members = [Member(1, "a", 0, True, "ready"), Member(2, "a", 0, False, "ready"), Member(3, "b", 0, False, "ready")]
    world = World(members, seed=seed, reports="probe", **more)
    for server, primary in ((1, True), (2, False), (3, False)):
        world.known(server, primary=primary)
        world.router.servers[server].latency_ratio = 2.0 if primary else 0.1
    return world


def share_of(world, server, class_name="any", count=60):
    """The part of so many requests, one after the other, that goes to a server."""
    went = 0
    for number in range(count):
        world.ask(f"{class_name}{number}", class_name, after=0)
        (send,) = world.of(Send)
        went += send.server == server
        world.feed(ClientCancelled(send.id))
        world.router.attempts.pop((send.id, 0))
        del world.router.servers[send.server].in_flight[send.id, 0]
    return went / count


@BOTH_SEEDS
def test_a_zone_that_is_named_costs_what_its_way_does_against_the_aim_and_others_the_constant(seed):
    world = far_and_near(seed)
    near, far = world.router.servers[2], world.router.servers[3]
    near.latency_ratio = 0.124  # chance adds up to a fifth
    assert share_of(world, 3) == 0  # 0.1 * 1.5 is more
    world.feed(ZoneLatencies((("b", MS, 0),)))
    assert share_of(world, 3) == 1  # 0.1 + 1/400 is less
    world.feed(ZoneLatencies((("b", 40 * MS, 0),)))
    assert share_of(world, 3) == 0
    world.feed(ZoneLatencies((("c", 1, 0),)))  # replaces the last: b costs the constant again
    assert share_of(world, 3) == 0
    far.latency_ratio = 0.06
    assert share_of(world, 3) == 1


@BOTH_SEEDS
def test_a_fast_far_copy_is_preferred_to_a_slow_near_one_as_long_as_its_way_is_worth_it(seed):
    world = far_and_near(seed)
    world.router.servers[2].latency_ratio, world.router.servers[3].latency_ratio = 0.5, 0.05
    for beyond, wanted in ((100 * MS, 1), (300 * MS, 0)):  # of an aim of 400 ms
        world.feed(ZoneLatencies((("b", beyond, 0),)))
        assert share_of(world, 3) == wanted


@BOTH_SEEDS
def test_equals_are_of_one_price_with_the_way_and_shares_decide_among_them(seed):
    world = far_and_near(seed)
    world.router.servers[2].share = 3.0
    world.feed(ZoneLatencies((("b", 4 * MS, 0),)))
    assert 0.1 < share_of(world, 3, count=200) < 0.45  # equals: 0.1 and 0.11
    world.feed(ZoneLatencies((("b", 100 * MS, 0),)))
    assert share_of(world, 3) == 0


@BOTH_SEEDS
def test_an_attempt_with_less_time_left_than_the_way_takes_goes_elsewhere_or_as_the_last_way_out(seed):
    world = far_and_near(seed)
    world.router.servers[2].latency_ratio = 3.0  # so the far one looks best
    world.feed(ZoneLatencies((("b", 0, 500 * MS),)))
    world.ask("enough", "any", left=600 * MS)
    assert sent(world) == [3]
    world.end("enough", 3)
    world.ask("short", "any", left=450 * MS)
    assert sent(world) == [2]
    world.end("short", 2)
    world.feed(ZoneLatencies((("b", 470 * MS, 0),)))  # the round trip itself, where no longest is told
    world.ask("alone", "any", left=450 * MS)
    assert sent(world) == [2]
    world.end("alone", 2)
    world.router.servers[1].draining = world.router.servers[2].draining = True
    world.ask("last", "any", left=450 * MS)
    assert sent(world) == [3]


@BOTH_SEEDS
def test_a_copy_that_the_way_rules_out_is_not_asked_where_it_stands(seed):
    world = far_and_near(seed)
    world.known(3, lag=SECOND, after=2 * SECOND)  # too far behind when heard of, perhaps no longer
    world.router.servers[2].draining = True
    world.feed(ZoneLatencies((("b", 0, 900 * MS),)))
    world.ask("wide", "lookup", after=2 * SECOND, left=1000 * MS)
    assert [probe.server for probe in world.of(Probe)] == [3] and not sent(world)
    world.known(3, lag=SECOND)
    world.ask("short", "lookup", after=2 * SECOND, left=800 * MS)
    assert not world.of(Probe) and sent(world) == [1]


@BOTH_SEEDS
def test_writes_go_to_the_primary_whatever_the_way(seed):
    world = far_and_near(seed)
    world.known(3, primary=True, after=MS)  # it has moved to b
    world.feed(ZoneLatencies((("b", SECOND, 9 * SECOND),)))
    for name, class_name in (("w", "commit"), ("k", "keyed"), ("f", "check")):
        world.ask(name, class_name)
        assert sent(world) == [3]
        world.end(name, 3, role=Role.PRIMARY)


@BOTH_SEEDS
def test_a_request_is_hopeless_by_what_answers_take_not_by_the_way(seed):
    """The usual latency has the ways in it that requests go; before a server is chosen, no way is known to be needed."""
    world = far_and_near(seed)
    world.feed(ZoneLatencies((("b", 390 * MS, 0),)))
    world.router.servers[1].draining = world.router.servers[2].draining = True
    world.ask("r", "any", left=500 * MS)
    assert sent(world) == [3]  # nobody else: perhaps it is faster than the map says
    world.ask("late", "any", left=50 * MS)
    assert world.of(Refuse)


def test_a_negative_way_is_refused_by_its_zone():
    with pytest.raises(ValueError, match=r"ways\[b\]"):
        ZoneLatencies((("a", 1, 1), ("b", -1, 0)))
