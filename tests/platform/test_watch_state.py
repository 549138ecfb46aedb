"""When watches are begun and given up: the table of states, and no time without a watch that may bring something."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from yardbank.gateway.api import MS, SECOND
from yardbank.platform.watch_state import BESIDE, LONGEST_PAUSE, MOST, SILENCE, TABLE, Event, Phase, Vigil

EVENTS = st.sampled_from([event for event in Event if event is not Event.TICK])
STEPS = st.lists(st.tuples(EVENTS, st.integers(0, 5), st.integers(0, 4 * SECOND)), max_size=60)


@given(STEPS)
def test_phases_change_by_the_table_and_nothing_is_waited_for_too_long(steps):
    vigil, now, open_, last_begun = Vigil(), 0, {}, 0

    def carry_out(did, event, before):
        nonlocal last_begun
        assert vigil.phase in TABLE[before][event]
        for number in did.drop:
            del open_[number]
        assert set(did.silent) <= set(did.drop)
        if did.begin is not None:
            assert did.begin not in open_
            open_[did.begin], last_begun = now, now

    carry_out(vigil.begin(now), Event.BEGIN, Phase.STOPPED)
    for event, choice, pause in steps:
        until = now + pause
        while (at := vigil.next_at()) is not None and at <= until:
            now = max(now, at)
            before = vigil.phase
            did = vigil.tick(now)
            assert did.begin is not None or did.drop  # no timer fires for nothing
            carry_out(did, Event.TICK, before)
        now, before = until, vigil.phase
        number = sorted(open_)[choice % len(open_)] if open_ else 0
        if event is Event.ENDED:
            open_.pop(number, None)
            again = vigil.ended(number, now)
            assert again is None or MS < again <= LONGEST_PAUSE
        elif event is Event.NEWS:
            vigil.news()
        elif event is Event.STOP:
            carry_out(vigil.stop(), event, before)
        elif event in (Event.BEGIN, Event.MOVE):
            carry_out(vigil.begin(now) if event is Event.BEGIN else vigil.move(now), event, before)
        elif open_:
            if event is Event.LIVED:
                open_[number] = now
            did = vigil.lived(number, now) if event is Event.LIVED else vigil.answered(number, now)
            carry_out(did, event, before)
        assert vigil.phase in TABLE[before][event]
        assert len(open_) <= MOST
        if vigil.phase is Phase.STOPPED:
            assert not open_ and vigil.next_at() is None
            assert vigil.move(now) is vigil.tick(now) and vigil.phase is Phase.STOPPED and vigil.next_at() is None
            carry_out(vigil.begin(now), Event.BEGIN, Phase.STOPPED)
        assert vigil.next_at() <= now + SILENCE
        if vigil.phase is Phase.PAUSING:
            assert not open_ and vigil.next_at() <= now + LONGEST_PAUSE
        elif vigil.phase is Phase.ASKING:
            assert open_ and vigil.next_at() <= last_begun + BESIDE
        else:
            assert len(open_) == 1


def test_what_a_watch_that_is_gone_says_changes_nothing():
    vigil = Vigil()
    first = vigil.begin(0).begin
    second = vigil.begin(SECOND).begin
    assert vigil.lived(first, SECOND).drop == () and vigil.phase is Phase.ASKING
    assert vigil.ended(first, SECOND) is None and vigil.ended(second, SECOND) is not None
    assert vigil.phase is Phase.PAUSING and vigil.lived(second, SECOND).drop == () and vigil.phase is Phase.PAUSING


PAUSED, BEGUN, HEARD, LATE = SECOND, SECOND + BESIDE, SECOND + 2 * BESIDE, 9 * SECOND


def led_to(phase):
    """A vigil in that phase at ``HEARD``, and a number that is open there (or was)."""
    vigil = Vigil()
    if phase is Phase.STOPPED:
        return vigil, 1
    first = vigil.begin(PAUSED).begin
    if phase is Phase.PAUSING:
        vigil.ended(first, HEARD)
    elif phase is Phase.ASKING:
        vigil.tick(BEGUN)
    else:
        vigil.lived(first, HEARD)
    return vigil, first


def one_event(vigil, event, number, now):
    if event in (Event.ANSWERED, Event.LIVED, Event.ENDED):
        getattr(vigil, event.name.lower())(number, now)
    elif event in (Event.STOP, Event.NEWS):
        getattr(vigil, event.name.lower())()
    else:
        getattr(vigil, event.name.lower())(now)


@pytest.mark.parametrize("event", Event, ids=lambda event: event.name)
@pytest.mark.parametrize("phase", Phase, ids=lambda phase: phase.name)
def test_every_event_is_legal_in_every_phase_and_leads_where_the_table_says(phase, event):
    reached = set()
    for now in (HEARD, LATE):
        for which in ("open", "gone", "alone"):
            vigil, number = led_to(phase)
            assert vigil.phase is phase
            if which == "alone" and phase is Phase.ASKING:
                vigil.ended(number + 1, HEARD)  # the one begun beside it
            one_event(vigil, event, 99 if which == "gone" else number, now)
            reached.add(vigil.phase)
            assert (vigil.next_at() is None) == (vigil.phase is Phase.STOPPED)
    assert reached == TABLE[phase][event]
