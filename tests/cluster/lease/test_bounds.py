"""What one that lies can do to leases, and what their tables hold."""

import pytest

from tests.support.lease_bus import SECOND, TERMS, Bus, R
from yardbank.cluster.lease import LeaseTerms
from yardbank.cluster.lease.epochs import FAR, Epochs
from yardbank.cluster.lease.messages import LeaseRequest, TransferOffer, Verdict, VoteReply, decode, encode
from yardbank.cluster.lease.voter import MAX_RESOURCES, Decision


def test_a_liar_cannot_use_up_the_epochs_and_its_harm_goes_on_no_longer_than_itself():
    epochs = Epochs()
    epochs.begin(0, 1_800_000_000, 0)
    assert not epochs.hear(0, epochs.highest_epoch + 2 * FAR) and epochs.refused == 1
    assert epochs.hear(0, epochs.highest_epoch + FAR)
    assert epochs.hear(SECOND, epochs.next_epoch())  # a second later there is room again
    bus = Bus("abc")
    bus.parts["a"].receive(bus.now, "b", 1, encode(VoteReply(R, 1, 1, Verdict.GRANTED, (1 << 63) - 1, 0)))
    bus.parts["a"].acquire(bus.now, R)
    bus.run(SECOND)
    assert bus.holders() == ["a"] and bus.parts["a"].view(bus.now)["counts"]["epochs_too_far"] == 1


@pytest.mark.parametrize(("voters", "most"), [(3, 2), (4, 1)])
def test_one_voter_that_grants_all_makes_two_holders_of_three_but_not_of_four(voters, most):
    """Any two majorities of four share two voters, of three only one: who needs to bear a liar sets an even number."""
    worst = 0
    for seed in range(40):
        bus = Bus("abcdef", LeaseTerms(voters=voters), seed=seed)
        liar = bus.parts[bus.random.choice(bus.parts["a"].electorate.voters(R))]
        liar.voter = Yes(liar.voter)
        for _ in range(40):
            bus.cut = {name for name in bus.parts if bus.random.random() < 0.3 and bus.parts[name] is not liar}
            name = bus.random.choice("abcdef")
            if bus.parts[name] is not liar:
                bus.parts[name].acquire(bus.now, R)
            bus.run(bus.random.randrange(SECOND))
            worst = max(worst, sum(bus.parts[name] is not liar for name in bus.holders()))
    assert worst == most


class Yes:
    def __init__(self, voter):
        self.voter = voter

    def ask(self, now, sender, ask):
        return Decision(Verdict.GRANTED)

    def __getattr__(self, name):
        return getattr(self.voter, name)


def test_tables_have_bounds_that_are_counted():
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
    assert len(voter.voter.entries) == 1 and voter.epochs.floor == 1 << 20  # made room; no epoch is forgotten by that
    for number in range(2000):
        voter.acquire(bus.now, f"r{number}")
        voter.receive(bus.now, "b", 1, encode(TransferOffer(f"o{number}", 1)))
    assert len(voter.claims.claims) == 1024 and len(voter.claims.offers.offers) == 256
    assert voter.take_events("")[-1].why == "too many are wanted"
