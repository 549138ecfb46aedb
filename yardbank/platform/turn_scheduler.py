"""Shares each turn of the event loop fairly between connections that have work to do. No I/O.

A step is one message read or one command dispatched. While a turn has steps left, a connection works on as soon as it
has something to do. Beyond that, connections wait for one of the next turns, so that the loop soon returns to its
sockets and timers, however much all connections have received. Those that wait are served a few steps at a time: first
those with little to do, as clients with one request at a time are not to wait for clients with hundreds, but never only
those.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

STEPS_PER_TURN = 64  # 32 commands: each takes a step to be read and one to be dispatched
STEPS_PER_VISIT = 2  # of a connection that waited: one command
STEPS_BEFORE_RENEWAL = 16  # a renewal is scheduled after so many; a quiet gateway needs no timer for each turn
VISITS_PER_BUSY_CONNECTION = 4  # one in so many visits goes to a connection with much to do


class Worker(Protocol):
    """A connection, as seen from here."""

    number: int

    def work(self) -> None:
        """Goes on while ``TurnScheduler.may_step`` allows it; defers itself if something is left to do."""


class TurnScheduler:
    """Counts the steps of a turn, and holds the connections that wait for one of the next turns.

    Invariant: while a connection waits, the next turn is scheduled.
    """

    def __init__(self, call_next_turn: Callable[[Callable[[], None]], object]) -> None:
        """``call_next_turn``: calls a function in the next turn of the event loop, after sockets were polled."""
        self._call_next_turn = call_next_turn
        self._steps = 0  # of this turn
        self._is_renewal_scheduled = False
        self._visited: Worker | None = None
        self._visit_steps = 0  # left of the current visit
        self._steps_since_idle: dict[int, int] = {}
        self._waiting_quick: dict[int, Worker] = {}  # connections with little to do that wait, in order
        self._waiting_busy: dict[int, Worker] = {}  # the others that wait, in order
        self._is_limited = True

    @property
    def waiting_count(self) -> int:
        """Number of connections that wait for one of the next turns."""
        return len(self._waiting_quick) + len(self._waiting_busy)

    def may_step(self, worker: Worker) -> bool:
        """Whether a connection may take its next step now; if not, it defers itself."""
        if not self._is_limited:
            return True
        if self._visited is not None:
            return self._visited is worker and self._visit_steps > 0
        return self._steps < STEPS_PER_TURN and not self.waiting_count

    def stepped(self, worker: Worker) -> None:
        """Counts a step of a connection."""
        self._steps += 1
        self._visit_steps -= 1
        self._steps_since_idle[worker.number] = self._steps_since_idle.get(worker.number, 0) + 1
        if self._steps >= STEPS_BEFORE_RENEWAL:
            self._schedule_renewal()

    def defer(self, worker: Worker) -> None:
        """Lets a connection wait for one of the next turns, if it does not wait already."""
        number = worker.number
        if number not in self._waiting_quick and number not in self._waiting_busy:
            is_busy = self._steps_since_idle.get(number, 0) >= STEPS_PER_VISIT
            (self._waiting_busy if is_busy else self._waiting_quick)[number] = worker
            self._schedule_renewal()

    def idle(self, worker: Worker) -> None:
        """A connection has nothing left to do."""
        self._steps_since_idle.pop(worker.number, None)

    def discard(self, worker: Worker) -> None:
        """Forgets a connection that has ended."""
        self._steps_since_idle.pop(worker.number, None)
        self._waiting_quick.pop(worker.number, None)
        self._waiting_busy.pop(worker.number, None)

    def finish_all(self) -> None:
        """Lets all waiting connections finish at once, and every one from now on: the gateway ends."""
        self._is_limited = False
        while self.waiting_count:
            self._next_waiting(0).work()

    def _schedule_renewal(self) -> None:
        if not self._is_renewal_scheduled:
            self._is_renewal_scheduled = True
            self._call_next_turn(self._renew)

    def _renew(self) -> None:
        """Begins a turn: waiting connections go on, until the turn's steps are used up."""
        self._is_renewal_scheduled = False
        self._steps = visits = 0
        while self.waiting_count and self._steps < STEPS_PER_TURN and visits < STEPS_PER_TURN:
            self._visit(self._next_waiting(visits))
            visits += 1
        if self.waiting_count:
            self._schedule_renewal()

    def _visit(self, worker: Worker) -> None:
        self._visited = worker
        self._visit_steps = min(STEPS_PER_VISIT, STEPS_PER_TURN - self._steps)
        try:
            worker.work()
        finally:
            self._visited = None

    def _next_waiting(self, visit: int) -> Worker:
        """Removes and returns the connection whose turn it is; one waits."""
        is_for_busy = visit % VISITS_PER_BUSY_CONNECTION == VISITS_PER_BUSY_CONNECTION - 1
        waiting = self._waiting_busy if not self._waiting_quick or (is_for_busy and self._waiting_busy) else None
        waiting = self._waiting_quick if waiting is None else waiting
        return waiting.pop(next(iter(waiting)))
