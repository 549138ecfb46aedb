"""One voter's promises. No I/O: time (ns, its own clock) comes in.

A promise binds for one term of the voter's clock from when it was given. It outlives no start: a voter that has just
started is silent until every promise that it may have given is over, so nothing needs to be stored for safety, and an
old store does no harm. Gray and Cheriton, Leases (SOSP 1989).
"""

from __future__ import annotations

from typing import NamedTuple

from yardbank.cluster.lease.api import LeaseTerms
from yardbank.cluster.lease.epochs import Epochs
from yardbank.cluster.lease.messages import (
    FAR,
    FULL,
    GRANTED,
    HELD,
    LOW,
    SILENT,
    TAKEN,
    LeaseRequest,
    Release,
    SuccessorNotice,
)
from yardbank.cluster.lease.timing import long_lease, vote_time

MAX_RESOURCES = 4096
MS = 1_000_000


class Entry(NamedTuple):
    """What is known of one resource; bound while ``until`` is ahead."""

    holder: str = ""
    boot_epoch: int = 0
    epoch: int = 0
    number: int = 0  # of the holder's last word that was taken
    until: int = 0
    next: str = ""  # may have it before that
    holds: bool = False  # it has said that it holds; else it was only a candidate
    highest: int = 0  # epoch that was ever granted or renewed here


class Verdict(NamedTuple):
    """What is answered; ``left`` in ms."""

    verdict: int
    holder: str = ""
    left: int = 0


class Voter:
    """One gateway as a voter."""

    __slots__ = ("_epochs", "_terms", "clash", "clashes", "entries", "full", "ignored", "silent_until")

    def __init__(self, terms: LeaseTerms, epochs: Epochs) -> None:
        self._terms, self._epochs = terms, epochs
        self.entries: dict[str, Entry] = {}
        self.silent_until = 0
        self.full = 0  # asks refused because too many resources are bound
        self.ignored = 0  # late or doubled words
        self.clashes = 0  # two said that they hold one resource; see ``clash``
        self.clash = ""

    def begin(self, now: int, longest: int) -> None:
        """After a start: be silent until all that was promised before is over, ``longest`` by any terms before."""
        self.silent_until = now + max(longest, long_lease(self._terms))

    def ask(self, now: int, sender: str, ask: LeaseRequest) -> Verdict | None:
        """One that asks; None: a late word, not to be answered."""
        if now < self.silent_until:
            return Verdict(SILENT, left=_ms(self.silent_until - now))
        entry = self.entries.get(ask.resource) or Entry()
        same = (entry.holder, entry.boot_epoch) == (sender, ask.boot_epoch)
        if same and ask.number <= entry.number:
            self.ignored += 1
            return None
        bound = now < entry.until
        if bound and not same and (ask.renewal or entry.next != sender):
            if entry.holds and ask.renewal:
                self.clashes, self.clash = self.clashes + 1, f"{ask.resource}: {entry.holder} and {sender}"
            left = entry.until - now
            lasting = entry.holds or left < self._terms.term - vote_time(self._terms)  # no vote takes so long
            return Verdict(HELD if lasting else TAKEN, entry.holder, _ms(left))
        if ask.renewal:
            if bound and entry.epoch != ask.epoch:
                return Verdict(LOW)  # it has asked for another since
        elif ask.epoch <= max(entry.highest, self._epochs.floor) and not (same and ask.epoch == entry.epoch):
            return Verdict(LOW)
        if not self._epochs.hear(now, ask.epoch):
            return Verdict(FAR)
        if ask.resource not in self.entries and not self._room(now):
            self.full += 1
            return Verdict(FULL)
        highest = max(entry.highest, ask.epoch)
        until = now + self._terms.term
        self.entries[ask.resource] = Entry(
            sender, ask.boot_epoch, ask.epoch, ask.number, until, "", ask.renewal, highest
        )
        return Verdict(GRANTED)

    def name(self, now: int, sender: str, word: SuccessorNotice) -> bool:
        """The holder says who is next; whether that is noted. Its next renewal takes it back."""
        entry = self._of(sender, word)
        if entry is None or now >= entry.until:
            return False
        self.entries[word.resource] = entry._replace(next=word.next, number=word.number, holds=True)
        return True

    def release(self, sender: str, word: Release) -> None:
        """The holder needs it no more."""
        if (entry := self._of(sender, word)) is not None:
            self.entries[word.resource] = entry._replace(until=0, number=word.number, next="", holds=False)

    def _of(self, sender: str, word: SuccessorNotice | Release) -> Entry | None:
        """The entry that a word of its holder is about; None: it is late, or about another ownership."""
        entry = self.entries.get(word.resource)
        if entry is None or (entry.holder, entry.boot_epoch, entry.epoch) != (sender, word.boot_epoch, word.epoch):
            return None
        if word.number <= entry.number:
            self.ignored += 1
            return None
        return entry

    def _room(self, now: int) -> bool:
        """Whether one more resource can be taken; those that are free make room. No epoch is forgotten by that."""
        if len(self.entries) < MAX_RESOURCES:
            return True
        for resource in [resource for resource, entry in self.entries.items() if entry.until <= now]:
            self._epochs.floor = max(self._epochs.floor, self.entries.pop(resource).highest)
        return len(self.entries) < MAX_RESOURCES


def _ms(span: int) -> int:
    return -(-span // MS)
