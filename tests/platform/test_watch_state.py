"""When watches are begun and given up: the table of states, and no time without a watch that may bring something."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from yardbank.gateway.api import MS, SECOND
from yardbank.platform.watch_state import BESIDE, LONGEST_PAUSE, MOST, SILENCE, TABLE, Event, Phase, WatchStateMachine

EVENTS = st.sampled_from([event for event in Event if event is not Event.TICK])
STEPS = st.lists(st.tuples(EVENTS, st.integers(0, 5), st.integers(0, 4 * SECOND)), max_size=60)


@given(STEPS)
def test_phases_change_by_the_table_and_nothing_is_waited_for_too_long(steps):
    state_machine, now, open_, last_begun = WatchStateMachine(), 0, {}, 0

    def carry_out(did, event, before):
        nonlocal last_begun
        assert state_machine.phase in TABLE[before][event]
        for number in did.drop:
            del open_[number]
        assert set(did.silent) <= set(did.drop)
        if did.begin is not None:
            assert did.begin not in open_
            open_[did.begin], last_begun = now, now

    carry_out(state_machine.begin(now), Event.BEGIN, Phase.STOPPED)
    for event, choice, pause in steps:
        until = now + pause
        while (at := state_machine.next_at()) is not None and at <= until:
            now = max(now, at)
            before = state_machine.phase
            did = state_machine.tick(now)
            assert did.begin is not None or did.drop  # no timer fires for nothing
            carry_out(did, Event.TICK, before)
        now, before = until, state_machine.phase
        number = sorted(open_)[choice % len(open_)] if open_ else 0
        if event is Event.ENDED:
            open_.pop(number, None)
            again = state_machine.ended(number, now)
            assert again is None or MS < again <= LONGEST_PAUSE
        elif event is Event.NEWS:
            state_machine.news()
        elif event is Event.STOP:
            carry_out(state_machine.stop(), event, before)
        elif event in (Event.BEGIN, Event.MOVE):
            carry_out(state_machine.begin(now) if event is Event.BEGIN else state_machine.move(now), event, before)
        elif open_:
            if event is Event.LIVED:
                open_[number] = now
            did = state_machine.lived(number, now) if event is Event.LIVED else state_machine.answered(number, now)
            carry_out(did, event, before)
        assert state_machine.phase in TABLE[before][event]
        assert len(open_) <= MOST
        if state_machine.phase is Phase.STOPPED:
            assert not open_ and state_machine.next_at() is None
            assert (
                state_machine.move(now) is state_machine.tick(now)
                and state_machine.phase is Phase.STOPPED
                and state_machine.next_at() is None
            )
            carry_out(state_machine.begin(now), Event.BEGIN, Phase.STOPPED)
        assert state_machine.next_at() <= now + SILENCE
        if state_machine.phase is Phase.PAUSING:
            assert not open_ and state_machine.next_at() <= now + LONGEST_PAUSE
        elif state_machine.phase is Phase.ASKING:
            assert open_ and state_machine.next_at() <= last_begun + BESIDE
        else:
            assert len(open_) == 1


def test_what_a_watch_that_is_gone_says_changes_nothing():
    state_machine = WatchStateMachine()
    first = state_machine.begin(0).begin
    second = state_machine.begin(SECOND).begin
    assert state_machine.lived(first, SECOND).drop == () and state_machine.phase is Phase.ASKING
    assert state_machine.ended(first, SECOND) is None and state_machine.ended(second, SECOND) is not None
    assert (
        state_machine.phase is Phase.PAUSING
        and state_machine.lived(second, SECOND).drop == ()
        and state_machine.phase is Phase.PAUSING
    )


PAUSED, BEGUN, HEARD, LATE = SECOND, SECOND + BESIDE, SECOND + 2 * BESIDE, 9 * SECOND


def led_to(phase):
    """A vigil in that phase at ``HEARD``, and a number that is open there (or was)."""
    state_machine = WatchStateMachine()
    if phase is Phase.STOPPED:
        return state_machine, 1
    first = state_machine.begin(PAUSED).begin
    if phase is Phase.PAUSING:
        state_machine.ended(first, HEARD)
    elif phase is Phase.ASKING:
        state_machine.tick(BEGUN)
    else:
        state_machine.lived(first, HEARD)
    return state_machine, first


def one_event(state_machine, event, number, now):
    if event in (Event.ANSWERED, Event.LIVED, Event.ENDED):
        getattr(state_machine, event.name.lower())(number, now)
    elif event in (Event.STOP, Event.NEWS):
        getattr(state_machine, event.name.lower())()
    else:
        getattr(state_machine, event.name.lower())(now)


@pytest.mark.parametrize("event", Event, ids=lambda event: event.name)
@pytest.mark.parametrize("phase", Phase, ids=lambda phase: phase.name)
def test_every_event_is_legal_in_every_phase_and_leads_where_the_table_says(phase, event):
    reached = set()
    for now in (HEARD, LATE):
        for which in ("open", "gone", "alone"):
            state_machine, number = led_to(phase)
            assert state_machine.phase is phase
            if which == "alone" and phase is Phase.ASKING:
                state_machine.ended(number + 1, HEARD)  # the one begun beside it
            one_event(state_machine, event, 99 if which == "gone" else number, now)
            reached.add(state_machine.phase)
            assert (state_machine.next_at() is None) == (state_machine.phase is Phase.STOPPED)
    assert reached == TABLE[phase][event]
