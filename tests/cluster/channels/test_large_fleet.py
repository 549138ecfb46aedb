"""Two hundred gateways: few grants at startup, bounded fan-out, and owners that leave or die are replaced."""

from __future__ import annotations

from tests.support.channels_fleet import MS, SECOND, ChannelFleet
from yardbank.cluster.channels.api import Delivered


def test_two_hundred_gateways_settle_and_replace_owners_that_leave_or_die() -> None:
    fleet = ChannelFleet(200, 4, every=SECOND)
    fleet.start()
    assert fleet.run_until(fleet.all_owned, 30 * SECOND)
    assert fleet.moved() == 4
    fleet.run(3 * SECOND)
    children = [
        len(listener.part.feed.subscriptions.children(fleet.gossip.own(name), channel))
        for name, listener in fleet.running.items()
        for channel in fleet.channels
    ]
    assert max(children) <= 4 * fleet.options.fan_out
    leaving, dying = (
        fleet.owner("notices-0")[0],
        next(owner for channel in fleet.channels if (owner := fleet.owner(channel)[0]) != fleet.owner("notices-0")[0]),
    )
    fleet.stop(leaving)
    assert fleet.all_owned()
    fleet.kill(dying)
    fleet.run(100 * MS)
    assert fleet.run_until(fleet.votable_owned, 6 * SECOND)
    fleet.run(3 * SECOND)
    assert fleet.faults() == [] and fleet.two_owners() <= fleet.options.overlap
    newest = {channel: max(epoch for name, epoch in fleet.published if name == channel) for channel in fleet.channels}
    for listener in fleet.running.values():
        for channel in fleet.channels:
            at, last = [one for one in listener.heard[channel] if isinstance(one[1], Delivered)][-1]
            assert last.epoch == newest[channel] and at > fleet.gossip.now - 3 * SECOND
