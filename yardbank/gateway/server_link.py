"""The link to one server: carries attempts and probes over pooled connections and reports how each one ended.

Owns: its pool. The endpoint set makes and retires it; attempts and the prober use it. Bound: the pool's. Invariant:
every attempt submitted and every probe put ends exactly once, and gives its slot back.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import Any

from yardbank.gateway.api import Backend, Connection, Limits, NotSentError, ProbeResult, ServerSpec
from yardbank.gateway.attempt import Attempt
from yardbank.gateway.connection_pool import ConnectionPool, PooledConnection
from yardbank.gateway.deadlines import Deadlines
from yardbank.gateway.send_check import SendCheck

LOST_WHILE_OPENING = "the connection was lost while it was being opened"


class _PendingProbe:
    """One probe that is under way; ``done`` gets its position, when it went out (ns), and the status, once."""

    __slots__ = ("_done", "_link", "_over", "_sent_at", "_slot", "timer")

    def __init__(
        self,
        link: ServerLink,
        slot: int | None,
        sent_at: int,
        done: Callable[[ProbeResult | None, int, str], None],
    ) -> None:
        self._link = link
        self._slot = slot
        self._sent_at = sent_at
        self._done = done
        self._over = False
        self.timer = -1  # no timer has this number: cancelling it does nothing

    def put(self, connection: Connection | None) -> None:
        """Send it over a connection that is up; None: none came up."""
        if self._over:
            return
        if connection is None:
            self.not_connected()
            return
        self._sent_at = self._link.now()
        connection.probe(self._answered)

    def not_connected(self) -> None:
        """It cannot go out."""
        self._finish(None, "connect_failed", False)

    def timed_out(self) -> None:
        """Its time is over."""
        self._finish(None, "timeout", False)

    def _answered(self, position: ProbeResult | None) -> None:
        self._finish(position, "ok" if position else "error", True)

    def _finish(self, position: ProbeResult | None, status: str, answered: bool) -> None:
        if self._over:
            return
        self._over = True
        self._link.probe_ended(self.timer, self._slot, self._sent_at, status, answered)
        self._done(position, self._sent_at, status)


class ServerLink:
    """All that goes to one server from one gateway.

    ``has_room`` says whether the gateway may hold one connection more; ``measured`` is told of each connect and each
    probe that succeeded: server, ns, which of the two.
    """

    def __init__(
        self,
        server: ServerSpec,
        backend: Backend,
        limits: Limits,
        deadlines: Deadlines,
        now: Callable[[], int],
        log: Any,
        has_room: Callable[[], bool] = lambda: True,
        measured: Callable[[ServerSpec, int, str], None] = lambda server, ns, what: None,
    ) -> None:
        self.server = server
        self.now = now
        self._limits = limits
        self._deadlines = deadlines
        self._log = log
        self._measured = measured
        self._pool = ConnectionPool(server, backend, limits, deadlines, now, log, has_room, measured, self._write)

    @property
    def connections(self) -> int:
        """Connections open or opening."""
        return len(self._pool.open_or_opening)

    # Attempts

    def submit(self, attempt: Attempt, until: int) -> None:
        """Send an attempt, now or when a connection for it is up; its end is reported through it. ``until``: ns."""
        attempt.link = self
        attempt.until = until
        if until <= self.now():
            attempt.end("moot", None, SendCheck.EXPIRED.value)
            return
        assignment = self._pool.assign()
        if assignment.slot is None:
            self._log.warning("connections_exhausted", server=self.server.name, bound=self._limits.connections)
            attempt.end("connect_failed", None, "every connection is full")
            return
        attempt.slot = assignment.slot
        attempt.timer = self._deadlines.add(until, partial(self._overdue, attempt))
        pooled = self._pool.pooled(assignment)
        if attempt.ended:
            return
        if pooled is None:
            attempt.attempt_lost(LOST_WHILE_OPENING)
            return
        pooled.waiting[attempt] = None
        if pooled.connection is not None:
            self._write(pooled, attempt)

    def shorten(self, attempt: Attempt, until: int) -> None:
        """An attempt is of no use from ``until`` (ns) on, which is sooner than was said."""
        if attempt.ended or until >= attempt.until:
            return
        attempt.until = until
        if attempt.timer is not None:
            self._deadlines.cancel(attempt.timer)
            attempt.timer = self._deadlines.add(until, partial(self._overdue, attempt))

    def withdraw(self, why: SendCheck, meant: Callable[[Attempt], bool]) -> None:
        """Take back those of the attempts that wait for a connection which ``meant`` picks: they never ran."""
        for pooled in list(self._pool.open_or_opening.values()):
            for attempt in list(pooled.waiting):
                if not attempt.ended and meant(attempt):
                    attempt.end("moot", None, why.value)

    def cancel(self, attempt: Attempt) -> None:
        """Stop waiting for one attempt; the server is told where it can be."""
        self._abandon(attempt)
        attempt.end("cancelled", None, "called off")

    def release(self, attempt: Attempt, answered: bool) -> None:
        """An attempt ended: its slot is free."""
        if attempt.timer is not None:
            self._deadlines.cancel(attempt.timer)
        if attempt.slot is None:
            return
        if pooled := self._pool.open_or_opening.get(attempt.slot):
            pooled.waiting.pop(attempt, None)
            pooled.out.pop(attempt, None)
        self._pool.free(attempt.slot, attempt.sent_at, answered or not attempt.gone_out)

    def _overdue(self, attempt: Attempt) -> None:
        if attempt.gone_out:
            self._abandon(attempt)
            attempt.end("timeout", None, "no answer in time")
        else:
            attempt.end("connect_failed", None, "no connection in time")

    def _abandon(self, attempt: Attempt) -> None:
        if attempt.slot is None or attempt.number is None or attempt.ended:
            return
        pooled = self._pool.open_or_opening.get(attempt.slot)
        if pooled and pooled.connection:
            pooled.connection.abandon(attempt.number)

    def _write(self, pooled: PooledConnection, attempt: Attempt) -> None:
        """Write an attempt, unless something that has come between says otherwise."""
        assert pooled.connection is not None
        if not attempt.ended and (why := attempt.check(attempt)) is not None:
            attempt.end("moot", None, why.value)
        pooled.waiting.pop(attempt, None)
        if attempt.ended:  # what the check found may have ended it, too
            return
        pooled.out[attempt] = None
        try:
            attempt.number = pooled.connection.submit(attempt.operation, attempt)
        except NotSentError as problem:
            assert attempt.slot is not None
            self._pool.let_go(attempt.slot, str(problem))
        except Exception as problem:  # noqa: BLE001  # border: a protocol's backend; one request's fault, not the connection's
            self._log.error("submit_error", server=self.server.name, error=repr(problem))
            attempt.end("error", None, "the request could not be written")

    # Probes

    def probe(self, done: Callable[[ProbeResult | None, int, str], None]) -> None:
        """Ask for position and role; ``done`` gets them, when the question went out (ns), and the status."""
        sent_at = self.now()
        assignment = self._pool.assign()
        probe = _PendingProbe(self, assignment.slot, sent_at, done)
        limit = self.now() + self._limits.connect_timeout + self._limits.probe_timeout
        probe.timer = self._deadlines.add(limit, probe.timed_out)
        if assignment.slot is None:
            probe.not_connected()
            return
        pooled = self._pool.pooled(assignment)
        if pooled is None:
            probe.not_connected()
        elif pooled.connection is not None:
            probe.put(pooled.connection)
        else:
            pooled.probes.append(probe.put)

    def probe_ended(self, timer: int, slot: int | None, sent_at: int, status: str, answered: bool) -> None:
        """A probe is over: its timer and its slot are free."""
        self._deadlines.cancel(timer)
        if status == "ok":
            self._measured(self.server, self.now() - sent_at, "probe")
        if slot is not None:
            self._pool.free(slot, sent_at, answered)

    def withdraw_probes(self) -> None:
        """Nobody is asked here any more: questions that wait for a connection end as never put."""
        for pooled in list(self._pool.open_or_opening.values()):
            waiting, pooled.probes = pooled.probes, []
            for put in waiting:
                put(None)

    # Connections

    def close_idle(self) -> None:
        """Close what carries nothing."""
        self._pool.close_idle()

    def idle_since(self) -> int | None:
        """Since when its idlest connection has carried nothing (ns); None: none is idle."""
        return self._pool.idle_since()

    def close_idlest(self) -> None:
        """Close the connection that has been idle longest."""
        self._pool.close_idlest()

    def close_overdue(self) -> None:
        """Close what has carried nothing for the idle time."""
        self._pool.close_overdue()

    def close(self, reason: str) -> None:
        """Close all connections; what is out is lost."""
        self._pool.close(reason)

    def abort(self) -> None:
        """Cut every connection without a word."""
        self._pool.abort()
