"""Records of the traffic of one run, for the rule checks; times in seconds on one monotonic clock."""

from __future__ import annotations

import json
from dataclasses import asdict, dataclass, field
from enum import StrEnum
from pathlib import Path


class End(StrEnum):
    """How a client's connection ended, as the client saw it."""

    OPEN = "open"  # still open
    CLOSED = "closed by the client"
    ENDED = "ended by the gateway"
    RESET = "reset"


@dataclass(slots=True)
class SentRequest:
    """One request of a client, sent completely unless the client disconnected first."""

    id: str
    connection: int
    sent_at: float  # just before its last octets were written
    time_limit: float  # seconds
    write: bool
    answered_at: float | None = None
    answers: list[str] = field(default_factory=list)  # "served" or an error code
    content: str = ""  # content of the answer: servers return the request's number


@dataclass(slots=True)
class ClientConnection:
    """One connection of a client."""

    number: int
    opened_at: float
    behaviour: str
    end: End = End.OPEN
    ended_at: float = 0.0
    ended_by_gateway_at: float | None = None  # when the client saw the gateway's end of stream
    does_not_read: bool = False  # the gateway may disconnect such a client


@dataclass(slots=True)
class ReceivedAttempt:
    """One complete statement that a server received."""

    id: str
    server: str
    first_octet_at: float
    received_at: float
    time_limit: float  # seconds, as sent to the server
    write: bool
    ran: bool  # False: the server reported that it did not run
    data_age: float | None = None  # age (s) of the data that a read saw, when it was received; None: always recent
    has_been_primary: bool = False
    told_primary: bool | None = None  # the role that the answer stated
    answered_at: float | None = None  # when the answer was written


@dataclass(slots=True)
class ServerDrain:
    """A time from which the program counts as knowing that a server drains; the earliest of a server holds."""

    server: str
    known_from: float


@dataclass(slots=True)
class Process:
    """Lifetime and resource use of the program."""

    terminated_at: float  # SIGTERM
    kill_at: float  # earliest time at which the platform may kill it
    ended_at: float | None = None  # exited by itself, before the kill
    exit_code: int | None = None
    peak_memory_mb: float = 0.0
    memory_limit_mb: int = 0
    most_descriptors: int = 0
    descriptor_limit: int = 0
    log: list[str] = field(default_factory=list)


@dataclass(slots=True)
class Play:
    """The record of one run.

    ``clock_gaps``: times at which the recorder itself was delayed, and by how much. ``repeat_window``: time (s) after
    its first receipt in which a write may be repeated; 0: never.
    """

    seed: int
    process: Process
    repeat_window: float = 0.0
    requests: dict[str, SentRequest] = field(default_factory=dict)
    connections: dict[int, ClientConnection] = field(default_factory=dict)
    attempts: list[ReceivedAttempt] = field(default_factory=list)
    staleness_bound: float | None = None  # greatest age (s) of the data of a read; None: not checked
    drains: list[ServerDrain] = field(default_factory=list)
    clock_gaps: list[tuple[float, float]] = field(default_factory=list)

    def write(self, path: Path) -> None:
        """Writes the record as JSON."""
        path.write_text(json.dumps(asdict(self), indent=1))
