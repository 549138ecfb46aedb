"""What fronts and backends of any protocol share with the gateway. Times are integer nanoseconds."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any, Protocol

from yardbank.interface import Role
from yardbank.timeline import LogPosition, Vector

MS, SECOND = 1_000_000, 1_000_000_000


@dataclass(slots=True, frozen=True)
class ServerSpec:
    """One server as the operator lists it."""

    name: str
    group: str
    zone: str
    host: str
    port: int
    primary: bool = False
    state: str = "ready"  # ready | draining
    started: float = 0.0  # wall clock, seconds; 0: long ago
    weight: float = 1.0

    @property
    def start(self) -> int:
        """Its start as gateways tell each other of it: milliseconds since 1970."""
        return round(self.started * 1000)


@dataclass(slots=True, frozen=True)
class Limits:
    """Bounds of one gateway; each one reached is logged."""

    max_open: int = 10_000  # requests taken and not yet answered
    connections: int = 8  # to one server
    multiplex: int = 64  # attempts outstanding on one connection
    connect_timeout: int = 250 * MS
    probe_timeout: int = 250 * MS
    idle_close: int = 30 * SECOND
    gather: int = 256 << 10  # octets of an answer kept back, so that an attempt that dies can go elsewhere
    stream_idle: int = 10 * SECOND  # a streamed answer that pauses longer is broken off
    stop_grace: int = 5 * SECOND

    def __post_init__(self) -> None:
        for name in self.__slots__:
            if getattr(self, name) <= 0:
                raise ValueError(f"limits.{name} must be positive")


@dataclass(slots=True)
class Reply:
    """The last part of a server's answer to one attempt.

    ``status`` is ``ok`` for any definite answer that belongs to the client, else ``full``, ``miss`` (both
    prove that nothing ran) or ``error``. ``commit`` is the origin and mark under which a write was committed.
    A miss with a payload is a read's answer that a server further on may give otherwise: the primary's is definite.
    """

    status: str
    payload: Any = None
    role: Role = Role.UNKNOWN
    commit: tuple[str, LogPosition] | None = None
    reason: str = ""
    report: ProbeResult | None = None  # what the answer tells of its server besides


@dataclass(slots=True, frozen=True)
class ProbeResult:
    """What a probe told: marks by origin, and whether the server says it is primary (None: it does not say).

    ``load`` is the share of its cores that the server says is busy, where it tells that.
    """

    marks: Vector
    primary: bool | None = None
    load: float | None = None


class Sink(Protocol):
    """A front's side of one request. Exactly one of the last three is called, once, and nothing after it."""

    def part(self, payload: Any) -> None:
        """One part of an answer, in order."""

    def served(self, payload: Any) -> None:
        """The answer's last part."""

    def refused(self, retry_after: int, reason: str) -> None:
        """Turned away; nothing ran, or repeating is harmless."""

    def failed(self, reason: str) -> None:
        """Nothing is promised either way."""


@dataclass(slots=True)
class Call:
    """One request that a front hands over. ``operation`` is read by the protocol's backend only."""

    class_name: str
    group: str
    operation: Any
    sink: Sink
    session: str | None = None
    tenant: str | None = None
    since_write: int | None = None
    time_limit: int = 0  # the client's own, ns; 0: the class's deadline alone
    expires: int = 0  # ns, when its answer is needed at the latest; 0: it follows from the class and the above
    gather: int = 0  # octets of the answer kept back; 0: the gateway's own bound
    label: str = ""  # for the log
    present: Callable[[], bool] | None = None  # whether the client is still there, asked before an attempt is written
    facts: Mapping[str, Any] = field(default_factory=dict)


class Receiver(Protocol):
    """Where a connection puts what an attempt brings."""

    def attempt_part(self, payload: Any, size: int) -> None:
        """A part of the answer, ``size`` octets."""

    def attempt_done(self, reply: Reply) -> None:
        """The last part."""

    def attempt_lost(self, reason: str) -> None:
        """The connection went with the attempt outstanding."""


class NotSentError(ValueError):
    """An attempt could not be written and the system took no octet of it: it never ran, and may go elsewhere."""


class Connection(Protocol):
    """One connection to a server, ready for attempts."""

    def submit(self, operation: Any, receiver: Receiver) -> int:
        """Send an attempt; returns its number on this connection.

        Raises ``ValueError`` if it cannot be sent, ``NotSentError`` if besides nothing of it can have gone out.
        """

    def abandon(self, number: int) -> None:
        """Stop waiting for one; what still comes for it is dropped."""

    def probe(self, done: Callable[[ProbeResult | None], None]) -> int:
        """Ask for position and role; ``done`` is called once, with None if the answer makes no sense."""

    def fit(self) -> bool:
        """Whether it can take a further attempt now: not if it is spent, closing or brings what nobody asked for."""

    def close(self) -> None:
        """Close in good order."""


BROKE_OPENING = "the connection broke while it was opening"


class Backend(Protocol):
    """How one protocol reaches its servers."""

    def connect(
        self,
        server: ServerSpec,
        ready: Callable[[Connection], None],
        lost: Callable[[str], None],
    ) -> Callable[[], None]:
        """Open a connection. ``ready`` at most once, then ``lost`` exactly once; the result gives it up.

        ``lost`` is told ``BROKE_OPENING`` where the other end was there and said nothing, as against having refused.
        """

    def describe(self, operation: Any) -> str:
        """A short name of an operation for the log."""
