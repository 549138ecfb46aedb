"""Configuration of a gateway: request classes and general settings. Times are in ns."""

from __future__ import annotations

from dataclasses import dataclass

from yardbank.interface.values import Effect, KeyScope, ReadMode, ReplicaCheck, ReportMode, TokenMode

MAX_DURATION = 1 << 62  # ns, 146 years; sums with longer times would lose too much precision
MAX_WEIGHT = 1e12


@dataclass(slots=True, frozen=True)
class RequestClass:
    """One class of requests: latency objective, weights, effect, and how recent its data must be.

    Raises ``ValueError`` if a value is out of range; the message uses the field's external name.
    """

    name: str
    latency_objective: int
    deadline: int
    priority_weight: float
    late_weight: float
    effect: str  # an ``Effect`` value
    scope: str = KeyScope.ALL  # where duplicates of a keyed request are detected
    window: int = 0  # how long duplicates of a keyed request are dropped (ns)
    read: str = ReadMode.ANY
    staleness_bound: int = 0  # greatest age of the data for bounded reads (ns)

    def __post_init__(self) -> None:
        require(self.name != "", "classes must have non-empty names")
        require(
            0 < self.latency_objective < MAX_DURATION, f"classes[{self.name}].aim must be positive and under 146 years"
        )
        require(0 < self.deadline < MAX_DURATION, f"classes[{self.name}].deadline must be positive and under 146 years")
        require(0 <= self.window < MAX_DURATION, f"classes[{self.name}].window must be at least 0 and under 146 years")
        require(self.effect in tuple(Effect), f"classes[{self.name}].effect has the unknown value {self.effect!r}")
        require(self.scope in tuple(KeyScope), f"classes[{self.name}].scope has the unknown value {self.scope!r}")
        require(0 <= self.priority_weight <= MAX_WEIGHT, f"classes[{self.name}].worth must be between 0 and 1e12")
        require(
            0 <= self.late_weight <= MAX_WEIGHT,
            f"classes[{self.name}].late_worth must be between 0 and 1e12",
        )
        bound = self.staleness_bound
        require(
            0 <= bound < MAX_DURATION,
            f"classes[{self.name}].staleness_bound must be at least 0 and under 146 years",
        )
        require(self.read in tuple(ReadMode), f"classes[{self.name}].read has the unknown value {self.read!r}")


@dataclass(slots=True, frozen=True)
class Settings:
    """Configuration of a gateway.

    Raises ``ValueError`` if a value is out of range; the message names the field.
    """

    seed: int
    zone: str
    gateways: int
    classes: tuple[RequestClass, ...]
    checks: str = ReplicaCheck.NONE
    patience: int = 0  # how long a replica in ``ReplicaCheck.WAIT`` mode waits to catch up
    tokens: str = TokenMode.REMEMBERED
    tells_position: bool = False  # every answer carries a log position
    reports: str = ReportMode.NONE
    tells_load: bool = False  # reports contain the server's CPU load
    report_fields: tuple[str, ...] | None = None  # contents of reports, as named on the wire; None: unknown
    period: int = 1_000_000  # least time between two batches of events
    max_attempts: int = 1
    may_cancel: bool = False
    may_probe: bool = False
    connect_timeout: int = 250_000_000  # a connection not established by then has failed
    max_retry_after: int = 0  # longest retry-after that a refusal may carry; 0: none
    subscribe: bool = False  # the server list must be subscribed to
    cold: int = 0  # how long a server takes to warm up after its start
    cold_share: float = 1.0  # fraction of its full capacity that a server starts with
    only_draining_binds: bool = False  # a server that left the list without draining may still get requests

    def __post_init__(self) -> None:
        require(self.gateways > 0, "gateways must be positive")
        require(self.checks in tuple(ReplicaCheck), f"checks has the unknown value {self.checks!r}")
        require(self.tokens in tuple(TokenMode), f"tokens has the unknown value {self.tokens!r}")
        require(self.reports in tuple(ReportMode), f"reports has the unknown value {self.reports!r}")
        require(len(self.classes) > 0, "classes must contain at least one class")
        require(len({c.name for c in self.classes}) == len(self.classes), "classes must have distinct names")
        require(0 < self.period < MAX_DURATION, "period must be positive and under 146 years")
        require(self.max_attempts > 0, "max_attempts must be positive")
        require(0 <= self.cold < MAX_DURATION, "cold must be at least 0 and under 146 years")
        require(0 <= self.patience < MAX_DURATION, "patience must be at least 0 and under 146 years")
        require(0 < self.connect_timeout < MAX_DURATION, "connect_timeout must be positive and under 146 years")
        require(0 <= self.max_retry_after < MAX_DURATION, "max_retry_after must be at least 0 and under 146 years")
        require(0 < self.cold_share <= 1, "cold_share must be above 0 and at most 1")


def require(condition: bool, message: str) -> None:
    """Raise ``ValueError`` with the message unless the condition is true."""
    if not condition:
        raise ValueError(message)
