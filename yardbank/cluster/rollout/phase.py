"""Where one gateway stands in a rollout, and the permit that it needs to be out of service. No I/O.

Every move stands in one table; what has no line there does not happen.
"""

from __future__ import annotations

from yardbank.cluster.lease import Leases

OLD, DUE, OUT, SETTLING, NEW = 0, 1, 2, 3, 4
BACK_DUE, BACK_OUT, BACK_SETTLING, FELL = 5, 6, 7, 8
NAMES = ("old", "due", "going over", "settling", "new", "due back", "going back", "settling back", "fell back")

TABLE: dict[tuple[int, str], int] = {
    (OLD, "turn"): DUE,
    (DUE, "not now"): OLD,  # held, stopped, withdrawn: the permit is given back unused
    (DUE, "permit"): OUT,
    (OUT, "up"): SETTLING,
    (OUT, "not in service"): DUE,  # it has to start anew, and may not yet
    (OUT, "failed"): FELL,  # it could not: it is on the old one still
    (SETTLING, "settled"): NEW,
    (SETTLING, "recalled"): BACK_DUE,  # one that is going over comes up first
    (NEW, "recalled"): BACK_DUE,
    (BACK_DUE, "permit"): BACK_OUT,
    (BACK_OUT, "up"): BACK_SETTLING,
    (BACK_OUT, "not in service"): BACK_DUE,
    (BACK_OUT, "failed"): BACK_DUE,
    (BACK_SETTLING, "settled"): OLD,
    # At a start, by what is remembered and what is in force
    (OUT, "crashed"): FELL,  # the supervisor put the old one back in force
    (SETTLING, "crashed"): FELL,
    (NEW, "crashed"): FELL,
    (BACK_DUE, "crashed"): FELL,
    (OLD, "found"): SETTLING,
    (DUE, "found"): SETTLING,
    (DUE, "restarted"): OLD,
    (BACK_SETTLING, "found"): SETTLING,
    (FELL, "found"): SETTLING,
    (SETTLING, "restarted"): SETTLING,
    (NEW, "restarted"): SETTLING,
    (BACK_DUE, "restarted"): BACK_DUE,
    (BACK_OUT, "restarted"): BACK_DUE,
    (BACK_SETTLING, "restarted"): BACK_SETTLING,
    (FELL, "restarted"): FELL,
}
MOVED = frozenset({OUT, SETTLING, NEW, BACK_DUE, BACK_OUT})
AWAY = frozenset({OUT, SETTLING, BACK_OUT, BACK_SETTLING})  # counted against ``most_at_once``
ASKING = frozenset({DUE, BACK_DUE})


class Permit:
    """One of ``most_at_once`` permits: a lease, and time for who had it before to be back.

    A lease ends by itself while its holder is down, which it is while it starts anew. So who gets one waits for
    ``outage`` before it goes down itself: whoever went down under an earlier epoch is back by then, or is no planned
    outage any more. What changes in service needs no such wait: it is never down.
    """

    def __init__(self, leases: Leases, rollout: str, most: int, outage: int) -> None:
        self._leases, self._rollout, self._most, self._outage = leases, rollout, most, outage
        self.number: int | None = None
        self._epoch = 0
        self._asked_at = self._since = 0

    def _resource(self, number: int) -> str:
        return f"permit/{self._rollout}/{number}"

    def seek(self, now: int, turn: int) -> None:
        """Try to get one, after a while another; ``turn``: this gateway's place in the order."""
        if self.number is not None and not self._epoch and now - self._asked_at >= self._outage:
            turn = self.number + 1
            self.release(now)
        if self.number is None:
            self.number, self._asked_at = turn % self._most, now
            self._leases.acquire(now, self._resource(self.number))

    def may_go(self, now: int, down: bool) -> bool:
        """Whether it is held at this very time, and this gateway may change; ``down``: by a start anew."""
        epoch = self._leases.epoch(now, self._resource(self.number)) if self.number is not None else None
        if epoch is None:
            self._epoch = 0
            return False
        if epoch != self._epoch:
            self._epoch, self._since = epoch, now
        return not down or now - self._since >= self._outage

    def release(self, now: int) -> None:
        """Not needed any more: back and settled, or never used."""
        if self.number is not None:
            self._leases.release(now, self._resource(self.number))
        self.number, self._epoch = None, 0
