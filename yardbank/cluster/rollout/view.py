"""A rollout as one gateway sees it, as plain values for the operator's view. No I/O."""

from __future__ import annotations

import math
from typing import Any

from yardbank.cluster.rollout.phase import NAMES
from yardbank.cluster.rollout.progress import Progress
from yardbank.cluster.rollout.record_log import RecordLog
from yardbank.cluster.rollout.state_machine import RolloutStateMachine


def rollout_view(state_machine: RolloutStateMachine, progress: Progress, record_log: RecordLog) -> dict[str, Any]:
    """Stage, phases of all known gateways, evidence so far and the thresholds it has to reach."""
    change, analysis = progress.change, progress.canary_analysis
    names_by_phase: dict[str, list[str]] = {}
    for name, record in sorted(record_log.all().items()):
        if record.mark == change.mark():
            names_by_phase.setdefault(NAMES[record.phase] if record.phase < len(NAMES) else "unknown", []).append(name)
    return {
        "rollout": change.id,
        "stage": progress.current_stage,
        "stages": len(change.stages),
        "place": NAMES[state_machine.phase],
        "version": state_machine.name,
        "stopped": state_machine.stopped(change.id),
        "finished": state_machine.finished,
        "undecided": progress.undecided,
        "places": names_by_phase,
        "contested": record_log.contested,
        "evidence": {
            "worse": round(analysis.worse_evidence, 2),
            "stops_at": round(math.log(len(change.stages) / change.false_stop), 2),
            "well": round(analysis.pass_evidence, 2),
            "passes_at": round(math.log(1 / change.false_pass), 2),
            "windows": analysis.windows,
            "classes": sorted(analysis.classes),
            "not_compared": sorted(analysis.uncompared),
        },
    }
