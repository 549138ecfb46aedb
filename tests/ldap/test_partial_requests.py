"""Memory of incomplete requests over all clients, and what becomes of those that make no progress."""

from hypothesis import given
from hypothesis import strategies as st
from twisted.internet.testing import StringTransport

from tests.ldap.test_race_clients import Setup, search
from yardbank.directory.codes import Code
from yardbank.ldap.ber import Framer
from yardbank.ldap.partial_requests import PartialRequests
from yardbank.ldap.state import notice_of_disconnection

LIMIT = 1_000_000
LARGE = search(7, padding=b"x" * 200_000)


@given(st.lists(st.tuples(st.integers(0, 5), st.integers(0, 70)), max_size=60))
def test_all_clients_together_stay_within_the_limit_and_the_least_recent_give_way(reads):
    partial, occupied = PartialRequests(100), {}
    for client, octets in reads:
        occupied.pop(client, None)
        if octets:
            occupied[client] = octets
        expected = []
        while sum(occupied.values()) > 100:
            expected.append(next(iter(occupied)))
            del occupied[expected[-1]]
        assert partial.received(client, octets) == expected
        assert partial.total == sum(occupied.values()) <= 100
    for client in range(6):
        partial.release(client)
    assert partial.total == 0


def connect(factory):
    client, transport = factory.buildProtocol(None), StringTransport()
    client.makeConnection(transport)
    return client, transport


# Guards against hundreds of clients that stop within a large request and together fill the process's memory.
def test_clients_that_stop_within_a_large_request_give_way_to_others():
    setup = Setup(max_partial=LIMIT)
    try:
        stopped = [connect(setup.factory) for _ in range(50)]
        for client, _ in stopped:
            client.dataReceived(LARGE[:150_000])
        usual, transport = connect(setup.factory)
        for at in range(0, len(LARGE), 1_000):
            usual.dataReceived(LARGE[at : at + 1_000])
        assert len(setup.backend.out) == 1 and not transport.disconnecting
        assert setup.factory.partial_requests.total <= LIMIT
        assert sum(client._end.pending for client, _ in stopped) <= LIMIT
        ended = [wire for _, wire in stopped if wire.disconnecting]
        assert len(ended) == 50 - (LIMIT - len(LARGE)) // 150_000
        notice = notice_of_disconnection(Code.BUSY, "no memory for a request that makes no progress")
        assert all(wire.value() == notice for wire in ended)
        for client, _ in (*stopped, (usual, transport)):
            client.connectionLost()
        assert setup.factory.partial_requests.total == 0
    finally:
        setup.close()


# Guards against a client that writes slowly, each piece of which has all that came before copied and parsed again.
def test_a_message_that_comes_in_pieces_is_parsed_once_it_is_complete(monkeypatch):
    parsed, find_end = [], Framer._message_end

    def counted(framer, data, at, end):
        parsed.append(end - at)
        return find_end(framer, data, at, end)

    monkeypatch.setattr(Framer, "_message_end", counted)
    framer, messages = Framer(), []
    for at in range(0, len(LARGE), 100):
        messages += framer.feed(LARGE[at : at + 100])
    assert messages == [LARGE] and framer.pending == 0
    assert parsed == [100, len(LARGE)]
    first, second = search(1), search(2)
    messages = [found for octet in (first + second)[:-1] for found in framer.feed(bytes((octet,)))]
    assert messages == [first] and framer.feed((first + second)[-1:]) == [second]
