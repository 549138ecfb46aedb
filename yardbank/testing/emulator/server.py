"""A model of one database server: requests share its cores, others wait in a queue, and crowding lowers efficiency.

A primary commits writes to its group's log. A replica applies the log with one thread, which shares the cores with
reads, so an overloaded replica falls behind. Requests whose client has disconnected are still served, because the
server is not notified or does not check.
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
    """The capacity of one server. Raises ``ValueError`` for a value out of range."""

    cores: int = 3
    slots: int = 24  # concurrent requests
    queue: int = 60  # waiting requests; further ones are rejected as ``full``
    crowd: float = 5.0  # pending requests per core above which efficiency falls
    thrash: float = 0.15  # loss of efficiency for each further one per core
    apply_s: float = 0.012  # work to apply one write, in core seconds
    handshake_s: float = 0.003  # work to open a connection, in core seconds

    def __post_init__(self) -> None:
        if min(self.cores, self.slots) < 1 or self.queue < 0:
            raise ValueError("capacity: cores and slots must be positive, queue not negative")


@dataclass(slots=True)
class Work:
    """One request: its work in core seconds and the callback for its status."""

    work: float
    end: Callable[[str], None] | None  # None: work without an answer (a handshake)
    write: bool = False


class EmulatedServer:
    """Accepts work and calls back with ``ok``, ``full`` or ``miss`` on the virtual clock.

    Owns the running and waiting requests, limited by ``slots`` and ``queue``, and a replica's unapplied commits, whose
    number is its replication lag. At any time only the latest scheduled clock event is valid.
    """

    def __init__(self, clock: VirtualClock, capacity: Capacity, primary: bool, speed: float = 1.0) -> None:
        self._clock = clock
        self.capacity = capacity
        self.primary = primary
        self.speed = speed
        self.log: deque[int] = deque()  # of a replica: commits not yet applied
        self.copies: list[EmulatedServer] = []  # of a primary: its replicas
        self.down = False
        self.rejected = 0
        self.missed = 0
        self.done = 0
        self.load = 0.0  # share of busy cores in the last period, as reported
        self._busy_s = 0.0  # core seconds used in the current period
        self._served = 0.0  # work done for each running request since the start
        self._advanced_at = clock.now
        self._running: list[tuple[float, int, Work]] = []
        self._waiting: deque[Work] = deque()
        self._applying = False
        self._applied_at = 0.0  # value of ``_served`` at which the current commit is applied
        self._sequence = 0
        self._plan_version = 0

    @property
    def pending(self) -> int:
        """The number of running and waiting requests."""
        return len(self._running) + len(self._waiting)

    def position(self) -> int:
        """The time (ns) up to which it has all commits."""
        return self.log[0] - 1 if self.log else self._clock.now

    def _rate(self) -> float:
        """The work per second done for each running request."""
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
        """Accepts a request. Writes at a replica, and reads that need a later position, are a miss at once."""
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
        """Adds a commit (clock time, ns) for a replica to apply."""
        if self.down:
            return
        self._advance()
        self.log.append(at)
        self._apply_next()
        self._plan()

    def measure(self, period: int) -> None:
        """Ends a period (ns) and computes its load."""
        self._advance()
        self.load = self._busy_s * SECOND / (self.capacity.cores * period)
        self._busy_s = 0.0

    def stop(self) -> None:
        """Stops the server; pending requests are lost without an answer."""
        self._advance()
        self.down = True
        self._running.clear()
        self._waiting.clear()
        self._applying = False
        self._plan()

    def start(self) -> None:
        """Restarts the server with its log, and continues to apply it."""
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
        """Schedules the next completion of a request or of an apply."""
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
        if version != self._plan_version:  # replaced by a later schedule
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
