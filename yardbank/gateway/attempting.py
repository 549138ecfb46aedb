"""Attempts: sent, their answers gathered or streamed, their ends told to the module."""

from __future__ import annotations

import re
from typing import Any

from yardbank import interface as api
from yardbank.gateway.answering import Answering
from yardbank.gateway.api import Reply
from yardbank.gateway.ending import standing
from yardbank.gateway.link import Attempt
from yardbank.gateway.request import Open
from yardbank.gateway.sending import Withheld, withheld

_DIGITS = re.compile("[0-9]+")
MAX_ENDS = 64  # ways to come to nothing that are told apart in the log


class Attempting(Answering):
    """What goes to servers and what comes back."""

    def _reason(self, action: api.Action, cause: api.Event, request: Open, **more: Any) -> None:
        if not self._explains:
            return
        why = f"{type(cause).__name__}:{cause.status}" if isinstance(cause, api.Outcome) else type(cause).__name__
        self.log.debug(
            "decision",
            action=type(action).__name__,
            cause=why,
            request=request.id,
            request_class=request.kind.name,
            **more,
        )

    def _send(self, action: api.Send, cause: api.Event) -> None:
        request = self._open.get(action.id)
        if request is None:  # the module sends nothing for what has ended; if it did, nothing ran
            return
        number, now = request.attempts, self._clock.now()
        request.attempts += 1
        way = self._ways.get(action.server)
        attempt = Attempt(
            request.call.operation,
            now,
            lambda payload, size: self._part(request, number, payload, size),
            lambda status, reply, reason: self._attempt_ended(request, number, action.server, status, reply, reason),
            lambda attempt: self._look(request, attempt, action.server),
            self._lists_told,
        )
        request.out[number] = attempt
        if way is not None:
            self._reason(action, cause, request, attempt=number, server=way.server.name)
            if self._record:
                self._note("send", id=request.id, attempt=number, server=way.server.name)
        if way is None or request.ended:
            attempt.end("moot", None, (Withheld.ENDED if request.ended else Withheld.SUPERSEDED).value)
        else:
            way.submit(attempt, action.until)
            self._watch_idle()

    def _look(self, request: Open, attempt: Attempt, server: int) -> Withheld | None:
        """The last look before an attempt is written: lists that lie unread, the client, and what has come between."""
        if not request.ended:
            self._catch_up()
            if not request.ended and not self._present(request):
                self.leave(request.id)
        return withheld(request, attempt, self._clock.now(), self._changed_in.get(server, 0))

    def _present(self, request: Open) -> bool:
        try:
            return request.call.present is None or request.call.present()
        except Exception as problem:
            self.log.error("front_error", request=request.id, error=repr(problem), exc_info=True)
            return True

    def leave(self, number: str) -> None:
        """The client of a request has gone, or wants no answer: none is sent, and what has not gone out never will."""
        request = self._open.get(number)
        if request is None or request.ended:
            return
        self._finish(request, "left", "")
        self._handle(api.ClientCancelled(number))
        self._withdraw(request)

    def _part(self, request: Open, number: int, payload: Any, size: int) -> None:
        """Gather an answer's parts up to the bound; beyond it, the answer begins to reach the client."""
        if request.ended or request.answering not in (None, number):
            return
        if request.answering == number:
            self._deliver_part(request, payload)
            self._arm_stream(request, number)
            return
        parts = request.parts.setdefault(number, [])
        parts.append(payload)
        request.gathered[number] = request.gathered.get(number, 0) + size
        if request.gathered[number] > (request.call.gather or self.limits.gather):
            request.answering = number
            del request.parts[number]
            self._handle(api.Started(request.id))
            self._withdraw(request)
            attempt = request.out.get(number)
            if attempt is not None and attempt.timer is not None:
                self._deadlines.cancel(attempt.timer)
            for part in parts:
                self._deliver_part(request, part)
            self._arm_stream(request, number)

    def _arm_stream(self, request: Open, number: int) -> None:
        if request.stream_timer is not None:
            self._deadlines.cancel(request.stream_timer)
        if request.ended:
            return
        at = self._clock.now() + self.limits.stream_idle

        def too_slow() -> None:
            if (attempt := request.out.get(number)) and attempt.way:
                attempt.way.cancel(attempt)

        request.stream_timer = self._deadlines.add(at, too_slow)

    def _deliver_part(self, request: Open, payload: Any) -> None:
        try:
            request.call.sink.part(payload)
        except Exception as problem:
            self.log.error("front_error", request=request.id, error=repr(problem), exc_info=True)
            if not request.ended:
                self._end(request, "internal error")

    def _attempt_ended(
        self, request: Open, number: int, server: int, status: str, reply: Reply | None, reason: str
    ) -> None:
        attempt, now = request.out.pop(number), self._clock.now()
        way = self._ways.get(server)
        name = way.server.name if way else str(server)
        role, token, report = api.Role.UNKNOWN, None, None
        if reply is not None:
            role = reply.role
            if role:
                self._positions.role(server, role == api.Role.PRIMARY, now)
            status = standing(status, reply.payload is not None, self._positions.leads(server))
            if status == "miss" and reply.payload is not None:
                request.missed = reply.payload
            if reply.commit is not None:
                token = self._positions.committed(server, reply.commit, attempt.sent_at)
            if reply.report is not None:
                report = self._positions.report(server, reply.report, attempt.sent_at)
        if status not in api.NEVER_RAN:
            request.ran(attempt.sent_at)
        if status != "ok":
            end = _DIGITS.sub("#", f"{status}: {reason}"[:80])
            if end in self._ends or len(self._ends) < MAX_ENDS:
                self._ends[end] += 1
        if self._record:
            self._note("attempt_end", id=request.id, attempt=number, server=name, status=status)
        if self._explains:
            self.log.debug("attempt_end", request=request.id, attempt=number, server=name, status=status, reason=reason)
        if request.ended:
            pass
        elif status == "ok" and request.answering in (None, number):
            parts = request.parts.pop(number, [])
            for part in parts:
                self._deliver_part(request, part)
            if not request.ended:
                self._finish(request, "served", name)
                self._final(request, lambda: request.call.sink.served(reply.payload if reply else None))
        elif request.answering == number:
            self._fail(request, "the answer broke off")
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
        self._forget(request)
        self._handle(event)
        if request.ended:
            self._withdraw(request)
