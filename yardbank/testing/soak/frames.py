"""What crossed the sockets of one play, as records that a judge reads; times in seconds on one steady clock."""

from __future__ import annotations

import json
from dataclasses import asdict, dataclass, field
from enum import StrEnum
from pathlib import Path


class End(StrEnum):
    """How a client's connection ended, as the client saw it."""

    OPEN = "open"  # it has not
    CLOSED = "closed by the client"
    ENDED = "ended by the gateway"
    RESET = "reset"


@dataclass(slots=True)
class SentRequest:
    """One request of a client, sent whole unless its client left before."""

    id: str
    connection: int
    sent_at: float  # right before its last octets were written
    time_limit: float  # seconds
    write: bool
    answered_at: float | None = None
    answers: list[str] = field(default_factory=list)  # "served", or the code of the error
    content: str = ""  # of the answer: a server gives the request's own number


@dataclass(slots=True)
class ClientConnection:
    """One connection of a client."""

    number: int
    opened_at: float
    behaviour: str
    end: End = End.OPEN
    ended_at: float = 0.0
    ended_by_gateway_at: float | None = None  # the gateway's end was seen
    does_not_read: bool = False  # its client may be cut


@dataclass(slots=True)
class ReceivedAttempt:
    """One statement that a server received whole."""

    id: str
    server: str
    first_octet_at: float
    received_at: float
    time_limit: float  # told to the server, seconds
    write: bool
    ran: bool  # False: the server said that it did not


@dataclass(slots=True)
class ServerDrain:
    """A server that discovery has told to be draining, on a watch that was in order."""

    server: str
    told_at: float


@dataclass(slots=True)
class Process:
    """The program's life."""

    terminated_at: float  # SIGTERM
    kill_at: float  # the earliest that the platform allows
    ended_at: float | None = None  # by itself, before the kill
    exit_code: int | None = None
    peak_memory_mb: float = 0.0
    memory_limit_mb: int = 0
    most_descriptors: int = 0
    descriptor_limit: int = 0
    log: list[str] = field(default_factory=list)


@dataclass(slots=True)
class Play:
    """All of one play. ``clock_gaps``: when the recorder itself was held up, and for how long.

    ``repeat_window``: for so long after a write was first received it may be repeated (s); 0: never.
    """

    seed: int
    process: Process
    repeat_window: float = 0.0
    requests: dict[str, SentRequest] = field(default_factory=dict)
    connections: dict[int, ClientConnection] = field(default_factory=dict)
    attempts: list[ReceivedAttempt] = field(default_factory=list)
    drains: list[ServerDrain] = field(default_factory=list)
    clock_gaps: list[tuple[float, float]] = field(default_factory=list)

    def write(self, path: Path) -> None:
        """Keep it as JSON."""
        path.write_text(json.dumps(asdict(self), indent=1))
