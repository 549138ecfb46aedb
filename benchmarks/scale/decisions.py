"""Costs of the decision module and of a gateway by number of databases, sessions and client connections."""

from __future__ import annotations

import time
from typing import Any

from twisted.internet.task import Clock

from benchmarks.scale.line import COUNTED, Line, Quantity, Values
from benchmarks.scale.memory import grown_kib, processor_ms
from yardbank.gateway import Gateway, Limits, ServerSpec
from yardbank.gateway.positions import ClockPositions
from yardbank.interface import Member, Outcome, Request, RequestClass, Role, Send, ServerList, Settings
from yardbank.platform.admission import Admission, AdmissionLimits, Descriptors
from yardbank.platform.front import ClientFactory
from yardbank.platform.memory_budget import MemoryBudget
from yardbank.policy import Router

MS = 1_000_000
START = 1000 * 1000 * MS
MEMBERS = 3  # of each group: a primary and two replicas
DATABASES = (100, 400, 1000, 2000, 3900)
REQUESTS = 6000
READ = RequestClass("lookup", 400 * MS, 1000 * MS, 1, 0, "safe", read="bounded", staleness_bound=800 * MS)
STATUS = RequestClass("status", 400 * MS, 1000 * MS, 1, 0, "safe", read="session")
WRITE = RequestClass("commit", 400 * MS, 2000 * MS, 3, 0.5, "unsafe", read="write")
CLASSES = (READ, STATUS, WRITE)


class SilentLog:
    """A log that discards everything."""

    def bind(self, **facts: Any) -> SilentLog:
        """Returns the same log."""
        return self

    def is_enabled_for(self, level: int) -> bool:
        """Returns False: no level is enabled."""
        return False

    def __getattr__(self, name: str) -> Any:
        return lambda *args, **facts: None


def settings(gateways: int = 1800) -> Settings:
    """Settings of a gateway of a large fleet."""
    return Settings(
        1,
        "z1",
        gateways,
        CLASSES,
        checks="refuse",
        tokens="remembered",
        reports="probe",
        may_probe=True,
        tells_load=True,
        may_cancel=True,
        max_attempts=4,
    )


def specs(databases: int) -> list[ServerSpec]:
    """Databases in groups of three over eleven zones; the first of each group is its primary."""
    return [
        ServerSpec(f"db-{n:05}", f"group-{n // MEMBERS:05}", f"z{n % 11}", "10.0.0.1", 1024 + n, n % MEMBERS == 0)
        for n in range(databases)
    ]


def members(databases: int) -> tuple[Member, ...]:
    """The same databases as the decision module knows them."""
    return tuple(Member(n, f"z{n % 11}", n // MEMBERS, n % MEMBERS == 0, "ready", started=1) for n in range(databases))


def module_by_databases(databases: int, seed: int) -> Values:
    """Measure memory, the first list, one changed entry, and a request with its outcome."""
    router, memory = grown_kib(lambda: Router(settings()))
    assert isinstance(router, Router)
    listed = members(databases)
    began = time.process_time()
    _, list_memory = grown_kib(lambda: router.handle(START, ServerList("saved", listed)))
    first = (time.process_time() - began) * 1e3
    changed = ServerList("delta", (Member(1, "z1", 0, False, "draining", started=1),))
    change = processor_ms(lambda: router.handle(START + 1, changed), 200)
    now, began = START, time.process_time()
    for number in range(REQUESTS):
        now += MS // 2
        kind = CLASSES[(number + seed) % 3]
        group = (number * 7919) % (databases // MEMBERS)
        asked = Request(f"r{number}", group, kind.name, now + kind.deadline, session=f"s{number % 500}")
        for action in router.handle(now, asked):
            if isinstance(action, Send):
                role = Role.PRIMARY if kind is WRITE else Role.UNKNOWN
                router.handle(now, Outcome(action.id, 0, action.server, "ok", 4 * MS, True, role))
    request = (time.process_time() - began) / REQUESTS * 1e6
    return {"memory": memory + list_memory, "first list": first, "changed entry": change, "request": request}


def gateway_by_databases(databases: int, seed: int) -> Values:
    """Measure a gateway without sockets: memory, first list, one changed entry, the whole list again, and its view."""
    clock = Clock()
    clock.advance(100 + seed)

    def make_gateway() -> Gateway:
        return Gateway(settings(), None, reactor=clock, seconds=clock.seconds, log=SilentLog())  # type: ignore[arg-type]

    listed = specs(databases)
    gateway, memory = grown_kib(make_gateway)
    assert isinstance(gateway, Gateway)
    began = time.process_time()
    _, list_memory = grown_kib(lambda: gateway.apply_list(listed, 1))
    first = (time.process_time() - began) * 1e3
    names = iter(range(10, 110))

    def change() -> None:
        spec = listed[next(names) % databases]
        gateway.apply_changes(
            {spec.name: ServerSpec(spec.name, spec.group, spec.zone, "10.0.0.2", 5432, spec.primary)}, 2
        )

    changed = processor_ms(change, 60)
    whole_list_again = processor_ms(lambda: gateway.apply_list(listed, 3))
    return {
        "memory": memory + list_memory,
        "first list": first,
        "changed entry": changed,
        "whole list again": whole_list_again,
        "view": processor_ms(gateway.view, 5),
    }


def module_by_sessions(sessions: int, seed: int) -> Values:
    """Measure the memory of remembered sessions, and the cost of a write."""
    router = Router(settings())
    router.handle(START, ServerList("saved", members(300)))
    began = time.process_time()

    def write_all() -> None:
        for number in range(sessions):
            now = START + number * MS // 10
            request = Request(f"w{number}", number % 100, WRITE.name, now + WRITE.deadline, session=f"session-{number}")
            for action in router.handle(now, request):
                if isinstance(action, Send):
                    role = Role.PRIMARY
                    router.handle(now, Outcome(action.id, 0, action.server, "ok", 4 * MS, True, role, position=now))

    _, memory = grown_kib(write_all)
    return {
        "memory": memory,
        "write": (time.process_time() - began) / sessions * 1e6,
        "remembered": len(router.sessions.tokens),
    }


class IdleTransport:
    """A transport that discards everything, with minimal memory."""

    __slots__ = ("bufferSize", "read_size")

    def __getattr__(self, name: str) -> Any:
        return lambda *args: None


def gateway_by_connections(connections: int, seed: int) -> Values:
    """Measure idle client connections: memory without sockets, and processor time of one sweep over them."""
    clock = Clock()
    clock.advance(100 + seed)
    gateway = Gateway(
        settings(),
        None,
        reactor=clock,
        seconds=clock.seconds,
        log=SilentLog(),  # type: ignore[arg-type]
        limits=Limits(),
        positions=ClockPositions(),
    )
    kinds = {kind.name: kind for kind in CLASSES}
    factory = ClientFactory(
        gateway,
        Admission(AdmissionLimits()),
        Descriptors.of(4 * connections + 400),
        kinds,
        SilentLog(),
        MemoryBudget.of(64),
    )
    start = b"\0\0\0\x25\0\x03\0\0user\0backend\0database\0store\0\0"

    def connect() -> None:
        for _ in range(connections):
            connection = factory.buildProtocol(None)
            connection.makeConnection(IdleTransport())
            connection.dataReceived(start)

    began = time.process_time()
    _, memory = grown_kib(connect)
    opened = (time.process_time() - began) / connections * 1e6
    held = len(factory.admission)
    return {"memory": memory, "opened": opened, "sweep": processor_ms(factory._sweep, 3), "held": held}


LINES = (
    Line(
        "module-databases",
        "The decision module by databases",
        "databases",
        DATABASES,
        3900,
        (
            Quantity("memory", "KiB"),
            Quantity("first list", "ms"),
            Quantity("changed entry", "ms"),
            Quantity("request", "µs"),
        ),
        module_by_databases,
        "One decision module; groups of three in eleven zones, 1,800 gateways named in its settings. A request is a third"
        " each bounded read, session read and write over all groups by turns, with its outcome.",
        small=(100,),
    ),
    Line(
        "gateway-databases",
        "A gateway by databases",
        "databases",
        DATABASES,
        3900,
        (
            Quantity("memory", "KiB"),
            Quantity("first list", "ms"),
            Quantity("changed entry", "ms"),
            Quantity("whole list again", "ms"),
            Quantity("view", "ms"),
        ),
        gateway_by_databases,
        "A gateway with its decision module and no open connection: its list taken, one entry moved to another address,"
        " the whole list put again (all of it as it was but what had been moved), and what it tells its log each 5 s.",
        small=(100,),
    ),
    Line(
        "module-sessions",
        "The decision module by sessions",
        "sessions",
        (1000, 2500, 5000, 20_000, 50_000),
        50_000,
        (Quantity("memory", "KiB"), Quantity("write", "µs"), Quantity("remembered", "sessions", COUNTED)),
        module_by_sessions,
        "Each session writes once; 300 databases. Beyond 5,000 the oldest sessions fold into their group's floor.",
        small=(1000,),
    ),
    Line(
        "gateway-connections",
        "A gateway by idle client connections",
        "connections",
        (250, 1000, 2000, 4056),
        4056,
        (
            Quantity("memory", "KiB"),
            Quantity("opened", "µs"),
            Quantity("sweep", "ms"),
            Quantity("held", "connections", COUNTED),
        ),
        gateway_by_connections,
        "Connections that were let in and say nothing, on transports without sockets: what Twisted and the system hold for"
        " a socket comes on top. A sweep for those whose time is up runs four times a second.",
        small=(250,),
    ),
)
