"""A fleet of decision modules against emulated servers on a virtual clock: what each does alone, added up.

Clients arrive in an open loop whatever becomes of earlier requests, give a try up after a while and come again.
Everything is drawn from one seed; the same seed gives the same run. Nothing here decides for a gateway.
"""

from __future__ import annotations

import random
from collections import Counter, defaultdict, deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Protocol

from yardbank import interface as api
from yardbank.emulator.clock import VirtualClock
from yardbank.emulator.server import OK, Capacity, EmulatedServer, Work

MS, SECOND = 1_000_000, 1_000_000_000
START = 100 * SECOND
REPORT_EVERY = 150 * MS  # servers measure their load so often
NET = MS // 2  # one way, between any two
BIN = SECOND // 2  # of the counts over time


class Decider(Protocol):
    """A decision module's instance."""

    def handle(self, now: int, event: api.Event) -> list[api.Action]:
        """Take one event; the actions in order."""
        ...


MakeRouter = Callable[[api.Settings], Decider]


@dataclass(slots=True, frozen=True)
class Kind:
    """A class of requests, and its work at a server (mean, core seconds; drawn from an exponential)."""

    set: api.RequestClass
    part: float
    work_s: float


KINDS = (
    Kind(
        api.RequestClass("lookup", 290 * MS, 870 * MS, 2, 0, "safe", read="bounded", staleness_bound=460 * MS),
        0.45, 0.085,
    ),
    Kind(api.RequestClass("status", 440 * MS, 1160 * MS, 1, 0.2, "safe", read="session"), 0.32, 0.09),
    Kind(api.RequestClass("commit", 290 * MS, 1740 * MS, 3, 0.7, "unsafe", read="write"), 0.23, 0.035),
)  # fmt: skip


@dataclass(slots=True, frozen=True)
class World:
    """What a run is made of. ``rate``: first tries a second of the whole fleet when nothing is the matter."""

    seed: int = 1
    gateways: int = 200
    groups: int = 12
    copies: int = 5
    rate: float = 1200.0
    skew: float = 0.25  # groups differ by up to so much, and gateways by up to four times
    zones: int = 2
    capacity: Capacity = field(default_factory=Capacity)
    kinds: tuple[Kind, ...] = KINDS
    retries: int = 2
    patience: float = 0.8  # the share of its deadline after which a client gives a try up
    backoff: int = 60 * MS
    honours: float = 0.6  # the share of clients that wait as long as a refusal says
    load: Callable[[float], float] = lambda second: 1.0  # over time, times ``rate``
    length: float = 20.0  # seconds
    tells_load: bool = True  # whether servers' reports say how busy they are
    faults: Sequence[tuple[float, Callable[[Fleet], None]]] = ()

    def __post_init__(self) -> None:
        if min(self.gateways, self.groups, self.copies, self.zones) < 1 or self.rate <= 0:
            raise ValueError("world: gateways, groups, copies, zones and rate must be positive")


@dataclass(slots=True)
class _Want:
    """What a client wants, over all its tries."""

    kind: Kind
    group: int
    gateway: VirtualGateway
    first_at: int
    tries: int = 0
    over: bool = False


@dataclass(slots=True)
class _Try:
    """One try of it, as its gateway sees it."""

    want: _Want
    asked_at: int
    need: int
    over: bool = False
    attempts: int = 0
    out: dict[int, _Out] = field(default_factory=dict)


@dataclass(slots=True)
class _Out:
    server: int
    sent_at: int
    over: bool = False


class VirtualGateway:
    """One decision module and its connections."""

    def __init__(self, fleet: Fleet, number: int, settings: api.Settings, router: MakeRouter) -> None:
        self._fleet, self.number, self._clock = fleet, number, fleet.clock
        self.router = router(settings)
        self._idle: Counter[int] = Counter()  # connections by server that carry nothing
        self._tries: dict[str, _Try] = {}
        self._events: deque[api.Event] = deque()
        self._handling = False
        self._sequence = 0

    def handle(self, event: api.Event) -> None:
        """Hand an event to the module and carry out what it says; what follows from that waits its turn."""
        self._events.append(event)
        if self._handling:
            return
        self._handling = True
        while self._events:
            for action in self.router.handle(self._clock.now, self._events.popleft()):
                self._carry_out(action)
        self._handling = False

    def take(self, want: _Want) -> None:
        """A client tries."""
        self._sequence += 1
        number, now, kind = f"{self.number}-{self._sequence}", self._clock.now, want.kind.set
        age = self._fleet.session_age() if kind.read == "session" else 0
        tried = self._tries[number] = _Try(want, now, now - age if age else 0)
        want.tries += 1
        self._clock.at(now + int(kind.deadline * self._fleet.world.patience), lambda: self._leave(number, tried))
        self.handle(
            api.Request(number, want.group, kind.name, now + kind.deadline, f"s{number}", since_write=age or None)
        )

    def _leave(self, number: str, tried: _Try) -> None:
        if not tried.over:
            self._fleet.count("left")
            self._over(number, tried)
            self.handle(api.Gone(number))
            self._fleet.again(tried.want, 0)

    def _over(self, number: str, tried: _Try) -> None:
        tried.over = True
        if not tried.out:
            self._tries.pop(number, None)

    def _carry_out(self, action: api.Action) -> None:
        fleet = self._fleet
        match action:
            case api.Send():
                self._send(action)
            case api.Refuse() | api.Fail():
                tried = self._tries.get(action.id)
                if tried is not None and not tried.over:
                    fleet.count("refused" if isinstance(action, api.Refuse) else "failed")
                    self._over(action.id, tried)
                    fleet.again(tried.want, action.retry_after if isinstance(action, api.Refuse) else 0)
            case api.Cancel():
                tried = self._tries.get(action.id)
                if tried is not None and (out := tried.out.get(action.attempt)) is not None:
                    self._ended(action.id, tried, action.attempt, out, "cancelled")
            case api.Probe():
                self._probe(action.server)
            case api.CloseIdle():
                self._idle.pop(action.server, None)
            case api.SetTimer():
                event = api.Timer(action.token)
                self._clock.at(self._clock.now + action.delay, lambda: self.handle(event))

    def _send(self, action: api.Send) -> None:
        tried = self._tries.get(action.id)
        if tried is None:
            return
        attempt, now, clock = tried.attempts, self._clock.now, self._clock
        tried.attempts += 1
        out = tried.out[attempt] = _Out(action.server, now)
        server, kind = self._fleet.servers[action.server], tried.want.kind
        self._fleet.count("attempts")
        delay = NET
        if self._idle[action.server] > 0:
            self._idle[action.server] -= 1
        else:
            self._fleet.count("connections")
            delay += 4 * NET
            clock.at(now + NET, lambda: server.submit(Work(server.capacity.handshake_s, None)))
        read = kind.set.read
        need = now - kind.set.staleness_bound if read == "bounded" else tried.need

        def answered(status: str) -> None:
            clock.at(clock.now + NET, lambda: self._ended(action.id, tried, attempt, out, status))

        work = Work(self._fleet.draw_work(kind), answered, read == "write")
        clock.at(now + delay, lambda: server.submit(work, need))
        clock.at(action.until, lambda: self._ended(action.id, tried, attempt, out, "timeout"))

    def _ended(self, number: str, tried: _Try, attempt: int, out: _Out, status: str) -> None:
        if out.over:
            return
        out.over = True
        del tried.out[attempt]
        server, now = self._fleet.servers[out.server], self._clock.now
        if status not in ("timeout", "cancelled"):
            self._idle[out.server] += 1
        self._fleet.count(status)
        if status == OK and not tried.over:
            self._over(number, tried)
            self._fleet.served(tried.want, now - tried.asked_at)
        elif tried.over and not tried.out:
            self._tries.pop(number, None)
        answered = status in ("ok", "miss", "full")
        role = api.Role.PRIMARY if server.primary else api.Role.REPLICA
        position = now if status == OK and tried.want.kind.set.read == "write" else None
        self.handle(
            api.Outcome(
                number, attempt, out.server, status, now - out.sent_at, tried.over,
                role if answered else api.Role.UNKNOWN, position,
            )
        )  # fmt: skip

    def _probe(self, number: int) -> None:
        server, clock, asked_at = self._fleet.servers[number], self._clock, self._clock.now
        self._fleet.count("probes")

        def asked() -> None:
            if server.down:
                clock.at(asked_at + 250 * MS, lambda: self.handle(api.Probed(number, "timeout", 250 * MS)))
                return
            report = self._fleet.report(server)
            clock.at(clock.now + NET, lambda: self.handle(api.Probed(number, "ok", 2 * NET, report)))

        clock.at(asked_at + NET, asked)


@dataclass(slots=True, frozen=True)
class Span:
    """Half a second of a run: worth of what was first tried in it, worth of what was served of that, and counts."""

    second: float
    wanted: float
    served: float
    counts: Counter[str]


def served_share(spans: Sequence[Span], begin: float, end: float) -> float:
    """The share of worth that was served of what was first tried between two seconds. Raises ``ValueError``."""
    within = [span for span in spans if begin <= span.second < end]
    if not (wanted := sum(span.wanted for span in within)):
        raise ValueError(f"nothing was wanted between {begin} s and {end} s")
    return sum(span.served for span in within) / wanted


class Fleet:
    """All of it: servers, gateways, clients, and what came of every request over time."""

    def __init__(self, world: World, router: MakeRouter) -> None:
        self.world, self.clock = world, VirtualClock(START)
        self._random = random.Random(world.seed)
        self._counts: defaultdict[int, Counter[str]] = defaultdict(Counter)
        self._worth: defaultdict[int, list[float]] = defaultdict(lambda: [0.0, 0.0])  # wanted, served
        self.servers: dict[int, EmulatedServer] = {}
        self.members: list[api.Member] = []
        zones = [f"z{number}" for number in range(world.zones)]
        for group in range(world.groups):
            primary = self._add(group, True, zones)
            primary.copies = [self._add(group, False, zones) for _ in range(world.copies)]
        self._weights = [1 + world.skew * self._random.uniform(-1, 1) for _ in range(world.groups)]
        self._shares = [self._random.lognormvariate(0, 0.5) for _ in range(world.gateways)]
        self.gateways = [
            VirtualGateway(self, number, self._settings(zones[number % len(zones)], number), router)
            for number in range(world.gateways)
        ]

    def _add(self, group: int, primary: bool, zones: list[str]) -> EmulatedServer:
        number = len(self.servers) + 1
        speed = self._random.uniform(0.85, 1.1)
        server = self.servers[number] = EmulatedServer(self.clock, self.world.capacity, primary, speed)
        self.members.append(api.Member(number, zones[number % len(zones)], group, primary, "ready"))
        return server

    def _settings(self, zone: str, number: int) -> api.Settings:
        return api.Settings(
            seed=self.world.seed * 100_003 + number,
            zone=zone,
            gateways=self.world.gateways,
            classes=tuple(kind.set for kind in self.world.kinds),
            checks="refuse",
            tokens="carried",
            reports="probe",
            tells_load=self.world.tells_load,
            period=5 * MS,
            max_attempts=8,
            may_cancel=True,
            may_probe=True,
            max_retry_after=2 * SECOND,
            cold=10 * SECOND,
            cold_share=0.4,
        )

    def run(self) -> list[Span]:
        """Play it to the end; what happened in each half second, requests by when they were first tried."""
        for gateway in self.gateways:
            gateway.handle(api.ServerList("saved", tuple(self.members)))
        for at, fault in self.world.faults:
            self.clock.at(START + int(at * SECOND), lambda fault=fault: fault(self))  # type: ignore[misc]
        self._measure()
        self._arrive()
        self.clock.run(START + int((self.world.length + 8) * SECOND))
        return [
            Span(number * BIN / SECOND, self._worth[number][0], self._worth[number][1], self._counts[number])
            for number in range(int(self.world.length * SECOND) // BIN)
        ]

    def _measure(self) -> None:
        for server in self.servers.values():
            server.measure(REPORT_EVERY)
        self.clock.at(self.clock.now + REPORT_EVERY, self._measure)

    def every(self, do: Callable[[EmulatedServer], None], zone: str = "") -> None:
        """Do something to each server, or to each of one zone."""
        for member in self.members:
            if zone in ("", member.zone):
                do(self.servers[member.server])

    def _arrive(self) -> None:
        """The next first try; the one after it is drawn at once, whatever becomes of this one."""
        second = (self.clock.now - START) / SECOND
        if second >= self.world.length:
            return
        gap = self._random.expovariate(self.world.rate * self.world.load(second))
        self.clock.at(self.clock.now + int(gap * SECOND), self._arrive)
        draw = self._random
        gateway = draw.choices(self.gateways, self._shares)[0]
        group = draw.choices(range(self.world.groups), self._weights)[0]
        kind = draw.choices(self.world.kinds, [kind.part for kind in self.world.kinds])[0]
        want = _Want(kind, group, gateway, self.clock.now)
        self.count("wanted")
        self._worth[(self.clock.now - START) // BIN][0] += kind.set.worth
        gateway.take(want)

    def again(self, want: _Want, after: int) -> None:
        """A try came to nothing: the client comes again, if it has not too often."""
        if want.over or want.tries > self.world.retries:
            return
        wait = after if after and self._random.random() < self.world.honours else self.world.backoff
        self.clock.at(self.clock.now + int(wait * self._random.uniform(0.7, 1.3)), lambda: want.gateway.take(want))

    def served(self, want: _Want, took: int) -> None:
        """A client has its answer."""
        if not want.over:
            want.over = True
            good = took <= want.kind.set.aim
            when, kind = (want.first_at - START) // BIN, want.kind.set
            self._counts[when]["good" if good else "late"] += 1
            self._worth[when][1] += kind.worth * (1 if good else kind.late_worth)

    def count(self, what: str) -> None:
        """Something happened now."""
        self._counts[(self.clock.now - START) // BIN][what] += 1

    def session_age(self) -> int:
        """How long ago the session of a read last wrote (ns); 0: never."""
        return int(self._random.uniform(0.2, 1.0) * SECOND) if self._random.random() < 0.6 else 0

    def draw_work(self, kind: Kind) -> float:
        """The work of one request (core seconds)."""
        return self._random.expovariate(1 / kind.work_s)

    def report(self, server: EmulatedServer) -> api.Report:
        """What a probe brings."""
        return api.Report(server.position(), server.primary, server.load if self.world.tells_load else None)
