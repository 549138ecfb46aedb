"""One gateway's votes: asking, naming who is next, giving up. No I/O: time (ns, its own clock) comes in."""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Collection
from random import Random

from yardbank.cluster.lease.api import ENDED, OWNED, LeaseEvent, LeaseTerms
from yardbank.cluster.lease.claim import ASKING, HANDING, HOLDING, WAITING, Claim
from yardbank.cluster.lease.electorate import Lists
from yardbank.cluster.lease.epochs import Epochs
from yardbank.cluster.lease.messages import Ask, NextIs, Offer, Release, Word
from yardbank.cluster.lease.timing import long_lease, short_overlap, vote_time

MAX_HINTS, MAX_TURNS, MAX_NEWS = 1024, 4096, 256


class Votes:
    """All that this gateway wants or holds. ``out`` is what is to be said: to whom (itself too), what, if it is urgent.

    Urgent is what keeps or hands on a holding. What only asks for one waits for the link's rate, so that many who want
    cannot starve those who hold.
    """

    __slots__ = (
        "_epochs",
        "_lists",
        "_long",
        "_number",
        "_random",
        "_short",
        "_terms",
        "_vote",
        "boot_epoch",
        "claims",
        "full",
        "hints",
        "name",
        "news",
        "offered",
        "offers",
        "out",
        "stale",
        "turns",
        "turns_lost",
    )

    def __init__(
        self,
        name: str,
        boot_epoch: int,
        terms: LeaseTerms,
        random: Random,
        lists: Lists,
        epochs: Epochs,
        out: list[tuple[str, Word, bool]],
    ) -> None:
        self.name, self.boot_epoch, self._terms, self._random = name, boot_epoch, terms, random
        self._lists, self._epochs, self.out = lists, epochs, out
        self._long, self._short, self._vote = long_lease(terms), short_overlap(terms), vote_time(terms)
        self.claims: dict[str, Claim] = {}
        self.offers: dict[str, tuple[str, int, int]] = {}  # by resource: from whom, under which epoch, when
        self.offered: dict[str, str] = {}  # not yet told to the user: from whom
        self.hints: OrderedDict[str, tuple[str, int]] = OrderedDict()
        self.turns: list[LeaseEvent] = []
        self.news: deque[LeaseEvent] = deque(maxlen=MAX_NEWS)  # the same once more, for the log
        self.full = self.stale = self.turns_lost = 0
        self._number = 0

    def _act(self, now: int, claim: Claim) -> None:
        """Do what is due."""
        through = claim.state == HOLDING and claim.until >= claim.round_at + self._terms.held()  # the last round
        early = self._terms.term // 16 if through else 0  # renewals of one gateway go together
        if now + early < claim.at or claim.resource not in self.claims:
            return
        if claim.state == WAITING:
            if self._lists.doubt(now) or not self._lists.hash:
                claim.at = now + max(1, self._terms.term // 8)
                return
            claim.raised, claim.lone = 0, ""
            if claim.contested and not self._offer(now, claim.resource):
                voters = self._lists.voters(claim.resource)
                claim.lone = self.name if self.name in voters else voters[self._some(len(voters))]
            self._propose(now, claim)
        elif claim.state == ASKING:
            claim.lone = ""
            if now >= claim.deadline:
                self._fail(now, claim)
            else:
                self._ask(now, claim)
        elif claim.state == HOLDING:
            if through:
                claim.round_at = now
            self._ask(now, claim)
        elif now < claim.back:
            self._name(now, claim)
        else:
            if claim.round_at < claim.back:
                claim.round_at = now
            self._ask(now, claim)

    def _propose(self, now: int, claim: Claim) -> None:
        """Begin a vote under an epoch above all that are known."""
        claim.clear()
        claim.state, claim.epoch, claim.until = ASKING, self._epochs.above(), 0
        claim.round_at, claim.deadline = now, now + self._vote
        self._ask(now, claim)

    def _ask(self, now: int, claim: Claim) -> None:
        """Ask those voters of whom this round has no grant yet."""
        number = self._next()
        claim.asked(now, number)
        done = claim.round_at + self._terms.held()
        again = claim.state != ASKING or self._offer(now, claim.resource)
        word = Ask(
            claim.resource,
            self.boot_epoch,
            number,
            claim.epoch,
            claim.state != ASKING,
            self._lists.hash,
            self._lists.known(),
        )
        for voter in [claim.lone] if claim.lone else self._voters(now, claim):
            if claim.grants.get(voter, 0) < done and (again or voter not in claim.refused):
                self._say(voter, word, again)
        quick = claim.state == HANDING or self._offer(now, claim.resource)
        claim.at = now + max(1, self._terms.overlap // 8 if quick else self._vote // 3)
        if claim.state == ASKING:
            claim.at = min(claim.at, claim.deadline)

    def _name(self, now: int, claim: Claim) -> None:
        """Tell the voters, and the next one, who is next."""
        word = NextIs(claim.resource, self.boot_epoch, claim.named, claim.epoch, claim.to)
        claim.at = min(now + max(1, self._terms.overlap // 8), claim.back)
        for voter in self._voters(now, claim):
            if voter not in claim.told:
                self._say(voter, word)
        self._say(claim.to, Offer(claim.resource, claim.epoch))

    def _fail(self, now: int, claim: Claim) -> None:
        """The vote is lost: free whom it bound, and wait."""
        self._let_go(now, claim, {*claim.refused} if claim.lone == "" else {*self._voters(now, claim)})
        if claim.lone:
            free = claim.refused.get(claim.lone, now)
        else:
            free = claim.free_at(now, self._lists.sets(now, claim.resource))
        if self._offer(now, claim.resource):
            claim.at = now + max(1, self._terms.overlap // 8)
        elif free > now:
            claim.contested, claim.fails = True, 0
            claim.at = free + self._some(self._terms.term // 8)
        else:
            claim.at = now + self._some(min(self._terms.term, self._vote << min(claim.fails, 4)))
            claim.fails += 1
        claim.state, claim.lone = WAITING, ""
        claim.clear()

    def _expire(self, now: int, claim: Claim) -> None:
        if claim.state in (HOLDING, HANDING) and now >= claim.until:
            self._end(now, claim, "lapsed" if claim.state == HOLDING else "handed on, unanswered")

    def _end(self, now: int, claim: Claim, why: str) -> None:
        self._turn(claim.resource, ENDED, claim.epoch, why)
        if claim.state == HANDING:
            self._drop(now, claim)
            return
        self._let_go(now, claim)
        claim.clear()
        claim.state, claim.at = WAITING, now + self._some(self._vote)

    def _drop(self, now: int, claim: Claim) -> None:
        self._let_go(now, claim)
        del self.claims[claim.resource]
        claim.state = WAITING  # for who still has it in hand
        claim.clear()

    def _let_go(self, now: int, claim: Claim, but: Collection[str] = ()) -> None:
        """Tell all voters that may be bound that this epoch is over."""
        if claim.state == WAITING:
            return
        word = Release(claim.resource, self.boot_epoch, self._next(), claim.epoch)
        for voter in sorted({*self._voters(now, claim), *claim.grants}.difference(but)):
            self._say(voter, word, claim.state != ASKING)

    # Small things

    def _voters(self, now: int, claim: Claim) -> list[str]:
        return sorted({voter for voters, _ in self._lists.sets(now, claim.resource) for voter in voters})

    def _offer(self, now: int, resource: str) -> bool:
        """Whether another hands it on to this gateway just now."""
        offer = self.offers.get(resource)
        return offer is not None and now < offer[2] + self._terms.overlap

    def _say(self, to: str, word: Word, urgent: bool = True) -> None:
        self.out.append((to, word, urgent))

    def _next(self) -> int:
        self._number += 1
        return self._number

    def _some(self, most: int) -> int:
        return int(self._random.random() * most)

    def _hint(self, resource: str, holder: str, epoch: int) -> None:
        self.hints[resource] = holder, epoch
        self.hints.move_to_end(resource)
        if len(self.hints) > MAX_HINTS:
            self.hints.popitem(last=False)

    def _turn(self, resource: str, what: str, epoch: int, why: str = "") -> None:
        if what == OWNED:
            self._hint(resource, self.name, epoch)
        if len(self.turns) >= MAX_TURNS:
            self.turns_lost += 1
            del self.turns[0]
        self.turns.append(LeaseEvent(resource, what, epoch, why))
        self.news.append(self.turns[-1])
