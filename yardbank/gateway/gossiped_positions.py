"""Whether marks that another gateway passed on are taken here. No I/O: time (ns) and randomness come in.

Nothing is known of a server by hearsay alone. Marks of it are taken only while this gateway has lately asked it itself
and found that it has all that was said of it before: marks of one start only rise, so a server that was asked after a
word of it and lacks what that word claimed shows the word to be false (or that its copy was put back: no matter which).
It is then not heard of by others any more until it starts anew. So a false word opens a copy too early for at most
``LOOK``, or ``TRUSTED`` where the server leaves this gateway's question unanswered; what it opened closes by itself as
time goes on, since no position beyond this gateway's own timeline is ever given out.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from random import Random
from typing import Any

from yardbank.gateway.api import SECOND
from yardbank.timeline import LogPosition, Vector, covers

LOOK = 10 * SECOND  # at the latest so long after its last look this gateway looks for itself, while marks come
TRUSTED = 20 * SECOND  # so long after it nothing is taken any more
ASK_AGAIN = SECOND // 4  # a look that brought nothing is made anew after that; doubles up to 32 times
MOST_ORIGINS, MOST_MARK, MOST_TEXT = 64, 8, 64  # origins of one word, parts of a mark, characters of a text
UNSEEN, AGREED, FALSE = "unseen", "agreed", "false"
# From, by, to. A new start begins anew with the first.
TABLE = (
    (UNSEEN, "a look that lacks nothing of what was said", AGREED),
    (UNSEEN, "a look that lacks something", FALSE),
    (AGREED, "no look for TRUSTED", UNSEEN),
    (AGREED, "a look that lacks something", FALSE),
)


@dataclass(slots=True)
class _Word:
    """What was said of one server since its start."""

    started: int
    state: str = UNSEEN
    look_at: int = 0
    until: int = 0  # while agreed
    looking: bool = False
    looked_at: int = 0  # when the last look was begun
    tries: int = 0  # looks in a row that brought nothing
    claimed: dict[str, LogPosition] = field(default_factory=dict)  # since then
    tested: dict[str, LogPosition] = field(default_factory=dict)  # before it: its answer must have all this


def well_formed(marks: Any) -> bool:
    """Whether a word that came from elsewhere is marks at all, of a bounded size."""
    return (
        isinstance(marks, Mapping)
        and 0 < len(marks) <= MOST_ORIGINS
        and all(
            isinstance(origin, str)
            and len(origin) <= MOST_TEXT
            and isinstance(mark, tuple)
            and 0 < len(mark) <= MOST_MARK
            and all(type(part) is int or (isinstance(part, str) and len(part) <= MOST_TEXT) for part in mark)
            for origin, mark in marks.items()
        )
    )


def _has(vector: Vector, other: Vector) -> bool:
    try:
        return covers(vector, other)
    except TypeError:  # marks of other kinds: nothing that the server says
        return False


class GossipedPositions:
    """Words of others on servers, one gateway's. ``spread`` (ns): over so long first looks of all gateways spread."""

    def __init__(self, random: Random, spread: int) -> None:
        self._random, self._spread = random, spread
        self._words: dict[int, _Word] = {}
        self.malformed = self.false = 0

    def take(self, now: int, server: int, started: int, marks: Vector) -> bool:
        """A word on a server with this start; whether it may be used."""
        if not well_formed(marks):
            self.malformed += 1
            return False
        word = self._words.get(server)
        if word is None or word.started != started:
            word = self._words[server] = _Word(started, look_at=now + int(self._spread * self._random.random()))
        if word.state == AGREED and now >= word.until:
            word.state = UNSEEN
        if word.state == FALSE:
            return False
        if len(word.claimed.keys() | marks.keys()) > MOST_ORIGINS:
            self.malformed += 1
            return False
        for origin, mark in marks.items():
            if not _has(word.claimed, {origin: mark}):
                word.claimed[origin] = mark
        return word.state == AGREED

    def due(self, now: int, server: int) -> bool:
        """Whether this gateway is to ask the server itself now; it counts as begun."""
        word = self._words.get(server)
        if word is None or word.state == FALSE or now < word.look_at:
            return False
        word.look_at, word.looked_at, word.looking = now + (ASK_AGAIN << min(word.tries, 5)), now, True
        word.tries += 1
        word.tested |= {origin: mark for origin, mark in word.claimed.items() if not _has(word.tested, {origin: mark})}
        word.claimed = {}
        return True

    def seen(self, now: int, server: int, marks: Vector, sent_at: int) -> bool:
        """The server itself told its marks, asked at ``sent_at``; False if that shows a word on it to be false."""
        word = self._words.get(server)
        if word is None or not word.looking or sent_at < word.looked_at:
            return True
        tested, word.tested, word.looking, word.tries = word.tested, {}, False, 0
        if not _has(marks, tested):
            word.state, word.claimed = FALSE, {}
            self.false += 1
            return False
        word.state, word.until = AGREED, now + TRUSTED
        word.look_at = now + int(LOOK * (1 + self._random.random()) / 2)  # not all gateways at once
        return True

    def dropped(self, server: int) -> None:
        """It is listed no longer."""
        self._words.pop(server, None)

    def state(self, server: int) -> str:
        """What its words are worth now."""
        return word.state if (word := self._words.get(server)) else UNSEEN
