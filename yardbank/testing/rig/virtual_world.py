"""What a virtual run is made of: its requests, its servers, its load, its faults."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Protocol

from yardbank import interface as api
from yardbank.testing.emulator.server import Capacity

if TYPE_CHECKING:
    from yardbank.testing.rig.virtual import Fleet

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
        0.45,
        0.085,
    ),
    Kind(api.RequestClass("status", 440 * MS, 1160 * MS, 1, 0.2, "safe", read="session"), 0.32, 0.09),
    Kind(api.RequestClass("commit", 290 * MS, 1740 * MS, 3, 0.7, "unsafe", read="write"), 0.23, 0.035),
)


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
