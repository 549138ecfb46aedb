"""When watches are opened and given up: the table of phases, and no wait without a watch that may respond."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from yardbank.gateway.api import MS, SECOND
from yardbank.platform.watch_state import (
    MAX_OPEN_WATCHES,
    MAX_RETRY_DELAY,
    PARALLEL_DELAY,
    SILENCE_TIMEOUT,
    TABLE,
    Event,
    Phase,
    WatchStateMachine,
)

EVENTS = st.sampled_from([event for event in Event if event is not Event.TICK])
STEPS = st.lists(st.tuples(EVENTS, st.integers(0, 5), st.integers(0, 4 * SECOND)), max_size=60)


@given(STEPS)
def test_phases_follow_the_table_and_every_wait_is_limited(steps):
    state_machine, now, open_, last_connect = WatchStateMachine(), 0, {}, 0

    def apply_actions(result, event, before):
        nonlocal last_connect
        assert state_machine.phase in TABLE[before][event]
        for number in result.abort:
            del open_[number]
        assert set(result.timed_out) <= set(result.abort)
        if result.connect is not None:
            assert result.connect not in open_
            open_[result.connect], last_connect = now, now

    apply_actions(state_machine.start(now), Event.START, Phase.STOPPED)
    for event, choice, pause in steps:
        until = now + pause
        while (at := state_machine.next_at()) is not None and at <= until:
            now = max(now, at)
            before = state_machine.phase
            result = state_machine.tick(now)
            assert result.connect is not None or result.abort  # every tick has an effect
            apply_actions(result, Event.TICK, before)
        now, before = until, state_machine.phase
        number = sorted(open_)[choice % len(open_)] if open_ else 0
        if event is Event.ENDED:
            open_.pop(number, None)
            again = state_machine.ended(number, now)
            assert again is None or MS < again <= MAX_RETRY_DELAY
        elif event is Event.LIST_CHANGED:
            state_machine.list_changed()
        elif event is Event.STOP:
            apply_actions(state_machine.stop(), event, before)
        elif event in (Event.START, Event.MOVE):
            apply_actions(state_machine.start(now) if event is Event.START else state_machine.move(now), event, before)
        elif open_:
            if event is Event.ACTIVITY:
                open_[number] = now
            result = (
                state_machine.activity(number, now)
                if event is Event.ACTIVITY
                else state_machine.head_received(number, now)
            )
            apply_actions(result, event, before)
        assert state_machine.phase in TABLE[before][event]
        assert len(open_) <= MAX_OPEN_WATCHES
        if state_machine.phase is Phase.STOPPED:
            assert not open_ and state_machine.next_at() is None
            assert (
                state_machine.move(now) is state_machine.tick(now)
                and state_machine.phase is Phase.STOPPED
                and state_machine.next_at() is None
            )
            apply_actions(state_machine.start(now), Event.START, Phase.STOPPED)
        assert state_machine.next_at() <= now + SILENCE_TIMEOUT
        if state_machine.phase is Phase.BACKOFF:
            assert not open_ and state_machine.next_at() <= now + MAX_RETRY_DELAY
        elif state_machine.phase is Phase.CONNECTING:
            assert open_ and state_machine.next_at() <= last_connect + PARALLEL_DELAY
        else:
            assert len(open_) == 1


def test_events_of_a_closed_watch_change_nothing():
    state_machine = WatchStateMachine()
    first = state_machine.start(0).connect
    second = state_machine.start(SECOND).connect
    assert state_machine.activity(first, SECOND).abort == () and state_machine.phase is Phase.CONNECTING
    assert state_machine.ended(first, SECOND) is None and state_machine.ended(second, SECOND) is not None
    assert (
        state_machine.phase is Phase.BACKOFF
        and state_machine.activity(second, SECOND).abort == ()
        and state_machine.phase is Phase.BACKOFF
    )


STARTED, SECOND_OPENED, RESPONDED, LATE = SECOND, SECOND + PARALLEL_DELAY, SECOND + 2 * PARALLEL_DELAY, 9 * SECOND


def state_machine_in(phase):
    """A state machine in that phase at ``RESPONDED``, and the number of a watch that is open there, or was."""
    state_machine = WatchStateMachine()
    if phase is Phase.STOPPED:
        return state_machine, 1
    first = state_machine.start(STARTED).connect
    if phase is Phase.BACKOFF:
        state_machine.ended(first, RESPONDED)
    elif phase is Phase.CONNECTING:
        state_machine.tick(SECOND_OPENED)
    else:
        state_machine.activity(first, RESPONDED)
    return state_machine, first


def send_event(state_machine, event, number, now):
    if event in (Event.HEAD_RECEIVED, Event.ACTIVITY, Event.ENDED):
        getattr(state_machine, event.name.lower())(number, now)
    elif event in (Event.STOP, Event.LIST_CHANGED):
        getattr(state_machine, event.name.lower())()
    else:
        getattr(state_machine, event.name.lower())(now)


@pytest.mark.parametrize("event", Event, ids=lambda event: event.name)
@pytest.mark.parametrize("phase", Phase, ids=lambda phase: phase.name)
def test_every_event_is_allowed_in_every_phase_and_follows_the_table(phase, event):
    reached = set()
    for now in (RESPONDED, LATE):
        for which in ("open", "gone", "alone"):
            state_machine, number = state_machine_in(phase)
            assert state_machine.phase is phase
            if which == "alone" and phase is Phase.CONNECTING:
                state_machine.ended(number + 1, RESPONDED)  # the one opened in parallel
            send_event(state_machine, event, 99 if which == "gone" else number, now)
            reached.add(state_machine.phase)
            assert (state_machine.next_at() is None) == (state_machine.phase is Phase.STOPPED)
    assert reached == TABLE[phase][event]
