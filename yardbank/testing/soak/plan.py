"""The plan of one seed: settings, servers, discovery, clients and signals. No I/O."""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import StrEnum
from random import Random

LONGEST_DEADLINE = 3.0
KILL_AFTER = 0.7  # seconds after the longest deadline, counted from SIGTERM, to the earliest kill
ARRIVALS_AFTER = 0.3  # seconds after SIGTERM in which clients still open connections


class ServerFault(StrEnum):
    """A temporary fault of a server."""

    HANG = "answers nothing"
    DROP = "closes connections as they open"
    RESET = "resets under a statement"
    FULL = "turns away"
    SILENT = "takes connections and says nothing"
    PIECES = "answers in pieces"
    DRAIN = "drains, and stays up"


class DiscoveryFault(StrEnum):
    """A temporary fault of discovery."""

    SILENT = "open watches say nothing more"
    RESET = "open watches are reset"
    DOWN = "connections are taken and forgotten"


class Behaviour(StrEnum):
    """The behaviour of a client on a connection."""

    PLAIN = "one request after the other"
    PIPELINE = "many at once"
    HALVES = "writes in halves"
    SLOW = "reads late"
    LEAVER = "leaves with requests open"
    RETRIER = "asks again at once when refused"


@dataclass(slots=True, frozen=True)
class ServerStep:
    """A server's fault with its start and duration (s)."""

    server: int
    fault: ServerFault
    at: float
    lasts: float


@dataclass(slots=True, frozen=True)
class DiscoveryStep:
    """Discovery's fault with its start and duration (s)."""

    fault: DiscoveryFault
    at: float
    lasts: float


@dataclass(slots=True, frozen=True)
class SignalStep:
    """A signal at a time (s) after the start of the run. SIGSTOP is followed by SIGCONT after ``lasts``."""

    name: str
    at: float
    lasts: float = 0.0


@dataclass(slots=True, frozen=True)
class FailoverStep:
    """The current primary crashes at ``at``; delays (s) count from the event that they follow."""

    at: float
    downtime: float  # until it starts again, as a replica
    election_delay: float  # until another server is promoted
    list_delays: tuple[float, float]  # from the promotion until the list says so, for the new and the old primary


@dataclass(slots=True, frozen=True)
class Replication:
    """How far replicas lag, and the failovers of the primary."""

    checked: bool  # replicas reject reads that they lag too far for; otherwise they answer from what they have
    staleness_bound: float  # s
    lags: tuple[float, ...]  # by server (s)
    failovers: tuple[FailoverStep, ...]


@dataclass(slots=True, frozen=True)
class Plan:
    """One run; times in seconds from its start."""

    seed: int
    deadlines: dict[str, float]  # by class
    effect: str  # effect class of writes in the platform's settings
    window: float  # seconds in which writes may be repeated
    sockets: int
    memory_mb: int
    servers: int  # the first is the primary
    service_time: float
    server_steps: tuple[ServerStep, ...]
    discovery_steps: tuple[DiscoveryStep, ...]
    clients: tuple[Behaviour, ...]
    crowd: int  # idle clients that send one request after SIGTERM
    signals: tuple[SignalStep, ...]
    terminate_at: float
    replication: Replication | None = None  # None: replicas are never behind and the primary never changes
    drained_before_start: tuple[int, ...] = ()  # servers that drain; the list in the program's configuration is older
    first_list_delay: float = 0.0  # until discovery answers a new watch

    @property
    def kill_at(self) -> float:
        """The earliest time at which the platform may kill the program."""
        return self.terminate_at + min(LONGEST_DEADLINE, max(self.deadlines.values())) + KILL_AFTER


def draw(seed: int) -> Plan:
    """Draws the plan of a seed; the same seed gives the same plan."""
    random = Random(f"soak/{seed}")
    longest = random.choice([0.2, 0.3, 0.5, 1.0, 1.5, 3.0])
    effect = random.choice(["side_effect", "side_effect", "token"])
    terminate_at = random.uniform(1.5, 3.0)
    servers = random.randrange(3, 6)
    start = Random(f"soak/start/{seed}")  # of its own: what is drawn here leaves the rest of a seed's plan as it is
    return Plan(
        seed=seed,
        deadlines={"lookup": round(longest * random.uniform(0.5, 1), 3), "commit": longest},
        effect=effect,
        window=random.uniform(0.1, 0.4) if effect == "token" else 0.0,
        sockets=random.choice([96, 256]),
        memory_mb=64,
        servers=servers,
        service_time=random.choice([0.002, 0.01, 0.03]),
        server_steps=_server_steps(random, servers, terminate_at),
        discovery_steps=_discovery_steps(random, terminate_at),
        clients=tuple(random.choice(list(Behaviour)) for _ in range(random.randrange(4, 13))),
        crowd=random.choice([0, 0, 20, 40]),
        signals=_signals(random, terminate_at),
        terminate_at=terminate_at,
        drained_before_start=tuple(start.sample(range(1, servers), start.randrange(servers - 1))),
        first_list_delay=start.choice([0.0, 0.0, 0.1, 0.4, 1.0]),
    )


def draw_failovers(seed: int) -> Plan:
    """Draws a longer plan in which primaries fail in series while replicas lag and the list tells roles late."""
    random = Random(f"soak/failovers/{seed}")
    terminate_at = random.uniform(8.0, 10.0)
    servers = random.randrange(3, 6)
    return replace(
        draw(seed),
        deadlines={"lookup": round(random.uniform(0.5, 1.5), 3), "commit": 1.5},
        effect="side_effect",
        window=0.0,
        servers=servers,
        service_time=0.002,
        server_steps=(),
        crowd=0,
        signals=_signals(random, terminate_at),
        terminate_at=terminate_at,
        drained_before_start=(),
        first_list_delay=0.0,
        replication=Replication(
            checked=random.random() < 0.25,
            staleness_bound=random.choice([0.3, 0.5, 0.8]),
            lags=tuple(random.choice([0.01, 3.0]) if number else 3.0 for number in range(servers)),
            failovers=_failovers(random, terminate_at),
        ),
    )


def _failovers(random: Random, terminate_at: float) -> tuple[FailoverStep, ...]:
    steps = []
    at = random.uniform(0.5, 1.5)
    while at < terminate_at - 1.0:
        step = FailoverStep(
            at=at,
            downtime=random.uniform(0.2, 1.0),
            election_delay=random.uniform(0.4, 1.5),
            list_delays=(random.uniform(1.0, 4.5), random.uniform(1.0, 4.5)),
        )
        steps.append(step)
        at += step.election_delay + random.uniform(0.2, 1.2)
    return tuple(steps)


def _server_steps(random: Random, servers: int, terminate_at: float) -> tuple[ServerStep, ...]:
    steps = []
    for _ in range(random.randrange(1, 5)):
        fault = random.choice(list(ServerFault))
        server = random.randrange(1, servers) if fault is ServerFault.DRAIN else random.randrange(servers)
        at = random.uniform(0.3, terminate_at + 0.5)
        steps.append(ServerStep(server, fault, at, random.uniform(0.2, 2.0)))
    return tuple(steps)


def _discovery_steps(random: Random, terminate_at: float) -> tuple[DiscoveryStep, ...]:
    return tuple(
        DiscoveryStep(random.choice(list(DiscoveryFault)), random.uniform(0.2, terminate_at), random.uniform(0.2, 1.5))
        for _ in range(random.randrange(3))
    )


def _signals(random: Random, terminate_at: float) -> tuple[SignalStep, ...]:
    steps = [SignalStep("SIGHUP", random.uniform(0.2, terminate_at + 0.5)) for _ in range(random.randrange(4))]
    steps.append(SignalStep("SIGTERM", terminate_at))
    for _ in range(random.randrange(3)):
        steps.append(SignalStep(random.choice(["SIGTERM", "SIGINT"]), terminate_at + random.uniform(0.01, 0.9)))
    if random.random() < 0.6:
        held_up_at = terminate_at + random.uniform(-0.5, 0.8)
        steps.append(SignalStep("SIGSTOP", held_up_at, random.uniform(0.02, 0.15)))
    return tuple(sorted(steps, key=lambda step: step.at))
