"""What is known of one server's role, by the age and source of the evidence. Times are integer nanoseconds.

The server's own word is either an answer, which states its role now, or a report, which was made some time before it
arrived. The server list is only a hint: it arrives late by an unknown time and may name a server that has lost its role
since.
"""

SECOND = 1_000_000_000
LIST_DELAY = SECOND  # a change of primary reaches the server list at least this much later
REPORT_MAX_AGE = SECOND  # a report was made at most this long before it was requested
PRIMARY_TRUST_PERIOD = SECOND  # how long a primary's own word holds for reads; shorter than any failover
NEVER = -1


class ServerRole:
    """Evidence of one server's role.

    Owns: for primary (True) and replica (False), when that was last known from any source (``believed_at``), and from
    the server itself (``stated_at``). Written by ``ServerTable`` only.
    Invariant: the list changes ``believed_at`` only, and never ends a belief that rests on the server's later word.
    """

    __slots__ = ("believed_at", "listed_primary", "stated_at")

    def __init__(self) -> None:
        self.believed_at = {True: NEVER, False: NEVER}
        self.stated_at = {True: NEVER, False: NEVER}
        self.listed_primary = False

    def is_primary(self) -> bool:
        """Whether the latest evidence from any source says primary."""
        return self.believed_at[True] > self.believed_at[False]

    def has_been_replica(self) -> bool:
        """Whether the server itself has ever said that it is none."""
        return self.stated_at[False] > NEVER

    def states_primary(self, now: int) -> bool:
        """Whether the server's own latest word says primary and is recent."""
        stated_at = self.stated_at[True]
        return stated_at > self.stated_at[False] and now - stated_at <= PRIMARY_TRUST_PERIOD

    def on_answer(self, primary: bool, now: int) -> None:
        """Record the role stated in an answer that arrives now."""
        self._state(primary, now)

    def on_report(self, primary: bool, position: int | None, requested_at: int) -> None:
        """Record the role in a report; ``position``: the log position in it, None if it has none that can be used.

        A primary's position is the time of its report. A replica's may be far behind that time, or stand still.
        """
        if primary and position is not None:
            self._state(True, position)
        elif not primary:
            made_at = requested_at - REPORT_MAX_AGE
            self._state(False, made_at if position is None else max(made_at, position))

    def on_listed(self, primary: bool, now: int, is_delta: bool) -> None:
        """Record the role in a list entry; only a change to primary tells anything."""
        if primary and not self.listed_primary:
            became_primary_at = now - LIST_DELAY if is_delta else 0
            self.believed_at[True] = max(self.believed_at[True], became_primary_at)
        self.listed_primary = primary

    def on_start(self, started: int) -> None:
        """Forget that it was primary before it started."""
        for at in (self.believed_at, self.stated_at):
            if at[True] < started:
                at[True] = NEVER

    def _state(self, primary: bool, at: int) -> None:
        self.stated_at[primary] = max(self.stated_at[primary], at)
        self.believed_at[primary] = max(self.believed_at[primary], at)
