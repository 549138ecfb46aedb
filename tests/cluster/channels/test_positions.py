"""Positions of servers, polled by one gateway for all: publishing, verification of reports, direct polls."""

from __future__ import annotations

from random import Random

import pytest

from yardbank.cluster.channels.api import MS, SECOND, Delivered, Options
from yardbank.cluster.channels.positions import ListedServer, Positions, channel_of
from yardbank.cluster.channels.verification import FIRST_CHECK_SPREAD, MAX_CHECK_INTERVAL

SERVERS = [ListedServer(f"n{number}", "numbers", 7) for number in range(3)]
CHANNEL = channel_of("numbers")


class Server:
    """A server whose positions rise with time."""

    def __init__(self) -> None:
        self.regressed = 0

    def marks(self, now: int) -> dict[str, tuple[int | str, ...]]:
        return {"a": (now // MS - self.regressed, "x")}


class SimulatedFeed:
    """An owner and followers; servers answer after 5 ms, items arrive at once."""

    def __init__(self, followers: int = 1) -> None:
        self.now = SECOND
        self.servers = {server.name: Server() for server in SERVERS}
        self.owner = Positions("o", Random(1), Options())
        self.others = [Positions(f"f{number}", Random(number), Options()) for number in range(followers)]
        for one in (self.owner, *self.others):
            one.listed(self.now, SERVERS)
        self.owner.owned(self.now, "numbers")
        self.sequence, self.epoch, self.boot_epoch, self.drop_items = 0, 1, 1, False
        self.polls: list[tuple[int, str, str]] = []

    def run(self, time: int) -> None:
        end = self.now + time
        while self.now < end:
            self.now += 10 * MS
            for one in (self.owner, *self.others):
                one.tick(self.now)
                asks, one.asks = one.asks, []
                for name in asks:
                    self.polls.append((self.now, one.name, name))
                    one.answered(self.now + 5 * MS, name, self.servers[name].marks(self.now), self.now)
            items, self.owner.items = self.owner.items, []
            for channel, data in items:
                self.sequence += 1
                if not self.drop_items:
                    for other in self.others:
                        other.on_item(
                            self.now, Delivered(channel, self.epoch, self.sequence, data, "o", self.boot_epoch)
                        )

    def verified_positions(self) -> list:
        found, self.others[0].verified_positions = self.others[0].verified_positions, []
        return found


def test_owner_polls_for_all_and_followers_poll_only_to_verify() -> None:
    feed = SimulatedFeed(40)
    feed.run(60 * SECOND)
    owner_polls = sum(poller == "o" for _, poller, _ in feed.polls)
    follower_polls = len(feed.polls) - owner_polls
    assert owner_polls > 3 * 550 and follower_polls < 40 * 3 * 8
    verified = feed.verified_positions()
    assert {one.server for one in verified} == {"n0", "n1", "n2"} and all(one.started == 7 for one in verified)
    first = [at for at, poller, _ in feed.polls if poller != "o"]
    # First polls are spread over time.
    assert max(sum(at // SECOND == second for at in first) for second in range(100)) < 80


def test_reports_are_used_only_after_an_own_later_poll_covers_them() -> None:
    feed = SimulatedFeed()
    follower = feed.others[0]
    follower.on_item(feed.now, Delivered(CHANNEL, 1, 1, b"\x91\x93\xa2n0\x07\x81\xa1a\x92\x01\xa1x", "o", 1))
    follower.on_item(feed.now, Delivered(CHANNEL, 1, 2, b"\x91\x93\xa2n0\x07\x81\xa1a\x92\x02\xa1x", "o", 1))
    assert feed.verified_positions() == []
    follower.answered(feed.now + 1, "n0", {"a": (5, "x")}, feed.now - 1)  # polled before the report arrived
    follower.on_item(feed.now + 2, Delivered(CHANNEL, 1, 3, b"\x91\x93\xa2n0\x07\x81\xa1a\x92\x03\xa1x", "o", 1))
    assert feed.verified_positions() == []
    follower.answered(feed.now + 3, "n0", {"a": (5, "x")}, feed.now + 1)
    follower.on_item(feed.now + 4, Delivered(CHANNEL, 1, 4, b"\x91\x93\xa2n0\x07\x81\xa1a\x92\x06\xa1x", "o", 1))
    assert [one.marks for one in feed.verified_positions()] == [{"a": (6, "x")}]
    follower.on_item(feed.now + 5, Delivered(CHANNEL, 2, 1, b"\x91\x93\xa2n0\x07\x81\xa1a\x92\x07\xa1x", "p", 1))
    assert feed.verified_positions() == []  # another owner's reports are verified from the start


def test_owner_with_false_reports_is_detected_and_distrusted_until_it_restarts() -> None:
    feed = SimulatedFeed()
    feed.run(2 * FIRST_CHECK_SPREAD)
    assert feed.verified_positions()
    follower = feed.others[0]
    feed.drop_items = True
    accepted_false, found = 0, None
    for step in range(MAX_CHECK_INTERVAL // (100 * MS) + 20):
        feed.run(100 * MS)
        data = b"\x91\x93\xa2n0\x07\x81\xa1a\x92\xce" + (feed.now // MS + 10**6).to_bytes(4, "big") + b"\xa1x"
        follower.on_item(feed.now, Delivered(CHANNEL, 1, 10**6 + step, data, "o", 1))
        accepted_false += len(feed.verified_positions())
        if reports := follower.false_reports():
            found = reports[0]
            break
    assert found is not None and (found.owner, found.boot_epoch, found.server) == ("o", 1, "n0")
    feed.drop_items = False
    feed.run(MAX_CHECK_INTERVAL)
    # Its reports on other servers are not used either.
    assert feed.verified_positions() == [] and follower.alone() == ["n0", "n1", "n2"]
    feed.boot_epoch, feed.epoch = 2, 2
    feed.run(2 * FIRST_CHECK_SPREAD)
    # After a restart of the owner its reports are verified again.
    assert {one.server for one in feed.verified_positions()} >= {"n1", "n2"}


def test_reports_on_a_restored_server_are_unused_until_it_catches_up_without_blaming_the_owner() -> None:
    feed = SimulatedFeed()
    feed.run(2 * FIRST_CHECK_SPREAD)
    feed.verified_positions()
    feed.servers["n0"].regressed = 15_000  # ms
    feed.run(100 * MS)
    feed.verified_positions()
    feed.run(10 * SECOND)
    assert "n0" not in {one.server for one in feed.verified_positions()} and feed.others[0].verifier.regressed() == [
        "n0"
    ]
    feed.run(20 * SECOND)
    assert "n0" in {one.server for one in feed.verified_positions()} and feed.others[0].verifier.regressed() == []
    assert feed.others[0].false_reports() == []


def test_reports_with_another_start_than_listed_are_rejected() -> None:
    feed = SimulatedFeed()
    feed.run(2 * FIRST_CHECK_SPREAD)
    feed.others[0].listed(feed.now, [ListedServer("n0", "numbers", 8), *SERVERS[1:]])
    feed.verified_positions()
    feed.run(2 * SECOND)
    assert {one.server for one in feed.verified_positions()} == {"n1", "n2"}
    feed.others[0].listed(feed.now, [ListedServer("n0", "numbers", 7), *SERVERS[1:]])
    feed.run(SECOND // 2)
    # What was known of the other start was dropped.
    assert "n0" not in {one.server for one in feed.verified_positions()}


def test_followers_without_reports_poll_directly_at_spread_times() -> None:
    feed = SimulatedFeed(30)
    feed.run(2 * FIRST_CHECK_SPREAD)
    assert all(one.alone() == [] for one in feed.others)
    feed.drop_items, feed.polls = True, []
    feed.run(3 * SECOND)
    assert all(one.alone() == ["n0", "n1", "n2"] for one in feed.others)
    times = [at for at, poller, name in feed.polls if poller != "o" and name == "n0"]
    assert len(set(times)) > 10  # spread over time
    feed.drop_items = False
    feed.run(SECOND)
    assert all(one.alone() == [] for one in feed.others)


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\x91\x93\xa2n0\x07\x81\xa1a\x92\x01",
        b"\x91\x92\xa2n0\x07",
        b"\xc1",
        b"\x91\x93\xa3new\x07\x81\xa1a\x92\x01\xa1x",
    ],
)
def test_malformed_items_and_unlisted_servers_change_nothing(data: bytes) -> None:
    feed = SimulatedFeed()
    feed.others[0].on_item(feed.now, Delivered(CHANNEL, 1, 1, data, "o", 1))
    feed.others[0].tick(feed.now + SECOND)
    assert feed.verified_positions() == [] and feed.others[0].asks == []


def test_unanswering_server_is_polled_less_and_does_not_delay_others() -> None:
    owner = Positions("o", Random(1), Options())
    owner.listed(0, SERVERS)
    owner.owned(SECOND, "numbers")
    polls, items = [], 0
    for step in range(1000):
        now = SECOND + step * 10 * MS
        owner.tick(now)
        for name in owner.asks:
            polls.append(name)
            if name != "n0":
                owner.answered(now, name, {"a": (step, "x")}, now)
        owner.asks = []
        items += len(owner.items)
        owner.items = []
    assert items > 90 and polls.count("n0") < polls.count("n1") // 5
