"""Schema of the settings (pydantic), including the default of every field."""

from __future__ import annotations

from typing import Annotated, Any, Literal

from pydantic import Field, model_validator

from yardbank.config.base import Duration, Model, StringTuple
from yardbank.config.blocks import (
    AtlasBlock,
    ChannelsBlock,
    DistributionBlock,
    LeasesBlock,
    MembershipBlock,
    PeersBlock,
    RolloutBlock,
    StateBlock,
)
from yardbank.directory import naming


class Listener(Model):
    """Where clients of one protocol connect."""

    protocol: Literal["ldap"]
    address: str = "127.0.0.1"
    port: Annotated[int, Field(ge=0, le=65535, strict=True)]
    anonymous: bool = False
    session: Literal["connection", "identity"] = "connection"
    max_message: Annotated[int, Field(gt=0, strict=True)] = 4 << 20
    max_outstanding: Annotated[int, Field(gt=0, strict=True)] = 1000
    max_unread: Annotated[int, Field(gt=0, strict=True)] = 4 << 20
    max_connections: Annotated[int, Field(gt=0, strict=True)] = 50_000
    # Concurrent partial searches of searches that span groups.
    parts: Annotated[int, Field(gt=0, le=1000, strict=True)] = 16
    # Octets buffered for all partial searches together.
    parts_memory: Annotated[int, Field(ge=4096, strict=True)] = 4 << 20


class BackendBlock(Model):
    """Protocol and credentials for connections to servers."""

    protocol: Literal["ldap"]
    bind_dn: str = ""
    bind_password: str = ""
    role_attribute: str = ""
    primary_value: str = "primary"


class GatewayBlock(Model):
    """Position of this gateway in the fleet, and its routing parameters."""

    zone: str = ""
    gateways: Annotated[int, Field(gt=0, strict=True)] = 1
    index: Annotated[int, Field(ge=0, strict=True)] = 0  # of this gateway among ``gateways``, counted from 0
    seed: Annotated[int, Field(ge=0, strict=True)] | None = None
    cold: Duration = 0
    cold_share: Annotated[float, Field(gt=0, le=1)] = 1.0
    max_retry_after: Duration = 2_000_000_000
    max_attempts: Annotated[int, Field(gt=0, strict=True)] = 6
    period: Duration = 1_000_000


class LimitsBlock(Model):
    """Limits of one gateway. Durations are in nanoseconds."""

    max_open: Annotated[int, Field(gt=0, strict=True)] = 10_000
    connections: Annotated[int, Field(gt=0, strict=True)] = 8
    multiplex: Annotated[int, Field(gt=0, strict=True)] = 64
    connect_timeout: Duration = 250_000_000
    probe_timeout: Duration = 250_000_000
    idle_close: Duration = 30_000_000_000
    gather: Annotated[int, Field(gt=0, strict=True)] = 256 << 10
    stream_idle: Duration = 10_000_000_000
    stop_grace: Duration = 5_000_000_000


class Logging(Model):
    """Log level and format."""

    level: Literal["debug", "info", "warning", "error"] = "info"
    format: Literal["console", "json"] = "console"
    answers: bool = False  # log one line per final answer


class Group(Model):
    """A primary and its replicas, which hold one subtree."""

    name: str
    suffix: str


class Server(Model):
    """One database server."""

    name: str
    group: str
    address: str
    port: Annotated[int, Field(gt=0, le=65535, strict=True)]
    zone: str = ""
    primary: bool = False
    state: Literal["ready", "draining"] = "ready"
    started: float = 0.0  # wall clock time, seconds since 1970; 0: long ago, so the server is not cold
    weight: Annotated[float, Field(gt=0)] = 1.0


class Match(Model):
    """Conditions on the operations of a class. Omitted conditions match everything."""

    operation: StringTuple
    base: str = ""
    scope: StringTuple = ()
    attribute: StringTuple = ()
    identity: StringTuple = ()

    @model_validator(mode="after")
    def _check_keywords(self) -> Match:
        known = {"search", "compare", "add", "delete", "modify", "modifydn", "passwd"}
        for word in self.operation:
            if word not in known:
                raise ValueError(f"operation: '{word}' is none of {', '.join(sorted(known))}")
        for word in self.scope:
            if word not in ("base", "one", "sub", "subordinate"):
                raise ValueError(f"scope: '{word}' is none of base, one, sub, subordinate")
        return self


class Class(Model):
    """One class of request."""

    name: str
    effect: Literal["safe", "keyed", "unsafe"]
    read: Literal["any", "bounded", "session", "fresh", "write"]
    aim: Duration
    deadline: Duration
    worth: Annotated[float, Field(ge=0)] = 1.0
    late_worth: Annotated[float, Field(ge=0, le=1)] = 0.0
    staleness: Duration = 0
    scope: Literal["all", "zone", "cell"] = "all"
    window: Duration = 0
    match: tuple[Match, ...] = ()

    @model_validator(mode="after")
    def _check_consistency(self) -> Class:
        if self.aim <= 0 or self.deadline <= 0:
            raise ValueError("aim and deadline must be positive")
        if self.aim > self.deadline:
            raise ValueError("aim is longer than deadline")
        if self.read == "bounded" and self.staleness <= 0:
            raise ValueError("a bounded read needs staleness")
        if self.read != "bounded" and self.staleness:
            raise ValueError("staleness is allowed for bounded reads only")
        if self.read == "write" and self.effect == "safe" and self.name != "":
            raise ValueError('the effect of a write must be "keyed" or "unsafe"')
        if self.read != "write" and self.effect != "safe":
            raise ValueError('the effect of a read must be "safe"')
        if self.effect == "keyed" and self.window <= 0:
            raise ValueError("a keyed class needs window")
        operations = {word for match in self.match for word in match.operation}
        reads = {"search", "compare"}
        wrong = operations - reads if self.read != "write" else operations & reads
        if wrong:
            raise ValueError(f'match: {", ".join(sorted(wrong))} cannot be of a class with read = "{self.read}"')
        return self


class Identity(Model):
    """Credentials of a client that may bind."""

    name: str
    password: Annotated[str, Field(min_length=1)]


class Strict(Model):
    """Times of the two strictest classes, used for operations that match no rule or several equally specific ones."""

    aim: Duration = 1_000_000_000
    deadline: Duration = 5_000_000_000


class Config(Model):
    """A complete settings file."""

    listener: tuple[Listener, ...] = Field(min_length=1)
    backend: tuple[BackendBlock, ...] = Field(min_length=1)
    group: tuple[Group, ...] = Field(min_length=1)
    server: tuple[Server, ...] = ()
    membership: MembershipBlock | None = None
    state: StateBlock | None = None
    peers: PeersBlock | None = None
    leases: LeasesBlock | None = None
    channels: ChannelsBlock | None = None
    rollout: RolloutBlock | None = None
    atlas: AtlasBlock | None = None
    distribution: DistributionBlock | None = None
    classes: tuple[Class, ...] = Field(alias="class", min_length=1)
    identity: tuple[Identity, ...] = ()
    gateway: GatewayBlock = GatewayBlock()
    limits: LimitsBlock = LimitsBlock()
    logging: Logging = Logging()
    strict: Strict = Strict()


LABELS = {
    "listener": "protocol",
    "backend": "protocol",
    "group": "name",
    "server": "name",
    "class": "name",
    "identity": "name",
}
SINGLE = (
    "gateway",
    "limits",
    "logging",
    "strict",
    "membership",
    "state",
    "peers",
    "leases",
    "channels",
    "rollout",
    "atlas",
    "distribution",
)


def match_key(match: Match, operation: str) -> tuple[Any, ...]:
    """Key that is equal for two match blocks with the same conditions on one operation."""
    return (
        operation,
        naming.fold(match.base),
        tuple(sorted(match.scope)),
        tuple(sorted(name.lower() for name in match.attribute)),
        tuple(sorted(naming.fold(name) for name in match.identity)),
    )
