"""A gateway of the platform with generated settings, driven over string transports; its trace contains no names.

Scripts refer to classes, groups, zones and servers by number, and the deployment gives each number a name. Two runs of
one script with different names have the same trace, unless a decision depends on a name.
"""

import re
from types import SimpleNamespace

import orjson
from twisted.internet.error import ConnectionRefusedError
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure

from tests.support.platform import AUTHENTICATED, READY, START, Log, parameter, query, row
from yardbank.gateway import Gateway, Limits
from yardbank.gateway.api import MS
from yardbank.gateway.positions import ClockPositions
from yardbank.pg import messages as pg
from yardbank.platform.admission import Admission, AdmissionLimits, Descriptors
from yardbank.platform.backend import PlatformBackend
from yardbank.platform.config import read_config, specs
from yardbank.platform.front import ClientFactory
from yardbank.platform.listing import parse_listing
from yardbank.platform.memory_budget import MemoryBudget

START_AT = 1_767_225_600
_STATEMENT = re.compile(rb"/\* id=([^,]+),c=([^,]+),d=([0-9]+),cluster=([0-9]+)(,after=[0-9]+)? \*/ (SELECT|INSERT)")
ERRORS = ("25006", "72000", "53300", "XX000", "57P03", "42601")


class Silent:
    """The socket of a connection without pending input."""

    def recv(self, *_):
        raise BlockingIOError


class Wire(StringTransport):
    def __init__(self):
        super().__init__()
        self.socket = Silent()

    def setTcpNoDelay(self, on):  # noqa: N802
        pass

    def take(self):
        held = self.value()
        self.clear()
        return held


class Reactor(Clock):
    """Records outgoing connections; the test completes them."""

    def __init__(self):
        super().__init__()
        self.dials = []

    def connectTCP(self, host, port, factory, timeout=30):  # noqa: N802
        made = SimpleNamespace(state="connecting", transport=None, port=port, factory=factory)
        made.disconnect = lambda: setattr(made, "state", "disconnected")
        self.dials.append(made)
        return made


class Play:
    """One gateway; ``told`` has settings and servers by number, ``names`` has the name of each number."""

    def __init__(self, told, names):
        self.told, self.names, self.trace = told, names, []
        self.reactor, self.log = Reactor(), Log()
        self.reactor.advance(START_AT)
        listed = {"generation": 1, "reset": True, "instances": [self.entry(n) for n in range(len(told["servers"]))]}
        settings = {**told["settings"], "zone": names["zone"][0]}
        settings["services"] = [
            {**kind, "name": names["class"][n]} for n, kind in enumerate(told["settings"]["services"])
        ]
        document = {
            "listen": "127.0.0.1:1",
            "discovery": "127.0.0.1:2",
            "seed": "5",
            "settings": settings,
            "known": listed,
        }
        config = read_config(orjson.dumps(document))
        self.kinds = {kind.name: kind for kind in config.settings.classes}
        backend = PlatformBackend(self.reactor, lambda: self.gateway.now(), config.settings.report_fields, self.log)
        self.gateway = Gateway(
            config.settings,
            backend,
            reactor=self.reactor,
            seconds=self.reactor.seconds,
            wall=self.reactor.seconds,
            log=self.log,
            limits=Limits(multiplex=1, connections=50),
            positions=ClockPositions(),
        )
        self.gateway.apply_list(specs(config.known), 1)
        self.factory = ClientFactory(
            self.gateway,
            Admission(AdmissionLimits()),
            Descriptors(90, 0),
            self.kinds,
            self.log,
            MemoryBudget.of(64),
        )
        self.refusing, self.clients, self.servers, self.asked = set(), {}, [], 0

    def entry(self, number, **change):
        group, zone, part = self.told["servers"][number]
        return {
            "instanceId": self.names["server"][number],
            "hostPort": f"h:{1000 + number}",
            "lifecycle": "Ready",
            "zone": self.names["zone"][zone],
            "cell": self.names["group"][group],
            "part": part,
            **change,
        }

    def run(self, script):
        for step, *numbers in script:
            getattr(self, step)(*numbers)
            self.settle()
        return self.trace

    def settle(self):
        """Complete connections, record written data and remove closed connections, until nothing changes."""
        for _ in range(100):
            before = len(self.trace)
            dials, self.reactor.dials = self.reactor.dials, []
            for dial in dials:
                self.dialled(dial)
            for at, (made, wire, port) in enumerate(self.servers):
                if wire is not None:
                    self.trace += [("server", port, at, sent) for sent in self.statements(wire.take())]
                    if wire.disconnecting:
                        self.trace.append(("closed", at))
                        self.servers[at] = made, None, port
            for client, (made, wire) in list(self.clients.items()):
                if octets := wire.take():
                    self.trace.append(("client", client, octets))
                if wire.disconnecting:
                    self.trace.append(("closed client", client))
                    del self.clients[client]
                    made.connectionLost()
            if len(self.trace) == before and not self.reactor.dials:
                return
        raise AssertionError("the gateway does not settle")

    def dialled(self, dial):
        self.trace.append(("dial", dial.port))
        if dial.state != "connecting":
            return
        if dial.port in self.refusing:
            dial.state = "disconnected"
            dial.factory.clientConnectionFailed(dial, Failure(ConnectionRefusedError()))
            return
        made, wire = dial.factory.buildProtocol(None), Wire()
        dial.state, dial.transport = "connected", wire
        made.makeConnection(wire)
        wire.clear()
        self.servers.append((made, wire, dial.port))
        made.dataReceived(AUTHENTICATED)

    def statements(self, octets):
        """Yield the statements written to a server, with names replaced by numbers."""
        for number, name, left, group, after, verb in _STATEMENT.findall(octets):
            yield (
                number,
                self.names["class"].index(name.decode()),
                left,
                self.names["group"].index(int(group)),
                after,
                verb,
            )
        if not _STATEMENT.search(octets) and octets:
            yield octets

    # Script steps

    def ask(self, client, kind, group, key, limit):
        kind %= len(self.kinds)
        name, read = self.names["class"][kind], self.told["settings"]["domain"]["class_read"][kind]
        group = self.names["group"][group % len(self.names["group"])]
        after = f",after={int(self.reactor.seconds() * 1000) - 40}" if read == "causal" and key % 2 else ""
        self.asked += 1
        comment = f"/* id=q{self.asked},c={name},d={limit},cluster={group}{after} */ "
        if read == "mutate":
            text = comment + f"INSERT INTO kv (name, content) VALUES ('k{key}', '\\x0{key}') RETURNING content"
        else:
            text = comment + f"SELECT content FROM kv WHERE name = 'k{key}'"
        if client not in self.clients:
            made, wire = self.factory.buildProtocol(None), Wire()
            self.clients[client] = made, wire
            made.makeConnection(wire)
            made.dataReceived(START)
        self.clients[client][0].dataReceived(query(text))

    def burst(self, count, kind, group, limit):
        """Several clients send requests at once, of successive classes; what exceeds the servers' limits queues in the gateway."""
        for at in range(count):
            self.ask(10 + at, kind + at, group, at % 7, limit)

    def answer(self, which, how, part, behind, load):
        """Answer a pending statement. ``how``: 0 served, 1 to 6 an error, 7 a reset, 8 garbage."""
        out = [made for made, wire, _ in self.servers if wire is not None and made._session.busy]
        if not out:
            return
        made = out[which % len(out)]
        asked = made._session._pending
        at = self.reactor.seconds() - behind / 1000
        told = parameter("part", ("master", "replica")[part % 2]) + parameter("caught_up_to", str(int(at * 1000)))
        report = f"x1={1 - part % 2},x0={at:.3f},utilization={load / 100}"
        if how == 7:
            made.connectionLost()
        elif how == 8:
            made.dataReceived(b"\xff" * 40)
        elif 1 <= how <= 6:
            made.dataReceived(told + pg.error(ERRORS[how - 1], "no").encode() + READY)
        elif asked.probe:
            made.dataReceived(row(report.encode(), "SHOW") + READY)
        else:
            made.dataReceived(told + parameter("gauges", report) + row(tag=asked.tag.decode()) + READY)

    def wait(self, ms):
        self.reactor.advance(ms / 1000)

    def leave(self, client):
        if client in self.clients:
            made, _ = self.clients.pop(client)
            made.connectionLost()

    def refuse(self, server):
        self.refusing ^= {1000 + server % len(self.told["servers"])}

    def change(self, server, how):
        server %= len(self.told["servers"])
        started = {"startedAtMs": int((self.reactor.seconds() - 1) * 1000)}
        change = ({"lifecycle": "Terminating"}, {"lifecycle": "Gone"}, {}, started, {"part": "master"})[how % 5]
        told = orjson.dumps({"generation": 2, "reset": False, "instances": [self.entry(server, **change)]})
        self.gateway.apply_changes(parse_listing(told).entries, 2)


def milliseconds(number):
    """Converts milliseconds to the adapter's unit, nanoseconds."""
    return number * MS
