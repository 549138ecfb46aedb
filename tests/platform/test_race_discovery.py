"""Discovery's watch and what crosses it: a stop, a reload, a send, an end, a process that was stopped for a while."""

import select
import socket
import struct

import orjson
import pytest
from twisted.internet.epollreactor import EPollReactor

from tests.platform.test_watch import events, watching
from tests.support.platform import ENTRY, HEAD, LINE, Log, chunk
from yardbank.platform.config import Address
from yardbank.platform.listing import Listing, joined
from yardbank.platform.watch import MAX_READS, READ_SIZE, Watcher

ELSEWHERE = Address("127.0.0.9", 8501)


def test_a_move_after_the_stop_or_before_the_start_begins_no_watch():
    reactor, watcher, got, log = watching()
    made, transport = reactor.accept(0, HEAD + chunk(b"\n"))
    watcher.stop()
    watcher.move(ELSEWHERE)
    made.dataReceived(chunk(LINE))
    made.connectionLost()
    reactor.advance(30)
    assert len(reactor.begun) == 1 and not reactor.getDelayedCalls() and not got and not events(log)
    assert transport.disconnecting
    watcher.start()  # only a start begins: at the address that was noted
    assert reactor.tcpClients[1][:2] == ("127.0.0.9", 8501)


def a_list(generation, *names, reset=False, state="Ready"):
    instances = [{**ENTRY, "instanceId": name, "lifecycle": state} for name in names]
    return orjson.dumps({"generation": generation, "reset": reset, "instances": instances}) + b"\n"


class Agent:
    """Discovery's agent on a real socket, and a watcher on a reactor that turns only when told."""

    def __init__(self, take=None):
        self.reactor, self.got, self.log = EPollReactor(), [], Log()
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.listener.settimeout(20)
        address = Address("127.0.0.1", self.listener.getsockname()[1])
        self.watcher = Watcher(address, 41, take or self.got.append, self.reactor, self.log)

    def accept(self, data=b""):
        """The next watch, its request read and its connection known to the watcher."""
        self.turn(lambda: select.select([self.listener], [], [], 0)[0])  # the dial is due in a turn of its own
        watch, _ = self.listener.accept()
        watch.settimeout(20)
        request = b""
        self.turn(lambda: any(each.transport for each in self.watcher._open.values()))
        while b"\r\n\r\n" not in request:
            self.reactor.iterate(0.05)
            request += watch.recv(4096)
        self.put(watch, data)
        return watch, request

    def put(self, watch, data):
        """Octets that lie in the gateway's socket when this returns, before the reactor has turned."""
        watch.sendall(data)
        (held,) = [each.transport.socket for each in self.watcher._open.values() if each.transport]
        assert not data or select.select([held], [], [], 20)[0]

    def turn(self, until):
        for _ in range(400):
            if until():
                return
            self.reactor.iterate(0.05)
        raise AssertionError("it did not come to that")

    def turns(self, count=10):
        for _ in range(count):
            self.reactor.iterate(0)

    def told(self):
        return [listing.generation for listing in self.got]


@pytest.fixture
def agent():
    made = Agent()
    yield made
    made.watcher.stop()
    made.turns()
    made.listener.close()


def test_a_list_that_lies_in_the_socket_is_taken_by_a_look_before_a_send_and_not_again(agent):
    agent.watcher.start()
    watch, request = agent.accept(HEAD + chunk(b"\n"))
    assert b"index=41 " in request
    agent.turns()
    agent.watcher.catch_up()
    assert not agent.got
    agent.put(watch, chunk(a_list(43, "s-1", state="Terminating")))
    agent.watcher.catch_up()
    assert agent.told() == [43] and agent.got[0].entries["s-1"].state == "draining"
    agent.watcher.catch_up()
    agent.turns()
    assert agent.told() == [43] and len(agent.watcher._open) == 1
    watch.close()


def test_a_look_before_a_send_takes_what_a_first_answer_brings_and_looks_once_if_there_is_nothing(agent, monkeypatch):
    agent.watcher.start()
    watch, _ = agent.accept()
    looks, made = [], next(iter(agent.watcher._open.values()))
    unread = made.unread
    monkeypatch.setattr(made, "unread", lambda: looks.append(1) or unread())
    agent.watcher.catch_up()
    assert len(looks) == 1
    agent.put(watch, HEAD + chunk(a_list(50, "s-1", "s-2", reset=True)))
    agent.watcher.catch_up()
    assert agent.told() == [50]
    watch.close()


@pytest.mark.parametrize("end", ["closed", "reset"])
def test_an_end_that_a_look_finds_is_left_to_the_reactor_and_the_lists_before_it_stand(agent, end):
    agent.watcher.start()
    watch, _ = agent.accept(HEAD + chunk(a_list(43, "s-1")) + chunk(a_list(44, "s-2")[:30]))
    if end == "reset":
        watch.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    watch.close()
    for _ in range(3):
        agent.watcher.catch_up()
    assert agent.told() == [43] and len(agent.watcher._open) == 1 and not events(agent.log)
    agent.turn(lambda: not agent.watcher._open)
    assert events(agent.log) == ["discovery_watch_ended"]
    _, request = agent.accept()
    assert b"index=0 " in request  # one was cut: the whole is asked for


def test_a_look_within_the_taking_of_a_list_does_not_enter_it_again():
    depth, most, taken = 0, 0, []

    def take(listing):
        nonlocal depth, most
        depth += 1
        most = max(most, depth)
        taken.append(listing.generation)
        if len(taken) == 1:
            agent.put(watch, chunk(a_list(44, "s-2")))
        agent.watcher.catch_up()
        depth -= 1

    agent = Agent(take)
    agent.watcher.start()
    watch, _ = agent.accept(HEAD + chunk(a_list(43, "s-1")))
    agent.watcher.catch_up()
    assert taken == [43] and most == 1
    agent.watcher.catch_up()
    assert taken == [43, 44] and most == 1
    agent.watcher.stop()
    agent.turns()
    agent.listener.close()
    watch.close()


def test_lists_that_lie_in_the_socket_together_count_together(agent):
    agent.watcher.start()
    watch, _ = agent.accept(HEAD + chunk(a_list(43, "s-1", "s-2", reset=True)))
    agent.put(watch, chunk(a_list(44, "s-3")) + chunk(a_list(45, "s-1", state="Terminating")))
    agent.watcher.catch_up()
    (one,) = agent.got
    assert (one.generation, one.reset) == (45, True) and one.entries["s-1"].state == "draining"
    assert sorted(one.entries) == ["s-1", "s-2", "s-3"]
    watch.close()


def test_a_look_reads_no_more_than_its_bound_and_the_rest_is_for_the_next(agent):
    agent.watcher.start()
    watch, _ = agent.accept(HEAD)
    made = next(iter(agent.watcher._open.values()))
    reads, unread = [], made.unread
    made.unread = lambda: reads.append(len(reads)) or unread() or chunk(b"\n" * READ_SIZE)
    agent.watcher.catch_up()
    assert len(reads) == MAX_READS + 1
    watch.close()


def test_lists_joined_say_what_they_say_one_after_the_other():
    whole, later = Listing(43, True, {"a": 1, "b": 2}), Listing(44, False, {"a": None, "c": 3})
    assert joined([whole, later]) == Listing(44, True, {"a": None, "b": 2, "c": 3})
    assert joined([later, Listing(45, False, {"a": 4})]) == Listing(45, False, {"a": 4, "c": 3})
    assert joined([later, whole]) is not whole and joined([later, whole]) == whole
