"""The current stage of a rollout as one gateway sees it, and its verdicts. No I/O; times in ns."""

from __future__ import annotations

from collections.abc import Mapping

from yardbank.cluster.rollout.canary_analysis import CanaryAnalysis, Past
from yardbank.cluster.rollout.document import Change
from yardbank.cluster.rollout.phase import Phase
from yardbank.cluster.rollout.record import GatewayRecord
from yardbank.cluster.rollout.stage_plan import StagePlan

STAGE, WELL, UNDECIDED, FINISHED = "stage", "well", "undecided", "finished"


class Progress:
    """State of one rollout.

    ``told``: newest records of the gateways with the same request; ``alive``: reachable gateways, including this one.
    """

    def __init__(self, now: int, change: Change, order: StagePlan, fresh: bool) -> None:
        """``fresh``: no gateway has changed yet."""
        self.change, self.order = change, order
        self.open = 1
        self.undecided = self.finished = False
        self.events: list[tuple[str, int, str]] = []  # what, stage, why
        self._begin(now, 1, fresh)

    def _begin(self, now: int, stage: int, seen: bool) -> None:
        """Starts a stage; ``seen``: this gateway has seen it from its beginning.

        A gateway that joins a running stage does not stop it because of request figures: tests that begin at many
        different times would together exceed the false-stop probability, which has to hold for a single test.
        """
        while stage < self.order.stages and not self.order.of(stage):  # a stage may be empty in a small fleet
            stage += 1
        self.open, self.undecided, self._seen = stage, False, seen
        self._through_at: int | None = None
        self._news, self._moved_at = -1, now
        self.canary_analysis = CanaryAnalysis(self.change, self.order, stage)
        self.events.append((STAGE, stage, f"{len(self.order.of(stage))} gateways"))

    def relisted(self, now: int, order: StagePlan) -> None:
        """Adopts a new peer list; changed gateways stay changed, and the current stage continues."""
        self.order = order
        self.canary_analysis.relisted(order)
        self._moved_at = now

    def step(self, now: int, told: Mapping[str, GatewayRecord], alive: frozenset[str], past: Past) -> None:
        """Updates the stage by the records received so far."""
        if self.finished:
            return
        self._follow(now, told)
        self.canary_analysis.look(past)
        through = self._through(told, alive)
        news = self._on_new(self.order.upto(self.open), told)
        if news != self._news or through != (self._through_at is not None):
            self._news, self._moved_at = news, now
        self._through_at = (self._through_at or now) if through else None
        held = self._through_at is not None and now - self._through_at >= self.change.hold
        if held and self.open == self.order.stages:
            self.finished = True
            self.events.append((FINISHED, self.open, ""))
        elif held and self.canary_analysis.well() and not self.undecided:
            self.events.append((WELL, self.open, self.canary_analysis.lacking()))
            self._begin(now, self.open + 1, True)
        elif now - self._moved_at >= self.change.longest and not self.undecided:
            self.undecided = True
            self.events.append((UNDECIDED, self.open, self.canary_analysis.lacking()))

    def _follow(self, now: int, told: Mapping[str, GatewayRecord]) -> None:
        """Skips to a later stage if most of it has changed: this gateway was cut off or down meanwhile."""
        for stage in range(self.order.stages, self.open, -1):
            members = self.order.of(stage)
            news = self._on_new(members, told)
            if news >= 2 and 2 * news > len(members):
                self._begin(now, stage, False)
                return

    @staticmethod
    def _on_new(names: tuple[str, ...], told: Mapping[str, GatewayRecord]) -> int:
        return sum(name in told and told[name].phase == Phase.NEW for name in names)

    def _through(self, told: Mapping[str, GatewayRecord], alive: frozenset[str]) -> bool:
        """Whether most gateways of the stages so far run the new version, and all of the reachable ones."""
        members = self.order.upto(self.open)
        news = self._on_new(tuple(name for name in members if name in alive), told)
        rest = [
            name
            for name in members
            if name in alive and name in told and told[name].phase not in (Phase.NEW, Phase.FELL)
        ]
        return news >= min(2, len(members)) and 2 * news > len(members) and not rest

    def worse(self, told: Mapping[str, GatewayRecord]) -> str:
        """Why the rollout has to stop by this gateway's own judgement; empty: it has not."""
        return (self.canary_analysis.worse() if self._seen else "") or self.canary_analysis.broken(told)

    def lacking(self, told: Mapping[str, GatewayRecord], alive: frozenset[str]) -> str:
        """Why too little is known for this gateway to change; empty: it is enough."""
        size = len(self.order.names)
        if not self.order.can_be_judged:
            return "no zone has two gateways: nothing to compare with"
        if 2 * len(alive & set(self.order.names)) <= size:
            return f"sees {len(alive)} of {size}"
        if 2 * sum(name in alive for name in told) <= size:
            return f"{sum(name in alive for name in told)} of {size} are asked for it"
        before = self.order.upto(self.open - 1)
        here = self._on_new(tuple(name for name in before if name in alive), told)
        if 2 * here <= len(before) and before:
            return f"hears {here} of the {len(before)} that have gone"
        return ""
