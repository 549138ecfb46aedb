"""A gateway on a virtual clock, with a backend that the test controls."""

from twisted.internet.task import Clock

from yardbank.gateway import Call, Gateway, Reply, ServerSpec
from yardbank.gateway.api import MS, ProbeResult
from yardbank.interface import RequestClass, Settings
from yardbank.policy import Router

READ = RequestClass("read", 400 * MS, 1000 * MS, 1, 0.2, "safe", read="session")
WRITE = RequestClass("write", 400 * MS, 2000 * MS, 3, 0.5, "unsafe", read="write")
KEYED = RequestClass("keyed", 400 * MS, 2000 * MS, 3, 0.5, "keyed", "all", 1000 * MS, "write")


class FakeConnection:
    def __init__(self, backend, server, lost):
        self.backend, self.server, self.lost = backend, server, lost
        self.out, self.probes, self.next, self.closed, self.abandoned = {}, [], 0, False, []

    def submit(self, operation, receiver):
        if operation == "unwritable":
            raise ValueError("cannot be written")
        self.next += 1
        self.out[self.next] = (operation, receiver)
        self.backend.sent.append((self.server.name, operation))
        return self.next

    def abandon(self, number):
        self.abandoned.append(self.out.pop(number, None))

    def probe(self, done):
        if self.backend.position is not None:
            done(self.backend.position(self.server))
        else:
            self.probes.append(done)

    def fit(self):
        return True

    def close(self):
        self.closed = True

    def answer(self, reply=None, number=None):
        number = number or min(self.out)
        self.out.pop(number)[1].attempt_done(reply or Reply("ok", "payload"))

    def drop(self):
        out, self.out = self.out, {}
        for _, receiver in out.values():
            receiver.attempt_lost("dropped")
        self.lost("dropped")


class FakeBackend:
    def __init__(self):
        self.connections, self.sent, self.waiting = [], [], []
        self.position = lambda server: ProbeResult({"": (1,)}, server.primary)
        self.mode = "up"

    def connect(self, server, ready, lost):
        if self.mode == "refuse":
            lost("refused")
        elif self.mode == "up":
            made = FakeConnection(self, server, lost)
            self.connections.append(made)
            ready(made)
        else:
            self.waiting.append((server, ready, lost))
        return lambda: None

    def describe(self, operation):
        return str(operation)

    def to(self, name):
        return next(c for c in reversed(self.connections) if c.server.name == name and not c.closed)


class Sink:
    def __init__(self):
        self.got, self.broken = [], False

    def part(self, payload):
        if self.broken:
            raise RuntimeError("front")
        self.got.append(("part", payload))

    def served(self, payload):
        if self.broken:
            raise RuntimeError("front")
        self.got.append(("served", payload))

    def refused(self, retry_after, reason):
        self.got.append(("refused", reason))

    def failed(self, reason):
        self.got.append(("failed", reason))

    @property
    def finals(self):
        return [kind for kind, _ in self.got if kind != "part"]


SERVERS = [ServerSpec("p", "g", "a", "h", 1, True), ServerSpec("c", "g", "a", "h", 2)]


class Place:
    def __init__(self, router=Router, limits=None, **more):
        self.clock = Clock()
        self.clock.advance(100)
        self.backend = FakeBackend()
        base = {"seed": 1, "zone": "a", "gateways": 1, "classes": (READ, WRITE, KEYED), "reports": "probe"}
        base |= {"may_probe": True, "may_cancel": True, "max_attempts": 4, "max_retry_after": 100 * MS}
        self.facts = []
        self.gateway = Gateway(
            Settings(**(base | more)),
            self.backend,
            reactor=self.clock,
            limits=limits,
            seconds=self.clock.seconds,
            wall=self.clock.seconds,
            record=self.facts.append,
            router=router,
        )
        self.gateway.apply_list(SERVERS)

    def ask(self, class_name="read", operation="op", session="s"):
        sink = Sink()
        self.number = self.gateway.take(Call(class_name, "g", operation, sink, session))
        return sink

    def pass_time(self, seconds, step=0.01):
        for _ in range(round(seconds / step)):
            self.clock.advance(step)
