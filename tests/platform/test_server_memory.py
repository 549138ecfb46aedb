"""Memory of answers that servers send: what is reserved for them, and what becomes of answers that never end."""

import itertools
import socket
import threading

import pytest
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport

from tests.platform.test_memory import MEMORY_MB, peak_mb
from tests.support.platform import AUTHENTICATED, ENTRY, ENV, KINDS, READ, READY, START, parameter, query, row
from tests.support.platform_process import serving
from yardbank.gateway.api import MS, SECOND
from yardbank.pg import messages as pg
from yardbank.pg.state import MAX_GREETING_OCTETS
from yardbank.pg.wire import Frame, int16, int32, text
from yardbank.platform.backend import ServerConnection
from yardbank.platform.connection_memory import CHECK_INTERVAL, ConnectionMemory
from yardbank.platform.memory_budget import MAX_MESSAGE_WAIT, STALL_TIME, MemoryBudget
from yardbank.platform.server import MAX_EXTRAS, MAX_MESSAGE_OCTETS, ServerSession
from yardbank.platform.statement import Operation, read_statement

LARGE_VALUE = bytes(300_000)
GUARANTEED = 4 << 10
SERVERS = 4
SPOILT_EVERY = 4
CLIENTS, REQUESTS_OF_CLIENT = 50, 10


def unfinished(kind, octets):
    """A message of a server without its last octet."""
    return kind + int32(octets + 4) + bytes(octets - 1)


def large_parameters():
    return b"".join(parameter(f"p{number}", "x" * 900_000) for number in range(40))


DESCRIPTION = row()[: row().index(b"D")]
NEVER_ENDING = {
    "row": DESCRIPTION + unfinished(b"D", 1_000_000),
    "shorter row": DESCRIPTION + unfinished(b"D", 400_000),
    "error": unfinished(b"E", 1_000_000),
    "notice": unfinished(b"N", 1_000_000),
    "parameters": row() + large_parameters(),
    "used parameter": row() + parameter("gauges", "x" * 1_000_000),
    "error of short fields": Frame(ord("E"), b"Ma\0" * 330_000 + b"\0").encode(),
}
GREETINGS = {
    "greeting of parameters": large_parameters(),
    "unfinished greeting": unfinished(b"S", 1_000_000),
}


class SpoilingServer:
    """Answers statements; spoils one in ``SPOILT_EVERY`` greetings or answers."""

    def __init__(self, greeting=b"", answer=b""):
        self._greeting = greeting
        self._answer = answer
        self._connections = itertools.count()
        self._statements = itertools.count()
        self._listening = socket.create_server(("127.0.0.1", 0), backlog=512)
        self.address = f"127.0.0.1:{self._listening.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                made, _ = self._listening.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(made,), daemon=True).start()

    def _serve(self, made):
        try:
            made.recv(1000)
            is_spoilt = self._greeting and next(self._connections) % SPOILT_EVERY == 1
            made.sendall(self._greeting if is_spoilt else AUTHENTICATED)
            while made.recv(1000):
                is_spoilt = self._answer and next(self._statements) % SPOILT_EVERY == 1
                made.sendall(self._answer if is_spoilt else row() + parameter("part", "replica") + READY)
        except OSError:
            pass  # the gateway has closed the connection

    def close(self):
        self._listening.close()


def ask(port, number, answers):
    """Sends requests one after the other on one connection; appends the octets of each answer."""
    with socket.create_connection(("127.0.0.1", port), timeout=30) as client:
        client.sendall(START)
        read_answer(client)
        for turn in range(REQUESTS_OF_CLIENT):
            statement = READ.replace("id=a1", f"id=r{number}-{turn}").replace("d=480", "d=3000")
            client.sendall(query(statement.replace("cluster=2", "cluster=3")))
            answers.append(read_answer(client))


def read_answer(client):
    received = b""
    while not received.endswith(READY) and (octets := client.recv(4096)):
        received += octets
    return received


# Guards against limits on each server connection whose sum exceeds the memory limit: the platform kills the gateway.
@pytest.mark.parametrize(
    "spoilt",
    [{"answer": answer} for answer in NEVER_ENDING.values()] + [{"greeting": octets} for octets in GREETINGS.values()],
    ids=[*NEVER_ENDING, *GREETINGS],
)
def test_answers_that_never_end_stay_within_the_memory_limit(tmp_path, spoilt):
    servers = [SpoilingServer(**spoilt) for _ in range(SERVERS)]
    entries = [
        {**ENTRY, "instanceId": f"s-{number}", "hostPort": server.address, "part": "replica", "startedAtMs": 0}
        for number, server in enumerate(servers)
    ]
    known = {"generation": 41, "reset": True, "instances": entries}
    limits = {"cores": 0.5, "memory_mb": MEMORY_MB, "sockets": 512}
    services = [
        {"name": "lookup", "aim": SECOND, "hard_limit": 3 * SECOND, "effect": "pure"},
        {"name": "commit", "aim": SECOND, "hard_limit": 3 * SECOND, "effect": "side_effect"},
    ]
    domain = {**ENV["domain"], "lag_allowed": [800 * SECOND, 0]}
    process, port, _, _watch = serving(
        tmp_path, known=known, limits=limits, settings={**ENV, "services": services, "domain": domain}
    )
    answers = []
    try:
        clients = [threading.Thread(target=ask, args=(port, number, answers)) for number in range(CLIENTS)]
        for client in clients:
            client.start()
        for client in clients:
            client.join()
        assert peak_mb(process) < MEMORY_MB
        assert len(answers) == CLIENTS * REQUESTS_OF_CLIENT and all(answer.endswith(READY) for answer in answers)
    finally:
        process.kill()
        process.wait()
        for server in servers:
            server.close()


class Rig:
    """Server connections that share a budget, and the ends of their attempts."""

    def __init__(self, shared):
        self.clock, self.ends, self._numbers = Clock(), {}, itertools.count()
        self.memory = ConnectionMemory(
            MemoryBudget(shared, GUARANTEED, min_shared=0), self.now, self._call_at, on_full=lambda: None
        )

    def now(self):
        return int(self.clock.seconds() * SECOND)

    def _call_at(self, at, call):
        return self.clock.callLater(max(0, at - self.now()) / SECOND, call).cancel

    def advance(self, duration):
        for _ in range(duration // (10 * MS)):
            self.clock.advance(0.01)

    def asked(self):
        """Returns a connection with one statement that is not answered, and its transport."""
        number, transport = next(self._numbers), StringTransport()
        transport.setTcpNoDelay = lambda on: None
        connection = ServerConnection(self.now, lambda _: None, lambda reason: None, memory=self.memory, number=number)
        connection.makeConnection(transport)
        connection.dataReceived(AUTHENTICATED)
        connection.submit(Operation(read_statement(READ, KINDS), 400 * MS), Receiver(self.ends, number))
        return connection, transport


class Receiver:
    def __init__(self, ends, number):
        self._ends, self._number = ends, number

    def attempt_done(self, reply):
        self._ends[self._number] = reply

    def attempt_lost(self, reason):
        self._ends[self._number] = reason


def test_a_large_answer_waits_for_memory_and_is_then_received_whole():
    rig = Rig(400_000)
    (first, _), (second, transport) = rig.asked(), rig.asked()
    answer = row(LARGE_VALUE) + READY
    first.dataReceived(answer[:200_000])
    second.dataReceived(answer[:1_000])
    assert transport.producerState == "paused" and rig.memory.view()["waiting"] == 1
    first.dataReceived(answer[200_000:])
    assert transport.producerState == "producing" and rig.ends[0].payload == row(LARGE_VALUE)
    second.dataReceived(answer[1_000:])
    assert rig.ends[1].payload == row(LARGE_VALUE) and rig.memory.view()["used"] == 0


# Guards against answers that never end and keep the memory from sound ones until their attempts' time is over.
def test_an_answer_without_progress_is_given_up_for_one_that_waits():
    rig = Rig(400_000)
    (spoilt, wire), (sound, transport) = rig.asked(), rig.asked()
    spoilt.dataReceived(NEVER_ENDING["row"][:200_000])
    assert wire.producerState == "paused"  # a message that does not fit at all waits as well
    rig.advance(MAX_MESSAGE_WAIT + 2 * CHECK_INTERVAL)
    assert rig.ends[0].status == "error" and "no memory" in rig.ends[0].reason and wire.disconnecting
    (spoilt, wire) = rig.asked()
    spoilt.dataReceived(NEVER_ENDING["shorter row"][:300_000])
    sound.dataReceived(row(LARGE_VALUE)[:1_000])
    assert transport.producerState == "paused" or wire.producerState == "paused"
    rig.advance(STALL_TIME + 2 * CHECK_INTERVAL)
    sound.dataReceived(row(LARGE_VALUE)[1_000:] + READY)
    assert rig.ends[1].payload == row(LARGE_VALUE)


def test_a_short_answer_is_received_whatever_others_occupy():
    rig = Rig(0)
    for _ in range(20):
        rig.asked()[0].dataReceived(NEVER_ENDING["row"][:60_000])
    usual, transport = rig.asked()
    usual.dataReceived(row()[:10])
    assert transport.producerState == "producing"
    usual.dataReceived(row()[10:] + READY)
    assert rig.ends[20].payload == row()


def test_a_connection_that_ends_frees_the_memory_of_its_answer():
    rig = Rig(400_000)
    (first, _), (second, transport) = rig.asked(), rig.asked()
    first.dataReceived(row(LARGE_VALUE)[:1_000])
    second.dataReceived(row(LARGE_VALUE)[:1_000])
    assert transport.producerState == "paused"
    first.abandon(0)
    first.close()
    assert transport.producerState == "producing" and rig.memory.view()["waiting"] == 0


def opened():
    session = ServerSession()
    session.receive(AUTHENTICATED)
    return session


# Guards against parameters with names of a server's choice that stay in memory as long as the connection.
def test_parameters_that_are_not_used_are_not_kept():
    session = opened()
    session.start_statement("SELECT")
    session.receive(row() + b"".join(parameter(f"p{number}", "x" * 90_000) for number in range(64)))
    assert session.memory_to_read().occupied < 1_000 and not session.broken
    session.receive(parameter("one more", ""))
    assert "parameters" in session.broken


# Guards against an answer of notices without end, each read of which holds up the event loop.
def test_an_answer_has_a_limited_number_of_notices():
    session = opened()
    session.start_statement("SELECT")
    notice = pg.write_fault(pg.Fault((("M", "x"),), notice=True)).encode()
    session.receive(row() + notice * MAX_EXTRAS)
    assert not session.broken and session.memory_to_read().occupied < 1_000
    session.receive(notice * 10_000)
    assert session.broken == f"more than {MAX_EXTRAS} parameters and notices"


@pytest.mark.parametrize("kind", [b"D", b"E", b"S"], ids=["row", "error", "parameter"])
def test_all_octets_that_are_kept_of_an_answer_count_against_its_limit(kind):
    session = opened()
    session.start_statement("SELECT")
    session.receive(DESCRIPTION)
    body = {
        b"D": int16(1) + int32(MAX_MESSAGE_OCTETS - 6) + bytes(MAX_MESSAGE_OCTETS - 6),
        b"E": b"M" + b"x" * (MAX_MESSAGE_OCTETS - 3) + b"\0\0",
        b"S": text("gauges") + b"x" * (MAX_MESSAGE_OCTETS - 8) + b"\0",
    }[kind]
    session.receive(Frame(kind[0], body).encode())
    assert not session.broken and session.memory_to_read().occupied > MAX_MESSAGE_OCTETS
    session.receive(parameter("part", "x" * 100_000))
    assert "an answer of more than" in session.broken


def test_a_greeting_is_bounded_in_octets():
    session = ServerSession()
    session.receive(parameter("a", "x" * (MAX_GREETING_OCTETS // 2)))
    assert session.memory_to_read().occupied > MAX_GREETING_OCTETS // 2 and not session.broken
    session.receive(parameter("b", "x" * (MAX_GREETING_OCTETS // 2)))
    assert session.broken and not session.open
    assert session.memory_to_read().wanted == 0
    session = ServerSession()
    session.receive(b"S" + int32(MAX_GREETING_OCTETS + 100))
    assert session.broken


# Guards against octets that a server sends between answers, of which a message without an end would be kept.
def test_the_beginning_of_a_message_that_nobody_asked_for_breaks_the_connection():
    session = opened()
    session.receive(b"D")
    assert session.broken == "more than was asked for"
