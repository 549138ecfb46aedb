"""When a scenario's steps begin and end. No I/O: moments come in with the time, what is to be done now goes out.

A step waits (for its hour, counted from the load's beginning or from what it comes after), holds, and is over. One that
lasts for good is over for those that come after it as soon as it has begun.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from yardbank.testing.rig.scenario import Step

WAITING, HOLDING, OVER = "waiting", "holding", "over"
# What moves a step on: from, by, to. There is no way back.
TABLE = (
    (WAITING, "its hour has come", HOLDING),
    (HOLDING, "its time is up, or what it lasts until has come", OVER),
    (WAITING, "what it lasts until came first", OVER),
)


@dataclass(slots=True, frozen=True)
class Due:
    """Begin or end this step now."""

    step: Step
    begin: bool


@dataclass(slots=True)
class _Turn:
    step: Step
    state: str = WAITING
    begin_at: float | None = None  # seconds; None: not known yet
    end_at: float | None = None


class Schedule:
    """All steps of a scenario."""

    def __init__(self, steps: Iterable[Step]) -> None:
        self._turns = {step.name: _Turn(step) for step in steps}

    def begin(self, now: float) -> list[Due]:
        """The load begins."""
        for turn in self._turns.values():
            if not turn.step.after:
                turn.begin_at = now + turn.step.at / 1e9
        return self.due(now)

    def happened(self, now: float, event: str) -> list[Due]:
        """Something that steps may wait for: an event, or a step that is over or has begun for good."""
        for turn in self._turns.values():
            if turn.state == WAITING and turn.step.after == event and turn.begin_at is None:
                turn.begin_at = now + turn.step.at / 1e9
            if turn.step.until == event and turn.state != OVER:
                turn.end_at = now
        return self.due(now)

    def due(self, now: float) -> list[Due]:
        """What is to be done by now, in order."""
        found: list[Due] = []
        while True:
            ready = [turn for turn in self._turns.values() if (at := self._next(turn)) is not None and at <= now]
            if not ready:
                return found
            found += self._move(min(ready, key=lambda turn: self._next(turn) or 0.0), now)

    def _next(self, turn: _Turn) -> float | None:
        if turn.state == WAITING:
            times = [at for at in (turn.begin_at, turn.end_at) if at is not None]
            return min(times, default=None)
        return turn.end_at if turn.state == HOLDING else None

    def _move(self, turn: _Turn, now: float) -> list[Due]:
        step = turn.step
        if turn.state == WAITING and turn.end_at is not None:  # what it lasts until came first
            turn.state = OVER
            return self.happened(now, step.name)
        if turn.state == WAITING:
            turn.state = HOLDING
            if step.lasts:
                turn.end_at = now + step.lasts / 1e9
            more = [] if step.lasts or step.until else self.happened(now, step.name)
            return [Due(step, True), *more]
        turn.state = OVER
        return [Due(step, False), *self.happened(now, step.name)]

    def next_at(self) -> float | None:
        """When ``due`` is to be called next; None: after the next event."""
        times = [at for turn in self._turns.values() if (at := self._next(turn)) is not None]
        return min(times, default=None)

    def holding(self) -> Sequence[Step]:
        """Steps that have begun and are not over."""
        return [turn.step for turn in self._turns.values() if turn.state == HOLDING]

    def quiet(self) -> bool:
        """Whether nothing more begins or ends: all steps are over, or hold for good."""
        return all(
            turn.state == OVER or (turn.state == HOLDING and not (turn.step.lasts or turn.step.until))
            for turn in self._turns.values()
        )

    def never_begun(self) -> list[str]:
        """Steps whose hour never came."""
        return [name for name, turn in self._turns.items() if turn.state == WAITING]
