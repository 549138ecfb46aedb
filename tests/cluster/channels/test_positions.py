"""Where servers stand, asked by one for all: what is given out, what is believed, who asks alone."""

from __future__ import annotations

from random import Random

import pytest

from yardbank.cluster.channels.api import MS, SECOND, Delivered, Options
from yardbank.cluster.channels.positions import ListedServer, Positions, channel_of
from yardbank.cluster.channels.verification import FIRST_CHECK_SPREAD, MAX_CHECK_INTERVAL

PLACES = [ListedServer(f"n{number}", "numbers", 7) for number in range(3)]
CHANNEL = channel_of("numbers")


class Server:
    """Its marks rise with time."""

    def __init__(self) -> None:
        self.regressed = 0

    def marks(self, now: int) -> dict[str, tuple[int | str, ...]]:
        return {"a": (now // MS - self.regressed, "x")}


class World:
    """An owner and followers, answers after 5 ms, items at once."""

    def __init__(self, followers: int = 1) -> None:
        self.now = SECOND
        self.servers = {place.name: Server() for place in PLACES}
        self.owner = Positions("o", Random(1), Options())
        self.others = [Positions(f"f{number}", Random(number), Options()) for number in range(followers)]
        for one in (self.owner, *self.others):
            one.listed(self.now, PLACES)
        self.owner.owned(self.now, "numbers")
        self.sequence, self.epoch, self.boot_epoch, self.cut = 0, 1, 1, False
        self.asked: list[tuple[int, str, str]] = []

    def run(self, time: int) -> None:
        end = self.now + time
        while self.now < end:
            self.now += 10 * MS
            for one in (self.owner, *self.others):
                one.tick(self.now)
                asks, one.asks = one.asks, []
                for name in asks:
                    self.asked.append((self.now, one.name, name))
                    one.answered(self.now + 5 * MS, name, self.servers[name].marks(self.now), self.now)
            items, self.owner.items = self.owner.items, []
            for channel, data in items:
                self.sequence += 1
                if not self.cut:
                    for other in self.others:
                        other.on_item(
                            self.now, Delivered(channel, self.epoch, self.sequence, data, "o", self.boot_epoch)
                        )

    def verified_positions(self) -> list:
        found, self.others[0].verified_positions = self.others[0].verified_positions, []
        return found


def test_one_asks_for_all_and_the_others_only_to_check() -> None:
    world = World(40)
    world.run(60 * SECOND)
    by_owner = sum(who == "o" for _, who, _ in world.asked)
    by_others = len(world.asked) - by_owner
    assert by_owner > 3 * 550 and by_others < 40 * 3 * 8
    told = world.verified_positions()
    assert {one.server for one in told} == {"n0", "n1", "n2"} and all(one.started == 7 for one in told)
    first = [at for at, who, _ in world.asked if who != "o"]
    assert max(sum(at // SECOND == second for at in first) for second in range(100)) < 80  # not all at once


def test_nothing_is_believed_before_an_own_answer_has_it_all() -> None:
    world = World()
    follower = world.others[0]
    follower.on_item(world.now, Delivered(CHANNEL, 1, 1, b"\x91\x93\xa2n0\x07\x81\xa1a\x92\x01\xa1x", "o", 1))
    follower.on_item(world.now, Delivered(CHANNEL, 1, 2, b"\x91\x93\xa2n0\x07\x81\xa1a\x92\x02\xa1x", "o", 1))
    assert world.verified_positions() == []
    follower.answered(world.now + 1, "n0", {"a": (5, "x")}, world.now - 1)  # asked before it was told
    follower.on_item(world.now + 2, Delivered(CHANNEL, 1, 3, b"\x91\x93\xa2n0\x07\x81\xa1a\x92\x03\xa1x", "o", 1))
    assert world.verified_positions() == []
    follower.answered(world.now + 3, "n0", {"a": (5, "x")}, world.now + 1)
    follower.on_item(world.now + 4, Delivered(CHANNEL, 1, 4, b"\x91\x93\xa2n0\x07\x81\xa1a\x92\x06\xa1x", "o", 1))
    assert [one.marks for one in world.verified_positions()] == [{"a": (6, "x")}]
    follower.on_item(world.now + 5, Delivered(CHANNEL, 2, 1, b"\x91\x93\xa2n0\x07\x81\xa1a\x92\x07\xa1x", "p", 1))
    assert world.verified_positions() == []  # another owner begins anew


def test_an_owner_that_lies_is_found_by_checks_and_not_believed_for_its_life() -> None:
    world = World()
    world.run(2 * FIRST_CHECK_SPREAD)
    assert world.verified_positions()
    follower = world.others[0]
    world.cut = True
    lied, found = 0, None
    for step in range(MAX_CHECK_INTERVAL // (100 * MS) + 20):
        world.run(100 * MS)
        data = b"\x91\x93\xa2n0\x07\x81\xa1a\x92\xce" + (world.now // MS + 10**6).to_bytes(4, "big") + b"\xa1x"
        follower.on_item(world.now, Delivered(CHANNEL, 1, 10**6 + step, data, "o", 1))
        lied += len(world.verified_positions())
        if lies := follower.false_reports():
            found = lies[0]
            break
    assert found is not None and (found.owner, found.boot_epoch, found.server) == ("o", 1, "n0")
    world.cut = False
    world.run(MAX_CHECK_INTERVAL)
    assert world.verified_positions() == [] and follower.alone() == ["n0", "n1", "n2"]  # nor on any other server
    world.boot_epoch, world.epoch = 2, 2
    world.run(2 * FIRST_CHECK_SPREAD)
    assert {one.server for one in world.verified_positions()} >= {"n1", "n2"}  # a new life is heard again


def test_a_server_put_back_is_believed_by_none_until_it_has_it_all_again_and_nobody_is_called_a_liar() -> None:
    world = World()
    world.run(2 * FIRST_CHECK_SPREAD)
    world.verified_positions()
    world.servers["n0"].regressed = 15_000  # of its milliseconds
    world.run(100 * MS)
    world.verified_positions()
    world.run(10 * SECOND)
    assert "n0" not in {one.server for one in world.verified_positions()} and world.others[0].verifier.regressed() == [
        "n0"
    ]
    world.run(20 * SECOND)
    assert "n0" in {one.server for one in world.verified_positions()} and world.others[0].verifier.regressed() == []
    assert world.others[0].false_reports() == []


def test_another_start_than_the_list_says_is_nobodys() -> None:
    world = World()
    world.run(2 * FIRST_CHECK_SPREAD)
    world.others[0].listed(world.now, [ListedServer("n0", "numbers", 8), *PLACES[1:]])
    world.verified_positions()
    world.run(2 * SECOND)
    assert {one.server for one in world.verified_positions()} == {"n1", "n2"}
    world.others[0].listed(world.now, [ListedServer("n0", "numbers", 7), *PLACES[1:]])
    world.run(SECOND // 2)
    assert "n0" not in {one.server for one in world.verified_positions()}  # what was known of it is void


def test_who_hears_nothing_asks_for_itself_not_all_at_once() -> None:
    world = World(30)
    world.run(2 * FIRST_CHECK_SPREAD)
    assert all(one.alone() == [] for one in world.others)
    world.cut, world.asked = True, []
    world.run(3 * SECOND)
    assert all(one.alone() == ["n0", "n1", "n2"] for one in world.others)
    times = [at for at, who, name in world.asked if who != "o" and name == "n0"]
    assert len(set(times)) > 10  # spread
    world.cut = False
    world.run(SECOND)
    assert all(one.alone() == [] for one in world.others)


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
def test_odd_items_and_servers_that_the_list_does_not_name_change_nothing(data: bytes) -> None:
    world = World()
    world.others[0].on_item(world.now, Delivered(CHANNEL, 1, 1, data, "o", 1))
    world.others[0].tick(world.now + SECOND)
    assert world.verified_positions() == [] and world.others[0].asks == []


def test_a_server_that_does_not_answer_is_asked_less_and_holds_up_no_other() -> None:
    owner = Positions("o", Random(1), Options())
    owner.listed(0, PLACES)
    owner.owned(SECOND, "numbers")
    asked, items = [], 0
    for step in range(1000):
        now = SECOND + step * 10 * MS
        owner.tick(now)
        for name in owner.asks:
            asked.append(name)
            if name != "n0":
                owner.answered(now, name, {"a": (step, "x")}, now)
        owner.asks = []
        items += len(owner.items)
        owner.items = []
    assert items > 90 and asked.count("n0") < asked.count("n1") // 5
