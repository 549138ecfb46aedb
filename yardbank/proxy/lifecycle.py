"""Order in which the optional parts of a proxy start and stop.

Invariant: parts stop in the order in which they were added; within a phase they start in that order too.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum


class StartPhase(Enum):
    """When a part starts, relative to the listeners."""

    OPENING = "opening"  # with the listening sockets: an ``OSError`` closes them all again
    OPENED = "opened"  # once all sockets are open, before the first connection is accepted; an ``OSError`` as above
    LISTENING = "listening"  # once connections are accepted


@dataclass(slots=True, frozen=True)
class ManagedPart:
    """One part. The argument of ``stop`` tells whether every request was answered."""

    phase: StartPhase
    start: Callable[[], None]
    stop: Callable[[bool], None]


class Lifecycle:
    """The optional parts of one proxy."""

    def __init__(self) -> None:
        self._parts: list[ManagedPart] = []

    def add(self, phase: StartPhase, start: Callable[[], None], stop: Callable[[bool], None]) -> None:
        """Add a part. It stops after the parts that were added before it."""
        self._parts.append(ManagedPart(phase, start, stop))

    def start(self, phase: StartPhase) -> None:
        """Start the parts of one phase. An exception of a part propagates, and the parts after it are not started."""
        for part in self._parts:
            if part.phase is phase:
                part.start()

    def stop(self, clean: bool) -> None:
        """Stop all parts."""
        for part in self._parts:
            part.stop(clean)
