"""Runs attempts: sends them over links, buffers or streams their responses, reports their ends to the router.

Owns: counts of unsuccessful attempts by reason, and for each request its attempts and what they have returned
(``outstanding``, ``parts``, ``gathered_bytes``, ``answering_attempt``, ``miss_payload``). Bounds:
``MAX_FAILURE_KINDS`` reasons are counted separately; ``Limits.gather`` bytes of a response are buffered. Invariant:
each ``Send`` of the router gets exactly one ``Outcome``, after any final answer that it led to.
"""

from __future__ import annotations

import re
from collections import Counter
from functools import partial
from typing import Any

from yardbank import interface as api
from yardbank.gateway.api import Reply
from yardbank.gateway.attempt import Attempt
from yardbank.gateway.context import GatewayContext
from yardbank.gateway.ending import effective_status
from yardbank.gateway.endpoint_set import EndpointSet
from yardbank.gateway.event_queue import EventQueue
from yardbank.gateway.positions import Positions
from yardbank.gateway.request import InFlightRequest
from yardbank.gateway.request_table import RequestTable
from yardbank.gateway.responder import Responder
from yardbank.gateway.send_check import SendCheck, check_send

_DIGITS = re.compile("[0-9]+")
MAX_FAILURE_KINDS = 64  # distinct reasons of unsuccessful attempts that are counted for the log
MAX_REASON_CHARS = 80  # characters of a reason that are kept


class AttemptRunner:
    """Sends attempts to servers and handles their responses."""

    def __init__(
        self,
        context: GatewayContext,
        requests: RequestTable,
        endpoints: EndpointSet,
        positions: Positions,
        events: EventQueue,
        responder: Responder,
    ) -> None:
        self._context = context
        self._requests = requests
        self._endpoints = endpoints
        self._positions = positions
        self._events = events
        self._responder = responder
        self.failure_counts: Counter[str] = Counter()  # unsuccessful attempts by status and reason

    # Sending

    def log_decision(self, action: api.Action, cause: api.Event, request: InFlightRequest, **more: Any) -> None:
        """Log an action on a request and the event that caused it, if debug logging is enabled."""
        if not self._context.debug_enabled:
            return
        why = type(cause).__name__
        if isinstance(cause, api.Outcome):
            why = f"{why}:{cause.status}"
        self._context.log.debug(
            "decision",
            action=type(action).__name__,
            cause=why,
            request=request.id,
            request_class=request.request_class.name,
            **more,
        )

    def send(self, action: api.Send, cause: api.Event) -> None:
        """Start an attempt that the router has decided on."""
        request = self._requests.get(action.id)
        if request is None:  # the router sends nothing for a finished request; if it did, nothing would run
            return
        number, now = request.attempts, self._context.now()
        request.attempts += 1
        link = self._endpoints.links.get(action.server)
        attempt = Attempt(
            request.call.operation,
            now,
            partial(self._on_part, request, number),
            partial(self._on_end, request, number, action.server),
            partial(self._check_before_write, request, action.server),
            self._events.lists_handled,
        )
        request.outstanding[number] = attempt
        if link is not None:
            self.log_decision(action, cause, request, attempt=number, server=link.server.name)
            if self._context.record:
                self._context.record_event("send", id=request.id, attempt=number, server=link.server.name)
        if request.ended:
            attempt.end("moot", None, SendCheck.ENDED.value)
        elif link is None:
            attempt.end("moot", None, SendCheck.SUPERSEDED.value)
        else:
            link.submit(attempt, action.until)
            self._endpoints.arm_idle_timer()

    def _check_before_write(self, request: InFlightRequest, server: int, attempt: Attempt) -> SendCheck | None:
        """Check right before an attempt is written: pending lists, the client's presence, the data, other changes."""
        if not request.ended:
            self._endpoints.apply_pending_lists()
            if not request.ended and not self._client_is_present(request):
                self.leave(request.id)
        reason = check_send(request, attempt, self._context.now(), self._endpoints.last_invalidation(server))
        if reason is None and not self._events.may_write(request.id, server):
            return SendCheck.DATA_TOO_OLD
        return reason

    def _client_is_present(self, request: InFlightRequest) -> bool:
        if request.call.present is None:
            return True
        try:
            return request.call.present()
        except Exception as problem:  # error boundary: frontend code; a client of unknown state counts as present
            self._context.log.error("front_error", request=request.id, error=repr(problem), exc_info=True)
            return True

    def leave(self, number: str) -> None:
        """Handle a client that has disconnected or cancelled its request.

        No answer is given, and attempts that have not been written yet never will be.
        """
        request = self._requests.get_open(number)
        if request is None:
            return
        self._responder.finish(request, "left", "")
        self._events.handle(api.ClientCancelled(number))
        self._responder.withdraw(request)

    def shorten_deadline(self, request: InFlightRequest, expires: int) -> None:
        """Shorten the deadline of a request's attempts to ``expires`` (ns)."""
        for attempt in list(request.outstanding.values()):
            if attempt.link is not None:
                attempt.link.shorten_deadline(attempt, expires)

    def cancel(self, action: api.Cancel, cause: api.Event) -> None:
        """Stop waiting for an attempt, if it is still outstanding."""
        request = self._requests.get(action.id)
        if request is None:
            return
        attempt = request.outstanding.get(action.attempt)
        if attempt is None or attempt.link is None:
            return
        self.log_decision(action, cause, request)
        attempt.link.cancel(attempt)

    # Responses

    def _on_part(self, request: InFlightRequest, number: int, payload: Any, size: int) -> None:
        """Buffer a part of a response; once the buffer limit is exceeded, start streaming to the client."""
        if request.ended or request.answering_attempt not in (None, number):
            return
        if request.answering_attempt == number:
            self._deliver_part(request, payload)
            self._arm_stream_timer(request, number)
            return
        request.parts.setdefault(number, []).append(payload)
        request.gathered_bytes[number] = request.gathered_bytes.get(number, 0) + size
        if request.gathered_bytes[number] > (request.call.gather or self._context.limits.gather):
            self._begin_stream(request, number)

    def _begin_stream(self, request: InFlightRequest, number: int) -> None:
        request.answering_attempt = number
        parts = request.parts.pop(number)
        self._events.handle(api.Started(request.id))
        self._responder.withdraw(request)
        attempt = request.outstanding.get(number)
        if attempt is not None and attempt.timer is not None:
            self._context.deadlines.cancel(attempt.timer)
        for part in parts:
            self._deliver_part(request, part)
        self._arm_stream_timer(request, number)

    def _arm_stream_timer(self, request: InFlightRequest, number: int) -> None:
        if request.stream_timer is not None:
            self._context.deadlines.cancel(request.stream_timer)
        if request.ended:
            return
        at = self._context.now() + self._context.limits.stream_idle
        request.stream_timer = self._context.deadlines.add(at, partial(self._stream_timed_out, request, number))

    def _stream_timed_out(self, request: InFlightRequest, number: int) -> None:
        attempt = request.outstanding.get(number)
        if attempt is not None and attempt.link is not None:
            attempt.link.cancel(attempt)

    def _deliver_part(self, request: InFlightRequest, payload: Any) -> None:
        try:
            request.call.sink.part(payload)
        except Exception as problem:  # error boundary: an error in a frontend ends only its own request
            self._context.log.error("front_error", request=request.id, error=repr(problem), exc_info=True)
            if not request.ended:
                self._responder.end(request, "internal error")

    # Completion of attempts

    def _on_end(
        self, request: InFlightRequest, number: int, server: int, status: str, reply: Reply | None, reason: str
    ) -> None:
        attempt, now = request.outstanding.pop(number), self._context.now()
        link = self._endpoints.links.get(server)
        name = link.server.name if link else str(server)
        role, token, report = api.Role.UNKNOWN, None, None
        if reply is not None:
            role = reply.role
            status, token, report = self._apply_reply(request, attempt, server, status, reply, now)
        if status not in api.NEVER_RAN:
            request.record_run(attempt.sent_at)
        self._record_end(request, number, name, status, reason)
        if not request.ended:
            self._answer(request, number, name, status, reply)
        request.parts.pop(number, None)
        event = api.Outcome(
            id=request.id,
            attempt=number,
            server=server,
            status=status,
            latency=now - attempt.sent_at,
            closed=request.ended,
            role=role,
            position=token,
            report=report,
        )
        self._requests.discard_if_done(request)
        self._events.handle(event)
        if request.ended:
            self._responder.withdraw(request)

    def _apply_reply(
        self, request: InFlightRequest, attempt: Attempt, server: int, status: str, reply: Reply, now: int
    ) -> tuple[str, int | None, api.Report | None]:
        """Apply what a reply says about its server; returns the effective status, the write's token and a report."""
        token, report = None, None
        if reply.role:
            self._positions.role(server, reply.role == api.Role.PRIMARY, now)
        status = effective_status(status, reply.payload is not None, self._positions.is_reference(server))
        if status == "miss" and reply.payload is not None:
            request.miss_payload = reply.payload
        if reply.commit is not None:
            token = self._positions.committed(server, reply.commit, attempt.sent_at)
        if reply.report is not None:
            report = self._positions.report(server, reply.report, attempt.sent_at)
        return status, token, report

    def _record_end(self, request: InFlightRequest, number: int, server: str, status: str, reason: str) -> None:
        if status != "ok":
            failure = _DIGITS.sub("#", f"{status}: {reason}"[:MAX_REASON_CHARS])
            if failure in self.failure_counts or len(self.failure_counts) < MAX_FAILURE_KINDS:
                self.failure_counts[failure] += 1
            self._context.request_log.info(
                "attempt_failed",
                request=request.id,
                attempt=number,
                server=server,
                status=status,
                reason=reason[:MAX_REASON_CHARS],
            )
        if self._context.record:
            self._context.record_event("attempt_end", id=request.id, attempt=number, server=server, status=status)
        if self._context.debug_enabled:
            self._context.log.debug(
                "attempt_end", request=request.id, attempt=number, server=server, status=status, reason=reason
            )

    def _answer(self, request: InFlightRequest, number: int, server: str, status: str, reply: Reply | None) -> None:
        """Answer a request with the response of an attempt, or fail it if a streamed response broke off."""
        if status == "ok" and request.answering_attempt in (None, number):
            for part in request.parts.pop(number, []):
                self._deliver_part(request, part)
            if not request.ended:
                self._responder.serve(request, reply.payload if reply else None, server)
        elif request.answering_attempt == number:
            self._responder.fail(request, "the answer broke off")
