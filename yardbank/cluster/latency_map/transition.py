"""How a gateway moves from one set of latencies to the next: by a growing part of each second. No I/O.

All gateways hear of a lower latency at nearly the same time; if all moved at once they would overload what is there.
Each moves by itself, without agreement on a clock or on who is next: in the first second the new latencies hold for
``step`` of it, in the second for twice that, and so on. Where in the second that part begins is drawn. So whatever the
latencies do to the choice, no gateway, and no fleet, moves more than ``step`` of it from one second to the next. The
part grows at one end only: were it put together of pieces drawn all over the second, two could come within one.

Leaving a zone whose latency rose goes by the same steps: those who leave overload another.
"""

from __future__ import annotations

from random import Random

from yardbank.cluster.latency_map.estimates import differs
from yardbank.cluster.latency_map.options import SECOND

# Less than this part, or so many ns, is no reason to move: of a round trip, and of the longest usual one.
SHORTER, LONGEST = (0.15, 1_000_000), (0.5, 5_000_000)

ZoneLatencies = tuple[tuple[str, int, int], ...]


def matters(one: ZoneLatencies, other: ZoneLatencies) -> bool:
    """Whether two sets of latencies differ so that it is worth a move."""
    a, b = {zone: figures for zone, *figures in one}, {zone: figures for zone, *figures in other}
    if a.keys() != b.keys():
        return True
    return any(differs(a[zone][0], b[zone][0], *SHORTER) or differs(a[zone][1], b[zone][1], *LONGEST) for zone in a)


class GradualTransition:
    """The latencies in force, and those that replace them step by step."""

    def __init__(self, step: float, random: Random) -> None:
        self._step = step
        self._old: ZoneLatencies = ()
        self._new: ZoneLatencies = ()
        self._phase = random.randrange(SECOND)
        self._begun = 0  # number of the second after which the part grows
        self.moves = 0

    def _second(self, now: int) -> tuple[int, int]:
        return divmod(now + self._phase, SECOND)

    def part(self, now: int) -> float:
        """The part of this second for which the new latencies hold."""
        return min(1.0, self._step * max(0, self._second(now)[0] - self._begun))

    def aim(self, now: int, target: ZoneLatencies) -> None:
        """Move towards what the map says; a move under way is ended first."""
        if self._old != self._new and self.part(now) < 1.0:
            return
        self._old = self._new
        if matters(self._new, target):
            # A second lies between the last step of one move and the first of the next: no window holds both.
            self._new, self._begun = target, self._second(now)[0] + 1
            self.moves += 1

    def at(self, now: int) -> ZoneLatencies:
        """The latencies that hold at this time."""
        into = self._second(now)[1]
        return self._new if into < round(self.part(now) * SECOND) else self._old

    def next_at(self, now: int) -> int | None:
        """When that changes; None: not by itself."""
        if self._old == self._new:
            return None
        into = self._second(now)[1]
        turn = round(self.part(now) * SECOND)
        return now - into + (turn if into < turn < SECOND else SECOND)
