"""What one gateway wants or holds: its states, and what is known of its vote."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

WAITING, ASKING, HOLDING, HANDING = 1, 2, 3, 4
NAMES = {WAITING: "waiting", ASKING: "asking", HOLDING: "holding", HANDING: "handing on"}
# From, by, to.
TABLE = (
    (WAITING, "its turn has come", ASKING),
    (ASKING, "a majority grants", HOLDING),
    (ASKING, "an epoch was used", ASKING),
    (ASKING, "refused, or time is up", WAITING),
    (HOLDING, "a majority renews", HOLDING),
    (HOLDING, "time is up", WAITING),
    (HOLDING, "hand on", HANDING),
    (HANDING, "the next one has it, or time is up", None),
    (HANDING, "a majority renews: taken back", HOLDING),
    (HOLDING, "release", None),
)
MAX_SENT = 16  # asks whose answers still count

Sets = Sequence[tuple[tuple[str, ...], int]]


@dataclass(slots=True)
class Claim:
    """Times are this gateway's own clock, ns."""

    resource: str
    state: int = WAITING
    epoch: int = 0
    until: int = 0  # held so long and no longer, whatever is heard later
    at: int = 0  # when there is something to do
    deadline: int = 0  # of the vote
    since: int = 0  # held
    round_at: int = 0  # when the asks that are under way began
    fails: int = 0
    raised: int = 0
    contested: bool = False  # another held it when this was asked last: one voter is asked first, all if it is free
    lone: str = ""  # that one
    to: str = ""  # who is next
    named: int = 0  # the number under which the voters were told of it
    cap: int = 0  # the latest end of a handing on
    back: int = 0  # when it is taken back
    grants: dict[str, int] = field(default_factory=dict)  # by voter: until when its grant counts
    sent: dict[int, int] = field(default_factory=dict)  # by number of the ask: when it was sent
    refused: dict[str, int] = field(default_factory=dict)  # by voter: when it may think otherwise
    told: set[str] = field(default_factory=set)  # voters that have noted who is next

    def holds(self, now: int) -> bool:
        """Whether it is held at this very time."""
        return self.state in (HOLDING, HANDING) and now < self.until

    def asked(self, now: int, number: int) -> None:
        """An ask went out."""
        self.sent[number] = now
        while len(self.sent) > MAX_SENT:
            del self.sent[next(iter(self.sent))]

    def ends(self, sets: Sets) -> int:
        """Until when the grants are a majority of each set."""
        found = []
        for voters, needed in sets:
            if needed > len(voters):
                return 0
            found.append(sorted((self.grants.get(voter, 0) for voter in voters), reverse=True)[needed - 1])
        return min(found)

    def lost(self, sets: Sets) -> bool:
        """Whether so many have refused that the vote cannot be won."""
        return any(sum(voter not in self.refused for voter in voters) < needed for voters, needed in sets)

    def free_at(self, now: int, sets: Sets) -> int:
        """When a majority of each set may be free, as far as they have said."""
        found = now
        for voters, needed in sets:
            if needed <= len(voters):
                found = max(found, sorted(max(now, self.refused.get(voter, now)) for voter in voters)[needed - 1])
        return found

    def clear(self) -> None:
        """Nothing that was said so far counts any more."""
        self.grants.clear()
        self.sent.clear()
        self.refused.clear()
        self.told.clear()
