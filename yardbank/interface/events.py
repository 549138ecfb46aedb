"""What happens: events that go into ``Router.handle``."""

from __future__ import annotations

from dataclasses import dataclass

from yardbank.interface.settings import Role, require


@dataclass(slots=True, frozen=True)
class Member:
    """One line of the server list."""

    server: int
    zone: str
    group: int
    primary: bool
    state: str  # ready | draining | gone
    started: int = 0  # 0: long ago
    share: float = 1.0  # of what equals are sent, as the operator or a plan says

    def __post_init__(self) -> None:
        require(self.share > 0, f"server {self.server}: share must be positive")


@dataclass(slots=True, frozen=True)
class Report:
    """What a server reports of itself; as old as the report."""

    position: int | None = None
    primary: bool | None = None
    load: float | None = None  # the share of its cores that is busy


@dataclass(slots=True, frozen=True)
class ServerList:
    """The list of servers, whole or changed lines only; ``failed`` when asking for it failed."""

    kind: str  # delta | full | saved | failed
    members: tuple[Member, ...] = ()


@dataclass(slots=True, frozen=True)
class TokensLost:
    """An earlier run's tokens are lost: every session's token in a group is at least its floor."""

    floors: tuple[tuple[int, int], ...]  # group, position


@dataclass(slots=True, frozen=True)
class Request:
    """A client's request; exactly one final answer is owed by ``expires``."""

    id: str
    group: int
    class_name: str
    expires: int
    session: str | None = None
    tenant: str | None = None
    since_write: int | None = None  # carried token: age of the session's last write, 0 or None: no write


NEVER_RAN = frozenset(("full", "connect_failed", "moot", "miss"))  # statuses of attempts that had no effect


@dataclass(slots=True, frozen=True)
class Outcome:
    """How an attempt ended."""

    id: str
    attempt: int
    server: int
    status: str  # ok | error | full | timeout | connect_failed | reset | cancelled | moot | miss
    latency: int
    closed: bool
    role: Role = Role.UNKNOWN
    position: int | None = None
    report: Report | None = None


@dataclass(slots=True, frozen=True)
class Probed:
    """What a probe brought."""

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
    """What other gateways are believed on servers; replaces the last one. ``doubted``: server, until when."""

    doubted: tuple[tuple[int, int], ...] = ()
    well: tuple[int, ...] = ()  # that this gateway doubts, and others find well


@dataclass(slots=True, frozen=True)
class PositionGossiped:
    """A position that marks prove which another gateway passed on; only ``report.position`` counts."""

    server: int
    report: Report


@dataclass(slots=True, frozen=True)
class ZoneLatencies:
    """What ways to other zones cost; replaces the last one. A zone that is not named costs a constant factor.

    Each way: the zone; the round trip beyond one within this gateway's own zone; the longest whole round trip, with
    less than which left an attempt is of no use there (0: the first alone says).
    """

    ways: tuple[tuple[str, int, int], ...] = ()

    def __post_init__(self) -> None:
        for zone, beyond, longest in self.ways:
            require(beyond >= 0 and longest >= 0, f"ways[{zone}]: a round trip must not be negative")


@dataclass(slots=True, frozen=True)
class Deadline:
    """An open request's answer is needed sooner than was said; ``request`` replaces the one of that id."""

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
