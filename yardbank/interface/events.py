"""What happens: events that go into ``Router.handle``."""

from __future__ import annotations

from dataclasses import dataclass

from yardbank.interface.settings import require
from yardbank.interface.values import Role


@dataclass(slots=True, frozen=True)
class Member:
    """One line of the server list.

    ``started`` is a clock time (ns), 0 for long ago; ``share`` is of the requests that equally good servers get, as the
    operator or a plan says. Raises ``ValueError`` for a share that is not positive.
    """

    server: int
    zone: str
    group: int
    primary: bool
    state: str  # of ``MemberState``
    started: int = 0
    share: float = 1.0

    def __post_init__(self) -> None:
        require(self.share > 0, f"server {self.server}: share must be positive")


@dataclass(slots=True, frozen=True)
class Report:
    """What a server reports of itself, as old as the report: its log position (ns), its role, its load."""

    position: int | None = None
    primary: bool | None = None
    load: float | None = None  # the share of its cores that is busy


@dataclass(slots=True, frozen=True)
class ServerList:
    """The list of servers, complete or changed lines only."""

    kind: str  # of ``ListKind``
    members: tuple[Member, ...] = ()


@dataclass(slots=True, frozen=True)
class TokensLost:
    """A restart lost the session tokens: every session's token in a group is at least the group's floor."""

    floors: tuple[tuple[int, int], ...]  # group, position


@dataclass(slots=True, frozen=True)
class Request:
    """A client's request; exactly one final answer is owed by ``expires`` (clock time, ns)."""

    id: str
    group: int
    class_name: str
    expires: int
    session: str | None = None
    tenant: str | None = None
    since_write: int | None = None  # carried token: age of the session's last write, 0 or None: no write


@dataclass(slots=True, frozen=True)
class Outcome:
    """How an attempt ended.

    ``latency`` is in ns; ``closed``: the request has its final answer by this; ``position`` is the log position
    that came with the answer, of a write its commit.
    """

    id: str
    attempt: int
    server: int
    status: str  # of ``Status``
    latency: int
    closed: bool
    role: Role = Role.UNKNOWN
    position: int | None = None
    report: Report | None = None


@dataclass(slots=True, frozen=True)
class Probed:
    """How a probe ended (``latency`` in ns), and the report that it brought."""

    server: int
    status: str
    latency: int
    report: Report | None = None


@dataclass(slots=True, frozen=True)
class Started:
    """The first byte of a streamed answer has gone to the client."""

    id: str


@dataclass(slots=True, frozen=True)
class ClientCancelled:
    """The client has left; nothing more is owed."""

    id: str


@dataclass(slots=True, frozen=True)
class GossipedOutliers:
    """What gossip says of servers' health; replaces the last one.

    ``outliers``: servers found to be outliers, each until when (ns); ``healthy``: servers that this gateway has ejected
    and others find healthy.
    """

    outliers: tuple[tuple[int, int], ...] = ()
    healthy: tuple[int, ...] = ()


@dataclass(slots=True, frozen=True)
class PositionGossiped:
    """A position that another gateway observed, and proves; only ``report.position`` counts."""

    server: int
    report: Report


@dataclass(slots=True, frozen=True)
class ZoneLatencies:
    """Latencies to other zones; replaces the last one. A zone that is not named costs a constant factor.

    Each entry of ``latencies``: the zone; the round trip beyond one within this gateway's own zone (ns); the longest
    whole round trip (ns), with less than which left an attempt is of no use there (0: the first alone says). Raises
    ``ValueError`` for a negative one.
    """

    latencies: tuple[tuple[str, int, int], ...] = ()

    def __post_init__(self) -> None:
        for zone, beyond, longest in self.latencies:
            require(beyond >= 0 and longest >= 0, f"ways[{zone}]: a round trip must not be negative")


@dataclass(slots=True, frozen=True)
class Deadline:
    """A pending request's answer is needed sooner than was said; ``request`` replaces the one of that id."""

    request: Request


@dataclass(slots=True, frozen=True)
class Timer:
    """A timer set by the router has run out."""

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
