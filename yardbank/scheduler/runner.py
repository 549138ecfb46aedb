"""Runs background jobs on a reactor, one slice at a time, so that other events are handled in between."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Any

from yardbank.scheduler.plan import Job, Queue


class Runner:
    """Runner of one gateway's background jobs."""

    def __init__(self, queue: Queue, reactor: Any, now: Callable[[], int], log: Any) -> None:
        self.queue, self._reactor, self._now, self._log = queue, reactor, now, log
        self._timer: Any = None

    def add(self, key: str, priority: int, work: Iterator[object]) -> None:
        """Add a background job; it replaces an older job with the same key."""
        displaced = self.queue.add(self._now(), Job(key, priority, work))
        if displaced is not None and displaced.key != key:
            self._log.warning("background_job_dropped", key=displaced.key, bound=self.queue.most)
        self._arm(0)

    def stop(self) -> None:
        """Drop all jobs and run no more slices."""
        self.queue.jobs.clear()
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _arm(self, wait: int) -> None:
        if self._timer is None:
            self._timer = self._reactor.callLater(wait / 1e9, self._run)

    def _run(self) -> None:
        self._timer = None
        job = self.queue.next(self._now())
        if isinstance(job, Job):
            started_at, finished = self._now(), False
            try:
                next(job.work)
            except StopIteration:
                finished = True
            except Exception as problem:  # noqa: BLE001  # error boundary: an error in one job ends only that job
                finished = True
                self._log.error("background_job_failed", key=job.key, error=repr(problem), exc_info=True)
            self.queue.record_slice(self._now(), job, self._now() - started_at, finished)
            self._arm(0)
        elif job is not None:
            self._arm(job)
