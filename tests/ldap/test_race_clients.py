"""Races between an LDAP client's requests and their withdrawal, over real sockets with a manually driven reactor."""

import select
import socket
from types import SimpleNamespace

import pytest
from twisted.internet.epollreactor import EPollReactor
from twisted.internet.task import Clock

from tests.support.client_sockets import GONE, arrives, go, readable
from tests.support.platform import LOOKUP, Log
from yardbank.directory.codes import Code, Scope
from yardbank.gateway import Gateway, Limits, Reply, ServerSpec
from yardbank.interface import Settings
from yardbank.ldap import codec, intake
from yardbank.ldap import messages as m
from yardbank.ldap.ber import SEQUENCE, Framer, integer, tlv
from yardbank.ldap.classify import Classifier
from yardbank.ldap.front import FrontOptions, LdapFrontFactory

TOP = "dc=porting"
ENDS = ["closed", "half closed", "reset"]


class Backend:
    """Backend whose connections open, and whose servers answer, when the test says so."""

    def __init__(self):
        self.out, self.opening, self.connections_held = [], [], False

    def connect(self, server, ready, lost):
        connection = SimpleNamespace(
            submit=self.submit, abandon=lambda n: None, probe=lambda d: d(None), fit=lambda: True, close=lambda: None
        )
        self.opening.append(lambda: ready(connection))
        if not self.connections_held:
            self.open()
        return lambda: None

    def open(self):
        opening, self.opening = self.opening, []
        for ready_callback in opening:
            ready_callback()

    def submit(self, operation, receiver):
        self.out.append((operation, receiver))
        return len(self.out)

    def describe(self, operation):
        return ""

    def answer(self, at=0):
        done = codec.encode_operation(m.Result(m.Tag.DONE, 0))
        self.out[at][1].attempt_done(Reply("ok", codec.Envelope(1, m.Tag.DONE, done, b"")))


class Setup:
    """Two groups of one server each behind an LDAP listener; the test controls the gateway's clock."""

    def __init__(self, multiplex=1000, **options):
        clock, self.backend, self.log = Clock(), Backend(), Log()
        clock.advance(1000)
        settings = Settings(1, "a", 1, (LOOKUP,), reports="none", checks="refuse", max_attempts=4)
        self.gateway = Gateway(
            settings,
            self.backend,
            reactor=clock,
            seconds=clock.seconds,
            wall=clock.seconds,
            log=self.log,
            limits=Limits(multiplex=multiplex, connections=1),
        )
        groups = {"x": f"ou=x,{TOP}", "y": f"ou=y,{TOP}"}
        self.gateway.apply_list([ServerSpec(f"{name}1", name, "a", "h", at, True) for at, name in enumerate(groups)])
        self.backend.out.clear()
        self.reactor = EPollReactor()
        classifier = Classifier((), groups, "lookup", "lookup")
        self.factory = LdapFrontFactory(self.gateway, classifier, FrontOptions(anonymous=True, **options))
        self.port = self.reactor.listenTCP(0, self.factory, interface="127.0.0.1")

    def until(self, condition, turns=500):
        for _ in range(turns):
            if condition():
                return
            self.reactor.iterate(0.01)
        raise AssertionError("the condition was not met")

    def client(self):
        client_socket = socket.create_connection(self.port.socket.getsockname())
        client_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        client_socket.settimeout(30)
        self.until(lambda: self.factory.clients)
        (front,) = self.factory.clients
        return client_socket, front

    def final_responses(self, client_socket, count):
        """The first final responses as (message ID, code); entries of the gateway's own may precede them."""
        framer, answers = Framer(), []
        while len(answers) < count:
            self.until(lambda: readable(client_socket))
            messages = [codec.decode(frame) for frame in framer.feed(client_socket.recv(1 << 16))]
            answers += [answer for answer in messages if isinstance(answer.operation, m.Result)]
        return [(answer.id, answer.operation.code) for answer in answers]

    def close(self):
        for descriptor in self.reactor.removeAll():
            descriptor.connectionLost(None) if descriptor is self.port else descriptor.socket.close()


@pytest.fixture
def place():
    setup = Setup()
    yield setup
    setup.close()


def search(number, base=f"cn=1,ou=x,{TOP}", scope=Scope.BASE, padding=b""):
    request = m.SearchRequest(base, scope, m.Match("=", "cn", padding) if padding else m.Present("objectClass"))
    return codec.encode(m.Message(number, request))


def abandon(number):
    return codec.encode(m.Message(90_000 + number, m.AbandonRequest(number)))


def cancel(number, own=90_000):
    value = tlv(SEQUENCE, integer(number))
    return codec.encode(m.Message(own, m.ExtendedRequest(m.Oid.CANCEL, value)))


UNBIND = codec.encode(m.Message(99_999, m.UnbindRequest()))
BIND = codec.encode(m.Message(50, m.BindRequest("", b"")))


def wait_for_octets(front, octets):
    """Waits, without running the reactor, until that many octets are in the gateway's socket."""
    gateway_socket = front.transport.socket
    poll = select.poll()
    poll.register(gateway_socket, select.POLLIN)
    for _ in range(1_000_000):
        assert poll.poll(30_000)
        if len(gateway_socket.recv(octets, socket.MSG_PEEK)) == octets:
            return
    raise AssertionError("the octets did not arrive")


def run_reactor(place):
    """Runs the reactor a few times to show that nothing happens; all input is already in the sockets."""
    for _ in range(10):
        place.reactor.iterate(0)


REQUEST_SETS = {
    "one request": (search(1),),
    "200 requests": tuple(map(search, range(1, 201))),
    "a search over groups": (search(1, TOP, Scope.SUBTREE),),
}
each_request_set = pytest.mark.parametrize("asked", REQUEST_SETS.values(), ids=REQUEST_SETS)


@each_request_set
@pytest.mark.parametrize("how", ENDS)
def test_requests_are_not_sent_if_the_client_has_disconnected(place, asked, how):
    client_socket, front = place.client()
    client_socket.sendall(b"".join(asked))
    wait_for_octets(front, sum(map(len, asked)))
    go(client_socket, how)
    arrives(front, GONE)
    place.until(lambda: not place.factory.clients)
    assert not place.backend.out and place.gateway.unanswered == 0


@each_request_set
def test_requests_are_not_sent_if_an_unbind_has_arrived(place, asked):
    client_socket, front = place.client()
    client_socket.sendall(b"".join(asked) + UNBIND)
    wait_for_octets(front, sum(map(len, asked)) + len(UNBIND))
    place.until(lambda: not place.factory.clients)
    assert not place.backend.out and place.gateway.unanswered == 0


@pytest.mark.parametrize("padding", [0, 70_000], ids=["in one read", "in several"])
@each_request_set
def test_requests_are_neither_sent_nor_answered_if_abandons_have_arrived(place, asked, padding):
    client_socket, front = place.client()
    last = b"".join(abandon(number) for number in range(1, len(asked) + 1))
    # the gateway answers this one itself
    between = search(500, f"cn=1,dc=none,{TOP}", padding=b"x" * padding) if padding else b""
    octets = b"".join(asked) + between + last + search(501, f"cn=1,dc=none,{TOP}")
    client_socket.sendall(octets)
    wait_for_octets(front, len(octets))
    found = [(500, Code.NO_SUCH_OBJECT)] if padding else []
    assert place.final_responses(client_socket, len(found) + 1) == [*found, (501, Code.NO_SUCH_OBJECT)]
    assert (
        not place.backend.out and place.gateway.unanswered == 0 and not front._requests and not front._end.outstanding
    )


@pytest.mark.parametrize("where", ["one segment", "two segments"])
def test_abandon_in_the_same_or_the_next_segment_takes_effect(place, where):
    client_socket, front = place.client()
    for octets in [search(1) + abandon(1)] if where == "one segment" else [search(1), abandon(1)]:
        client_socket.sendall(octets)
    wait_for_octets(front, len(search(1) + abandon(1)))
    run_reactor(place)
    assert not place.backend.out and not front._end.outstanding and place.gateway.unanswered == 0


@each_request_set
def test_requests_are_not_sent_if_cancels_have_arrived_and_both_are_answered(place, asked):
    client_socket, front = place.client()
    numbers = range(1, len(asked) + 1)
    octets = b"".join(asked) + b"".join(cancel(number, 90_000 + number) for number in numbers)
    client_socket.sendall(octets)
    wait_for_octets(front, len(octets))
    answers = place.final_responses(client_socket, 2 * len(asked))
    assert sorted(answers) == sorted([(n, Code.CANCELED) for n in numbers] + [(90_000 + n, 0) for n in numbers])
    assert not place.backend.out and place.gateway.unanswered == 0


@pytest.mark.parametrize("action", ["abandon", "cancel", "unbind", *ENDS])
@each_request_set
def test_waiting_requests_are_not_sent_after_their_client_withdrew_them(place, asked, action):
    """The server's connection opens after the client's message has arrived but before the reactor has run."""
    place.backend.connections_held = True
    client_socket, front = place.client()
    client_socket.sendall(b"".join(asked))
    place.until(lambda: len(front._requests) == len(asked))
    message = {"abandon": abandon, "cancel": lambda n: cancel(n, 90_000 + n)}.get(action)
    if action in ENDS:
        go(client_socket, action)
        arrives(front, GONE)
    else:
        octets = UNBIND if action == "unbind" else b"".join(map(message, range(1, len(asked) + 1)))
        client_socket.sendall(octets)
        wait_for_octets(front, len(octets))
    place.backend.open()
    assert not place.backend.out
    run_reactor(place)
    assert not place.backend.out and place.gateway.unanswered == 0


def test_all_abandons_of_one_read_take_effect_before_the_next_request_is_sent(place):
    """Two requests wait for the server's connection, two wait for these; withdrawing the first would send the third."""
    place.backend.connections_held = True
    client_socket, front = place.client()
    client_socket.sendall(b"".join(map(search, range(1, 5))))
    place.until(lambda: len(front._requests) == 4)
    octets = b"".join(map(abandon, range(1, 5)))
    client_socket.sendall(octets)
    wait_for_octets(front, len(octets))
    place.backend.open()  # the read-ahead before the first attempt reads all of them
    assert not place.backend.out and not front._requests
    run_reactor(place)
    assert not place.backend.out and place.gateway.unanswered == 0


@pytest.mark.parametrize("action", ["abandon", *ENDS])
def test_queued_request_is_not_sent_after_its_client_withdrew_it(place, action):
    """A single primary takes two reads at a time: the third waits until one of them is answered."""
    client_socket, front = place.client()
    client_socket.sendall(search(1) + search(2) + search(3))
    place.until(lambda: len(front._requests) == 3)
    assert len(place.backend.out) == 2
    client_socket.sendall(abandon(3)) if action == "abandon" else go(client_socket, action)
    wait_for_octets(front, len(abandon(3))) if action == "abandon" else arrives(front, GONE)
    place.backend.answer()  # the reactor has not run since the message arrived
    assert len(place.backend.out) == 2
    run_reactor(place)
    assert len(place.backend.out) == 2 and place.gateway.unanswered == (action == "abandon")


@pytest.mark.parametrize("action", ["abandon", "half closed", "reset"])
def test_waiting_requests_of_a_client_that_does_not_read_are_not_sent_once_withdrawn(place, action):
    place.backend.connections_held = True
    client_socket, front = place.client()
    client_socket.sendall(search(1))
    place.until(lambda: 1 in front._requests)
    front.pauseProducing()  # as the transport does when its write buffer is full
    assert front.transport not in place.reactor.getReaders()
    client_socket.sendall(abandon(1) + search(2)) if action == "abandon" else go(client_socket, action)
    wait_for_octets(front, len(abandon(1) + search(2))) if action == "abandon" else arrives(front, GONE)
    place.backend.open()
    run_reactor(place)
    assert not place.backend.out and place.gateway.unanswered == 0
    if action == "abandon":  # the second waits until the client reads
        assert list(front._queue) == [2]
        front.resumeProducing()
        assert len(place.backend.out) == 1 and list(front._requests) == [2]
    else:
        assert not place.factory.clients


def test_request_read_ahead_before_an_attempt_is_served_in_order(place):
    place.backend.connections_held = True
    client_socket, front = place.client()
    client_socket.sendall(search(1))
    place.until(lambda: 1 in front._requests)
    client_socket.sendall(search(2))
    wait_for_octets(front, len(search(2)))
    place.backend.open()
    assert len(place.backend.out) == 1 and list(front._queue) == [2]
    place.until(lambda: len(place.backend.out) == 2)
    assert not front._queue and front._queued_octets == 0


def test_bind_between_requests_is_served_in_order_and_cannot_be_abandoned_or_cancelled(place):
    client_socket, front = place.client()
    octets = search(1) + BIND + search(2) + abandon(50) + cancel(50)
    client_socket.sendall(octets)
    wait_for_octets(front, len(octets))
    assert place.final_responses(client_socket, 2) == [(90_000, Code.CANNOT_CANCEL), (50, 0)]
    assert list(front._requests) == [2] and front._end.outstanding == {2}
    place.backend.answer(-1)
    assert place.final_responses(client_socket, 1) == [(2, 0)]


def test_outstanding_operations_are_limited_not_counting_those_answered_at_once():
    place = Setup(max_outstanding=2)
    try:
        client_socket, _ = place.client()
        whoami = [codec.encode(m.Message(n, m.ExtendedRequest(m.Oid.WHO_AM_I))) for n in range(1, 6)]
        client_socket.sendall(b"".join(whoami))
        assert place.final_responses(client_socket, 5) == [(n, 0) for n in range(1, 6)]
        client_socket.sendall(search(6) + search(7) + search(8))
        assert place.final_responses(client_socket, 1) == [(0, Code.BUSY)]
        place.until(lambda: not place.factory.clients)
        assert place.gateway.unanswered == 0
    finally:
        place.close()


@pytest.mark.parametrize("how", ENDS)
@pytest.mark.parametrize("bound", ["octets", "reads", "requests"])
def test_read_ahead_is_limited_and_a_disconnect_beyond_the_limit_is_still_detected(place, how, bound, monkeypatch):
    place.backend.connections_held = True
    client_socket, front = place.client()
    client_socket.sendall(search(1))
    place.until(lambda: 1 in front._requests)
    front.pauseProducing()
    asked = [search(number, padding=b"x" * 400) for number in range(2, 32)]
    front.transport.bufferSize = len(asked[0])
    if bound == "octets":
        monkeypatch.setattr(intake, "READ_AHEAD_MAX_OCTETS", 4 * len(asked[0]))
    elif bound == "requests":
        front._max_outstanding = 5
    monkeypatch.setattr(intake, "READ_AHEAD_MAX_READS", 5 if bound == "reads" else 100)
    client_socket.sendall(b"".join(asked))
    wait_for_octets(front, sum(map(len, asked)))
    assert front.present(1) and len(front._queue) == 5
    assert front.present(1) and len(front._queue) == (10 if bound == "reads" else 5)
    go(client_socket, how)
    arrives(front, GONE)
    assert not front.present(1)
    assert [event for event, _ in place.log.lines].count("client_read_ahead_bound") == 1
    place.backend.open()
    assert not place.backend.out


@pytest.mark.parametrize(
    "message", [BIND, UNBIND, abandon(1) + abandon(2) + abandon(3)], ids=["bind", "unbind", "abandon"]
)
def test_all_requests_withdrawn_together_are_unwanted_before_the_gateway_learns_of_the_first(
    place, message, monkeypatch
):
    """Withdrawing one request may send the next one waiting: none of the others may count as wanted then."""
    client_socket, front = place.client()
    client_socket.sendall(search(1) + search(2) + search(3))
    place.until(lambda: len(front._requests) == 3)
    leave, wanted = place.gateway.leave, []

    def record_leave(number):
        wanted.append([each for each in (1, 2, 3) if front.present(each)])
        leave(number)

    monkeypatch.setattr(place.gateway, "leave", record_leave)
    client_socket.sendall(message)
    wait_for_octets(front, len(message))
    place.until(lambda: not front._requests)
    assert wanted == [[], [], []]
