"""Handing on with deaths and stops in its midst, ways that flap, lists that differ, two of one name, liars."""

from __future__ import annotations

import msgspec
import pytest

from tests.cluster.channels.test_fleet import LOSSY, TERM, cut, fleet, sound
from tests.support.channels_fleet import MS, SECOND, ChannelFleet
from yardbank.cluster.channels import messages as wire
from yardbank.cluster.channels.api import Delivered, resource
from yardbank.cluster.channels.states import OwnershipPhase
from yardbank.cluster.peers.datagram import DroppedError
from yardbank.testing.rig.network import Effect


def hand_on(found: ChannelFleet) -> tuple[str, str, str]:
    """Begin to hand one on: the channel, from whom, to whom."""
    channel = found.channels[0]
    old = found.owner(channel)[0]
    part, now = found.running[old].part, found.gossip.own(old)
    owner_state = part.ownership.channels[channel]
    new = part.ownership.succession.successors(channel, owner_state, part.ownership.loads())[0]
    assert part.ownership.transfers.begin(now, channel, owner_state, new)
    found.gossip.prompt(old)
    return channel, old, new


@pytest.mark.parametrize("dead", ["old", "new", "both"])
@pytest.mark.parametrize("after", [0, 1, 3, 10])
def test_deaths_in_mid_handing(dead: str, after: int) -> None:
    found = fleet(7, 2)
    _, old, new = hand_on(found)
    found.run(after * MS)
    for name in {"old": [old], "new": [new], "both": [old, new]}[dead]:
        found.kill(name)
    found.run(50 * MS)
    assert found.run_until(found.votable_owned, TERM + 3 * SECOND)
    for name in (old, new):
        if name not in found.running:
            found.start(name)
    found.run(8 * SECOND)
    assert found.all_owned()
    sound(found)


def test_a_handing_that_nobody_takes_stays_with_the_owner() -> None:
    found = fleet()
    channel, old, new = hand_on(found)
    found.gossip.pause(new)
    found.run(2 * SECOND)
    assert found.owner(channel) in ((old,), ()) or found.owner(channel) != (new,)
    found.gossip.resume(new)
    found.run(TERM + 2 * SECOND)
    assert found.all_owned() and OwnershipPhase.TRANSFERRING not in {
        owner_state.phase for owner_state in found.running[old].part.ownership.channels.values()
    }
    sound(found)


@pytest.mark.parametrize("after", [1, 10, 100])
def test_an_owner_stopped_in_mid_handing_and_woken_after_two_epochs(after: int) -> None:
    found = fleet(7, 2)
    channel, old, _ = hand_on(found)
    found.run(after * MS)
    found.gossip.pause(old)
    found.run(TERM + 2 * SECOND)
    assert found.run_until(found.all_owned, TERM)
    second = found.owner(channel)[0]
    found.stop(second)  # the second epoch ends as well
    found.start(second)
    found.run(3 * SECOND)
    assert (
        found.publish(old, channel) == "not the owner"
    )  # the program wakes first: whatever it thinks, the lease is asked
    found.gossip.resume(old)
    found.run(5 * SECOND)
    assert found.all_owned()
    sound(found)
    heard = [event for _, event in found.running[old].heard[channel] if isinstance(event, Delivered)]
    assert heard[-1].epoch == max(epoch for name, epoch in found.published if name == channel)


@pytest.mark.parametrize("seed", [1, 2])
def test_ways_that_flap_each_second(seed: int) -> None:
    found = fleet(7, 4, seed)
    victim = found.owner(found.channels[0])[0]
    for number in range(12):
        cut(found, [victim], oneway=number % 3 == 0)
        found.run(SECOND)
        found.gossip.network.end("cut")
        found.run(SECOND)
    assert found.run_until(found.all_owned, TERM + 3 * SECOND)
    found.run(2 * SECOND)
    sound(found)


def test_loss_doubling_and_reordering_throughout() -> None:
    found = fleet(9, 4, 5)
    found.gossip.way = LOSSY
    found.run(10 * SECOND)
    owner = found.owner(found.channels[0])[0]
    found.stop(owner)
    found.start(owner)
    found.run(10 * SECOND)
    assert found.all_owned()
    sound(found)
    told = sum(gap.missing or 0 for gap in found.gaps())
    heard = sum(
        isinstance(event, Delivered) for one in found.listeners for some in one.heard.values() for _, event in some
    )
    assert told < heard / 200  # a tenth is lost on each way; nearly all of that is mended


def test_an_inner_one_that_hands_nothing_on_cuts_its_subtree_for_a_moment_only() -> None:
    found = fleet(24, 1, every=200 * MS)
    channel = found.channels[0]

    def fed(name: str) -> list[str]:
        return found.running[name].part.feed.subscriptions.children(found.gossip.own(name), channel)

    others = [name for name in found.names if (name,) != found.owner(channel)]
    inner = max(others, key=lambda name: len(fed(name)))
    assert len(fed(inner)) >= 3
    found.gossip.network.begin("deaf", {(inner, child) for child in fed(inner)}, Effect("silent"))
    found.run(8 * SECOND)
    for name in others:
        at, _ = [one for one in found.running[name].heard[channel] if isinstance(one[1], Delivered)][-1]
        assert found.gossip.now - at < SECOND, name
    assert not found.gaps()  # what was missed meanwhile came from the next one's store
    sound(found)


def test_lists_that_differ() -> None:
    found = fleet(9, 4)
    shorter = [name for name in found.names if name != found.names[-1]]
    for name in found.names[:4]:  # these have heard already that one leaves
        found.gossip.nodes[name].listed(found.gossip.own(name), shorter)
    found.run(12 * SECOND)
    sound(found)
    for name in found.names[4:-1]:
        found.gossip.nodes[name].listed(found.gossip.own(name), shorter)
    found.kill(found.names[-1])
    found.run(3 * TERM)
    assert found.all_owned()
    sound(found)


def test_two_processes_of_one_name() -> None:
    found = fleet()
    channel = found.channels[0]
    twin = found.owner(channel)[0]
    before = found.gossip.nodes[twin]
    found.collect(twin)
    found.start(twin)  # the list sends both names' datagrams here from now on; the older one still talks
    for _ in range(100):
        for to, data in before.tick(found.gossip.own(twin)):
            found.gossip._send(twin, to, data)
        found.run(100 * MS)
    assert found.run_until(found.all_owned, 2 * TERM)
    sound(found)


def test_one_who_claims_a_channel_holds_it_up_only_while_it_lies() -> None:
    found = fleet()
    channel = found.channels[0]
    owner = found.owner(channel)[0]
    liar = next(name for name in found.names if name != owner)
    epoch = found.running[owner].part.feed.owned_channels[channel].epoch + 1000
    lie = wire.Heartbeat((wire.ChannelState(channel, epoch, 0, 0, liar, 1),))
    for name in found.names:
        if name != liar:
            found.running[liar].part._send(name, lie)
    found.gossip.prompt(liar)
    found.run(5 * SECOND)
    mine = found.running[found.owner(channel)[0]].part.feed.owned_channels[channel]
    assert mine.epoch > epoch  # the owner asked the voters for one above
    for listener in found.running.values():
        assert isinstance(listener.heard[channel][-1][1], Delivered)
        assert listener.heard[channel][-1][0] > found.gossip.now - SECOND


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"\x93\xa4item",
        msgspec.msgpack.encode(["item", "a", 1, 1, b"", "g", 1]),
        msgspec.msgpack.encode(["beat", [["notices-0", 1 << 63, 1, 1, "g", 1]]]),
        msgspec.msgpack.encode(["new kind", 1]),
        msgspec.msgpack.encode(["sets", 5, 3, 2, [], []]),
        msgspec.msgpack.encode(["item", "notices-0", 1 << 60, (1 << 62), b"", "g", 1, None, "later"]),
    ],
)
def test_odd_letters_change_nothing(body: bytes) -> None:
    found = fleet(3, 1)
    part = found.running["g0"].part
    before = part.feed.known["notices-0"].epoch, part.members.revision
    try:
        part.receive(found.gossip.own("g0"), "g1", 1, body)
    except DroppedError:
        pass
    assert (part.feed.known["notices-0"].epoch, part.members.revision) == before
    assert resource("notices-0") == "channel/notices-0"
