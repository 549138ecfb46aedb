"""One gateway: feeds the decision module what happens and carries out what it decides.

Nothing is decided here. Each request taken gets exactly one final answer, and the module gets exactly one
``Outcome`` for each ``Send``, in the order in which things happened. The layers, each on the one before: ``core``,
``reach``, ``probing``, ``answering``, ``attempting``, and here what the owner of a gateway calls.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import Any, TypeVar

from yardbank import interface as api
from yardbank.gateway.api import SECOND, Call
from yardbank.gateway.attempting import Attempting
from yardbank.gateway.core import Record
from yardbank.gateway.ending import allowance
from yardbank.gateway.request import Open
from yardbank.gateway.view import gateway_view

__all__ = ["Gateway", "Record"]
Shares = TypeVar("Shares")


class Gateway(Attempting):
    """An instance of the proxy on a reactor; shares nothing with any other.

    ``settings`` are the decision module's own; ``backend`` reaches the servers; ``record`` is told of every
    request, attempt and answer, as plain dictionaries. ``router`` makes the decision module's instance;
    ``positions`` says what servers' marks mean; ``connections_bound`` how many connections all servers together may
    have now: at the bound the idlest gives way to a new one; ``before_send`` is called before each attempt is written,
    and takes in lists that lie unread (``apply_changes`` may be called from it).
    """

    def take(self, call: Call) -> str:
        """Take a request; its sink gets exactly one final answer. Returns its number."""
        self._sequence += 1
        number = f"{self._prefix}-{self._sequence}"
        kind = self._kinds[call.class_name]
        now = self._clock.now()
        request = Open(number, call, kind, now, self.list_version)
        self._open[number] = request
        self._owed += 1
        if self._record:
            self._note("taken", id=number, request_class=kind.name, list=self.list_version, **call.facts)
        if self.stopping or self._owed > self.limits.max_open:
            reason = "the gateway is stopping" if self.stopping else "too many requests are open"
            if not self.stopping and now - self._full_logged_at > SECOND:
                self._full_logged_at = now
                self.log.warning("open_requests_bound", bound=self.limits.max_open)
            self._refuse(request, self.settings.max_retry_after, reason)
            return number
        if call.group not in self._groups:
            self._refuse(request, self.settings.max_retry_after, "no server of the group is known")
            return number
        request.event = api.Request(
            id=number,
            group=self._groups[call.group],
            class_name=kind.name,
            expires=call.expires or now + allowance(kind, call.time_limit),
            session=call.session,
            tenant=call.tenant,
            since_write=call.since_write,
        )
        self._handle(request.event)
        return number

    def shorten(self, number: str, expires: int) -> None:
        """A request's answer is needed by ``expires`` (ns), sooner than was said; a later instant changes nothing."""
        request = self._open.get(number)
        if request is None or request.ended or request.answering is not None or request.event is None:
            return
        if expires >= request.event.expires:
            return
        request.event = replace(request.event, expires=expires)
        self._handle(api.Deadline(request.event))
        for attempt in list(request.out.values()):
            if attempt.way is not None:
                attempt.way.shorten(attempt, expires)

    def shared(self, make: Callable[..., Shares]) -> Shares:
        """Whatever tells other gateways of this one, and takes in their word; made of what it has to read and call."""
        return make(self._router, self._specs, self._servers, self.connections, self._refused, self._handle)

    def view(self) -> dict[str, Any]:
        """What the gateway makes of its load and its servers, for the log."""
        return {
            "owed": self._owed,
            "counts": self.counts,
            "refused": dict(self._refused),
            "asks_left_out": self.asks_left_out,
            "passed": {"malformed": self._passed.malformed, "false": self._passed.false},
            **gateway_view(self._router, self._specs, self._servers, self.connections(), self._groups, self._ends),
        }

    def _carry_out(self, action: api.Action, cause: api.Event) -> None:
        match action:
            case api.Send():
                self._send(action, cause)
            case api.SetTimer():
                timer = api.Timer(action.token)
                self._deadlines.add(self._clock.now() + action.delay, lambda: self._handle(timer))
            case api.Refuse():
                if (request := self._open.get(action.id)) and not request.ended:
                    self._reason(action, cause, request)
                    self._refuse(request, action.retry_after, "turned away")
                    self._withdraw(request)
            case api.Fail():
                if (request := self._open.get(action.id)) and not request.ended:
                    self._reason(action, cause, request)
                    self._fail(request, "no answer that can be relied on")
                    self._withdraw(request)
            case api.Cancel():
                request = self._open.get(action.id)
                if request and (attempt := request.out.get(action.attempt)) and attempt.way:
                    self._reason(action, cause, request)
                    attempt.way.cancel(attempt)
            case api.Probe():
                self._probe(action.server)
            case api.CloseIdle():
                if way := self._ways.get(action.server):
                    way.close_idle()
            case api.Subscribe():
                pass  # the list comes by itself
