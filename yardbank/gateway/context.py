"""What every part of one gateway uses and none of them owns: settings, clock, timers, log, record of facts."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from yardbank import interface as api
from yardbank.gateway.api import Limits
from yardbank.gateway.deadlines import Deadlines

Record = Callable[[dict[str, Any]], None]


@dataclass(slots=True, frozen=True)
class GatewayContext:
    """The surroundings of one gateway's parts. Made once by ``Gateway``; no part replaces anything in it."""

    settings: api.Settings
    limits: Limits
    now: Callable[[], int]  # the gateway's clock, ns
    deadlines: Deadlines
    reactor: Any
    log: Any
    explains: bool  # whether the log takes debug lines: they are not made up otherwise
    record: Record | None

    def note(self, kind: str, **facts: Any) -> None:
        """Hand a fact to the owner's record, if it keeps one."""
        if self.record:
            self.record({"kind": f"gateway_{kind}", **facts})
