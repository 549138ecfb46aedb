"""The watch of discovery's list: octets to lists, silence of all kinds, and when it is begun anew."""

import orjson
import pytest
from twisted.internet.error import ConnectionRefusedError
from twisted.internet.testing import MemoryReactorClock, StringTransport
from twisted.python.failure import Failure

from tests.support.platform import ENTRY, HEAD, LINE, Log, chunk
from yardbank.platform.config import Address
from yardbank.platform.watch import Watcher
from yardbank.platform.watch_state import MOST


class Network(MemoryReactorClock):
    """Keeps what was begun; a test plays discovery's agent."""

    def __init__(self):
        super().__init__()
        self.begun, self.cut = [], set()  # when, to a tenth of a second; whose connector was called off

    def connectTCP(self, host, port, factory, timeout=30, bindAddress=None):  # noqa: N802, N803
        connector = super().connectTCP(host, port, factory, timeout, bindAddress)
        number = len(self.begun)
        connector.disconnect = lambda: self.cut.add(number)
        self.begun.append(round(self.seconds(), 1))
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


def watching():
    reactor, got, log = Network(), [], Log()
    watcher = Watcher(Address("127.0.0.9", 8500), 41, got.append, reactor, log)
    watcher.start()
    return reactor, watcher, got, log


def events(log):
    return [event for event, _ in log.lines]


def test_a_watch_that_ends_is_begun_again_at_the_last_version_after_the_first_short_pause():
    reactor, _, got, _ = watching()
    made, transport = reactor.accept(0, HEAD + chunk(LINE))
    assert b"index=41 " in transport.value() and [listing.generation for listing in got] == [43]
    made.connectionLost()
    reactor.advance(0.04)
    assert reactor.begun == [0]
    reactor.advance(0.02)
    _, transport = reactor.accept(1)
    assert b"index=43 " in transport.value()


def test_a_watch_that_falls_silent_is_begun_anew_at_once_and_an_empty_line_shows_life():
    reactor, _, got, log = watching()
    made, _ = reactor.accept(0, HEAD + chunk(LINE))
    for _ in range(4):
        reactor.pass_time(2)
        made.dataReceived(chunk(b"\r\n"))
    assert reactor.begun == [0]
    reactor.pass_time(3.02)
    assert reactor.begun == [0, 11] and events(log) == ["discovery_silent"]
    made.dataReceived(chunk(LINE))  # of a watch that was given up
    assert len(got) == 1


def test_white_space_that_comes_more_seldom_than_silence_lasts_keeps_no_watch():
    reactor, _, _, log = watching()
    made, transport = reactor.accept(0, HEAD + chunk(b" \n"))
    reactor.pass_time(3.02)
    made.dataReceived(chunk(b" \n"))
    assert transport.disconnecting and reactor.begun[1] == 3 and events(log) == ["discovery_silent"]


def test_a_watch_that_stays_in_its_connect_has_others_begun_beside_it_and_is_given_up():
    reactor, _, got, _ = watching()
    reactor.pass_time(10)
    assert reactor.begun[:4] == [0, 0.3, 0.6, 0.9] and {0, 1, 2} <= reactor.cut
    assert max(b - a for a, b in zip(reactor.begun, reactor.begun[1:])) < 0.5
    assert len(reactor.begun) - len(reactor.cut) <= MOST
    last = len(reactor.begun) - 1
    reactor.accept(last, HEAD + chunk(LINE))
    assert len(got) == 1 and len(reactor.cut) == last  # the first that speaks is gone by, the others end
    reactor.pass_time(1.9)
    assert len(reactor.begun) == last + 1


def test_an_answer_of_which_only_the_head_came_is_given_up_and_a_head_is_no_proof_after_that():
    reactor, _, got, _ = watching()
    _, transport = reactor.accept(0, HEAD)
    reactor.pass_time(2.9)
    assert reactor.begun == [0]
    reactor.pass_time(0.12)
    assert transport.disconnecting and reactor.begun == [0, 3]
    reactor.accept(1, HEAD)
    reactor.pass_time(0.31)
    assert reactor.begun == [0, 3, 3.3]
    made, _ = reactor.accept(2, HEAD + chunk(LINE))
    reactor.pass_time(1)
    made.connectionLost()
    reactor.pass_time(0.06)
    reactor.accept(3, HEAD)
    reactor.pass_time(2)
    assert len(reactor.begun) == 4 and len(got) == 1


@pytest.mark.parametrize("drip", [b" ", b"[", b"x"], ids=["white space", "brackets", "text"])
def test_octets_that_end_no_list_are_no_life_for_ever(drip):
    reactor, _, got, log = watching()
    begun = b'{"a":"' if drip == b"x" else b'{"a":'
    made, transport = reactor.accept(0, HEAD + chunk(b"\n"))
    reactor.pass_time(1)
    made.dataReceived(chunk(begun))
    for _ in range(28):
        reactor.pass_time(0.1)
        made.dataReceived(chunk(drip))
    assert reactor.begun == [0]  # the list under way has its time from its first octet
    reactor.pass_time(0.3)
    assert (
        transport.disconnecting
        and reactor.begun == [0, 4]
        and log.lines
        == [("discovery_silent", {"address": "127.0.0.9:8500", "waiting": len(begun) + 28, "left_out": 0})]
    )
    _, transport = reactor.accept(1, HEAD + chunk(LINE))
    assert b"index=0 " in transport.value() and len(got) == 1  # one was lost: the whole list is asked for


def test_a_list_that_grows_without_end_is_given_up_by_its_size():
    reactor, _, _, log = watching()
    made, transport = reactor.accept(0, HEAD + chunk(b'{"a":"'))
    for _ in range(8):
        assert not transport.disconnecting
        made.dataReceived(chunk(b"x" * (1 << 20)))
    assert transport.disconnecting and events(log) == ["discovery_list_rejected", "discovery_watch_ended"]


def test_a_spoilt_list_is_not_taken_those_before_it_are_and_the_whole_is_asked_for_until_it_came():
    reactor, _, got, log = watching()
    two_entries = orjson.dumps({"generation": 44, "reset": False, "instances": [ENTRY, {"instanceId": "b"}]})
    _, transport = reactor.accept(0, HEAD + chunk(LINE + two_entries + LINE))
    assert [listing.generation for listing in got] == [43] and transport.disconnecting
    assert log.lines[0] == ("discovery_list_rejected", {"problem": "instances[1].hostPort: missing", "left_out": 0})
    reactor.advance(0.06)
    made, transport = reactor.accept(1, HEAD + chunk(LINE))
    made.connectionLost()
    reactor.advance(0.11)
    assert b"index=0 " in transport.value()
    made, transport = reactor.accept(2, HEAD + chunk(LINE.replace(b"false", b"true")))
    made.connectionLost()
    reactor.advance(0.21)
    assert b"index=0 " in transport.value() and b"index=43 " in reactor.accept(3)[1].value()


def test_a_watch_that_is_cut_in_the_middle_of_a_list_asks_for_the_whole():
    reactor, _, _, _ = watching()
    made, _ = reactor.accept(0, HEAD + chunk(LINE + LINE[:30]))
    made.connectionLost()
    reactor.advance(0.06)
    assert b"index=0 " in reactor.accept(1)[1].value()


def test_after_a_move_the_new_address_is_asked_at_once_and_the_old_one_is_not_heard():
    reactor, watcher, got, _ = watching()
    made, transport = reactor.accept(0, HEAD + chunk(b"\n"))
    watcher.move(Address("127.0.0.9", 8500))
    assert len(reactor.begun) == 1 and not transport.disconnecting
    watcher.move(Address("127.0.0.9", 8501))
    made.dataReceived(chunk(LINE))
    assert reactor.begun == [0, 0] and transport.disconnecting and not got
    reactor.pass_time(3.2)  # it stays in its connect: others are begun beside it, all of them there
    assert {client[1] for client in reactor.tcpClients[1:]} == {8501} and len(reactor.begun) == 12
    reactor.accept(11, HEAD + chunk(LINE))
    assert len(got) == 1
    watcher.stop()
    reactor.advance(30)
    assert len(reactor.begun) == 12 and not reactor.getDelayedCalls()


@pytest.mark.parametrize("down", ["refused", "taken and forgotten", "head only", "never up"])
def test_what_discovery_holds_when_it_returns_is_heard_well_within_the_shortest_grace(down):
    reactor, _, got, log = watching()
    made, _ = reactor.accept(0, HEAD + chunk(b"\n"))
    if down == "refused":
        made.connectionLost()
    dealt = 1
    for _ in range(1000):
        reactor.advance(0.01)
        for number in range(dealt, len(reactor.begun)):
            if down == "refused":
                reactor.refuse(number)
            elif down != "never up":
                reactor.accept(number, HEAD if down == "head only" else b"")
        dealt = len(reactor.begun)
    tries = dealt
    while dealt == len(reactor.begun):
        reactor.advance(0.01)
    assert reactor.seconds() < 10.31 and tries < 60 and len(log.lines) < 15
    reactor.accept(dealt, HEAD + chunk(LINE))
    assert len(got) == 1


def test_what_came_while_the_process_was_busy_is_read_before_silence_is_held_against_a_watch(monkeypatch):
    reactor, _, got, _ = watching()
    made, transport = reactor.accept(0, HEAD + chunk(b"\n"))
    later = reactor.callLater

    def read_first(delay, call, *arguments):
        if delay == 0:  # sockets are looked at between two rounds of timers
            made.dataReceived(chunk(LINE))
        return later(delay, call, *arguments)

    monkeypatch.setattr(reactor, "callLater", read_first)
    reactor.advance(8)
    assert len(got) == 1 and not transport.disconnecting and reactor.begun == [0]
    monkeypatch.setattr(reactor, "callLater", later)
    reactor.advance(3.1)
    assert transport.disconnecting


# Guards against a watch that is marked as being read for good: nothing unread was looked at before a send any more.
@pytest.mark.parametrize("by", ["reactor", "look before a send"])
def test_an_error_of_the_program_while_a_watch_is_read_ends_that_watch_alone(by, monkeypatch):
    reactor, watcher, got, log = watching()
    made, _ = reactor.accept(0, HEAD)
    unread = [chunk(LINE)]

    def receive(data):
        raise RuntimeError("an error in the program")

    monkeypatch.setattr(made.watch, "receive", receive)
    if by == "reactor":
        made.dataReceived(chunk(LINE))
    else:
        monkeypatch.setattr(made, "unread", lambda: unread.pop() if unread else b"")
        watcher.catch_up()
    assert made.dropped and not got and "list_error" in events(log)
    reactor.pass_time(0.5)
    other, _ = reactor.accept(1, HEAD)
    later = [chunk(LINE)]
    monkeypatch.setattr(other, "unread", lambda: later.pop() if later else b"")
    watcher.catch_up()
    assert [listing.generation for listing in got] == [43]
