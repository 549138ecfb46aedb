"""What the gateway is made of: clocks, deadlines, connections, and what may be said of an early end."""

from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet.task import Clock

from tests.support.virtual_gateway import KEYED, READ, WRITE
from yardbank.gateway.clock import SteadyClock, started_at
from yardbank.gateway.deadlines import Deadlines
from yardbank.gateway.ending import allowed_time, may_be_refused
from yardbank.gateway.slots import SlotTable


def test_the_clock_never_goes_back():
    times = iter([5.0, 4.0, 6.0, 1.0])
    clock = SteadyClock(lambda: next(times))
    assert [clock.now() for _ in range(4)] == [5 * 10**9, 5 * 10**9, 6 * 10**9, 6 * 10**9]
    assert started_at(10**9, 500.0, 0) == 0
    assert started_at(10 * 10**9, 500.0, 499.0) == 9 * 10**9
    assert started_at(10 * 10**9, 500.0, 900.0) == 10 * 10**9  # a start in the future is a start now
    assert started_at(10 * 10**9, 500.0, 1.0) == 1


@settings(max_examples=100, deadline=None, derandomize=True)
@given(st.lists(st.tuples(st.integers(0, 100), st.booleans()), max_size=60))
def test_deadlines_fire_once_in_order_and_cancelled_ones_never(plan):
    clock, fired = Clock(), []
    deadlines = Deadlines(lambda: int(clock.seconds() * 1e9), clock.callLater)
    numbers = [deadlines.add(at * 10**7, lambda n=n: fired.append(n)) for n, (at, _) in enumerate(plan)]
    for number, (_, cancelled) in zip(numbers, plan):
        if cancelled:
            deadlines.cancel(number)
    assert len(clock.getDelayedCalls()) <= 1
    for _ in range(110):
        clock.advance(0.01)
    kept = [n for n, (_, cancelled) in enumerate(plan) if not cancelled]
    assert fired == sorted(kept, key=lambda n: (plan[n][0], n))
    assert not len(deadlines) and not clock.getDelayedCalls()


def test_the_pool_shares_connections_and_is_bounded():
    pool = SlotTable(connections=2, multiplex=2, idle_close=100)
    first = pool.assign(0)
    assert first.opening and pool.assign(0).slot == first.slot  # the second waits for the same one
    second = pool.assign(0)
    assert second.opening and second.slot != first.slot
    pool.mark_open(first.slot, 1)
    pool.mark_open(second.slot, 1)
    assert pool.assign(2).slot == second.slot
    assert pool.assign(2).slot is None  # every connection is full, and no more may be opened
    assert not pool.release(first.slot, 3, 0, True) and not pool.release(first.slot, 3, 0, True)
    assert pool.idle() == [first.slot] and pool.expired(50) == [] and pool.expired(103) == [first.slot]


def test_a_connection_with_nothing_heard_since_a_time_out_takes_nothing_new():
    pool = SlotTable(1, 4, 100)
    slot = pool.assign(0).slot
    pool.mark_open(slot, 1)
    pool.assign(5)
    assert not pool.release(slot, 10, 5, answered=False)  # one is still out there
    assert pool.assign(11).slot is None
    assert pool.release(slot, 12, 5, answered=True)  # now it can be closed
    pool.remove(slot)
    assert pool.assign(13).opening


def test_what_may_be_said_of_a_request_that_ends_early():
    assert may_be_refused(READ, True) and may_be_refused(KEYED, True) and may_be_refused(WRITE, False)
    assert not may_be_refused(WRITE, True)
    assert allowed_time(READ, 0) == READ.deadline and allowed_time(READ, 5) == 5 and allowed_time(READ, 10**12) == READ.deadline
