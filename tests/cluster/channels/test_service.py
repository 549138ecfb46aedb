"""What the embedding program sees: ownership callbacks, items and gaps, back-pressure, slow listeners, the example."""

from __future__ import annotations

from random import Random

import pytest
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from examples.porting_notices import Notices
from yardbank.cluster.channels.api import MAX_DATA, MS, SECOND, Options
from yardbank.cluster.channels.part import ChannelPart
from yardbank.cluster.channels.position_polling import PositionFeeds
from yardbank.cluster.channels.service import Channels
from yardbank.cluster.lease.api import LeaseTerms
from yardbank.cluster.lease.part import LeasePart
from yardbank.cluster.peers.parts import NullStore
from yardbank.gateway.api import ProbeResult, ServerSpec
from yardbank.testing.rig.gossip import GossipFleet


class Log:
    def __init__(self) -> None:
        self.lines: list[tuple[str, dict]] = []

    def info(self, event: str, **fields) -> None:
        self.lines.append((event, fields))

    warning = error = info


class ProgramFleet:
    """Three gateways, each with an embedding program's channels."""

    def __init__(self, options: Options | None = None) -> None:
        self.clock, self.options, self.channels_by_name, self.logs = Clock(), options or Options(), {}, {}
        self.gossip = GossipFleet(["g0", "g1", "g2"], parts=self._parts)
        for name in self.gossip.names:
            self.gossip.start(name)
        self.run(SECOND)

    def _parts(self, node, random):
        leases = LeasePart(node.membership_view, LeaseTerms(), random, NullStore())
        part = ChannelPart(node.membership_view, leases, random, self.options, lambda a, b: None)
        log = self.logs[node.name] = Log()
        self.channels_by_name[node.name] = Channels(
            part,
            reactor=self.clock,
            now=lambda: self.gossip.own(node.name),
            prompt=lambda: self.gossip.prompt(node.name),
            log=log,
        )
        return [leases, part]

    def run(self, time: int) -> None:
        end = self.gossip.now + time
        while self.gossip.now < end:
            self.gossip.run(self.gossip.now + 20 * MS)
            self.clock.advance(0.02)


def owned(programs: ProgramFleet, **more) -> tuple[str, Channels]:
    owners = []
    for name, channels in programs.channels_by_name.items():
        channels.own("news", lambda channel, epoch, name=name: owners.append(name), **more)
    programs.run(6 * SECOND)
    assert len(owners) == 1
    return owners[0], programs.channels_by_name[owners[0]]


def test_items_reach_all_followers_and_the_owner_is_told_of_its_end() -> None:
    programs = ProgramFleet()
    ends, heard = [], {name: [] for name in programs.channels_by_name}
    for name, channels in programs.channels_by_name.items():
        channels.follow("news", lambda item, name=name: heard[name].append(item.data))
    owner_name, channels = owned(programs, on_ended=lambda channel, epoch: ends.append((channel, epoch)))
    other = next(one for name, one in programs.channels_by_name.items() if name != owner_name)
    assert other.publish("news", b"x") == "not the owner" and channels.publish("news", bytes(MAX_DATA + 1)).startswith(
        "too long"
    )
    assert channels.publish("news", b"1") == "" and channels.publish("news", b"2") == ""
    programs.run(200 * MS)
    assert all(found == [b"1", b"2"] for found in heard.values())
    done = []
    channels.stopping().addCallback(done.append)
    programs.run(SECOND)
    assert done == [None] and channels.part.held_channels() == [] and [channel for channel, _ in ends] == ["news"]
    lines = [fields for event, fields in programs.logs[owner_name].lines if event == "channel"]
    assert [line["what"] for line in lines] == ["owned", "ended"] and lines[0]["epoch"] == lines[1]["epoch"] == ends[0][
        1
    ]
    assert sum(bool(one.part.held_channels()) for one in programs.channels_by_name.values()) == 1
    assert not any(fields.get("what") == "gap" for log in programs.logs.values() for _, fields in log.lines)


def test_publishing_too_fast_is_refused_and_loses_nothing() -> None:
    programs = ProgramFleet(Options(rate=4000, burst=8000))
    heard = []
    next(iter(programs.channels_by_name.values())).follow("news", lambda item: heard.append(item.sequence))
    _, channels = owned(programs)
    results = [channels.publish("news", bytes(500)) for _ in range(50)]
    assert results[0] == "" and results[-1] == "full"
    programs.run(3 * SECOND)
    assert channels.publish("news", b"") == ""
    programs.run(SECOND)
    assert heard == list(range(1, results.count("") + 2))


def test_slow_listener_loses_the_oldest_items_and_failing_listener_affects_no_other() -> None:
    programs = ProgramFleet(Options(most_queued=5))
    waits, slow, gaps, fine = Deferred(), [], [], []
    _, channels = owned(programs)
    channels.follow("news", lambda item: (slow.append(item.sequence), waits)[1], lambda gap: gaps.append(gap.missing))
    channels.follow("news", lambda item: 1 / 0)
    end = channels.follow("news", lambda item: fine.append(item.sequence))
    for _ in range(20):
        channels.publish("news", b"")
    programs.run(100 * MS)
    assert slow == [1] and fine == list(range(1, 21)) and channels.view()["news"]["waiting"] == [5, 0, 0]
    waits.callback(None)
    programs.run(100 * MS)
    assert gaps == [15] and slow == [1, 17, 18, 19, 20]
    end()
    channels.publish("news", b"")
    programs.run(100 * MS)
    assert len(fine) == 20 and slow[-1] == 21


def test_channel_names_and_numbers_are_bounded() -> None:
    channels = next(iter(ProgramFleet().channels_by_name.values()))
    channels.own("news")
    for name in ("news", "", "x" * 57):
        with pytest.raises(ValueError, match=r"channel '"):
            channels.own(name)
    with pytest.raises(ValueError, match="512"):
        for number in range(600):
            channels.follow(f"c{number}", print)
    channels.disown("news")
    channels.own("news")


def test_example_program_publishes_owned_channels_and_logs_received_items() -> None:
    programs = ProgramFleet()
    notices = {
        name: Notices(channels, programs.clock, programs.logs[name], ["notices-1", "notices-2"], 0.1)
        for name, channels in programs.channels_by_name.items()
    }
    programs.run(8 * SECOND)
    for log in programs.logs.values():
        items = [fields for event, fields in log.lines if event == "feed_item"]
        assert {fields["name"] for fields in items} == {"notices-1", "notices-2"}
        numbers = [fields["sequence"] for fields in items if fields["name"] == "notices-1"]
        assert len(numbers) > 10 and numbers == list(range(numbers[0], numbers[0] + len(numbers)))
    for one in notices.values():
        one.stop()


class FakeGateway:
    """The gateway calls used by feeds, with servers that answer after 5 ms."""

    def __init__(self, clock: Clock, now) -> None:
        self.clock, self.now, self.poll_count, self.applied = clock, now, 0, []

    def ask(self, server, then) -> None:
        self.poll_count += 1
        at = self.now()
        self.clock.callLater(0.005, then, ProbeResult({"a": (at // MS, "x")}, False), at, "ok")

    def apply_gossiped_position(self, server, started, marks, checked) -> bool:
        assert checked  # the feed verifies reports by its own polls
        self.applied.append((server, started, marks))
        return True


def test_positions_reach_other_gateways_from_the_owner() -> None:
    programs = ProgramFleet()
    servers = [ServerSpec(f"n{number}", "numbers", "z", "h", 1, started=7.0) for number in range(3)]
    gateways, feeds = {}, {}
    for name, channels in programs.channels_by_name.items():
        gateway = gateways[name] = FakeGateway(programs.clock, lambda: round(programs.clock.seconds() * SECOND))
        feeds[name] = PositionFeeds(
            name,
            gateway,
            channels,
            programs.options,
            Random(name),
            reactor=programs.clock,
            now=gateway.now,
            log=programs.logs[name],
        )
        feeds[name].listed(servers)
        feeds[name].start()
    programs.run(12 * SECOND)
    by_poll_count = sorted(gateways.values(), key=lambda gateway: gateway.poll_count)
    assert by_poll_count[-1].poll_count > 100 and all(gateway.poll_count < 20 for gateway in by_poll_count[:2])
    assert (
        all(
            {(server, started) for server, started, _ in gateway.applied} == {(f"n{n}", 7000) for n in range(3)}
            for gateway in by_poll_count[:2]
        )
        and not by_poll_count[-1].applied
    )
    for feed in feeds.values():
        feed.listed(servers[:0])
        feed.stop()
    programs.run(SECOND)
    assert not any(channels.part.held_channels() for channels in programs.channels_by_name.values())
