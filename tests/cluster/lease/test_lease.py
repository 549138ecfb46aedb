"""One grant, one holder: wanted, renewed, handed on, lost; starts, stores and epochs."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.support.lease_bus import SECOND, TERMS, Bus, R
from yardbank.cluster.lease.epochs import SHIFT
from yardbank.cluster.lease.messages import LeaseRequest, LeaseTaken, encode
from yardbank.cluster.lease.model_check.nodes import Kept
from yardbank.cluster.lease.timing import long_lease, short_overlap, vote_time


def test_wanted_held_renewed_released_and_taken_by_the_next():
    bus = Bus("abcde")
    bus.parts["a"].acquire(bus.now, R)
    bus.run(SECOND)
    bus.parts["b"].acquire(bus.now, R)
    first = bus.parts["a"].epoch(bus.now, R)
    bus.run(20 * SECOND)
    assert bus.holders() == ["a"] and bus.parts["a"].epoch(bus.now, R) == first
    assert bus.parts["b"].holder(R) == ("a", first)
    bus.parts["a"].release(bus.now, R)
    assert bus.holders() == []
    bus.run(4 * SECOND)
    assert bus.holders() == ["b"] and bus.parts["b"].epoch(bus.now, R) > first
    assert [(turn.what, turn.why) for turn in bus.parts["a"].take_events("channel/")] == [
        ("owned", ""),
        ("ended", "released"),
    ]
    assert bus.parts["a"].take_events("") == []


def test_a_holder_that_is_cut_off_ends_by_its_own_clock_and_another_follows_within_a_lease_and_a_vote():
    bus = Bus("abcde")
    bus.parts["a"].acquire(bus.now, R)
    bus.run(SECOND)
    bus.parts["b"].acquire(bus.now, R)
    bus.run(5 * SECOND)
    bus.cut.add("a")
    bus.run(TERMS.holding_time() + 1)
    assert bus.parts["a"].epoch(bus.now, R) is None  # asked, without a tick in between
    bus.run(long_lease(TERMS) - TERMS.holding_time() + TERMS.term // 8 + 2 * vote_time(TERMS))
    assert bus.holders() == ["b"]


def test_handing_on_overlaps_within_its_bound_and_comes_back_where_nobody_takes_it():
    bus = Bus("abcde")
    a, b = bus.parts["a"], bus.parts["b"]
    a.acquire(bus.now, R)
    bus.run(SECOND)
    epoch = a.epoch(bus.now, R)
    assert not a.transfer(bus.now, R, "a") and not a.transfer(bus.now, R, "x") and not b.transfer(bus.now, R, "a")
    assert a.transfer(bus.now, R, "b") and not a.transfer(bus.now, R, "c")
    bus.run(SECOND)
    assert b.offered("permit/") == [] and bus.holders() == ["a"]  # not taken up: stays, under its epoch
    assert a.epoch(bus.now, R) == epoch and [turn.what for turn in a.take_events("")] == ["owned"]
    assert a.transfer(bus.now, R, "b")
    bus.flush()
    assert b.offered("channel/") == [(R, "a")] and b.offered("") == []
    b.acquire(bus.now, R)
    bus.flush()
    assert bus.holders() == ["b"] and b.epoch(bus.now, R) > epoch
    assert not b.transfer(bus.now, R, "c")  # the one before might hold it still
    bus.run(2 * SECOND)
    assert bus.holders() == ["b"] and a.take_events("")[-1].why == "handed on" and R not in a.claims.claims


def test_who_is_cut_off_in_mid_handing_on_ends_by_the_overlap():
    bus = Bus("abcde")
    a = bus.parts["a"]
    a.acquire(bus.now, R)
    bus.run(SECOND)
    assert a.transfer(bus.now, R, "b")
    bus.flush()
    bus.cut.add("a")
    bus.parts["b"].acquire(bus.now, R)
    bus.flush()
    assert bus.holders() == ["a", "b"]
    bus.now += short_overlap(TERMS)
    assert bus.holders() == ["b"]
    a.tick(bus.now)
    assert a.take_events("")[-1].why == "handed on, unanswered"
    bus.cut.clear()
    a.receive(bus.now, "b", 1, encode(LeaseTaken(R, 1 << 20)))  # after its end: no harm
    a.release(bus.now, R)


def test_stopped_in_mid_handing_on_and_woken_after_two_epochs_it_does_and_harms_nothing():
    bus = Bus("abcde")
    a = bus.parts["a"]
    a.acquire(bus.now, R)
    bus.run(SECOND)
    epoch = a.epoch(bus.now, R)
    assert a.transfer(bus.now, R, "b")
    bus.flush()
    bus.cut.add("a")
    for name in "bc":
        bus.parts[name].acquire(bus.now, R)
        bus.run(long_lease(TERMS) + SECOND)
        assert bus.holders() == [name]
        bus.parts[name].release(bus.now, R) if name == "b" else None
    bus.cut.clear()
    assert a.epoch(bus.now, R) is None and bus.parts["c"].epoch(bus.now, R) >= epoch + 2
    bus.run(3 * long_lease(TERMS))
    assert bus.holders() == ["c"] and len(a.take_events("")) == 2 and len(a.take_log_events()) == 2


def test_both_dying_in_mid_handing_on_leave_it_to_others_after_a_lease_and_a_vote():
    bus = Bus("abcdefgh")
    voters = bus.parts["a"].electorate.voters(R)
    old, new, third = [name for name in "abcdefgh" if name not in voters][:3]
    bus.parts[old].acquire(bus.now, R)
    bus.run(SECOND)
    bus.parts[third].acquire(bus.now, R)
    assert bus.parts[old].transfer(bus.now, R, new)
    bus.flush()
    bus.parts[new].acquire(bus.now, R)
    bus.flush()
    bus.cut |= {old, new}
    bus.run(long_lease(TERMS) + TERMS.term // 8 + 2 * vote_time(TERMS))
    assert bus.holders() == [third]


@pytest.mark.parametrize("names", ["a", "ab"])
def test_a_list_of_one_or_two_works_as_far_as_it_can(names):
    bus = Bus(names)
    bus.parts["a"].acquire(bus.now, R)
    bus.run(SECOND)
    assert bus.holders() == ["a"]
    bus.cut.add(names[-1])
    bus.run(2 * long_lease(TERMS))
    assert bus.holders() == []  # a stands still itself, or has no majority


def test_a_life_that_is_raised_after_the_start_raises_the_epochs():
    part = Bus("abc").parts["a"]
    part._membership_view.boot_epoch = 50
    part.tick(10**12)
    assert part.epochs.next_epoch() > 50 << SHIFT and part.epochs.floor == 50 << SHIFT and part.boot_epoch < 50


def test_a_thousand_wants_in_a_fleet_that_starts_are_all_held_within_two_leases():
    bus = Bus([f"g{number}" for number in range(20)], fresh=True)
    resources = [f"permit/x/{number}" for number in range(100)]
    for number, resource in enumerate(resources):
        for more in (0, 7):
            bus.parts[f"g{(number + more) % 20}"].acquire(bus.now, resource)
    bus.run(2 * long_lease(TERMS))
    assert all(len(bus.holders(resource)) == 1 for resource in resources)
    asks = sum(isinstance(word, LeaseRequest) for _, _, word in bus.said)
    assert asks < 100 * 2 * 3 * 20


# Starts, stores, epochs


def test_a_voter_that_started_is_silent_for_a_lease_whatever_its_store_says():
    bus = Bus("abc")
    bus.parts["a"].acquire(bus.now, R)
    bus.run(SECOND)
    keep = Kept(None)
    bus.start("b", keep=keep)
    bus.start("c", keep=keep)
    bus.cut.add("a")
    bus.parts["b"].acquire(bus.now, R)
    bus.run(long_lease(TERMS) - 2)
    assert bus.holders() in ([], ["a"])
    bus.run(SECOND)
    assert bus.holders() == ["b"]


@settings(max_examples=60, deadline=None, derandomize=True)
@given(st.lists(st.tuples(st.sampled_from("abc"), st.sampled_from(["keep", "old", "lost"])), min_size=1, max_size=8))
def test_epochs_rise_whatever_becomes_of_the_stores(events):
    """Stores kept, rolled back to their first copy, or lost; also all of them, one after another."""
    bus = Bus("abc")
    keeps, old = {name: Kept(None) for name in "abc"}, {}
    last, owner = 0, "a"
    for name, what in events:
        bus.parts[owner].acquire(bus.now, R)
        bus.run(long_lease(TERMS) + SECOND)
        epoch = bus.parts[owner].epoch(bus.now, R)
        assert epoch is not None and epoch > last
        last = epoch
        bus.parts[owner].release(bus.now, R)
        bus.flush()
        old.setdefault(name, keeps[name].data)
        if what != "keep":
            keeps[name] = Kept(old[name] if what == "old" else None)
        bus.start(name, keep=keeps[name])
        owner = name


def test_epochs_go_on_above_all_when_every_store_is_lost_and_the_clock_is_right():
    bus = Bus("abc")
    for name in "abc":
        bus.start(name, boot_epoch=1_800_000_000)
    bus.run(long_lease(TERMS) + 1)
    bus.parts["a"].acquire(bus.now, R)
    bus.run(SECOND)
    before = bus.parts["a"].epoch(bus.now, R)
    for name in "abc":
        bus.start(name, boot_epoch=1_800_000_001)
    bus.parts["c"].acquire(bus.now, R)
    bus.run(2 * long_lease(TERMS))
    assert bus.parts["c"].epoch(bus.now, R) > before >= 1_800_000_000 << SHIFT
