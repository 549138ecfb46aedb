"""Background jobs on virtual time: order, budget, bounds."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet.task import Clock

from yardbank.scheduler import Budget, Job, Queue, Runner
from yardbank.scheduler.plan import AGING_INTERVAL

MS, SECOND = 1_000_000, 1_000_000_000


class Log:
    def __init__(self):
        self.lines = []

    def __getattr__(self, name):
        return lambda event, **facts: self.lines.append((event, facts.get("key")))


class Harness:
    """A runner whose jobs take virtual time."""

    def __init__(self, share=1.0, burst=SECOND, most=64):
        self.clock, self.log, self.slices_run = Clock(), Log(), []
        self.work_time = 0
        self.runner = Runner(Queue(Budget(share, burst), most), self.clock, self.now, self.log)

    def now(self):
        return int(self.clock.seconds() * 1e9) + self.work_time

    def work(self, name, slices=3, cost=MS):
        for number in range(slices):
            self.work_time += cost
            self.slices_run.append((name, number))
            yield

    def add(self, name, priority=0, **more):
        self.runner.add(name, priority, self.work(name, **more))

    def pass_time(self, seconds, step=0.001):
        for _ in range(round(seconds / step)):
            self.clock.advance(step)


def test_higher_priorities_run_first():
    harness = Harness()
    harness.add("low")
    harness.add("high", 5)
    harness.pass_time(0.01)
    assert [name for name, _ in harness.slices_run] == ["high"] * 3 + ["low"] * 3
    assert harness.clock.getDelayedCalls() == []  # no job is left, so no timer is armed


def test_newer_job_replaces_older_one_with_same_key():
    harness = Harness()
    harness.add("plan", slices=100)
    harness.pass_time(0.002)
    before = len(harness.slices_run)
    harness.add("plan", slices=2)
    harness.pass_time(0.05)
    assert len(harness.slices_run) - before == 2 and harness.runner.queue.jobs == {}


def test_budget_holds_over_time():
    harness = Harness(share=0.1, burst=10 * MS)
    harness.add("long", slices=10_000, cost=5 * MS)
    start = harness.now()
    harness.pass_time(2)
    spent = len(harness.slices_run) * 5 * MS
    assert spent <= 0.1 * (harness.now() - start) + 10 * MS + 5 * MS
    assert spent >= 0.08 * (harness.now() - start)


def test_waiting_raises_priority_so_that_no_job_starves():
    queue = Queue(Budget(1.0, SECOND))
    queue.add(0, Job("patient", 0, iter(())))
    queue.add(2 * AGING_INTERVAL, Job("urgent", 1, iter(())))
    assert queue.next(2 * AGING_INTERVAL).key == "patient"


def test_full_queue_drops_least_urgent_job_and_logs_it():
    harness = Harness(most=2)
    for name, priority in (("a", 1), ("b", 3), ("c", 2)):
        harness.add(name, priority)
    assert harness.log.lines == [("background_job_dropped", "a")] and harness.runner.queue.dropped == 1
    harness.pass_time(0.05)
    assert {name for name, _ in harness.slices_run} == {"b", "c"}


def test_failing_job_does_not_affect_others():
    harness = Harness()

    def broken():
        yield
        raise RuntimeError("injected")

    harness.runner.add("broken", 9, broken())
    harness.add("other")
    harness.pass_time(0.02)
    assert harness.log.lines == [("background_job_failed", "broken")] and len(harness.slices_run) == 3
    harness.add("more", slices=1000)
    harness.runner.stop()
    harness.pass_time(0.02)
    assert len(harness.slices_run) == 3 and harness.clock.getDelayedCalls() == []


@settings(max_examples=100, deadline=None, derandomize=True)
@given(st.lists(st.tuples(st.integers(0, 5), st.integers(0, 3), st.integers(0, 40)), max_size=30), st.floats(0.05, 1))
def test_budget_is_overdrawn_by_at_most_one_slice(steps, share):
    queue, now, spent, runs = Queue(Budget(share, 5 * MS), most=4), 0, 0, 0
    for key, priority, cost in steps:
        queue.add(now, Job(str(key), priority, iter(())))
        assert len(queue.jobs) <= 4
        found = queue.next(now)
        if isinstance(found, Job):
            assert all(
                j.priority <= found.priority or j.added_at > found.added_at - AGING_INTERVAL
                for j in queue.jobs.values()
            )
            assert spent <= now * share + 5 * MS  # excluding the slice that is about to run
            now += cost * MS
            spent += cost * MS
            runs += 1
            queue.record_slice(now, found, cost * MS, finished=cost % 2 == 0)
        else:
            now += found if found else 0
        now += MS


def test_invalid_budget_is_rejected():
    with pytest.raises(ValueError, match="share"):
        Budget(0, 1)
