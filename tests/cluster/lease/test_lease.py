"""The life of a lease: acquiring, renewing, transferring and losing it; restarts, stores and epochs."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.support.lease_bus import SECOND, TERMS, Bus, R
from yardbank.cluster.lease.epochs import BOOT_EPOCH_SHIFT
from yardbank.cluster.lease.messages import LeaseRequest, LeaseTaken, encode
from yardbank.cluster.lease.model_check.nodes import MemoryStore
from yardbank.cluster.lease.timing import max_lease_duration, min_overlap_duration, vote_time


def test_lease_is_acquired_renewed_released_and_acquired_by_the_next_candidate():
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
    assert [(event.what, event.why) for event in bus.parts["a"].take_events("channel/")] == [
        ("owned", ""),
        ("ended", "released"),
    ]
    assert bus.parts["a"].take_events("") == []


def test_partitioned_holder_expires_by_its_own_clock_and_is_replaced_within_a_lease_and_a_vote():
    bus = Bus("abcde")
    bus.parts["a"].acquire(bus.now, R)
    bus.run(SECOND)
    bus.parts["b"].acquire(bus.now, R)
    bus.run(5 * SECOND)
    bus.cut.add("a")
    bus.run(TERMS.holding_time() + 1)
    assert bus.parts["a"].epoch(bus.now, R) is None  # expired on query, without a tick before
    bus.run(max_lease_duration(TERMS) - TERMS.holding_time() + TERMS.term // 8 + 2 * vote_time(TERMS))
    assert bus.holders() == ["b"]


def test_transfer_moves_the_lease_and_is_taken_back_if_the_successor_does_not_accept():
    bus = Bus("abcde")
    a, b = bus.parts["a"], bus.parts["b"]
    a.acquire(bus.now, R)
    bus.run(SECOND)
    epoch = a.epoch(bus.now, R)
    assert not a.transfer(bus.now, R, "a") and not a.transfer(bus.now, R, "x") and not b.transfer(bus.now, R, "a")
    assert a.transfer(bus.now, R, "b") and not a.transfer(bus.now, R, "c")
    bus.run(SECOND)
    assert b.offered("permit/") == [] and bus.holders() == ["a"]  # not accepted: stays, under its epoch
    assert a.epoch(bus.now, R) == epoch and [event.what for event in a.take_events("")] == ["owned"]
    assert a.transfer(bus.now, R, "b")
    bus.flush()
    assert b.offered("channel/") == [(R, "a")] and b.offered("") == []
    b.acquire(bus.now, R)
    bus.flush()
    assert bus.holders() == ["b"] and b.epoch(bus.now, R) > epoch
    assert not b.transfer(bus.now, R, "c")  # the previous holder might still hold it
    bus.run(2 * SECOND)
    assert bus.holders() == ["b"] and a.take_events("")[-1].why == "handed on" and R not in a.claims.claims


def test_holder_partitioned_during_a_transfer_ends_within_the_overlap():
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
    bus.now += min_overlap_duration(TERMS)
    assert bus.holders() == ["b"]
    a.tick(bus.now)
    assert a.take_events("")[-1].why == "handed on, unanswered"
    bus.cut.clear()
    a.receive(bus.now, "b", 1, encode(LeaseTaken(R, 1 << 20)))  # after its end: no effect
    a.release(bus.now, R)


def test_holder_stopped_during_a_transfer_and_resumed_two_epochs_later_has_no_effect():
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
        bus.run(max_lease_duration(TERMS) + SECOND)
        assert bus.holders() == [name]
        bus.parts[name].release(bus.now, R) if name == "b" else None
    bus.cut.clear()
    assert a.epoch(bus.now, R) is None and bus.parts["c"].epoch(bus.now, R) >= epoch + 2
    bus.run(3 * max_lease_duration(TERMS))
    assert bus.holders() == ["c"] and len(a.take_events("")) == 2 and len(a.take_log_events()) == 2


def test_lease_is_acquired_by_another_after_both_sides_of_a_transfer_die():
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
    bus.run(max_lease_duration(TERMS) + TERMS.term // 8 + 2 * vote_time(TERMS))
    assert bus.holders() == [third]


@pytest.mark.parametrize("names", ["a", "ab"])
def test_one_or_two_gateways_hold_leases_only_with_a_majority(names):
    bus = Bus(names)
    bus.parts["a"].acquire(bus.now, R)
    bus.run(SECOND)
    assert bus.holders() == ["a"]
    bus.cut.add(names[-1])
    bus.run(2 * max_lease_duration(TERMS))
    assert bus.holders() == []  # a is stopped itself, or has no majority


def test_boot_epoch_raised_after_the_start_raises_the_epochs():
    part = Bus("abc").parts["a"]
    part._membership_view.boot_epoch = 50
    part.tick(10**12)
    assert (
        part.epochs.next_epoch() > 50 << BOOT_EPOCH_SHIFT
        and part.epochs.floor == 50 << BOOT_EPOCH_SHIFT
        and part.boot_epoch < 50
    )


def test_many_resources_of_a_starting_fleet_are_all_held_within_two_leases():
    bus = Bus([f"g{number}" for number in range(20)], fresh=True)
    resources = [f"permit/x/{number}" for number in range(100)]
    for number, resource in enumerate(resources):
        for more in (0, 7):
            bus.parts[f"g{(number + more) % 20}"].acquire(bus.now, resource)
    bus.run(2 * max_lease_duration(TERMS))
    assert all(len(bus.holders(resource)) == 1 for resource in resources)
    requests = sum(isinstance(message, LeaseRequest) for _, _, message in bus.said)
    assert requests < 100 * 2 * 3 * 20


# Restarts, stores and epochs


def test_started_voter_is_silent_for_a_lease_whatever_its_store_contains():
    bus = Bus("abc")
    bus.parts["a"].acquire(bus.now, R)
    bus.run(SECOND)
    store = MemoryStore(None)
    bus.start("b", keep=store)
    bus.start("c", keep=store)
    bus.cut.add("a")
    bus.parts["b"].acquire(bus.now, R)
    bus.run(max_lease_duration(TERMS) - 2)
    assert bus.holders() in ([], ["a"])
    bus.run(SECOND)
    assert bus.holders() == ["b"]


@settings(max_examples=60, deadline=None, derandomize=True)
@given(st.lists(st.tuples(st.sampled_from("abc"), st.sampled_from(["keep", "old", "lost"])), min_size=1, max_size=8))
def test_epochs_rise_whether_stores_are_kept_rolled_back_or_lost(events):
    """Restarts gateways one after another, perhaps all, with a store that is kept, rolled back or lost."""
    bus = Bus("abc")
    stores, old = {name: MemoryStore(None) for name in "abc"}, {}
    last, owner = 0, "a"
    for name, what in events:
        bus.parts[owner].acquire(bus.now, R)
        bus.run(max_lease_duration(TERMS) + SECOND)
        epoch = bus.parts[owner].epoch(bus.now, R)
        assert epoch is not None and epoch > last
        last = epoch
        bus.parts[owner].release(bus.now, R)
        bus.flush()
        old.setdefault(name, stores[name].data)
        if what != "keep":
            stores[name] = MemoryStore(old[name] if what == "old" else None)
        bus.start(name, keep=stores[name])
        owner = name


def test_epochs_rise_after_all_stores_are_lost_if_the_clock_is_correct():
    bus = Bus("abc")
    for name in "abc":
        bus.start(name, boot_epoch=1_800_000_000)
    bus.run(max_lease_duration(TERMS) + 1)
    bus.parts["a"].acquire(bus.now, R)
    bus.run(SECOND)
    before = bus.parts["a"].epoch(bus.now, R)
    for name in "abc":
        bus.start(name, boot_epoch=1_800_000_001)
    bus.parts["c"].acquire(bus.now, R)
    bus.run(2 * max_lease_duration(TERMS))
    assert bus.parts["c"].epoch(bus.now, R) > before >= 1_800_000_000 << BOOT_EPOCH_SHIFT
