"""When to begin a watch, which one to go by, and when one is given up. No I/O; times in ns, passed in.

A watch brings a line each 2 s. One clock stands for all kinds of silence: a connection that never comes up, an answer
that never begins, one that stops, one whose list never ends. Whoever says nothing for ``SILENCE`` is given up, and a
new one is begun at once.

Until the first has spoken, further ones are begun beside it: discovery that was away is heard within ``BESIDE`` of
its return, also if it had taken connections that it then forgot. The first that speaks is gone by, the others end.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from yardbank.gateway.api import MS, SECOND

SILENCE = 3 * SECOND
BESIDE = 300 * MS  # until another is begun beside those that have said nothing
MOST = 12  # that are open at a time: SILENCE holds ten
FIRST_PAUSE, LONGEST_PAUSE = 50 * MS, 200 * MS  # drains may have a grace of half a second from when they are told


class Phase(Enum):
    """What discovery's watch is about."""

    STOPPED = "nobody watches"
    PAUSING = "the last one has ended; the next is begun after a pause"
    ASKING = "some are begun, none has spoken"
    HEARING = "one has spoken and is gone by"


class Event(Enum):
    """What can happen to it."""

    BEGIN = "watch from now on"
    MOVE = "discovery is elsewhere from now on"
    STOP = "watch no more"
    TICK = "time has passed"
    ANSWERED = "the head of an answer is there"
    LIVED = "a watch has shown life"
    NEWS = "a list was new"
    ENDED = "a watch has ended by itself"


def _row(phase: Phase, **led: set[Phase]) -> dict[Event, set[Phase]]:
    return {event: led.get(event.name, {phase}) for event in Event}


_STOPPED, _PAUSING, _ASKING, _HEARING = ({phase} for phase in Phase)
# Every event is legal in every phase: the phases that may follow. What is not named leaves the phase as it is.
TABLE = {
    Phase.STOPPED: _row(Phase.STOPPED, BEGIN=_ASKING),
    Phase.PAUSING: _row(Phase.PAUSING, BEGIN=_ASKING, MOVE=_ASKING, STOP=_STOPPED, TICK=_PAUSING | _ASKING),
    Phase.ASKING: _row(
        Phase.ASKING, STOP=_STOPPED, ANSWERED=_ASKING | _HEARING, LIVED=_ASKING | _HEARING, ENDED=_ASKING | _PAUSING
    ),
    Phase.HEARING: _row(
        Phase.HEARING, BEGIN=_ASKING, MOVE=_ASKING, STOP=_STOPPED, TICK=_HEARING | _ASKING, ENDED=_HEARING | _PAUSING
    ),
}


@dataclass(slots=True, frozen=True)
class Steps:
    """What is to be done: watches to be dropped, those of them that were silent, and one to be begun (or None)."""

    drop: tuple[int, ...] = ()
    silent: tuple[int, ...] = ()
    begin: int | None = None


NOTHING = Steps()


class WatchStateMachine:
    """The watches of one gateway, by number."""

    def __init__(self) -> None:
        self.phase = Phase.STOPPED
        self._last = 0
        self._since: dict[int, int] = {}  # open watches: when each began, or spoke last
        self._next = 0  # when the next is due, unless one is heard
        self._pause = FIRST_PAUSE
        self._doubt = False  # one has fallen silent: the head of an answer is no proof that lists will follow

    def next_at(self) -> int | None:
        """When ``tick`` is due; None: never."""
        if self.phase is Phase.STOPPED:
            return None
        silent = min(self._since.values(), default=1 << 63) + SILENCE
        if self.phase is Phase.HEARING or (self.phase is Phase.ASKING and len(self._since) >= MOST):
            return silent
        return min(self._next, silent)

    def begin(self, now: int) -> Steps:
        """Watch from now on; whatever was open is dropped."""
        drop, self._since = tuple(self._since), {}
        self._pause = FIRST_PAUSE
        self._doubt = False
        return Steps(drop=drop, begin=self._another(now))

    def move(self, now: int) -> Steps:
        """Discovery is elsewhere from now on; whoever has stopped does not begin again for that."""
        return NOTHING if self.phase is Phase.STOPPED else self.begin(now)

    def stop(self) -> Steps:
        """Watch no more."""
        drop, self._since = tuple(self._since), {}
        self.phase = Phase.STOPPED
        return Steps(drop=drop)

    def tick(self, now: int) -> Steps:
        """Time has passed."""
        if self.phase is Phase.STOPPED:
            return NOTHING
        silent = tuple(number for number, since in self._since.items() if now - since >= SILENCE)
        for number in silent:
            del self._since[number]
        if silent:
            self._doubt = True
        lost = self.phase is Phase.HEARING and not self._since
        due = self.phase is not Phase.HEARING and now >= self._next and len(self._since) < MOST
        return Steps(drop=silent, silent=silent, begin=self._another(now) if lost or due else None)

    def answered(self, number: int, now: int) -> Steps:
        """The head of an answer is there."""
        return NOTHING if self._doubt else self._spoke(number, now)

    def lived(self, number: int, now: int, begun: bool = False) -> Steps:
        """A list, or white space between two; ``begun``: the first octet of a list.

        Once a watch has fallen silent the beginning of a list is no proof that it will end: others are begun beside
        it until one is whole, so that two watches that stop one after the other cost no more than one.
        """
        if begun and self._doubt:
            return NOTHING
        if number in self._since:
            self._doubt = False
        return self._spoke(number, now)

    def news(self) -> None:
        """A list was new: should this watch end, the next is begun soon."""
        self._pause = FIRST_PAUSE

    def ended(self, number: int, now: int) -> int | None:
        """A watch has ended by itself; the pause before the next (ns), if it was the last."""
        if self._since.pop(number, None) is None or self._since:
            return None
        pause, self._pause = self._pause, min(2 * self._pause, LONGEST_PAUSE)
        self.phase = Phase.PAUSING
        self._next = now + pause
        return pause

    def _spoke(self, number: int, now: int) -> Steps:
        if number not in self._since:
            return NOTHING
        drop = tuple(other for other in self._since if other != number)
        self.phase = Phase.HEARING
        self._since = {number: now}
        return Steps(drop=drop)

    def _another(self, now: int) -> int:
        self._last += 1
        self.phase = Phase.ASKING
        self._next = now + BESIDE
        self._since[self._last] = now
        return self._last
