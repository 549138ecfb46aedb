"""The rollout protocol of one gateway: requests, records of peers, verdicts, and orders to this gateway. No I/O."""

from __future__ import annotations

from collections.abc import Mapping
from random import Random
from typing import Any

from yardbank.cluster.lease import Leases
from yardbank.cluster.peers.parts import KeyValueStore, MembershipView, Message
from yardbank.cluster.rollout.announcer import SLOWNESS_LIMIT, Announcer
from yardbank.cluster.rollout.document import Change, OperatorCommand
from yardbank.cluster.rollout.local_state import Activate, Commit, Options, RollBack, Transition
from yardbank.cluster.rollout.phase import AWAY, CHANGED_PHASES, WAITING_PHASES, Phase
from yardbank.cluster.rollout.progress import Progress
from yardbank.cluster.rollout.record import MAX_REASON_LENGTH, GatewayRecord
from yardbank.cluster.rollout.record_log import RecordLog, relay_count
from yardbank.cluster.rollout.stage_plan import StagePlan
from yardbank.cluster.rollout.state_machine import RolloutStateMachine
from yardbank.cluster.rollout.view import rollout_view

SECOND = 1_000_000_000


class RolloutPart:
    """Implements ``peers.parts.Part``.

    ``Actuator`` calls ``asked``, ``take_command``, ``applied``, ``needs_restart``, ``failed``, ``orders`` and
    ``transitions``.
    """

    topic = "rollout"
    rate: tuple[int, int] | None = None

    def __init__(
        self, membership_view: MembershipView, leases: Leases, random: Random, store: KeyValueStore, options: Options
    ) -> None:
        self._membership_view, self._options = membership_view, options
        self._record_log = RecordLog(membership_view.name, random)
        self._state_machine = RolloutStateMachine(leases, store, options)
        self._stage_plan: StagePlan | None = None
        self._progress: Progress | None = None
        self._next_request: tuple[Change | None, str] | None = None  # starts after this gateway is rolled back
        self._request: tuple[Change | None, str] | None = None
        self._command = OperatorCommand((), ())
        self._rollback_reason = ""
        self._hold_reason = ""
        self._announcer = Announcer(membership_view, self._record_log, options)
        self._outgoing: list[Message] = []
        self._tick_at = 0
        self._begun = False

    # Requests and commands

    def asked(self, now: int, change: Change | None, name: str = "") -> None:
        """Takes the request of the rollout file; ``name``: short hash of that version. None: no request."""
        self._request = change, name
        self._resolve(now)

    def take_command(self, now: int, command: OperatorCommand) -> None:
        """Takes the operator's commands that are in effect now."""
        self._command = command
        self._resolve(now)

    def _resolve(self, now: int) -> None:
        state_machine = self._state_machine
        current = state_machine.change
        change, name = self._request or (current, state_machine.name)  # the stored request, until the file is read
        if change is not None and change.id in self._command.withdraw:
            change = None
        if change is not None and current is not None and change.mark() == current.mark():
            self._next_request, state_machine.name = None, name or state_machine.name
            if not state_machine.stopped(current.id):
                self._rollback_reason = ""
        elif current is None or state_machine.phase in (Phase.OLD, Phase.DUE, Phase.FELL) or state_machine.finished:
            if change is not None or current is not None:
                self._adopt(now, change, name)
        else:
            self._next_request = change, name
            self._rollback_reason = "withdrawn" if change is None else "replaced"
        for rollout in self._command.stop:
            state_machine.stop(now, rollout, "operator")
        self._tick_at = min(self._tick_at, now)

    def _adopt(self, now: int, change: Change | None, name: str) -> None:
        state_machine = self._state_machine
        if change is None and not state_machine.finished:
            state_machine.log_event("withdrawn")
        state_machine.adopt(now, change, name)
        self._rollback_reason, self._next_request, self._hold_reason = "", None, ""
        if change is not None:
            before = state_machine.stopped(change.id)
            state_machine.log_event("asked", f"stopped before: {before}" if before else "")
        self._rebuild_plan(
            now,
            fresh=not any(record.mark and record.phase in CHANGED_PHASES for record in self._record_log.all().values()),
        )

    def _rebuild_plan(self, now: int, fresh: bool = False) -> None:
        change = self._state_machine.change
        if change is None:
            self._stage_plan = self._progress = None
            return
        self._stage_plan = StagePlan(change.id, self._membership_view.zones(), change.stages)
        if self._progress is None or self._progress.change.mark() != change.mark():
            self._progress = Progress(now, change, self._stage_plan, fresh)
            self._progress.finished = self._state_machine.finished
        else:
            self._progress.relisted(now, self._stage_plan)

    # Interface of ``peers.parts.Part``

    def listed(self, now: int) -> None:
        """Adopts a new peer list."""
        self._record_log.listed(self._membership_view.zones())
        self._rebuild_plan(now)
        if not self._begun:
            self._begun, self._tick_at = True, now
            self._state_machine.begun(now)

    def receive(self, now: int, sender: str, boot_epoch: int, body: bytes) -> None:
        """Takes a message of a peer. Raises ``DroppedError``."""
        for record in self._record_log.receive(sender, body):
            if record.stop:
                self._tick_at = min(self._tick_at, now)

    def next_at(self) -> int | None:
        """Time of the next tick: each second during a rollout; None: no tick is needed."""
        busy = self._state_machine.change is not None or self._announcer.last_record.mark
        return self._tick_at if self._begun and busy else None

    def outgoing_messages(self) -> list[Message]:
        """Returns and removes the messages to send."""
        found, self._outgoing = self._outgoing, []
        return found

    def orders(self) -> list[Activate | RollBack | Commit]:
        """Returns and removes the orders to execute."""
        found, self._state_machine.orders = self._state_machine.orders, []
        return found

    def transitions(self) -> list[Transition]:
        """Returns and removes the events for the log."""
        found, self._state_machine.transitions = self._state_machine.transitions, []
        return found

    def applied(self, now: int) -> None:
        """The change was made without a restart."""
        self._state_machine.applied(now)
        self._tick_at = min(self._tick_at, now)

    def needs_restart(self, now: int) -> None:
        """The change needs a restart, and the order did not allow one."""
        self._state_machine.needs_restart(now)

    def failed(self, now: int, why: str) -> None:
        """The change could not be made."""
        self._state_machine.failed(now, why[:MAX_REASON_LENGTH])
        self._tick_at = min(self._tick_at, now)

    # Time

    def tick(self, now: int) -> None:
        """Reads figures, judges the stage, moves this gateway's phase and queues messages."""
        if not self._begun or now < self._tick_at:
            return
        self._tick_at = now + SECOND
        change, state_machine = self._state_machine.change, self._state_machine
        if change is not None and self._stage_plan is not None and self._progress is not None:
            # A gateway that has just restarted may not know how far the others are: at least its own stage is running
            own = self._stage_plan.stage_of(self._membership_view.name) if state_machine.phase in CHANGED_PHASES else 0
            beat = self._announcer.start_beat(now, self._stage_plan, max(own, self._progress.current_stage))
            records = {name: record for name, record in self._record_log.all().items() if record.mark == change.mark()}
            alive = self._membership_view.alive() | {self._membership_view.name}
            self._judge(now, change, self._progress, records, alive)
            state_machine.stage = self._progress.current_stage
            phase_before = state_machine.phase
            stage = self._stage_plan.stage_of(self._membership_view.name)
            turn = not self._rollback_reason and not self._hold_reason and 0 < stage <= state_machine.stage
            state_machine.step(
                now, turn, self._rollback_reason, self._permit_position(self._stage_plan, records, alive)
            )
            if state_machine.phase not in (phase_before, Phase.DUE) and phase_before != Phase.DUE:
                self._announcer.discard_figures()  # figures of the phase before
            if self._next_request is not None and state_machine.phase in (Phase.OLD, Phase.FELL):
                self._adopt(now, *self._next_request)
            self._outgoing += self._announcer.announce(state_machine, beat)
        elif self._announcer.last_record.mark:
            self._outgoing += self._announcer.announce(state_machine, False)
        if self._announcer.last_record.mark:
            relays = relay_count(len(self._membership_view.zones()))
            self._outgoing += self._record_log.relay(now, self._membership_view.alive(), relays)

    def _judge(
        self, now: int, change: Change, progress: Progress, records: Mapping[str, GatewayRecord], alive: frozenset[str]
    ) -> None:
        state_machine = self._state_machine
        progress.step(now, records, alive, self._record_log.history)
        if not state_machine.stopped(change.id) and not state_machine.finished:
            stop_voters = sorted(
                name for name, record in records.items() if record.stop and name != self._membership_view.name
            )
            why = progress.stop_reason(records)
            if not why and len(stop_voters) >= 2:
                why = f"{', '.join(stop_voters[:2])}: {records[stop_voters[0]].stop.rpartition(': ')[2]}"
            if why:
                state_machine.stop(now, change.id, why[:MAX_REASON_LENGTH])
        for what, stage, why in progress.events:
            state_machine.stage = stage
            if what == "finished":
                if state_machine.phase == Phase.NEW and not state_machine.stopped(change.id):
                    state_machine.finish(now)
                else:
                    progress.finished = False
            elif not state_machine.stopped(change.id):
                state_machine.log_event(what, why)
        progress.events.clear()
        if (stopped := state_machine.stopped(change.id)) and not state_machine.finished:
            self._rollback_reason = self._rollback_reason or f"stopped: {stopped}"[:MAX_REASON_LENGTH]
        hold_reason = self._find_hold_reason(progress, records, alive)
        if (
            hold_reason != self._hold_reason
            and hold_reason
            and not self._rollback_reason
            and not state_machine.finished
        ):
            state_machine.log_event("held", hold_reason)
        self._hold_reason = hold_reason

    def _find_hold_reason(self, progress: Progress, records: Mapping[str, GatewayRecord], alive: frozenset[str]) -> str:
        """Why this gateway must not change now; empty: it may."""
        for name, record in sorted(self._record_log.all().items()):
            if record.stop and record.mark == progress.change.mark() and name != self._membership_view.name:
                return f"{name} votes to stop: {record.stop}"
            if (
                name in alive
                and record.mark
                and record.mark != progress.change.mark()
                and name != self._membership_view.name
            ):
                return f"{name} is on another rollout, {record.rollout}"
        if self._membership_view.slowness() >= SLOWNESS_LIMIT:
            return "this gateway is slow"
        if progress.undecided:
            return "undecided"
        return progress.hold_reason(records, alive)

    def _permit_position(self, plan: StagePlan, records: Mapping[str, GatewayRecord], alive: frozenset[str]) -> int:
        """Position in the order; -1 while enough gateways before this one wait for permits, so that it need not ask."""
        own, limit = (
            plan.position(self._membership_view.name),
            2 * (self._state_machine.change.most_at_once if self._state_machine.change else 1),
        )
        asking = [
            gateway
            for gateway, record in records.items()
            if gateway in alive and (record.phase in WAITING_PHASES or record.phase in AWAY)
        ]
        ahead = sum(plan.position(name) < own for name in asking if name != self._membership_view.name)
        return own if ahead < limit else -1

    def changed(self) -> frozenset[str]:
        """Gateways that report to run the new version of the unfinished rollout; empty: there is none."""
        change = self._state_machine.change
        if change is None or self._state_machine.finished:
            return frozenset()
        records = self._record_log.all().items()
        return frozenset(
            name for name, record in records if record.mark == change.mark() and record.phase in CHANGED_PHASES
        )

    def view(self, now: int) -> dict[str, Any]:
        """Values for the operator's view."""
        if self._progress is None:
            return {"rollout": None}
        found = rollout_view(self._state_machine, self._progress, self._record_log)
        own = {"beat": self._announcer.beat, "not_told": list(self._announcer.omitted_classes)}
        return {**found, **own, "held": self._hold_reason, "recalled": self._rollback_reason}
