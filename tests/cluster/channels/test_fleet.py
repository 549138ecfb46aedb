"""Channels with real leases on a simulated fleet: followers see a consistent feed whatever is cut, killed or stopped."""

from __future__ import annotations

import pytest

from tests.support.channels_fleet import MS, SECOND, ChannelFleet
from yardbank.cluster.channels.api import Delivered
from yardbank.cluster.channels.placement import load_bound
from yardbank.testing.rig.network import Effect

TERM = 3 * SECOND
LOSSY = Effect(delay=0.002, jitter=0.02, lose=0.1, double=0.1)


def start_fleet(gateways: int = 7, channels: int = 6, seed: int = 1, **more) -> ChannelFleet:
    fleet = ChannelFleet(gateways, channels, seed, **more)
    fleet.start()
    assert fleet.run_until(fleet.all_owned, 30 * SECOND)
    fleet.run(2 * SECOND)
    return fleet


def assert_sound(fleet: ChannelFleet) -> None:
    assert fleet.faults() == []
    assert fleet.two_owners() <= fleet.options.overlap


def test_simultaneous_start_settles_with_one_grant_per_channel_and_even_loads() -> None:
    fleet = start_fleet(12, 24, every=500 * MS)
    assert fleet.moved() <= 24 + 4  # no gateway takes all channels at first
    assert max(fleet.loads().values()) <= load_bound(24, 12)
    fleet.run(10 * SECOND)
    assert_sound(fleet)
    assert fleet.gaps() == []
    assert all(len(listener.heard[channel]) > 15 for listener in fleet.listeners for channel in fleet.channels)


def test_planned_stop_causes_no_gap_and_no_wait_for_lease_expiry() -> None:
    fleet = start_fleet()
    for _ in range(3):
        owner = fleet.owner(fleet.channels[0])[0]
        fleet.stop(owner)
        assert fleet.run_until(fleet.all_owned, SECOND)  # no channel waits for its lease to expire
        fleet.start(owner)
        fleet.run(8 * SECOND)
    assert_sound(fleet)
    assert fleet.gaps() == []


def test_rolling_restart_prefers_restarted_successors_and_rarely_moves_a_channel_twice() -> None:
    fleet = start_fleet(8, 16, every=500 * MS)
    restarted: list[str] = []
    before = fleet.moved()
    for name in list(fleet.names):
        for listener in fleet.running.values():
            listener.part.prefer(lambda names: [name for name in names if name in restarted])
        fleet.stop(name)
        fleet.start(name)
        restarted.append(name)
        fleet.run(4 * SECOND)
    assert fleet.run_until(fleet.all_owned, 2 * TERM)
    assert fleet.moved() - before <= 16 * 5 // 2  # over eight restarts
    assert max(len(owned) for owned in fleet.owned_by.values()) <= 1 + 4
    assert fleet.gaps() == []
    assert_sound(fleet)


def test_owners_move_to_the_zone_with_lowest_worst_latency_after_a_delay() -> None:
    central_zone = ["b"]

    def latency_lookup(one: str, other: str) -> int | None:
        return (10 if one == other else 20 if central_zone[0] in (one, other) else 40) * MS if central_zone[0] else None

    fleet = ChannelFleet(9, 3, zones={f"g{number}": "abc"[number % 3] for number in range(9)}, distance=latency_lookup)
    fleet.start()
    assert fleet.run_until(fleet.all_owned, 30 * SECOND)

    def zones() -> set[str]:
        return {"abc"[int(fleet.owner(channel)[0][1:]) % 3] for channel in fleet.channels if fleet.owner(channel)}

    assert zones() == {"b"}
    before, central_zone[0] = fleet.moved(), "c"
    fleet.run(8 * SECOND)
    assert fleet.moved() == before  # the lower latency has not lasted long enough
    fleet.run(25 * SECOND)
    assert zones() == {"c"} and fleet.moved() == before + 3
    central_zone[0] = ""  # no latencies are known any more
    fleet.run(15 * SECOND)
    assert fleet.moved() == before + 3 and fleet.gaps() == []
    assert_sound(fleet)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_killed_owner_is_replaced_within_a_lease_term_and_a_vote(seed: int) -> None:
    fleet = start_fleet(seed=seed)
    fleet.gossip.way = LOSSY
    owner = fleet.owner(fleet.channels[0])[0]
    fleet.kill(owner)
    fleet.run(100 * MS)
    assert fleet.run_until(fleet.all_owned, TERM + 2 * SECOND)
    fleet.run(3 * SECOND)
    assert_sound(fleet)
    # The last item of the killed owner is not known.
    assert any(gap.channel == fleet.channels[0] for gap in fleet.gaps())


def test_many_owners_die_together() -> None:
    fleet = start_fleet(16, 60, every=2 * SECOND)
    victims = sorted({fleet.owner(channel)[0] for channel in fleet.channels[:12]})[:4]
    for name in victims:
        fleet.kill(name)
    fleet.run(100 * MS)
    assert fleet.run_until(fleet.votable_owned, 2 * TERM)
    for name in victims:
        fleet.start(name)
    fleet.run(15 * SECOND)
    assert fleet.all_owned() and max(fleet.loads().values()) <= load_bound(60, 16)
    assert_sound(fleet)


def cut_off(fleet: ChannelFleet, cut_names: list[str], oneway: bool = False) -> None:
    """Cut the network between some gateways and all others; ``oneway``: only what they send is lost."""
    others = [name for name in fleet.names if name not in cut_names]
    pairs = {(one, other) for one in cut_names for other in others}
    fleet.gossip.network.begin("cut", pairs if oneway else pairs | {(b, a) for a, b in pairs}, Effect("silent"))


@pytest.mark.parametrize("oneway", [False, True])
def test_owner_in_the_minority_partition_is_replaced(oneway: bool) -> None:
    fleet = start_fleet()
    owner = fleet.owner(fleet.channels[0])[0]
    cut_off(fleet, [owner], oneway)
    fleet.run(100 * MS)
    rest = [channel for channel in fleet.channels if fleet.owner(channel) != (owner,)]
    assert fleet.run_until(
        lambda: all(fleet.owner(channel) not in ((), (owner,)) for channel in fleet.channels), TERM + 3 * SECOND
    ), rest
    fleet.gossip.network.end("cut")
    fleet.run(3 * SECOND)
    assert fleet.run_until(fleet.all_owned, TERM + SECOND)
    fleet.run(2 * SECOND)
    assert_sound(fleet)
    for listener in fleet.running.values():  # also the former owner follows the new one
        assert all(isinstance(listener.heard[channel][-1][1], Delivered) for channel in fleet.channels)
