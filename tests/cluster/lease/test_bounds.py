"""Effects of a faulty gateway on leases, and bounds of the lease tables."""

import pytest

from tests.support.lease_bus import SECOND, TERMS, Bus, R
from yardbank.cluster.lease import LeaseTerms
from yardbank.cluster.lease.epochs import MAX_EPOCH_LEAD, Epochs
from yardbank.cluster.lease.messages import LeaseRequest, TransferOffer, Verdict, VoteReply, decode, encode
from yardbank.cluster.lease.voter import MAX_RESOURCES, Decision


def test_implausible_epochs_are_rejected_and_do_not_block_later_leases():
    epochs = Epochs()
    epochs.begin(0, 1_800_000_000, 0)
    assert not epochs.hear(0, epochs.highest_epoch + 2 * MAX_EPOCH_LEAD) and epochs.refused == 1
    assert epochs.hear(0, epochs.highest_epoch + MAX_EPOCH_LEAD)
    assert epochs.hear(SECOND, epochs.next_epoch())  # the limit rises with time
    bus = Bus("abc")
    bus.parts["a"].receive(bus.now, "b", 1, encode(VoteReply(R, 1, 1, Verdict.GRANTED, (1 << 63) - 1, 0)))
    bus.parts["a"].acquire(bus.now, R)
    bus.run(SECOND)
    assert bus.holders() == ["a"] and bus.parts["a"].view(bus.now)["counts"]["epochs_too_far"] == 1


@pytest.mark.parametrize(("voters", "expected"), [(3, 2), (4, 1)])
def test_one_voter_that_grants_everything_breaks_exclusivity_with_three_voters_but_not_four(voters, expected):
    """Any two majorities of four voters share two voters, of three only one.

    A fleet that must tolerate one faulty voter therefore needs an even number of voters.
    """
    most_holders = 0
    for seed in range(40):
        bus = Bus("abcdef", LeaseTerms(voters=voters), seed=seed)
        faulty = bus.parts[bus.random.choice(bus.parts["a"].electorate.voters(R))]
        faulty.voter = AlwaysGrants(faulty.voter)
        for _ in range(40):
            bus.cut = {name for name in bus.parts if bus.random.random() < 0.3 and bus.parts[name] is not faulty}
            name = bus.random.choice("abcdef")
            if bus.parts[name] is not faulty:
                bus.parts[name].acquire(bus.now, R)
            bus.run(bus.random.randrange(SECOND))
            most_holders = max(most_holders, sum(bus.parts[name] is not faulty for name in bus.holders()))
    assert most_holders == expected


class AlwaysGrants:
    def __init__(self, voter):
        self.voter = voter

    def decide(self, now, sender, request):
        return Decision(Verdict.GRANTED)

    def __getattr__(self, name):
        return getattr(self.voter, name)


def test_tables_are_bounded_and_count_what_they_reject():
    bus = Bus("abc")
    voter = bus.parts["a"]
    for number in range(MAX_RESOURCES + 5):
        voter.receive(
            bus.now, "b", 1, encode(LeaseRequest(f"r{number}", 1, number + 1, 1 << 20, False, voter.electorate.hash))
        )
    assert len(voter.voter.entries) == MAX_RESOURCES and voter.view(bus.now)["counts"]["full"] == 5
    assert decode(voter.outgoing_messages()[-1].body).verdict == Verdict.FULL
    bus.now += TERMS.term
    voter.receive(bus.now, "b", 1, encode(LeaseRequest("more", 1, 9999, 1 << 20, False, voter.electorate.hash)))
    assert len(voter.voter.entries) == 1 and voter.epochs.floor == 1 << 20  # the floor keeps their epochs
    for number in range(2000):
        voter.acquire(bus.now, f"r{number}")
        voter.receive(bus.now, "b", 1, encode(TransferOffer(f"o{number}", 1)))
    assert len(voter.claims.claims) == 1024 and len(voter.claims.offers.offers) == 256
    assert voter.take_events("")[-1].why == "too many are wanted"
