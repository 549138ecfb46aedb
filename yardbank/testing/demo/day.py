"""The scripted faults of the demonstration, and the client sessions that run during them."""

from __future__ import annotations

import random
from collections.abc import Callable, Generator
from typing import Any

from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.internet.task import deferLater

from yardbank.directory.codes import Code, Scope
from yardbank.ldap import messages as m
from yardbank.testing.demo.world import DESK_DN, DESK_PASSWORD, GROUPS, NUMBERS, REQUESTS, World
from yardbank.testing.rig.client import LOST, Client, connect
from yardbank.testing.standin.server import TAG_CONTROL

ENTRIES = 50
CLASSES = {"bounded": "number-lookup", "session": "request-state", "write": "number-change", "spread": "spread"}
DEADLINES = {"bounded": 1.5, "session": 2.0, "write": 3.0}


class Session:
    """One client that writes and reads back until the end of the demonstration."""

    def __init__(self, world: World, number: int, pace: float) -> None:
        self.world, self.name, self.pace = world, f"client-{number}", pace
        self.random = random.Random(f"{world.seed}/{number}")
        self.client: Client | None = None
        self.connections = 0
        self.asked = 0
        self.over = False

    @property
    def label(self) -> str:
        """The name of the connection, and session, in the record."""
        return f"{self.name}.{self.connections}"

    def sleep(self, seconds: float) -> Deferred[Any]:
        """Waits."""
        return deferLater(self.world.reactor, seconds, lambda: None)

    @inlineCallbacks
    def ensure(self) -> Generator[Deferred[Any], Any, bool]:
        """Connects and binds if necessary; returns False if that failed."""
        if self.client is not None and not self.client.gone:
            return True
        self.connections += 1
        try:
            client = yield connect(self.world.reactor, "127.0.0.1", self.world.port, self.label, self.world.record)
        except Exception:  # noqa: BLE001  # a failed connection is recorded, and the session tries again
            yield self.sleep(0.05)
            return False
        answer = yield client.bind(DESK_DN, DESK_PASSWORD)
        if answer.code != Code.SUCCESS:
            yield self.sleep(0.05)
            return False
        self.client = client
        return True

    def ask(self, operation: m.Request, need: str, group: str) -> Deferred[Any]:
        """Sends a request, recorded with its consistency needs."""
        assert self.client is not None
        self.asked += 1
        tag = f"{self.label}/{self.asked}"
        by_name = self.world.session_by == "identity"  # the session spans several connections
        session = self.name if by_name else self.label
        facts: dict[str, Any] = {"read": need, "session": session, "request_class": CLASSES[need]}
        if need == "bounded":
            facts["staleness"] = 0.8
        control = m.Control(TAG_CONTROL, False, tag.encode())
        return self.client.request(
            operation, (control,), tag, need=facts, deadline=DEADLINES[need], suffix=GROUPS[group]
        )

    def write(self, group: str) -> Deferred[Any]:
        """Sends a modify, which must not be applied twice."""
        entry = f"cn={self.random.randrange(ENTRIES)},{GROUPS[group]}"
        value = f"{self.label} {self.asked}".encode()
        return self.ask(m.ModifyRequest(entry, ((2, "description", (value,)),)), "write", group)

    def lookup(self) -> Deferred[Any]:
        """Sends a read that accepts bounded staleness."""
        entry = f"cn={self.random.randrange(ENTRIES)},{NUMBERS}"
        return self.ask(m.SearchRequest(entry, Scope.BASE, m.Present("objectClass")), "bounded", "numbers")

    def status(self) -> Deferred[Any]:
        """Sends a read that must see this session's own writes."""
        request = m.SearchRequest(REQUESTS, Scope.ONE, m.Match("=", "cn", b"%d" % self.random.randrange(ENTRIES)))
        return self.ask(request, "session", "requests")

    @inlineCallbacks
    def live(self) -> Generator[Deferred[Any], Any, None]:
        """Sends requests, several concurrently, until the demonstration ends."""
        while not self.over:
            connection = self.connections
            ready = yield self.ensure()
            if not ready:
                continue
            if self.connections != connection:  # after a reconnect it first reads its earlier writes
                yield self.status()
                continue
            chance = self.random.random()
            if chance < 0.4:
                answer = yield self.lookup()
            elif chance < 0.55:
                answer = yield self.write("numbers")
            else:
                answer = yield self.write("requests")
                if answer.code == Code.SUCCESS:
                    yield self.sleep(self.random.expovariate(1 / 0.2))
                    pair = [self.status(), self.lookup()] if self.client and not self.client.gone else []
                    for waiting in pair:  # noqa: UP028 - yields Deferreds one by one
                        yield waiting
            if answer.code not in (LOST, Code.SUCCESS):
                yield self.sleep(0.05)
            yield self.sleep(self.random.expovariate(1 / self.pace))

    def end(self) -> None:
        """Ends the session."""
        self.over = True


TimedFault = tuple[float, str, Callable[[], Any]]


class FaultScript:
    """Runs the scripted faults; ``scale`` 1 is a run of 30 s."""

    def __init__(self, world: World, scale: float, sessions: int = 8, pace: float = 0.03) -> None:
        self.world, self.scale = world, scale
        self.sessions = [Session(world, number, pace) for number in range(sessions)]
        self.played: list[str] = []

    def timed_faults(self) -> list[TimedFault]:
        """The faults with their times, in seconds of a run of 30 s."""
        world, servers = self.world, self.world.servers
        n1, n2, r1, r2, r3 = (servers[name] for name in ("n1", "n2", "r1", "r2", "r3"))

        def lag(factor: float) -> None:
            for name in ("n2", "n3", "r2", "r3"):
                servers[name].member.lag = factor

        def copy_back() -> None:
            n2.restart()
            world.tell(n2="ready")

        def group_lost() -> None:
            r2.crash()
            r3.crash()

        def group_back() -> None:
            for server in (r1, r2, r3):
                server.restart()
            world.tell(r1="ready", r2="ready", r3="ready")

        def fault(name: str, field: str, value: Any) -> Callable[[], None]:
            return lambda: setattr(servers[name].faults, field, value)

        return [
            (2.0, "copies lag", lambda: lag(60.0)),
            (4.5, "", lambda: lag(1.0)),
            (5.0, "answer lost after commit", fault("n1", "lose_next", 2)),
            (5.5, "answer lost after commit, other group", fault("r1", "lose_next", 2)),
            (6.0, "a copy drains", lambda: world.tell(n2="draining")),
            (7.2, "", n2.crash),
            (7.4, "", lambda: world.tell(n2="gone")),
            (8.0, "garbage from a server", fault("n3", "garbage_next", 2)),
            (8.3, "garbage from a client", self.send_garbage),
            (8.6, "a client leaves mid-request", self.leave_mid_request),
            (9.0, "a server breaks off mid-answer", fault("r2", "reset_next", 3)),
            (9.5, "a copy returns cold", copy_back),
            (10.0, "primary hangs and is replaced", n1.hang),
            (14.5, "the list follows", world.tell_primaries),
            (15.0, "", n1.unhang),
            (15.5, "a server answers octet by octet", fault("n3", "trickle", True)),
            (16.5, "", fault("n3", "trickle", False)),
            (17.0, "primary dies and is replaced", r1.crash),
            (20.5, "the list follows", world.tell_primaries),
            (21.0, "a whole group is lost", group_lost),
            (22.5, "a group comes back cold", group_back),
            (23.5, "", world.tell_primaries),
            (24.0, "connections refused", lambda: n2.refuse(True)),
            (24.5, "half-open connections", fault("n3", "half_open", True)),
            (25.5, "", fault("n3", "half_open", False)),
            (25.5, "", lambda: n2.refuse(False)),
            (26.0, "gateway killed, back with its last list", self.kill_and_restart_gateway),
            (27.5, "slow server", fault("n2", "slow", 8.0)),
            (28.5, "", fault("n2", "slow", 1.0)),
        ]

    def send_garbage(self) -> None:
        """Connects and sends random octets instead of LDAP."""
        from twisted.internet.protocol import ClientCreator, Protocol

        def spoil(protocol: Any) -> None:
            protocol.transport.write(random.Random(self.world.seed).randbytes(2000))

        made = ClientCreator(self.world.reactor, Protocol).connectTCP("127.0.0.1", self.world.port)
        made.addCallbacks(spoil, lambda failure: None)

    def leave_mid_request(self) -> None:
        """Makes a client send requests and disconnect before the answers."""
        session = self.sessions[0]
        if session.client is not None and not session.client.gone:
            session.write("numbers")
            session.lookup()
            session.client.leave()

    def kill_and_restart_gateway(self) -> Deferred[Any]:
        """Kills the gateway and restarts it shortly afterwards."""

        def back(_: Any) -> Deferred[Any]:
            return deferLater(self.world.reactor, 0.3, self.world.start_gateway)

        return self.world.kill_gateway().addCallback(back)

    @inlineCallbacks
    def play(self, say: Callable[[str], None] = lambda text: None) -> Generator[Deferred[Any], Any, None]:
        """Runs to the end; fires when all requests are answered and the gateway has stopped."""
        reactor, began = self.world.reactor, self.world.reactor.seconds()
        yield self.world.start_gateway()
        running_sessions = [session.live() for session in self.sessions]
        for at, name, begin in self.timed_faults():
            wait = began + at * self.scale - reactor.seconds()
            if wait > 0:
                yield deferLater(reactor, wait, lambda: None)
            if name:
                self.played.append(name)
                say(f"{reactor.seconds() - began:5.1f} s  {name}")
            yield begin()
        wait = began + 30 * self.scale - reactor.seconds()
        yield deferLater(reactor, max(0.0, wait), lambda: None)
        for session in self.sessions:
            session.end()
        for session_done in running_sessions:  # noqa: UP028
            yield session_done
        yield self.world.stop_gateway()
