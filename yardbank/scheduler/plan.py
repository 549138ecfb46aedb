"""Decides which background job runs next, and when. No I/O; times in nanoseconds, passed in."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

SECOND = 1_000_000_000
AGING_INTERVAL = 10 * SECOND  # waiting this long raises a job's priority by one, so that no job starves


class Budget:
    """Limits background work to ``share`` of one core, with a burst of ``burst`` ns: a token bucket of CPU time."""

    def __init__(self, share: float, burst: int) -> None:
        if not 0 < share <= 1 or burst <= 0:
            raise ValueError("budget: share must be above 0 and at most 1, burst above 0")
        self._share, self._burst = share, burst
        self._tokens = float(burst)
        self._refilled_at = 0

    def wait(self, now: int) -> int:
        """Return how long to wait (ns) until a slice may run; 0: now."""
        self._fill(now)
        return 0 if self._tokens > 0 else int(-self._tokens / self._share) + 1

    def spend(self, now: int, spent: int) -> None:
        """Charge the duration of a slice; an overdraft is paid back by waiting."""
        self._fill(now)
        self._tokens -= spent

    def _fill(self, now: int) -> None:
        if now > self._refilled_at:
            self._tokens = min(float(self._burst), self._tokens + (now - self._refilled_at) * self._share)
            self._refilled_at = now


@dataclass(slots=True)
class Job:
    """A job run in slices: each step of ``work`` is one. Higher priorities run first."""

    key: str
    priority: int
    work: Iterator[object]
    added_at: int = 0
    spent: int = 0
    slices: int = 0


@dataclass(slots=True)
class Queue:
    """Pending and running jobs, at most ``most``; a newer job replaces an older one with the same key."""

    budget: Budget
    most: int = 64
    jobs: dict[str, Job] = field(default_factory=dict)
    dropped: int = 0

    def add(self, now: int, job: Job) -> Job | None:
        """Add a job; returns the job it displaced, if any.

        This is the older job with the same key or, if the queue is full, the least urgent job.
        """
        job.added_at = now
        if (replaced := self.jobs.pop(job.key, None)) is not None:
            job.added_at = min(now, replaced.added_at)  # a replacement keeps its place in the order
            self.jobs[job.key] = job
            return replaced
        self.jobs[job.key] = job
        if len(self.jobs) <= self.most:
            return None
        least_urgent = min(self.jobs.values(), key=lambda j: (self._urgency(now, j), -j.added_at))
        del self.jobs[least_urgent.key]
        self.dropped += 1
        return least_urgent

    def _urgency(self, now: int, job: Job) -> int:
        return job.priority + (now - job.added_at) // AGING_INTERVAL

    def next(self, now: int) -> Job | int | None:
        """Return the job to run a slice of, or how long to wait for the budget (ns), or None if there is no job."""
        if not self.jobs:
            return None
        if wait := self.budget.wait(now):
            return wait
        return max(self.jobs.values(), key=lambda j: (self._urgency(now, j), -j.added_at))

    def record_slice(self, now: int, job: Job, spent: int, finished: bool) -> None:
        """Record that a slice of a job took ``spent`` ns; the job may have been replaced meanwhile."""
        self.budget.spend(now, spent)
        job.spent += spent
        job.slices += 1
        if finished and self.jobs.get(job.key) is job:
            del self.jobs[job.key]
