"""Attempts: sent over links, their answers gathered or streamed, their ends told to the module.

Owns: how attempts ended that came to nothing, and of each request its attempts and what they have brought
(``out``, ``parts``, ``gathered``, ``answering``, ``missed``). Bounds: ``MAX_ENDS`` ends are told apart;
``Limits.gather`` octets of an answer are kept back. Invariant: each ``Send`` of the module gets exactly one
``Outcome``, after whatever final answer it brought about.
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
from yardbank.gateway.ending import standing
from yardbank.gateway.endpoint_set import EndpointSet
from yardbank.gateway.event_queue import EventQueue
from yardbank.gateway.positions import Positions
from yardbank.gateway.request import InFlightRequest
from yardbank.gateway.request_table import RequestTable
from yardbank.gateway.responder import Responder
from yardbank.gateway.send_check import SendCheck, check_send

_DIGITS = re.compile("[0-9]+")
MAX_ENDS = 64  # ends that came to nothing which are told apart in the log
MAX_REASON = 80  # characters of one


class AttemptRunner:
    """What goes to servers and what comes back."""

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
        self.ends: Counter[str] = Counter()  # of attempts that came to nothing, by how

    # Sending

    def explain(self, action: api.Action, cause: api.Event, request: InFlightRequest, **more: Any) -> None:
        """Log what was decided on a request and on which event, where the log takes debug lines."""
        if not self._context.explains:
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
        """Start an attempt as the module has decided."""
        request = self._requests.get(action.id)
        if request is None:  # the module sends nothing for what has ended; if it did, nothing ran
            return
        number, now = request.attempts, self._context.now()
        request.attempts += 1
        link = self._endpoints.links.get(action.server)
        attempt = Attempt(
            request.call.operation,
            now,
            partial(self._part, request, number),
            partial(self._ended, request, number, action.server),
            partial(self._check, request, action.server),
            self._events.lists_handled,
        )
        request.out[number] = attempt
        if link is not None:
            self.explain(action, cause, request, attempt=number, server=link.server.name)
            if self._context.record:
                self._context.note("send", id=request.id, attempt=number, server=link.server.name)
        if request.ended:
            attempt.end("moot", None, SendCheck.ENDED.value)
        elif link is None:
            attempt.end("moot", None, SendCheck.SUPERSEDED.value)
        else:
            link.submit(attempt, action.until)
            self._endpoints.watch_idle()

    def _check(self, request: InFlightRequest, server: int, attempt: Attempt) -> SendCheck | None:
        """The last check before an attempt is written: lists that lie unread, the client, what has come between."""
        if not request.ended:
            self._endpoints.catch_up()
            if not request.ended and not self._client_is_present(request):
                self.leave(request.id)
        return check_send(request, attempt, self._context.now(), self._endpoints.changed_in(server))

    def _client_is_present(self, request: InFlightRequest) -> bool:
        if request.call.present is None:
            return True
        try:
            return request.call.present()
        except Exception as problem:  # border: the front's code; what cannot be told counts as there
            self._context.log.error("front_error", request=request.id, error=repr(problem), exc_info=True)
            return True

    def leave(self, number: str) -> None:
        """The client of a request has gone, or wants no answer: none is sent, and what has not gone out never will."""
        request = self._requests.unended(number)
        if request is None:
            return
        self._responder.finish(request, "left", "")
        self._events.handle(api.ClientCancelled(number))
        self._responder.withdraw(request)

    def shorten(self, request: InFlightRequest, expires: int) -> None:
        """A request's attempts are of no use from ``expires`` (ns) on."""
        for attempt in list(request.out.values()):
            if attempt.link is not None:
                attempt.link.shorten(attempt, expires)

    def cancel(self, action: api.Cancel, cause: api.Event) -> None:
        """Stop waiting for an attempt, if it is still out."""
        request = self._requests.get(action.id)
        if request is None:
            return
        attempt = request.out.get(action.attempt)
        if attempt is None or attempt.link is None:
            return
        self.explain(action, cause, request)
        attempt.link.cancel(attempt)

    # Answers

    def _part(self, request: InFlightRequest, number: int, payload: Any, size: int) -> None:
        """Gather an answer's parts up to the bound; beyond it, the answer begins to reach the client."""
        if request.ended or request.answering not in (None, number):
            return
        if request.answering == number:
            self._deliver_part(request, payload)
            self._arm_stream(request, number)
            return
        request.parts.setdefault(number, []).append(payload)
        request.gathered[number] = request.gathered.get(number, 0) + size
        if request.gathered[number] > (request.call.gather or self._context.limits.gather):
            self._begin_stream(request, number)

    def _begin_stream(self, request: InFlightRequest, number: int) -> None:
        request.answering = number
        parts = request.parts.pop(number)
        self._events.handle(api.Started(request.id))
        self._responder.withdraw(request)
        attempt = request.out.get(number)
        if attempt is not None and attempt.timer is not None:
            self._context.deadlines.cancel(attempt.timer)
        for part in parts:
            self._deliver_part(request, part)
        self._arm_stream(request, number)

    def _arm_stream(self, request: InFlightRequest, number: int) -> None:
        if request.stream_timer is not None:
            self._context.deadlines.cancel(request.stream_timer)
        if request.ended:
            return
        at = self._context.now() + self._context.limits.stream_idle
        request.stream_timer = self._context.deadlines.add(at, partial(self._stream_paused, request, number))

    def _stream_paused(self, request: InFlightRequest, number: int) -> None:
        attempt = request.out.get(number)
        if attempt is not None and attempt.link is not None:
            attempt.link.cancel(attempt)

    def _deliver_part(self, request: InFlightRequest, payload: Any) -> None:
        try:
            request.call.sink.part(payload)
        except Exception as problem:  # border: a front's error ends its own request alone
            self._context.log.error("front_error", request=request.id, error=repr(problem), exc_info=True)
            if not request.ended:
                self._responder.end(request, "internal error")

    # Ends

    def _ended(
        self, request: InFlightRequest, number: int, server: int, status: str, reply: Reply | None, reason: str
    ) -> None:
        attempt, now = request.out.pop(number), self._context.now()
        link = self._endpoints.links.get(server)
        name = link.server.name if link else str(server)
        role, token, report = api.Role.UNKNOWN, None, None
        if reply is not None:
            role = reply.role
            status, token, report = self._learn(request, attempt, server, status, reply, now)
        if status not in api.NEVER_RAN:
            request.ran(attempt.sent_at)
        self._note_end(request, number, name, status, reason)
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
        self._requests.discard_if_over(request)
        self._events.handle(event)
        if request.ended:
            self._responder.withdraw(request)

    def _learn(
        self, request: InFlightRequest, attempt: Attempt, server: int, status: str, reply: Reply, now: int
    ) -> tuple[str, int | None, api.Report | None]:
        """What a reply says of its server: the status as it counts, the write's token, a report."""
        token, report = None, None
        if reply.role:
            self._positions.role(server, reply.role == api.Role.PRIMARY, now)
        status = standing(status, reply.payload is not None, self._positions.leads(server))
        if status == "miss" and reply.payload is not None:
            request.missed = reply.payload
        if reply.commit is not None:
            token = self._positions.committed(server, reply.commit, attempt.sent_at)
        if reply.report is not None:
            report = self._positions.report(server, reply.report, attempt.sent_at)
        return status, token, report

    def _note_end(self, request: InFlightRequest, number: int, server: str, status: str, reason: str) -> None:
        if status != "ok":
            end = _DIGITS.sub("#", f"{status}: {reason}"[:MAX_REASON])
            if end in self.ends or len(self.ends) < MAX_ENDS:
                self.ends[end] += 1
        if self._context.record:
            self._context.note("attempt_end", id=request.id, attempt=number, server=server, status=status)
        if self._context.explains:
            self._context.log.debug(
                "attempt_end", request=request.id, attempt=number, server=server, status=status, reason=reason
            )

    def _answer(self, request: InFlightRequest, number: int, server: str, status: str, reply: Reply | None) -> None:
        """Give a request the answer that an attempt brought, or break off the one that it had begun."""
        if status == "ok" and request.answering in (None, number):
            for part in request.parts.pop(number, []):
                self._deliver_part(request, part)
            if not request.ended:
                self._responder.serve(request, reply.payload if reply else None, server)
        elif request.answering == number:
            self._responder.fail(request, "the answer broke off")
