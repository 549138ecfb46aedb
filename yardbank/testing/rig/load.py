"""What clients ask, when, and when they ask again. No I/O: drawn ahead by seed, times in seconds.

The load is open: an arrival's time does not depend on earlier answers, and its latency counts from that time.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

from yardbank.testing.rig.scenario import Group, Load

CLASS_OF = {"bounded": "lookup", "session": "status", "write": "commit"}
DEADLINE = {"lookup": 1.5, "status": 2.0, "commit": 3.0}
STALENESS = 0.8
GIVE_UP = 2.0  # so long after its deadline a client stops waiting and goes elsewhere
AGAIN = {
    "refused": ("bounded", "session", "write"),
    "lost": ("bounded", "session"),
    "failed": ("bounded", "session"),
    "silent": (),
    "gone": (),
}


@dataclass(slots=True, frozen=True)
class Arrival:
    """One thing that a client wants."""

    number: int
    at: float  # from the load's beginning
    client: int
    read: str  # "bounded", "session" or "write"
    suffix: str
    entry: int

    @property
    def request_class(self) -> str:
        """The class that the gateways' settings put it in."""
        return CLASS_OF[self.read]

    @property
    def deadline(self) -> float:
        """Seconds within which its class wants the answer."""
        return DEADLINE[self.request_class]


def draw(load: Load, groups: Sequence[Group], seed: int) -> list[Arrival]:
    """All arrivals of a scenario, in order of time (a Poisson process)."""
    random, at, found = Random(f"{seed}/load"), 0.0, list[Arrival]()
    while True:
        at += random.expovariate(load.rate)
        if at >= max(load.length, load.longest) / 1e9:
            return found
        chance = random.random()
        reads = (1 - load.writes) / 2  # of each kind
        read = "write" if chance < load.writes else "session" if chance < load.writes + reads else "bounded"
        group = groups[random.randrange(len(groups))]
        found.append(
            Arrival(len(found), at, random.randrange(load.clients), read, group.suffix, random.randrange(load.entries))
        )


def try_again(arrival: Arrival, load: Load, tries: int, outcome: str, since: float, random: Random) -> float | None:
    """How long a client waits before it asks again; None: it does not.

    ``tries`` were made, the last with this outcome, ``since`` seconds after the arrival's time. What may have run is
    not asked again, nor what would come after its deadline.
    """
    if tries > load.retries or arrival.read not in AGAIN.get(outcome, ()):
        return None
    wait = load.backoff / 1e9 * 2 ** (tries - 1) * random.uniform(0.5, 1.0)
    return wait if since + wait < arrival.deadline else None


def session_end(load: Load, now: float, random: Random) -> float:
    """When a client that connects now will have done with that session."""
    return now + random.expovariate(1e9 / load.session)


def next_gateway(gateways: Sequence[str], last: str, random: Random, uneven: float = 1.0) -> str:
    """Where a client goes whose last connection went: elsewhere, if there is an elsewhere.

    The first gateway is chosen ``uneven`` times as often as the last, those between them by even steps.
    """
    others = [name for name in gateways if name != last] or list(gateways)
    if uneven != 1.0:
        step = (1 - uneven) / max(1, len(gateways) - 1)
        weights = {name: uneven + index * step for index, name in enumerate(gateways)}
        return random.choices(others, [weights[name] for name in others])[0]
    return others[random.randrange(len(others))]
