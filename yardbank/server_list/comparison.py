"""What would change between two lists, and whether that is more than an error is likely to be. No I/O."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import TypeGuard

from yardbank.gateway.api import ServerSpec

MOST_LOST = 0.5  # a change that takes away more of the servers than this is held back


@dataclass(slots=True)
class Change:
    """The difference of two lists, by server name."""

    added: list[str] = field(default_factory=list)
    removed: list[str] = field(default_factory=list)
    drained: list[str] = field(default_factory=list)
    moved: list[str] = field(default_factory=list)  # to another group or zone
    restarted: list[str] = field(default_factory=list)
    other: list[str] = field(default_factory=list)

    def __bool__(self) -> bool:
        return any((self.added, self.removed, self.drained, self.moved, self.restarted, self.other))

    def lines(self) -> list[str]:
        """The change in words."""
        words = {
            "added": self.added,
            "removed": self.removed,
            "drains": self.drained,
            "moved to another group or zone": self.moved,
            "started anew": self.restarted,
            "changed": self.other,
        }
        return [f"{word}: {', '.join(sorted(names))}" for word, names in words.items() if names]


Changes = Mapping[str, tuple[ServerSpec | None, ServerSpec | None]]  # by name: as it was, as it is


def compare(old: Sequence[ServerSpec], new: Sequence[ServerSpec]) -> Change:
    """What a new list changes."""
    before, after = {s.name: s for s in old}, {s.name: s for s in new}
    return describe({name: (before.get(name), after.get(name)) for name in (*after, *before)})


def describe(changes: Changes) -> Change:
    """A change in kinds, from each server as it was and as it is."""
    change = Change()
    for name, (was, server) in changes.items():
        if was == server:
            continue
        if was is None:
            change.added.append(name)
        elif server is None:
            change.removed.append(name)
        elif (was.group, was.zone) != (server.group, server.zone):
            change.moved.append(name)
        elif server.state == "draining" and was.state != "draining":
            change.drained.append(name)
        elif server.started > was.started:
            change.restarted.append(name)
        else:
            change.other.append(name)
    return change


def _ready(server: ServerSpec | None) -> TypeGuard[ServerSpec]:
    return server is not None and server.state == "ready"


def suspicion_of(changes: Changes, new: Sequence[ServerSpec]) -> str | None:
    """As ``suspicion``, at the cost of the change; None: the change is large enough for a look at the whole."""
    lost = [was for was, now in changes.values() if was and was.state == "ready" and not _ready(now)]
    primaries = any(was and was.primary and not (_ready(now) and now.primary) for was, now in changes.values())
    if primaries or len(lost) > 2:
        return None
    for group in sorted(
        {s.group for s in lost} | {was.group for was, now in changes.values() if was and now and was.group != now.group}
    ):
        if not any(s.group == group and s.state == "ready" for s in new):
            return f"group {group!r} would have no server left"
    return ""


def suspicion(old: Sequence[ServerSpec], new: Sequence[ServerSpec]) -> str:
    """Why a valid list is held back until an operator says so; empty: it is not.

    A half-written or empty export looks like a fleet that vanished. Taking it at its word would leave a group
    with nobody to write to, and a wrong list can be mended at leisure while the old one serves on.
    """
    if not old:
        return ""
    after = {s.name: s for s in new if s.state == "ready"}
    usable = [s for s in old if s.state == "ready"]
    lost = [s.name for s in usable if s.name not in after]
    empty = {s.group for s in usable} - {s.group for s in after.values()}
    if empty:
        return f"group {min(empty)!r} would have no server left"
    primaries = {s.name for s in usable if s.primary}
    kept = any(s.primary for s in after.values()) or not primaries - after.keys()
    if primaries and not kept:
        return "every primary would go, and the list names no other"
    if len(usable) >= 4 and len(lost) > MOST_LOST * len(usable):
        return f"{len(lost)} of {len(usable)} servers would go at once"
    return ""
