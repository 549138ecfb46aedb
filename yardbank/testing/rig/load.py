"""The operations of clients, their times and their retries. No I/O: drawn in advance from a seed, times in seconds.

The load is open-loop: arrival times do not depend on earlier answers, and latency counts from the arrival time.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

from yardbank.testing.rig.scenario import Group, Load

CLASS_OF = {"bounded": "lookup", "session": "status", "write": "commit"}
DEADLINES_S = {"lookup": 1.5, "status": 2.0, "commit": 3.0}
STALENESS_S = 0.8
GIVE_UP_AFTER_S = 2.0  # time after the deadline until a client stops waiting and changes gateway
RETRIED_READS = {
    "refused": ("bounded", "session", "write"),
    "lost": ("bounded", "session"),
    "failed": ("bounded", "session"),
    "silent": (),
    "gone": (),
}


@dataclass(slots=True, frozen=True)
class Arrival:
    """One operation that a client starts."""

    number: int
    at: float  # after the beginning of the load
    client: int
    read: str  # "bounded", "session" or "write"
    suffix: str
    entry: int

    @property
    def request_class(self) -> str:
        """Its class in the gateways' settings."""
        return CLASS_OF[self.read]

    @property
    def deadline(self) -> float:
        """The deadline of its class."""
        return DEADLINES_S[self.request_class]


def draw_arrivals(load: Load, groups: Sequence[Group], seed: int) -> list[Arrival]:
    """Draws all arrivals of a scenario in order of time, as a Poisson process."""
    random, at, found = Random(f"{seed}/load"), 0.0, list[Arrival]()
    while True:
        at += random.expovariate(load.rate)
        if at >= max(load.length, load.longest) / 1e9:
            return found
        chance = random.random()
        reads = (1 - load.writes) / 2  # share of each kind of read
        read = "write" if chance < load.writes else "session" if chance < load.writes + reads else "bounded"
        group = groups[random.randrange(len(groups))]
        found.append(
            Arrival(len(found), at, random.randrange(load.clients), read, group.suffix, random.randrange(load.entries))
        )


def retry_wait(arrival: Arrival, load: Load, tries: int, outcome: str, since: float, random: Random) -> float | None:
    """The wait before a client's next retry, or None if it does not retry.

    ``tries``: attempts so far, the last with this outcome; ``since``: seconds since the arrival. Operations that may
    have run are not retried, nor those whose deadline would pass first.
    """
    if tries > load.retries or arrival.read not in RETRIED_READS.get(outcome, ()):
        return None
    wait = load.backoff / 1e9 * 2 ** (tries - 1) * random.uniform(0.5, 1.0)
    return wait if since + wait < arrival.deadline else None


def session_end(load: Load, now: float, random: Random) -> float:
    """Draws the end of a session that begins now."""
    return now + random.expovariate(1e9 / load.session)


def next_gateway(gateways: Sequence[str], last: str, random: Random, uneven: float = 1.0) -> str:
    """Chooses the gateway for a client's next connection: another than the last, if there is one.

    The first gateway is chosen ``uneven`` times as often as the last, and the weights between them change linearly.
    """
    others = [name for name in gateways if name != last] or list(gateways)
    if uneven != 1.0:
        step = (1 - uneven) / max(1, len(gateways) - 1)
        weights = {name: uneven + index * step for index, name in enumerate(gateways)}
        return random.choices(others, [weights[name] for name in others])[0]
    return others[random.randrange(len(others))]
