"""What gateways have seen of database servers themselves, told on as each witness said it. No I/O: time (ns) comes in.

A word is one witness's about one start of one server. Its age is counted where it lies and handed on with it, so no two
clocks are compared. Of one witness and server only the newest word is kept, and none outlives ``LIFE``. Whoever hears a
word of its own that it never said says at once what is so, with a higher number.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from yardbank.cluster.peers.datagram import MAX_NAME, HealthReport

MS, SECOND = 1_000_000, 1_000_000_000
LIFE = 15 * SECOND
AGAIN = 4 * SECOND  # a witness says again what still is so, as long as it matters
SETTLED = SECOND  # so long trouble must have been told before its end is
WELL, SILENT, FAILING, FULL, NOTHING = 1, 2, 3, 4, 5
KINDS = {WELL: "well", SILENT: "silent", FAILING: "failing", FULL: "full", NOTHING: "nothing"}
BAD = frozenset((SILENT, FAILING, FULL))
MAX_WITNESSES = 16  # of one server; beyond, the oldest word gives way
MAX_SERVERS = 512  # that words are kept of; beyond, no new ones are

FirstHand = Mapping[str, tuple[int, int]]  # by server: kind, and the start that it is said of (ms, as the list says)


@dataclass(slots=True)
class Kept:
    """A word as it lies here."""

    word: HealthReport
    since: int  # when what it says was so, on this gateway's clock
    told: int = 0  # how often it was passed on

    def age(self, now: int) -> int:
        """How old what it says is, ns."""
        return now - self.since


class Evidence:
    """One gateway's words, and the others' that have reached it."""

    def __init__(self, name: str, boot_epoch: int) -> None:
        self._name, self.boot_epoch = name, boot_epoch
        self._words: dict[str, dict[str, Kept]] = {}  # by server and witness
        self._peers: set[str] = set()
        self._number = 0
        self.not_kept = 0
        self.corrected = 0  # words of one's own that were never said

    def listed(self, names: Iterable[str]) -> None:
        """The peers; words of others are forgotten."""
        self._peers = set(names)
        for server, by in list(self._words.items()):
            kept = {witness: one for witness, one in by.items() if witness in self._peers or witness == self._name}
            self._set(server, kept)

    def _set(self, server: str, by: dict[str, Kept]) -> None:
        if by:
            self._words[server] = by
        else:
            self._words.pop(server, None)

    def saw(self, now: int, seen: FirstHand) -> None:
        """What this gateway has seen itself, as it is now.

        Trouble is told as it comes, and its end; that a server does well only where somebody says otherwise. So a fleet
        in which all is well is silent.
        """
        self._expire(now)
        for server in seen.keys() | {name for name, by in self._words.items() if self._name in by}:
            kind, started = seen.get(server, (NOTHING, 0))
            own = self._words.get(server, {}).get(self._name)
            disputed = any(
                witness != self._name and one.word.kind in BAD for witness, one in self._words.get(server, {}).items()
            )
            matters = kind in BAD or (kind == WELL and disputed)
            if own is None:
                if matters:
                    self._say(now, server, kind, started)
            elif own.word.kind != kind or (started and own.word.started != started):
                ended = own.word.kind in BAD and own.age(now) >= SETTLED  # what comes and goes is told once
                if matters or ended:
                    self._say(now, server, kind, started or own.word.started)
            elif matters and own.age(now) >= AGAIN:
                self._say(now, server, kind, started)

    def _say(self, now: int, server: str, kind: int, started: int) -> None:
        if len(server.encode()) > MAX_NAME:
            self.not_kept += 1
            return
        self._number += 1
        self._keep(now, HealthReport(self._name, self.boot_epoch, self._number, server, started, kind, 0))

    def heard(self, now: int, words: Iterable[HealthReport]) -> None:
        """Words that came with a datagram, whoever sent it."""
        for word in words:
            if word.witness == self._name:
                self._of_oneself(now, word)
            elif word.witness in self._peers and word.age < LIFE // MS:
                known = self._words.get(word.server, {}).get(word.witness)
                if known is None or (word.boot_epoch, word.number) > (known.word.boot_epoch, known.word.number):
                    self._keep(now, word)

    def _of_oneself(self, now: int, word: HealthReport) -> None:
        if (word.boot_epoch, word.number) <= (self.boot_epoch, self._number):
            return
        if word.boot_epoch > self.boot_epoch:  # of an earlier start, or made up: the detector decides
            return
        self._number = word.number
        self.corrected += 1
        own = self._words.get(word.server, {}).get(self._name)
        self._say(now, word.server, own.word.kind if own else NOTHING, own.word.started if own else word.started)

    def _keep(self, now: int, word: HealthReport) -> None:
        by = self._words.get(word.server)
        if by is None:
            if len(self._words) >= MAX_SERVERS:
                self.not_kept += 1
                return
            by = self._words[word.server] = {}
        if word.witness not in by and len(by) >= MAX_WITNESSES:
            oldest = min((name for name in by if name != self._name), key=lambda name: by[name].since)
            del by[oldest]
            self.not_kept += 1
        by[word.witness] = Kept(word, now - word.age * MS)

    def _expire(self, now: int) -> None:
        for server, by in list(self._words.items()):
            self._set(server, {witness: one for witness, one in by.items() if one.age(now) < LIFE})

    def some(self, now: int, most: int) -> list[HealthReport]:
        """What to tell next: words that were told least often, with their ages as they are now."""
        enough = math.ceil(3 * math.log2(len(self._peers) + 2))
        fresh = [one for by in self._words.values() for one in by.values() if one.told < enough and one.age(now) < LIFE]
        fresh.sort(key=lambda one: one.told)
        found = []
        for one in fresh[:most]:
            one.told += 1
            word = one.word
            found.append(
                HealthReport(
                    word.witness, word.boot_epoch, word.number, word.server, word.started, word.kind, one.age(now) // MS
                )
            )
        return found

    def about(self, now: int, server: str, started: int) -> dict[str, Kept]:
        """Words on this start of a server that still count, by witness, one's own left out."""
        return {
            witness: one
            for witness, one in self._words.get(server, {}).items()
            if witness != self._name and one.word.started == started and one.age(now) < LIFE
        }

    def words(self, server: str) -> Mapping[str, Kept]:
        """All that is said of a server, by witness, one's own word too."""
        return self._words.get(server, {})

    def servers(self) -> list[str]:
        """Servers that there are words of."""
        return sorted(self._words)
