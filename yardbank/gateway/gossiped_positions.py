"""Decides whether log positions reported by other gateways are used. No I/O: time (ns) and randomness are passed in.

Owns: for each server that gossip was received on, what was claimed and what this gateway observed itself. Only
``Prober`` calls it. Bound: one entry per listed server, ``MAX_ORIGINS`` positions each.

Gossip alone is never trusted. Reported positions are used only if this gateway has recently probed the server itself
and found everything that was reported before. Positions of one start of a server only rise, so if a server that is
probed after a claim lacks what was claimed, the claim is false (or the server was restored from an older copy; the
two are treated alike). Gossip on that server is then ignored until the server restarts. A false claim can thus make a
replica eligible too early for at most ``PROBE_INTERVAL``, or ``TRUST_PERIOD`` if the server does not answer this
gateway's probe. The effect is transient, since no position beyond this gateway's own timeline is ever assigned.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from random import Random
from typing import Any

from yardbank.gateway.api import SECOND
from yardbank.timeline import LogPosition, Vector, covers

PROBE_INTERVAL = 10 * SECOND  # longest time between own probes of a server while gossip on it arrives
TRUST_PERIOD = 20 * SECOND  # time after the last own probe until gossip is no longer used
RETRY_DELAY = SECOND // 4  # delay before an unanswered probe is repeated; doubles up to 32 times this
MAX_ORIGINS = 64  # origins in one report
MAX_POSITION_PARTS = 8
MAX_TEXT_CHARS = 64  # characters in an origin, or in a component of a position


class GossipState(StrEnum):
    """How far gossip on one server is trusted."""

    UNSEEN = "unseen"  # this gateway has not probed the server recently
    AGREED = "agreed"  # it has, and the server had reached all that was claimed
    FALSE = "false"  # the server had not reached a claimed position: gossip is ignored until it restarts


UNSEEN, AGREED, FALSE = GossipState
# State, event, next state. A restart of the server begins again with the first state.
TRANSITIONS = (
    (UNSEEN, "a probe that confirms all claims", AGREED),
    (UNSEEN, "a probe that contradicts a claim", FALSE),
    (AGREED, "no probe for TRUST_PERIOD", UNSEEN),
    (AGREED, "a probe that contradicts a claim", FALSE),
)


@dataclass(slots=True)
class _ServerGossip:
    """Gossip received on one server since its start."""

    started: int
    state: GossipState = UNSEEN
    next_probe_at: int = 0
    trusted_until: int = 0  # end of the trust period, in state AGREED
    probing: bool = False
    probe_started_at: int = 0  # when the last probe was started
    unanswered_probes: int = 0  # consecutive probes without an answer
    claimed: dict[str, LogPosition] = field(default_factory=dict)  # claimed since the last probe was started
    claims_to_verify: dict[str, LogPosition] = field(default_factory=dict)  # claimed before: the answer must cover them


def well_formed(marks: Any) -> bool:
    """Whether data from outside is a valid set of log positions of bounded size."""
    if not isinstance(marks, Mapping) or not 0 < len(marks) <= MAX_ORIGINS:
        return False
    return all(_is_text(origin) and _is_position(mark) for origin, mark in marks.items())


def _is_position(mark: Any) -> bool:
    if not isinstance(mark, tuple) or not 0 < len(mark) <= MAX_POSITION_PARTS:
        return False
    return all(type(part) is int or _is_text(part) for part in mark)


def _is_text(text: Any) -> bool:
    return isinstance(text, str) and len(text) <= MAX_TEXT_CHARS


def _covers(vector: Vector, other: Vector) -> bool:
    try:
        return covers(vector, other)
    except TypeError:  # positions of another type: nothing that this server reports
        return False


class GossipedPositions:
    """Gossip that one gateway has received on servers' log positions.

    ``spread`` (ns): the first probes of all gateways are spread over this time.
    """

    def __init__(self, random: Random, spread: int) -> None:
        self._random = random
        self._spread = spread
        self._gossip: dict[int, _ServerGossip] = {}
        self.malformed = self.false = 0

    def record_claim(self, now: int, server: int, started: int, marks: Vector) -> bool:
        """Record positions claimed for a server and this start of it; returns whether they may be used."""
        if not well_formed(marks):
            self.malformed += 1
            return False
        gossip = self._gossip.get(server)
        if gossip is None or gossip.started != started:
            first_probe_at = now + int(self._spread * self._random.random())
            gossip = self._gossip[server] = _ServerGossip(started, next_probe_at=first_probe_at)
        if gossip.state == AGREED and now >= gossip.trusted_until:
            gossip.state = UNSEEN
        if gossip.state == FALSE:
            return False
        if len(gossip.claimed.keys() | marks.keys()) > MAX_ORIGINS:
            self.malformed += 1
            return False
        for origin, mark in marks.items():
            if not _covers(gossip.claimed, {origin: mark}):
                gossip.claimed[origin] = mark
        return gossip.state == AGREED

    def probe_due(self, now: int, server: int) -> bool:
        """Whether this gateway should probe the server now; if so, the probe counts as started."""
        gossip = self._gossip.get(server)
        if gossip is None or gossip.state == FALSE or now < gossip.next_probe_at:
            return False
        gossip.next_probe_at = now + (RETRY_DELAY << min(gossip.unanswered_probes, 5))
        gossip.probe_started_at = now
        gossip.probing = True
        gossip.unanswered_probes += 1
        for origin, mark in gossip.claimed.items():
            if not _covers(gossip.claims_to_verify, {origin: mark}):
                gossip.claims_to_verify[origin] = mark
        gossip.claimed = {}
        return True

    def record_answer(self, now: int, server: int, marks: Vector, sent_at: int) -> bool:
        """Record the server's own answer to a probe sent at ``sent_at``; False if it contradicts gossip on it."""
        gossip = self._gossip.get(server)
        if gossip is None or not gossip.probing or sent_at < gossip.probe_started_at:
            return True
        claims_to_verify, gossip.claims_to_verify, gossip.probing, gossip.unanswered_probes = (
            gossip.claims_to_verify,
            {},
            False,
            0,
        )
        if not _covers(marks, claims_to_verify):
            gossip.state = FALSE
            gossip.claimed = {}
            self.false += 1
            return False
        gossip.state = AGREED
        gossip.trusted_until = now + TRUST_PERIOD
        # Randomized, so that gateways do not all probe at the same time.
        gossip.next_probe_at = now + int(PROBE_INTERVAL * (1 + self._random.random()) / 2)
        return True

    def forget(self, server: int) -> None:
        """Forget a server that is no longer listed."""
        self._gossip.pop(server, None)

    def state(self, server: int) -> GossipState:
        """Return how far gossip on a server is trusted now."""
        gossip = self._gossip.get(server)
        return gossip.state if gossip else UNSEEN
