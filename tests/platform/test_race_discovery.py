"""Races of discovery's watch with a stop, a reload, a send, a disconnect and a stall of the process."""

import select
import socket
import struct

import orjson
import pytest
from twisted.internet.epollreactor import EPollReactor

from tests.platform.test_watch import events, open_watcher
from tests.support.platform import ENTRY, HEAD, LINE, Log, chunk
from yardbank.platform.config import Address
from yardbank.platform.listing import Listing, merge_listings
from yardbank.platform.watch import MAX_READS, Watcher
from yardbank.platform.watch_connection import READ_SIZE

OTHER_ADDRESS = Address("127.0.0.9", 8501)


def test_a_move_before_start_or_after_stop_opens_no_watch():
    reactor, watcher, got, log = open_watcher()
    made, transport = reactor.accept(0, HEAD + chunk(b"\n"))
    watcher.stop()
    watcher.move(OTHER_ADDRESS)
    made.dataReceived(chunk(LINE))
    made.connectionLost()
    reactor.advance(30)
    assert len(reactor.connects) == 1 and not reactor.getDelayedCalls() and not got and not events(log)
    assert transport.disconnecting
    watcher.start()  # only a start connects, to the stored address
    assert reactor.tcpClients[1][:2] == ("127.0.0.9", 8501)


def a_list(generation, *names, reset=False, state="Ready"):
    instances = [{**ENTRY, "instanceId": name, "lifecycle": state} for name in names]
    return orjson.dumps({"generation": generation, "reset": reset, "instances": instances}) + b"\n"


class Agent:
    """Discovery's agent on a real socket, and a watcher on a reactor that turns only when told."""

    def __init__(self, apply=None):
        self.reactor, self.got, self.log = EPollReactor(), [], Log()
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.listener.settimeout(20)
        address = Address("127.0.0.1", self.listener.getsockname()[1])
        self.watcher = Watcher(address, 41, apply or self.got.append, self.reactor, self.log)

    def accept(self, data=b""):
        """Accepts the next watch, after its request was read and the watcher knows of the connection."""
        self.iterate_until(lambda: select.select([self.listener], [], [], 0)[0])  # connects in a turn of its own
        watch, _ = self.listener.accept()
        watch.settimeout(20)
        request = b""
        self.iterate_until(lambda: any(each.transport for each in self.watcher._open.values()))
        while b"\r\n\r\n" not in request:
            self.reactor.iterate(0.05)
            request += watch.recv(4096)
        self.put(watch, data)
        return watch, request

    def put(self, watch, data):
        """Sends octets; they are in the gateway's socket on return, before the reactor has turned."""
        watch.sendall(data)
        (held,) = [each.transport.socket for each in self.watcher._open.values() if each.transport]
        assert not data or select.select([held], [], [], 20)[0]

    def iterate_until(self, until):
        for _ in range(400):
            if until():
                return
            self.reactor.iterate(0.05)
        raise AssertionError("condition not met")

    def iterate(self, count=10):
        for _ in range(count):
            self.reactor.iterate(0)

    def generations(self):
        return [listing.generation for listing in self.got]


@pytest.fixture
def agent():
    made = Agent()
    yield made
    made.watcher.stop()
    made.iterate()
    made.listener.close()


def test_catch_up_applies_an_unread_list_once(agent):
    agent.watcher.start()
    watch, request = agent.accept(HEAD + chunk(b"\n"))
    assert b"index=41 " in request
    agent.iterate()
    agent.watcher.catch_up()
    assert not agent.got
    agent.put(watch, chunk(a_list(43, "s-1", state="Terminating")))
    agent.watcher.catch_up()
    assert agent.generations() == [43] and agent.got[0].entries["s-1"].state == "draining"
    agent.watcher.catch_up()
    agent.iterate()
    assert agent.generations() == [43] and len(agent.watcher._open) == 1
    watch.close()


def test_catch_up_reads_a_first_response_and_costs_one_read_if_there_is_nothing(agent, monkeypatch):
    agent.watcher.start()
    watch, _ = agent.accept()
    reads, made = [], next(iter(agent.watcher._open.values()))
    read_pending = made.read_pending
    monkeypatch.setattr(made, "read_pending", lambda: reads.append(1) or read_pending())
    agent.watcher.catch_up()
    assert len(reads) == 1
    agent.put(watch, HEAD + chunk(a_list(50, "s-1", "s-2", reset=True)))
    agent.watcher.catch_up()
    assert agent.generations() == [50]
    watch.close()


@pytest.mark.parametrize("end", ["closed", "reset"])
def test_catch_up_applies_lists_before_a_disconnect_and_leaves_the_disconnect_to_the_reactor(agent, end):
    agent.watcher.start()
    watch, _ = agent.accept(HEAD + chunk(a_list(43, "s-1")) + chunk(a_list(44, "s-2")[:30]))
    if end == "reset":
        watch.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    watch.close()
    for _ in range(3):
        agent.watcher.catch_up()
    assert agent.generations() == [43] and len(agent.watcher._open) == 1 and not events(agent.log)
    agent.iterate_until(lambda: not agent.watcher._open)
    assert events(agent.log) == ["discovery_watch_ended"]
    _, request = agent.accept()
    assert b"index=0 " in request  # a list was cut off: the full list is requested


# Guards against a drain that is written to the old watch, unread as it is aborted, and known to the gateway by then.
def test_a_move_applies_lists_that_wait_unread_on_the_old_watch(agent):
    agent.watcher.start()
    watch, _ = agent.accept(HEAD + chunk(b"\n"))
    agent.iterate()
    agent.put(watch, chunk(a_list(43, "s-1", state="Terminating")) + chunk(a_list(44, "s-2")[:30]))
    agent.watcher.move(OTHER_ADDRESS)
    assert agent.generations() == [43] and agent.got[0].entries["s-1"].state == "draining"
    (moved,) = agent.watcher._open.values()
    assert b"index=0 " in moved.watch.request  # the list that was cut off is lost
    watch.close()


def test_catch_up_during_the_application_of_a_list_does_not_reenter_it():
    depth, most, taken = 0, 0, []

    def apply(listing):
        nonlocal depth, most
        depth += 1
        most = max(most, depth)
        taken.append(listing.generation)
        if len(taken) == 1:
            agent.put(watch, chunk(a_list(44, "s-2")))
        agent.watcher.catch_up()
        depth -= 1

    agent = Agent(apply)
    agent.watcher.start()
    watch, _ = agent.accept(HEAD + chunk(a_list(43, "s-1")))
    agent.watcher.catch_up()
    assert taken == [43] and most == 1
    agent.watcher.catch_up()
    assert taken == [43, 44] and most == 1
    agent.watcher.stop()
    agent.iterate()
    agent.listener.close()
    watch.close()


def test_lists_that_arrived_together_are_applied_together(agent):
    agent.watcher.start()
    watch, _ = agent.accept(HEAD + chunk(a_list(43, "s-1", "s-2", reset=True)))
    agent.put(watch, chunk(a_list(44, "s-3")) + chunk(a_list(45, "s-1", state="Terminating")))
    agent.watcher.catch_up()
    (one,) = agent.got
    assert (one.generation, one.reset) == (45, True) and one.entries["s-1"].state == "draining"
    assert sorted(one.entries) == ["s-1", "s-2", "s-3"]
    watch.close()


def test_catch_up_limits_the_number_of_reads(agent):
    agent.watcher.start()
    watch, _ = agent.accept(HEAD)
    made = next(iter(agent.watcher._open.values()))
    reads, read_pending = [], made.read_pending
    made.read_pending = lambda: reads.append(len(reads)) or read_pending() or chunk(b"\n" * READ_SIZE)
    agent.watcher.catch_up()
    assert len(reads) == MAX_READS + 1
    watch.close()


def test_merged_lists_equal_the_lists_applied_in_order():
    whole, later = Listing(43, True, {"a": 1, "b": 2}), Listing(44, False, {"a": None, "c": 3})
    assert merge_listings([whole, later]) == Listing(44, True, {"a": None, "b": 2, "c": 3})
    assert merge_listings([later, Listing(45, False, {"a": 4})]) == Listing(45, False, {"a": 4, "c": 3})
    assert merge_listings([later, whole]) is not whole and merge_listings([later, whole]) == whole
