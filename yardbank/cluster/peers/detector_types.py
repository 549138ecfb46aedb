"""What the detector of failures speaks of: states and their table, paces, what it sends, what is known of a peer."""

from __future__ import annotations

from dataclasses import dataclass, field

from yardbank.cluster.peers.datagram import ALIVE, GONE, SUSPECT

SECOND = 1_000_000_000
UNHEARD = 0  # in the list, and no word of it yet
NAMES = {UNHEARD: "unheard", ALIVE: "alive", SUSPECT: "suspect", GONE: "gone"}
# From, by, to.
TABLE = (
    (UNHEARD, "heard, or told of", ALIVE),
    (UNHEARD, "no answer to a probe", SUSPECT),
    (UNHEARD, "told of", GONE),
    (ALIVE, "no answer to a probe, or told of", SUSPECT),
    (SUSPECT, "refuted", ALIVE),
    (SUSPECT, "time is up", GONE),
    (GONE, "a higher incarnation", ALIVE),
)
MAX_RELAYED = 64  # probes for others under way; beyond, they are not taken
MAX_SLOWNESS = 8
REVISIT = 5  # periods: so often one who is gone is pinged, whatever their number
LONELY, SEARCH = 3, 4  # who knows fewer to be alive pings so many more a period, whatever the length of the list
LEAP = 1 << 28  # so far above one's own an incarnation is believed to be an earlier life's: seconds, eight years


@dataclass(slots=True, frozen=True)
class Pace:
    """Times in nanoseconds."""

    period: int = SECOND
    timeout: int = SECOND // 5  # of a direct ping
    helpers: int = 3
    suspicion: float = 4.0  # periods, times the logarithm of the fleet's size: the shortest one
    patience: float = 4.0  # the longest one as a multiple of that
    confirmations: int = 3  # so many others make it the shortest


@dataclass(slots=True, frozen=True)
class OutgoingProbe:
    """Send this to a peer."""

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
    heard_at: int = 0  # a datagram of its own; 0: never
    witness: str = ""


@dataclass(slots=True)
class Probe:
    """One's own, under way."""

    number: int
    target: str
    ask_at: int  # when others are asked; 0: they were
    end_at: int
    asked: int = 0  # others, to ping it
    helpers: int = 0  # of them not heard of yet


@dataclass(slots=True)
class Relayed:
    """A probe made for another."""

    asker: str
    number: int
    target: str
    until: int


@dataclass(slots=True)
class Suspicion:
    """One who may be gone, and who says so."""

    since: int
    until: int
    witnesses: set[str] = field(default_factory=set)
