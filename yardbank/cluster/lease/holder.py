"""Leases held by this gateway: winning, renewing, transferring and ending them. No I/O: time (ns) is an argument.

Owns the claims, at most ``MAX_CLAIMS``. Of a ``Claim`` it writes ``until``, ``held_since``, ``successor``,
``notice_number``, ``transfer_until``, ``reclaim_at``, ``grants``, ``informed_voters``, and the states ``HOLDING`` and
``TRANSFERRING``. A grant counts from when its request was sent, by this gateway's clock, shortened for drift; a
transfer never lasts longer than the overlap by any gateway's clock.
"""

from __future__ import annotations

from yardbank.cluster.lease.api import ENDED, OWNED, LeaseTerms
from yardbank.cluster.lease.claim import Claim, ClaimState
from yardbank.cluster.lease.electorate import Electorate
from yardbank.cluster.lease.messages import LeaseTaken, SuccessorNotice, TransferOffer
from yardbank.cluster.lease.outbox import Outbox
from yardbank.cluster.lease.ownership_log import OwnershipLog
from yardbank.cluster.lease.proposer import Proposer
from yardbank.cluster.lease.timing import min_overlap_duration
from yardbank.cluster.lease.transfer_offers import TransferOffers

MAX_CLAIMS = 1024
HELD_STATES = (ClaimState.HOLDING, ClaimState.TRANSFERRING)


class Holder:
    """The claims of this gateway, and the operations on those that are held."""

    __slots__ = (
        "_boot_epoch",
        "_electorate",
        "_log",
        "_name",
        "_offers",
        "_outbox",
        "_proposer",
        "_terms",
        "_transfer_time",
        "claims",
    )

    def __init__(
        self,
        name: str,
        boot_epoch: int,
        terms: LeaseTerms,
        electorate: Electorate,
        outbox: Outbox,
        offers: TransferOffers,
        log: OwnershipLog,
        proposer: Proposer,
    ) -> None:
        self._name = name
        self._boot_epoch = boot_epoch
        self._terms = terms
        self._electorate = electorate
        self._outbox = outbox
        self._offers = offers
        self._log = log
        self._proposer = proposer
        self._transfer_time = min_overlap_duration(terms)
        self.claims: dict[str, Claim] = {}

    def add(self, resource: str) -> Claim | None:
        """Add a claim; None: there are too many."""
        if len(self.claims) >= MAX_CLAIMS:
            return None
        claim = Claim(resource)
        self.claims[resource] = claim
        return claim

    def record_grant(self, now: int, claim: Claim, voter: str, requested_at: int) -> None:
        """A voter granted or renewed the lease; ``requested_at``: when the request was sent."""
        until = requested_at + self._terms.holding_time()
        claim.grants[voter] = max(claim.grants.get(voter, 0), until)
        claim.refusals.pop(voter, None)
        self._extend(now, claim, claim.granted_until(self._electorate.voter_sets(now, claim.resource)))

    def _extend(self, now: int, claim: Claim, until: int) -> None:
        if until <= claim.until or until <= now:
            return
        claim.until = until
        if claim.state == ClaimState.REQUESTING:
            self._begin(now, claim)
        elif claim.state == ClaimState.TRANSFERRING and until > claim.transfer_until:
            claim.state = ClaimState.HOLDING
            claim.successor = ""
        if self._is_round_complete(claim):
            claim.due_at = claim.round_started_at + self._terms.term // 3

    def _begin(self, now: int, claim: Claim) -> None:
        claim.state = ClaimState.HOLDING
        claim.held_since = now
        claim.failed_votes = 0
        self._log.record(claim.resource, OWNED, claim.epoch)
        if offer := self._offers.offers.get(claim.resource):
            self._outbox.send(offer.sender, LeaseTaken(claim.resource, claim.epoch))

    def _is_round_complete(self, claim: Claim) -> bool:
        return claim.until >= claim.round_started_at + self._terms.holding_time()

    def is_renewal_due(self, now: int, claim: Claim) -> bool:
        """Whether it is time to renew.

        After a complete round a renewal may be somewhat early, so that one gateway's renewals are sent together.
        """
        early = self._terms.term // 16 if self._is_round_complete(claim) else 0
        return now + early >= claim.due_at

    def renew(self, now: int, claim: Claim) -> None:
        """Request a renewal: start a new round, or repeat the requests of an incomplete one."""
        if self._is_round_complete(claim):
            claim.round_started_at = now
        self._proposer.request_votes(now, claim)

    def transfer(self, now: int, claim: Claim, to: str) -> bool:
        """Start a transfer; returns whether it started.

        Not within ``overlap`` after the lease was won: the previous holder may still hold it.
        """
        if claim.state != ClaimState.HOLDING or now < claim.held_since + self._terms.overlap:
            return False
        claim.state = ClaimState.TRANSFERRING
        claim.successor = to
        claim.transfer_until = now + self._transfer_time
        claim.reclaim_at = now + self._transfer_time * 3 // 5
        claim.until = min(claim.until, claim.transfer_until)
        claim.grants = {voter: min(end, claim.transfer_until) for voter, end in claim.grants.items()}
        claim.requests.clear()  # replies to earlier requests no longer count
        claim.refusals.clear()
        claim.informed_voters.clear()
        claim.notice_number = self._outbox.next_number()
        self._notify_successor(now, claim)
        return True

    def continue_transfer(self, now: int, claim: Claim) -> None:
        """Repeat the notices of the transfer, or take the lease back after ``reclaim_at``."""
        if now < claim.reclaim_at:
            self._notify_successor(now, claim)
            return
        if claim.round_started_at < claim.reclaim_at:
            claim.round_started_at = now
        self._proposer.request_votes(now, claim)

    def _notify_successor(self, now: int, claim: Claim) -> None:
        """Notify the successor, and the voters that have not acknowledged it yet."""
        notice = SuccessorNotice(claim.resource, self._boot_epoch, claim.notice_number, claim.epoch, claim.successor)
        claim.due_at = min(now + max(1, self._terms.overlap // 8), claim.reclaim_at)
        for voter in self._electorate.all_voters(now, claim.resource):
            if voter not in claim.informed_voters:
                self._outbox.send(voter, notice)
        self._outbox.send(claim.successor, TransferOffer(claim.resource, claim.epoch))

    def record_successor_noted(self, claim: Claim, voter: str, number: int) -> None:
        """A voter acknowledged the successor."""
        if claim.state == ClaimState.TRANSFERRING and number == claim.notice_number:
            claim.informed_voters.add(voter)

    def expire(self, now: int, claim: Claim) -> None:
        """End the lease if it has expired."""
        if claim.state not in HELD_STATES or now < claim.until:
            return
        reason = "lapsed" if claim.state == ClaimState.HOLDING else "handed on, unanswered"
        self.end(now, claim, reason)

    def end(self, now: int, claim: Claim, reason: str) -> None:
        """End the lease here. After a transfer the claim is removed, else this gateway tries to get it again."""
        self._log.record(claim.resource, ENDED, claim.epoch, reason)
        if claim.state == ClaimState.TRANSFERRING:
            self._remove(now, claim)
            return
        self._proposer.release_voters(now, claim)
        claim.forget_replies()
        claim.state = ClaimState.WAITING
        claim.due_at = now + self._proposer.random_delay(self._proposer.vote_time)

    def release(self, now: int, claim: Claim) -> None:
        """Give up the claim on the user's request, whether held or not."""
        self.expire(now, claim)
        if claim.state in HELD_STATES:
            self._log.record(claim.resource, ENDED, claim.epoch, "released")
        if claim.resource in self.claims:
            self._remove(now, claim)

    def _remove(self, now: int, claim: Claim) -> None:
        self._proposer.release_voters(now, claim)
        del self.claims[claim.resource]
        claim.state = ClaimState.WAITING  # for callers that still refer to it
        claim.forget_replies()
