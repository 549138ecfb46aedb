"""The scripted bad day: what goes wrong when, and the sessions that live through it."""

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
    """One client that writes and reads back, for as long as the day lasts."""

    def __init__(self, world: World, number: int, pace: float) -> None:
        self.world, self.name, self.pace = world, f"client-{number}", pace
        self.random = random.Random(f"{world.seed}/{number}")
        self.client: Client | None = None
        self.connections = 0
        self.asked = 0
        self.over = False

    @property
    def label(self) -> str:
        """The connection's name in the record: a session is a connection."""
        return f"{self.name}.{self.connections}"

    def sleep(self, seconds: float) -> Deferred[Any]:
        """Wait."""
        return deferLater(self.world.reactor, seconds, lambda: None)

    @inlineCallbacks
    def ensure(self) -> Generator[Deferred[Any], Any, bool]:
        """Be connected and bound; False if that cannot be had now."""
        if self.client is not None and not self.client.gone:
            return True
        self.connections += 1
        try:
            client = yield connect(self.world.reactor, "127.0.0.1", self.world.port, self.label, self.world.record)
        except Exception:  # noqa: BLE001  # a session that fails is noted, and the day goes on
            yield self.sleep(0.05)
            return False
        answer = yield client.bind(DESK_DN, DESK_PASSWORD)
        if answer.code != Code.SUCCESS:
            yield self.sleep(0.05)
            return False
        self.client = client
        return True

    def ask(self, operation: m.Request, need: str, group: str) -> Deferred[Any]:
        """One request, recorded with what it needs."""
        assert self.client is not None
        self.asked += 1
        tag = f"{self.label}/{self.asked}"
        by_name = self.world.session_by == "identity"  # a session that outlives its connections
        session = self.name if by_name else self.label
        facts: dict[str, Any] = {"read": need, "session": session, "request_class": CLASSES[need]}
        if need == "bounded":
            facts["staleness"] = 0.8
        control = m.Control(TAG_CONTROL, False, tag.encode())
        return self.client.request(
            operation, (control,), tag, need=facts, deadline=DEADLINES[need], suffix=GROUPS[group]
        )

    def write(self, group: str) -> Deferred[Any]:
        """An unsafe modify."""
        entry = f"cn={self.random.randrange(ENTRIES)},{GROUPS[group]}"
        value = f"{self.label} {self.asked}".encode()
        return self.ask(m.ModifyRequest(entry, ((2, "description", (value,)),)), "write", group)

    def lookup(self) -> Deferred[Any]:
        """A read that may be a little old."""
        entry = f"cn={self.random.randrange(ENTRIES)},{NUMBERS}"
        return self.ask(m.SearchRequest(entry, Scope.BASE, m.Present("objectClass")), "bounded", "numbers")

    def status(self) -> Deferred[Any]:
        """A read that must see what this session has written."""
        request = m.SearchRequest(REQUESTS, Scope.ONE, m.Match("=", "cn", b"%d" % self.random.randrange(ENTRIES)))
        return self.ask(request, "session", "requests")

    @inlineCallbacks
    def live(self) -> Generator[Deferred[Any], Any, None]:
        """Ask until the day is over; several requests are out at a time."""
        while not self.over:
            connection = self.connections
            ready = yield self.ensure()
            if not ready:
                continue
            if self.connections != connection:  # what it wrote through an earlier connection, it reads first
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
                    for waiting in pair:  # noqa: UP028 - of Deferreds, one by one
                        yield waiting
            if answer.code not in (LOST, Code.SUCCESS):
                yield self.sleep(0.05)
            yield self.sleep(self.random.expovariate(1 / self.pace))

    def end(self) -> None:
        """The day is over for this client."""
        self.over = True


Trouble = tuple[float, str, Callable[[], Any]]


class Day:
    """Troubles at their times; ``scale`` 1 is a day of 30 s."""

    def __init__(self, world: World, scale: float, sessions: int = 8, pace: float = 0.03) -> None:
        self.world, self.scale = world, scale
        self.sessions = [Session(world, number, pace) for number in range(sessions)]
        self.played: list[str] = []

    def troubles(self) -> list[Trouble]:
        """What happens when, in seconds of a day of 30 s."""
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
            (8.3, "garbage from a client", self.garbage),
            (8.6, "a client leaves mid-request", self.leave),
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
            (26.0, "gateway killed, back with its last list", self.kill),
            (27.5, "slow server", fault("n2", "slow", 8.0)),
            (28.5, "", fault("n2", "slow", 1.0)),
        ]

    def garbage(self) -> None:
        """A client that does not speak LDAP."""
        from twisted.internet.protocol import ClientCreator, Protocol

        def spoil(protocol: Any) -> None:
            protocol.transport.write(random.Random(self.world.seed).randbytes(2000))

        made = ClientCreator(self.world.reactor, Protocol).connectTCP("127.0.0.1", self.world.port)
        made.addCallbacks(spoil, lambda failure: None)

    def leave(self) -> None:
        """A client that asks and goes before the answer."""
        session = self.sessions[0]
        if session.client is not None and not session.client.gone:
            session.write("numbers")
            session.lookup()
            session.client.leave()

    def kill(self) -> Deferred[Any]:
        """Kill the gateway; it is back a moment later."""

        def back(_: Any) -> Deferred[Any]:
            return deferLater(self.world.reactor, 0.3, self.world.start_gateway)

        return self.world.kill_gateway().addCallback(back)

    @inlineCallbacks
    def play(self, say: Callable[[str], None] = lambda text: None) -> Generator[Deferred[Any], Any, None]:
        """Live through the day; fires when every request is answered and the gateway has stopped."""
        reactor, began = self.world.reactor, self.world.reactor.seconds()
        yield self.world.start_gateway()
        lives = [session.live() for session in self.sessions]
        for at, name, begin in self.troubles():
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
        for life in lives:  # noqa: UP028
            yield life
        yield self.world.stop_gateway()
