"""The votes that one gateway starts as a candidate. No I/O: time (ns, its own clock) and randomness are arguments.

Of a ``Claim`` it writes ``vote_deadline``, ``round_started_at``, ``raised_epochs``, ``failed_votes``, ``contested``,
``first_voter``, ``requests``, and the states ``WAITING`` and ``REQUESTING``. Sends requests for new leases and for
renewals, and releases the voters once a lease or a vote has ended. A vote takes at most ``vote_time`` and raises its
epoch at most ``MAX_RAISED_EPOCHS`` times.
"""

from __future__ import annotations

from collections.abc import Collection
from random import Random

from yardbank.cluster.lease.api import LeaseTerms
from yardbank.cluster.lease.claim import Claim, ClaimState
from yardbank.cluster.lease.electorate import Electorate
from yardbank.cluster.lease.epochs import Epochs
from yardbank.cluster.lease.messages import LeaseRequest, Release
from yardbank.cluster.lease.outbox import Outbox
from yardbank.cluster.lease.timing import vote_time
from yardbank.cluster.lease.transfer_offers import TransferOffers

MAX_RAISED_EPOCHS = 3  # higher epochs tried in one vote
MAX_BACKOFF_DOUBLINGS = 4


class Proposer:
    """Requests votes, gives up lost votes, and backs off before the next one."""

    __slots__ = (
        "_boot_epoch",
        "_electorate",
        "_epochs",
        "_name",
        "_offers",
        "_outbox",
        "_random",
        "_terms",
        "vote_time",
    )

    def __init__(
        self,
        name: str,
        boot_epoch: int,
        terms: LeaseTerms,
        random: Random,
        electorate: Electorate,
        epochs: Epochs,
        outbox: Outbox,
        offers: TransferOffers,
    ) -> None:
        self._name = name
        self._boot_epoch = boot_epoch
        self._terms = terms
        self._random = random
        self._electorate = electorate
        self._epochs = epochs
        self._outbox = outbox
        self._offers = offers
        self.vote_time = vote_time(terms)  # ns

    def start_vote(self, now: int, claim: Claim) -> None:
        """Start a vote after the backoff of a claim, unless this gateway may not know the list in force."""
        if self._electorate.may_be_behind(now) or not self._electorate.hash:
            claim.due_at = now + max(1, self._terms.term // 8)
            return
        claim.raised_epochs = 0
        claim.first_voter = ""
        if claim.contested and not self._offers.is_open(now, claim.resource):
            claim.first_voter = self._choose_first_voter(claim.resource)
        self.propose(now, claim)

    def _choose_first_voter(self, resource: str) -> str:
        voters = self._electorate.voters(resource)
        if self._name in voters:
            return self._name
        return voters[self.random_delay(len(voters))]

    def propose(self, now: int, claim: Claim) -> None:
        """Request votes under an epoch above all that are known."""
        claim.forget_replies()
        claim.state = ClaimState.REQUESTING
        claim.epoch = self._epochs.next_epoch()
        claim.until = 0
        claim.round_started_at = now
        claim.vote_deadline = now + self.vote_time
        self.request_votes(now, claim)

    def continue_vote(self, now: int, claim: Claim) -> None:
        """Repeat the requests that were not answered, or give up after the deadline."""
        if now >= claim.vote_deadline:
            claim.first_voter = ""
            self.fail_vote(now, claim)
            return
        self.ask_all(now, claim)

    def ask_all(self, now: int, claim: Claim) -> None:
        """Ask all voters rather than ``first_voter`` alone."""
        claim.first_voter = ""
        self.request_votes(now, claim)

    def request_votes(self, now: int, claim: Claim) -> None:
        """Send requests, for a new lease or a renewal, to the voters that have not granted in this round yet."""
        number = self._outbox.next_number()
        claim.record_request(now, number)
        round_end = claim.round_started_at + self._terms.holding_time()
        is_candidate = claim.state == ClaimState.REQUESTING
        is_offered = self._offers.is_open(now, claim.resource)
        urgent = not is_candidate or is_offered
        request = LeaseRequest(
            claim.resource,
            self._boot_epoch,
            number,
            claim.epoch,
            not is_candidate,
            self._electorate.hash,
            self._electorate.known_lists(),
        )
        voters = [claim.first_voter] if claim.first_voter else self._voters(now, claim)
        for voter in voters:
            if claim.grants.get(voter, 0) < round_end and (urgent or voter not in claim.refusals):
                self._outbox.send(voter, request, urgent)
        interval = self.vote_time // 3
        if claim.state == ClaimState.TRANSFERRING or is_offered:
            interval = self._terms.overlap // 8
        claim.due_at = now + max(1, interval)
        if is_candidate:
            claim.due_at = min(claim.due_at, claim.vote_deadline)

    def raise_epoch(self, now: int, claim: Claim) -> bool:
        """Retry under a new epoch after a voter found the last one used; False: too many retries in this vote."""
        if claim.raised_epochs >= MAX_RAISED_EPOCHS:
            return False
        claim.raised_epochs += 1
        self.propose(now, claim)
        return True

    def record_refusal(self, now: int, claim: Claim, is_taken: bool) -> None:
        """A voter refused; ``is_taken``: it is bound to another gateway."""
        if self._offers.is_open(now, claim.resource):
            return
        is_lost = claim.is_vote_lost(self._electorate.voter_sets(now, claim.resource))
        if is_lost or (claim.first_voter and is_taken):
            self.fail_vote(now, claim)
        elif claim.first_voter:
            self.ask_all(now, claim)

    def fail_vote(self, now: int, claim: Claim) -> None:
        """Give up a lost vote: release the voters that granted it, and back off."""
        unbound = {*self._voters(now, claim)} if claim.first_voter else {*claim.refusals}
        self.release_voters(now, claim, unbound)
        if claim.first_voter:
            free_at = claim.refusals.get(claim.first_voter, now)
        else:
            free_at = claim.free_at(now, self._electorate.voter_sets(now, claim.resource))
        if self._offers.is_open(now, claim.resource):
            claim.due_at = now + max(1, self._terms.overlap // 8)
        elif free_at > now:
            claim.contested = True
            claim.failed_votes = 0
            claim.due_at = free_at + self.random_delay(self._terms.term // 8)
        else:
            backoff = self.vote_time << min(claim.failed_votes, MAX_BACKOFF_DOUBLINGS)
            claim.due_at = now + self.random_delay(min(self._terms.term, backoff))
            claim.failed_votes += 1
        claim.state = ClaimState.WAITING
        claim.first_voter = ""
        claim.forget_replies()

    def release_voters(self, now: int, claim: Claim, unbound: Collection[str] = ()) -> None:
        """Tell all voters that this epoch has ended, except those known not to be bound by it (``unbound``)."""
        if claim.state == ClaimState.WAITING:
            return
        message = Release(claim.resource, self._boot_epoch, self._outbox.next_number(), claim.epoch)
        urgent = claim.state != ClaimState.REQUESTING
        for voter in sorted({*self._voters(now, claim), *claim.grants}.difference(unbound)):
            self._outbox.send(voter, message, urgent)

    def random_delay(self, limit: int) -> int:
        """A random delay of at least 0 and less than ``limit``."""
        return int(self._random.random() * limit)

    def _voters(self, now: int, claim: Claim) -> list[str]:
        return self._electorate.all_voters(now, claim.resource)
