"""Gradual transition of a gateway from one set of latencies to the next, in a growing part of each second. No I/O.

All gateways learn of a lower latency at nearly the same time; if all switched at once, they would overload the servers
there. Each gateway switches by itself, without agreement on a clock or an order: in the first second the new latencies
apply for ``step`` of it, in the second one for twice that, and so on. The offset of this part within the second is
random. So whatever the latencies do to the choice, no gateway, and no fleet, shifts more than ``step`` of its choices
from one second to the next. The part is contiguous and grows at one end only: if it consisted of pieces spread over the
second, two of them could fall within one second.

Leaving a zone whose latency rose takes the same steps, since those who leave overload another zone.
"""

from __future__ import annotations

from random import Random

from yardbank.cluster.latency_map.estimates import differs
from yardbank.cluster.latency_map.options import SECOND

# Minimum change (ratio, ns) that starts a transition: of a round trip, and of the longest usual one.
ROUND_TRIP_CHANGE, LONGEST_CHANGE = (0.15, 1_000_000), (0.5, 5_000_000)

ZoneLatencies = tuple[tuple[str, int, int], ...]


def differ_enough(one: ZoneLatencies, other: ZoneLatencies) -> bool:
    """Whether two sets of latencies differ enough for a transition."""
    a, b = {zone: figures for zone, *figures in one}, {zone: figures for zone, *figures in other}
    if a.keys() != b.keys():
        return True
    return any(
        differs(a[zone][0], b[zone][0], *ROUND_TRIP_CHANGE) or differs(a[zone][1], b[zone][1], *LONGEST_CHANGE)
        for zone in a
    )


class GradualTransition:
    """The latencies in force, and those that gradually replace them."""

    def __init__(self, step: float, random: Random) -> None:
        self._step = step
        self._old: ZoneLatencies = ()
        self._new: ZoneLatencies = ()
        self._second_offset = random.randrange(SECOND)
        self._started_second = 0  # number of the second after which the part grows
        self.transition_count = 0

    def _second(self, now: int) -> tuple[int, int]:
        return divmod(now + self._second_offset, SECOND)

    def progress(self, now: int) -> float:
        """The part of this second for which the new latencies apply."""
        return min(1.0, self._step * max(0, self._second(now)[0] - self._started_second))

    def set_target(self, now: int, target: ZoneLatencies) -> None:
        """Start a transition to new latencies; one under way is finished first."""
        if self._old != self._new and self.progress(now) < 1.0:
            return
        self._old = self._new
        if differ_enough(self._new, target):
            # One second lies between the last step of a transition and the first of the next, so that no one-second
            # window contains both.
            self._new, self._started_second = target, self._second(now)[0] + 1
            self.transition_count += 1

    def latencies_at(self, now: int) -> ZoneLatencies:
        """The latencies in force at a time."""
        elapsed = self._second(now)[1]
        return self._new if elapsed < round(self.progress(now) * SECOND) else self._old

    def next_at(self, now: int) -> int | None:
        """When the latencies in force change next; None if they do not."""
        if self._old == self._new:
            return None
        elapsed = self._second(now)[1]
        switch_at = round(self.progress(now) * SECOND)
        return now - elapsed + (switch_at if elapsed < switch_at < SECOND else SECOND)
