"""Decides when discovery watches are opened, used and given up. No I/O; times in ns, passed in.

A watch receives a line every 2 s. One timeout covers every kind of silence: a connection that is not established, a
response that does not start, one that stops, a list that does not end. A watch that is silent for ``SILENCE_TIMEOUT``
is given up, and a new one is opened at once.

Until the first watch responds, further ones are opened in parallel. So discovery is heard within ``PARALLEL_DELAY`` of
its return after an outage, even if it had accepted connections and forgotten them. The first watch that responds is
used, the others are closed.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from yardbank.gateway.api import MS, SECOND

SILENCE_TIMEOUT = 3 * SECOND
PARALLEL_DELAY = 300 * MS  # until another watch is opened in parallel to those that have not responded
MAX_OPEN_WATCHES = 12  # open at a time; ten are opened within SILENCE_TIMEOUT
# A draining server may have a grace period of only half a second from the time its drain is announced.
MIN_RETRY_DELAY, MAX_RETRY_DELAY = 50 * MS, 200 * MS


class Phase(Enum):
    """Phase of watching discovery."""

    STOPPED = "no watch is wanted"
    BACKOFF = "the last watch has ended; the next is opened after a delay"
    CONNECTING = "watches are open, none has responded"
    STREAMING = "one watch has responded and is used"


class Event(Enum):
    """Input of the state machine."""

    START = "start watching"
    MOVE = "discovery has a new address"
    STOP = "stop watching"
    TICK = "time has passed"
    HEAD_RECEIVED = "a response head was received"
    ACTIVITY = "a watch has shown activity"
    LIST_CHANGED = "a list differed from the last one"
    ENDED = "a watch was closed by the other side or failed"


def _row(phase: Phase, **following: set[Phase]) -> dict[Event, set[Phase]]:
    return {event: following.get(event.name, {phase}) for event in Event}


_STOPPED, _BACKOFF, _CONNECTING, _STREAMING = ({phase} for phase in Phase)
# The phases that may follow each event. Every event is allowed in every phase; one that is not named keeps the phase.
TABLE = {
    Phase.STOPPED: _row(Phase.STOPPED, START=_CONNECTING),
    Phase.BACKOFF: _row(Phase.BACKOFF, START=_CONNECTING, MOVE=_CONNECTING, STOP=_STOPPED, TICK=_BACKOFF | _CONNECTING),
    Phase.CONNECTING: _row(
        Phase.CONNECTING,
        STOP=_STOPPED,
        HEAD_RECEIVED=_CONNECTING | _STREAMING,
        ACTIVITY=_CONNECTING | _STREAMING,
        ENDED=_CONNECTING | _BACKOFF,
    ),
    Phase.STREAMING: _row(
        Phase.STREAMING,
        START=_CONNECTING,
        MOVE=_CONNECTING,
        STOP=_STOPPED,
        TICK=_STREAMING | _CONNECTING,
        ENDED=_STREAMING | _BACKOFF,
    ),
}


@dataclass(slots=True, frozen=True)
class Actions:
    """What the caller must do: watches to abort, those of them that were silent, and one to open (or None)."""

    abort: tuple[int, ...] = ()
    timed_out: tuple[int, ...] = ()
    connect: int | None = None


NO_ACTIONS = Actions()


class WatchStateMachine:
    """The watches of one gateway, by number."""

    def __init__(self) -> None:
        self.phase = Phase.STOPPED
        self._last_number = 0
        self._active_at: dict[int, int] = {}  # open watches: when each was opened or last active
        self._next_connect_at = 0  # when the next is opened, unless one responds
        self._retry_delay = MIN_RETRY_DELAY
        self._distrusts_starts = False  # a watch fell silent: the start of a response does not prove that lists follow

    def next_at(self) -> int | None:
        """Returns when ``tick`` is due; None: never."""
        if self.phase is Phase.STOPPED:
            return None
        silence_at = min(self._active_at.values(), default=1 << 63) + SILENCE_TIMEOUT
        if self.phase is Phase.STREAMING or (
            self.phase is Phase.CONNECTING and len(self._active_at) >= MAX_OPEN_WATCHES
        ):
            return silence_at
        return min(self._next_connect_at, silence_at)

    def start(self, now: int) -> Actions:
        """Starts watching; open watches are aborted."""
        abort, self._active_at = tuple(self._active_at), {}
        self._retry_delay = MIN_RETRY_DELAY
        self._distrusts_starts = False
        return Actions(abort=abort, connect=self._connect_another(now))

    def move(self, now: int) -> Actions:
        """Discovery has a new address: restarts watching, unless it is stopped."""
        return NO_ACTIONS if self.phase is Phase.STOPPED else self.start(now)

    def stop(self) -> Actions:
        """Stops watching."""
        abort, self._active_at = tuple(self._active_at), {}
        self.phase = Phase.STOPPED
        return Actions(abort=abort)

    def tick(self, now: int) -> Actions:
        """Handles the passage of time."""
        if self.phase is Phase.STOPPED:
            return NO_ACTIONS
        timed_out = tuple(number for number, since in self._active_at.items() if now - since >= SILENCE_TIMEOUT)
        for number in timed_out:
            del self._active_at[number]
        if timed_out:
            self._distrusts_starts = True
        lost = self.phase is Phase.STREAMING and not self._active_at
        due = (
            self.phase is not Phase.STREAMING
            and now >= self._next_connect_at
            and len(self._active_at) < MAX_OPEN_WATCHES
        )
        return Actions(
            abort=timed_out, timed_out=timed_out, connect=self._connect_another(now) if lost or due else None
        )

    def head_received(self, number: int, now: int) -> Actions:
        """A response head was received."""
        return NO_ACTIONS if self._distrusts_starts else self._select(number, now)

    def activity(self, number: int, now: int, list_started: bool = False) -> Actions:
        """A list or whitespace between lists was received; ``list_started``: the first octet of a list.

        Once a watch has fallen silent, the start of a list does not prove that it will end. Others are then opened in
        parallel until a list is complete, so that two watches that stop in succession take no longer than one.
        """
        if list_started and self._distrusts_starts:
            return NO_ACTIONS
        if number in self._active_at:
            self._distrusts_starts = False
        return self._select(number, now)

    def list_changed(self) -> None:
        """A list differed from the last one: if this watch ends, the next is opened soon."""
        self._retry_delay = MIN_RETRY_DELAY

    def ended(self, number: int, now: int) -> int | None:
        """A watch has ended on its own. Returns the delay before the next (ns) if it was the last."""
        if self._active_at.pop(number, None) is None or self._active_at:
            return None
        delay, self._retry_delay = self._retry_delay, min(2 * self._retry_delay, MAX_RETRY_DELAY)
        self.phase = Phase.BACKOFF
        self._next_connect_at = now + delay
        return delay

    def _select(self, number: int, now: int) -> Actions:
        if number not in self._active_at:
            return NO_ACTIONS
        abort = tuple(other for other in self._active_at if other != number)
        self.phase = Phase.STREAMING
        self._active_at = {number: now}
        return Actions(abort=abort)

    def _connect_another(self, now: int) -> int:
        self._last_number += 1
        self.phase = Phase.CONNECTING
        self._next_connect_at = now + PARALLEL_DELAY
        self._active_at[self._last_number] = now
        return self._last_number
