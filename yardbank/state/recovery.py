"""What may be trusted after a restart. No I/O.

- The last good list: it stands in until a newer one is read. Drains in it still bind, starts in it still say
  who is cold. Its word on roles is old and counts as a saved list's does.
- Positions: a server never goes back, so marks it told are still reached. They only say something once the
  head of the log has been asked, so they are kept for the floors below and for the operator's eyes.
- Health: nothing. A server that was doubted may be well, and one that was well may be gone.
- Tokens: they are lost with the process. After a stop in good order, every token is at or before the marks
  kept for its group; they become the floor. After a crash, writes may have been answered that no snapshot
  holds: the floor is the moment of the restart, which comes after all of them.
- An older copy of the state, put back from a backup or by a disk that was rolled back, may call itself the last word of
  a stop in good order, and later runs gave out tokens beyond its marks. Each run has a number, kept apart from the
  database as well: a snapshot of an earlier run than the last is treated as after a crash.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from yardbank.state.snapshot import Snapshot, mark_of
from yardbank.timeline import LogPosition

MAX_AHEAD = 3600.0  # seconds: a snapshot from further in the future than clocks go wrong


@dataclass(slots=True)
class Restart:
    """What a gateway starts with."""

    fresh: bool = True  # nothing is known: no floors, as for a gateway that never ran
    floor_now: bool = False  # session reads must see all that was committed before the start
    floors: dict[str, dict[str, LogPosition]] = field(default_factory=dict)  # marks by origin, by group
    use_list: bool = False
    notes: list[str] = field(default_factory=list)


def next_generation(snapshot: Snapshot | None, apart: int) -> int:
    """The number of the run that begins: higher than any that is known."""
    return max(snapshot.generation if snapshot is not None else 0, apart) + 1


def judge(snapshot: Snapshot | None, wall: float, fault: str = "", apart: int = 0) -> Restart:
    """Decide by the snapshot that was found, if any, and by what was wrong with the store.

    ``apart``: the number of the last run, as kept beside the database; 0: not known.

    A store that is there but cannot be read had a predecessor: its tokens are floored, its list is not used.
    """
    if fault:
        return Restart(fresh=False, floor_now=True, notes=[f"the state was set aside: {fault}"])
    if snapshot is None:
        return Restart()
    found = Restart(fresh=False, use_list=bool(snapshot.servers))
    if snapshot.written > wall + MAX_AHEAD:
        found.notes.append("the state was written in the future: the clock has stepped")
    if snapshot.generation < apart:
        found.notes.append(f"the state is an older copy, of run {snapshot.generation}; the last was {apart}")
    if snapshot.clean and snapshot.generation >= apart:
        found.floors = {
            group.name: {origin: mark_of(mark) for origin, mark in group.marks.items()}
            for group in snapshot.groups
            if group.marks
        }
    else:
        found.floor_now = True
    return found


class WriteRate:
    """When a snapshot is written: soon after a change, and no more often than every so often. Times in ns."""

    def __init__(self, least: int) -> None:
        self._least = least
        self._written_at: int | None = None
        self._dirty = False

    def changed(self) -> None:
        """Something is to be kept."""
        self._dirty = True

    def due(self, now: int) -> int | None:
        """How long until a snapshot is due; None: nothing is to be kept."""
        if not self._dirty:
            return None
        return 0 if self._written_at is None else max(0, self._written_at + self._least - now)

    def written(self, now: int) -> None:
        """A snapshot was written, or could not be: the next one waits as long."""
        self._written_at, self._dirty = now, False
