"""What a gateway believes of the marks that a feed's owner tells of servers. No I/O: time (ns) and a seed come in.

Marks of one start of a server only rise. So an owner's word can be checked by asking the server oneself, later: the
answer must have all that was told before. An owner's words on a server are passed on once one such check went well, and
checks go on, drawn by seed. Two in a row that fail are a lie: that owner is not believed for its life. One alone may be
a server that was put back from an old copy; it ends the trust in the word on that server until a check goes well again.

| state of a word (owner, its life, epoch, server) | by | to |
| --- | --- | --- |
| UNTESTED | an own answer, asked later, has all that was told | TRUSTED |
| UNTESTED, TRUSTED | it lacks something | STRUCK |
| STRUCK | a later one has all that was told since | TRUSTED |
| STRUCK | a later one lacks something as well | the owner: DISBELIEVED |

| state of a server | by | to |
| --- | --- | --- |
| SOUND | its marks go back for the same start: its own answer's, or one owner's words on it | BACK |
| BACK | its own answer has all again that was ever told of this start | SOUND |
| any | the list gives another start | SOUND, nothing known |
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field
from random import Random

from yardbank.cluster.channels.api import SECOND
from yardbank.timeline import LogPosition, Vector

UNTESTED, TRUSTED, STRUCK = "untested", "trusted", "struck"
FIRST = 4 * SECOND  # over so long the first checks of all gateways spread
AGAIN = SECOND  # after a check that failed
SPOT = 40 * SECOND  # at most so long between two checks of a trusted word
BACK_EVERY = 5 * SECOND  # so often one that went back is looked at
MOST_LIARS = 256
MOST_ORIGINS = 64  # of a server's marks


def has(vector: Vector, other: Vector) -> bool:
    """Whether one has all of the other; marks that cannot be compared are lacking."""
    try:
        return all(origin in vector and vector[origin] >= mark for origin, mark in other.items())
    except TypeError:
        return False


@dataclass(slots=True, frozen=True)
class Lie:
    """An owner told of a server what it did not have, twice."""

    owner: str
    boot_epoch: int
    server: str


@dataclass(slots=True)
class _Word:
    """What one owner said of one server under one epoch."""

    owner: str
    boot_epoch: int
    epoch: int
    state: str = UNTESTED
    last: Vector = field(default_factory=dict)
    test: Vector | None = None  # what the next answer must have
    tested_at: int = 0  # when that was told
    check_at: int = 0


@dataclass(slots=True)
class _Server:
    started: int
    high: dict[str, LogPosition] = field(default_factory=dict)  # all that was believed or answered
    own: Vector = field(default_factory=dict)  # its own last answer
    own_at: int = 0  # when it was asked for
    back: bool = False
    look_at: int = 0  # while back
    word: _Word | None = None


class Trust:
    """One gateway's belief in what owners say of servers."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self._servers: dict[str, _Server] = {}
        self._liars: dict[tuple[str, int], None] = {}
        self.lies: list[Lie] = []  # found; the caller takes them
        self.not_believed: Counter[str] = Counter()  # words, by why

    def listed(self, servers: Mapping[str, int]) -> None:
        """Servers of the list, and their starts. Another start: nothing is known of it."""
        kept = {name: one for name, one in self._servers.items() if servers.get(name) == one.started}
        self._servers = {name: kept.get(name) or _Server(started) for name, started in servers.items()}

    def told(self, now: int, owner: str, boot_epoch: int, epoch: int, server: str, started: int, marks: Vector) -> bool:
        """An owner's word on a server; whether it may be passed on."""
        known = self._servers.get(server)
        if known is None or known.started != started:
            return self._not("another start")
        if (owner, boot_epoch) in self._liars:
            return self._not("a liar's")
        if len(marks) > MOST_ORIGINS:
            return self._not("too long")
        word = known.word
        if word is None or (word.owner, word.boot_epoch, word.epoch) != (owner, boot_epoch, epoch):
            word = known.word = _Word(owner, boot_epoch, epoch)
        if not has(marks, word.last):
            self._went_back(now, known)
        word.last = dict(marks)
        if word.test is None and (word.state != TRUSTED or now >= word.check_at):
            word.test, word.tested_at = dict(marks), now
            wait = {UNTESTED: FIRST, STRUCK: AGAIN}.get(word.state, 0)
            word.check_at = now + round(wait * self._random.random())
        if known.back:
            return self._not("it went back")
        if word.state != TRUSTED:
            return self._not(word.state)
        self._rise(known, marks)
        return True

    def answered(self, now: int, server: str, marks: Vector, sent_at: int) -> None:
        """The server itself said where it stands, asked at ``sent_at``."""
        known = self._servers.get(server)
        if known is None or sent_at < known.own_at:
            return
        went_back = not has(marks, known.own)
        known.own, known.own_at = dict(marks), sent_at
        if known.back and has(marks, known.high):
            known.back = False
        elif went_back:
            self._went_back(now, known)
        if not known.back:
            self._rise(known, marks)
        word = known.word
        if word is None or word.test is None or sent_at < word.tested_at:
            return
        test, word.test = word.test, None
        if has(marks, test):
            word.state = TRUSTED
            word.check_at = now + round(SPOT * (0.25 + 0.75 * self._random.random()))
        elif known.back:
            word.state = UNTESTED  # it says nothing of the owner
        elif word.state == STRUCK:
            self._lied(server, word)
        else:
            word.state = STRUCK

    def due(self, now: int) -> list[str]:
        """Servers that this gateway is to ask itself now, to check a word; again a while later if no answer comes."""
        found = []
        for name, known in self._servers.items():
            word = known.word
            if word is not None and word.test is not None and now >= word.check_at:
                word.check_at = now + AGAIN
                found.append(name)
            elif known.back and now >= known.look_at:
                known.look_at = now + round(BACK_EVERY * (0.5 + self._random.random()))
                found.append(name)
        return found

    def back(self) -> list[str]:
        """Servers whose marks went back for the same start."""
        return sorted(name for name, known in self._servers.items() if known.back)

    def _went_back(self, now: int, known: _Server) -> None:
        if not known.back:
            known.back, known.look_at = True, now + round(AGAIN * self._random.random())
        if known.word is not None:
            self._rise(known, known.word.last if known.word.state == TRUSTED else {})

    def _rise(self, known: _Server, marks: Vector) -> None:
        for origin, mark in marks.items():
            if origin not in known.high or not has(known.high, {origin: mark}):
                known.high[origin] = mark
        while len(known.high) > MOST_ORIGINS:
            del known.high[next(iter(known.high))]

    def _lied(self, server: str, word: _Word) -> None:
        self._liars[word.owner, word.boot_epoch] = None
        while len(self._liars) > MOST_LIARS:
            del self._liars[next(iter(self._liars))]
        self.lies.append(Lie(word.owner, word.boot_epoch, server))

    def _not(self, why: str) -> bool:
        self.not_believed[why] += 1
        return False
