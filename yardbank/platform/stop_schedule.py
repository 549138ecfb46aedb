"""How the time between the signal to stop and the earliest kill is divided. No I/O; times in ns.

The platform kills no sooner than the longest deadline, taken as 3 s where it is longer, and 0.7 s more after SIGTERM.
Between any two lines of the program the process may be held up unnoticed.
"""

from __future__ import annotations

from dataclasses import dataclass

from yardbank.gateway.api import MS, SECOND

LONGEST_GRACE = 3 * SECOND
KILL_AFTER = 700 * MS  # beyond the longest deadline
HELD_UP = 150 * MS  # the longest time for which the process may be held up
SERVE_ON = 600 * MS  # clients still come for a moment: they are served as ever
LAST_WORDS = 500 * MS  # for clients to take what was written to them
WRITE_MARGIN = 50 * MS  # between the last answer's decision and its last octet


@dataclass(slots=True, frozen=True)
class StopSchedule:
    """Times after the signal to stop, each counted from the signal: a step that begins late does not end later."""

    drain_at: int  # nothing new is taken from here on
    answered_by: int  # every request that was taken has its answer
    gone_by: int  # the process ends

    @classmethod
    def of(cls, longest_deadline: int) -> StopSchedule:
        """The schedule for the longest deadline of any class."""
        earliest_kill = min(LONGEST_GRACE, longest_deadline) + KILL_AFTER
        answered_by = earliest_kill - HELD_UP - WRITE_MARGIN
        return cls(min(SERVE_ON, answered_by), answered_by, earliest_kill - HELD_UP)

    def grace(self, since_signal: int) -> int:
        """How long requests that were taken may still take, so long after the signal."""
        return max(0, self.answered_by - since_signal)

    def last_words(self, since_signal: int) -> int:
        """How long clients have to take what was written to them, so long after the signal; a moment if late."""
        return max(WRITE_MARGIN, min(LAST_WORDS, self.gone_by - since_signal))
