"""Values that are one of a few, in settings and events.

Each member equals its plain string, so callers may pass either; the module compares with the members.
"""

from __future__ import annotations

from enum import IntEnum, StrEnum


class Role(IntEnum):
    """What a server said of its role in an answer."""

    UNKNOWN = 0
    PRIMARY = 1
    REPLICA = 2


class Effect(StrEnum):
    """What happens if a request of a class runs twice."""

    SAFE = "safe"  # nothing: it only reads
    KEYED = "keyed"  # the repeat is dropped by its idempotency key, within a window and a scope
    UNSAFE = "unsafe"  # it takes effect twice


class KeyScope(StrEnum):
    """Where the repeat of a keyed request is recognized."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class ReadMode(StrEnum):
    """How recent the data must be that a request of a class sees."""

    ANY = "any"
    BOUNDED = "bounded"  # at most ``staleness_bound`` old
    SESSION = "session"  # at least the session's last write
    FRESH = "fresh"  # everything: only a primary can answer
    WRITE = "write"  # it is a write: only a primary can answer


class ReplicaCheck(StrEnum):
    """What a replica does with a read that requires a later position than its own."""

    NONE = "none"  # it answers all the same
    REFUSE = "refuse"
    WAIT = "wait"


class TokenMode(StrEnum):
    """Where a session's token is kept."""

    REMEMBERED = "remembered"  # by the gateway
    CARRIED = "carried"  # by the client, in each request


class ReportMode(StrEnum):
    """Where servers' reports come from."""

    ANSWERS = "answers"
    PROBE = "probe"
    NONE = "none"


class MemberState(StrEnum):
    """What the list says of a server."""

    READY = "ready"
    DRAINING = "draining"  # it must not be sent anything new
    GONE = "gone"


class ListKind(StrEnum):
    """How much of the list an event holds."""

    DELTA = "delta"  # changed lines only
    FULL = "full"
    SAVED = "saved"  # complete, from the store, as old as that
    FAILED = "failed"  # asking for the list failed


class Status(StrEnum):
    """How an attempt or a probe ended."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"  # the server has no room and ran nothing
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"  # the connection broke
    CANCELLED = "cancelled"
    NOT_SENT = "moot"  # it was not sent
    MISS = "miss"  # the server is not primary, or is behind what the read requires


NEVER_RAN = frozenset((Status.FULL, Status.CONNECT_FAILED, Status.NOT_SENT, Status.MISS))  # attempts without an effect
NEEDS_PRIMARY = frozenset((ReadMode.FRESH, ReadMode.WRITE))
