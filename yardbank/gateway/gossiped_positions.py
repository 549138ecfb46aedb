"""Whether positions that another gateway passed on are taken here. No I/O: time (ns) and randomness come in.

Owns: for each server that gossip came on, what was claimed and what this gateway found itself. ``Prober`` alone calls
it. Bound: one entry a listed server, ``MAX_ORIGINS`` marks each.

Nothing is known of a server by gossip alone. Marks of it are taken only while this gateway has lately asked it itself
and found that it has all that was said of it before: marks of one start only rise, so a server that was asked after a
claim and lacks what was claimed shows the claim to be false (or that its copy was put back: no matter which).
No gossip on it is taken any more until it starts anew. So a false claim opens a copy too early for at most
``LOOK``, or ``TRUSTED`` where the server leaves this gateway's question unanswered; what it opened closes by itself as
time goes on, since no position beyond this gateway's own timeline is ever given out.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from random import Random
from typing import Any

from yardbank.gateway.api import SECOND
from yardbank.timeline import LogPosition, Vector, covers

LOOK = 10 * SECOND  # at the latest so long after its last look this gateway looks for itself, while marks come
TRUSTED = 20 * SECOND  # so long after it nothing is taken any more
ASK_AGAIN = SECOND // 4  # a look that brought nothing is made anew after that; doubles up to 32 times
MAX_ORIGINS = 64  # of one report
MAX_MARK_PARTS = 8
MAX_TEXT = 64  # characters of an origin, or of a mark's part


class GossipState(StrEnum):
    """What gossip on one server is worth."""

    UNSEEN = "unseen"  # this gateway has not asked the server itself lately
    AGREED = "agreed"  # it has, and the server had all that was claimed
    FALSE = "false"  # the server lacked something: nothing is taken until it starts anew


UNSEEN, AGREED, FALSE = GossipState
# From, by, to. A new start begins anew with the first.
TABLE = (
    (UNSEEN, "a look that lacks nothing of what was said", AGREED),
    (UNSEEN, "a look that lacks something", FALSE),
    (AGREED, "no look for TRUSTED", UNSEEN),
    (AGREED, "a look that lacks something", FALSE),
)


@dataclass(slots=True)
class _ServerGossip:
    """What was said of one server since its start."""

    started: int
    state: GossipState = UNSEEN
    look_at: int = 0
    until: int = 0  # while agreed
    looking: bool = False
    looked_at: int = 0  # when the last look was begun
    tries: int = 0  # looks in a row that brought nothing
    claimed: dict[str, LogPosition] = field(default_factory=dict)  # since then
    tested: dict[str, LogPosition] = field(default_factory=dict)  # before it: its answer must have all this


def well_formed(marks: Any) -> bool:
    """Whether what came from elsewhere is marks at all, of a bounded size."""
    if not isinstance(marks, Mapping) or not 0 < len(marks) <= MAX_ORIGINS:
        return False
    return all(_is_text(origin) and _is_mark(mark) for origin, mark in marks.items())


def _is_mark(mark: Any) -> bool:
    if not isinstance(mark, tuple) or not 0 < len(mark) <= MAX_MARK_PARTS:
        return False
    return all(type(part) is int or _is_text(part) for part in mark)


def _is_text(text: Any) -> bool:
    return isinstance(text, str) and len(text) <= MAX_TEXT


def _has(vector: Vector, other: Vector) -> bool:
    try:
        return covers(vector, other)
    except TypeError:  # marks of other kinds: nothing that the server says
        return False


class GossipedPositions:
    """What others say of servers' positions, one gateway's.

    ``spread`` (ns): over so long first looks of all gateways spread.
    """

    def __init__(self, random: Random, spread: int) -> None:
        self._random = random
        self._spread = spread
        self._gossip: dict[int, _ServerGossip] = {}
        self.malformed = self.false = 0

    def take(self, now: int, server: int, started: int, marks: Vector) -> bool:
        """Marks that are said to be a server's, of this start; whether they may be used."""
        if not well_formed(marks):
            self.malformed += 1
            return False
        gossip = self._gossip.get(server)
        if gossip is None or gossip.started != started:
            first_look = now + int(self._spread * self._random.random())
            gossip = self._gossip[server] = _ServerGossip(started, look_at=first_look)
        if gossip.state == AGREED and now >= gossip.until:
            gossip.state = UNSEEN
        if gossip.state == FALSE:
            return False
        if len(gossip.claimed.keys() | marks.keys()) > MAX_ORIGINS:
            self.malformed += 1
            return False
        for origin, mark in marks.items():
            if not _has(gossip.claimed, {origin: mark}):
                gossip.claimed[origin] = mark
        return gossip.state == AGREED

    def due(self, now: int, server: int) -> bool:
        """Whether this gateway is to ask the server itself now; it counts as begun."""
        gossip = self._gossip.get(server)
        if gossip is None or gossip.state == FALSE or now < gossip.look_at:
            return False
        gossip.look_at = now + (ASK_AGAIN << min(gossip.tries, 5))
        gossip.looked_at = now
        gossip.looking = True
        gossip.tries += 1
        for origin, mark in gossip.claimed.items():
            if not _has(gossip.tested, {origin: mark}):
                gossip.tested[origin] = mark
        gossip.claimed = {}
        return True

    def seen(self, now: int, server: int, marks: Vector, sent_at: int) -> bool:
        """The server itself told its marks, asked at ``sent_at``; False if that shows gossip on it to be false."""
        gossip = self._gossip.get(server)
        if gossip is None or not gossip.looking or sent_at < gossip.looked_at:
            return True
        tested, gossip.tested, gossip.looking, gossip.tries = gossip.tested, {}, False, 0
        if not _has(marks, tested):
            gossip.state = FALSE
            gossip.claimed = {}
            self.false += 1
            return False
        gossip.state = AGREED
        gossip.until = now + TRUSTED
        gossip.look_at = now + int(LOOK * (1 + self._random.random()) / 2)  # not all gateways at once
        return True

    def dropped(self, server: int) -> None:
        """It is listed no longer."""
        self._gossip.pop(server, None)

    def state(self, server: int) -> GossipState:
        """What gossip on a server is worth now."""
        gossip = self._gossip.get(server)
        return gossip.state if gossip else UNSEEN
