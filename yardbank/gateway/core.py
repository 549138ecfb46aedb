"""What all of one gateway shares: its state, its clock, and the module's events and actions in their order."""

from __future__ import annotations

import logging
import random
import time
from collections import Counter, deque
from collections.abc import Callable, Mapping
from typing import Any

import structlog
from twisted.internet.defer import Deferred

from yardbank import interface as api
from yardbank.gateway.api import MS, Backend, Limits, ProbeResult, ServerSpec
from yardbank.gateway.clock import SteadyClock
from yardbank.gateway.deadlines import Deadlines
from yardbank.gateway.ending import strained
from yardbank.gateway.link import Way
from yardbank.gateway.passed import Passed
from yardbank.gateway.positions import Positions
from yardbank.gateway.request import Open
from yardbank.gateway.tallies import Tallies
from yardbank.policy import Router
from yardbank.timeline import LogPosition

PASSED_DRAWS = 0x9A55ED  # draws of its own, so that those for requests' numbers stay as they are
Record = Callable[[dict[str, Any]], None]
WaySeen = Callable[[int, str, int, str], None]  # now, server's zone, ns, "connect" or "probe"
Told = Callable[[ProbeResult | None, int, str], None]  # position, when the question went out, status


class Core:
    """State, clock, and the turn of events; the layers above carry out what is decided."""

    def __init__(
        self,
        settings: api.Settings,
        backend: Backend,
        *,
        reactor: Any,
        limits: Limits | None = None,
        seconds: Callable[[], float] = time.monotonic,
        wall: Callable[[], float] = time.time,
        log: Any = None,
        record: Record | None = None,
        log_answers: bool = False,
        router: Callable[[api.Settings], Router] = Router,
        positions: Positions | None = None,
        connections_bound: Callable[[], int] | None = None,
        before_send: Callable[[], None] | None = None,
    ) -> None:
        self._before_send, self._busy_with_lists = before_send, False
        self._lists_put = self._lists_told = 0  # lists queued for the module, and those that it has got
        self._changed_in: dict[int, int] = {}  # by server, the list with which it last drained, moved or was gone
        self._connections_bound = connections_bound
        self.settings, self.limits = settings, limits or Limits()
        self.log = (log or structlog.get_logger()).bind()  # bound once: a lazy logger is made anew at each line
        enabled = getattr(self.log, "is_enabled_for", None)
        self._explains = enabled is None or enabled(logging.DEBUG)
        self._backend, self._reactor, self._wall = backend, reactor, wall
        self._clock = SteadyClock(seconds)
        self._record, self._log_answers = record, log_answers
        self._deadlines = Deadlines(self._clock.now, reactor.callLater)
        self._router = router(settings)
        self._kinds = {kind.name: kind for kind in settings.classes}
        self._positions = positions or Positions()
        self._servers: dict[str, int] = {}  # numbers by name: a server keeps its own for good
        self._groups: dict[str, int] = {}
        self._specs: dict[str, ServerSpec] = {}
        self._ways: dict[int, Way] = {}
        self._retired: list[Way] = []  # to servers that left the list or moved, until nothing is out there
        self._started: dict[int, int] = {}
        self._floor_now = 0
        self._floors: Mapping[str, Mapping[str, LogPosition]] = {}
        self.list_version = 0  # of the list that requests are routed by
        self._references: dict[int, list[Callable[[], None]]] = {}
        self._open: dict[str, Open] = {}
        self._events: deque[api.Event] = deque()
        self._handling = False
        self._sequence = 0
        self._prefix = f"{random.Random(settings.seed).getrandbits(32):08x}"
        self._stopping: Deferred[None] | None = None
        self._owed = 0
        self._full_logged_at = 0
        self._idle_timer: int | None = None
        self._refused: Counter[str] = Counter()  # by class, and whether at once, held or after attempts
        self._ends: Counter[str] = Counter()  # of attempts that came to nothing, by how
        self.tallies = Tallies(settings.classes)
        self.on_way: list[WaySeen] = []
        self._passed = Passed(random.Random(settings.seed ^ PASSED_DRAWS), (settings.gateways - 1) * MS)
        self._askers: dict[int, list[Told]] = {}
        self.asks_left_out = 0  # as too many waited for one server's answer
        self._told_ways: tuple[tuple[str, int, int], ...] = ()
        self.counts: dict[str, int] = dict.fromkeys(("served", "refused", "failed", "left"), 0)
        self._trigger: Any = None
        if hasattr(reactor, "addSystemEventTrigger"):  # a bare clock has no shutdown
            self._trigger = reactor.addSystemEventTrigger("before", "shutdown", self._host_stops)

    @property
    def owed(self) -> int:
        """Requests taken and not yet answered."""
        return self._owed

    @property
    def stopping(self) -> bool:
        """Whether ``stop`` was called."""
        return self._stopping is not None

    @property
    def groups(self) -> frozenset[str]:
        """Names of the groups that servers were listed for."""
        return frozenset(self._groups)

    @property
    def strained(self) -> bool:
        """Whether the bound of open requests is near."""
        return strained(self._owed, self.limits.max_open)

    def now(self) -> int:
        """The gateway's clock, ns."""
        return self._clock.now()

    def kind(self, class_name: str) -> api.RequestClass:
        """A class by its name."""
        return self._kinds[class_name]

    def call_at(self, at: int, fire: Callable[[], None]) -> Callable[[], None]:
        """Call back at an instant (ns); the result calls it off. For fronts: no timer of their own each."""
        number = self._deadlines.add(at, fire)
        return lambda: self._deadlines.cancel(number)

    # What the layers above are asked for

    def _carry_out(self, action: api.Action, cause: api.Event) -> None:
        raise NotImplementedError

    def _rescue(self, cause: api.Event | api.Action) -> None:
        raise NotImplementedError

    def _host_stops(self) -> None:
        raise NotImplementedError

    # Events in, actions out

    def _handle(self, event: api.Event) -> None:
        """Hand an event to the module and carry out its actions; what they cause waits its turn."""
        self._events.append(event)
        if self._handling:
            return
        self._handling = True
        try:
            while self._events:
                self._handle_one(self._events.popleft())
        finally:
            self._handling = False

    def _handle_one(self, event: api.Event) -> None:
        if isinstance(event, api.ServerList):
            self._lists_told += 1
        try:
            actions = self._router.handle(self._clock.now(), event)
        except Exception as problem:
            self.log.error("decision_error", cause=type(event).__name__, error=repr(problem), exc_info=True)
            self._rescue(event)
            return
        for action in actions:
            try:
                self._carry_out(action, event)
            except Exception as problem:
                self.log.error("action_error", action=type(action).__name__, error=repr(problem), exc_info=True)
                self._rescue(action)

    def _catch_up(self) -> None:
        """Have lists taken in that lie unread, unless one is being taken right now."""
        if self._before_send is None or self._busy_with_lists:
            return
        self._busy_with_lists = True
        try:
            self._before_send()
        except Exception as problem:
            self.log.error("before_send_error", error=repr(problem), exc_info=True)
        finally:
            self._busy_with_lists = False

    def _note(self, kind: str, **facts: Any) -> None:
        if self._record:
            self._record({"kind": f"gateway_{kind}", **facts})
