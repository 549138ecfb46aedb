"""One gateway's own way through a rollout: its place and permit, what it remembers, orders to itself. No I/O.

It goes over only with a permit in hand and its intention kept; it goes back the same way, by the same permits.
"""

from __future__ import annotations

import msgspec

from yardbank.cluster.lease import Leases
from yardbank.cluster.peers.parts import KeyValueStore
from yardbank.cluster.rollout.active_version import Version
from yardbank.cluster.rollout.document import Change
from yardbank.cluster.rollout.local_state import (
    MAX_STOPPED,
    Activate,
    Commit,
    Options,
    RollBack,
    Transition,
    reconciled,
    remembered,
)
from yardbank.cluster.rollout.phase import AWAY, NAMES, TABLE, Permit, Phase

AGAIN = 10_000_000_000  # between two tries to keep what could not be kept


class RolloutStateMachine:
    """The part's own state."""

    def __init__(self, leases: Leases, keep: KeyValueStore, options: Options) -> None:
        self._leases, self._keep, self._options = leases, keep, options
        self.active_version = options.active_version
        self._memory = remembered(keep)
        self.phase, fell = reconciled(self._memory, options.active_version)
        self.change = Change.of(self._memory.change) if self._memory.change else None
        self.orders: list[Activate | RollBack | Commit] = []
        self.turns: list[Transition] = []
        self.name = ""  # of the version asked for
        self.stage = 0  # that is under way
        self.permit: Permit | None = None
        self.moved = False  # since this was asked last
        self._since = 0  # in this place
        self._again = self._not_before = 0
        self._unkept = False
        self._overdue = False
        if self.change is not None:
            self.name = self.active_version.now.name
            self.permit = self._permit(self.change)
            if self.phase != self._memory.phase:
                self.say(NAMES[self.phase].replace(" ", "_"), fell or "after a start")

    def _permit(self, change: Change) -> Permit:
        return Permit(self._leases, change.id, change.most_at_once, change.outage)

    def begun(self, now: int) -> None:
        """The first time that time is known."""
        self._since = now
        self._remember(now)

    # What is remembered

    @property
    def finished(self) -> bool:
        """Whether the rollout is through, as far as this gateway is concerned."""
        return self.change is not None and self._memory.finished == self.change.id

    def stopped(self, rollout: str) -> str:
        """Why a rollout was stopped; empty: it was not."""
        return dict(self._memory.stopped).get(rollout, "")

    def say(self, what: str, why: str = "") -> None:
        """One line for the log."""
        rollout = self.change.id if self.change is not None else ""
        self.turns.append(Transition(rollout, what, self.stage, self.name, why))

    def _remember(self, now: int) -> bool:
        memory, change = self._memory, self.change
        memory.change = change.kept() if change is not None else ""
        memory.phase = self.phase
        kept = self._keep.save(msgspec.msgpack.encode(memory))
        if not kept and not self._unkept:
            self.say("not_kept", f"{NAMES[self.phase]}: it will not be known after a start")
        self._unkept, self._again = not kept, now + AGAIN
        return kept

    def stop(self, now: int, rollout: str, why: str) -> None:
        """For good. Where it cannot be kept it is tried again, and the others tell it after a start."""
        if self.stopped(rollout) or rollout == self._memory.finished:  # from that there is no way back
            return
        self._memory.stopped = [*self._memory.stopped, (rollout, why)][-MAX_STOPPED:]
        self._remember(now)
        self.moved = True
        self.turns.append(Transition(rollout, "stopped", self.stage, self.name, why))

    def finish(self, now: int) -> None:
        """The whole fleet is through with it."""
        if self.change is not None and not self.finished:
            self._memory.finished, self.active_version = self.change.id, self.active_version.kept()
            self._remember(now)
            self.orders.append(Commit())
            self.say("finished")

    def adopt(self, now: int, change: Change | None, name: str) -> None:
        """Another request, or none; only while this gateway is on what was there before."""
        if self.permit is not None:
            self.permit.release(now)
        self.change, self.name = change, name
        self.phase, self._since, self.moved = Phase.OLD, now, True
        self.permit = None if change is None else self._permit(change)
        self._memory.restarts, self._memory.down = (
            self.active_version.restarts,
            bool(change is not None and change.program),
        )
        if change is not None and self.active_version.young and self.active_version.now.rollout == change.id:
            self.phase = Phase.SETTLING  # it is in force though nothing is remembered of it
        elif change is not None and self.active_version.fell_from == change.id:
            self.phase = Phase.FELL
        elif change is not None and self._memory.finished == change.id:
            self.phase = Phase.NEW
        self._remember(now)

    @property
    def restarts(self) -> int:
        """Of the process since it was asked for, or since the version came into force."""
        on_new = self.change is not None and self.active_version.now.rollout == self.change.id
        return self.active_version.restarts if on_new else max(0, self.active_version.restarts - self._memory.restarts)

    # Moves

    def _go(self, now: int, event: str, why: str = "") -> None:
        to = TABLE.get((self.phase, event))
        if to is None:
            return
        self.phase, self._since, self.moved, self._overdue = to, now, True, False
        if (self.phase, event) not in ((Phase.DUE, "turn"), (Phase.OLD, "not now")):
            self.say(NAMES[to].replace(" ", "_"), why)
            if event != "permit":  # that was kept before
                self._remember(now)

    def step(self, now: int, turn: bool, recall: str, position: int) -> None:
        """One step, if one is due. ``turn``: may go over; ``phase``: in the order; below 0: not to ask yet."""
        change, permit = self.change, self.permit
        if change is None or permit is None:
            return
        if self._unkept and now >= self._again:
            self._remember(now)
        if self.phase in AWAY and not self._overdue and now - self._since > change.outage:
            self._overdue = True
            self.say("overdue", f"{NAMES[self.phase]} for longer than {change.outage // 10**9} s")
        if self.phase == Phase.OLD and turn:
            self._go(now, "turn")
        if self.phase == Phase.DUE and not turn:
            permit.release(now)
            self._go(now, "not now")
        if self.phase in (Phase.NEW, Phase.SETTLING) and recall:
            permit.release(now)
            self._go(now, "recalled", recall)
        if self.phase in (Phase.DUE, Phase.BACK_DUE):
            self._ask(now, permit, position)
        elif self.phase in (Phase.SETTLING, Phase.BACK_SETTLING) and now - self._since >= change.settle:
            permit.release(now)
            self._go(now, "settled")

    def _ask(self, now: int, permit: Permit, position: int) -> None:
        if position >= 0:
            permit.seek(now, position)
        down = self._memory.down
        if not permit.may_go(now, down) or now < self._not_before or (self._unkept and now < self._again):
            return
        before, self.phase = self.phase, Phase.OUT if self.phase == Phase.DUE else Phase.BACK_OUT
        kept = self._remember(now)
        self.phase = before
        if not kept and before == Phase.DUE:  # a restart would not find a change that is not stored
            permit.release(now)
            return
        self.orders.append(Activate(self.version(), down) if before == Phase.DUE else RollBack(down))
        self._go(now, "permit")

    def version(self) -> Version:
        """What is asked for."""
        change = self.change
        if change is None:
            return self.active_version.now
        settings = change.settings or self.active_version.now.settings
        program = change.program or self.active_version.now.program
        return Version(change.id, change.mark(), settings, program, self.name)

    @property
    def running(self) -> str:
        """The short name of the version in force."""
        if self.change is not None and self.active_version.now.rollout == self.change.id:
            return self.name
        return (
            self._options.name
            if self.active_version.now == self._options.active_version.now
            else self.active_version.now.name
        )

    def up(self, now: int) -> None:
        """The change is made, in service."""
        self.active_version = (
            self.active_version.gone_over(self.version())
            if self.phase == Phase.OUT
            else self.active_version.gone_back()
        )
        self._go(now, "up")

    def not_in_service(self, now: int) -> None:
        """It has to start anew, and was not allowed to: it keeps the permit until it may."""
        self._memory.down = True
        self._go(now, "not in service")

    def failed(self, now: int, why: str) -> None:
        """The change could not be made: what was in force still is."""
        if self.permit is not None:
            self.permit.release(now)
        self._not_before = now + AGAIN
        self._go(now, "failed", why)
