"""States of a channel at a gateway that would carry it, and what moves it from one to another."""

from __future__ import annotations

from dataclasses import dataclass, field

APART, WAITING, BIDDING, ENTERING, CARRYING, HANDING = "apart", "waiting", "bidding", "entering", "carrying", "handing"
# From, by, to.
TABLE = (
    (APART, "its owner is silent, or said that it ended", WAITING),
    (WAITING, "an owner speaks", APART),
    (WAITING, "its turn has come", BIDDING),
    (APART, "its owner hands it on to this gateway", BIDDING),
    (WAITING, "its owner hands it on to this gateway", BIDDING),
    (BIDDING, "another has it, or not granted for long", APART),
    (BIDDING, "granted", CARRYING),
    (BIDDING, "granted, and the one before it is to say where it ended", ENTERING),
    (ENTERING, "that was said, or the overlap is over", CARRYING),
    (CARRYING, "a planned handing on has begun", HANDING),
    (HANDING, "not taken in time", CARRYING),
    (CARRYING, "others have seen a higher epoch", BIDDING),
    (ENTERING, "the lease ended", BIDDING),
    (CARRYING, "the lease ended", BIDDING),
    (HANDING, "the lease ended", APART),
)


@dataclass(slots=True)
class Own:
    """One channel that this gateway would carry."""

    since: int  # when it became of interest
    state: str = APART
    epoch: int = 0
    at: int = 0  # when the state began
    turn: int = 0  # when WAITING ends
    not_before: int = 0  # no bid earlier
    source: str = ""  # who hands it on to this gateway
    asked_at: int = 0  # where that one ended
    to: str = ""  # whom it is handed on to
    tried: set[str] = field(default_factory=set)  # that did not take it
    contested_at: int = 0
    better_since: int = 0  # another place would be better; 0: none
