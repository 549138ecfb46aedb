"""Phases of one gateway in a rollout, and the permit that limits how many are out of service at once. No I/O.

``TRANSITIONS`` lists every transition; an event without an entry for the current phase is ignored.
"""

from __future__ import annotations

from enum import IntEnum

from yardbank.cluster.lease import Leases


class Phase(IntEnum):
    """Phase of a gateway; the numbers are stored and sent. ``NAMES`` has the names in views and logs."""

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

TRANSITIONS: dict[tuple[int, str], Phase] = {
    (Phase.OLD, "turn"): Phase.DUE,
    (Phase.DUE, "not now"): Phase.OLD,  # held, stopped or withdrawn: the unused permit is released
    (Phase.DUE, "permit"): Phase.OUT,
    (Phase.OUT, "up"): Phase.SETTLING,
    (Phase.OUT, "not in service"): Phase.DUE,  # a restart is needed, and not allowed yet
    (Phase.OUT, "failed"): Phase.FELL,  # the old version is still active
    (Phase.SETTLING, "settled"): Phase.NEW,
    (Phase.SETTLING, "recalled"): Phase.BACK_DUE,  # a gateway in phase OUT finishes its change before it is rolled back
    (Phase.NEW, "recalled"): Phase.BACK_DUE,
    (Phase.BACK_DUE, "permit"): Phase.BACK_OUT,
    (Phase.BACK_OUT, "up"): Phase.BACK_SETTLING,
    (Phase.BACK_OUT, "not in service"): Phase.BACK_DUE,
    (Phase.BACK_OUT, "failed"): Phase.BACK_DUE,
    (Phase.BACK_SETTLING, "settled"): Phase.OLD,
    # At the start of the process, by stored phase and active version
    (Phase.OUT, "crashed"): Phase.FELL,  # the supervisor has rolled back to the old version
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
CHANGED_PHASES = frozenset({Phase.OUT, Phase.SETTLING, Phase.NEW, Phase.BACK_DUE, Phase.BACK_OUT})
AWAY = frozenset({Phase.OUT, Phase.SETTLING, Phase.BACK_OUT, Phase.BACK_SETTLING})  # counted against ``most_at_once``
WAITING_PHASES = frozenset({Phase.DUE, Phase.BACK_DUE})


class Permit:
    """One of ``most_at_once`` permits: a lease, plus time for its previous holder to come back.

    The lease expires while its holder is down for the restart. A new holder therefore waits for ``outage`` before it
    goes down: a gateway that went down under an earlier epoch is back by then, or no longer counts as a planned outage.
    A change without a restart needs no such wait, since the gateway stays up.
    """

    def __init__(self, leases: Leases, rollout: str, most: int, outage: int) -> None:
        self._leases, self._rollout, self._most, self._outage = leases, rollout, most, outage
        self.number: int | None = None
        self._epoch = 0
        self._asked_at = self._since = 0

    def _resource(self, number: int) -> str:
        return f"permit/{self._rollout}/{number}"

    def request(self, now: int, turn: int) -> None:
        """Requests a permit; if none is granted within ``outage``, the next one. ``turn``: this gateway's position."""
        if self.number is not None and not self._epoch and now - self._asked_at >= self._outage:
            turn = self.number + 1
            self.release(now)
        if self.number is None:
            self.number, self._asked_at = turn % self._most, now
            self._leases.acquire(now, self._resource(self.number))

    def is_usable(self, now: int, down: bool) -> bool:
        """Whether the permit is held now and the change may start; ``down``: by a restart."""
        epoch = self._leases.epoch(now, self._resource(self.number)) if self.number is not None else None
        if epoch is None:
            self._epoch = 0
            return False
        if epoch != self._epoch:
            self._epoch, self._since = epoch, now
        return not down or now - self._since >= self._outage

    def release(self, now: int) -> None:
        """Returns the permit, either after the gateway has settled or unused."""
        if self.number is not None:
            self._leases.release(now, self._resource(self.number))
        self.number, self._epoch = None, 0
