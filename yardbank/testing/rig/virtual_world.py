"""Parameters of a simulated run: requests, servers, load, faults. Times in ns unless stated otherwise."""

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
REPORT_EVERY = 150 * MS  # interval between servers' load measurements
NET = MS // 2  # one-way latency between any two hosts
BIN = SECOND // 2  # length of a counting interval


class Decider(Protocol):
    """The router interface that a run uses."""

    def handle(self, now: int, event: api.Event) -> list[api.Action]:
        """Processes one event and returns actions in order."""
        ...


MakeRouter = Callable[[api.Settings], Decider]


@dataclass(slots=True, frozen=True)
class WorkloadClass:
    """A request class, its fraction of the load, and its mean work (core seconds, exponentially distributed)."""

    request_class: api.RequestClass
    fraction: float
    work_s: float


WORKLOAD = (
    WorkloadClass(
        api.RequestClass("lookup", 290 * MS, 870 * MS, 2, 0, "safe", read="bounded", staleness_bound=460 * MS),
        0.45,
        0.085,
    ),
    WorkloadClass(api.RequestClass("status", 440 * MS, 1160 * MS, 1, 0.2, "safe", read="session"), 0.32, 0.09),
    WorkloadClass(api.RequestClass("commit", 290 * MS, 1740 * MS, 3, 0.7, "unsafe", read="write"), 0.23, 0.035),
)


@dataclass(slots=True, frozen=True)
class World:
    """The parameters of a run. ``rate``: new requests per second to the whole fleet.

    Raises ``ValueError`` for a value out of its range.
    """

    seed: int = 1
    gateways: int = 200
    groups: int = 12
    copies: int = 5
    rate: float = 1200.0
    skew: float = 0.25  # largest relative difference in load between groups; gateways differ by up to 4 times
    zones: int = 2
    capacity: Capacity = field(default_factory=Capacity)
    workload: tuple[WorkloadClass, ...] = WORKLOAD
    retries: int = 2
    patience: float = 0.8  # share of the deadline after which a client cancels
    backoff: int = 60 * MS
    honours: float = 0.6  # share of clients that respect the retry time of a refusal
    load: Callable[[float], float] = lambda second: 1.0  # factor of ``rate`` over time
    length: float = 20.0  # seconds
    tells_load: bool = True  # whether servers report their load
    faults: Sequence[tuple[float, Callable[[Fleet], None]]] = ()

    def __post_init__(self) -> None:
        if min(self.gateways, self.groups, self.copies, self.zones) < 1 or self.rate <= 0:
            raise ValueError("world: gateways, groups, copies, zones and rate must be positive")
