"""Actions that ``Router.handle`` returns: what the gateway has to do."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True, frozen=True)
class Send:
    """Send one attempt of a request to a server; the attempt times out at ``until`` (clock time, ns)."""

    id: str
    server: int
    until: int


@dataclass(slots=True, frozen=True)
class Refuse:
    """Final answer: the request was rejected and may be retried safely, after ``retry_after`` ns if that is not 0."""

    id: str
    retry_after: int = 0
    reason: str = field(default="", repr=False, compare=False)  # for the log


@dataclass(slots=True, frozen=True)
class Fail:
    """Final answer: the request failed and may or may not have taken effect."""

    id: str
    reason: str = field(default="", repr=False, compare=False)  # for the log


@dataclass(slots=True, frozen=True)
class Cancel:
    """Stop waiting for one attempt."""

    id: str
    attempt: int


@dataclass(slots=True, frozen=True)
class Probe:
    """Request a server's report."""

    server: int


@dataclass(slots=True, frozen=True)
class CloseIdle:
    """Close this gateway's idle connections to a server."""

    server: int


@dataclass(slots=True, frozen=True)
class SetTimer:
    """Call the router with a ``Timer`` event after ``delay`` ns."""

    delay: int
    token: str


@dataclass(slots=True, frozen=True)
class Subscribe:
    """Subscribe to the server list and its changes."""


Action = Send | Refuse | Fail | Cancel | Probe | CloseIdle | SetTimer | Subscribe
