"""One database server: requests share its cores, more wait in a queue, and many pending ones make it less efficient.

A primary commits writes to its group's log; a replica applies that log with one thread, which shares the cores with
the reads. Where a server is overloaded the thread gets less, and the replica falls behind. Requests whose client has
left are served all the same: the server is not notified, or does not look.
"""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from yardbank.testing.emulator.clock import VirtualClock

SECOND = 1_000_000_000
MISS, FULL, OK = "miss", "full", "ok"


@dataclass(slots=True, frozen=True)
class Capacity:
    """What one server can do. Raises ``ValueError`` for a value out of its range."""

    cores: int = 3
    slots: int = 24  # requests that run at the same time
    queue: int = 60  # requests that wait; more are rejected as ``full``
    crowd: float = 5.0  # pending requests a core from which on it gets less efficient
    thrash: float = 0.15  # by how much, for each further one
    apply_s: float = 0.012  # work of applying one write, in core seconds
    handshake_s: float = 0.003  # work of a new connection

    def __post_init__(self) -> None:
        if min(self.cores, self.slots) < 1 or self.queue < 0:
            raise ValueError("capacity: cores and slots must be positive, queue not negative")


@dataclass(slots=True)
class Work:
    """One request at a server: its work in core seconds, and the callback that takes its status."""

    work: float
    end: Callable[[str], None] | None  # None: work that has no answer (a handshake)
    write: bool = False


class EmulatedServer:
    """Takes work; calls back with ``ok``, ``full`` or ``miss`` on the virtual clock.

    Owns: running and waiting requests, and the commits that a replica has not applied yet.
    Bound: ``slots`` and ``queue`` of its capacity; the log is as long as the replica is behind.
    Invariant: one event on the clock is valid at a time, that of the latest plan.
    """

    def __init__(self, clock: VirtualClock, capacity: Capacity, primary: bool, speed: float = 1.0) -> None:
        self._clock = clock
        self.capacity = capacity
        self.primary = primary
        self.speed = speed
        self.log: deque[int] = deque()  # a replica's: commits that it has not applied yet
        self.copies: list[EmulatedServer] = []  # a primary's
        self.down = False
        self.rejected = 0
        self.missed = 0
        self.done = 0
        self.load = 0.0  # the share of its cores that was busy in the last period, as it reports
        self._busy_s = 0.0  # core seconds used in this period
        self._served = 0.0  # work that each request in progress has had since the start
        self._advanced_at = clock.now
        self._running: list[tuple[float, int, Work]] = []
        self._waiting: deque[Work] = deque()
        self._applying = False
        self._applied_at = 0.0  # where ``_served`` stands when the commit in work is applied
        self._sequence = 0
        self._plan_version = 0

    @property
    def pending(self) -> int:
        """How many requests run and wait."""
        return len(self._running) + len(self._waiting)

    def position(self) -> int:
        """The time up to which it has every commit (ns)."""
        return self.log[0] - 1 if self.log else self._clock.now

    def _rate(self) -> float:
        """Work a second that each request in progress gets."""
        jobs = len(self._running) + self._applying
        if not jobs:
            return 0.0
        crowded = max(0.0, self.pending / self.capacity.cores - self.capacity.crowd)
        return self.speed * min(1.0, self.capacity.cores / jobs) / (1.0 + self.capacity.thrash * crowded)

    def _advance(self) -> None:
        passed = (self._clock.now - self._advanced_at) / SECOND
        self._advanced_at = self._clock.now
        rate = self._rate()
        self._served += passed * rate
        self._busy_s += passed * min(self.capacity.cores, len(self._running) + self._applying)

    def submit(self, work: Work, required_position: int = 0) -> None:
        """Take a request; a read that requires a later position than this server's is a miss at once."""
        if self.down:
            return
        if not self.primary and (work.write or self.position() < required_position):
            self.missed += 1
            if work.end:
                work.end(MISS)
            return
        if work.end and self.pending >= self.capacity.slots + self.capacity.queue:
            self.rejected += 1
            work.end(FULL)
            return
        self._advance()
        if len(self._running) < self.capacity.slots or work.end is None:
            self._start(work)
        else:
            self._waiting.append(work)
        self._plan()

    def commit(self, at: int) -> None:
        """A replica receives one more commit (clock time, ns) to apply."""
        if self.down:
            return
        self._advance()
        self.log.append(at)
        self._apply_next()
        self._plan()

    def measure(self, period: int) -> None:
        """A period (ns) ends: its load is what was busy in it."""
        self._advance()
        self.load = self._busy_s * SECOND / (self.capacity.cores * period)
        self._busy_s = 0.0

    def stop(self) -> None:
        """The process dies: pending requests are lost without an answer."""
        self._advance()
        self.down = True
        self._running.clear()
        self._waiting.clear()
        self._applying = False
        self._plan()

    def start(self) -> None:
        """The process starts again with the log it had, and goes on to apply what came meanwhile."""
        self._advance()
        self.down = False
        self._apply_next()
        self._plan()

    def _start(self, work: Work) -> None:
        self._sequence += 1
        heapq.heappush(self._running, (self._served + work.work, self._sequence, work))

    def _apply_next(self) -> None:
        if not self._applying and self.log and not self.down:
            self._applying = True
            self._applied_at = self._served + self.capacity.apply_s

    def _plan(self) -> None:
        """Schedule the next end of a request or of a commit's apply."""
        self._plan_version += 1
        ends = [self._running[0][0]] if self._running else []
        if self._applying:
            ends.append(self._applied_at)
        rate = self._rate()
        if not ends or not rate:
            return
        version = self._plan_version
        left = max(0.0, min(ends) - self._served)
        self._clock.at(self._clock.now + 1 + int(left / rate * SECOND), lambda: self._due(version))

    def _due(self, version: int) -> None:
        if version != self._plan_version:  # a later plan replaced this one
            return
        self._advance()
        ended: list[Work] = []
        while self._running and self._running[0][0] <= self._served + 1e-12:
            ended.append(heapq.heappop(self._running)[2])
        if self._applying and self._applied_at <= self._served + 1e-12:
            self._applying = False
            self.log.popleft()
            self._apply_next()
        while self._waiting and len(self._running) < self.capacity.slots:
            self._start(self._waiting.popleft())
        self._plan()
        for work in ended:
            if work.end is None:
                continue
            self.done += 1
            if work.write:
                for copy in self.copies:
                    copy.commit(self._clock.now)
            work.end(OK)
