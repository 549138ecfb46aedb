"""Enumerations used in settings and events.

Each ``StrEnum`` member equals its plain string, so callers may pass either; the package compares against the members.
"""

from __future__ import annotations

from enum import IntEnum, StrEnum


class Role(IntEnum):
    """A server's role as stated in its answer."""

    UNKNOWN = 0
    PRIMARY = 1
    REPLICA = 2


class RoleEvidence(StrEnum):
    """What a belief on a server's role rests on."""

    LIST = "list"  # the server list, which is late
    ANSWER = "answer"  # the server's answer to a request
    REPORT = "report"  # the server's report of its own state, which is some time old
    START = "start"  # the server has restarted since


class Effect(StrEnum):
    """What happens if a request of this class runs twice."""

    SAFE = "safe"  # no effect: the request only reads
    KEYED = "keyed"  # the duplicate is dropped by its idempotency key, within a window and a scope
    UNSAFE = "unsafe"  # it takes effect twice


class KeyScope(StrEnum):
    """Where duplicates of a keyed request are detected."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class ReadMode(StrEnum):
    """How recent the data seen by a request must be."""

    ANY = "any"
    BOUNDED = "bounded"  # at most ``staleness_bound`` old
    SESSION = "session"  # includes the session's last write
    FRESH = "fresh"  # includes all commits: only a primary can answer
    WRITE = "write"  # a write: only a primary can answer


class ReplicaCheck(StrEnum):
    """What a replica does with a read that requires a log position beyond its own."""

    NONE = "none"  # it does not check and answers anyway
    REFUSE = "refuse"  # it rejects the read with ``Status.MISS``
    WAIT = "wait"  # it waits for a while until it has caught up


class TokenMode(StrEnum):
    """Where a session's token is stored."""

    REMEMBERED = "remembered"  # by the gateway
    CARRIED = "carried"  # by the client, in each request


class ReportMode(StrEnum):
    """How servers' reports arrive."""

    ANSWERS = "answers"  # attached to answers
    PROBE = "probe"  # in reply to probes
    NONE = "none"


class MemberState(StrEnum):
    """A server's state in the server list."""

    READY = "ready"
    DRAINING = "draining"  # no new requests may be sent to it
    GONE = "gone"


class ListKind(StrEnum):
    """Which part of the server list an event contains."""

    DELTA = "delta"  # changed entries only
    FULL = "full"
    SAVED = "saved"  # complete, loaded from the store and possibly outdated
    FAILED = "failed"  # the list could not be fetched


class Status(StrEnum):
    """How an attempt or a probe ended."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"  # the server is at capacity and did not run the request
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"  # the connection broke
    CANCELLED = "cancelled"
    NOT_SENT = "moot"  # the gateway did not send it
    MISS = "miss"  # the server is not primary, or has not reached the position that the read requires


NEVER_RAN = frozenset((Status.FULL, Status.CONNECT_FAILED, Status.NOT_SENT, Status.MISS))  # ended without effect
NEEDS_PRIMARY = frozenset((ReadMode.FRESH, ReadMode.WRITE))
