"""Transfers interrupted by deaths and pauses, flapping networks, differing lists, duplicate names, false claims."""

from __future__ import annotations

import msgspec
import pytest

from tests.cluster.channels.test_fleet import LOSSY, TERM, assert_sound, cut_off, start_fleet
from tests.support.channels_fleet import MS, SECOND, ChannelFleet
from yardbank.cluster.channels import messages as wire
from yardbank.cluster.channels.api import Delivered, resource
from yardbank.cluster.channels.states import OwnershipPhase
from yardbank.cluster.peers.datagram import DroppedError
from yardbank.testing.rig.network import Effect


def begin_transfer(fleet: ChannelFleet) -> tuple[str, str, str]:
    """Begin to transfer a channel; returns the channel, its owner and the successor."""
    channel = fleet.channels[0]
    old = fleet.owner(channel)[0]
    part, now = fleet.running[old].part, fleet.gossip.own(old)
    owner_state = part.ownership.channels[channel]
    new = part.ownership.succession.successors(channel, owner_state, part.ownership.loads())[0]
    assert part.ownership.transfers.begin(now, channel, owner_state, new)
    fleet.gossip.prompt(old)
    return channel, old, new


@pytest.mark.parametrize("dead", ["old", "new", "both"])
@pytest.mark.parametrize("after", [0, 1, 3, 10])
def test_transfer_survives_death_of_either_gateway(dead: str, after: int) -> None:
    fleet = start_fleet(7, 2)
    _, old, new = begin_transfer(fleet)
    fleet.run(after * MS)
    for name in {"old": [old], "new": [new], "both": [old, new]}[dead]:
        fleet.kill(name)
    fleet.run(50 * MS)
    assert fleet.run_until(fleet.votable_owned, TERM + 3 * SECOND)
    for name in (old, new):
        if name not in fleet.running:
            fleet.start(name)
    fleet.run(8 * SECOND)
    assert fleet.all_owned()
    assert_sound(fleet)


def test_channel_stays_owned_when_the_successor_does_not_take_it() -> None:
    fleet = start_fleet()
    channel, old, new = begin_transfer(fleet)
    fleet.gossip.pause(new)
    fleet.run(2 * SECOND)
    assert fleet.owner(channel) in ((old,), ()) or fleet.owner(channel) != (new,)
    fleet.gossip.resume(new)
    fleet.run(TERM + 2 * SECOND)
    assert fleet.all_owned() and OwnershipPhase.TRANSFERRING not in {
        owner_state.phase for owner_state in fleet.running[old].part.ownership.channels.values()
    }
    assert_sound(fleet)


@pytest.mark.parametrize("after", [1, 10, 100])
def test_owner_paused_during_transfer_resumes_after_two_epochs(after: int) -> None:
    fleet = start_fleet(7, 2)
    channel, old, _ = begin_transfer(fleet)
    fleet.run(after * MS)
    fleet.gossip.pause(old)
    fleet.run(TERM + 2 * SECOND)
    assert fleet.run_until(fleet.all_owned, TERM)
    second = fleet.owner(channel)[0]
    fleet.stop(second)  # the second epoch ends as well
    fleet.start(second)
    fleet.run(3 * SECOND)
    # The program runs before the gateway has heard of the new owner: the lease refuses.
    assert fleet.publish(old, channel) == "not the owner"
    fleet.gossip.resume(old)
    fleet.run(5 * SECOND)
    assert fleet.all_owned()
    assert_sound(fleet)
    heard = [event for _, event in fleet.running[old].heard[channel] if isinstance(event, Delivered)]
    assert heard[-1].epoch == max(epoch for name, epoch in fleet.published if name == channel)


@pytest.mark.parametrize("seed", [1, 2])
def test_network_that_flaps_every_second(seed: int) -> None:
    fleet = start_fleet(7, 4, seed)
    victim = fleet.owner(fleet.channels[0])[0]
    for number in range(12):
        cut_off(fleet, [victim], oneway=number % 3 == 0)
        fleet.run(SECOND)
        fleet.gossip.network.end("cut")
        fleet.run(SECOND)
    assert fleet.run_until(fleet.all_owned, TERM + 3 * SECOND)
    fleet.run(2 * SECOND)
    assert_sound(fleet)


def test_continuous_loss_duplication_and_reordering() -> None:
    fleet = start_fleet(9, 4, 5)
    fleet.gossip.way = LOSSY
    fleet.run(10 * SECOND)
    owner = fleet.owner(fleet.channels[0])[0]
    fleet.stop(owner)
    fleet.start(owner)
    fleet.run(10 * SECOND)
    assert fleet.all_owned()
    assert_sound(fleet)
    reported = sum(gap.missing or 0 for gap in fleet.gaps())
    delivered = sum(
        isinstance(event, Delivered) for one in fleet.listeners for some in one.heard.values() for _, event in some
    )
    assert reported < delivered / 200  # a tenth of the datagrams is lost; nearly all items are retransmitted


def test_inner_node_that_forwards_nothing_interrupts_its_subtree_only_briefly() -> None:
    fleet = start_fleet(24, 1, every=200 * MS)
    channel = fleet.channels[0]

    def fed(name: str) -> list[str]:
        return fleet.running[name].part.feed.subscriptions.children(fleet.gossip.own(name), channel)

    others = [name for name in fleet.names if (name,) != fleet.owner(channel)]
    inner = max(others, key=lambda name: len(fed(name)))
    assert len(fed(inner)) >= 3
    fleet.gossip.network.begin("deaf", {(inner, child) for child in fed(inner)}, Effect("silent"))
    fleet.run(8 * SECOND)
    for name in others:
        at, _ = [one for one in fleet.running[name].heard[channel] if isinstance(one[1], Delivered)][-1]
        assert fleet.gossip.now - at < SECOND, name
    assert not fleet.gaps()  # missed items were retransmitted by the next parent
    assert_sound(fleet)


def test_gateways_with_differing_lists() -> None:
    fleet = start_fleet(9, 4)
    shorter = [name for name in fleet.names if name != fleet.names[-1]]
    for name in fleet.names[:4]:  # these have the new list, without one gateway, already
        fleet.gossip.nodes[name].listed(fleet.gossip.own(name), shorter)
    fleet.run(12 * SECOND)
    assert_sound(fleet)
    for name in fleet.names[4:-1]:
        fleet.gossip.nodes[name].listed(fleet.gossip.own(name), shorter)
    fleet.kill(fleet.names[-1])
    fleet.run(3 * TERM)
    assert fleet.all_owned()
    assert_sound(fleet)


def test_two_processes_with_the_same_name() -> None:
    fleet = start_fleet()
    channel = fleet.channels[0]
    reused_name = fleet.owner(channel)[0]
    before = fleet.gossip.nodes[reused_name]
    fleet.collect(reused_name)
    fleet.start(reused_name)  # datagrams to this name now reach the new process; the old one still sends
    for _ in range(100):
        for to, data in before.tick(fleet.gossip.own(reused_name)):
            fleet.gossip._send(reused_name, to, data)
        fleet.run(100 * MS)
    assert fleet.run_until(fleet.all_owned, 2 * TERM)
    assert_sound(fleet)


def test_false_claim_of_ownership_delays_a_channel_only_briefly() -> None:
    fleet = start_fleet()
    channel = fleet.channels[0]
    owner = fleet.owner(channel)[0]
    false_claimant = next(name for name in fleet.names if name != owner)
    epoch = fleet.running[owner].part.feed.owned_channels[channel].epoch + 1000
    false_claim = wire.Heartbeat((wire.ChannelState(channel, epoch, 0, 0, false_claimant, 1),))
    for name in fleet.names:
        if name != false_claimant:
            fleet.running[false_claimant].part._send(name, false_claim)
    fleet.gossip.prompt(false_claimant)
    fleet.run(5 * SECOND)
    mine = fleet.running[fleet.owner(channel)[0]].part.feed.owned_channels[channel]
    assert mine.epoch > epoch  # the owner requested an epoch above the claimed one
    for listener in fleet.running.values():
        assert isinstance(listener.heard[channel][-1][1], Delivered)
        assert listener.heard[channel][-1][0] > fleet.gossip.now - SECOND


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
def test_malformed_or_unexpected_messages_change_nothing(body: bytes) -> None:
    fleet = start_fleet(3, 1)
    part = fleet.running["g0"].part
    before = part.feed.known["notices-0"].epoch, part.members.revision
    try:
        part.receive(fleet.gossip.own("g0"), "g1", 1, body)
    except DroppedError:
        pass
    assert (part.feed.known["notices-0"].epoch, part.members.revision) == before
    assert resource("notices-0") == "channel/notices-0"
