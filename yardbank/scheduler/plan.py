"""What background work runs next, and when. No I/O; times in nanoseconds, passed in."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

SECOND = 1_000_000_000
AGEING = 10 * SECOND  # waiting so long counts as one priority more: nothing starves


class Budget:
    """At most ``share`` of one core, with a burst of ``burst`` ns: a token bucket of time."""

    def __init__(self, share: float, burst: int) -> None:
        if not 0 < share <= 1 or burst <= 0:
            raise ValueError("budget: share must be above 0 and at most 1, burst above 0")
        self._share, self._burst = share, burst
        self._left = float(burst)
        self._at = 0

    def wait(self, now: int) -> int:
        """How long until something may run; 0: now."""
        self._fill(now)
        return 0 if self._left > 0 else int(-self._left / self._share) + 1

    def spend(self, now: int, spent: int) -> None:
        """A slice took so long; more than there was is paid back by waiting."""
        self._fill(now)
        self._left -= spent

    def _fill(self, now: int) -> None:
        if now > self._at:
            self._left = min(float(self._burst), self._left + (now - self._at) * self._share)
            self._at = now


@dataclass(slots=True)
class Job:
    """Work in slices: each step of ``work`` is one. Higher priorities go first."""

    key: str
    priority: int
    work: Iterator[object]
    added_at: int = 0
    spent: int = 0
    slices: int = 0


@dataclass(slots=True)
class Queue:
    """Jobs that wait or are under way, at most ``most``; a newer job of a key replaces the older one."""

    budget: Budget
    most: int = 64
    jobs: dict[str, Job] = field(default_factory=dict)
    dropped: int = 0

    def add(self, now: int, job: Job) -> Job | None:
        """Take a job. Returns what gave way: the older one of its key, or, at the bound, the least urgent."""
        job.added_at = now
        if (older := self.jobs.pop(job.key, None)) is not None:
            job.added_at = min(now, older.added_at)  # its turn does not move back
            self.jobs[job.key] = job
            return older
        self.jobs[job.key] = job
        if len(self.jobs) <= self.most:
            return None
        least = min(self.jobs.values(), key=lambda j: (self._urgency(now, j), -j.added_at))
        del self.jobs[least.key]
        self.dropped += 1
        return least

    def _urgency(self, now: int, job: Job) -> int:
        return job.priority + (now - job.added_at) // AGEING

    def next(self, now: int) -> Job | int | None:
        """The job whose slice runs now; or how long to wait for the budget; None: there is nothing to do."""
        if not self.jobs:
            return None
        if wait := self.budget.wait(now):
            return wait
        return max(self.jobs.values(), key=lambda j: (self._urgency(now, j), -j.added_at))

    def ran(self, now: int, job: Job, spent: int, finished: bool) -> None:
        """A slice of a job took ``spent``; it may have been replaced meanwhile."""
        self.budget.spend(now, spent)
        job.spent += spent
        job.slices += 1
        if finished and self.jobs.get(job.key) is job:
            del self.jobs[job.key]
