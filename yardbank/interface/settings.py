"""What a gateway is configured with: classes of requests and the settings around them. Times in ns."""

from __future__ import annotations

from dataclasses import dataclass

from yardbank.interface.values import Effect, KeyScope, ReadMode, ReplicaCheck, ReportMode, TokenMode

MAX_DURATION = 1 << 62  # ns, 146 years: sums with longer times would not be exact enough
MAX_WEIGHT = 1e12


@dataclass(slots=True, frozen=True)
class RequestClass:
    """One class of requests: latency objective, weights, effect, and how recent its data must be.

    Raises ``ValueError`` where a value is out of its range; the message names the field as the wire does.
    """

    name: str
    latency_objective: int
    deadline: int
    priority_weight: float
    late_weight: float
    effect: str  # of ``Effect``
    scope: str = KeyScope.ALL  # where repeats of a keyed request are dropped
    window: int = 0  # how long repeats of a keyed request are dropped
    read: str = ReadMode.ANY
    staleness_bound: int = 0  # for bounded reads

    def __post_init__(self) -> None:
        require(self.name != "", "classes must have names")
        require(
            0 < self.latency_objective < MAX_DURATION, f"classes[{self.name}].aim must be positive and under 146 years"
        )
        require(0 < self.deadline < MAX_DURATION, f"classes[{self.name}].deadline must be positive and under 146 years")
        require(0 <= self.window < MAX_DURATION, f"classes[{self.name}].window must not be negative, nor 146 years")
        require(self.effect in tuple(Effect), f"classes[{self.name}].effect: {self.effect!r}")
        require(self.scope in tuple(KeyScope), f"classes[{self.name}].scope: {self.scope!r}")
        require(
            0 <= self.priority_weight <= MAX_WEIGHT, f"classes[{self.name}].worth must not be negative, nor beyond 1e12"
        )
        require(
            0 <= self.late_weight <= MAX_WEIGHT,
            f"classes[{self.name}].late_worth must not be negative, nor beyond 1e12",
        )
        bound = self.staleness_bound
        require(0 <= bound < MAX_DURATION, f"classes[{self.name}].staleness_bound must not be negative, nor 146 years")
        require(self.read in tuple(ReadMode), f"classes[{self.name}].read: {self.read!r}")


@dataclass(slots=True, frozen=True)
class Settings:
    """What a gateway is configured with.

    Raises ``ValueError`` where a value is out of its range; the message names the field.
    """

    seed: int
    zone: str
    gateways: int
    classes: tuple[RequestClass, ...]
    checks: str = ReplicaCheck.NONE
    patience: int = 0  # how long such a replica waits
    tokens: str = TokenMode.REMEMBERED
    tells_position: bool = False  # every answer carries a position
    reports: str = ReportMode.NONE
    tells_load: bool = False  # reports say how busy a server's cores are
    report_fields: tuple[str, ...] | None = None  # what reports hold, by the wire's names; None: not said
    period: int = 1_000_000  # least time between two batches
    max_attempts: int = 1
    may_cancel: bool = False
    may_probe: bool = False
    connect_timeout: int = 250_000_000  # a connection that is not up by then has failed
    max_retry_after: int = 0  # the longest retry-after a refusal may carry; 0: none
    subscribe: bool = False  # the list must be asked for
    cold: int = 0  # a started server is warm by then
    cold_share: float = 1.0  # the share of its capacity that it starts with
    only_draining_binds: bool = False  # a server that is merely gone may still be sent to

    def __post_init__(self) -> None:
        require(self.gateways > 0, "gateways must be positive")
        require(self.checks in tuple(ReplicaCheck), f"checks: {self.checks!r}")
        require(self.tokens in tuple(TokenMode), f"tokens: {self.tokens!r}")
        require(self.reports in tuple(ReportMode), f"reports: {self.reports!r}")
        require(len(self.classes) > 0, "classes must name at least one class")
        require(len({c.name for c in self.classes}) == len(self.classes), "classes must have distinct names")
        require(0 < self.period < MAX_DURATION, "period must be positive and under 146 years")
        require(self.max_attempts > 0, "max_attempts must be positive")
        require(0 <= self.cold < MAX_DURATION, "cold must not be negative, nor 146 years")
        require(0 <= self.patience < MAX_DURATION, "patience must not be negative, nor 146 years")
        require(0 < self.connect_timeout < MAX_DURATION, "connect_timeout must be positive and under 146 years")
        require(0 <= self.max_retry_after < MAX_DURATION, "max_retry_after must not be negative, nor 146 years")
        require(0 < self.cold_share <= 1, "cold_share must be above 0 and at most 1")


def require(holds: bool, message: str) -> None:
    """Raise ``ValueError`` with the message unless it holds."""
    if not holds:
        raise ValueError(message)
