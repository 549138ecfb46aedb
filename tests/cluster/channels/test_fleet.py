"""Channels over the real leases on the virtual fleet: whatever is cut, killed or stopped, what followers see is sound."""

from __future__ import annotations

import pytest

from tests.support.channels_fleet import MS, SECOND, ChannelFleet
from yardbank.cluster.channels.api import Delivered
from yardbank.cluster.channels.placement import load_bound
from yardbank.testing.rig.network import Effect

TERM = 3 * SECOND
LOSSY = Effect(delay=0.002, jitter=0.02, lose=0.1, double=0.1)


def fleet(gateways: int = 7, channels: int = 6, seed: int = 1, **more) -> ChannelFleet:
    found = ChannelFleet(gateways, channels, seed, **more)
    found.start()
    assert found.run_until(found.all_owned, 30 * SECOND)
    found.run(2 * SECOND)
    return found


def sound(found: ChannelFleet) -> None:
    assert found.faults() == []
    assert found.two_owners() <= found.options.overlap


def test_a_fleet_that_starts_at_once_settles_with_one_move_a_channel_and_even_loads() -> None:
    found = fleet(12, 24, every=500 * MS)
    assert found.moved() <= 24 + 4  # nobody takes all at first
    assert max(found.loads().values()) <= load_bound(24, 12)
    found.run(10 * SECOND)
    sound(found)
    assert found.gaps() == []
    assert all(len(listener.heard[channel]) > 15 for listener in found.listeners for channel in found.channels)


def test_a_planned_end_shows_no_gap_and_hardly_a_pause() -> None:
    found = fleet()
    for _ in range(3):
        owner = found.owner(found.channels[0])[0]
        found.stop(owner)
        assert found.run_until(found.all_owned, SECOND)  # none waits for a lease to run out
        found.start(owner)
        found.run(8 * SECOND)
    sound(found)
    assert found.gaps() == []


def test_rolling_restarts_move_a_channel_once_if_the_next_one_has_been_through() -> None:
    found = fleet(8, 16, every=500 * MS)
    through: list[str] = []
    before = found.moved()
    for name in list(found.names):
        for listener in found.running.values():
            listener.part.prefer(lambda names: [name for name in names if name in through])
        found.stop(name)
        found.start(name)
        through.append(name)
        found.run(4 * SECOND)
    assert found.run_until(found.all_owned, 2 * TERM)
    assert found.moved() - before <= 16 * 5 // 2  # of eight stages
    assert max(len(owned) for owned in found.owned_by.values()) <= 1 + 4
    assert found.gaps() == []
    sound(found)


def test_owners_go_where_the_worst_way_is_shortest_once_that_has_lasted_one_at_a_time() -> None:
    middle = ["b"]

    def distance(one: str, other: str) -> int | None:
        return (10 if one == other else 20 if middle[0] in (one, other) else 40) * MS if middle[0] else None

    found = ChannelFleet(9, 3, zones={f"g{number}": "abc"[number % 3] for number in range(9)}, distance=distance)
    found.start()
    assert found.run_until(found.all_owned, 30 * SECOND)

    def zones() -> set[str]:
        return {"abc"[int(found.owner(channel)[0][1:]) % 3] for channel in found.channels if found.owner(channel)}

    assert zones() == {"b"}
    before, middle[0] = found.moved(), "c"
    found.run(8 * SECOND)
    assert found.moved() == before  # not yet
    found.run(25 * SECOND)
    assert zones() == {"c"} and found.moved() == before + 3
    middle[0] = ""  # the map knows no more
    found.run(15 * SECOND)
    assert found.moved() == before + 3 and found.gaps() == []
    sound(found)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_killed_owner_is_followed_within_a_lease_and_a_vote(seed: int) -> None:
    found = fleet(seed=seed)
    found.gossip.way = LOSSY
    owner = found.owner(found.channels[0])[0]
    found.kill(owner)
    found.run(100 * MS)
    assert found.run_until(found.all_owned, TERM + 2 * SECOND)
    found.run(3 * SECOND)
    sound(found)
    assert any(gap.channel == found.channels[0] for gap in found.gaps())  # nobody knows what it gave out last


def test_many_owners_that_die_together() -> None:
    found = fleet(16, 60, every=2 * SECOND)
    victims = sorted({found.owner(channel)[0] for channel in found.channels[:12]})[:4]
    for name in victims:
        found.kill(name)
    found.run(100 * MS)
    assert found.run_until(found.votable_owned, 2 * TERM)
    for name in victims:
        found.start(name)
    found.run(15 * SECOND)
    assert found.all_owned() and max(found.loads().values()) <= load_bound(60, 16)
    sound(found)


def cut(found: ChannelFleet, ours: list[str], oneway: bool = False) -> None:
    """Between some and all others; ``oneway``: only what they say is lost."""
    others = [name for name in found.names if name not in ours]
    pairs = {(one, other) for one in ours for other in others}
    found.gossip.network.begin("cut", pairs if oneway else pairs | {(b, a) for a, b in pairs}, Effect("silent"))


@pytest.mark.parametrize("oneway", [False, True])
def test_an_owner_on_the_small_side(oneway: bool) -> None:
    found = fleet()
    owner = found.owner(found.channels[0])[0]
    cut(found, [owner], oneway)
    found.run(100 * MS)
    rest = [channel for channel in found.channels if found.owner(channel) != (owner,)]
    assert found.run_until(
        lambda: all(found.owner(channel) not in ((), (owner,)) for channel in found.channels), TERM + 3 * SECOND
    ), rest
    found.gossip.network.end("cut")
    found.run(3 * SECOND)
    assert found.run_until(found.all_owned, TERM + SECOND)
    found.run(2 * SECOND)
    sound(found)
    for listener in found.running.values():  # it listens to the new one
        assert all(isinstance(listener.heard[channel][-1][1], Delivered) for channel in found.channels)
