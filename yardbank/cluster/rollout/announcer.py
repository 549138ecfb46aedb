"""Writes this gateway's own record: its figures at each beat, its phase, its stop verdict. No I/O; times in ns."""

from __future__ import annotations

from msgspec.structs import replace

from yardbank.cluster.peers.parts import MembershipView, Message
from yardbank.cluster.rollout.local_state import Options
from yardbank.cluster.rollout.metrics import Metrics, cells
from yardbank.cluster.rollout.record import MAX_RECORD, MAX_WHY, Cell, GatewayRecord, encoded
from yardbank.cluster.rollout.record_log import RecordLog, passed_on_often
from yardbank.cluster.rollout.stage_plan import StagePlan
from yardbank.cluster.rollout.state_machine import RolloutStateMachine

SECOND = 1_000_000_000
SLOW = 3  # value of ``MembershipView.slowness`` from which this gateway's view and figures are not trusted
LEAST_BEAT = 3 * SECOND
ROUNDS = 3  # ticks in which a stop is sent at once; afterwards each message carries it anyway
PACE = 5  # records that one gateway relays in a second


class Announcer:
    """Writes this gateway's record.

    Figures are read at numbered intervals ("beats") that start at nearly the same time on all gateways although no
    clocks are compared: a gateway enters the next beat when its own interval ends, or when two others report a later one.
    """

    def __init__(self, membership_view: MembershipView, record_log: RecordLog, options: Options) -> None:
        self._membership_view, self._record_log, self._options = membership_view, record_log, options
        self.told = GatewayRecord(membership_view.name, 1, 1)  # the newest one
        self.beat = 0
        self.left_out: tuple[str, ...] = ()  # classes that did not fit into the record
        self._at = 0  # start of the next beat
        self._number = 0
        self._rounds = 0  # ticks left in which a stop is sent at once
        self._figures = Metrics()
        self._cells: tuple[Cell, ...] = ()

    def enter(self, now: int, order: StagePlan, stage: int) -> bool:
        """Enters the next beat if it is time; returns whether there are figures to send for it."""
        heard = self._record_log.second_beat()
        if now < self._at and heard <= self.beat:
            return False
        self.beat = max(heard, self.beat + (now >= self._at))
        pairs = order.pairs(stage)
        least = max(LEAST_BEAT, 2 * len(pairs) * passed_on_often(len(order.names)) * SECOND // PACE)
        self._at = now + (self._options.beat or least)
        before, self._figures = self._figures, self._options.figures()
        self.forget()
        if any(self._membership_view.name in (pair.new, pair.old) for pair in pairs):
            self._cells, self.left_out = cells(before, self._figures)
        return bool(self._cells)

    def forget(self) -> None:
        """Drops figures that were read in another phase than the current one."""
        self._cells, self.left_out = (), ()

    def tell(self, state_machine: RolloutStateMachine, beat: bool) -> list[Message]:
        """Writes a new record if anything changed; returns messages if others should have it at once."""
        change, name = state_machine.change, self._membership_view.name
        stop = state_machine.stopped(change.id) if change is not None else ""
        said = GatewayRecord(
            name,
            self._membership_view.boot_epoch,
            0,
            change.id if change else "",
            change.mark() if change else 0,
            state_machine.phase,
            state_machine.running,
            stop[:MAX_WHY],
            self.beat if self._cells else self.told.beat,  # a gateway that is not compared has nothing new at each beat
            int(self._membership_view.slowness() >= SLOW),
            state_machine.restarts,
            self._figures.memory >> 20 if self._cells else self.told.memory,
            self._cells,
        )
        while said.cells and len(encoded(said)) > MAX_RECORD - 16:
            said = replace(said, cells=said.cells[:-1])
        if said.stop and not self.told.stop:
            self._rounds = ROUNDS
        news = replace(said, slow=0) != replace(self.told, number=0, slow=0)
        if news:
            self._number += 1
            self.told = replace(said, number=self._number)
            self._record_log.say(self.told)
        alive = self._membership_view.alive()
        urgent = self._rounds > 0 and bool(alive)
        self._rounds -= urgent
        moved, state_machine.moved = state_machine.moved, False
        return self._record_log.direct(alive, urgent) if urgent or (news and (beat or moved)) else []
