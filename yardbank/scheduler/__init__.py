"""Scheduling of background jobs with priorities and a CPU budget, run in slices on the reactor."""

from yardbank.scheduler.plan import Budget, Job, Queue
from yardbank.scheduler.runner import Runner

__all__ = ["Budget", "Job", "Queue", "Runner"]
