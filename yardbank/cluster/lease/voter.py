"""The promises of one voter. No I/O: time (ns, its own clock) is an argument.

Owns one entry per resource, at most ``MAX_RESOURCES``. A promise binds for one term of the voter's clock from when it
was given. Promises are not stored: after a start a voter is silent until every promise that it may have given has
expired, so safety depends on no store, and an old store does no harm. See Gray and Cheriton, Leases (SOSP 1989).
"""

from __future__ import annotations

from typing import NamedTuple

from yardbank.cluster.lease.api import LeaseTerms
from yardbank.cluster.lease.epochs import Epochs
from yardbank.cluster.lease.messages import LeaseRequest, Release, SuccessorNotice, Verdict
from yardbank.cluster.lease.timing import max_lease_duration, vote_time

MAX_RESOURCES = 4096
MS = 1_000_000


class Entry(NamedTuple):
    """What the voter knows of one resource. The promise binds until ``until``."""

    holder: str = ""
    boot_epoch: int = 0
    epoch: int = 0
    number: int = 0  # of the last message taken from the holder
    until: int = 0
    successor: str = ""  # may be granted the lease before ``until``
    holds: bool = False  # the holder has shown that it holds the lease; else it was only a candidate
    highest: int = 0  # highest epoch ever granted or renewed here


class Decision(NamedTuple):
    """The content of a reply."""

    verdict: Verdict
    holder: str = ""
    remaining_ms: int = 0


class Voter:
    """One gateway as a voter."""

    __slots__ = ("_epochs", "_terms", "clash", "clashes", "entries", "full", "ignored", "silent_until")

    def __init__(self, terms: LeaseTerms, epochs: Epochs) -> None:
        self._terms = terms
        self._epochs = epochs
        self.entries: dict[str, Entry] = {}
        self.silent_until = 0
        self.full = 0  # requests refused because the table is full of resources with binding promises
        self.ignored = 0  # late or duplicate messages
        self.clashes = 0  # times that two gateways claimed to hold one resource
        self.clash = ""  # the last such case

    def begin(self, now: int, longest: int) -> None:
        """After a start: stay silent until all earlier promises have expired. ``longest``: the longest lease before."""
        self.silent_until = now + max(longest, max_lease_duration(self._terms))

    def decide(self, now: int, sender: str, request: LeaseRequest) -> Decision | None:
        """Decide on a request; None: it is late or a duplicate and gets no reply."""
        if now < self.silent_until:
            return Decision(Verdict.SILENT, remaining_ms=_ms(self.silent_until - now))
        entry = self.entries.get(request.resource) or Entry()
        is_same_sender = (entry.holder, entry.boot_epoch) == (sender, request.boot_epoch)
        if is_same_sender and request.number <= entry.number:
            self.ignored += 1
            return None
        if now < entry.until and not is_same_sender and (request.renewal or entry.successor != sender):
            return self._refuse_other(now, sender, request, entry)
        if self._is_epoch_used(now, request, entry, is_same_sender):
            return Decision(Verdict.EPOCH_USED)
        if not self._epochs.hear(now, request.epoch):
            return Decision(Verdict.EPOCH_TOO_FAR)
        if request.resource not in self.entries and not self._make_room(now):
            self.full += 1
            return Decision(Verdict.FULL)
        self.entries[request.resource] = Entry(
            sender,
            request.boot_epoch,
            request.epoch,
            request.number,
            until=now + self._terms.term,
            holds=request.renewal,
            highest=max(entry.highest, request.epoch),
        )
        return Decision(Verdict.GRANTED)

    def _refuse_other(self, now: int, sender: str, request: LeaseRequest, entry: Entry) -> Decision:
        """The refusal of a request while the promise binds to another gateway."""
        if entry.holds and request.renewal:
            self.clashes += 1
            self.clash = f"{request.resource}: {entry.holder} and {sender}"
        remaining = entry.until - now
        verdict = Verdict.OTHER_CANDIDATE
        if entry.holds or remaining < self._terms.term - vote_time(self._terms):  # granted longer ago than a vote takes
            verdict = Verdict.HELD
        return Decision(verdict, entry.holder, _ms(remaining))

    def _is_epoch_used(self, now: int, request: LeaseRequest, entry: Entry, is_same_sender: bool) -> bool:
        if request.renewal:
            return now < entry.until and entry.epoch != request.epoch  # the sender has requested another epoch since
        if is_same_sender and request.epoch == entry.epoch:
            return False
        return request.epoch <= max(entry.highest, self._epochs.floor)

    def note_successor(self, now: int, sender: str, notice: SuccessorNotice) -> bool:
        """Note the successor that the holder names; returns whether it was noted. The next renewal revokes it."""
        entry = self._entry_of(sender, notice)
        if entry is None or now >= entry.until:
            return False
        self.entries[notice.resource] = entry._replace(successor=notice.successor, number=notice.number, holds=True)
        return True

    def release(self, sender: str, message: Release) -> None:
        """Free the resource: its holder or candidate gave it up."""
        entry = self._entry_of(sender, message)
        if entry is not None:
            self.entries[message.resource] = entry._replace(until=0, number=message.number, successor="", holds=False)

    def _entry_of(self, sender: str, message: SuccessorNotice | Release) -> Entry | None:
        """The entry that a message from its holder is about; None: it is late or about another lease."""
        entry = self.entries.get(message.resource)
        if entry is None:
            return None
        if (entry.holder, entry.boot_epoch, entry.epoch) != (sender, message.boot_epoch, message.epoch):
            return None
        if message.number <= entry.number:
            self.ignored += 1
            return None
        return entry

    def _make_room(self, now: int) -> bool:
        """Make room for one more resource; returns whether there is any.

        Entries that no longer bind are removed; the floor rises to their epochs, so that none can be used again.
        """
        if len(self.entries) < MAX_RESOURCES:
            return True
        for resource in [resource for resource, entry in self.entries.items() if entry.until <= now]:
            self._epochs.floor = max(self._epochs.floor, self.entries.pop(resource).highest)
        return len(self.entries) < MAX_RESOURCES


def _ms(span: int) -> int:
    """Milliseconds, rounded up."""
    return -(-span // MS)
