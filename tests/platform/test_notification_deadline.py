"""Discovery's terms: a change counts as told 6 s after discovery had it and could be reached, whatever fails meanwhile."""

import random

import orjson
import pytest

from tests.platform.test_race_discovery import Agent, a_list
from tests.platform.test_watch import Network, events, watching
from tests.support.platform import ENTRY, HEAD, LINE, chunk
from yardbank.gateway.api import SECOND
from yardbank.platform import watch_state
from yardbank.platform.config import Address
from yardbank.platform.watch import Watcher
from yardbank.platform.watch_state import BESIDE, SILENCE

TOLD = 6.0  # s


def test_a_dial_that_cannot_be_begun_is_one_that_failed_and_is_tried_again_after_a_pause():
    reactor, _, got, _ = watching()
    dial, made = reactor.connectTCP, []

    def no_descriptor(*arguments, **more):
        made.append(round(reactor.seconds(), 2))
        raise OSError(24, "Too many open files")

    reactor.connectTCP = no_descriptor
    reactor.refuse(0)
    reactor.pass_time(2)
    assert 8 <= len(made) <= 12  # 0.2 s between them at the end: nothing spins
    assert made[0] == pytest.approx(0.05, abs=0.02) and made[-1] - made[-2] == pytest.approx(0.2, abs=0.02)
    reactor.connectTCP = dial
    reactor.pass_time(0.3)
    reactor.accept(1, HEAD + chunk(LINE))
    assert [listing.generation for listing in got] == [43]


def test_an_error_in_taking_a_list_ends_neither_the_watch_for_good_nor_the_send_that_looked():
    fails = [True]

    def take(listing):
        if fails:
            raise KeyError(fails.pop())
        agent.got.append(listing)

    agent = Agent(take)
    try:
        agent.watcher.start()
        watch, _ = agent.accept(HEAD + chunk(b"\n"))
        agent.turns()
        agent.put(watch, chunk(a_list(43, "s-1")))
        agent.watcher.catch_up()
        assert not agent.got and "list_error" in events(agent.log)
        again, request = agent.accept(HEAD + chunk(a_list(43, "s-1", reset=True)))
        agent.turns()
        assert b"index=0 " in request and agent.told() == [43]  # the list that was not taken is a hole
        again.close()
        watch.close()
    finally:
        agent.watcher.stop()
        agent.turns()
        agent.listener.close()


def test_changes_of_an_older_generation_are_not_taken_and_the_whole_list_is_asked_for():
    reactor, watcher, got, log = watching()
    made, _ = reactor.accept(0, HEAD + chunk(a_list(41, "s-1")))
    assert watcher.generation == 41 and len(got) == 1
    made.dataReceived(chunk(a_list(40, "s-2")))
    assert len(got) == 1 and "discovery_list_rejected" in events(log)
    reactor.pass_time(0.1)
    _, transport = reactor.accept(1, HEAD + chunk(a_list(12, "s-3", reset=True)))
    assert b"index=0 " in transport.value()
    assert [listing.generation for listing in got] == [41, 12] and watcher.generation == 12  # a whole one counts


def test_the_beginning_of_a_list_is_no_life_once_a_watch_has_fallen_silent():
    reactor, _, got, _ = watching()
    reactor.accept(0, HEAD + chunk(b"\n"))
    reactor.pass_time(3.05)  # silent: the next is begun at once
    reactor.accept(1, HEAD + chunk(a_list(50, "s-1"))[:40])  # and stops in the middle of its list
    reactor.pass_time(0.4)
    assert len(reactor.begun) == 3  # another is begun beside it
    reactor.accept(2, HEAD + chunk(a_list(50, "s-1", reset=True)))
    assert [listing.generation for listing in got] == [50] and reactor.seconds() < TOLD


def test_a_long_list_that_came_while_the_process_stood_still_is_read_before_silence_is_held_against_it():
    reactor, _, got, log = watching()
    made, transport = reactor.accept(0, HEAD + chunk(b"\n"))
    rest = [chunk(a_list(50, "s-1", reset=True))]
    made.unread = lambda: rest.pop() if rest else b""
    reactor.advance(60)  # the process stood still: the timer is due, the list lies in the socket
    assert [listing.generation for listing in got] == [50] and "discovery_silent" not in events(log)
    assert not transport.disconnecting


# Drawn schedules of faults

KINDS = ("well", "hangs", "refuses", "head only", "half a list", "reset in a list", "white space", "ends", "no list")


class Discovery:
    """A model of the agent: its versions, and what it does to a watch while a fault is on."""

    def __init__(self, seed):
        self.draw = random.Random(seed)
        self.reactor, self.had = Network(), []  # when (s) discovery had a version, and its number
        self.version, self.fault, self.until = 41, "well", 0.0
        self.watches, self.served, self.got = {}, 0, []
        self.watcher = Watcher(Address("127.0.0.9", 8500), 41, self.got.append, self.reactor, NoLog())
        self.watcher.start()

    def whole(self):
        entry = {**ENTRY, "instanceId": f"s-{self.version}"}
        return orjson.dumps({"generation": self.version, "reset": True, "instances": [entry]}) + b"\n"

    def meet(self):
        """Dials that came since: a fault that is on takes them."""
        while self.served < len(self.reactor.begun):
            number, self.served = self.served, self.served + 1
            if self.fault == "hangs":
                continue
            if self.fault == "refuses":
                self.reactor.refuse(number)
                continue
            made, transport = self.reactor.accept(number)
            if self.fault == "well":
                made.dataReceived(HEAD + chunk(self.whole()))
                self.watches[number] = made, transport
            elif self.fault == "no list":
                made.dataReceived(HEAD + chunk(b'{"generation":"x","instances":[]}'))
            else:
                cut = len(self.whole()) // 2
                made.dataReceived(HEAD)
                if self.fault in ("half a list", "reset in a list"):
                    made.dataReceived(chunk(self.whole())[:cut])
                if self.fault in ("reset in a list", "ends"):
                    made.connectionLost()

    def change(self):
        """A new version: told at once to watches that are well."""
        self.version += 1
        self.had.append((self.reactor.seconds(), self.version))
        self.say(chunk(self.whole()))

    def say(self, octets):
        if self.fault == "well":
            for number, (made, transport) in list(self.watches.items()):
                if transport.disconnecting:
                    del self.watches[number]
                else:
                    made.dataReceived(octets)

    def strike(self):
        """A fault begins: open watches fall silent, or end."""
        self.fault = self.draw.choice(KINDS)
        for made, transport in self.watches.values() if self.fault in ("ends", "reset in a list") else ():
            if not transport.disconnecting:
                made.connectionLost()
        if self.fault != "well":
            self.watches.clear()

    def lateness(self, well_since):
        """For how long (s) discovery has had, and could be reached with, what the gateway has not."""
        now, held = self.reactor.seconds(), self.watcher.generation
        return max((now - max(at, well_since) for at, version in self.had if version > held), default=0.0)


class NoLog:
    def __getattr__(self, level):
        return lambda event, **facts: None


def worst_of(seed):
    """A minute of drawn faults and changes: the longest that a change was not held while discovery was well."""
    agent, well_since, next_line, worst = Discovery(seed), 0.0, 0.0, 0.0
    draw = agent.draw
    next_strike, next_change = draw.uniform(0, 4), draw.uniform(0, 2)
    for _ in range(60 * 32):
        now = agent.reactor.seconds()
        agent.meet()
        if now >= next_change:
            agent.change()
            next_change = now + draw.uniform(0.2, 5)
        if now >= next_strike:
            if agent.fault == "well":
                agent.strike()
            else:
                agent.fault, well_since = "well", now
            next_strike = now + draw.uniform(0.1, 9)
        if now >= next_line:
            agent.say(chunk(b"\n"))
            next_line = now + 2
        if agent.fault == "well":
            worst = max(worst, agent.lateness(well_since))
        agent.reactor.advance(1 / 32)
    assert len(agent.had) > 10 and len(agent.got) > 5 and len(agent.reactor.begun) > 5
    return worst


@pytest.mark.parametrize("seed", range(40))
def test_whatever_fails_a_change_is_held_well_within_the_time_after_which_it_counts_as_told(seed):
    assert worst_of(seed) <= (SILENCE + 2 * BESIDE) / SECOND < TOLD


def test_a_watch_that_waits_too_long_is_found(monkeypatch):
    monkeypatch.setattr(watch_state, "SILENCE", 7 * SECOND)
    assert max(map(worst_of, range(20))) > (SILENCE + 2 * BESIDE) / SECOND
