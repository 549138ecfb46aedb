"""One resource that this gateway wants or holds: its state and what its voters answered. No I/O.

Invariants: a claim is held only in ``HOLDING`` and ``TRANSFERRING`` and only before ``until``; ``TRANSITIONS`` lists
every change of state; at most ``MAX_REQUESTS`` requests wait for replies.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import IntEnum


class ClaimState(IntEnum):
    """Where a claim stands."""

    WAITING = 1
    REQUESTING = 2
    HOLDING = 3
    TRANSFERRING = 4


STATE_NAMES = {
    ClaimState.WAITING: "waiting",
    ClaimState.REQUESTING: "asking",
    ClaimState.HOLDING: "holding",
    ClaimState.TRANSFERRING: "handing on",
}
# From, by, to.
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
MAX_REQUESTS = 16  # requests whose replies still count

Sets = Sequence[tuple[tuple[str, ...], int]]  # voters, and how many of them must agree


@dataclass(slots=True)
class Claim:
    """Times are nanoseconds of this gateway's own clock. ``Proposer`` and ``Holder`` say which fields each writes."""

    resource: str
    state: ClaimState = ClaimState.WAITING
    epoch: int = 0
    until: int = 0  # held so long and no longer, whatever is heard later
    due_at: int = 0  # when there is something to do
    vote_deadline: int = 0
    held_since: int = 0
    round_started_at: int = 0  # when the requests that are under way began
    failed_votes: int = 0
    raised_epochs: int = 0  # within this vote
    contested: bool = False  # another held it at the last vote: one voter is asked first, all if it is free
    first_voter: str = ""  # that one, while its reply is awaited
    successor: str = ""  # of a transfer
    notice_number: int = 0  # the number under which the voters were notified of the successor
    transfer_until: int = 0  # the latest end of a transfer
    reclaim_at: int = 0  # when an unanswered transfer is taken back
    grants: dict[str, int] = field(default_factory=dict)  # by voter: until when its grant counts
    requests: dict[int, int] = field(default_factory=dict)  # by number of the request: when it was sent
    refusals: dict[str, int] = field(default_factory=dict)  # by voter: when it may answer otherwise
    informed_voters: set[str] = field(default_factory=set)  # voters that have noted the successor

    def holds(self, now: int) -> bool:
        """Whether it is held at this very time."""
        return self.state in (ClaimState.HOLDING, ClaimState.TRANSFERRING) and now < self.until

    def record_request(self, now: int, number: int) -> None:
        """A request for votes is sent now."""
        self.requests[number] = now
        while len(self.requests) > MAX_REQUESTS:
            del self.requests[next(iter(self.requests))]

    def granted_until(self, sets: Sets) -> int:
        """Until when the grants are a majority of each set."""
        ends = []
        for voters, needed in sets:
            if needed > len(voters):
                return 0
            ends.append(sorted((self.grants.get(voter, 0) for voter in voters), reverse=True)[needed - 1])
        return min(ends)

    def is_vote_lost(self, sets: Sets) -> bool:
        """Whether so many have refused that the vote cannot be won."""
        return any(sum(voter not in self.refusals for voter in voters) < needed for voters, needed in sets)

    def free_at(self, now: int, sets: Sets) -> int:
        """When a majority of each set may be free, as far as the replies tell."""
        latest = now
        for voters, needed in sets:
            if needed <= len(voters):
                ends = sorted(max(now, self.refusals.get(voter, now)) for voter in voters)
                latest = max(latest, ends[needed - 1])
        return latest

    def forget_replies(self) -> None:
        """Nothing that was answered so far counts any more."""
        self.grants.clear()
        self.requests.clear()
        self.refusals.clear()
        self.informed_voters.clear()
