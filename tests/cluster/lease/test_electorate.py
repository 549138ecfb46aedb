"""Selection of voters, decoding of messages, and changes of the list while leases are held."""

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.support.lease_bus import SECOND, TERMS, Bus, R
from yardbank.cluster.lease import LeaseTerms
from yardbank.cluster.lease.messages import LeaseMessage, LeaseRequest, VoterAnnouncement, decode, encode
from yardbank.cluster.lease.model_check.nodes import MemoryStore
from yardbank.cluster.lease.model_check.scenes import SCENARIOS
from yardbank.cluster.lease.quorum import majority, voters_of
from yardbank.cluster.lease.timing import max_lease_duration
from yardbank.cluster.peers.datagram import DroppedError


@settings(max_examples=40, deadline=None, derandomize=True)
@given(
    st.dictionaries(st.text(min_size=1, max_size=4), st.sampled_from(["", "x", "y", "z"]), min_size=1, max_size=20),
    st.integers(1, 6),
    st.text(max_size=8),
)
def test_voters_are_spread_over_zones_and_stable_when_another_gateway_leaves(zones, count, resource):
    found = voters_of(resource, zones, count)
    assert len(set(found)) == len(found) == min(count, len(zones))
    assert voters_of(resource, dict(reversed(list(zones.items()))), count) == found
    most_in_a_zone = max(sum(zones[one] == zone for one in found) for zone in set(zones.values()))
    sizes = [sum(one == zone for one in zones.values()) for zone in set(zones.values())]
    spare = max(1, len(found) - majority(len(found)))
    assert most_in_a_zone <= spare or sum(min(size, most_in_a_zone - 1) for size in sizes) < len(
        found
    )  # as even as possible
    for gone in zones:
        rest = {name: zone for name, zone in zones.items() if name != gone}
        if gone not in found and rest and len(set(zones.values())) == len(set(rest.values())):
            assert set(voters_of(resource, rest, count)) == set(found)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.binary(max_size=60), st.integers(0, 200), st.integers(0, 255))
def test_corrupt_messages_are_dropped_and_unknown_trailing_elements_ignored(data, at, value):
    request = LeaseRequest(R, 1, 2, 3, False, (1 << 64) - 1, (5, 6))
    assert decode(encode(request)) == request
    longer = msgspec.msgpack.encode([*msgspec.msgpack.decode(encode(request)), {"new": 1}])
    assert decode(longer) == request
    part = Bus("abc").parts["a"]
    corrupt = bytearray(encode(request))
    corrupt[at % len(corrupt)] = value
    for body in (data, bytes(corrupt), encode(request)[: at % 40]):
        try:
            part.receive(10**12, "b", 1, body)
        except DroppedError:
            pass
        for message in part.outgoing_messages():
            assert isinstance(decode(message.body), LeaseMessage)


def test_list_change_needs_old_and_new_voters_until_the_old_ones_have_moved():
    old, new = SCENARIOS["lists"].lists
    bus = Bus("abcde", zones=old)
    bus.parts["a"].acquire(bus.now, R)
    bus.run(SECOND)
    assert bus.holders() == ["a"]

    def take_new_list(name):
        bus.parts[name]._membership_view._zones = new
        bus.parts[name].listed(bus.now)

    take_new_list("b")
    take_new_list("c")
    bus.parts["b"].acquire(bus.now, R)
    bus.run(60 * SECOND)  # while the lists differ, the holder keeps the lease and candidates wait
    assert bus.holders() == ["a"] and len(bus.parts["b"].electorate.voter_sets(bus.now, R)) == 2
    for name in "ade":
        take_new_list(name)
    bus.run(4 * max_lease_duration(TERMS))
    assert bus.holders() == ["a"] and all(
        len(part.electorate.voter_sets(bus.now, R)) == 1 for part in bus.parts.values()
    )
    assert all(not part.electorate.older_lists for part in bus.parts.values())
    assert bus.parts["a"].claims.log.events[-1].what == "owned"  # never lost during the change


def test_gateway_without_stored_lists_waits_while_peers_announce_an_unknown_list():
    old, new = SCENARIOS["lists"].lists
    bus = Bus("abcde", zones=old)
    bus.parts["a"].acquire(bus.now, R)
    bus.run(SECOND)
    bus.zones = new
    for name in "bcd":
        bus.start(name)
    bus.parts["b"].acquire(bus.now, R)
    bus.run(30 * SECOND)
    assert bus.holders() in ([], ["a"]) and bus.parts["b"].electorate.may_be_behind(bus.now)
    store = MemoryStore(None)
    bus.start("c", keep=store)
    assert not bus.start("c", keep=store).electorate.without_memory and bus.parts["c"].electorate.older_lists == []


def test_changed_terms_act_as_another_list_and_voter_is_silent_for_the_longer_lease():
    bus, stores = Bus("abc"), {name: MemoryStore(None) for name in "abc"}
    for name in "abc":
        bus.start(name, keep=stores[name])
    bus.run(2 * max_lease_duration(TERMS))
    bus.parts["a"].acquire(bus.now, R)
    bus.run(SECOND)
    bus.terms = LeaseTerms(term=SECOND, overlap=SECOND // 10)
    for name in "bc":
        bus.start(name, keep=stores[name])
        assert bus.parts[name].voter.silent_until == bus.now + max_lease_duration(TERMS)
    bus.parts["b"].acquire(bus.now, R)
    for _ in range(100):
        bus.run(SECOND // 10)
        assert len(bus.holders()) < 2
    assert bus.holders() == ["b"] and bus.parts["b"].electorate.voter_sets(bus.now, R) == [
        (bus.parts["b"].electorate.voters(R), 2)
    ]


def test_undecodable_stored_state_is_treated_as_missing():
    for data in (b"", b"\xc1", b"\x92\x01", msgspec.msgpack.encode([-5, "x"])):
        part = Bus("abc").start("a", keep=MemoryStore(data))
        assert part.begun and part.electorate.without_memory
    assert not isinstance(decode(encode(VoterAnnouncement("", 1, (), 2, True))), LeaseRequest)
