"""Gives each request its one final answer, and ends all requests when the gateway stops.

Owns: the counts of answers, the stopping state and the shutdown trigger. Only this class gives final answers and marks
requests as answered. Bound: counters by request class. Invariant: a request's sink gets exactly one of ``served``,
``refused``, ``failed``, or none if its client has left, and nothing after that.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred, succeed

from yardbank import interface as api
from yardbank.gateway.api import Backend
from yardbank.gateway.context import GatewayContext
from yardbank.gateway.ending import may_be_refused
from yardbank.gateway.endpoint_set import EndpointSet
from yardbank.gateway.event_queue import EventQueue
from yardbank.gateway.request import InFlightRequest
from yardbank.gateway.request_counters import RequestCounters
from yardbank.gateway.request_table import RequestTable
from yardbank.gateway.send_check import SendCheck

IMMEDIATE_REFUSAL_NS = 5_000_000  # a refusal within this time (ns) counts as "at once", a later one as "held"
STOPPED_REASON = "the gateway has stopped"


class Responder:
    """Final answers and stopping."""

    def __init__(
        self,
        context: GatewayContext,
        backend: Backend,
        requests: RequestTable,
        endpoints: EndpointSet,
        events: EventQueue,
        log_answers: bool,
    ) -> None:
        self._context = context
        self._backend = backend
        self._requests = requests
        self._endpoints = endpoints
        self._events = events
        self._log_answers = log_answers
        self.counts: dict[str, int] = dict.fromkeys(("served", "refused", "failed", "left"), 0)
        self.refused_by_class: Counter[str] = Counter()  # and by timing, see ``_count``
        self.request_counters = RequestCounters(context.settings.classes)
        self._stopping: Deferred[None] | None = None
        self._trigger: Any = None
        if hasattr(context.reactor, "addSystemEventTrigger"):  # a test clock has no shutdown event
            self._trigger = context.reactor.addSystemEventTrigger("before", "shutdown", self._on_reactor_shutdown)

    # Stopping

    @property
    def stopping(self) -> bool:
        """Whether the gateway no longer accepts requests."""
        return self._stopping is not None

    def stop(self, grace: int | None) -> Deferred[None]:
        """Accept no more requests; fires when all accepted ones are answered, at the latest after ``grace`` ns."""
        if self._stopping is None:
            self._stopping = Deferred()
            self._begin_stop(grace)
        waiter: Deferred[None] = Deferred()
        if self._stopping.called:
            return succeed(None)

        def pass_on(_: None) -> None:
            waiter.callback(None)

        self._stopping.addCallback(pass_on)
        return waiter

    def _begin_stop(self, grace: int | None) -> None:
        unanswered = self._requests.unanswered
        self._context.log.info("stopping", owed=unanswered)
        if not unanswered:
            self._finish_stopping()
            return
        limit = self._context.limits.stop_grace if grace is None else grace
        self._context.deadlines.add(self._context.now() + limit, self._end_all)

    def kill(self) -> None:
        """Stop like a killed process: connections are aborted and nothing is answered."""
        self._events.detach_router()
        for request in self._requests.all():
            request.ended = True
        self._context.deadlines.clear()
        for link in self._endpoints.all_links():
            link.abort()
        if self._trigger is not None:
            self._context.reactor.removeSystemEventTrigger(self._trigger)
            self._trigger = None

    def _on_reactor_shutdown(self) -> None:
        """Answer every open request now: the reactor shuts down without ``stop`` having been called."""
        if self._stopping is None:
            self._stopping = Deferred()
        self._end_all()

    def _end_all(self) -> None:
        for request in self._requests.all():
            if not request.ended:
                self.end(request, STOPPED_REASON)
        self._finish_stopping()

    def _finish_stopping(self) -> None:
        assert self._stopping is not None
        if self._stopping.called:
            return
        trigger, self._trigger = self._trigger, None
        if trigger is not None:
            try:
                self._context.reactor.removeSystemEventTrigger(trigger)
            except (ValueError, KeyError):  # the trigger is running right now
                pass
        for link in self._endpoints.all_links():
            link.close(STOPPED_REASON)
        self._context.deadlines.clear()
        self._context.log.info("stopped", **self.counts)
        self._stopping.callback(None)

    def _finish_stopping_if_answered(self) -> None:
        if not self._requests.unanswered:
            self._finish_stopping()

    # Final answers

    def end_after_error(self, cause: api.Event | api.Action) -> None:
        """End the one request that an internal error concerns."""
        number = getattr(cause, "id", None)
        if not isinstance(number, str):
            return
        request = self._requests.get_open(number)
        if request is None:
            return
        self.end(request, "internal error")
        if not isinstance(cause, api.ClientCancelled):
            self._events.append(api.ClientCancelled(request.id))

    def serve(self, request: InFlightRequest, payload: Any, server: str = "") -> None:
        """Deliver the last part of the response; ``server`` is the name of the server that sent it, for the log."""
        self.finish(request, "served", server)
        self._call_sink(request, lambda: request.call.sink.served(payload))

    def refuse(self, request: InFlightRequest, retry_after: int, reason: str, cause: str = "") -> None:
        """Refuse a request, or serve the payload of a replica's miss. ``retry_after``: ns; ``cause``: for the log."""
        if request.miss_payload is not None:  # an allowed replica answered, and no server differed
            self.serve(request, request.miss_payload)
            return
        self.finish(request, "refused", "")
        self._log_not_served(request, "refused", cause or reason)
        self._call_sink(request, lambda: request.call.sink.refused(retry_after, reason))

    def fail(self, request: InFlightRequest, reason: str, cause: str = "") -> None:
        """Fail a request, which may or may not have run. ``cause``: for the log."""
        self.finish(request, "failed", "")
        self._log_not_served(request, "failed", cause or reason)
        self._call_sink(request, lambda: request.call.sink.failed(reason))

    def end(self, request: InFlightRequest, reason: str) -> None:
        """End a request without a decision of the router."""
        if self._may_refuse(request):
            self.refuse(request, self._context.settings.max_retry_after, reason)
        else:
            self.fail(request, reason)
        self.withdraw(request)

    def _may_refuse(self, request: InFlightRequest) -> bool:
        if request.answering_attempt is not None:
            return False
        may_have_run = request.may_have_run or any(attempt.was_written for attempt in request.outstanding.values())
        return may_be_refused(request.request_class, may_have_run)

    def withdraw(self, request: InFlightRequest) -> None:
        """Withdraw attempts of a request that wait for a connection: they end as never run."""
        for attempt in list(request.outstanding.values()):
            if not attempt.was_written and not attempt.ended:
                attempt.end("moot", None, SendCheck.ENDED.value)

    def finish(self, request: InFlightRequest, answer: str, server: str) -> None:
        """Count a request as ended before its sink is called, so that it counts as answered everywhere."""
        self._requests.mark_answered(request)
        took = self._context.now() - request.taken_at
        self._count(request, answer, took)
        if request.stream_timer is not None:
            self._context.deadlines.cancel(request.stream_timer)
        request.parts.clear()
        if self._context.record:
            self._context.record_event("answer", id=request.id, answer=answer)
        if self._log_answers:
            self._log_answer(request, answer, server, took)
        self._requests.discard_if_done(request)
        if self._stopping is not None and not self._requests.unanswered and not self._stopping.called:
            self._context.reactor.callLater(0, self._finish_stopping_if_answered)

    def _count(self, request: InFlightRequest, answer: str, took: int) -> None:
        self.counts[answer] += 1
        self.request_counters.add(request.request_class, answer, took)
        if answer != "refused":
            return
        if request.attempts:
            when = "after attempts"
        elif took < IMMEDIATE_REFUSAL_NS:
            when = "at once"
        else:
            when = "held"
        self.refused_by_class[f"{request.request_class.name} {when}"] += 1

    def _log_not_served(self, request: InFlightRequest, answer: str, reason: str) -> None:
        self._context.request_log.info(
            "request_not_served",
            request=request.id,
            operation=request.call.label or self._backend.describe(request.call.operation),
            answer=answer,
            reason=reason,
            attempts=request.attempts,
            ms=round((self._context.now() - request.taken_at) / 1e6, 1),
        )

    def _log_answer(self, request: InFlightRequest, answer: str, server: str, took: int) -> None:
        self._context.log.info(
            "answer",
            request=request.id,
            answer=answer,
            request_class=request.request_class.name,
            operation=request.call.label or self._backend.describe(request.call.operation),
            attempts=request.attempts,
            list=request.list_version,
            server=server or None,
            ms=round(took / 1e6, 3),
        )

    def _call_sink(self, request: InFlightRequest, deliver: Callable[[], None]) -> None:
        try:
            deliver()
        except Exception as problem:  # error boundary: a frontend must not harm other requests
            self._context.log.error("front_error", request=request.id, error=repr(problem), exc_info=True)
