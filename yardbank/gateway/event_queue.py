"""Passes events to the policy router and executes its actions, strictly one event after the other.

Owns: the pending events, and the number of server lists passed to the router. Only this class calls the router.
Bound: an action adds at most a few events, and the queue is empty whenever control returns to the reactor.
Invariant: all actions of one event are executed before the next event is passed on; an event raised meanwhile is
appended to the queue. An exception in the router or in an action is handed to ``on_error`` and is not propagated.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from yardbank import interface as api
from yardbank.gateway.context import GatewayContext
from yardbank.policy import Router


class EventQueue:
    """Event queue of one router.

    ``execute`` performs an action; ``on_error`` ends the request that an error concerns.
    """

    def __init__(
        self,
        context: GatewayContext,
        router: Router,
        execute: Callable[[api.Action, api.Event], None],
        on_error: Callable[[api.Event | api.Action], None],
    ) -> None:
        self._context = context
        self._router = router
        self._execute = execute
        self._on_error = on_error
        self._events: deque[api.Event] = deque()
        self._handling = False
        self.lists_handled = 0

    def handle(self, event: api.Event) -> None:
        """Pass an event to the router and execute its actions; if another event is being handled, after that one."""
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
        """Queue an event without processing it: the caller is running within ``handle``."""
        self._events.append(event)

    def may_write(self, request: str, server: int) -> bool:
        """Whether the router would still let an attempt be written to a server."""
        return self._router.may_write(self._context.now(), request, server)

    def detach_router(self) -> None:
        """Stop passing events to the router, so that it decides nothing more, as in a killed process."""
        self._router.handle = lambda now, event: []  # type: ignore[method-assign]

    def _handle_one(self, event: api.Event) -> None:
        if isinstance(event, api.ServerList):
            self.lists_handled += 1
        log = self._context.log
        try:
            actions = self._router.handle(self._context.now(), event)
        except Exception as problem:  # error boundary: an error in one decision ends one request, not the gateway
            log.error("decision_error", cause=type(event).__name__, error=repr(problem), exc_info=True)
            self._on_error(event)
            return
        for action in actions:
            try:
                self._execute(action, event)
            except Exception as problem:  # error boundary: actions run code of frontends and backends
                log.error("action_error", action=type(action).__name__, error=repr(problem), exc_info=True)
                self._on_error(action)
