"""Determines when the steps of a scenario begin and end. No I/O: it is given times and events and returns due actions.

A step waits for its start time, which counts from the beginning of the load or from the step or event in ``after``;
then it is active, then over. Steps that depend on a permanent step start when it has begun.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from yardbank.testing.rig.scenario import Step

WAITING, ACTIVE, OVER = "waiting", "holding", "over"
# State, cause, next state. States are never revisited.
TRANSITIONS = (
    (WAITING, "its start time is reached", ACTIVE),
    (ACTIVE, "its end time is reached, or the event in ``until`` occurred", OVER),
    (WAITING, "the event in ``until`` occurred first", OVER),
)


@dataclass(slots=True, frozen=True)
class DueAction:
    """An action that is due: begin or end a step."""

    step: Step
    begin: bool


@dataclass(slots=True)
class _ScheduledStep:
    step: Step
    state: str = WAITING
    begin_at: float | None = None  # seconds; None: not yet known
    end_at: float | None = None


class Schedule:
    """The steps of a scenario and their states."""

    def __init__(self, steps: Iterable[Step]) -> None:
        self._entries = {step.name: _ScheduledStep(step) for step in steps}

    def begin(self, now: float) -> list[DueAction]:
        """Starts the schedule with the load; returns the actions due."""
        for entry in self._entries.values():
            if not entry.step.after:
                entry.begin_at = now + entry.step.at / 1e9
        return self.due(now)

    def handle_event(self, now: float, event: str) -> list[DueAction]:
        """Handles an event, or the end or permanent start of a step; returns the actions due."""
        for entry in self._entries.values():
            if entry.state == WAITING and entry.step.after == event and entry.begin_at is None:
                entry.begin_at = now + entry.step.at / 1e9
            if entry.step.until == event and entry.state != OVER:
                entry.end_at = now
        return self.due(now)

    def due(self, now: float) -> list[DueAction]:
        """The actions due by now, in order."""
        found: list[DueAction] = []
        while True:
            ready = [
                entry for entry in self._entries.values() if (at := self._next_time(entry)) is not None and at <= now
            ]
            if not ready:
                return found
            found += self._advance(min(ready, key=lambda entry: self._next_time(entry) or 0.0), now)

    def _next_time(self, entry: _ScheduledStep) -> float | None:
        if entry.state == WAITING:
            times = [at for at in (entry.begin_at, entry.end_at) if at is not None]
            return min(times, default=None)
        return entry.end_at if entry.state == ACTIVE else None

    def _advance(self, entry: _ScheduledStep, now: float) -> list[DueAction]:
        step = entry.step
        if entry.state == WAITING and entry.end_at is not None:  # the event in ``until`` occurred first
            entry.state = OVER
            return self.handle_event(now, step.name)
        if entry.state == WAITING:
            entry.state = ACTIVE
            if step.lasts:
                entry.end_at = now + step.lasts / 1e9
            more = [] if step.lasts or step.until else self.handle_event(now, step.name)
            return [DueAction(step, True), *more]
        entry.state = OVER
        return [DueAction(step, False), *self.handle_event(now, step.name)]

    def next_at(self) -> float | None:
        """The time of the next action; None: only after an event."""
        times = [at for entry in self._entries.values() if (at := self._next_time(entry)) is not None]
        return min(times, default=None)

    def active_steps(self) -> Sequence[Step]:
        """Steps that are active."""
        return [entry.step for entry in self._entries.values() if entry.state == ACTIVE]

    def is_idle(self) -> bool:
        """Whether all steps are over or permanently active."""
        return all(
            entry.state == OVER or (entry.state == ACTIVE and not (entry.step.lasts or entry.step.until))
            for entry in self._entries.values()
        )

    def not_begun(self) -> list[str]:
        """Names of the steps that have not begun."""
        return [name for name, entry in self._entries.items() if entry.state == WAITING]
