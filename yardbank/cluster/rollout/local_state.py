"""What a gateway remembers of rollouts over its restarts, and the values that its part is made of and hands out."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from yardbank.cluster.peers.parts import KeyValueStore
from yardbank.cluster.rollout.active_version import ActiveVersion, Version
from yardbank.cluster.rollout.document import Change
from yardbank.cluster.rollout.metrics import Metrics
from yardbank.cluster.rollout.phase import MOVED, TABLE, Phase

MAX_STOPPED = 64  # rollouts that are remembered as stopped; the oldest are forgotten first


@dataclass(slots=True, frozen=True)
class Options:
    """What the part is made with."""

    figures: Callable[[], Metrics] = Metrics  # this gateway's, at this time
    active_version: ActiveVersion = field(default_factory=ActiveVersion)  # what is in force as the process starts
    name: str = ""  # a short hash of that
    beat: int = 0  # ns between two readings of figures; 0: by the size of the fleet


@dataclass(slots=True, frozen=True)
class Transition:
    """One thing that happened, for the log."""

    rollout: str
    what: str
    stage: int
    version: str
    why: str = ""


@dataclass(slots=True, frozen=True)
class Activate:
    """Change to this version; ``RolloutPart.up`` or ``failed`` when that is done, or a start anew.

    ``down``: it may be started anew; if it may not, and must be: ``RolloutPart.not_in_service``.
    """

    version: Version
    down: bool


@dataclass(slots=True, frozen=True)
class RollBack:
    """Change back to the version before; ``down`` as above."""

    down: bool


@dataclass(slots=True, frozen=True)
class Commit:
    """The rollout is finished: there is no way back from it any more."""


class Memory(msgspec.Struct, array_like=True):
    """What is kept. Fields that a later program adds are left aside, those that an earlier one has not are empty."""

    change: str = ""  # ``Change.kept``
    phase: int = Phase.OLD
    down: bool = False  # whether it has to start anew to change
    restarts: int = 0  # that there had been when it was asked for
    stopped: list[tuple[str, str]] = []  # rollouts, and why
    finished: str = ""


def remembered(keep: KeyValueStore) -> Memory:
    """What was kept; what cannot be read is nothing."""
    data = keep.load()
    if data is None:
        return Memory()
    try:
        found = msgspec.msgpack.decode(data, type=Memory)
        if found.change:
            Change.of(found.change)
    except (msgspec.DecodeError, ValueError):
        return Memory()
    return found


def reconciled(memory: Memory, active_version: ActiveVersion) -> tuple[int, str]:
    """Where this gateway stands as it starts, and why if it fell back: by what it remembers and what is in force."""
    try:
        change = Change.of(memory.change)
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
    elif phase in MOVED:
        event = "restarted" if on_new else "crashed"
    else:  # the file of what is in force may have outlived what is remembered
        event = "found" if on_new else "restarted"
    why = active_version.fell or ("did not come over" if phase == Phase.OUT else "another version is in force")
    return TABLE.get((phase, event), Phase.OLD), why if event == "crashed" else ""
