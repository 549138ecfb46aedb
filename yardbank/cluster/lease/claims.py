"""One gateway as a candidate and a holder. No I/O: time (ns, its own clock) and randomness come in.

A grant counts from when its ask was sent, by this clock, shortened for drift. Whatever comes in, first everything that
has run out by now ends: an ownership that has lapsed is never taken up again under its epoch. Lamport's advice on
leases with quorums, as in Chubby (Burrows, OSDI 2006), whose sequencers are the epochs here.
"""

from __future__ import annotations

from yardbank.cluster.lease.api import ENDED, OWNED
from yardbank.cluster.lease.claim import ASKING, HANDING, HOLDING, WAITING, Claim
from yardbank.cluster.lease.messages import GRANTED, HELD, LOW, MAX_RESOURCE, NAMED, SILENT, TAKEN, Answer, Offer, Took
from yardbank.cluster.lease.votes import Votes

MAX_CLAIMS, MAX_OFFERS = 1024, 256
MAX_RAISED = 3  # higher epochs tried in one vote
MS = 1_000_000


class Claims(Votes):
    """What the user does, and what comes in."""

    __slots__ = ()

    # What the user does

    def acquire(self, now: int, resource: str) -> None:
        """See ``api.Leases``. Raises ``ValueError`` for a name that no letter can carry."""
        if not 0 < len(resource) <= MAX_RESOURCE:
            raise ValueError(f"a resource's name has 1 to {MAX_RESOURCE} characters: {resource!r}")
        if resource in self.claims:
            return
        if len(self.claims) >= MAX_CLAIMS:
            self.full += 1
            self._turn(resource, ENDED, 0, "too many are wanted")
            return
        claim = self.claims[resource] = Claim(resource)
        claim.at = now if self._offer(now, resource) else now + self._some(self._vote)
        self._act(now, claim)

    def release(self, now: int, resource: str) -> None:
        """See ``api.Leases``."""
        if (claim := self.claims.get(resource)) is None:
            return
        self._expire(now, claim)
        if claim.state in (HOLDING, HANDING):
            self._turn(resource, ENDED, claim.epoch, "released")
        if resource in self.claims:
            self._drop(now, claim)

    def transfer(self, now: int, resource: str, to: str) -> bool:
        """See ``api.Leases``. Not within ``overlap`` of having got it: the one before may hold it still."""
        claim = self.claims.get(resource)
        if claim is None or to == self.name or to not in self._lists.zones:
            return False
        self._expire(now, claim)
        if claim.state != HOLDING or now < claim.since + self._terms.overlap:
            return False
        claim.state, claim.to, claim.cap, claim.back = HANDING, to, now + self._short, now + self._short * 3 // 5
        claim.until = min(claim.until, claim.cap)
        claim.grants = {voter: min(end, claim.cap) for voter, end in claim.grants.items()}
        claim.sent.clear()  # answers to what was asked before count no more
        claim.refused.clear()
        claim.told.clear()
        claim.named = self._next()
        self._name(now, claim)
        return True

    # What comes in

    def answer(self, now: int, voter: str, word: Answer) -> None:
        """A voter's word."""
        claim = self.claims.get(word.resource)
        if claim is None or word.boot_epoch != self.boot_epoch:
            self.stale += 1
            return
        self._expire(now, claim)
        if word.holder and word.verdict == HELD:
            self._hint(word.resource, word.holder, word.top)
        if word.verdict == NAMED:
            if claim.state == HANDING and word.number == claim.named:
                claim.told.add(voter)
            return
        sets = self._lists.sets(now, claim.resource)
        if (asked := claim.sent.get(word.number)) is None or not any(voter in voters for voters, _ in sets):
            self.stale += 1
        elif word.verdict == GRANTED:
            claim.grants[voter] = max(claim.grants.get(voter, 0), asked + self._terms.held())
            claim.refused.pop(voter, None)
            self._granted(now, claim, claim.ends(sets))
            if claim.state == ASKING and claim.lone:
                claim.lone = ""
                self._ask(now, claim)
        elif word.verdict == LOW and claim.state == ASKING and claim.raised < MAX_RAISED:
            claim.raised += 1
            self._propose(now, claim)
        else:
            left = min(int(word.left * MS * (1 + 2 * self._terms.drift)), self._long)
            if word.verdict not in (HELD, SILENT, TAKEN):
                left = self._terms.term // 8
            claim.refused[voter] = now + (0 if word.verdict == TAKEN else left)
            if claim.state == ASKING and not self._offer(now, claim.resource):
                if claim.lost(sets) or (claim.lone and word.verdict in (HELD, TAKEN)):
                    self._fail(now, claim)
                elif claim.lone:
                    claim.lone = ""
                    self._ask(now, claim)
            elif claim.state == HANDING and word.holder == claim.to and claim.lost(sets):
                self._end(now, claim, "handed on")

    def _granted(self, now: int, claim: Claim, until: int) -> None:
        if until <= claim.until or until <= now:
            return
        claim.until = until
        if claim.state == ASKING:
            claim.state, claim.since, claim.fails = HOLDING, now, 0
            self._turn(claim.resource, OWNED, claim.epoch)
            if offer := self.offers.get(claim.resource):
                self._say(offer[0], Took(claim.resource, claim.epoch))
        elif claim.state == HANDING and until > claim.cap:
            claim.state, claim.to = HOLDING, ""
        if until >= claim.round_at + self._terms.held():
            claim.at = claim.round_at + self._terms.term // 3

    def offer(self, now: int, sender: str, word: Offer) -> None:
        """Another names this gateway as the next one."""
        claim = self.claims.get(word.resource)
        if claim is not None and claim.holds(now):
            if claim.epoch > word.epoch:
                self._say(sender, Took(word.resource, claim.epoch))
            return
        known = self.offers.get(word.resource)
        if known is None or known[:2] != (sender, word.epoch):
            if known is None and len(self.offers) >= MAX_OFFERS:
                self.full += 1
                return
            self.offered[word.resource] = sender
        self.offers[word.resource] = sender, word.epoch, now
        if claim is not None and claim.state == WAITING:
            claim.at = now
            self._act(now, claim)

    def took(self, now: int, sender: str, word: Took) -> None:
        """The next one says that it holds."""
        claim = self.claims.get(word.resource)
        if claim is not None and claim.state == HANDING and claim.to == sender and word.epoch > claim.epoch:
            self._expire(now, claim)
            if claim.state == HANDING:
                self._end(now, claim, "handed on")

    def tick(self, now: int) -> None:
        """Time has passed."""
        for claim in list(self.claims.values()):
            self._expire(now, claim)
            self._act(now, claim)
        for resource in [resource for resource, offer in self.offers.items() if offer[2] + self._terms.overlap <= now]:
            del self.offers[resource]
            self.offered.pop(resource, None)

    def next_at(self) -> int | None:
        """When ``tick`` is due."""
        return min(
            (
                min(claim.at, claim.until) if claim.state in (HOLDING, HANDING) else claim.at
                for claim in self.claims.values()
            ),
            default=None,
        )
