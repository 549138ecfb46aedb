"""Components of the gateway: clock, deadlines, connection slots, rules for requests that end early."""

from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet.task import Clock

from tests.support.virtual_gateway import KEYED, READ, WRITE
from yardbank.gateway.clock import SteadyClock, started_at
from yardbank.gateway.deadlines import Deadlines
from yardbank.gateway.ending import allowed_time, may_be_refused
from yardbank.gateway.slots import SlotTable


def test_clock_never_goes_back():
    times = iter([5.0, 4.0, 6.0, 1.0])
    clock = SteadyClock(lambda: next(times))
    assert [clock.now() for _ in range(4)] == [5 * 10**9, 5 * 10**9, 6 * 10**9, 6 * 10**9]
    assert started_at(10**9, 500.0, 0) == 0
    assert started_at(10 * 10**9, 500.0, 499.0) == 9 * 10**9
    assert started_at(10 * 10**9, 500.0, 900.0) == 10 * 10**9  # a start time in the future counts as now
    assert started_at(10 * 10**9, 500.0, 1.0) == 1


@settings(max_examples=100, deadline=None, derandomize=True)
@given(st.lists(st.tuples(st.integers(0, 100), st.booleans()), max_size=60))
def test_deadlines_fire_once_in_order_and_cancelled_ones_never_fire(plan):
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


def test_attempts_share_connections_up_to_limit():
    slots = SlotTable(connections=2, multiplex=2, idle_close=100)
    first = slots.assign(0)
    assert first.opening and slots.assign(0).slot == first.slot  # the second attempt waits for the same connection
    second = slots.assign(0)
    assert second.opening and second.slot != first.slot
    slots.mark_open(first.slot, 1)
    slots.mark_open(second.slot, 1)
    assert slots.assign(2).slot == second.slot
    assert slots.assign(2).slot is None  # every connection is full, and no more may be opened
    assert not slots.release(first.slot, 3, 0, True) and not slots.release(first.slot, 3, 0, True)
    assert slots.idle() == [first.slot] and slots.expired(50) == [] and slots.expired(103) == [first.slot]


def test_connection_silent_since_timeout_takes_no_new_attempts():
    slots = SlotTable(1, 4, 100)
    slot = slots.assign(0).slot
    slots.mark_open(slot, 1)
    slots.assign(5)
    assert not slots.release(slot, 10, 5, answered=False)  # one attempt is still outstanding
    assert slots.assign(11).slot is None
    assert slots.release(slot, 12, 5, answered=True)  # now the connection can be closed
    slots.remove(slot)
    assert slots.assign(13).opening


def test_refusal_and_time_limit_of_requests_that_end_early():
    assert may_be_refused(READ, True) and may_be_refused(KEYED, True) and may_be_refused(WRITE, False)
    assert not may_be_refused(WRITE, True)
    assert (
        allowed_time(READ, 0) == READ.deadline
        and allowed_time(READ, 5) == 5
        and allowed_time(READ, 10**12) == READ.deadline
    )
