"""The candidate and holder side of one gateway. No I/O: time (ns, its own clock) and randomness are arguments.

It holds no lease itself but passes each call and message to the ``Proposer`` (votes) or the ``Holder`` (claims and held
leases). Before anything else is processed, expired leases are ended: a lease that has expired is never resumed under
its epoch. The design follows Lamport's advice on leases with quorums, as in Chubby (Burrows, OSDI 2006); the epochs
correspond to Chubby's sequencers.
"""

from __future__ import annotations

from random import Random

from yardbank.cluster.lease.api import ENDED, LeaseTerms
from yardbank.cluster.lease.claim import Claim, ClaimState
from yardbank.cluster.lease.electorate import Electorate
from yardbank.cluster.lease.epochs import Epochs
from yardbank.cluster.lease.holder import HELD_STATES, Holder
from yardbank.cluster.lease.messages import MAX_RESOURCE, LeaseTaken, TransferOffer, Verdict, VoteReply
from yardbank.cluster.lease.outbox import Outbox
from yardbank.cluster.lease.ownership_log import OwnershipLog
from yardbank.cluster.lease.proposer import Proposer
from yardbank.cluster.lease.timing import max_lease_duration
from yardbank.cluster.lease.transfer_offers import TransferOffers

MS = 1_000_000


class Claims:
    """Handles the user's calls and incoming messages.

    ``full`` counts claims rejected because there are too many, ``stale`` replies that no request waits for.
    """

    __slots__ = (
        "_boot_epoch",
        "_electorate",
        "_name",
        "_outbox",
        "_terms",
        "full",
        "holder",
        "log",
        "longest_lease",
        "offers",
        "proposer",
        "stale",
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
    ) -> None:
        self._name = name
        self._boot_epoch = boot_epoch
        self._terms = terms
        self._electorate = electorate
        self._outbox = outbox
        self.longest_lease = max_lease_duration(terms)  # ns
        self.offers = TransferOffers(terms.overlap)
        self.log = OwnershipLog(name)
        self.proposer = Proposer(name, boot_epoch, terms, random, electorate, epochs, outbox, self.offers)
        self.holder = Holder(name, boot_epoch, terms, electorate, outbox, self.offers, self.log, self.proposer)
        self.full = 0
        self.stale = 0

    @property
    def claims(self) -> dict[str, Claim]:
        """All wanted and held resources, by name."""
        return self.holder.claims

    # Calls of the user

    def acquire(self, now: int, resource: str) -> None:
        """See ``api.Leases``. Raises ``ValueError`` for a name that no message can carry."""
        if not 0 < len(resource) <= MAX_RESOURCE:
            raise ValueError(f"resource name must have 1 to {MAX_RESOURCE} characters: {resource!r}")
        if resource in self.claims:
            return
        claim = self.holder.add(resource)
        if claim is None:
            self.full += 1
            self.log.record(resource, ENDED, 0, "too many are wanted")
            return
        claim.due_at = now
        if not self.offers.is_open(now, resource):
            claim.due_at += self.proposer.random_delay(self.proposer.vote_time)
        self._do_due_work(now, claim)

    def release(self, now: int, resource: str) -> None:
        """See ``api.Leases``."""
        claim = self.claims.get(resource)
        if claim is not None:
            self.holder.release(now, claim)

    def transfer(self, now: int, resource: str, to: str) -> bool:
        """See ``api.Leases``."""
        claim = self.claims.get(resource)
        if claim is None or to == self._name or to not in self._electorate.zones:
            return False
        self.holder.expire(now, claim)
        return self.holder.transfer(now, claim, to)

    # Incoming messages

    def on_vote_reply(self, now: int, voter: str, reply: VoteReply) -> None:
        """Handle a voter's reply."""
        claim = self.claims.get(reply.resource)
        if claim is None or reply.boot_epoch != self._boot_epoch:
            self.stale += 1
            return
        self.holder.expire(now, claim)
        if reply.holder and reply.verdict == Verdict.HELD:
            self.log.record_hint(reply.resource, reply.holder, reply.highest_epoch)
        if reply.verdict == Verdict.SUCCESSOR_NOTED:
            self.holder.record_successor_noted(claim, voter, reply.number)
            return
        requested_at = claim.requests.get(reply.number)
        if requested_at is None or not self._is_voter(now, claim, voter):
            self.stale += 1
        elif reply.verdict == Verdict.GRANTED:
            self._on_grant(now, claim, voter, requested_at)
        else:
            self._on_refusal(now, claim, voter, reply)

    def _is_voter(self, now: int, claim: Claim, name: str) -> bool:
        return any(name in voters for voters, _ in self._electorate.voter_sets(now, claim.resource))

    def _on_grant(self, now: int, claim: Claim, voter: str, requested_at: int) -> None:
        self.holder.record_grant(now, claim, voter, requested_at)
        if claim.state == ClaimState.REQUESTING and claim.first_voter:
            self.proposer.ask_all(now, claim)

    def _on_refusal(self, now: int, claim: Claim, voter: str, reply: VoteReply) -> None:
        is_candidate = claim.state == ClaimState.REQUESTING
        if reply.verdict == Verdict.EPOCH_USED and is_candidate and self.proposer.raise_epoch(now, claim):
            return
        claim.refusals[voter] = now + self._refusal_time(reply)
        if is_candidate:
            self.proposer.record_refusal(now, claim, is_taken=reply.verdict in (Verdict.HELD, Verdict.OTHER_CANDIDATE))
        elif claim.state == ClaimState.TRANSFERRING and reply.holder == claim.successor:
            if claim.is_vote_lost(self._electorate.voter_sets(now, claim.resource)):
                self.holder.end(now, claim, "handed on")

    def _refusal_time(self, reply: VoteReply) -> int:
        """Minimum time (ns) for which the voter will keep refusing."""
        if reply.verdict == Verdict.OTHER_CANDIDATE:
            return 0
        if reply.verdict in (Verdict.HELD, Verdict.SILENT):
            return min(int(reply.remaining_ms * MS * (1 + 2 * self._terms.drift)), self.longest_lease)
        return self._terms.term // 8

    def on_transfer_offer(self, now: int, sender: str, message: TransferOffer) -> None:
        """Handle another gateway's offer to transfer its lease to this one."""
        claim = self.claims.get(message.resource)
        if claim is not None and claim.holds(now):
            if claim.epoch > message.epoch:
                self._outbox.send(sender, LeaseTaken(message.resource, claim.epoch))
            return
        if not self.offers.record(now, sender, message):
            return
        if claim is not None and claim.state == ClaimState.WAITING:
            claim.due_at = now
            self._do_due_work(now, claim)

    def on_lease_taken(self, now: int, sender: str, message: LeaseTaken) -> None:
        """Handle the successor's message that it holds the lease now."""
        claim = self.claims.get(message.resource)
        if claim is None or claim.state != ClaimState.TRANSFERRING:
            return
        if claim.successor != sender or message.epoch <= claim.epoch:
            return
        self.holder.expire(now, claim)
        if claim.state == ClaimState.TRANSFERRING:
            self.holder.end(now, claim, "handed on")

    # Time

    def tick(self, now: int) -> None:
        """End expired leases and offers, and do what is due."""
        for claim in list(self.claims.values()):
            self.holder.expire(now, claim)
            self._do_due_work(now, claim)
        self.offers.expire(now)

    def _do_due_work(self, now: int, claim: Claim) -> None:
        """Start, continue or renew as the state of the claim requires."""
        if claim.resource not in self.claims:
            return
        if claim.state == ClaimState.HOLDING:
            if self.holder.is_renewal_due(now, claim):
                self.holder.renew(now, claim)
            return
        if now < claim.due_at:
            return
        if claim.state == ClaimState.WAITING:
            self.proposer.start_vote(now, claim)
        elif claim.state == ClaimState.REQUESTING:
            self.proposer.continue_vote(now, claim)
        else:
            self.holder.continue_transfer(now, claim)

    def next_at(self) -> int | None:
        """When ``tick`` is due."""
        return min((_next_at(claim) for claim in self.claims.values()), default=None)


def _next_at(claim: Claim) -> int:
    if claim.state in HELD_STATES:
        return min(claim.due_at, claim.until)
    return claim.due_at
