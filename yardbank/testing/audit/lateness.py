"""How late the rig itself was: what it notes may have crossed earlier than it says, and is judged by the earliest time.

``rig_late`` facts: noted ``at`` a time, after the rig had not looked at its sockets for ``by`` (s). What lay in them is
noted right after that.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Iterable

from yardbank.testing.audit.record import Fact

TAIL = 0.03  # seconds: the rig looks at its clock every 20 ms, and notes from 10 ms on that it was late


class Lateness:
    """The spans in which the rig looked at nothing."""

    def __init__(self, facts: Iterable[Fact]) -> None:
        late = sorted((float(fact["at"]), float(fact["by"])) for fact in facts if fact["kind"] == "rig_late")
        self._ends = [at for at, _ in late]
        self._by = [by for _, by in late]

    def earliest(self, at: float) -> float:
        """When something that was noted at this time can have crossed at the earliest."""
        place = bisect_left(self._ends, at - TAIL)
        if place < len(self._ends) and self._ends[place] - self._by[place] <= at:
            return self._ends[place] - self._by[place]
        return at
