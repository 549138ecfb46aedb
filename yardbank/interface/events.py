"""Events that go into ``Router.handle``: what has happened."""

from __future__ import annotations

from dataclasses import dataclass

from yardbank.interface.settings import require
from yardbank.interface.values import Role


@dataclass(slots=True, frozen=True)
class Member:
    """One server's entry in the server list.

    ``started`` is the clock time of the server's start (ns); 0 means that it started long ago. ``share`` is the
    server's relative share of requests among equally good servers, set by the operator or by a plan. Raises
    ``ValueError`` for a share that is not positive.
    """

    server: int
    zone: str
    group: int
    primary: bool
    state: str  # a ``MemberState`` value
    started: int = 0
    share: float = 1.0

    def __post_init__(self) -> None:
        require(self.share > 0, f"server {self.server}: share must be positive")


@dataclass(slots=True, frozen=True)
class Report:
    """A server's report of its own state when the report was made: log position (ns), role and load."""

    position: int | None = None
    primary: bool | None = None
    load: float | None = None  # fraction of its CPU cores in use


@dataclass(slots=True, frozen=True)
class ServerList:
    """The server list: either complete or changed entries only, depending on ``kind``."""

    kind: str  # a ``ListKind`` value
    members: tuple[Member, ...] = ()


@dataclass(slots=True, frozen=True)
class TokensLost:
    """A restart lost the session tokens; from now on every session's token in a group is at least the group's floor."""

    floors: tuple[tuple[int, int], ...]  # (group, position) pairs


@dataclass(slots=True, frozen=True)
class Request:
    """A client's request; exactly one final answer must be given by ``expires`` (clock time, ns)."""

    id: str
    group: int
    class_name: str
    expires: int
    session: str | None = None
    tenant: str | None = None
    since_write: int | None = None  # carried token: age of the session's last write (ns); 0 or None means no write


@dataclass(slots=True, frozen=True)
class Outcome:
    """How an attempt ended.

    ``latency`` is in ns. ``closed`` means that this outcome gave the request its final answer. ``position`` is the log
    position that came with the answer; for a write it is the position of its commit.
    """

    id: str
    attempt: int
    server: int
    status: str  # a ``Status`` value
    latency: int
    closed: bool
    role: Role = Role.UNKNOWN
    position: int | None = None
    report: Report | None = None


@dataclass(slots=True, frozen=True)
class Probed:
    """How a probe ended (``latency`` in ns), and the report that it returned."""

    server: int
    status: str
    latency: int
    report: Report | None = None


@dataclass(slots=True, frozen=True)
class Started:
    """The first byte of a streamed answer has been sent to the client."""

    id: str


@dataclass(slots=True, frozen=True)
class ClientCancelled:
    """The client has cancelled its request or disconnected; no answer is needed any more."""

    id: str


@dataclass(slots=True, frozen=True)
class GossipedOutliers:
    """What other gateways report of servers' health; replaces the previous event of this type.

    ``outliers``: servers that others consider outliers, each with the time until which that holds (ns). ``healthy``:
    servers that this gateway has ejected and others find healthy.
    """

    outliers: tuple[tuple[int, int], ...] = ()
    healthy: tuple[int, ...] = ()


@dataclass(slots=True, frozen=True)
class PositionGossiped:
    """A verified log position that another gateway observed; only ``report.position`` is used."""

    server: int
    report: Report


@dataclass(slots=True, frozen=True)
class ZoneLatencies:
    """Latencies to other zones; replaces the previous event of this type.

    A zone that is not listed costs a constant factor. Each entry of ``latencies`` holds: the zone; the extra round trip
    over one within this gateway's own zone (ns); the longest complete round trip (ns), below which remaining time is
    too short for an attempt there (0: use the extra round trip instead). Raises ``ValueError`` for a negative latency.
    """

    latencies: tuple[tuple[str, int, int], ...] = ()

    def __post_init__(self) -> None:
        for zone, extra, longest in self.latencies:
            require(extra >= 0 and longest >= 0, f"ways[{zone}]: a round trip must not be negative")


@dataclass(slots=True, frozen=True)
class Deadline:
    """A pending request's deadline has moved forward; ``request`` replaces the one with the same id."""

    request: Request


@dataclass(slots=True, frozen=True)
class Timer:
    """A timer set by the router has expired."""

    token: str


Event = (
    ServerList
    | TokensLost
    | Request
    | Outcome
    | Probed
    | Started
    | ClientCancelled
    | Timer
    | GossipedOutliers
    | PositionGossiped
    | ZoneLatencies
    | Deadline
)
