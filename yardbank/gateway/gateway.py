"""A gateway: passes events to the policy router and executes the actions it decides on.

Nothing is decided here. Each accepted request gets exactly one final answer, and the router gets exactly one
``Outcome`` for each ``Send``, in the order in which things happened. ``Gateway`` creates the components and delegates
calls to them; each module states at its top what it owns:

``EventQueue``      passes events to the router and executes its actions, in order
``RequestTable``    accepted requests by number
``EndpointSet``     listed servers and the links to them
``Prober``          probes of servers, and positions reported by other gateways
``Responder``       final answers, stopping
``AttemptRunner``   attempts in flight, their responses and how they end
"""

from __future__ import annotations

import logging
import time
from collections.abc import Callable, Mapping, Sequence
from dataclasses import replace
from typing import Any, TypeVar

import structlog
from twisted.internet.defer import Deferred

from yardbank import interface as api
from yardbank.gateway.api import SECOND, Backend, Call, Limits, ServerSpec
from yardbank.gateway.attempt_runner import AttemptRunner
from yardbank.gateway.clock import SteadyClock
from yardbank.gateway.context import GatewayContext, Record
from yardbank.gateway.deadlines import Deadlines
from yardbank.gateway.ending import allowed_time, is_near_limit
from yardbank.gateway.endpoint_set import EndpointSet, LatencyListener
from yardbank.gateway.event_queue import EventQueue
from yardbank.gateway.limited_log import LimitedLog
from yardbank.gateway.positions import Positions
from yardbank.gateway.prober import ProbeDone, Prober
from yardbank.gateway.request import InFlightRequest
from yardbank.gateway.request_counters import RequestCounters
from yardbank.gateway.request_table import RequestTable
from yardbank.gateway.responder import Responder
from yardbank.gateway.view import gateway_view
from yardbank.policy import Router
from yardbank.timeline import LogPosition, Vector

__all__ = ["Gateway", "Record"]
Component = TypeVar("Component")


class Gateway:
    """An instance of the proxy on a reactor; shares no state with other instances.

    ``settings`` are those of the policy router; ``backend`` connects to the servers; ``record`` receives every request,
    attempt and answer as a plain dictionary. ``router`` creates the policy router; ``positions`` interprets the log
    positions that servers report; ``connections_bound`` returns how many connections all servers together may have
    now: at the limit the longest-idle connection is closed to make room for a new one; ``before_send`` is called before
    each attempt is written and applies pending server lists (it may call ``apply_changes``).
    """

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
        self.settings = settings
        self.limits = limits or Limits()
        self.log = (log or structlog.get_logger()).bind()  # bound once: a lazy logger is created anew for each line
        is_enabled_for = getattr(self.log, "is_enabled_for", None)
        self._clock = SteadyClock(seconds)
        self._deadlines = Deadlines(self._clock.now, reactor.callLater)
        self._router = router(settings)
        self._positions = positions or Positions()
        self._limit_logged_at = 0
        context = GatewayContext(
            settings=settings,
            limits=self.limits,
            now=self._clock.now,
            deadlines=self._deadlines,
            reactor=reactor,
            log=self.log,
            request_log=LimitedLog(self.log, self._clock.now),
            debug_enabled=is_enabled_for is None or is_enabled_for(logging.DEBUG),
            record=record,
        )
        self._context = context
        self._requests = RequestTable(settings.classes, settings.seed)
        self._events = EventQueue(context, self._router, self._execute, self._end_after_error)
        self._endpoints = EndpointSet(
            context,
            backend,
            self._events,
            self._positions,
            wall=wall,
            connections_bound=connections_bound,
            before_send=before_send,
            on_removed=self._server_removed,
        )
        self._router.table.on_role_change = self._endpoints.log_role_change
        self._prober = Prober(
            context, self._router, self._events, self._endpoints, self._positions, lambda: self.stopping
        )
        self._responder = Responder(context, backend, self._requests, self._endpoints, self._events, log_answers)
        self._attempts = AttemptRunner(
            context, self._requests, self._endpoints, self._positions, self._events, self._responder
        )

    # Status

    @property
    def unanswered(self) -> int:
        """Number of requests accepted and not yet answered."""
        return self._requests.unanswered

    @property
    def stopping(self) -> bool:
        """Whether the gateway is stopping or has stopped."""
        return self._responder.stopping

    @property
    def groups(self) -> frozenset[str]:
        """Names of the groups for which servers have been listed."""
        return frozenset(self._endpoints.group_numbers)

    @property
    def strained(self) -> bool:
        """Whether the number of open requests is near its limit."""
        return is_near_limit(self._requests.unanswered, self.limits.max_open)

    @property
    def list_version(self) -> int:
        """The version of the server list that requests are routed by."""
        return self._endpoints.list_version

    @property
    def server_connections(self) -> int:
        """Number of connections to servers, open or opening."""
        return self._endpoints.connection_count

    @property
    def counts(self) -> dict[str, int]:
        """Number of requests that ended since the start, by answer."""
        return self._responder.counts

    @property
    def request_counters(self) -> RequestCounters:
        """Requests that ended since the start, by class, with their latencies."""
        return self._responder.request_counters

    @property
    def asks_left_out(self) -> int:
        """Number of ``ask`` calls not sent to the server because too many callers were waiting for its answer."""
        return self._prober.asks_left_out

    @property
    def latency_listeners(self) -> list[LatencyListener]:
        """Listeners called with the latency of each connect and each probe; append to the list to subscribe."""
        return self._endpoints.latency_listeners

    def connections(self) -> dict[str, int]:
        """Return the number of connections, open or opening, by server name."""
        return self._endpoints.connections()

    def now(self) -> int:
        """Return the time on the gateway's monotonic clock, ns."""
        return self._clock.now()

    def request_class(self, class_name: str) -> api.RequestClass:
        """Return a request class by its name. Raises ``KeyError`` if there is none."""
        return self._requests.classes[class_name]

    def call_at(self, at: int, callback: Callable[[], None]) -> Callable[[], None]:
        """Call ``callback`` at a given time (ns); returns a function that cancels it.

        Saves frontends timers of their own.
        """
        number = self._deadlines.add(at, callback)
        return lambda: self._deadlines.cancel(number)

    def call_next_turn(self, callback: Callable[[], None]) -> None:
        """Call ``callback`` in the next turn of the event loop."""
        self._context.reactor.callLater(0, callback)

    def view(self) -> dict[str, Any]:
        """Return the gateway's view of its load and its servers, for the log."""
        endpoints, gossiped = self._endpoints, self._prober.gossiped
        return {
            "owed": self.unanswered,
            "counts": self.counts,
            "refused": dict(self._responder.refused_by_class),
            "asks_left_out": self.asks_left_out,
            "passed": {"malformed": gossiped.malformed, "false": gossiped.false},
            **gateway_view(
                self._router,
                endpoints.specs,
                endpoints.server_numbers,
                endpoints.connections(),
                endpoints.group_numbers,
                self._attempts.failure_counts,
            ),
        }

    # Requests

    def take(self, call: Call) -> str:
        """Accept a request; its sink gets exactly one final answer. Returns the request's number."""
        now = self._clock.now()
        request = self._requests.add(call, now, self.list_version)
        if self._context.record:
            self._context.record_event(
                "taken", id=request.id, request_class=request.request_class.name, list=self.list_version, **call.facts
            )
        reason = self._reason_to_refuse(call, now)
        if reason is not None:
            self._responder.refuse(request, self.settings.max_retry_after, reason)
            return request.id
        request.event = api.Request(
            id=request.id,
            group=self._endpoints.group_numbers[call.group],
            class_name=request.request_class.name,
            expires=call.expires or now + allowed_time(request.request_class, call.time_limit),
            session=call.session,
            tenant=call.tenant,
            since_write=call.since_write,
        )
        self._events.handle(request.event)
        return request.id

    def _reason_to_refuse(self, call: Call, now: int) -> str | None:
        """Return why a request is refused before it is passed to the router; None if it is not."""
        if self.stopping:
            return "the gateway is stopping"
        if self.unanswered > self.limits.max_open:
            if now - self._limit_logged_at > SECOND:
                self._limit_logged_at = now
                self.log.warning("open_requests_bound", bound=self.limits.max_open)
            return "too many requests are open"
        if call.group not in self._endpoints.group_numbers:
            return "no server of the group is known"
        return None

    def leave(self, number: str) -> None:
        """Handle a client that has disconnected or cancelled its request.

        No answer is given, and attempts that have not been written yet never will be.
        """
        self._attempts.leave(number)

    def shorten_deadline(self, number: str, expires: int) -> None:
        """Move the deadline of a request forward to ``expires`` (ns); a later time has no effect."""
        request = self._requests.get_open(number)
        if request is None or request.answering_attempt is not None or request.event is None:
            return
        if expires >= request.event.expires:
            return
        request.event = replace(request.event, expires=expires)
        self._events.handle(api.Deadline(request.event))
        self._attempts.shorten_deadline(request, expires)

    def stop(self, grace: int | None = None) -> Deferred[None]:
        """Accept no more requests; fires when all accepted ones are answered, at the latest after ``grace`` ns."""
        return self._responder.stop(grace)

    def kill(self) -> None:
        """Stop like a killed process: connections are aborted and nothing is answered."""
        self._responder.kill()

    # The server list

    def restarted(self, floor_now: bool, floors: Mapping[str, Mapping[str, LogPosition]]) -> None:
        """Record that the session tokens of an earlier run are lost; call before the first list is applied.

        ``floor_now``: sessions may have written up to now. ``floors``: log positions by origin, by group.
        """
        self._endpoints.restarted(floor_now, floors)

    def remember(self) -> tuple[dict[str, dict[str, LogPosition]], dict[str, dict[str, LogPosition]]]:
        """Return what to persist: positions covering all tokens, by group; last reported positions, by server name."""
        return self._endpoints.remember()

    def apply_list(self, servers: Sequence[ServerSpec], version: int = 0) -> None:
        """Apply the complete list of servers. Raises ``ValueError`` if one is listed twice."""
        self._endpoints.apply_list(servers, version)

    def apply_changes(self, changes: Mapping[str, ServerSpec | None], version: int = 0) -> None:
        """Apply a change of the server list, by server name (None: removed); the cost depends on the change only.

        Attempts that wait for a connection to a server that starts draining, moves or is removed are withdrawn at once.
        May be called at any time, also while actions of the router are being executed: the router then receives the
        change after the events queued before it.
        """
        self._endpoints.apply_changes(changes, version)

    # Called by the cluster modules

    def ask(self, server: str, then: ProbeDone) -> None:
        """Probe a server for its log position; see ``Prober.ask``."""
        self._prober.ask(server, then)

    def apply_gossiped_position(self, server: str, started: int, marks: Vector, checked: bool = False) -> bool:
        """Apply a server's log positions reported by another gateway; see ``Prober.position_gossiped``."""
        return self._prober.position_gossiped(server, started, marks, checked)

    def apply_zone_latencies(self, latencies: Sequence[tuple[str, int, int]]) -> None:
        """Apply the latencies to other zones; see ``Prober.zone_latencies_measured``."""
        self._prober.zone_latencies_measured(latencies)

    def shared(self, make: Callable[..., Component]) -> Component:
        """Create the component that exchanges state with other gateways, giving it access to this gateway's state."""
        endpoints = self._endpoints
        return make(
            self._router,
            endpoints.specs,
            endpoints.server_numbers,
            endpoints.connections,
            self._responder.refused_by_class,
            self._events.handle,
        )

    # Actions of the router

    def _execute(self, action: api.Action, cause: api.Event) -> None:
        match action:
            case api.Send():
                self._attempts.send(action, cause)
            case api.SetTimer():
                timer = api.Timer(action.token)
                self._deadlines.add(self._clock.now() + action.delay, lambda: self._events.handle(timer))
            case api.Refuse():
                self._refuse(action, cause)
            case api.Fail():
                self._fail(action, cause)
            case api.Cancel():
                self._attempts.cancel(action, cause)
            case api.Probe():
                self._prober.probe(action.server)
            case api.CloseIdle():
                if link := self._endpoints.links.get(action.server):
                    link.close_idle()
            case api.Subscribe():
                pass  # the server list is applied through ``apply_list`` and ``apply_changes`` anyway

    def _refuse(self, action: api.Refuse, cause: api.Event) -> None:
        if (request := self._open_request(action, cause, action.id)) is not None:
            self._responder.refuse(request, action.retry_after, "turned away", action.reason)
            self._responder.withdraw(request)

    def _fail(self, action: api.Fail, cause: api.Event) -> None:
        if (request := self._open_request(action, cause, action.id)) is not None:
            self._responder.fail(request, "no answer that can be relied on", action.reason)
            self._responder.withdraw(request)

    def _open_request(self, action: api.Action, cause: api.Event, number: str) -> InFlightRequest | None:
        request = self._requests.get_open(number)
        if request is not None:
            self._attempts.log_decision(action, cause, request)
        return request

    def _end_after_error(self, cause: api.Event | api.Action) -> None:
        self._responder.end_after_error(cause)

    def _server_removed(self, number: int) -> None:
        self._prober.forget(number)
