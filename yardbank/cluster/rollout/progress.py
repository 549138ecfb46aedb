"""The current stage of a rollout as one gateway sees it, and its verdicts. No I/O; times in ns."""

from __future__ import annotations

from collections.abc import Mapping

from yardbank.cluster.rollout.canary_analysis import CanaryAnalysis, History
from yardbank.cluster.rollout.document import Change
from yardbank.cluster.rollout.phase import Phase
from yardbank.cluster.rollout.record import GatewayRecord
from yardbank.cluster.rollout.stage_plan import StagePlan

STAGE, WELL, UNDECIDED, FINISHED = "stage", "well", "undecided", "finished"


class Progress:
    """State of one rollout.

    ``records``: newest records of the gateways with the same request; ``alive``: reachable gateways with this one.
    """

    def __init__(self, now: int, change: Change, plan: StagePlan, fresh: bool) -> None:
        """``fresh``: no gateway has changed yet."""
        self.change, self.plan = change, plan
        self.current_stage = 1
        self.undecided = self.finished = False
        self.events: list[tuple[str, int, str]] = []  # what, stage, why
        self._begin(now, 1, fresh)

    def _begin(self, now: int, stage: int, seen: bool) -> None:
        """Starts a stage; ``seen``: this gateway has seen it from its beginning.

        A gateway that joins a running stage does not stop it because of request figures: tests that begin at many
        different times would together exceed the false-stop probability, which has to hold for a single test.
        """
        while stage < self.plan.stages and not self.plan.of(stage):  # a stage may be empty in a small fleet
            stage += 1
        self.current_stage, self.undecided, self._seen_from_start = stage, False, seen
        self._complete_since: int | None = None
        self._changed_count, self._last_progress_at = -1, now
        self.canary_analysis = CanaryAnalysis(self.change, self.plan, stage)
        self.events.append((STAGE, stage, f"{len(self.plan.of(stage))} gateways"))

    def relisted(self, now: int, plan: StagePlan) -> None:
        """Adopts a new peer list; changed gateways stay changed, and the current stage continues."""
        self.plan = plan
        self.canary_analysis.relisted(plan)
        self._last_progress_at = now

    def step(self, now: int, records: Mapping[str, GatewayRecord], alive: frozenset[str], history: History) -> None:
        """Updates the stage by the records received so far."""
        if self.finished:
            return
        self._catch_up(now, records)
        self.canary_analysis.update(history)
        complete = self._stage_complete(records, alive)
        changed_count = self._count_new(self.plan.up_to(self.current_stage), records)
        if changed_count != self._changed_count or complete != (self._complete_since is not None):
            self._changed_count, self._last_progress_at = changed_count, now
        self._complete_since = (self._complete_since or now) if complete else None
        held = self._complete_since is not None and now - self._complete_since >= self.change.hold
        if held and self.current_stage == self.plan.stages:
            self.finished = True
            self.events.append((FINISHED, self.current_stage, ""))
        elif held and self.canary_analysis.passed() and not self.undecided:
            self.events.append((WELL, self.current_stage, self.canary_analysis.summary()))
            self._begin(now, self.current_stage + 1, True)
        elif now - self._last_progress_at >= self.change.longest and not self.undecided:
            self.undecided = True
            self.events.append((UNDECIDED, self.current_stage, self.canary_analysis.summary()))

    def _catch_up(self, now: int, records: Mapping[str, GatewayRecord]) -> None:
        """Skips to a later stage if most of it has changed: this gateway was cut off or down meanwhile."""
        for stage in range(self.plan.stages, self.current_stage, -1):
            members = self.plan.of(stage)
            changed_count = self._count_new(members, records)
            if changed_count >= 2 and 2 * changed_count > len(members):
                self._begin(now, stage, False)
                return

    @staticmethod
    def _count_new(names: tuple[str, ...], records: Mapping[str, GatewayRecord]) -> int:
        return sum(name in records and records[name].phase == Phase.NEW for name in names)

    def _stage_complete(self, records: Mapping[str, GatewayRecord], alive: frozenset[str]) -> bool:
        """Whether most gateways of the stages so far run the new version, and all of the reachable ones."""
        members = self.plan.up_to(self.current_stage)
        changed_count = self._count_new(tuple(name for name in members if name in alive), records)
        pending = [
            name
            for name in members
            if name in alive and name in records and records[name].phase not in (Phase.NEW, Phase.FELL)
        ]
        return changed_count >= min(2, len(members)) and 2 * changed_count > len(members) and not pending

    def stop_reason(self, records: Mapping[str, GatewayRecord]) -> str:
        """Why the rollout has to stop by this gateway's own judgement; empty: it has not."""
        return (self.canary_analysis.worse() if self._seen_from_start else "") or self.canary_analysis.process_failure(
            records
        )

    def hold_reason(self, records: Mapping[str, GatewayRecord], alive: frozenset[str]) -> str:
        """Why too little is known for this gateway to change; empty: it is enough."""
        size = len(self.plan.names)
        if not self.plan.can_be_judged:
            return "no zone has two gateways: nothing to compare with"
        if 2 * len(alive & set(self.plan.names)) <= size:
            return f"sees {len(alive)} of {size}"
        if 2 * sum(name in alive for name in records) <= size:
            return f"{sum(name in alive for name in records)} of {size} gateways have the request"
        before = self.plan.up_to(self.current_stage - 1)
        present = self._count_new(tuple(name for name in before if name in alive), records)
        if 2 * present <= len(before) and before:
            return f"hears {present} of the {len(before)} changed gateways"
        return ""
