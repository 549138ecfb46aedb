"""Types of the failure detector: states and transitions, timing, probes, and what is known of a peer."""

from __future__ import annotations

from dataclasses import dataclass, field

from yardbank.cluster.peers.datagram import ALIVE, GONE, SUSPECT

SECOND = 1_000_000_000
UNHEARD = 0  # listed, but nothing heard from or of it yet
STATE_NAMES = {UNHEARD: "unheard", ALIVE: "alive", SUSPECT: "suspect", GONE: "gone"}
# From state, cause, to state.
TRANSITIONS = (
    (UNHEARD, "heard, or told of", ALIVE),
    (UNHEARD, "no answer to a probe", SUSPECT),
    (UNHEARD, "told of", GONE),
    (ALIVE, "no answer to a probe, or told of", SUSPECT),
    (SUSPECT, "refuted", ALIVE),
    (SUSPECT, "time is up", GONE),
    (GONE, "a higher incarnation", ALIVE),
)
MAX_RELAYED = 64  # concurrent probes for others; further requests are ignored
MAX_SLOWNESS = 8
GONE_PING_PERIODS = 5  # one gone peer is pinged every this many periods, however many are gone
# With fewer than FEW_ALIVE peers alive, EXTRA_PINGS more are pinged a period, however long the list is.
FEW_ALIVE, EXTRA_PINGS = 3, 4
# An incarnation at most this far above a gateway's own is taken to be from an earlier start. Boot epochs count seconds,
# so this is over eight years.
MAX_INCARNATION_LEAD = 1 << 28


@dataclass(slots=True, frozen=True)
class Pace:
    """Timing of the failure detector, in nanoseconds."""

    period: int = SECOND
    timeout: int = SECOND // 5  # of a direct ping
    helpers: int = 3  # peers asked to ping a peer that did not answer
    suspicion: float = 4.0  # shortest suspicion, in periods times the logarithm of the fleet's size
    patience: float = 4.0  # longest suspicion, as a multiple of the shortest
    confirmations: int = 3  # confirmations by others that make a suspicion the shortest


@dataclass(slots=True, frozen=True)
class OutgoingProbe:
    """A probe, or the reply to one, to send to a peer."""

    to: str
    kind: str
    number: int
    target: str = ""


@dataclass(slots=True, frozen=True)
class Change:
    """A peer's state has changed."""

    name: str
    state: int
    incarnation: int


@dataclass(slots=True)
class Peer:
    """What is known of one peer."""

    name: str
    state: int = UNHEARD
    incarnation: int = 0
    changed_at: int = 0
    heard_at: int = 0  # when its last datagram came; 0: never
    witness: str = ""


@dataclass(slots=True)
class Probe:
    """This gateway's own probe in progress."""

    number: int
    target: str
    ask_at: int  # when helpers are asked; 0: they were asked
    end_at: int
    asked: int = 0  # helpers asked to ping the target
    helpers: int = 0  # helpers that have not replied yet


@dataclass(slots=True)
class RelayedProbe:
    """A probe made on behalf of another gateway."""

    asker: str
    number: int
    target: str
    until: int


@dataclass(slots=True)
class Suspicion:
    """The suspicion that a peer is gone, and the gateways that share it."""

    since: int
    until: int
    witnesses: set[str] = field(default_factory=set)
