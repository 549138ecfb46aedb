"""Log lines that requests cause, limited in number so that a busy gateway does not spend its time on them."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from yardbank.gateway.api import SECOND

MAX_LINES = 10  # per event and second


@dataclass(slots=True)
class _EventLines:
    """Lines of one event in its current second."""

    since: int
    written: int = 0
    left_out: int = 0


class LimitedLog:
    """Writes the first ``MAX_LINES`` lines of each event in a second; the next line has the number of those left out.

    Bound: one entry per event name.
    """

    def __init__(self, log: Any, now: Callable[[], int]) -> None:
        self._log = log
        self._now = now
        self._lines: dict[str, _EventLines] = {}

    def info(self, event: str, **facts: Any) -> None:
        """Write one line, or count it as left out."""
        now = self._now()
        lines = self._lines.get(event)
        if lines is None:
            lines = self._lines[event] = _EventLines(now)
        if now - lines.since >= SECOND:
            lines.since = now
            lines.written = 0
        if lines.written >= MAX_LINES:
            lines.left_out += 1
            return
        lines.written += 1
        if lines.left_out:
            facts["left_out"] = lines.left_out
            lines.left_out = 0
        self._log.info(event, **facts)
