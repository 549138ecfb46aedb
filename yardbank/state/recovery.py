"""What of the stored state can be trusted after a restart. No I/O.

- The last valid list is used until a newer one is read. Its drains still apply, and its start times still tell which
  servers have cold caches. Its roles are old and count like those of any saved list.
- Positions: a server never goes back, so stored positions are still reached. They say nothing until the head of the log
  has been queried, so they are kept for the floors below and for the operator's view.
- Health is not restored. A server that was suspected may be healthy now, and one that was healthy may be down.
- Session tokens are lost with the process. After a clean stop every token is at or before the stored positions of its
  group, and these become the floor for session reads. After a crash, writes may have been answered that no snapshot
  holds, so the floor is the time of the restart, which is later than all of them.
- An older copy of the state, restored from a backup or by a rolled-back disk, may be marked as a clean stop although
  later runs issued tokens beyond its positions. Each run therefore has a generation number that is also stored outside
  of the database; a snapshot of an earlier generation than the last is treated as after a crash.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from yardbank.state.snapshot import Snapshot, position_from_mark
from yardbank.timeline import LogPosition

MAX_AHEAD_SECONDS = 3600.0  # a snapshot further in the future is reported: no ordinary clock error is that large


@dataclass(slots=True)
class Restart:
    """The state that a gateway starts with."""

    fresh: bool = True  # first run: there is no state and there are no floors
    floor_now: bool = False  # session reads must see all that was committed before the start
    floors: dict[str, dict[str, LogPosition]] = field(default_factory=dict)  # positions by group, by origin
    use_list: bool = False
    notes: list[str] = field(default_factory=list)


def next_generation(snapshot: Snapshot | None, last_generation: int) -> int:
    """Generation of the run that begins: higher than any known one."""
    return max(snapshot.generation if snapshot is not None else 0, last_generation) + 1


def judge(snapshot: Snapshot | None, wall: float, fault: str = "", last_generation: int = 0) -> Restart:
    """Decides what to trust of the snapshot that was found, if any; ``fault``: what was wrong with the store.

    ``last_generation``: generation of the last run as stored outside of the database; 0: unknown.

    An unreadable store had a previous run: its tokens are covered by a floor, its list is not used.
    """
    if fault:
        return Restart(fresh=False, floor_now=True, notes=[f"the state was set aside: {fault}"])
    if snapshot is None:
        return Restart()
    restart = Restart(fresh=False, use_list=bool(snapshot.servers))
    if snapshot.written > wall + MAX_AHEAD_SECONDS:
        restart.notes.append("the state was written in the future: the clock has stepped")
    if snapshot.generation < last_generation:
        restart.notes.append(
            f"the state is an older copy, of run {snapshot.generation}; the last was {last_generation}"
        )
    if snapshot.clean and snapshot.generation >= last_generation:
        restart.floors = {
            group.name: {origin: position_from_mark(mark) for origin, mark in group.marks.items()}
            for group in snapshot.groups
            if group.marks
        }
    else:
        restart.floor_now = True
    return restart


class WriteRate:
    """Schedules snapshot writes: soon after a change, with at least ``min_interval`` ns between two."""

    def __init__(self, min_interval: int) -> None:
        self._min_interval = min_interval
        self._written_at: int | None = None
        self._dirty = False

    def changed(self) -> None:
        """Marks the state as changed."""
        self._dirty = True

    def due(self, now: int) -> int | None:
        """Time in ns until a snapshot is due; None: nothing has changed."""
        if not self._dirty:
            return None
        return 0 if self._written_at is None else max(0, self._written_at + self._min_interval - now)

    def written(self, now: int) -> None:
        """A write has been attempted; the next one waits for the interval even if it failed."""
        self._written_at, self._dirty = now, False
