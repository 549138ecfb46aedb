"""Rollout state that a gateway stores across restarts, and the value types of its rollout part."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from yardbank.cluster.peers.parts import KeyValueStore
from yardbank.cluster.rollout.active_version import ActiveVersion, Version
from yardbank.cluster.rollout.document import Change
from yardbank.cluster.rollout.metrics import Metrics
from yardbank.cluster.rollout.phase import CHANGED_PHASES, TRANSITIONS, Phase

MAX_STOPPED = 64  # the oldest is dropped first


@dataclass(slots=True, frozen=True)
class Options:
    """Construction options of the rollout part."""

    figures: Callable[[], Metrics] = Metrics  # reads this gateway's current figures
    active_version: ActiveVersion = field(default_factory=ActiveVersion)  # at the start of the process
    version_name: str = ""  # short hash of that version
    beat: int = 0  # ns between two readings of the figures; 0: derived from the size of the fleet


@dataclass(slots=True, frozen=True)
class Transition:
    """One event for the log."""

    rollout: str
    what: str
    stage: int
    version: str
    why: str = ""


@dataclass(slots=True, frozen=True)
class Activate:
    """Order to activate a version, answered by ``RolloutPart.applied``, ``failed`` or a restart of the process.

    ``may_restart``: whether a restart is allowed; if one is needed and not allowed, the answer is
    ``RolloutPart.needs_restart``.
    """

    version: Version
    may_restart: bool


@dataclass(slots=True, frozen=True)
class RollBack:
    """Order to return to the previous version; ``may_restart`` as in ``Activate``."""

    may_restart: bool


@dataclass(slots=True, frozen=True)
class Commit:
    """Order to make the active version permanent: the rollout is finished and can no longer be rolled back."""


class Memory(msgspec.Struct, array_like=True):
    """The stored state. Unknown fields of a later program are ignored; missing fields get their defaults."""

    change: str = ""  # the request as JSON, see ``Change.to_json``
    phase: int = Phase.OLD
    down: bool = False  # whether the change needs a restart
    restarts: int = 0  # number of restarts when the rollout was requested
    stopped: list[tuple[str, str]] = []  # ids of rollouts, each with the reason
    finished: str = ""  # id of the last finished rollout


def load_memory(store: KeyValueStore) -> Memory:
    """Loads the stored state; unreadable data counts as none."""
    data = store.load()
    if data is None:
        return Memory()
    try:
        found = msgspec.msgpack.decode(data, type=Memory)
        if found.change:
            Change.from_json(found.change)
    except (msgspec.DecodeError, ValueError):
        return Memory()
    return found


def reconcile_phase(memory: Memory, active_version: ActiveVersion) -> tuple[int, str]:
    """Derives the phase at a process start from stored state and active version, and why it was rolled back."""
    try:
        change = Change.from_json(memory.change)
    except ValueError:
        return Phase.OLD, ""
    if memory.finished == change.id:
        return Phase.NEW, ""
    on_new = active_version.now.rollout == change.id and active_version.now.mark == change.mark()
    phase = memory.phase
    if phase == Phase.OUT:
        event = "up" if on_new else "crashed"
    elif phase == Phase.BACK_OUT:
        event = "restarted" if on_new else "up"
    elif phase in CHANGED_PHASES:
        event = "restarted" if on_new else "crashed"
    else:  # the file with the active version may be newer than the stored state
        event = "found" if on_new else "restarted"
    why = active_version.fell or (
        "the new version did not start" if phase == Phase.OUT else "another version is active"
    )
    return TRANSITIONS.get((phase, event), Phase.OLD), why if event == "crashed" else ""
