"""Where one gateway stands in a rollout, and the permit that it needs to be out of service. No I/O.

Every move stands in one table; what has no line there does not happen.
"""

from __future__ import annotations

from enum import IntEnum

from yardbank.cluster.lease import Leases


class Phase(IntEnum):
    """Where a gateway stands; stored and sent under these numbers."""

    OLD = 0
    DUE = 1
    OUT = 2
    SETTLING = 3
    NEW = 4
    BACK_DUE = 5
    BACK_OUT = 6
    BACK_SETTLING = 7
    FELL = 8


NAMES = ("old", "due", "going over", "settling", "new", "due back", "going back", "settling back", "fell back")

TABLE: dict[tuple[int, str], Phase] = {
    (Phase.OLD, "turn"): Phase.DUE,
    (Phase.DUE, "not now"): Phase.OLD,  # held, stopped, withdrawn: the permit is given back unused
    (Phase.DUE, "permit"): Phase.OUT,
    (Phase.OUT, "up"): Phase.SETTLING,
    (Phase.OUT, "not in service"): Phase.DUE,  # it has to start anew, and may not yet
    (Phase.OUT, "failed"): Phase.FELL,  # it could not: it is on the old one still
    (Phase.SETTLING, "settled"): Phase.NEW,
    (Phase.SETTLING, "recalled"): Phase.BACK_DUE,  # one that is going over comes up first
    (Phase.NEW, "recalled"): Phase.BACK_DUE,
    (Phase.BACK_DUE, "permit"): Phase.BACK_OUT,
    (Phase.BACK_OUT, "up"): Phase.BACK_SETTLING,
    (Phase.BACK_OUT, "not in service"): Phase.BACK_DUE,
    (Phase.BACK_OUT, "failed"): Phase.BACK_DUE,
    (Phase.BACK_SETTLING, "settled"): Phase.OLD,
    # At a start, by what is remembered and what is in force
    (Phase.OUT, "crashed"): Phase.FELL,  # the supervisor put the old one back in force
    (Phase.SETTLING, "crashed"): Phase.FELL,
    (Phase.NEW, "crashed"): Phase.FELL,
    (Phase.BACK_DUE, "crashed"): Phase.FELL,
    (Phase.OLD, "found"): Phase.SETTLING,
    (Phase.DUE, "found"): Phase.SETTLING,
    (Phase.DUE, "restarted"): Phase.OLD,
    (Phase.BACK_SETTLING, "found"): Phase.SETTLING,
    (Phase.FELL, "found"): Phase.SETTLING,
    (Phase.SETTLING, "restarted"): Phase.SETTLING,
    (Phase.NEW, "restarted"): Phase.SETTLING,
    (Phase.BACK_DUE, "restarted"): Phase.BACK_DUE,
    (Phase.BACK_OUT, "restarted"): Phase.BACK_DUE,
    (Phase.BACK_SETTLING, "restarted"): Phase.BACK_SETTLING,
    (Phase.FELL, "restarted"): Phase.FELL,
}
MOVED = frozenset({Phase.OUT, Phase.SETTLING, Phase.NEW, Phase.BACK_DUE, Phase.BACK_OUT})
AWAY = frozenset({Phase.OUT, Phase.SETTLING, Phase.BACK_OUT, Phase.BACK_SETTLING})  # counted against ``most_at_once``
ASKING = frozenset({Phase.DUE, Phase.BACK_DUE})


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
