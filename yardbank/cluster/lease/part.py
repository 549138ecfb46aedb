"""The lease protocol as a part of a gateway: voter, candidate and holder in one. No I/O."""

from __future__ import annotations

from random import Random
from typing import Any

import msgspec
import xxhash

from yardbank.cluster.lease.api import LeaseEvent, LeaseTerms
from yardbank.cluster.lease.claim import STATE_NAMES, ClaimState
from yardbank.cluster.lease.claims import Claims
from yardbank.cluster.lease.electorate import Electorate, StoredList
from yardbank.cluster.lease.epochs import BOOT_EPOCH_SHIFT, Epochs
from yardbank.cluster.lease.holder import HELD_STATES
from yardbank.cluster.lease.messages import (
    LeaseMessage,
    LeaseRequest,
    LeaseTaken,
    Release,
    SuccessorNotice,
    TransferOffer,
    Verdict,
    VoterAnnouncement,
    VoteReply,
)
from yardbank.cluster.lease.messages import decode as decode_message
from yardbank.cluster.lease.messages import encode as encode_message
from yardbank.cluster.lease.outbox import Outbox
from yardbank.cluster.lease.voter import Decision, Voter
from yardbank.cluster.peers.parts import KeyValueStore, MembershipView, Message

MAX_SHOWN = 256  # resources in each table of the view
URGENT_VERDICTS = (Verdict.GRANTED, Verdict.EPOCH_USED, Verdict.SUCCESSOR_NOTED)
MS = 1_000_000


class _StoredState(msgspec.Struct, array_like=True):
    """The state kept across restarts. Older versions ignore fields that they do not know."""

    epoch: int
    lists: list[StoredList]  # newest first
    longest_lease: int = 0  # ns, the longest under any terms so far


class LeasePart:
    """Implements ``peers.parts.Part`` and ``lease.api.Leases``. Created anew at each start of the process.

    Owns the voter (``voter``, ``electorate``, ``epochs``), the candidate and holder (``claims``) and the stored state.
    Callers must read ``now`` after the message that they pass in was read from the socket: a voter's promise then never
    starts before its request was sent.
    """

    topic = "lease"
    rate: tuple[int, int] | None = None
    __slots__ = (
        "_membership_view",
        "_outbox",
        "_outgoing",
        "_store",
        "begun",
        "boot_epoch",
        "claims",
        "electorate",
        "epochs",
        "failed_writes",
        "name",
        "terms",
        "voter",
    )

    def __init__(
        self, membership_view: MembershipView, terms: LeaseTerms, random: Random, store: KeyValueStore
    ) -> None:
        self._membership_view = membership_view
        self.terms = terms
        self._store = store
        self.name = membership_view.name
        self.boot_epoch = membership_view.boot_epoch  # identifies this holder; not raised if gossip raises its own
        self._outbox = Outbox()
        self._outgoing: list[Message] = []
        self.epochs = Epochs()
        self.electorate = Electorate(self.name, terms)
        self.voter = Voter(terms, self.epochs)
        self.claims = Claims(self.name, self.boot_epoch, terms, random, self.electorate, self.epochs, self._outbox)
        self.begun = False
        self.failed_writes = 0

    # Part

    def listed(self, now: int) -> None:
        """The list of gateways was read or has changed."""
        if not self.begun:
            self._begin(now)
        if self.electorate.update_list(now, self._list_hash(), self._membership_view.zones()):
            self._save()
            for claim in self.claims.claims.values():
                if claim.state == ClaimState.HOLDING:
                    claim.due_at = now  # ask the new voters at once
        self._flush(now)

    def _list_hash(self) -> int:
        """A hash of the list and the terms: gateways with different terms grant each other nothing."""
        terms = self.terms
        agreed = f"{self._membership_view.list_hash()}/{terms.term}/{terms.drift}/{terms.overlap}/{terms.voters}"
        return xxhash.xxh3_64_intdigest(agreed.encode())

    def _begin(self, now: int) -> None:
        self.begun = True
        stored = self._load()
        self.epochs.begin(now, self.boot_epoch, stored.epoch)
        self.electorate.restore(now, stored.lists, stored.longest_lease)
        self.voter.begin(now, self.electorate.longest_lease)

    def _load(self) -> _StoredState:
        """The stored state. If it cannot be decoded, start without it: the boot epoch keeps epochs rising."""
        data = self._store.load()
        if data is None:
            return _StoredState(0, [])
        try:
            return msgspec.msgpack.decode(data, type=_StoredState)
        except msgspec.DecodeError:
            return _StoredState(0, [])

    def receive(self, now: int, sender: str, boot_epoch: int, body: bytes) -> None:
        """Handle a message. Raises ``DroppedError``."""
        message = decode_message(body)
        if self.begun:
            self._dispatch(now, sender, message)
            self._flush(now)

    def tick(self, now: int) -> None:
        """Do whatever is due by now."""
        if not self.begun:
            return
        self._follow_boot_epoch(now)
        self.claims.tick(now)
        for peer in self.electorate.tick(now):
            self._announce(peer, wants_reply=True)
        self._flush(now)

    def _follow_boot_epoch(self, now: int) -> None:
        """Raise the floor if gossip learned of an earlier start with a higher boot epoch."""
        boot_epoch = self._membership_view.boot_epoch
        if boot_epoch > self.boot_epoch and self.epochs.hear(now, boot_epoch << BOOT_EPOCH_SHIFT):
            self.epochs.floor = max(self.epochs.floor, boot_epoch << BOOT_EPOCH_SHIFT)

    def next_at(self) -> int | None:
        """When ``tick`` is due."""
        return min((at for at in (self.claims.next_at(), self.electorate.next_at()) if at is not None), default=None)

    def outgoing_messages(self) -> list[Message]:
        """The messages to send; each is returned once."""
        found = self._outgoing
        self._outgoing = []
        return found

    # Leases

    def acquire(self, now: int, resource: str) -> None:
        """See ``api.Leases``."""
        self.claims.acquire(now, resource)
        self._flush(now)

    def release(self, now: int, resource: str) -> None:
        """See ``api.Leases``."""
        self.claims.release(now, resource)
        self._flush(now)

    def transfer(self, now: int, resource: str, to: str) -> bool:
        """See ``api.Leases``."""
        begun = self.claims.transfer(now, resource, to)
        self._flush(now)
        return begun

    def epoch(self, now: int, resource: str) -> int | None:
        """See ``api.Leases``."""
        claim = self.claims.claims.get(resource)
        return claim.epoch if claim is not None and claim.holds(now) else None

    def offered(self, prefix: str) -> list[tuple[str, str]]:
        """See ``api.Leases``."""
        return self.claims.offers.take_unseen(prefix)

    def take_events(self, prefix: str) -> list[LeaseEvent]:
        """See ``api.Leases``."""
        return self.claims.log.take_events(prefix)

    def take_log_events(self) -> list[LeaseEvent]:
        """The events of all resources again, for the log; each is returned once. The oldest are dropped if unread."""
        return self.claims.log.take_log_events()

    def holder(self, resource: str) -> tuple[str, int] | None:
        """See ``api.Leases``."""
        entry = self.voter.entries.get(resource)
        known = []
        if entry is not None and entry.holds:
            known.append((entry.holder, entry.epoch))
        if hint := self.claims.log.hints.get(resource):
            known.append(hint)
        return max(known, key=lambda holder: holder[1], default=None)

    # Messages

    def _dispatch(self, now: int, sender: str, message: LeaseMessage) -> None:
        match message:
            case LeaseRequest():
                self._vote(now, sender, message)
            case VoteReply():
                self._observe(now, sender, message)
                self.claims.on_vote_reply(now, sender, message)
            case Release():
                self.voter.release(sender, message)
            case SuccessorNotice():
                if self.voter.note_successor(now, sender, message):
                    self._reply(sender, message, Decision(Verdict.SUCCESSOR_NOTED))
            case TransferOffer():
                self.epochs.hear(now, message.epoch)
                self.claims.on_transfer_offer(now, sender, message)
            case VoterAnnouncement():
                self._observe(now, sender, message)
                if message.wants_reply:
                    self._announce(sender, wants_reply=False)
            case LeaseTaken():
                self.claims.on_lease_taken(now, sender, message)

    def _vote(self, now: int, sender: str, request: LeaseRequest) -> None:
        if not self.electorate.accepts(now, request):
            self._reply(sender, request, Decision(Verdict.OTHER_LIST))
            return
        decision = self.voter.decide(now, sender, request)
        if decision is None:
            return
        if decision.verdict == Verdict.GRANTED and request.renewal:
            self.claims.log.hints.pop(request.resource, None)  # the voter's entry has the holder now
        self._reply(sender, request, decision)

    def _reply(self, to: str, request: LeaseRequest | SuccessorNotice, decision: Decision) -> None:
        reply = VoteReply(
            request.resource,
            request.boot_epoch,
            request.number,
            decision.verdict,
            self.epochs.highest_epoch,
            self.electorate.hash,
            self.electorate.binding_lists(),
            decision.holder,
            decision.remaining_ms,
        )
        self._outbox.send(to, reply, urgent=decision.verdict in URGENT_VERDICTS)

    def _announce(self, to: str, wants_reply: bool) -> None:
        electorate = self.electorate
        announcement = VoterAnnouncement(
            "", electorate.hash, electorate.binding_lists(), self.epochs.highest_epoch, wants_reply
        )
        self._outbox.send(to, announcement, urgent=False)

    def _observe(self, now: int, sender: str, message: VoteReply | VoterAnnouncement) -> None:
        """Take note of a peer's highest epoch and of its lists."""
        if self.epochs.hear(now, message.highest_epoch):
            self.electorate.record_announcement(now, sender, message.list_hash, message.older_lists)
        if self.electorate.older_lists or now < self.voter.silent_until:
            self.epochs.raise_floor()  # this voter takes over others' promises: new epochs must be above theirs

    def _flush(self, now: int) -> None:
        """Handle messages to this gateway at once; queue the others, and store their epochs before they are sent."""
        queue = self._outbox.queue
        while queue:
            to, message, urgent = queue.pop(0)
            if to == self.name:
                self._dispatch(now, to, message)
            else:
                self._outgoing.append(Message(to, encode_message(message), urgent))
        if self.epochs.highest_epoch > self.epochs.stored:
            self._save()

    def _save(self) -> None:
        epoch = self.epochs.to_store() or self.epochs.stored
        state = _StoredState(epoch, self.electorate.stored_lists(), self.electorate.longest_lease)
        if not self._store.save(msgspec.msgpack.encode(state)):
            self.failed_writes += 1  # not fatal: after a restart the boot epoch keeps epochs rising

    # View

    def view(self, now: int) -> dict[str, Any]:
        """The state for operators; times in ms."""
        held = self._view_held(now)
        granted = self._view_granted(now)
        return {
            "held": dict(list(held.items())[:MAX_SHOWN]),
            "held_count": len(held),
            "wanted": len(self.claims.claims),
            "granted": dict(list(granted.items())[:MAX_SHOWN]),
            "granted_count": len(granted),
            "silent": max(0, self.voter.silent_until - now) // MS,
            "epoch": self.epochs.highest_epoch,
            "list": f"{self.electorate.hash:016x}",
            "older_lists": len(self.electorate.older_lists),
            "doubt": self.electorate.may_be_behind(now),
            "clash": self.voter.clash,
            "counts": self._view_counts(),
        }

    def _view_held(self, now: int) -> dict[str, Any]:
        return {
            claim.resource: {
                "epoch": claim.epoch,
                "left": (claim.until - now) // MS,
                "state": STATE_NAMES[claim.state],
                "voters": list(self.electorate.voters(claim.resource)),
            }
            for claim in self.claims.claims.values()
            if claim.state in HELD_STATES and claim.holds(now)
        }

    def _view_granted(self, now: int) -> dict[str, Any]:
        return {
            resource: {"holder": entry.holder, "epoch": entry.epoch, "left": (entry.until - now) // MS}
            for resource, entry in self.voter.entries.items()
            if now < entry.until
        }

    def _view_counts(self) -> dict[str, int]:
        return {
            "epochs_too_far": self.epochs.refused,
            "full": self.voter.full + self.claims.full + self.claims.offers.rejected,
            "late": self.voter.ignored + self.claims.stale,
            "clashes": self.voter.clashes,
            "lists_forgotten": self.electorate.forgotten,
            "not_kept": self.failed_writes,
            "turns_lost": self.claims.log.events_lost,
        }
