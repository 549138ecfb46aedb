"""Who votes, what crosses, and lists that change under leases."""

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.support.lease_bus import SECOND, TERMS, Bus, R
from yardbank.cluster.lease import LeaseTerms
from yardbank.cluster.lease.messages import LeaseMessage, LeaseRequest, VoterAnnouncement, decode, encode
from yardbank.cluster.lease.model_check.nodes import Kept
from yardbank.cluster.lease.model_check.scenes import SCENES
from yardbank.cluster.lease.quorum import majority, voters_of
from yardbank.cluster.lease.timing import long_lease
from yardbank.cluster.peers.datagram import DroppedError


@settings(max_examples=40, deadline=None, derandomize=True)
@given(
    st.dictionaries(st.text(min_size=1, max_size=4), st.sampled_from(["", "x", "y", "z"]), min_size=1, max_size=20),
    st.integers(1, 6),
    st.text(max_size=8),
)
def test_voters_are_few_spread_and_nearly_the_same_when_one_goes(zones, count, resource):
    found = voters_of(resource, zones, count)
    assert len(set(found)) == len(found) == min(count, len(zones))
    assert voters_of(resource, dict(reversed(list(zones.items()))), count) == found
    worst = max(sum(zones[one] == zone for one in found) for zone in set(zones.values()))
    sizes = [sum(one == zone for one in zones.values()) for zone in set(zones.values())]
    spare = max(1, len(found) - majority(len(found)))
    assert worst <= spare or sum(min(size, worst - 1) for size in sizes) < len(found)  # no better spread there is
    for gone in zones:
        rest = {name: zone for name, zone in zones.items() if name != gone}
        if gone not in found and rest and len(set(zones.values())) == len(set(rest.values())):
            assert set(voters_of(resource, rest, count)) == set(found)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.binary(max_size=60), st.integers(0, 200), st.integers(0, 255))
def test_letters_are_taken_whole_or_dropped_and_newer_ones_are_read(data, at, value):
    sound = LeaseRequest(R, 1, 2, 3, False, (1 << 64) - 1, (5, 6))
    assert decode(encode(sound)) == sound
    longer = msgspec.msgpack.encode([*msgspec.msgpack.decode(encode(sound)), {"new": 1}])
    assert decode(longer) == sound
    part = Bus("abc").parts["a"]
    spoilt = bytearray(encode(sound))
    spoilt[at % len(spoilt)] = value
    for body in (data, bytes(spoilt), encode(sound)[: at % 40]):
        try:
            part.receive(10**12, "b", 1, body)
        except DroppedError:
            pass
        for letter in part.outgoing_messages():
            assert isinstance(decode(letter.body), LeaseMessage)


def test_a_list_that_changes_asks_old_and_new_voters_until_the_old_ones_have_left():
    old, new = SCENES["lists"].lists
    bus = Bus("abcde", zones=old)
    bus.parts["a"].acquire(bus.now, R)
    bus.run(SECOND)
    assert bus.holders() == ["a"]

    def takes(name):
        bus.parts[name]._membership_view._zones = new
        bus.parts[name].listed(bus.now)

    takes("b")
    takes("c")
    bus.parts["b"].acquire(bus.now, R)
    bus.run(60 * SECOND)  # as long as the lists differ: the old ones go on, the new ones wait
    assert bus.holders() == ["a"] and len(bus.parts["b"].electorate.sets(bus.now, R)) == 2
    for name in "ade":
        takes(name)
    bus.run(4 * long_lease(TERMS))
    assert bus.holders() == ["a"] and all(len(part.electorate.sets(bus.now, R)) == 1 for part in bus.parts.values())
    assert all(not part.electorate.older_lists for part in bus.parts.values())
    assert bus.parts["a"].claims.log.events[-1].what == "owned"  # never lost on the way


def test_one_that_started_without_memory_waits_while_it_hears_of_a_list_that_it_does_not_know():
    old, new = SCENES["lists"].lists
    bus = Bus("abcde", zones=old)
    bus.parts["a"].acquire(bus.now, R)
    bus.run(SECOND)
    bus.zones = new
    for name in "bcd":
        bus.start(name)
    bus.parts["b"].acquire(bus.now, R)
    bus.run(30 * SECOND)
    assert bus.holders() in ([], ["a"]) and bus.parts["b"].electorate.may_be_behind(bus.now)
    keep = Kept(None)
    bus.start("c", keep=keep)
    assert not bus.start("c", keep=keep).electorate.without_memory and bus.parts["c"].electorate.older_lists == []


def test_other_terms_are_as_another_list_and_a_start_with_shorter_ones_is_silent_for_the_longer():
    bus, keeps = Bus("abc"), {name: Kept(None) for name in "abc"}
    for name in "abc":
        bus.start(name, keep=keeps[name])
    bus.run(2 * long_lease(TERMS))
    bus.parts["a"].acquire(bus.now, R)
    bus.run(SECOND)
    bus.terms = LeaseTerms(term=SECOND, overlap=SECOND // 10)
    for name in "bc":
        bus.start(name, keep=keeps[name])
        assert bus.parts[name].voter.silent_until == bus.now + long_lease(TERMS)
    bus.parts["b"].acquire(bus.now, R)
    for _ in range(100):
        bus.run(SECOND // 10)
        assert len(bus.holders()) < 2
    assert bus.holders() == ["b"] and bus.parts["b"].electorate.sets(bus.now, R) == [
        (bus.parts["b"].electorate.voters(R), 2)
    ]


def test_what_is_kept_and_cannot_be_read_is_as_if_there_were_nothing():
    for data in (b"", b"\xc1", b"\x92\x01", msgspec.msgpack.encode([-5, "x"])):
        part = Bus("abc").start("a", keep=Kept(data))
        assert part.begun and part.electorate.without_memory
    assert not isinstance(decode(encode(VoterAnnouncement("", 1, (), 2, True))), LeaseRequest)
