"""Compares two versions of the server list and decides whether the change is probably a mistake. No I/O."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import TypeGuard

from yardbank.gateway.api import ServerSpec

MAX_LOST_SHARE = 0.5  # a change that removes or drains a larger share of the ready servers is held back


@dataclass(slots=True)
class Change:
    """Names of the servers that differ between two versions, by kind of change."""

    added: list[str] = field(default_factory=list)
    removed: list[str] = field(default_factory=list)
    drained: list[str] = field(default_factory=list)
    moved: list[str] = field(default_factory=list)  # to another group or zone
    restarted: list[str] = field(default_factory=list)
    other: list[str] = field(default_factory=list)

    def __bool__(self) -> bool:
        return any((self.added, self.removed, self.drained, self.moved, self.restarted, self.other))

    def lines(self) -> list[str]:
        """The change as text, one line per kind."""
        names_by_kind = {
            "added": self.added,
            "removed": self.removed,
            "drains": self.drained,
            "moved to another group or zone": self.moved,
            "started anew": self.restarted,
            "changed": self.other,
        }
        return [f"{kind}: {', '.join(sorted(names))}" for kind, names in names_by_kind.items() if names]


Changes = Mapping[str, tuple[ServerSpec | None, ServerSpec | None]]  # old and new value by server name


def compare(old: Sequence[ServerSpec], new: Sequence[ServerSpec]) -> Change:
    """The changes from an old to a new list of servers."""
    before, after = {s.name: s for s in old}, {s.name: s for s in new}
    return describe({name: (before.get(name), after.get(name)) for name in (*after, *before)})


def describe(changes: Changes) -> Change:
    """Classify changes by kind."""
    change = Change()
    for name, (old, new) in changes.items():
        if old == new:
            continue
        if old is None:
            change.added.append(name)
        elif new is None:
            change.removed.append(name)
        elif (old.group, old.zone) != (new.group, new.zone):
            change.moved.append(name)
        elif new.state == "draining" and old.state != "draining":
            change.drained.append(name)
        elif new.started > old.started:
            change.restarted.append(name)
        else:
            change.other.append(name)
    return change


def _ready(server: ServerSpec | None) -> TypeGuard[ServerSpec]:
    return server is not None and server.state == "ready"


def suspicion_from_changes(changes: Changes, new: Sequence[ServerSpec]) -> str | None:
    """Like ``suspicion``, but its cost depends on the size of the change.

    None: the change is too large to decide this way, so ``suspicion`` must compare the whole lists.
    """
    lost = [before for before, after in changes.values() if before and before.state == "ready" and not _ready(after)]
    primary_changed = any(
        before and before.primary and not (_ready(after) and after.primary) for before, after in changes.values()
    )
    if primary_changed or len(lost) > 2:
        return None
    for group in sorted(
        {s.group for s in lost}
        | {before.group for before, after in changes.values() if before and after and before.group != after.group}
    ):
        if not any(s.group == group and s.state == "ready" for s in new):
            return f"group {group!r} would have no server left"
    return ""


def suspicion(old: Sequence[ServerSpec], new: Sequence[ServerSpec]) -> str:
    """Why a valid list must be confirmed by an operator before it is applied; empty: it need not be.

    A truncated or empty export looks as if most of the fleet had been removed. Applying it could leave a group without
    a server to write to, whereas the old list can stay in use until a wrong one has been corrected.
    """
    if not old:
        return ""
    remaining = {s.name: s for s in new if s.state == "ready"}
    ready = [s for s in old if s.state == "ready"]
    lost = [s.name for s in ready if s.name not in remaining]
    emptied_groups = {s.group for s in ready} - {s.group for s in remaining.values()}
    if emptied_groups:
        return f"group {min(emptied_groups)!r} would have no server left"
    primaries = {s.name for s in ready if s.primary}
    has_primary = any(s.primary for s in remaining.values()) or not primaries - remaining.keys()
    if primaries and not has_primary:
        return "every primary would be removed or drained, and the list has no other"
    if len(ready) >= 4 and len(lost) > MAX_LOST_SHARE * len(ready):
        return f"{len(lost)} of {len(ready)} servers would be removed or drained at once"
    return ""
