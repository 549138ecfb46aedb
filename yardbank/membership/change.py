"""What would change between two lists, and whether that is more than an error is likely to be. No I/O."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

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
            "added": self.added, "removed": self.removed, "drains": self.drained,
            "moved to another group or zone": self.moved, "started anew": self.restarted, "changed": self.other,
        }  # fmt: skip
        return [f"{word}: {', '.join(sorted(names))}" for word, names in words.items() if names]


def compare(old: Sequence[ServerSpec], new: Sequence[ServerSpec]) -> Change:
    """What a new list changes."""
    before, after, change = {s.name: s for s in old}, {s.name: s for s in new}, Change()
    change.added = [name for name in after if name not in before]
    change.removed = [name for name in before if name not in after]
    for name, server in after.items():
        was = before.get(name)
        if was is None or was == server:
            continue
        if (was.group, was.zone) != (server.group, server.zone):
            change.moved.append(name)
        elif server.state == "draining" and was.state != "draining":
            change.drained.append(name)
        elif server.started > was.started:
            change.restarted.append(name)
        else:
            change.other.append(name)
    return change


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
