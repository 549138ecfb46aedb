"""The model that a plan is computed from: demand, servers, limits. Rates are requests per second."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, replace


@dataclass(slots=True, frozen=True)
class PlanServer:
    """One server: its capacity when warm, how warm it is, and the capacity already taken (by writes)."""

    name: str
    group: str
    zone: str
    capacity: float
    warmth: float = 1.0  # the share of its capacity that it has now, never overestimated
    taken: float = 0.0
    primary: bool = False
    kind: str = ""  # of machine

    @property
    def usable(self) -> float:
        """Capacity left for reads."""
        return max(0.0, self.capacity * self.warmth - self.taken)


@dataclass(slots=True, frozen=True)
class Demand:
    """Reads of one class from one group, requested in one zone."""

    kind: str
    group: str
    zone: str
    rate: float


@dataclass(slots=True, frozen=True)
class Limits:
    """Constraints on a plan."""

    most_used: float = 1.0  # highest utilization of each server's usable capacity
    spill: Mapping[str, float] = field(default_factory=dict)  # by zone: share of a group's reads that may leave it
    survive_server: bool = False  # without any one server of a group, the rest carries its demand
    survive_zone: bool = False  # without any one zone, the rest carries each group's demand from the other zones
    prices: Mapping[tuple[str, str], float] = field(default_factory=dict)  # per cross-zone read; else 1
    most_moved: float = 1.0  # the share of a group's reads that may move away from ``before``
    before: Mapping[tuple[str, str, str], Mapping[str, float]] = field(default_factory=dict)  # the active shares


@dataclass(slots=True, frozen=True)
class Problem:
    """The whole input. Raises ``ValueError`` that names what is inconsistent."""

    servers: tuple[PlanServer, ...]
    demands: tuple[Demand, ...]
    limits: Limits = Limits()

    def __post_init__(self) -> None:
        self._check_duplicates()
        self._check_servers_and_demands()
        self._check_limits()

    def _check_duplicates(self) -> None:
        names = [server.name for server in self.servers]
        if len(set(names)) != len(names):
            raise ValueError("servers: a name is given twice")
        keys = [(d.kind, d.group, d.zone) for d in self.demands]
        if len(set(keys)) != len(keys):
            raise ValueError("demands: two demands have the same class, group and zone")

    def _check_servers_and_demands(self) -> None:
        for server in self.servers:
            if not (0 <= server.capacity < 1e12 and 0 <= server.warmth <= 1 and 0 <= server.taken < 1e12):
                raise ValueError(f"server {server.name!r}: capacity, warmth or taken is out of range")
        for demand in self.demands:
            if not 0 <= demand.rate < 1e12:
                raise ValueError(f"demand {demand.kind!r} of {demand.group!r}: rate is out of range")

    def _check_limits(self) -> None:
        for zone, share in self.limits.spill.items():
            if not 0 <= share <= 1:
                raise ValueError(f"spill of zone {zone!r} is not between 0 and 1")
        for (source, target), price in self.limits.prices.items():
            if not 0 < price < 1e6:
                raise ValueError(f"price from {source!r} to {target!r} is not above 0, or beyond 1e6")
        if not 0 <= self.limits.most_moved <= 1:
            raise ValueError("most_moved is not between 0 and 1")
        if not 0 < self.limits.most_used <= 1:
            raise ValueError("most_used is not above 0 and at most 1")

    def groups(self) -> tuple[str, ...]:
        """Names of the groups with demand or servers, sorted."""
        return tuple(sorted({s.group for s in self.servers} | {d.group for d in self.demands}))


def warmth_of(age: float, cold: float, cold_share: float) -> float:
    """Return the share of its capacity that a server has ``age`` seconds after its start.

    It rises linearly from ``cold_share`` and reaches 1 after ``cold`` seconds.
    """
    if cold <= 0 or age >= cold:
        return 1.0
    return cold_share + (1 - cold_share) * max(0.0, age) / cold


RELAXABLE = ("spill", "most_used", "survive", "most_moved")


def relaxed(problem: Problem, names: tuple[str, ...]) -> Problem:
    """Return the problem without the named limits. Raises ``ValueError`` for an unknown name."""
    limits = problem.limits
    for name in names:
        match name:
            case "spill":
                limits = replace(limits, spill={})
            case "most_used":
                limits = replace(limits, most_used=1.0)
            case "survive":
                limits = replace(limits, survive_server=False, survive_zone=False)
            case "most_moved":
                limits = replace(limits, most_moved=1.0)
            case _:
                raise ValueError(f"{name!r} is none of {', '.join(RELAXABLE)}")
    return replace(problem, limits=limits)
