"""Background work: order, budget, bounds; on virtual time."""

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


class Place:
    """A runner whose work takes virtual time."""

    def __init__(self, share=1.0, burst=SECOND, most=64):
        self.clock, self.log, self.did = Clock(), Log(), []
        self.extra = 0
        self.runner = Runner(Queue(Budget(share, burst), most), self.clock, self.now, self.log)

    def now(self):
        return int(self.clock.seconds() * 1e9) + self.extra

    def work(self, name, slices=3, cost=MS):
        for number in range(slices):
            self.extra += cost
            self.did.append((name, number))
            yield

    def add(self, name, priority=0, **more):
        self.runner.add(name, priority, self.work(name, **more))

    def pass_time(self, seconds, step=0.001):
        for _ in range(round(seconds / step)):
            self.clock.advance(step)


def test_higher_priorities_go_first_and_a_slice_at_a_time():
    place = Place()
    place.add("low")
    place.add("high", 5)
    place.pass_time(0.01)
    assert [name for name, _ in place.did] == ["high"] * 3 + ["low"] * 3
    assert place.clock.getDelayedCalls() == []  # nothing to do, nothing armed


def test_newer_work_of_a_key_replaces_the_older():
    place = Place()
    place.add("plan", slices=100)
    place.pass_time(0.002)
    before = len(place.did)
    place.add("plan", slices=2)
    place.pass_time(0.05)
    assert len(place.did) - before == 2 and place.runner.queue.jobs == {}


def test_the_budget_holds_over_time():
    place = Place(share=0.1, burst=10 * MS)
    place.add("long", slices=10_000, cost=5 * MS)
    start = place.now()
    place.pass_time(2)
    spent = len(place.did) * 5 * MS
    assert spent <= 0.1 * (place.now() - start) + 10 * MS + 5 * MS
    assert spent >= 0.08 * (place.now() - start)


def test_nothing_starves():
    queue = Queue(Budget(1.0, SECOND))
    queue.add(0, Job("patient", 0, iter(())))
    queue.add(2 * AGING_INTERVAL, Job("urgent", 1, iter(())))
    assert queue.next(2 * AGING_INTERVAL).key == "patient"


def test_the_bound_drops_the_least_urgent_and_says_so():
    place = Place(most=2)
    for name, priority in (("a", 1), ("b", 3), ("c", 2)):
        place.add(name, priority)
    assert place.log.lines == [("background_job_dropped", "a")] and place.runner.queue.dropped == 1
    place.pass_time(0.05)
    assert {name for name, _ in place.did} == {"b", "c"}


def test_a_job_that_fails_ends_alone():
    place = Place()

    def broken():
        yield
        raise RuntimeError("hidden")

    place.runner.add("broken", 9, broken())
    place.add("other")
    place.pass_time(0.02)
    assert place.log.lines == [("background_job_failed", "broken")] and len(place.did) == 3
    place.add("more", slices=1000)
    place.runner.stop()
    place.pass_time(0.02)
    assert len(place.did) == 3 and place.clock.getDelayedCalls() == []


@settings(max_examples=100, deadline=None, derandomize=True)
@given(st.lists(st.tuples(st.integers(0, 5), st.integers(0, 3), st.integers(0, 40)), max_size=30), st.floats(0.05, 1))
def test_the_budget_is_never_overdrawn_by_more_than_a_slice(steps, share):
    queue, now, spent, runs = Queue(Budget(share, 5 * MS), most=4), 0, 0, 0
    for key, priority, cost in steps:
        queue.add(now, Job(str(key), priority, iter(())))
        assert len(queue.jobs) <= 4
        found = queue.next(now)
        if isinstance(found, Job):
            assert all(
                j.priority <= found.priority or j.added_at > found.added_at - AGING_INTERVAL for j in queue.jobs.values()
            )
            assert spent <= now * share + 5 * MS  # before this slice
            now += cost * MS
            spent += cost * MS
            runs += 1
            queue.record_slice(now, found, cost * MS, finished=cost % 2 == 0)
        else:
            now += found if found else 0
        now += MS


def test_budgets_that_make_no_sense_are_named():
    with pytest.raises(ValueError, match="share"):
        Budget(0, 1)
