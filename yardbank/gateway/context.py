"""Settings, clock, timers, log and recording callback that all components of one gateway share."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from yardbank import interface as api
from yardbank.gateway.api import Limits
from yardbank.gateway.deadlines import Deadlines
from yardbank.gateway.limited_log import LimitedLog

Record = Callable[[dict[str, Any]], None]


@dataclass(slots=True, frozen=True)
class GatewayContext:
    """Dependencies shared by one gateway's components. Created once by ``Gateway``; components never modify it."""

    settings: api.Settings
    limits: Limits
    now: Callable[[], int]  # the gateway's monotonic clock, ns
    deadlines: Deadlines
    reactor: Any
    log: Any
    request_log: LimitedLog  # for lines that requests cause
    debug_enabled: bool  # whether debug logging is enabled; debug events are not built otherwise
    record: Record | None

    def record_event(self, kind: str, **fields: Any) -> None:
        """Pass an event to the recording callback, if there is one."""
        if self.record:
            self.record({"kind": f"gateway_{kind}", **fields})
