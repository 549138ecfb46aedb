"""What the embedding program sees: owned and ended, items and gaps, back-pressure, slow listeners; the example's own."""

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

    def info(self, event: str, **facts) -> None:
        self.lines.append((event, facts))

    warning = error = info


class Programs:
    """Three gateways, each with a program's side of its channels."""

    def __init__(self, options: Options | None = None) -> None:
        self.clock, self.options, self.faces, self.logs = Clock(), options or Options(), {}, {}
        self.gossip = GossipFleet(["g0", "g1", "g2"], parts=self._parts)
        for name in self.gossip.names:
            self.gossip.start(name)
        self.run(SECOND)

    def _parts(self, node, random):
        leases = LeasePart(node.membership_view, LeaseTerms(), random, NullStore())
        part = ChannelPart(node.membership_view, leases, random, self.options, lambda a, b: None)
        log = self.logs[node.name] = Log()
        self.faces[node.name] = Channels(
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


def owned(programs: Programs, **more) -> tuple[str, Channels]:
    turns = []
    for name, face in programs.faces.items():
        face.own("news", lambda channel, epoch, name=name: turns.append(name), **more)
    programs.run(6 * SECOND)
    assert len(turns) == 1
    return turns[0], programs.faces[turns[0]]


def test_items_reach_all_and_the_owners_end_is_told() -> None:
    programs = Programs()
    ends, heard = [], {name: [] for name in programs.faces}
    for name, face in programs.faces.items():
        face.follow("news", lambda item, name=name: heard[name].append(item.data))
    who, face = owned(programs, on_ended=lambda channel, epoch: ends.append((channel, epoch)))
    other = next(one for name, one in programs.faces.items() if name != who)
    assert other.publish("news", b"x") == "not the owner" and face.publish("news", bytes(MAX_DATA + 1)).startswith(
        "too long"
    )
    assert face.publish("news", b"1") == "" and face.publish("news", b"2") == ""
    programs.run(200 * MS)
    assert all(found == [b"1", b"2"] for found in heard.values())
    done = []
    face.stopping().addCallback(done.append)
    programs.run(SECOND)
    assert done == [None] and face.part.held_channels() == [] and [channel for channel, _ in ends] == ["news"]
    lines = [facts for event, facts in programs.logs[who].lines if event == "channel"]
    assert [line["what"] for line in lines] == ["owned", "ended"] and lines[0]["epoch"] == lines[1]["epoch"] == ends[0][
        1
    ]
    assert sum(bool(one.part.held_channels()) for one in programs.faces.values()) == 1
    assert not any(facts.get("what") == "gap" for log in programs.logs.values() for _, facts in log.lines)


def test_too_fast_is_said_and_nothing_is_lost_by_it() -> None:
    programs = Programs(Options(rate=4000, burst=8000))
    heard = []
    next(iter(programs.faces.values())).follow("news", lambda item: heard.append(item.sequence))
    _, face = owned(programs)
    said = [face.publish("news", bytes(500)) for _ in range(50)]
    assert said[0] == "" and said[-1] == "full"
    programs.run(3 * SECOND)
    assert face.publish("news", b"") == ""
    programs.run(SECOND)
    assert heard == list(range(1, said.count("") + 2))


def test_a_slow_listener_loses_the_oldest_and_one_that_fails_harms_none() -> None:
    programs = Programs(Options(most_queued=5))
    waits, slow, gaps, fine = Deferred(), [], [], []
    _, face = owned(programs)
    face.follow("news", lambda item: (slow.append(item.sequence), waits)[1], lambda gap: gaps.append(gap.missing))
    face.follow("news", lambda item: 1 / 0)
    end = face.follow("news", lambda item: fine.append(item.sequence))
    for _ in range(20):
        face.publish("news", b"")
    programs.run(100 * MS)
    assert slow == [1] and fine == list(range(1, 21)) and face.view()["news"]["waiting"] == [5, 0, 0]
    waits.callback(None)
    programs.run(100 * MS)
    assert gaps == [15] and slow == [1, 17, 18, 19, 20]
    end()
    face.publish("news", b"")
    programs.run(100 * MS)
    assert len(fine) == 20 and slow[-1] == 21


def test_names_and_numbers_of_channels_are_bounded() -> None:
    face = next(iter(Programs().faces.values()))
    face.own("news")
    for name in ("news", "", "x" * 57):
        with pytest.raises(ValueError, match=r"channel '"):
            face.own(name)
    with pytest.raises(ValueError, match="512"):
        for number in range(600):
            face.follow(f"c{number}", print)
    face.disown("news")
    face.own("news")


def test_the_example_publishes_what_it_owns_and_logs_what_it_takes() -> None:
    programs = Programs()
    notices = {
        name: Notices(face, programs.clock, programs.logs[name], ["notices-1", "notices-2"], 0.1)
        for name, face in programs.faces.items()
    }
    programs.run(8 * SECOND)
    for log in programs.logs.values():
        items = [facts for event, facts in log.lines if event == "feed_item"]
        assert {facts["name"] for facts in items} == {"notices-1", "notices-2"}
        numbers = [facts["sequence"] for facts in items if facts["name"] == "notices-1"]
        assert len(numbers) > 10 and numbers == list(range(numbers[0], numbers[0] + len(numbers)))
    for one in notices.values():
        one.stop()


class Group:
    """A gateway's calls, with servers that answer after 5 ms."""

    def __init__(self, clock: Clock, now) -> None:
        self.clock, self.now, self.asked, self.told = clock, now, 0, []

    def ask(self, server, then) -> None:
        self.asked += 1
        at = self.now()
        self.clock.callLater(0.005, then, ProbeResult({"a": (at // MS, "x")}, False), at, "ok")

    def apply_gossiped_position(self, server, started, marks, checked) -> bool:
        assert checked  # the feed asks servers itself before it believes
        self.told.append((server, started, marks))
        return True


def test_positions_go_from_the_owners_gateway_to_the_others() -> None:
    programs = Programs()
    servers = [ServerSpec(f"n{number}", "numbers", "z", "h", 1, started=7.0) for number in range(3)]
    groups, feeds = {}, {}
    for name, face in programs.faces.items():
        group = groups[name] = Group(programs.clock, lambda: round(programs.clock.seconds() * SECOND))
        feeds[name] = PositionFeeds(
            name,
            group,
            face,
            programs.options,
            Random(name),
            reactor=programs.clock,
            now=group.now,
            log=programs.logs[name],
        )
        feeds[name].listed(servers)
        feeds[name].start()
    programs.run(12 * SECOND)
    by_asked = sorted(groups.values(), key=lambda group: group.asked)
    assert by_asked[-1].asked > 100 and all(group.asked < 20 for group in by_asked[:2])
    assert (
        all(
            {(server, started) for server, started, _ in group.told} == {(f"n{n}", 7000) for n in range(3)}
            for group in by_asked[:2]
        )
        and not by_asked[-1].told
    )
    for feed in feeds.values():
        feed.listed(servers[:0])
        feed.stop()
    programs.run(SECOND)
    assert not any(face.part.held_channels() for face in programs.faces.values())
