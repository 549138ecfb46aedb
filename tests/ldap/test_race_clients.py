"""Crossings of an LDAP client's requests and what takes them back, on real sockets whose reactor turns when told."""

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
    """Its connections open when told, and its servers answer when told."""

    def __init__(self):
        self.out, self.opening, self.held = [], [], False

    def connect(self, server, ready, lost):
        way = SimpleNamespace(
            submit=self.submit, abandon=lambda n: None, probe=lambda d: d(None), fit=lambda: True, close=lambda: None
        )
        self.opening.append(lambda: ready(way))
        if not self.held:
            self.open()
        return lambda: None

    def open(self):
        opening, self.opening = self.opening, []
        for up in opening:
            up()

    def submit(self, operation, receiver):
        self.out.append((operation, receiver))
        return len(self.out)

    def describe(self, operation):
        return ""

    def answer(self, at=0):
        done = codec.encode_operation(m.Result(m.Tag.DONE, 0))
        self.out[at][1].attempt_done(Reply("ok", codec.Envelope(1, m.Tag.DONE, done, b"")))


class Place:
    """Two groups of one server each behind an LDAP front; the gateway's clock is the test's own."""

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
        raise AssertionError("it never came to pass")

    def client(self):
        far = socket.create_connection(self.port.socket.getsockname())
        far.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        far.settimeout(30)
        self.until(lambda: self.factory.clients)
        (near,) = self.factory.clients
        return far, near

    def got(self, far, count):
        """The first final answers, by message ID; the gateway's own entries of a search may come before."""
        framer, answers = Framer(), []
        while len(answers) < count:
            self.until(lambda: readable(far))
            came = [codec.decode(frame) for frame in framer.feed(far.recv(1 << 16))]
            answers += [answer for answer in came if isinstance(answer.operation, m.Result)]
        return [(answer.id, answer.operation.code) for answer in answers]

    def close(self):
        for descriptor in self.reactor.removeAll():
            descriptor.connectionLost(None) if descriptor is self.port else descriptor.socket.close()


@pytest.fixture
def place():
    made = Place()
    yield made
    made.close()


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


def lying(near, octets):
    """Wait, without a turn of the reactor, until that many octets lie in the gateway's socket."""
    held = near.transport.socket
    poll = select.poll()
    poll.register(held, select.POLLIN)
    for _ in range(1_000_000):
        assert poll.poll(30_000)
        if len(held.recv(octets, socket.MSG_PEEK)) == octets:
            return
    raise AssertionError("it never came to lie there")


def turn(place):
    """Some turns, for what should not come to pass; all that could lead to it lies in sockets already."""
    for _ in range(10):
        place.reactor.iterate(0)


ASKED = {
    "one request": (search(1),),
    "200 requests": tuple(map(search, range(1, 201))),
    "a search over groups": (search(1, TOP, Scope.SUBTREE),),
}
each_asked = pytest.mark.parametrize("asked", ASKED.values(), ids=ASKED)


@each_asked
@pytest.mark.parametrize("how", ENDS)
def test_what_an_end_lies_behind_is_not_sent(place, asked, how):
    far, near = place.client()
    far.sendall(b"".join(asked))
    lying(near, sum(map(len, asked)))
    go(far, how)
    arrives(near, GONE)
    place.until(lambda: not place.factory.clients)
    assert not place.backend.out and place.gateway.unanswered == 0


@each_asked
def test_what_an_unbind_lies_behind_is_not_sent(place, asked):
    far, near = place.client()
    far.sendall(b"".join(asked) + UNBIND)
    lying(near, sum(map(len, asked)) + len(UNBIND))
    place.until(lambda: not place.factory.clients)
    assert not place.backend.out and place.gateway.unanswered == 0


@pytest.mark.parametrize("padding", [0, 70_000], ids=["in one read", "in several"])
@each_asked
def test_what_abandons_lie_behind_is_not_sent_and_not_answered(place, asked, padding):
    far, near = place.client()
    last = b"".join(abandon(number) for number in range(1, len(asked) + 1))
    between = search(500, f"cn=1,dc=none,{TOP}", padding=b"x" * padding) if padding else b""  # answered by the gateway
    octets = b"".join(asked) + between + last + search(501, f"cn=1,dc=none,{TOP}")
    far.sendall(octets)
    lying(near, len(octets))
    found = [(500, Code.NO_SUCH_OBJECT)] if padding else []
    assert place.got(far, len(found) + 1) == [*found, (501, Code.NO_SUCH_OBJECT)]
    assert not place.backend.out and place.gateway.unanswered == 0 and not near._requests and not near._end.outstanding


@pytest.mark.parametrize("where", ["one segment", "two segments"])
def test_an_abandon_in_the_same_segment_or_the_next_counts(place, where):
    far, near = place.client()
    for octets in [search(1) + abandon(1)] if where == "one segment" else [search(1), abandon(1)]:
        far.sendall(octets)
    lying(near, len(search(1) + abandon(1)))
    turn(place)
    assert not place.backend.out and not near._end.outstanding and place.gateway.unanswered == 0


@each_asked
def test_what_a_cancel_lies_behind_is_not_sent_and_both_are_answered(place, asked):
    far, near = place.client()
    numbers = range(1, len(asked) + 1)
    octets = b"".join(asked) + b"".join(cancel(number, 90_000 + number) for number in numbers)
    far.sendall(octets)
    lying(near, len(octets))
    answers = place.got(far, 2 * len(asked))
    assert sorted(answers) == sorted([(n, Code.CANCELED) for n in numbers] + [(90_000 + n, 0) for n in numbers])
    assert not place.backend.out and place.gateway.unanswered == 0


@pytest.mark.parametrize("means", ["abandon", "cancel", "unbind", *ENDS])
@each_asked
def test_what_waits_in_the_gateway_is_not_sent_once_its_client_has_taken_it_back(place, asked, means):
    """The server's connection comes up after the client's word has come, and before the reactor has had a turn."""
    place.backend.held = True
    far, near = place.client()
    far.sendall(b"".join(asked))
    place.until(lambda: len(near._requests) == len(asked))
    word = {"abandon": abandon, "cancel": lambda n: cancel(n, 90_000 + n)}.get(means)
    if means in ENDS:
        go(far, means)
        arrives(near, GONE)
    else:
        octets = UNBIND if means == "unbind" else b"".join(map(word, range(1, len(asked) + 1)))
        far.sendall(octets)
        lying(near, len(octets))
    place.backend.open()
    assert not place.backend.out
    turn(place)
    assert not place.backend.out and place.gateway.unanswered == 0


def test_abandons_of_one_read_count_together_before_any_of_them_lets_the_next_request_go(place):
    """Two wait for the server's connection, two for those; to leave the first lets the third go."""
    place.backend.held = True
    far, near = place.client()
    far.sendall(b"".join(map(search, range(1, 5))))
    place.until(lambda: len(near._requests) == 4)
    octets = b"".join(map(abandon, range(1, 5)))
    far.sendall(octets)
    lying(near, len(octets))
    place.backend.open()  # the look before the first attempt reads them all
    assert not place.backend.out and not near._requests
    turn(place)
    assert not place.backend.out and place.gateway.unanswered == 0


@pytest.mark.parametrize("means", ["abandon", *ENDS])
def test_what_waits_behind_a_request_is_not_sent_when_that_is_answered_after_its_client_took_it_back(place, means):
    """A lone primary takes two reads at a time: the third is held until one of them is answered."""
    far, near = place.client()
    far.sendall(search(1) + search(2) + search(3))
    place.until(lambda: len(near._requests) == 3)
    assert len(place.backend.out) == 2
    far.sendall(abandon(3)) if means == "abandon" else go(far, means)
    lying(near, len(abandon(3))) if means == "abandon" else arrives(near, GONE)
    place.backend.answer()  # the reactor has had no turn since the word came
    assert len(place.backend.out) == 2
    turn(place)
    assert len(place.backend.out) == 2 and place.gateway.unanswered == (means == "abandon")


@pytest.mark.parametrize("means", ["abandon", "half closed", "reset"])
def test_what_a_client_that_reads_nothing_has_waiting_is_not_sent_once_it_goes(place, means):
    place.backend.held = True
    far, near = place.client()
    far.sendall(search(1))
    place.until(lambda: 1 in near._requests)
    near.pauseProducing()  # as the transport says when it holds too much
    assert near.transport not in place.reactor.getReaders()
    far.sendall(abandon(1) + search(2)) if means == "abandon" else go(far, means)
    lying(near, len(abandon(1) + search(2))) if means == "abandon" else arrives(near, GONE)
    place.backend.open()
    turn(place)
    assert not place.backend.out and place.gateway.unanswered == 0
    if means == "abandon":  # the second waits until the client reads
        assert list(near._queue) == [2]
        near.resumeProducing()
        assert len(place.backend.out) == 1 and list(near._requests) == [2]
    else:
        assert not place.factory.clients


def test_a_request_that_is_read_while_another_is_looked_at_is_served_in_its_turn(place):
    place.backend.held = True
    far, near = place.client()
    far.sendall(search(1))
    place.until(lambda: 1 in near._requests)
    far.sendall(search(2))
    lying(near, len(search(2)))
    place.backend.open()
    assert len(place.backend.out) == 1 and list(near._queue) == [2]
    place.until(lambda: len(place.backend.out) == 2)
    assert not near._queue and near._queued_octets == 0


def test_a_bind_between_requests_keeps_its_place_and_cannot_be_taken_back(place):
    far, near = place.client()
    octets = search(1) + BIND + search(2) + abandon(50) + cancel(50)
    far.sendall(octets)
    lying(near, len(octets))
    assert place.got(far, 2) == [(90_000, Code.CANNOT_CANCEL), (50, 0)]
    assert list(near._requests) == [2] and near._end.outstanding == {2}
    place.backend.answer(-1)
    assert place.got(far, 1) == [(2, 0)]


def test_operations_outstanding_are_bounded_and_those_answered_at_once_do_not_count():
    place = Place(max_outstanding=2)
    try:
        far, _ = place.client()
        whoami = [codec.encode(m.Message(n, m.ExtendedRequest(m.Oid.WHO_AM_I))) for n in range(1, 6)]
        far.sendall(b"".join(whoami))
        assert place.got(far, 5) == [(n, 0) for n in range(1, 6)]
        far.sendall(search(6) + search(7) + search(8))
        assert place.got(far, 1) == [(0, Code.BUSY)]
        place.until(lambda: not place.factory.clients)
        assert place.gateway.unanswered == 0
    finally:
        place.close()


@pytest.mark.parametrize("how", ENDS)
@pytest.mark.parametrize("bound", ["octets", "reads", "requests"])
def test_reading_ahead_is_bounded_and_an_end_behind_the_bound_is_still_seen(place, how, bound, monkeypatch):
    place.backend.held = True
    far, near = place.client()
    far.sendall(search(1))
    place.until(lambda: 1 in near._requests)
    near.pauseProducing()
    asked = [search(number, padding=b"x" * 400) for number in range(2, 32)]
    near.transport.bufferSize = len(asked[0])
    if bound == "octets":
        monkeypatch.setattr(intake, "READ_AHEAD_MAX_OCTETS", 4 * len(asked[0]))
    elif bound == "requests":
        near._max_outstanding = 5
    monkeypatch.setattr(intake, "READ_AHEAD_MAX_READS", 5 if bound == "reads" else 100)
    far.sendall(b"".join(asked))
    lying(near, sum(map(len, asked)))
    assert near.present(1) and len(near._queue) == 5
    assert near.present(1) and len(near._queue) == (10 if bound == "reads" else 5)
    go(far, how)
    arrives(near, GONE)
    assert not near.present(1)
    assert [event for event, _ in place.log.lines].count("client_read_ahead_bound") == 1
    place.backend.open()
    assert not place.backend.out


@pytest.mark.parametrize(
    "word", [BIND, UNBIND, abandon(1) + abandon(2) + abandon(3)], ids=["bind", "unbind", "abandon"]
)
def test_all_that_one_word_takes_back_is_unwanted_before_the_gateway_hears_of_the_first(place, word, monkeypatch):
    """To leave one request may send the next that waits: none of the others may count as wanted then."""
    far, near = place.client()
    far.sendall(search(1) + search(2) + search(3))
    place.until(lambda: len(near._requests) == 3)
    leave, wanted = place.gateway.leave, []

    def heard(number):
        wanted.append([each for each in (1, 2, 3) if near.present(each)])
        leave(number)

    monkeypatch.setattr(place.gateway, "leave", heard)
    far.sendall(word)
    lying(near, len(word))
    place.until(lambda: not near._requests)
    assert wanted == [[], [], []]
