"""One gateway: feeds the decision module what happens and carries out what it decides.

Nothing is decided here. Each request taken gets exactly one final answer, and the module gets exactly one
``Outcome`` for each ``Send``, in the order in which things happened. ``Gateway`` makes and holds the parts and passes
calls along; each part says at its top what it owns:

``EventQueue``      events into the module, actions out, in their order
``RequestTable``    requests taken, by number
``EndpointSet``     servers listed, and the links to them
``Prober``          questions to servers, and positions that other gateways passed on
``Responder``       final answers, stopping
``AttemptRunner``   attempts on their way, their answers and ends
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
from yardbank.gateway.ending import allowance, strained
from yardbank.gateway.endpoint_set import EndpointSet, LatencyListener
from yardbank.gateway.event_queue import EventQueue
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
Shares = TypeVar("Shares")


class Gateway:
    """An instance of the proxy on a reactor; shares nothing with any other.

    ``settings`` are the decision module's own; ``backend`` reaches the servers; ``record`` is told of every
    request, attempt and answer, as plain dictionaries. ``router`` makes the decision module's instance;
    ``positions`` says what servers' marks mean; ``connections_bound`` how many connections all servers together may
    have now: at the bound the idlest gives way to a new one; ``before_send`` is called before each attempt is written,
    and takes in lists that lie unread (``apply_changes`` may be called from it).
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
        self.log = (log or structlog.get_logger()).bind()  # bound once: a lazy logger is made anew at each line
        is_enabled_for = getattr(self.log, "is_enabled_for", None)
        self._clock = SteadyClock(seconds)
        self._deadlines = Deadlines(self._clock.now, reactor.callLater)
        self._router = router(settings)
        self._positions = positions or Positions()
        self._bound_logged_at = 0
        context = GatewayContext(
            settings=settings,
            limits=self.limits,
            now=self._clock.now,
            deadlines=self._deadlines,
            reactor=reactor,
            log=self.log,
            explains=is_enabled_for is None or is_enabled_for(logging.DEBUG),
            record=record,
        )
        self._context = context
        self._requests = RequestTable(settings.classes, settings.seed)
        self._events = EventQueue(context, self._router, self._carry_out, self._rescue)
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
        self._prober = Prober(
            context, self._router, self._events, self._endpoints, self._positions, lambda: self.stopping
        )
        self._responder = Responder(context, backend, self._requests, self._endpoints, self._events, log_answers)
        self._attempts = AttemptRunner(
            context, self._requests, self._endpoints, self._positions, self._events, self._responder
        )

    # What it is at

    @property
    def unanswered(self) -> int:
        """Requests taken and not yet answered."""
        return self._requests.unanswered

    @property
    def stopping(self) -> bool:
        """Whether ``stop`` was called."""
        return self._responder.stopping

    @property
    def groups(self) -> frozenset[str]:
        """Names of the groups that servers were listed for."""
        return frozenset(self._endpoints.group_numbers)

    @property
    def strained(self) -> bool:
        """Whether the bound of open requests is near."""
        return strained(self._requests.unanswered, self.limits.max_open)

    @property
    def list_version(self) -> int:
        """The version of the list that requests are routed by."""
        return self._endpoints.list_version

    @property
    def server_connections(self) -> int:
        """Connections to servers, open or opening."""
        return self._endpoints.connection_count

    @property
    def counts(self) -> dict[str, int]:
        """How many requests ended since the start, by answer."""
        return self._responder.counts

    @property
    def request_counters(self) -> RequestCounters:
        """How requests ended since the start, by class, with their latencies."""
        return self._responder.request_counters

    @property
    def asks_left_out(self) -> int:
        """Calls of ``ask`` that were not put to the server, as too many waited for its answer."""
        return self._prober.asks_left_out

    @property
    def latency_listeners(self) -> list[LatencyListener]:
        """Listeners for the time that each connect and each probe took; whoever wants to hear of them adds one."""
        return self._endpoints.latency_listeners

    def connections(self) -> dict[str, int]:
        """Open connections by server name."""
        return self._endpoints.connections()

    def now(self) -> int:
        """The gateway's clock, ns."""
        return self._clock.now()

    def request_class(self, class_name: str) -> api.RequestClass:
        """A class by its name. Raises ``KeyError`` if there is none of it."""
        return self._requests.classes[class_name]

    def call_at(self, at: int, fire: Callable[[], None]) -> Callable[[], None]:
        """Call back at an instant (ns); the result calls it off. For fronts: no timer of their own each."""
        number = self._deadlines.add(at, fire)
        return lambda: self._deadlines.cancel(number)

    def view(self) -> dict[str, Any]:
        """What the gateway makes of its load and its servers, for the log."""
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
                self._attempts.ends,
            ),
        }

    # Requests

    def take(self, call: Call) -> str:
        """Take a request; its sink gets exactly one final answer. Returns its number."""
        now = self._clock.now()
        request = self._requests.add(call, now, self.list_version)
        if self._context.record:
            self._context.note(
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
            expires=call.expires or now + allowance(request.request_class, call.time_limit),
            session=call.session,
            tenant=call.tenant,
            since_write=call.since_write,
        )
        self._events.handle(request.event)
        return request.id

    def _reason_to_refuse(self, call: Call, now: int) -> str | None:
        """Why a request is refused before the module hears of it; None: it is not."""
        if self.stopping:
            return "the gateway is stopping"
        if self.unanswered > self.limits.max_open:
            if now - self._bound_logged_at > SECOND:
                self._bound_logged_at = now
                self.log.warning("open_requests_bound", bound=self.limits.max_open)
            return "too many requests are open"
        if call.group not in self._endpoints.group_numbers:
            return "no server of the group is known"
        return None

    def leave(self, number: str) -> None:
        """The client of a request has gone, or wants no answer: none is sent, and what has not gone out never will."""
        self._attempts.leave(number)

    def shorten(self, number: str, expires: int) -> None:
        """A request's answer is needed by ``expires`` (ns), sooner than was said; a later instant changes nothing."""
        request = self._requests.unended(number)
        if request is None or request.answering is not None or request.event is None:
            return
        if expires >= request.event.expires:
            return
        request.event = replace(request.event, expires=expires)
        self._events.handle(api.Deadline(request.event))
        self._attempts.shorten(request, expires)

    def stop(self, grace: int | None = None) -> Deferred[None]:
        """Take nothing new; fires when all that was taken is answered, at the latest after ``grace`` ns."""
        return self._responder.stop(grace)

    def kill(self) -> None:
        """End as a killed process does: connections are cut, nothing is answered."""
        self._responder.kill()

    # The list of servers

    def restarted(self, floor_now: bool, floors: Mapping[str, Mapping[str, LogPosition]]) -> None:
        """An earlier run's tokens are lost; call before the first list. ``floors``: marks by origin, by group."""
        self._endpoints.restarted(floor_now, floors)

    def remember(self) -> tuple[dict[str, dict[str, LogPosition]], dict[str, dict[str, LogPosition]]]:
        """For the durable state: marks that cover all tokens, by group; what each server last reported, by name."""
        return self._endpoints.remember()

    def apply_list(self, servers: Sequence[ServerSpec], version: int = 0) -> None:
        """Take the complete list of servers. Raises ``ValueError`` if one is named twice."""
        self._endpoints.apply_list(servers, version)

    def apply_changes(self, changes: Mapping[str, ServerSpec | None], version: int = 0) -> None:
        """Take what changes of the list, by server name (None: it is gone); the cost is that of the change.

        What waits for a connection to a server that begins to drain, moves or is gone is taken back at once. May be
        called at any time, also while the module's actions are carried out: it hears of the list in its turn.
        """
        self._endpoints.apply_changes(changes, version)

    # Those who know of the fleet

    def ask(self, server: str, then: ProbeDone) -> None:
        """Ask a server for its position; see ``Prober.ask``."""
        self._prober.ask(server, then)

    def apply_gossiped_position(self, server: str, started: int, marks: Vector, checked: bool = False) -> bool:
        """Take a server's marks that another gateway passed on; see ``Prober.position_gossiped``."""
        return self._prober.position_gossiped(server, started, marks, checked)

    def apply_zone_latencies(self, ways: Sequence[tuple[str, int, int]]) -> None:
        """Take the latencies to other zones; see ``Prober.zone_latencies_measured``."""
        self._prober.zone_latencies_measured(ways)

    def shared(self, make: Callable[..., Shares]) -> Shares:
        """Whatever tells other gateways of this one, and takes in their word; made of what it has to read and call."""
        endpoints = self._endpoints
        return make(
            self._router,
            endpoints.specs,
            endpoints.server_numbers,
            endpoints.connections,
            self._responder.refused_by_class,
            self._events.handle,
        )

    # What the module decided

    def _carry_out(self, action: api.Action, cause: api.Event) -> None:
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
                pass  # the list comes by itself

    def _refuse(self, action: api.Refuse, cause: api.Event) -> None:
        if (request := self._to_end(action, cause, action.id)) is not None:
            self._responder.refuse(request, action.retry_after, "turned away")
            self._responder.withdraw(request)

    def _fail(self, action: api.Fail, cause: api.Event) -> None:
        if (request := self._to_end(action, cause, action.id)) is not None:
            self._responder.fail(request, "no answer that can be relied on")
            self._responder.withdraw(request)

    def _to_end(self, action: api.Action, cause: api.Event, number: str) -> InFlightRequest | None:
        request = self._requests.unended(number)
        if request is not None:
            self._attempts.explain(action, cause, request)
        return request

    def _rescue(self, cause: api.Event | api.Action) -> None:
        self._responder.rescue(cause)

    def _server_removed(self, number: int) -> None:
        self._prober.forget(number)
