"""Types that frontends and backends of every protocol share with the gateway. Times are integer nanoseconds."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any, Protocol

from yardbank.interface import Role
from yardbank.timeline import LogPosition, Vector

MS, SECOND = 1_000_000, 1_000_000_000


@dataclass(slots=True, frozen=True)
class ServerSpec:
    """One server as configured in the server list."""

    name: str
    group: str
    zone: str
    host: str
    port: int
    primary: bool = False
    state: str = "ready"  # ready | draining
    started: float = 0.0  # start time, wall clock, seconds; 0: long ago
    weight: float = 1.0

    @property
    def start(self) -> int:
        """The server's start time as gateways exchange it: milliseconds since 1970."""
        return round(self.started * 1000)


@dataclass(slots=True, frozen=True)
class Limits:
    """Resource limits of one gateway; each limit that is reached is logged."""

    max_open: int = 10_000  # requests accepted and not yet answered
    connections: int = 8  # connections to one server
    multiplex: int = 64  # attempts outstanding on one connection
    connect_timeout: int = 250 * MS
    probe_timeout: int = 250 * MS
    idle_close: int = 30 * SECOND
    gather: int = 256 << 10  # bytes of a response buffered, so that a failed attempt can be retried elsewhere
    stream_idle: int = 10 * SECOND  # a streamed response that pauses for longer is aborted
    stop_grace: int = 5 * SECOND

    def __post_init__(self) -> None:
        for name in self.__slots__:
            if getattr(self, name) <= 0:
                raise ValueError(f"limits.{name} must be positive")


@dataclass(slots=True)
class Reply:
    """The last part of a server's response to one attempt.

    ``status`` is ``ok`` for any definite response to the client, else ``full``, ``miss`` (both prove that nothing
    ran) or ``error``. ``commit`` is the origin and log position under which a write was committed. A miss with a
    payload is the response of a replica to a read that a more recent server may answer differently; from the primary
    the same response is definite.
    """

    status: str
    payload: Any = None
    role: Role = Role.UNKNOWN
    commit: tuple[str, LogPosition] | None = None
    reason: str = ""
    report: ProbeResult | None = None  # what the response reports about the server itself


@dataclass(slots=True, frozen=True)
class ProbeResult:
    """Result of a probe: log positions by origin, and whether the server is primary (None: not reported).

    ``load`` is the busy share of the server's cores, if the server reports it.
    """

    marks: Vector
    primary: bool | None = None
    load: float | None = None


class Sink(Protocol):
    """The frontend's side of one request.

    Exactly one of the last three methods is called, once, and nothing after it.
    """

    def part(self, payload: Any) -> None:
        """Deliver one part of the response; parts come in order."""

    def served(self, payload: Any) -> None:
        """Deliver the last part of the response."""

    def refused(self, retry_after: int, reason: str) -> None:
        """The request was rejected: nothing ran, or repeating it is harmless. ``retry_after``: ns."""

    def failed(self, reason: str) -> None:
        """The request failed, and it may or may not have run."""


@dataclass(slots=True)
class Call:
    """One request passed in by a frontend. ``operation`` is read by the protocol's backend only."""

    class_name: str
    group: str
    operation: Any
    sink: Sink
    session: str | None = None
    tenant: str | None = None
    since_write: int | None = None
    time_limit: int = 0  # the client's own time limit, ns; 0: only the deadline of the request class applies
    expires: int = 0  # absolute deadline of the response, ns; 0: derived from the request class and ``time_limit``
    gather: int = 0  # bytes of the response buffered before streaming; 0: ``Limits.gather`` applies
    label: str = ""  # name of the operation in the log
    present: Callable[[], bool] | None = None  # whether the client is connected; called before an attempt is written
    facts: Mapping[str, Any] = field(default_factory=dict)


class Receiver(Protocol):
    """Receives what a connection reads for an attempt."""

    def attempt_part(self, payload: Any, size: int) -> None:
        """A part of the response arrived, ``size`` bytes long."""

    def attempt_done(self, reply: Reply) -> None:
        """The last part of the response arrived."""

    def attempt_lost(self, reason: str) -> None:
        """The connection was lost while the attempt was outstanding."""


class NotSentError(ValueError):
    """An attempt could not be written and the kernel accepted none of its bytes: it never ran and may be retried."""


class Connection(Protocol):
    """One established connection to a server."""

    def submit(self, operation: Any, receiver: Receiver) -> int:
        """Send an attempt; returns its number on this connection.

        Raises ``ValueError`` if it cannot be sent, ``NotSentError`` if also none of its bytes can have been sent.
        """

    def abandon(self, number: int) -> None:
        """Stop waiting for an attempt; anything that still arrives for it is dropped."""

    def probe(self, done: Callable[[ProbeResult | None], None]) -> int:
        """Ask for log position and role; ``done`` is called once, with None if the response is malformed."""

    def fit(self) -> bool:
        """Whether another attempt can be sent now: not if it is broken, closing or has received unsolicited data."""

    def close(self) -> None:
        """Close the connection gracefully."""


LOST_DURING_CONNECT = "the connection broke while it was opening"


class Backend(Protocol):
    """Connects to the servers of one protocol."""

    def connect(
        self,
        server: ServerSpec,
        ready: Callable[[Connection], None],
        lost: Callable[[str], None],
    ) -> Callable[[], None]:
        """Open a connection; returns a function that aborts it.

        ``ready`` is called at most once, then ``lost`` exactly once. ``lost`` receives ``LOST_DURING_CONNECT`` if
        the peer accepted the connection and then dropped it without a response, as opposed to refusing it.
        """

    def describe(self, operation: Any) -> str:
        """Return a short name of an operation for the log."""
