"""Phases of a channel at a gateway that would own it, and what moves it from one to another.

Invariant: a phase changes only as ``TABLE`` says; ``Election`` counts every change. Values of the phases are what
operators see in ``view`` and stay as they are.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum


class OwnershipPhase(StrEnum):
    """How far this gateway is with a channel."""

    IDLE = "apart"  # another owns it
    WAITING = "waiting"  # its owner is silent; to become a candidate at ``candidacy_at``
    CANDIDATE = "bidding"  # the lease is requested
    TAKING_OVER = "entering"  # the lease is granted; the former owner is to say where it ended
    OWNER = "carrying"
    TRANSFERRING = "handing"  # still the owner, until the successor has the lease


# From, by, to.
TABLE = (
    (OwnershipPhase.IDLE, "its owner is silent, or said that it ended", OwnershipPhase.WAITING),
    (OwnershipPhase.WAITING, "an owner speaks", OwnershipPhase.IDLE),
    (OwnershipPhase.WAITING, "its candidacy is due", OwnershipPhase.CANDIDATE),
    (OwnershipPhase.IDLE, "its owner transfers it to this gateway", OwnershipPhase.CANDIDATE),
    (OwnershipPhase.WAITING, "its owner transfers it to this gateway", OwnershipPhase.CANDIDATE),
    (OwnershipPhase.CANDIDATE, "another has it, or not granted for long", OwnershipPhase.IDLE),
    (OwnershipPhase.CANDIDATE, "granted", OwnershipPhase.OWNER),
    (OwnershipPhase.CANDIDATE, "granted, and the former owner is to say where it ended", OwnershipPhase.TAKING_OVER),
    (OwnershipPhase.TAKING_OVER, "that was said, or the overlap is over", OwnershipPhase.OWNER),
    (OwnershipPhase.OWNER, "a planned transfer has begun", OwnershipPhase.TRANSFERRING),
    (OwnershipPhase.TRANSFERRING, "not taken in time", OwnershipPhase.OWNER),
    (OwnershipPhase.OWNER, "others have seen a higher epoch", OwnershipPhase.CANDIDATE),
    (OwnershipPhase.TAKING_OVER, "the lease ended", OwnershipPhase.CANDIDATE),
    (OwnershipPhase.OWNER, "the lease ended", OwnershipPhase.CANDIDATE),
    (OwnershipPhase.TRANSFERRING, "the lease ended", OwnershipPhase.IDLE),
)
NOT_REQUESTED = frozenset({OwnershipPhase.IDLE, OwnershipPhase.WAITING})
LEASED = frozenset({OwnershipPhase.TAKING_OVER, OwnershipPhase.OWNER, OwnershipPhase.TRANSFERRING})
CHANGING = frozenset({OwnershipPhase.CANDIDATE, OwnershipPhase.TAKING_OVER, OwnershipPhase.TRANSFERRING})
PUBLISHING = frozenset({OwnershipPhase.OWNER, OwnershipPhase.TRANSFERRING})


@dataclass(slots=True)
class OwnerState:
    """One channel that this gateway would own. Times in ns."""

    since: int  # when it became of interest
    state: OwnershipPhase = OwnershipPhase.IDLE
    epoch: int = 0
    at: int = 0  # when the phase began
    candidacy_at: int = 0  # when WAITING ends
    not_before: int = 0  # no candidacy earlier
    source: str = ""  # who transfers it to this gateway
    asked_at: int = 0  # when that one was last asked where it ended
    to: str = ""  # whom it is transferred to
    tried: set[str] = field(default_factory=set)  # successors that did not take it
    contested_at: int = 0
    better_since: int = 0  # another gateway would be a better owner; 0: none
