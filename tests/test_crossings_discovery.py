"""Discovery's watch and what crosses it: a stop, a reload, a send, an end, a process that was stopped for a while."""

from tests.platform_kit import HEAD, LINE, chunk
from tests.test_platform_watch import events, watching
from yardbank.platform.config import Address

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
