"""State machine of one gateway in a rollout: phase, permit, stored state and orders. No I/O.

It changes only while it holds a permit and after it has stored that it will; a rollback needs a permit as well.
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
    load_memory,
    reconcile_phase,
)
from yardbank.cluster.rollout.phase import AWAY, NAMES, TRANSITIONS, Permit, Phase

RETRY_NS = 10_000_000_000  # wait before another attempt to store state or to make a change


class RolloutStateMachine:
    """State of this gateway in the rollout."""

    def __init__(self, leases: Leases, store: KeyValueStore, options: Options) -> None:
        self._leases, self._store, self._options = leases, store, options
        self.active_version = options.active_version
        self._memory = load_memory(store)
        self.phase, fell_reason = reconcile_phase(self._memory, options.active_version)
        self.change = Change.from_json(self._memory.change) if self._memory.change else None
        self.orders: list[Activate | RollBack | Commit] = []
        self.transitions: list[Transition] = []
        self.name = ""  # short hash of the requested version
        self.stage = 0  # the current one
        self.permit: Permit | None = None
        self.state_changed = False  # whether the phase changed or a stop was decided since the last record
        self._phase_since = 0  # when the phase was entered
        self._retry_save_at = self._retry_change_at = 0
        self._save_failed = False
        self._overdue_logged = False
        if self.change is not None:
            self.name = self.active_version.now.name
            self.permit = self._new_permit(self.change)
            if self.phase != self._memory.phase:
                self.log_event(NAMES[self.phase].replace(" ", "_"), fell_reason or "after a restart")

    def _new_permit(self, change: Change) -> Permit:
        return Permit(self._leases, change.id, change.most_at_once, change.outage)

    def begun(self, now: int) -> None:
        """Starts the clock of the phase: the first call with a time."""
        self._phase_since = now
        self._save(now)

    # Stored state

    @property
    def finished(self) -> bool:
        """Whether the rollout is finished for this gateway."""
        return self.change is not None and self._memory.finished == self.change.id

    def stopped(self, rollout: str) -> str:
        """Why a rollout was stopped; empty: it was not."""
        return dict(self._memory.stopped).get(rollout, "")

    def log_event(self, what: str, why: str = "") -> None:
        """Records an event for the log."""
        rollout = self.change.id if self.change is not None else ""
        self.transitions.append(Transition(rollout, what, self.stage, self.name, why))

    def _save(self, now: int) -> bool:
        memory, change = self._memory, self.change
        memory.change = change.to_json() if change is not None else ""
        memory.phase = self.phase
        saved = self._store.save(msgspec.msgpack.encode(memory))
        if not saved and not self._save_failed:
            self.log_event("not_kept", f"{NAMES[self.phase]}: not stored, so unknown after a restart")
        self._save_failed, self._retry_save_at = not saved, now + RETRY_NS
        return saved

    def stop(self, now: int, rollout: str, why: str) -> None:
        """Stops a rollout for good. If that cannot be stored, it is retried; after a restart the peers report it."""
        if self.stopped(rollout) or rollout == self._memory.finished:  # a finished rollout is not rolled back
            return
        self._memory.stopped = [*self._memory.stopped, (rollout, why)][-MAX_STOPPED:]
        self._save(now)
        self.state_changed = True
        self.transitions.append(Transition(rollout, "stopped", self.stage, self.name, why))

    def finish(self, now: int) -> None:
        """The whole fleet has finished the rollout."""
        if self.change is not None and not self.finished:
            self._memory.finished, self.active_version = self.change.id, self.active_version.committed()
            self._save(now)
            self.orders.append(Commit())
            self.log_event("finished")

    def adopt(self, now: int, change: Change | None, name: str) -> None:
        """Adopts another request, or none; only while this gateway runs the version from before it."""
        if self.permit is not None:
            self.permit.release(now)
        self.change, self.name = change, name
        self.phase, self._phase_since, self.state_changed = Phase.OLD, now, True
        self.permit = None if change is None else self._new_permit(change)
        self._memory.restarts, self._memory.down = (
            self.active_version.restarts,
            bool(change is not None and change.program),
        )
        if change is not None and self.active_version.uncommitted and self.active_version.now.rollout == change.id:
            self.phase = Phase.SETTLING  # active although nothing is stored about it
        elif change is not None and self.active_version.fell_from == change.id:
            self.phase = Phase.FELL
        elif change is not None and self._memory.finished == change.id:
            self.phase = Phase.NEW
        self._save(now)

    @property
    def restarts(self) -> int:
        """Restarts of the process since the request, or since the requested version became active."""
        on_new = self.change is not None and self.active_version.now.rollout == self.change.id
        return self.active_version.restarts if on_new else max(0, self.active_version.restarts - self._memory.restarts)

    # Transitions

    def _transition(self, now: int, event: str, why: str = "") -> None:
        to = TRANSITIONS.get((self.phase, event))
        if to is None:
            return
        self.phase, self._phase_since, self.state_changed, self._overdue_logged = to, now, True, False
        if (self.phase, event) not in ((Phase.DUE, "turn"), (Phase.OLD, "not now")):
            self.log_event(NAMES[to].replace(" ", "_"), why)
            if event != "permit":  # that was stored before the order
                self._save(now)

    def step(self, now: int, turn: bool, recall: str, position: int) -> None:
        """Makes the transitions that are due.

        ``turn``: this gateway may change now; ``recall``: why it must roll back, empty: it need not; ``position``: in
        the order, below 0: it does not request a permit yet.
        """
        change, permit = self.change, self.permit
        if change is None or permit is None:
            return
        if self._save_failed and now >= self._retry_save_at:
            self._save(now)
        if self.phase in AWAY and not self._overdue_logged and now - self._phase_since > change.outage:
            self._overdue_logged = True
            self.log_event("overdue", f"{NAMES[self.phase]} for longer than {change.outage // 10**9} s")
        if self.phase == Phase.OLD and turn:
            self._transition(now, "turn")
        if self.phase == Phase.DUE and not turn:
            permit.release(now)
            self._transition(now, "not now")
        if self.phase in (Phase.NEW, Phase.SETTLING) and recall:
            permit.release(now)
            self._transition(now, "recalled", recall)
        if self.phase in (Phase.DUE, Phase.BACK_DUE):
            self._use_permit(now, permit, position)
        elif self.phase in (Phase.SETTLING, Phase.BACK_SETTLING) and now - self._phase_since >= change.settle:
            permit.release(now)
            self._transition(now, "settled")

    def _use_permit(self, now: int, permit: Permit, position: int) -> None:
        if position >= 0:
            permit.request(now, position)
        down = self._memory.down
        if (
            not permit.is_usable(now, down)
            or now < self._retry_change_at
            or (self._save_failed and now < self._retry_save_at)
        ):
            return
        before, self.phase = self.phase, Phase.OUT if self.phase == Phase.DUE else Phase.BACK_OUT
        saved = self._save(now)
        self.phase = before
        if not saved and before == Phase.DUE:  # a restart would not find a change that is not stored
            permit.release(now)
            return
        self.orders.append(Activate(self.version(), down) if before == Phase.DUE else RollBack(down))
        self._transition(now, "permit")

    def version(self) -> Version:
        """The requested version."""
        change = self.change
        if change is None:
            return self.active_version.now
        settings = change.settings or self.active_version.now.settings
        program = change.program or self.active_version.now.program
        return Version(change.id, change.mark(), settings, program, self.name)

    @property
    def running_version(self) -> str:
        """Short hash of the active version."""
        if self.change is not None and self.active_version.now.rollout == self.change.id:
            return self.name
        return (
            self._options.version_name
            if self.active_version.now == self._options.active_version.now
            else self.active_version.now.name
        )

    def applied(self, now: int) -> None:
        """The change was made without a restart."""
        self.active_version = (
            self.active_version.activated(self.version())
            if self.phase == Phase.OUT
            else self.active_version.rolled_back()
        )
        self._transition(now, "up")

    def needs_restart(self, now: int) -> None:
        """The change needs a restart that the order did not allow: keeps the permit until it may."""
        self._memory.down = True
        self._transition(now, "not in service")

    def failed(self, now: int, why: str) -> None:
        """The change could not be made; the active version stays."""
        if self.permit is not None:
            self.permit.release(now)
        self._retry_change_at = now + RETRY_NS
        self._transition(now, "failed", why)
