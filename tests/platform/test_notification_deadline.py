"""Discovery's deadline: a change counts as known 6 s after discovery had it and was reachable, despite any faults."""

import random

import orjson
import pytest

from tests.platform.test_race_discovery import Agent, a_list
from tests.platform.test_watch import Network, events, open_watcher
from tests.support.platform import ENTRY, HEAD, LINE, chunk
from yardbank.gateway.api import SECOND
from yardbank.platform import watch_state
from yardbank.platform.config import Address
from yardbank.platform.watch import Watcher
from yardbank.platform.watch_state import PARALLEL_DELAY, SILENCE_TIMEOUT

DEADLINE_S = 6.0  # the platform counts a change as known after this time


def test_a_connect_that_raises_is_retried_after_a_delay():
    reactor, _, got, _ = open_watcher()
    dial, made = reactor.connectTCP, []

    def fail_to_connect(*arguments, **more):
        made.append(round(reactor.seconds(), 2))
        raise OSError(24, "Too many open files")

    reactor.connectTCP = fail_to_connect
    reactor.refuse(0)
    reactor.pass_time(2)
    assert 8 <= len(made) <= 12  # 0.2 s between attempts at the end: no busy loop
    assert made[0] == pytest.approx(0.05, abs=0.02) and made[-1] - made[-2] == pytest.approx(0.2, abs=0.02)
    reactor.connectTCP = dial
    reactor.pass_time(0.3)
    reactor.accept(1, HEAD + chunk(LINE))
    assert [listing.generation for listing in got] == [43]


def test_an_exception_while_applying_a_list_ends_neither_watching_nor_the_send():
    fails = [True]

    def apply(listing):
        if fails:
            raise KeyError(fails.pop())
        agent.got.append(listing)

    agent = Agent(apply)
    try:
        agent.watcher.start()
        watch, _ = agent.accept(HEAD + chunk(b"\n"))
        agent.iterate()
        agent.put(watch, chunk(a_list(43, "s-1")))
        agent.watcher.catch_up()
        assert not agent.got and "list_error" in events(agent.log)
        again, request = agent.accept(HEAD + chunk(a_list(43, "s-1", reset=True)))
        agent.iterate()
        assert b"index=0 " in request and agent.generations() == [43]  # a list was not applied: the full list is needed
        again.close()
        watch.close()
    finally:
        agent.watcher.stop()
        agent.iterate()
        agent.listener.close()


def test_a_partial_list_of_an_older_generation_is_rejected_and_the_full_list_requested():
    reactor, watcher, got, log = open_watcher()
    made, _ = reactor.accept(0, HEAD + chunk(a_list(41, "s-1")))
    assert watcher.generation == 41 and len(got) == 1
    made.dataReceived(chunk(a_list(40, "s-2")))
    assert len(got) == 1 and "discovery_list_rejected" in events(log)
    reactor.pass_time(0.1)
    _, transport = reactor.accept(1, HEAD + chunk(a_list(12, "s-3", reset=True)))
    assert b"index=0 " in transport.value()
    assert [listing.generation for listing in got] == [41, 12] and watcher.generation == 12  # a full list counts


def test_after_a_silent_watch_the_start_of_a_list_does_not_count_as_activity():
    reactor, _, got, _ = open_watcher()
    reactor.accept(0, HEAD + chunk(b"\n"))
    reactor.pass_time(3.05)  # silent: the next is opened at once
    reactor.accept(1, HEAD + chunk(a_list(50, "s-1"))[:40])  # stops in the middle of its list
    reactor.pass_time(0.4)
    assert len(reactor.connects) == 3  # another is opened in parallel
    reactor.accept(2, HEAD + chunk(a_list(50, "s-1", reset=True)))
    assert [listing.generation for listing in got] == [50] and reactor.seconds() < DEADLINE_S


def test_a_long_list_that_arrived_during_a_stall_is_read_before_the_silence_timeout():
    reactor, _, got, log = open_watcher()
    made, transport = reactor.accept(0, HEAD + chunk(b"\n"))
    rest = [chunk(a_list(50, "s-1", reset=True))]
    made.read_pending = lambda: rest.pop() if rest else b""
    reactor.advance(60)  # the process stalled: the timer is due and the list is unread in the socket
    assert [listing.generation for listing in got] == [50] and "discovery_silent" not in events(log)
    assert not transport.disconnecting


# Random fault schedules

FAULTS = ("well", "hangs", "refuses", "head only", "half a list", "reset in a list", "white space", "ends", "no list")


class Discovery:
    """Model of discovery: its versions, and how it treats watches while a fault is active."""

    def __init__(self, seed):
        self.draw = random.Random(seed)
        self.reactor, self.had = Network(), []  # when (s) discovery had each version, and its number
        self.version, self.fault, self.until = 41, "well", 0.0
        self.watches, self.handled, self.got = {}, 0, []
        self.watcher = Watcher(Address("127.0.0.9", 8500), 41, self.got.append, self.reactor, NoLog())
        self.watcher.start()

    def full_list(self):
        entry = {**ENTRY, "instanceId": f"s-{self.version}"}
        return orjson.dumps({"generation": self.version, "reset": True, "instances": [entry]}) + b"\n"

    def handle_connections(self):
        """Handles new connections as the active fault says."""
        while self.handled < len(self.reactor.connects):
            number, self.handled = self.handled, self.handled + 1
            if self.fault == "hangs":
                continue
            if self.fault == "refuses":
                self.reactor.refuse(number)
                continue
            made, transport = self.reactor.accept(number)
            if self.fault == "well":
                made.dataReceived(HEAD + chunk(self.full_list()))
                self.watches[number] = made, transport
            elif self.fault == "no list":
                made.dataReceived(HEAD + chunk(b'{"generation":"x","instances":[]}'))
            else:
                cut = len(self.full_list()) // 2
                made.dataReceived(HEAD)
                if self.fault in ("half a list", "reset in a list"):
                    made.dataReceived(chunk(self.full_list())[:cut])
                if self.fault in ("reset in a list", "ends"):
                    made.connectionLost()

    def change(self):
        """A new version, sent at once to working watches."""
        self.version += 1
        self.had.append((self.reactor.seconds(), self.version))
        self.send(chunk(self.full_list()))

    def send(self, octets):
        if self.fault == "well":
            for number, (made, transport) in list(self.watches.items()):
                if transport.disconnecting:
                    del self.watches[number]
                else:
                    made.dataReceived(octets)

    def start_fault(self):
        """Starts a fault: open watches fall silent or end."""
        self.fault = self.draw.choice(FAULTS)
        for made, transport in self.watches.values() if self.fault in ("ends", "reset in a list") else ():
            if not transport.disconnecting:
                made.connectionLost()
        if self.fault != "well":
            self.watches.clear()

    def delay(self, reachable_since):
        """How long (s) discovery has had a version, while reachable, that the gateway has not applied."""
        now, held = self.reactor.seconds(), self.watcher.generation
        return max((now - max(at, reachable_since) for at, version in self.had if version > held), default=0.0)


class NoLog:
    def __getattr__(self, level):
        return lambda event, **facts: None


def longest_delay(seed):
    """Runs a minute of random faults and changes; the longest time that a change was not applied while reachable."""
    agent, reachable_since, next_line, worst = Discovery(seed), 0.0, 0.0, 0.0
    draw = agent.draw
    next_fault, next_change = draw.uniform(0, 4), draw.uniform(0, 2)
    for _ in range(60 * 32):
        now = agent.reactor.seconds()
        agent.handle_connections()
        if now >= next_change:
            agent.change()
            next_change = now + draw.uniform(0.2, 5)
        if now >= next_fault:
            if agent.fault == "well":
                agent.start_fault()
            else:
                agent.fault, reachable_since = "well", now
            next_fault = now + draw.uniform(0.1, 9)
        if now >= next_line:
            agent.send(chunk(b"\n"))
            next_line = now + 2
        if agent.fault == "well":
            worst = max(worst, agent.delay(reachable_since))
        agent.reactor.advance(1 / 32)
    assert len(agent.had) > 10 and len(agent.got) > 5 and len(agent.reactor.connects) > 5
    return worst


@pytest.mark.parametrize("seed", range(40))
def test_changes_are_applied_well_within_the_deadline_under_random_faults(seed):
    assert longest_delay(seed) <= (SILENCE_TIMEOUT + 2 * PARALLEL_DELAY) / SECOND < DEADLINE_S


def test_a_longer_silence_timeout_is_detected(monkeypatch):
    monkeypatch.setattr(watch_state, "SILENCE_TIMEOUT", 7 * SECOND)
    assert max(map(longest_delay, range(20))) > (SILENCE_TIMEOUT + 2 * PARALLEL_DELAY) / SECOND
