"""Phases of a channel at a gateway that owns or would own it, and the transitions between them.

Invariant: a phase changes only as listed in ``TRANSITIONS``; ``ChannelTable.move`` counts every change. The values of
the phases are shown to operators in ``view`` and must not change.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum


class OwnershipPhase(StrEnum):
    """Phase of a channel at this gateway."""

    IDLE = "apart"  # another gateway owns it
    WAITING = "waiting"  # its owner is silent; becomes a candidate at ``candidacy_at``
    CANDIDATE = "bidding"  # the lease has been requested
    TAKING_OVER = "entering"  # the lease is granted; waits until the former owner reports the end of its epoch
    OWNER = "carrying"
    TRANSFERRING = "handing"  # still the owner, until the successor has the lease


# From, cause, to.
TRANSITIONS = (
    (OwnershipPhase.IDLE, "its owner is silent, or reported the end of its epoch", OwnershipPhase.WAITING),
    (OwnershipPhase.WAITING, "an owner is heard", OwnershipPhase.IDLE),
    (OwnershipPhase.WAITING, "its candidacy is due", OwnershipPhase.CANDIDATE),
    (OwnershipPhase.IDLE, "its owner transfers it to this gateway", OwnershipPhase.CANDIDATE),
    (OwnershipPhase.WAITING, "its owner transfers it to this gateway", OwnershipPhase.CANDIDATE),
    (OwnershipPhase.CANDIDATE, "another gateway owns it, or the lease was not granted in time", OwnershipPhase.IDLE),
    (OwnershipPhase.CANDIDATE, "the lease is granted", OwnershipPhase.OWNER),
    (OwnershipPhase.CANDIDATE, "granted; the former owner has yet to report its end", OwnershipPhase.TAKING_OVER),
    (OwnershipPhase.TAKING_OVER, "the former owner reported its end, or the overlap is over", OwnershipPhase.OWNER),
    (OwnershipPhase.OWNER, "a planned transfer has begun", OwnershipPhase.TRANSFERRING),
    (OwnershipPhase.TRANSFERRING, "the successor did not take it in time", OwnershipPhase.OWNER),
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
    """State of one channel that this gateway owns or would own. Times in ns."""

    interested_since: int  # since when this gateway would own it
    phase: OwnershipPhase = OwnershipPhase.IDLE
    epoch: int = 0
    phase_since: int = 0
    candidacy_at: int = 0  # when WAITING ends
    no_candidacy_before: int = 0
    offered_by: str = ""  # the owner that transfers it to this gateway
    end_queried_at: int = 0  # when that owner was last asked for the end of its epoch
    successor: str = ""  # the gateway that it is transferred to
    failed_successors: set[str] = field(default_factory=set)  # successors that did not take it in time
    contested_at: int = 0
    better_since: int = 0  # since when another gateway would be a better owner; 0: none would
