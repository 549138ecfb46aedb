"""What a server list update changes: log entries, members for the router, servers with void attempts. No I/O."""

from __future__ import annotations

from dataclasses import dataclass, field

from yardbank import interface as api
from yardbank.gateway.api import ServerSpec
from yardbank.gateway.server_link import ServerLink


def invalidates_attempts(old: ServerSpec, new: ServerSpec) -> bool:
    """Whether a server starts draining, moves, or becomes a different server to the router."""
    if old.state != "draining" and new.state == "draining":
        return True
    return (old.host, old.port, old.group, old.zone) != (new.host, new.port, new.group, new.zone)


def describe_change(old: ServerSpec | None, new: ServerSpec) -> str:
    """Describe a changed entry for the log: name, state, role and start, and which of them changed."""
    role = "primary" if new.primary else "replica"
    text = f"{new.name} {new.state} {role}"
    if new.started:
        text += f" started {new.started:.3f}"
    if old is None:
        return f"{text}: new"
    pairs = {
        "state": old.state == new.state,
        "role": old.primary == new.primary,
        "start": old.started == new.started,
        "address": (old.host, old.port) == (new.host, new.port),
    }
    return f"{text}: {', '.join(name for name, is_same in pairs.items() if not is_same) or 'other fields'}"


@dataclass(slots=True)
class ListChange:
    """A server list update while it is being applied."""

    entries: list[str] = field(default_factory=list)  # what changed, for the log
    members: list[api.Member] = field(default_factory=list)
    left_group: list[api.Member] = field(default_factory=list)  # still listed, but as a different server to the router
    removed: list[str] = field(default_factory=list)
    # Servers whose pending attempts no longer apply, with their old links.
    invalidated: dict[int, ServerLink | None] = field(default_factory=dict)
