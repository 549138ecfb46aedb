"""What one seed plays: settings, servers, discovery, clients, signals. No I/O."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from random import Random

LONGEST_DEADLINE = 3.0
KILL_AFTER = 0.7  # seconds beyond the longest deadline from SIGTERM to the earliest kill
ARRIVALS_AFTER = 0.3  # seconds after SIGTERM in which new connections still come


class ServerFault(StrEnum):
    """What goes wrong at a server for a while."""

    HANG = "answers nothing"
    DROP = "closes connections as they open"
    RESET = "resets under a statement"
    FULL = "turns away"
    SILENT = "takes connections and says nothing"
    PIECES = "answers in pieces"
    DRAIN = "drains, and stays up"


class DiscoveryFault(StrEnum):
    """What goes wrong at discovery for a while."""

    SILENT = "open watches say nothing more"
    RESET = "open watches are reset"
    DOWN = "connections are taken and forgotten"


class Behaviour(StrEnum):
    """What a client does on a connection."""

    PLAIN = "one request after the other"
    PIPELINE = "many at once"
    HALVES = "writes in halves"
    SLOW = "reads late"
    LEAVER = "leaves with requests open"
    RETRIER = "asks again at once when refused"


@dataclass(slots=True, frozen=True)
class ServerStep:
    """A server's fault from a time on, for a while (s)."""

    server: int
    fault: ServerFault
    at: float
    lasts: float


@dataclass(slots=True, frozen=True)
class DiscoveryStep:
    """Discovery's fault from a time on, for a while (s)."""

    fault: DiscoveryFault
    at: float
    lasts: float


@dataclass(slots=True, frozen=True)
class SignalStep:
    """A signal by its name, so long after the play begins (s); a hold-up is SIGSTOP and SIGCONT after ``lasts``."""

    name: str
    at: float
    lasts: float = 0.0


@dataclass(slots=True, frozen=True)
class Plan:
    """One play; times in seconds from its begin."""

    seed: int
    deadlines: dict[str, float]  # by class
    effect: str  # of writes, as the platform's settings name it
    window: float  # for repeats of writes, s
    sockets: int
    memory_mb: int
    servers: int  # the first is the primary
    service_time: float
    server_steps: tuple[ServerStep, ...]
    discovery_steps: tuple[DiscoveryStep, ...]
    clients: tuple[Behaviour, ...]
    crowd: int  # clients that rest, and ask once after SIGTERM
    signals: tuple[SignalStep, ...]
    terminate_at: float

    @property
    def kill_at(self) -> float:
        """The earliest kill that the platform allows."""
        return self.terminate_at + min(LONGEST_DEADLINE, max(self.deadlines.values())) + KILL_AFTER


def draw(seed: int) -> Plan:
    """The play of a seed, the same each time."""
    random = Random(f"soak/{seed}")
    longest = random.choice([0.2, 0.3, 0.5, 1.0, 1.5, 3.0])
    effect = random.choice(["side_effect", "side_effect", "token"])
    terminate_at = random.uniform(1.5, 3.0)
    servers = random.randrange(3, 6)
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
    )


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
