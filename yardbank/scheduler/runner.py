"""Runs background jobs on a reactor, a slice at a time, between the events that matter more. Thin."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Any

from yardbank.scheduler.plan import Job, Queue


class Runner:
    """One gateway's background work."""

    def __init__(self, queue: Queue, reactor: Any, now: Callable[[], int], log: Any) -> None:
        self.queue, self._reactor, self._now, self._log = queue, reactor, now, log
        self._timer: Any = None

    def add(self, key: str, priority: int, work: Iterator[object]) -> None:
        """Do this work in the background; newer work of a key replaces older."""
        gave_way = self.queue.add(self._now(), Job(key, priority, work))
        if gave_way is not None and gave_way.key != key:
            self._log.warning("background_job_dropped", key=gave_way.key, bound=self.queue.most)
        self._arm(0)

    def stop(self) -> None:
        """No more slices."""
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
            began, finished = self._now(), False
            try:
                next(job.work)
            except StopIteration:
                finished = True
            except Exception as problem:  # noqa: BLE001  # one job's fault ends that job
                finished = True
                self._log.error("background_job_failed", key=job.key, error=repr(problem), exc_info=True)
            self.queue.ran(self._now(), job, self._now() - began, finished)
            self._arm(0)
        elif job is not None:
            self._arm(job)
