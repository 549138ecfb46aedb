"""Shared by the platform tests: a deployment, octets of each protocol, a gateway over string transports."""

from types import SimpleNamespace

import orjson
from twisted.internet.task import Clock
from twisted.internet.testing import MemoryReactorClock, StringTransport

from yardbank.gateway import Gateway, Limits, ServerSpec
from yardbank.gateway.api import MS, SECOND
from yardbank.gateway.positions import ClockPositions
from yardbank.interface import RequestClass, Settings
from yardbank.pg import messages as pg
from yardbank.pg.wire import VERSION_3_0, Frame, int16, int32, text, value
from yardbank.platform.admission import Admission, AdmissionLimits, Descriptors
from yardbank.platform.client import PRESENCE_PROBE, Received
from yardbank.platform.config import (
    load_config,
)
from yardbank.platform.front import ClientFactory
from yardbank.platform.listing import Listing
from yardbank.platform.memory_budget import MemoryBudget
from yardbank.platform.service import Service

LOOKUP = RequestClass("lookup", 500 * MS, 1500 * MS, 2, 0, "safe", read="bounded", staleness_bound=800 * MS)
STATUS = RequestClass("status", 750 * MS, 2000 * MS, 1, 0.2, "safe", read="session")
COMMIT = RequestClass("commit", 500 * MS, 3000 * MS, 3, 0.7, "unsafe", read="write")
KINDS = {kind.name: kind for kind in (LOOKUP, STATUS, COMMIT)}
READ = "/* id=a1,c=lookup,d=480,cluster=2 */ SELECT content FROM kv WHERE name = '7f3a'"
WRITE = (
    "/* id=a2,c=commit,d=900,cluster=2 */ INSERT INTO kv (name, content) VALUES ('7f3a', '\\x9f03') RETURNING content"
)


ENTRY = {
    "instanceId": "s-1",
    "hostPort": "127.0.0.1:6432",
    "zone": "a",
    "cell": 3,
    "lifecycle": "Ready",
    "part": "master",
    "machineType": "m2",
    "weight": 1.5,
    "startedAtMs": 1500,
}


ENV = {
    "domain": {
        "checks": "bounce",
        "class_read": ["lag_bound", "mutate"],
        "lag_allowed": [800000000, 0],
        "session_marks": "brought",
    },
    "services": [
        {"name": "lookup", "aim": 1, "hard_limit": 2, "effect": "pure"},
        {"name": "commit", "aim": 1, "hard_limit": 2, "effect": "side_effect"},
    ],
    "ceilings": {"idle_close": 20_000_000_000},
}
CONFIG = {
    "name": "n3",
    "listen": "127.0.0.4:6432",
    "discovery": "127.0.0.9:8500",
    "seed": "8c1f30d27a5be964",
    "limits": {"cores": 0.5, "memory_mb": 64, "sockets": 256},
    "settings": ENV,
    "known": {"generation": 41, "reset": True, "instances": [ENTRY]},
}


HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
LINE = orjson.dumps({"generation": 43, "reset": False, "instances": [ENTRY]}) + b"\n"


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


def connected(reactor):
    host, port, factory, _, _ = reactor.tcpClients[-1]
    made, transport = factory.buildProtocol(None), StringTransport()
    made.makeConnection(transport)
    return made, transport, (host, port)


class Log:
    def __init__(self):
        self.lines = []

    def bind(self, **more):
        return self

    def __getattr__(self, level):
        return lambda event, **facts: self.lines.append((event, facts))


START = pg.encode_client(pg.Startup(VERSION_3_0, (("user", "backend"), ("database", "store")))).encode()


def query(statement):
    return pg.encode_client(pg.Query(statement)).encode()


def answers_in(transport):
    """What a client connection was sent, without the messages that only test whether the client is there."""
    return transport.value().replace(PRESENCE_PROBE, b"")


def receive(session, octets, now):
    """Passes octets to a client session that has memory for all of them; returns the output and expedited commands."""
    session.receive(octets, now, now)
    output, expedited = b"", []
    while (received := session.process_message(now)) is not None:
        output += received.output
        expedited += received.expedited
    return Received(output, expedited)


AUTHENTICATED = Frame(ord("R"), int32(0)).encode() + Frame(ord("Z"), b"I").encode()
READY = Frame(ord("Z"), b"I").encode()
DESCRIPTION = Frame(ord("T"), int16(1) + text("content") + bytes(18))


def parameter(name, held):
    return Frame(ord("S"), text(name) + text(held)).encode()


def row(held=b"\x9f\x03", tag="SELECT 1"):
    frames = (DESCRIPTION, Frame(ord("D"), int16(1) + value(held)), Frame(ord("C"), text(tag)))
    return b"".join(frame.encode() for frame in frames)


class Backend:
    """Accepts statements; the test answers them."""

    def __init__(self):
        self.out = []

    def connect(self, server, ready, lost):
        ready(
            SimpleNamespace(
                submit=self.submit,
                abandon=lambda n: None,
                probe=lambda d: d(None),
                fit=lambda: True,
                close=lambda: None,
            )
        )
        return lambda: None

    def submit(self, operation, receiver):
        operation.sent = True
        self.out.append((operation, receiver))
        return 0

    def describe(self, operation):
        return ""


class World:
    def __init__(self, connections=90, replicas=1, budget=None):
        self.clock, self.backend, self.log = Clock(), Backend(), Log()
        self.clock.advance(1000)
        settings = Settings(
            1,
            "a",
            1,
            tuple(KINDS.values()),
            checks="refuse",
            tokens="carried",
            may_cancel=True,
            max_attempts=4,
            max_retry_after=2 * SECOND,
        )
        self.gateway = Gateway(
            settings,
            self.backend,
            reactor=self.clock,
            seconds=self.clock.seconds,
            wall=self.clock.seconds,
            log=self.log,
            limits=Limits(multiplex=1, connections=50),
            positions=ClockPositions(),
        )
        copies = [ServerSpec(f"r{n}" if n else "r", "2", "a", "h", 2 + n) for n in range(replicas)]
        self.gateway.apply_list([ServerSpec("p", "2", "a", "h", 1, True), *copies])
        descriptors = Descriptors(connections, 0)
        budget = budget or MemoryBudget.of(64)
        self.factory = ClientFactory(self.gateway, Admission(AdmissionLimits()), descriptors, KINDS, self.log, budget)

    def connect(self, first=START):
        made, transport = self.factory.buildProtocol(None), StringTransport()
        transport.setTcpNoDelay = lambda on: None
        made.makeConnection(transport)
        if first:
            made.dataReceived(first)
        transport.clear()
        return made, transport

    def finish_turns(self):
        """Lets connections that wait for a later turn of the event loop go on."""
        while self.factory.turns.waiting_count:
            self.clock.advance(0)


class Reactor(MemoryReactorClock):
    """Counts how often it was stopped."""

    stops = 0

    def stop(self):
        self.stops += 1

    def connectTCP(self, *arguments, **named):  # noqa: N802
        connector = super().connectTCP(*arguments, **named)
        connector.state = "connecting"
        return connector


def listening(reactor, host, port, factory):
    made = reactor.listenTCP(port, factory, interface=host)
    made.accept_waiting = lambda: False
    return made


def service(tmp_path, hears_list=True, **change):
    """A service on a test reactor; ``hears_list``: discovery's first list has arrived and changes nothing."""
    file = tmp_path / "config.json"
    file.write_bytes(orjson.dumps({**CONFIG, **change}))
    reactor, log = Reactor(), Log()
    made = Service(load_config({"NODE_CONFIG": str(file)}), reactor, log, listening)
    made.start()
    if hears_list:
        made._apply_listing(Listing(made.config.known.generation, False, {}))
    return made, reactor, log, file
