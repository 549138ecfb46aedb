"""The state of one resource that this gateway wants or holds, with the replies of its voters. No I/O.

Invariants: a claim is held only in ``HOLDING`` and ``TRANSFERRING`` and only before ``until``; ``TRANSITIONS`` lists
every change of state; at most ``MAX_REQUESTS`` requests wait for replies.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import IntEnum


class ClaimState(IntEnum):
    """State of a claim."""

    WAITING = 1
    REQUESTING = 2
    HOLDING = 3
    TRANSFERRING = 4


# The names of the states in the operators' view.
STATE_NAMES = {
    ClaimState.WAITING: "waiting",
    ClaimState.REQUESTING: "asking",
    ClaimState.HOLDING: "holding",
    ClaimState.TRANSFERRING: "handing on",
}
# From state, cause, to state; None: the claim is removed.
TRANSITIONS = (
    (ClaimState.WAITING, "the backoff is over", ClaimState.REQUESTING),
    (ClaimState.REQUESTING, "a majority grants", ClaimState.HOLDING),
    (ClaimState.REQUESTING, "an epoch was used", ClaimState.REQUESTING),
    (ClaimState.REQUESTING, "refused, or time is up", ClaimState.WAITING),
    (ClaimState.HOLDING, "a majority renews", ClaimState.HOLDING),
    (ClaimState.HOLDING, "time is up", ClaimState.WAITING),
    (ClaimState.HOLDING, "transfer", ClaimState.TRANSFERRING),
    (ClaimState.TRANSFERRING, "the successor has it, or time is up", None),
    (ClaimState.TRANSFERRING, "a majority renews: taken back", ClaimState.HOLDING),
    (ClaimState.HOLDING, "release", None),
)
MAX_REQUESTS = 16  # requests of one claim whose replies are still accepted

VoterSets = Sequence[tuple[tuple[str, ...], int]]  # voters, and how many of them must agree


@dataclass(slots=True)
class Claim:
    """Times are nanoseconds of this gateway's own clock.

    The modules of ``Proposer`` and ``Holder`` list the fields that each of them writes.
    """

    resource: str
    state: ClaimState = ClaimState.WAITING
    epoch: int = 0
    until: int = 0  # end of the lease; once it has passed, nothing heard later extends it
    due_at: int = 0  # time of the next action
    vote_deadline: int = 0
    held_since: int = 0
    round_started_at: int = 0  # when the current round of requests started
    failed_votes: int = 0
    raised_epochs: int = 0  # higher epochs tried in this vote
    contested: bool = False  # another gateway held it at the last vote: ask one voter first, the others if it is free
    first_voter: str = ""  # the voter asked first, while its reply is pending
    successor: str = ""  # recipient of the transfer
    notice_number: int = 0  # number of the message that told the voters of the successor
    transfer_until: int = 0  # latest end of a transfer
    reclaim_at: int = 0  # when a transfer that was not answered is taken back
    grants: dict[str, int] = field(default_factory=dict)  # by voter: end of its grant
    requests: dict[int, int] = field(default_factory=dict)  # by request number: when it was sent
    refusals: dict[str, int] = field(default_factory=dict)  # by voter: earliest time of a different reply
    informed_voters: set[str] = field(default_factory=set)  # voters that acknowledged the successor

    def holds(self, now: int) -> bool:
        """Whether this gateway holds the lease now."""
        return self.state in (ClaimState.HOLDING, ClaimState.TRANSFERRING) and now < self.until

    def record_request(self, now: int, number: int) -> None:
        """Record that a request for votes is sent now; the oldest are dropped beyond ``MAX_REQUESTS``."""
        self.requests[number] = now
        while len(self.requests) > MAX_REQUESTS:
            del self.requests[next(iter(self.requests))]

    def granted_until(self, voter_sets: VoterSets) -> int:
        """Until when enough voters of every set have granted the lease; 0: not at all."""
        expiries = []
        for voters, needed in voter_sets:
            if needed > len(voters):
                return 0
            expiries.append(sorted((self.grants.get(voter, 0) for voter in voters), reverse=True)[needed - 1])
        return min(expiries)

    def is_vote_lost(self, voter_sets: VoterSets) -> bool:
        """Whether too many voters of any set have refused for the vote to be won."""
        return any(sum(voter not in self.refusals for voter in voters) < needed for voters, needed in voter_sets)

    def free_at(self, now: int, voter_sets: VoterSets) -> int:
        """Earliest time at which enough voters of every set may be free, according to their replies."""
        latest = now
        for voters, needed in voter_sets:
            if needed <= len(voters):
                expiries = sorted(max(now, self.refusals.get(voter, now)) for voter in voters)
                latest = max(latest, expiries[needed - 1])
        return latest

    def forget_replies(self) -> None:
        """Discard all replies, and ignore those still to come for earlier requests."""
        self.grants.clear()
        self.requests.clear()
        self.refusals.clear()
        self.informed_voters.clear()
