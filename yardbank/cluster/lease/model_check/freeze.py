"""Copies of one gateway's lease state, and keys that are equal for states with the same possible futures. No I/O."""

from __future__ import annotations

from operator import attrgetter
from random import Random
from typing import Any

from yardbank.cluster.lease.claim import Claim
from yardbank.cluster.lease.claims import Claims
from yardbank.cluster.lease.electorate import Electorate
from yardbank.cluster.lease.epochs import Epochs
from yardbank.cluster.lease.holder import Holder
from yardbank.cluster.lease.outbox import Outbox
from yardbank.cluster.lease.ownership_log import OwnershipLog
from yardbank.cluster.lease.part import LeasePart
from yardbank.cluster.lease.proposer import Proposer
from yardbank.cluster.lease.transfer_offers import TransferOffers
from yardbank.cluster.lease.voter import Voter

# Fields that are changed in place and must be copied; the others are shared between copies or replaced by ``copy_of``.
_MUTABLE_FIELDS: dict[type, tuple[str, ...]] = {
    Claim: ("grants", "requests", "refusals", "informed_voters"),
    Epochs: (),
    Electorate: ("older_lists", "announcements"),
    Voter: ("entries",),
    Outbox: ("queue",),
    TransferOffers: ("offers", "unseen"),
    OwnershipLog: ("events", "log_events", "hints"),
    Proposer: (),
    Holder: ("claims",),
    Claims: (),
    LeasePart: (),
}
_SLOTS = {
    kind: tuple(slot for base in kind.__mro__ for slot in getattr(base, "__slots__", ())) for kind in _MUTABLE_FIELDS
}
_GET_SLOTS = {kind: attrgetter(*slots) for kind, slots in _SLOTS.items()}


def _copy(value: Any) -> Any:
    kind = type(value)
    duplicate = object.__new__(kind)
    for slot, content in zip(_SLOTS[kind], _GET_SLOTS[kind](value), strict=True):
        setattr(duplicate, slot, content)
    for slot in _MUTABLE_FIELDS[kind]:
        setattr(duplicate, slot, getattr(value, slot).copy())
    return duplicate


def copy_of(part: LeasePart) -> LeasePart:
    """A copy that shares no mutable state. Outgoing messages must have been collected before: they are not copied."""
    duplicate: LeasePart = _copy(part)
    duplicate.epochs = _copy(part.epochs)
    duplicate.electorate = _copy(part.electorate)
    duplicate.voter = _copy(part.voter)
    duplicate.claims = _copy(part.claims)
    duplicate.voter._epochs = duplicate.epochs
    duplicate._outbox = _copy(part._outbox)
    duplicate._outgoing = []
    _copy_claims(duplicate.claims, duplicate)
    return duplicate


def _copy_claims(claims: Claims, part: LeasePart) -> None:
    """Copy the objects that the claims consist of, and link them to the copies in ``part``."""
    claims._electorate = part.electorate
    claims._outbox = part._outbox
    claims.offers = _copy(claims.offers)
    claims.log = _copy(claims.log)
    proposer: Proposer = _copy(claims.proposer)
    proposer._electorate = part.electorate
    proposer._epochs = part.epochs
    proposer._outbox = part._outbox
    proposer._offers = claims.offers
    claims.proposer = proposer
    holder: Holder = _copy(claims.holder)
    holder._electorate = part.electorate
    holder._outbox = part._outbox
    holder._offers = claims.offers
    holder._log = claims.log
    holder._proposer = proposer
    holder.claims = {resource: _copy(claim) for resource, claim in holder.claims.items()}
    claims.holder = holder


class ZeroRandom(Random):
    """Always draws 0, so that every gateway may act as early as possible; longer waits are modelled as stops."""

    def random(self) -> float:
        """Return 0."""
        return 0.0

    def __reduce__(self) -> Any:
        return ZeroRandom, ()


NumberedMessage = tuple[str, int, int]  # requester, its boot epoch, message number


def key(part: LeasePart, now: int) -> tuple[tuple[Any, ...], tuple[NumberedMessage, ...]]:
    """Everything that determines the part's future behaviour, and separately the message numbers.

    Of the numbers only the order matters. Times are relative to ``now``; times in the past count as 0.
    """

    def ahead(at: int) -> int:
        return at - now if at > now else 0

    held, overlap = part.terms.holding_time(), part.terms.overlap
    numbers: list[NumberedMessage] = []
    claims = []
    for claim in part.claims.claims.values():
        sent = [(number, at + held - now) for number, at in claim.requests.items() if at + held > now]
        numbers += [(part.name, part.boot_epoch, number) for number, _ in sent]
        numbers.append((part.name, part.boot_epoch, claim.notice_number))
        claims.append(
            (
                claim.resource,
                claim.state,
                claim.epoch,
                ahead(claim.until),
                ahead(claim.due_at),
                ahead(claim.vote_deadline),
                ahead(claim.held_since + overlap),
                claim.until - claim.round_started_at,
                ahead(claim.round_started_at + held),
                claim.raised_epochs,
                claim.successor,
                claim.contested,
                claim.first_voter,
                ahead(claim.transfer_until),
                ahead(claim.reclaim_at),
                tuple(left for _, left in sent),
                tuple(sorted((voter, end - now) for voter, end in claim.grants.items() if end > now)),
                tuple(sorted((voter, ahead(at)) for voter, at in claim.refusals.items())),
                tuple(sorted(claim.informed_voters)),
            )
        )
    entries = []
    for name, entry in part.voter.entries.items():
        numbers.append((entry.holder, entry.boot_epoch, entry.number))
        bound = (entry.until - now, entry.successor, entry.holds) if entry.until > now else ()
        entries.append((name, *entry[:3], bound, entry.highest))
    offers = tuple((name, *offer[:2], ahead(offer[2] + overlap)) for name, offer in part.claims.offers.offers.items())
    electorate = part.electorate
    epochs = part.epochs
    lease = part.claims.longest_lease
    announcements = tuple(
        (name, last.hash, last.older_lists, ahead(last.since + lease), ahead(last.at + 2 * lease))
        for name, last in sorted(electorate.announcements.items())
    )
    older_lists = tuple((older.hash, ahead(older.since + lease)) for older in electorate.older_lists)
    state = (
        part.boot_epoch,
        tuple(claims),
        tuple(entries),
        offers,
        ahead(part.voter.silent_until),
        electorate.hash,
        older_lists,
        electorate.past_lists,
        announcements,
        electorate.without_memory,
        ahead(electorate._announce_at),
        electorate._last_peer,
        epochs.highest_epoch,
        epochs.floor,
        epochs.stored,
    )
    return state, tuple(numbers)
