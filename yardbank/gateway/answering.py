"""How requests end: the one final answer each, and the end of all when the gateway stops."""

from __future__ import annotations

from collections.abc import Callable

from twisted.internet.defer import Deferred, succeed

from yardbank import interface as api
from yardbank.gateway.ending import may_be_refused
from yardbank.gateway.probing import Probing
from yardbank.gateway.request import Open
from yardbank.gateway.sending import Withheld

AT_ONCE = 5_000_000  # ns


class Answering(Probing):
    """Final answers, and stopping."""

    def stop(self, grace: int | None = None) -> Deferred[None]:
        """Take nothing new; fires when all that was taken is answered, at the latest after ``grace`` ns."""
        if self._stopping is None:
            self._stopping = Deferred()
            self.log.info("stopping", owed=self._owed)
            if self._owed:
                limit = self.limits.stop_grace if grace is None else grace
                self._deadlines.add(self._clock.now() + limit, self._end_all)
            else:
                self._stopped()
        waiter: Deferred[None] = Deferred()
        if self._stopping.called:
            return succeed(None)

        def pass_on(_: None) -> None:
            waiter.callback(None)

        self._stopping.addCallback(pass_on)
        return waiter

    def kill(self) -> None:
        """End as a killed process does: connections are cut, nothing is answered."""
        self._router.handle = lambda now, event: []  # type: ignore[method-assign]
        for request in self._open.values():
            request.ended = True
        self._deadlines.clear()
        for way in (*self._ways.values(), *self._retired):
            way.abort()
        if self._trigger is not None:
            self._reactor.removeSystemEventTrigger(self._trigger)
            self._trigger = None

    def _host_stops(self) -> None:
        """The host process stops without having asked: every request taken gets its answer now."""
        if self._stopping is None:
            self._stopping = Deferred()
        self._end_all()

    def _end_all(self) -> None:
        for request in list(self._open.values()):
            if not request.ended:
                self._end(request, "the gateway has stopped")
        self._stopped()

    def _stopped(self) -> None:
        assert self._stopping is not None
        if self._stopping.called:
            return
        trigger, self._trigger = self._trigger, None
        if trigger is not None:
            try:
                self._reactor.removeSystemEventTrigger(trigger)
            except (ValueError, KeyError):  # it is running right now
                pass
        for way in (*self._ways.values(), *self._retired):
            way.close("the gateway has stopped")
        self._deadlines.clear()
        self.log.info("stopped", **self.counts)
        self._stopping.callback(None)

    def _rescue(self, cause: api.Event | api.Action) -> None:
        """An error in the program stands where a decision or its execution should: end that request alone."""
        number = getattr(cause, "id", None)
        if request := self._open.get(number) if isinstance(number, str) else None:
            if not request.ended:
                self._end(request, "internal error")
                if not isinstance(cause, api.ClientCancelled):
                    self._events.append(api.ClientCancelled(request.id))

    # Final answers

    def _refuse(self, request: Open, retry_after: int, reason: str) -> None:
        if request.missed is not None:  # copies that its class allows have answered, and nobody said otherwise
            payload = request.missed
            self._finish(request, "served", "")
            self._final(request, lambda: request.call.sink.served(payload))
            return
        self._finish(request, "refused", "")
        self._final(request, lambda: request.call.sink.refused(retry_after, reason))

    def _fail(self, request: Open, reason: str) -> None:
        self._finish(request, "failed", "")
        self._final(request, lambda: request.call.sink.failed(reason))

    def _end(self, request: Open, reason: str) -> None:
        """End a request without the module's word."""
        if request.answering is None and may_be_refused(
            request.kind, request.may_have_run or any(attempt.gone_out for attempt in request.out.values())
        ):
            self._refuse(request, self.settings.max_retry_after, reason)
        else:
            self._fail(request, reason)
        self._withdraw(request)

    def _withdraw(self, request: Open) -> None:
        """Nothing more is sent for a request: its attempts that wait for a connection end as never run."""
        for attempt in list(request.out.values()):
            if not attempt.gone_out and not attempt.ended:
                attempt.end("moot", None, Withheld.ENDED.value)

    def _finish(self, request: Open, answer: str, server: str) -> None:
        request.ended = True
        took = self._clock.now() - request.taken_at
        self._owed -= 1
        self.counts[answer] += 1
        self.tallies.add(request.kind, answer, took)
        if answer == "refused":
            sent = "after attempts" if request.attempts else "at once" if took < AT_ONCE else "held"
            self._refused[f"{request.kind.name} {sent}"] += 1
        if request.stream_timer is not None:
            self._deadlines.cancel(request.stream_timer)
        request.parts.clear()
        if self._record:
            self._note("answer", id=request.id, answer=answer)
        if self._log_answers:
            self.log.info(
                "answer",
                request=request.id,
                answer=answer,
                request_class=request.kind.name,
                operation=request.call.label or self._backend.describe(request.call.operation),
                attempts=request.attempts,
                list=request.list_version,
                server=server or None,
                ms=round(took / 1e6, 3),
            )
        self._forget(request)
        if self._stopping is not None and not self._owed and not self._stopping.called:
            self._reactor.callLater(0, self._stopped_if_empty)

    def _stopped_if_empty(self) -> None:
        if not self._owed:
            self._stopped()

    def _final(self, request: Open, tell: Callable[[], None]) -> None:
        try:
            tell()
        except Exception as problem:  # the request is over for the module; its front must not harm others
            self.log.error("front_error", request=request.id, error=repr(problem), exc_info=True)

    def _forget(self, request: Open) -> None:
        if request.ended and not request.out:
            self._open.pop(request.id, None)
