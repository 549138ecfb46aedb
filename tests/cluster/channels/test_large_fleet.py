"""Two hundred gateways: they settle without a storm, and what dies or leaves is followed, through a tree of bounded fan-out."""

from __future__ import annotations

from tests.support.channels_fleet import MS, SECOND, ChannelFleet
from yardbank.cluster.channels.api import Delivered


def test_two_hundred_gateways() -> None:
    found = ChannelFleet(200, 4, every=SECOND)
    found.start()
    assert found.run_until(found.all_owned, 30 * SECOND)
    assert found.moved() == 4
    found.run(3 * SECOND)
    children = [
        len(listener.part.feed.subscriptions.children(found.gossip.own(name), channel))
        for name, listener in found.running.items()
        for channel in found.channels
    ]
    assert max(children) <= 4 * found.options.fan_out
    leaving, dying = (
        found.owner("notices-0")[0],
        next(owner for channel in found.channels if (owner := found.owner(channel)[0]) != found.owner("notices-0")[0]),
    )
    found.stop(leaving)
    assert found.all_owned()
    found.kill(dying)
    found.run(100 * MS)
    assert found.run_until(found.votable_owned, 6 * SECOND)
    found.run(3 * SECOND)
    assert found.faults() == [] and found.two_owners() <= found.options.overlap
    newest = {channel: max(epoch for name, epoch in found.published if name == channel) for channel in found.channels}
    for listener in found.running.values():
        for channel in found.channels:
            at, last = [one for one in listener.heard[channel] if isinstance(one[1], Delivered)][-1]
            assert last.epoch == newest[channel] and at > found.gossip.now - 3 * SECOND
