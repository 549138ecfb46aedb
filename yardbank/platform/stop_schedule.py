"""Divides the time between the stop signal and the earliest kill. No I/O; times in ns.

After SIGTERM the platform waits for the longest deadline, capped at 3 s, plus 0.7 s before it kills. The process may be
stalled without notice at any point of the program.
"""

from __future__ import annotations

from dataclasses import dataclass

from yardbank.gateway.api import MS, SECOND

MAX_GRACE = 3 * SECOND
KILL_AFTER = 700 * MS  # after the longest deadline
MAX_STALL = 150 * MS  # longest time for which the process may be stalled
SERVE_AFTER_SIGNAL = 600 * MS  # clients still connect for a moment and are served as usual
CLOSE_TIME = 500 * MS  # for clients to read what was written to them
WRITE_MARGIN = 50 * MS  # between deciding the last answer and writing its last octet


@dataclass(slots=True, frozen=True)
class StopSchedule:
    """Times after the stop signal. Each counts from the signal, so that a step that starts late does not end later."""

    drain_at: int  # no new requests are taken from here on
    answered_by: int  # every request that was taken is answered
    exit_by: int  # the process exits

    @classmethod
    def of(cls, longest_deadline: int) -> StopSchedule:
        """Returns the schedule for the longest deadline of any class."""
        earliest_kill = min(MAX_GRACE, longest_deadline) + KILL_AFTER
        answered_by = earliest_kill - MAX_STALL - WRITE_MARGIN
        return cls(min(SERVE_AFTER_SIGNAL, answered_by), answered_by, earliest_kill - MAX_STALL)

    def grace(self, since_signal: int) -> int:
        """Returns how long requests that were taken may still take, this long after the signal."""
        return max(0, self.answered_by - since_signal)

    def close_time(self, since_signal: int) -> int:
        """Returns how long clients have to read what was written to them, this long after the signal; never 0."""
        return max(WRITE_MARGIN, min(CLOSE_TIME, self.exit_by - since_signal))
