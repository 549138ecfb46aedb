"""Events into the decision module, its actions out, strictly one event after the other.

Owns: the events that wait, and how many server lists the module has been given. Only this part calls the module.
Bound: an action adds at most a few events, and the queue is empty whenever control goes back to the reactor.
Invariant: all actions of one event are carried out before the next event is handed over; an event that comes up
meanwhile waits at the end of the queue. An error in the module or in an action is handed to ``rescue`` and goes no
further.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from yardbank import interface as api
from yardbank.gateway.context import GatewayContext
from yardbank.policy import Router


class EventQueue:
    """Feeds one decision module. ``carry_out`` does an action; ``rescue`` ends the request that an error concerns."""

    def __init__(
        self,
        context: GatewayContext,
        router: Router,
        carry_out: Callable[[api.Action, api.Event], None],
        rescue: Callable[[api.Event | api.Action], None],
    ) -> None:
        self._context = context
        self._router = router
        self._carry_out = carry_out
        self._rescue = rescue
        self._events: deque[api.Event] = deque()
        self._handling = False
        self.lists_handled = 0

    def handle(self, event: api.Event) -> None:
        """Hand an event to the module and carry out its actions; if another is being handled, after that."""
        self._events.append(event)
        if self._handling:
            return
        self._handling = True
        try:
            while self._events:
                self._handle_one(self._events.popleft())
        finally:
            self._handling = False

    def append(self, event: api.Event) -> None:
        """Put an event in the queue without starting on it: the caller runs within ``handle``."""
        self._events.append(event)

    def silence(self) -> None:
        """From now on the module hears nothing and decides nothing, as in a process that was killed."""
        self._router.handle = lambda now, event: []  # type: ignore[method-assign]

    def _handle_one(self, event: api.Event) -> None:
        if isinstance(event, api.ServerList):
            self.lists_handled += 1
        log = self._context.log
        try:
            actions = self._router.handle(self._context.now(), event)
        except Exception as problem:  # border: an error in one decision ends one request, not the gateway
            log.error("decision_error", cause=type(event).__name__, error=repr(problem), exc_info=True)
            self._rescue(event)
            return
        for action in actions:
            try:
                self._carry_out(action, event)
            except Exception as problem:  # border: fronts' and backends' code runs in there
                log.error("action_error", action=type(action).__name__, error=repr(problem), exc_info=True)
                self._rescue(action)
