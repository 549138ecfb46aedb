"""Corrects timestamps for delays of the rig itself.

A ``rig_late`` fact says that at time ``at`` the rig had not read its sockets for ``by`` seconds. Whatever arrived
meanwhile is recorded right after that, so claims are checked against the earliest time at which it may have arrived.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Iterable

from yardbank.testing.audit.record import Fact

RECORDING_TAIL_S = 0.03  # the rig reads its clock every 20 ms and records a delay from 10 ms on


class RigDelays:
    """The periods in which the rig did not read its sockets."""

    def __init__(self, facts: Iterable[Fact]) -> None:
        late = sorted((float(fact["at"]), float(fact["by"])) for fact in facts if fact["kind"] == "rig_late")
        self._ends = [at for at, _ in late]
        self._by = [by for _, by in late]

    def earliest_time(self, at: float) -> float:
        """The earliest time at which something recorded at this time may have arrived."""
        place = bisect_left(self._ends, at - RECORDING_TAIL_S)
        if place < len(self._ends) and self._ends[place] - self._by[place] <= at:
            return self._ends[place] - self._by[place]
        return at
