"""Leases as a part of the link: one gateway as a voter, a candidate and a holder. No I/O."""

from __future__ import annotations

from collections.abc import Mapping
from random import Random
from typing import Any

import msgspec
import xxhash

from yardbank.cluster.lease.api import LeaseEvent, LeaseTerms
from yardbank.cluster.lease.claim import STATE_NAMES, ClaimState
from yardbank.cluster.lease.claims import Claims
from yardbank.cluster.lease.electorate import Electorate
from yardbank.cluster.lease.epochs import SHIFT, Epochs
from yardbank.cluster.lease.holder import HELD_STATES
from yardbank.cluster.lease.messages import (
    GRANTED,
    LIST,
    LOW,
    NAMED,
    LeaseMessage,
    LeaseRequest,
    Release,
    SuccessorNotice,
    TransferOffer,
    VoterAnnouncement,
    VoteReply,
)
from yardbank.cluster.lease.messages import decode as read
from yardbank.cluster.lease.messages import encode as written
from yardbank.cluster.lease.outbox import Outbox
from yardbank.cluster.lease.voter import Voter
from yardbank.cluster.peers.parts import KeyValueStore, MembershipView, Message

SHOWN = 256  # resources in a view
MS = 1_000_000


class _Kept(msgspec.Struct, array_like=True):
    """What outlives the process. Old programs ignore what they do not know."""

    epoch: int
    lists: list[tuple[int, dict[str, str], int]]  # the newest first, with the count of voters
    longest: int = 0  # lease, by any terms so far


class LeasePart:
    """Implements ``peers.parts.Part`` and ``lease.api.Leases``. Made anew at each start of the process.

    ``now`` must be read after what is passed in has come off the socket: an ask is then never older than it seems.
    """

    topic = "lease"
    rate: tuple[int, int] | None = None
    __slots__ = (
        "_keep",
        "_letters",
        "_membership_view",
        "_outbox",
        "begun",
        "boot_epoch",
        "claims",
        "epochs",
        "lists",
        "name",
        "not_kept",
        "terms",
        "voter",
    )

    def __init__(self, membership_view: MembershipView, terms: LeaseTerms, random: Random, keep: KeyValueStore) -> None:
        self._membership_view, self.terms, self._keep = membership_view, terms, keep
        self.name, self.boot_epoch = (
            membership_view.name,
            membership_view.boot_epoch,
        )  # as a holder; it stays, whatever the link learns of old lives
        self._outbox = Outbox()
        self._letters: list[Message] = []
        self.epochs = Epochs()
        self.lists = Electorate(self.name, terms)
        self.voter = Voter(terms, self.epochs)
        self.claims = Claims(self.name, self.boot_epoch, terms, random, self.lists, self.epochs, self._outbox)
        self.begun = False
        self.not_kept = 0

    # Part

    def listed(self, now: int) -> None:
        """The list is there, or has changed."""
        if not self.begun:
            self._begin(now)
        terms = self.terms
        agreed = f"{self._membership_view.list_hash()}/{terms.term}/{terms.drift}/{terms.overlap}/{terms.voters}"
        # other terms are as another list: who has them grants nothing to who has not
        if self.lists.listed(now, xxhash.xxh3_64_intdigest(agreed.encode()), self._membership_view.zones()):
            self._save()
            for claim in self.claims.claims.values():
                if claim.state == ClaimState.HOLDING:
                    claim.due_at = now  # the new voters are asked at once
        self._done(now)

    def _begin(self, now: int) -> None:
        self.begun = True
        kept = _Kept(0, [])
        try:
            if (data := self._keep.load()) is not None:
                kept = msgspec.msgpack.decode(data, type=_Kept)
        except msgspec.DecodeError:
            pass  # as if there were no store: the life number stands in for it
        self.epochs.begin(now, self.boot_epoch, kept.epoch)
        self.lists.restore(now, kept.lists, kept.longest)
        self.voter.begin(now, self.lists.long)

    def receive(self, now: int, sender: str, boot_epoch: int, body: bytes) -> None:
        """A letter came."""
        word = read(body)
        if self.begun:
            self._take(now, sender, word)
            self._done(now)

    def tick(self, now: int) -> None:
        """Time has passed."""
        if not self.begun:
            return
        if self._membership_view.boot_epoch > self.boot_epoch and self.epochs.hear(
            now, self._membership_view.boot_epoch << SHIFT
        ):
            self.epochs.floor = max(
                self.epochs.floor, self._membership_view.boot_epoch << SHIFT
            )  # an earlier start was further
        self.claims.tick(now)
        for peer in self.lists.tick(now):
            self._outbox.send(peer, self._hello(answer=True), urgent=False)
        self._done(now)

    def next_at(self) -> int | None:
        """When ``tick`` is due."""
        return min((at for at in (self.claims.next_at(), self.lists.next_at()) if at is not None), default=None)

    def outgoing_messages(self) -> list[Message]:
        """What is to be sent; taken off."""
        found, self._letters = self._letters, []
        return found

    # Leases

    def acquire(self, now: int, resource: str) -> None:
        """See ``api.Leases``."""
        self.claims.acquire(now, resource)
        self._done(now)

    def release(self, now: int, resource: str) -> None:
        """See ``api.Leases``."""
        self.claims.release(now, resource)
        self._done(now)

    def transfer(self, now: int, resource: str, to: str) -> bool:
        """See ``api.Leases``."""
        begun = self.claims.transfer(now, resource, to)
        self._done(now)
        return begun

    def epoch(self, now: int, resource: str) -> int | None:
        """See ``api.Leases``."""
        claim = self.claims.claims.get(resource)
        return claim.epoch if claim is not None and claim.holds(now) else None

    def offered(self, prefix: str) -> list[tuple[str, str]]:
        """See ``api.Leases``."""
        return self.claims.offers.take(prefix)

    def turns(self, prefix: str) -> list[LeaseEvent]:
        """See ``api.Leases``."""
        return self.claims.log.take_events(prefix)

    def news(self) -> list[LeaseEvent]:
        """The turns of all resources once more, for the log; taken off. The oldest give way where nobody asks."""
        return self.claims.log.take_log_events()

    def holder(self, resource: str) -> tuple[str, int] | None:
        """See ``api.Leases``."""
        entry = self.voter.entries.get(resource)
        seen = (entry.holder, entry.epoch) if entry is not None and entry.holds else None
        hint = self.claims.log.hints.get(resource)
        return max((one for one in (seen, hint) if one), key=lambda one: one[1], default=None)

    # Words

    def _take(self, now: int, sender: str, word: LeaseMessage) -> None:
        if isinstance(word, LeaseRequest):
            self._vote(now, sender, word)
        elif isinstance(word, VoteReply):
            self._hear(now, sender, word)
            self.claims.answer(now, sender, word)
        elif isinstance(word, Release):
            self.voter.release(sender, word)
        elif isinstance(word, SuccessorNotice):
            if self.voter.name(now, sender, word):
                self._answer(sender, word, NAMED)
        elif isinstance(word, TransferOffer):
            self.epochs.hear(now, word.epoch)
            self.claims.offer(now, sender, word)
        elif isinstance(word, VoterAnnouncement):
            self._hear(now, sender, word)
            if word.answer:
                self._outbox.send(sender, self._hello(answer=False), urgent=False)
        else:
            self.claims.took(now, sender, word)

    def _vote(self, now: int, sender: str, ask: LeaseRequest) -> None:
        if not self.lists.accepts(now, ask):
            self._answer(sender, ask, LIST)
        elif verdict := self.voter.ask(now, sender, ask):
            if verdict.verdict == GRANTED and ask.renewal:
                self.claims.log.hints.pop(ask.resource, None)  # the entry says it
            self._answer(sender, ask, verdict.verdict, verdict.holder, verdict.left)

    def _answer(
        self, to: str, ask: LeaseRequest | SuccessorNotice, verdict: int, holder: str = "", left: int = 0
    ) -> None:
        lists = self.lists
        answer = VoteReply(
            ask.resource,
            ask.boot_epoch,
            ask.number,
            verdict,
            self.epochs.top,
            lists.hash,
            lists.binding(),
            holder,
            left,
        )
        self._outbox.send(to, answer, urgent=verdict in (GRANTED, LOW, NAMED))

    def _hello(self, answer: bool) -> VoterAnnouncement:
        return VoterAnnouncement("", self.lists.hash, self.lists.binding(), self.epochs.top, answer)

    def _hear(self, now: int, sender: str, word: VoteReply | VoterAnnouncement) -> None:
        """What a peer knows of epochs and lists."""
        if self.epochs.hear(now, word.top):
            self.lists.hear(now, sender, word.list, word.older)
        if self.lists.older or now < self.voter.silent_until:
            self.epochs.raise_floor()  # other voters' promises pass to this one: new epochs must be above theirs

    def _done(self, now: int) -> None:
        """Words to itself are taken at once; the others go out, after what they rest on is kept."""
        queue = self._outbox.queue
        while queue:
            to, word, urgent = queue.pop(0)
            if to == self.name:
                self._take(now, to, word)
            else:
                self._letters.append(Message(to, written(word), urgent))
        if self.epochs.top > self.epochs.kept:
            self._save()

    def _save(self) -> None:
        epoch = self.epochs.to_keep() or self.epochs.kept
        if not self._keep.save(msgspec.msgpack.encode(_Kept(epoch, self.lists.kept(), self.lists.long))):
            self.not_kept += 1  # the life number stands in for it

    def view(self, now: int) -> dict[str, Any]:
        """What an operator should see; times in ms."""
        claims, entries = self.claims.claims, self.voter.entries
        held = {
            claim.resource: {
                "epoch": claim.epoch,
                "left": (claim.until - now) // MS,
                "state": STATE_NAMES[claim.state],
                "voters": list(self.lists.voters(claim.resource)),
            }
            for claim in claims.values()
            if claim.state in HELD_STATES and claim.holds(now)
        }
        granted: Mapping[str, Any] = {
            resource: {"holder": entry.holder, "epoch": entry.epoch, "left": (entry.until - now) // MS}
            for resource, entry in entries.items()
            if now < entry.until
        }
        counts = {
            "epochs_too_far": self.epochs.refused,
            "full": self.voter.full + self.claims.full + self.claims.offers.rejected,
            "late": self.voter.ignored + self.claims.stale,
            "clashes": self.voter.clashes,
            "lists_forgotten": self.lists.forgotten,
            "not_kept": self.not_kept,
            "turns_lost": self.claims.log.events_lost,
        }
        return {
            "held": dict(list(held.items())[:SHOWN]),
            "held_count": len(held),
            "wanted": len(claims),
            "granted": dict(list(granted.items())[:SHOWN]),
            "granted_count": len(granted),
            "silent": max(0, self.voter.silent_until - now) // MS,
            "epoch": self.epochs.top,
            "list": f"{self.lists.hash:016x}",
            "older_lists": len(self.lists.older),
            "doubt": self.lists.doubt(now),
            "clash": self.voter.clash,
            "counts": counts,
        }
