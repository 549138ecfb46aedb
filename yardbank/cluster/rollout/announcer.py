"""Writes this gateway's own record: its figures at each beat, its phase, its stop verdict. No I/O; times in ns."""

from __future__ import annotations

from msgspec.structs import replace

from yardbank.cluster.peers.parts import MembershipView, Message
from yardbank.cluster.rollout.local_state import Options
from yardbank.cluster.rollout.metrics import Metrics, cells
from yardbank.cluster.rollout.record import MAX_REASON_LENGTH, MAX_RECORD_OCTETS, Cell, GatewayRecord, encode_record
from yardbank.cluster.rollout.record_log import RecordLog, relay_count
from yardbank.cluster.rollout.stage_plan import StagePlan
from yardbank.cluster.rollout.state_machine import RolloutStateMachine

SECOND = 1_000_000_000
SLOWNESS_LIMIT = 3  # value of ``MembershipView.slowness`` from which this gateway's view and figures are not trusted
MIN_BEAT_NS = 3 * SECOND
URGENT_STOP_ROUNDS = 3  # ticks in which a stop is sent at once; afterwards each message carries it anyway
RELAYS_PER_SECOND = 5  # records that one gateway relays in a second


class Announcer:
    """Writes this gateway's record.

    Figures are read at numbered intervals ("beats") that start at nearly the same time on all gateways although clocks
    are not compared: a gateway enters the next beat when its own interval ends, or when two others report a later one.
    """

    def __init__(self, membership_view: MembershipView, record_log: RecordLog, options: Options) -> None:
        self._membership_view, self._record_log, self._options = membership_view, record_log, options
        self.last_record = GatewayRecord(membership_view.name, 1, 1)
        self.beat = 0
        self.omitted_classes: tuple[str, ...] = ()  # classes that did not fit into the record
        self._next_beat_at = 0  # start of the next beat
        self._record_number = 0
        self._urgent_rounds = 0  # ticks left in which a stop is sent at once
        self._metrics = Metrics()
        self._cells: tuple[Cell, ...] = ()

    def start_beat(self, now: int, plan: StagePlan, stage: int) -> bool:
        """Enters the next beat if it is time; returns whether there are figures to send for it."""
        reported_beat = self._record_log.second_highest_beat()
        if now < self._next_beat_at and reported_beat <= self.beat:
            return False
        self.beat = max(reported_beat, self.beat + (now >= self._next_beat_at))
        pairs = plan.pairs(stage)
        interval = max(MIN_BEAT_NS, 2 * len(pairs) * relay_count(len(plan.names)) * SECOND // RELAYS_PER_SECOND)
        self._next_beat_at = now + (self._options.beat or interval)
        previous, self._metrics = self._metrics, self._options.figures()
        self.discard_figures()
        if any(self._membership_view.name in (pair.new, pair.old) for pair in pairs):
            self._cells, self.omitted_classes = cells(previous, self._metrics)
        return bool(self._cells)

    def discard_figures(self) -> None:
        """Drops figures that were read in another phase than the current one."""
        self._cells, self.omitted_classes = (), ()

    def announce(self, state_machine: RolloutStateMachine, beat: bool) -> list[Message]:
        """Writes a new record if anything changed; returns messages if others should have it at once."""
        change, name = state_machine.change, self._membership_view.name
        stop = state_machine.stopped(change.id) if change is not None else ""
        record = GatewayRecord(
            name,
            self._membership_view.boot_epoch,
            0,
            change.id if change else "",
            change.mark() if change else 0,
            state_machine.phase,
            state_machine.running_version,
            stop[:MAX_REASON_LENGTH],
            self.beat if self._cells else self.last_record.beat,  # not compared: nothing new at each beat
            int(self._membership_view.slowness() >= SLOWNESS_LIMIT),
            state_machine.restarts,
            self._metrics.memory >> 20 if self._cells else self.last_record.memory,
            self._cells,
        )
        while record.cells and len(encode_record(record)) > MAX_RECORD_OCTETS - 16:
            record = replace(record, cells=record.cells[:-1])
        if record.stop and not self.last_record.stop:
            self._urgent_rounds = URGENT_STOP_ROUNDS
        changed = replace(record, slow=0) != replace(self.last_record, number=0, slow=0)
        if changed:
            self._record_number += 1
            self.last_record = replace(record, number=self._record_number)
            self._record_log.put_own(self.last_record)
        alive = self._membership_view.alive()
        urgent = self._urgent_rounds > 0 and bool(alive)
        self._urgent_rounds -= urgent
        state_changed, state_machine.state_changed = state_machine.state_changed, False
        return self._record_log.announce(alive, urgent) if urgent or (changed and (beat or state_changed)) else []
