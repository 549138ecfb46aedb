"""The way to one server: carries attempts over pooled connections and reports how each one ended."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from yardbank.gateway.api import Connection, NotSentError, ProbeResult
from yardbank.gateway.attempt import Attempt
from yardbank.gateway.lines import Channel, Lines
from yardbank.gateway.sending import Withheld

__all__ = ["Attempt", "Way"]


class Way(Lines):
    """All that goes to one server from one gateway."""

    def submit(self, attempt: Attempt, until: int) -> None:
        """Send an attempt, now or when a connection for it is up; its end is reported through it."""
        attempt.way, attempt.until = self, until
        if until <= self._now():
            attempt.end("moot", None, Withheld.EXPIRED.value)
            return
        place = self._place()
        if place.slot is None:
            self._log.warning("connections_exhausted", server=self.server.name, bound=self._limits.connections)
            attempt.end("connect_failed", None, "every connection is full")
            return
        attempt.slot = place.slot
        attempt.timer = self._deadlines.add(until, lambda: self._overdue(attempt))
        channel = self._open(place.slot) if place.opening else self._channels[place.slot]
        if attempt.ended:
            return
        channel.waiting[attempt] = None
        if channel.connection is not None:
            self._write(channel, attempt)

    def shorten(self, attempt: Attempt, until: int) -> None:
        """An attempt is of no use from ``until`` (ns) on, which is sooner than was said."""
        if attempt.ended or until >= attempt.until:
            return
        attempt.until = until
        if attempt.timer is not None:
            self._deadlines.cancel(attempt.timer)
            attempt.timer = self._deadlines.add(until, lambda: self._overdue(attempt))

    def withdraw(self, why: Withheld, meant: Callable[[Attempt], bool]) -> None:
        """Take back those of the attempts that wait for a connection which ``meant`` picks: they never ran."""
        for channel in list(self._channels.values()):
            for attempt in list(channel.waiting):
                if not attempt.ended and meant(attempt):
                    attempt.end("moot", None, why.value)

    def withdraw_probes(self) -> None:
        """Nobody is asked here any more: questions that wait for a connection end as never put."""
        for channel in list(self._channels.values()):
            waiting, channel.probes = channel.probes, []
            for ask in waiting:
                ask(None)

    def cancel(self, attempt: Attempt) -> None:
        """Stop waiting for one attempt; the server is told where it can be."""
        self._abandon(attempt)
        attempt.end("cancelled", None, "called off")

    def probe(self, done: Callable[[ProbeResult | None, int, str], None]) -> None:
        """Ask for position and role; ``done`` gets them, when the question went out, and the status."""
        state: dict[str, Any] = {"over": False, "sent": self._now()}
        place = self._place()

        def finish(position: ProbeResult | None, status: str, answered: bool) -> None:
            if state["over"]:
                return
            state["over"] = True
            self._deadlines.cancel(timer)
            if status == "ok":
                self._saw(self.server, self._now() - state["sent"], "probe")
            if place.slot is not None:
                self._free(place.slot, state["sent"], answered)
            done(position, state["sent"], status)

        def ask(connection: Connection | None) -> None:
            if state["over"]:
                return
            if connection is None:
                finish(None, "connect_failed", False)
                return
            state["sent"] = self._now()
            connection.probe(lambda position: finish(position, "ok" if position else "error", True))

        timer = self._deadlines.add(
            self._now() + self._limits.connect_timeout + self._limits.probe_timeout,
            lambda: finish(None, "timeout", False),
        )
        if place.slot is None:
            finish(None, "connect_failed", False)
            return
        channel = self._open(place.slot) if place.opening else self._channels.get(place.slot)
        if channel is None or (channel.connection is None and place.slot not in self._channels):
            finish(None, "connect_failed", False)
        elif channel.connection is None:
            channel.probes.append(ask)
        else:
            ask(channel.connection)

    def release(self, attempt: Attempt, answered: bool) -> None:
        """An attempt ended: its place is free."""
        if attempt.timer is not None:
            self._deadlines.cancel(attempt.timer)
        if attempt.slot is None:
            return
        if channel := self._channels.get(attempt.slot):
            channel.waiting.pop(attempt, None)
            channel.out.pop(attempt, None)
        self._free(attempt.slot, attempt.sent_at, answered or not attempt.gone_out)

    def _overdue(self, attempt: Attempt) -> None:
        if attempt.gone_out:
            self._abandon(attempt)
            attempt.end("timeout", None, "no answer in time")
        else:
            attempt.end("connect_failed", None, "no connection in time")

    def _abandon(self, attempt: Attempt) -> None:
        channel = self._channels.get(attempt.slot) if attempt.slot is not None else None
        if channel and channel.connection and attempt.number is not None and not attempt.ended:
            channel.connection.abandon(attempt.number)

    def _write(self, channel: Channel, attempt: Attempt) -> None:
        """Write an attempt, unless something that has come between says otherwise."""
        assert channel.connection is not None
        if not attempt.ended and (why := attempt.look(attempt)) is not None:
            attempt.end("moot", None, why.value)
        channel.waiting.pop(attempt, None)
        if attempt.ended:  # what was looked at may have ended it, too
            return
        channel.out[attempt] = None
        try:
            attempt.number = channel.connection.submit(attempt.operation, attempt)
        except NotSentError as problem:
            assert attempt.slot is not None
            self._let_go(attempt.slot, str(problem))
        except Exception as problem:  # one request's fault, not the connection's
            self._log.error("submit_error", server=self.server.name, error=repr(problem))
            attempt.end("error", None, "the request could not be written")
