"""The watch of discovery's list: responses to lists, silence of all kinds, and when a watch is reopened."""

import orjson
import pytest
from twisted.internet.error import ConnectionRefusedError
from twisted.internet.testing import MemoryReactorClock, StringTransport
from twisted.python.failure import Failure

from tests.support.platform import ENTRY, HEAD, LINE, Log, chunk
from yardbank.platform.config import Address
from yardbank.platform.watch import Watcher
from yardbank.platform.watch_state import MAX_OPEN_WATCHES


class Network(MemoryReactorClock):
    """Records connects; a test plays discovery."""

    def __init__(self):
        super().__init__()
        self.connects, self.disconnected = [], set()  # when, to 0.1 s; connector numbers

    def connectTCP(self, host, port, factory, timeout=30, bindAddress=None):  # noqa: N802, N803
        connector = super().connectTCP(host, port, factory, timeout, bindAddress)
        number = len(self.connects)
        connector.disconnect = lambda: self.disconnected.add(number)
        self.connects.append(round(self.seconds(), 1))
        return connector

    def refuse(self, number):
        self.tcpClients[number][2].clientConnectionFailed(None, Failure(ConnectionRefusedError()))

    def accept(self, number, data=b""):
        made, transport = self.tcpClients[number][2].buildProtocol(None), StringTransport()
        made.makeConnection(transport)
        if data:
            made.dataReceived(data)
        return made, transport

    def pass_time(self, seconds):
        for _ in range(round(seconds * 128)):
            self.advance(1 / 128)


def open_watcher():
    reactor, got, log = Network(), [], Log()
    watcher = Watcher(Address("127.0.0.9", 8500), 41, got.append, reactor, log)
    watcher.start()
    return reactor, watcher, got, log


def faults(log):
    """The faults that were logged, in order; ``established`` has the watches that came into use."""
    return [line for line in log.lines if line[0] != "discovery_watch_established"]


def events(log):
    return [event for event, _ in faults(log)]


def established(log):
    return [facts for event, facts in log.lines if event == "discovery_watch_established"]


def test_a_watch_that_comes_into_use_is_logged_with_the_time_without_one():
    reactor, watcher, _, log = open_watcher()
    assert watcher.view() == {"phase": "connecting", "generation": 41, "open": 1, "list_age_ms": None}
    reactor.pass_time(0.25)
    made, _ = reactor.accept(0, HEAD + chunk(LINE))
    assert established(log) == [{"address": "127.0.0.9:8500", "unheard_ms": 250, "left_out": 0}]
    reactor.pass_time(1)
    assert watcher.view() == {"phase": "streaming", "generation": 43, "open": 1, "list_age_ms": 1000}
    made.connectionLost()
    reactor.pass_time(0.5)
    reactor.accept(1, HEAD + chunk(LINE))
    assert [facts["unheard_ms"] for facts in established(log)] == [250, 500]


def test_an_ended_watch_is_reopened_at_the_last_version_after_the_shortest_delay():
    reactor, _, got, _ = open_watcher()
    made, transport = reactor.accept(0, HEAD + chunk(LINE))
    assert b"index=41 " in transport.value() and [listing.generation for listing in got] == [43]
    made.connectionLost()
    reactor.advance(0.04)
    assert reactor.connects == [0]
    reactor.advance(0.02)
    _, transport = reactor.accept(1)
    assert b"index=43 " in transport.value()


def test_a_silent_watch_is_reopened_at_once_and_an_empty_line_counts_as_activity():
    reactor, _, got, log = open_watcher()
    made, _ = reactor.accept(0, HEAD + chunk(LINE))
    for _ in range(4):
        reactor.pass_time(2)
        made.dataReceived(chunk(b"\r\n"))
    assert reactor.connects == [0]
    reactor.pass_time(3.02)
    assert reactor.connects == [0, 11] and events(log) == ["discovery_silent"]
    made.dataReceived(chunk(LINE))  # data of a watch that was given up
    assert len(got) == 1


def test_whitespace_after_the_silence_timeout_does_not_keep_a_watch():
    reactor, _, _, log = open_watcher()
    made, transport = reactor.accept(0, HEAD + chunk(b" \n"))
    reactor.pass_time(3.02)
    made.dataReceived(chunk(b" \n"))
    assert transport.disconnecting and reactor.connects[1] == 3 and events(log) == ["discovery_silent"]


def test_a_watch_that_does_not_connect_gets_parallel_watches_and_is_given_up():
    reactor, _, got, _ = open_watcher()
    reactor.pass_time(10)
    assert reactor.connects[:4] == [0, 0.3, 0.6, 0.9] and {0, 1, 2} <= reactor.disconnected
    assert max(b - a for a, b in zip(reactor.connects, reactor.connects[1:])) < 0.5
    assert len(reactor.connects) - len(reactor.disconnected) <= MAX_OPEN_WATCHES
    last = len(reactor.connects) - 1
    reactor.accept(last, HEAD + chunk(LINE))
    assert len(got) == 1 and len(reactor.disconnected) == last  # the first watch that responds is used, the others end
    reactor.pass_time(1.9)
    assert len(reactor.connects) == last + 1


def test_a_response_with_only_a_head_is_given_up_and_later_heads_are_not_trusted():
    reactor, _, got, _ = open_watcher()
    _, transport = reactor.accept(0, HEAD)
    reactor.pass_time(2.9)
    assert reactor.connects == [0]
    reactor.pass_time(0.12)
    assert transport.disconnecting and reactor.connects == [0, 3]
    reactor.accept(1, HEAD)
    reactor.pass_time(0.31)
    assert reactor.connects == [0, 3, 3.3]
    made, _ = reactor.accept(2, HEAD + chunk(LINE))
    reactor.pass_time(1)
    made.connectionLost()
    reactor.pass_time(0.06)
    reactor.accept(3, HEAD)
    reactor.pass_time(2)
    assert len(reactor.connects) == 4 and len(got) == 1


@pytest.mark.parametrize("drip", [b" ", b"[", b"x"], ids=["white space", "brackets", "text"])
def test_octets_that_complete_no_list_do_not_extend_the_silence_timeout(drip):
    reactor, _, got, log = open_watcher()
    list_start = b'{"a":"' if drip == b"x" else b'{"a":'
    made, transport = reactor.accept(0, HEAD + chunk(b"\n"))
    reactor.pass_time(1)
    made.dataReceived(chunk(list_start))
    for _ in range(28):
        reactor.pass_time(0.1)
        made.dataReceived(chunk(drip))
    assert reactor.connects == [0]  # an unfinished list has its time from its first octet
    reactor.pass_time(0.3)
    assert (
        transport.disconnecting
        and reactor.connects == [0, 4]
        and faults(log)
        == [("discovery_silent", {"address": "127.0.0.9:8500", "waiting": len(list_start) + 28, "left_out": 0})]
    )
    _, transport = reactor.accept(1, HEAD + chunk(LINE))
    assert b"index=0 " in transport.value() and len(got) == 1  # a list was lost: the full list is requested


def test_a_list_over_the_size_limit_is_rejected():
    reactor, _, _, log = open_watcher()
    made, transport = reactor.accept(0, HEAD + chunk(b'{"a":"'))
    for _ in range(8):
        assert not transport.disconnecting
        made.dataReceived(chunk(b"x" * (1 << 20)))
    assert transport.disconnecting and events(log) == ["discovery_list_rejected", "discovery_watch_ended"]


def test_an_invalid_list_is_rejected_and_the_full_list_requested_until_it_arrives():
    reactor, _, got, log = open_watcher()
    two_entries = orjson.dumps({"generation": 44, "reset": False, "instances": [ENTRY, {"instanceId": "b"}]})
    _, transport = reactor.accept(0, HEAD + chunk(LINE + two_entries + LINE))
    assert [listing.generation for listing in got] == [43] and transport.disconnecting
    assert faults(log)[0] == ("discovery_list_rejected", {"problem": "instances[1].hostPort: missing", "left_out": 0})
    reactor.advance(0.06)
    made, transport = reactor.accept(1, HEAD + chunk(LINE))
    made.connectionLost()
    reactor.advance(0.11)
    assert b"index=0 " in transport.value()
    made, transport = reactor.accept(2, HEAD + chunk(LINE.replace(b"false", b"true")))
    made.connectionLost()
    reactor.advance(0.21)
    assert b"index=0 " in transport.value() and b"index=43 " in reactor.accept(3)[1].value()


def test_a_watch_that_broke_in_the_middle_of_a_list_requests_the_full_list():
    reactor, _, _, _ = open_watcher()
    made, _ = reactor.accept(0, HEAD + chunk(LINE + LINE[:30]))
    made.connectionLost()
    reactor.advance(0.06)
    assert b"index=0 " in reactor.accept(1)[1].value()


def test_a_move_connects_to_the_new_address_at_once_and_ignores_the_old_one():
    reactor, watcher, got, _ = open_watcher()
    made, transport = reactor.accept(0, HEAD + chunk(b"\n"))
    watcher.move(Address("127.0.0.9", 8500))
    assert len(reactor.connects) == 1 and not transport.disconnecting
    watcher.move(Address("127.0.0.9", 8501))
    made.dataReceived(chunk(LINE))
    assert reactor.connects == [0, 0] and transport.disconnecting and not got
    reactor.pass_time(3.2)  # it does not connect: others are opened in parallel, all at the new address
    assert {client[1] for client in reactor.tcpClients[1:]} == {8501} and len(reactor.connects) == 12
    reactor.accept(11, HEAD + chunk(LINE))
    assert len(got) == 1
    watcher.stop()
    reactor.advance(30)
    assert len(reactor.connects) == 12 and not reactor.getDelayedCalls()


@pytest.mark.parametrize("down", ["refused", "taken and forgotten", "head only", "never up"])
def test_a_list_is_received_soon_after_discovery_returns(down):
    reactor, _, got, log = open_watcher()
    made, _ = reactor.accept(0, HEAD + chunk(b"\n"))
    if down == "refused":
        made.connectionLost()
    handled = 1
    for _ in range(1000):
        reactor.advance(0.01)
        for number in range(handled, len(reactor.connects)):
            if down == "refused":
                reactor.refuse(number)
            elif down != "never up":
                reactor.accept(number, HEAD if down == "head only" else b"")
        handled = len(reactor.connects)
    attempts = handled
    while handled == len(reactor.connects):
        reactor.advance(0.01)
    assert reactor.seconds() < 10.31 and attempts < 60 and len(log.lines) < 15
    reactor.accept(handled, HEAD + chunk(LINE))
    assert len(got) == 1


def test_data_that_arrived_during_a_stall_is_read_before_the_silence_timeout(monkeypatch):
    reactor, _, got, _ = open_watcher()
    made, transport = reactor.accept(0, HEAD + chunk(b"\n"))
    later = reactor.callLater

    def read_first(delay, call, *arguments):
        if delay == 0:  # sockets are read between two rounds of timers
            made.dataReceived(chunk(LINE))
        return later(delay, call, *arguments)

    monkeypatch.setattr(reactor, "callLater", read_first)
    reactor.advance(8)
    assert len(got) == 1 and not transport.disconnecting and reactor.connects == [0]
    monkeypatch.setattr(reactor, "callLater", later)
    reactor.advance(3.1)
    assert transport.disconnecting


# Guards against a watch that stays marked as being read after an exception: ``catch_up`` then read nothing any more.
@pytest.mark.parametrize("by", ["reactor", "look before a send"])
def test_an_exception_while_reading_a_watch_ends_only_that_watch(by, monkeypatch):
    reactor, watcher, got, log = open_watcher()
    made, _ = reactor.accept(0, HEAD)
    unread = [chunk(LINE)]

    def receive(data):
        raise RuntimeError("an error in the program")

    monkeypatch.setattr(made.watch, "receive", receive)
    if by == "reactor":
        made.dataReceived(chunk(LINE))
    else:
        monkeypatch.setattr(made, "read_pending", lambda: unread.pop() if unread else b"")
        watcher.catch_up()
    assert made.aborted and not got and "list_error" in events(log)
    reactor.pass_time(0.5)
    other, _ = reactor.accept(1, HEAD)
    later = [chunk(LINE)]
    monkeypatch.setattr(other, "read_pending", lambda: later.pop() if later else b"")
    watcher.catch_up()
    assert [listing.generation for listing in got] == [43]
