"""A rollout as one gateway sees it, as plain values for an operator. No I/O."""

from __future__ import annotations

import math
from typing import Any

from yardbank.cluster.rollout.phase import NAMES
from yardbank.cluster.rollout.progress import Progress
from yardbank.cluster.rollout.record_log import RecordLog
from yardbank.cluster.rollout.state_machine import RolloutStateMachine


def rollout_view(mover: RolloutStateMachine, progress: Progress, book: RecordLog) -> dict[str, Any]:
    """The stage, this gateway's place and those that others tell, the evidence so far and what it has to reach."""
    change, trial = progress.change, progress.trial
    places: dict[str, list[str]] = {}
    for name, said in sorted(book.all().items()):
        if said.mark == change.mark():
            places.setdefault(NAMES[said.place] if said.place < len(NAMES) else "unknown", []).append(name)
    return {
        "rollout": change.id,
        "stage": progress.open,
        "stages": len(change.stages),
        "place": NAMES[mover.place],
        "version": mover.name,
        "stopped": mover.stopped(change.id),
        "finished": mover.finished,
        "undecided": progress.undecided,
        "places": places,
        "contested": book.contested,
        "evidence": {
            "worse": round(trial.evidence, 2),
            "stops_at": round(math.log(len(change.stages) / change.false_stop), 2),
            "well": round(trial.soundness, 2),
            "passes_at": round(math.log(1 / change.false_pass), 2),
            "windows": trial.windows,
            "classes": sorted(trial.classes),
            "not_compared": sorted(trial.apart),
        },
    }
