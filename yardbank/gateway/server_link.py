"""Link to one server: sends attempts and probes over pooled connections and reports how each one ended.

Owns: its connection pool. The endpoint set creates and retires links; the attempt runner and the prober use them.
Bound: that of the pool. Invariant: every attempt submitted and every probe started ends exactly once and releases its
slot.
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
    """A probe in progress; ``done`` is called once with the position, the time it was sent (ns), and the status."""

    __slots__ = ("_done", "_link", "_reported", "_sent_at", "_slot", "timer")

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
        self._reported = False
        self.timer = -1  # no timer has this number: cancelling it has no effect

    def send(self, connection: Connection | None) -> None:
        """Send the probe over an open connection; None: no connection could be opened."""
        if self._reported:
            return
        if connection is None:
            self.not_connected()
            return
        self._sent_at = self._link.now()
        connection.probe(self._answered)

    def not_connected(self) -> None:
        """End the probe: no connection could be used."""
        self._finish(None, "connect_failed", False)

    def timed_out(self) -> None:
        """End the probe: there was no answer in time."""
        self._finish(None, "timeout", False)

    def _answered(self, position: ProbeResult | None) -> None:
        self._finish(position, "ok" if position else "error", True)

    def _finish(self, position: ProbeResult | None, status: str, answered: bool) -> None:
        if self._reported:
            return
        self._reported = True
        self._link.probe_ended(self.timer, self._slot, self._sent_at, status, answered)
        self._done(position, self._sent_at, status)


class ServerLink:
    """All traffic from one gateway to one server.

    ``has_room`` says whether the gateway may open one more connection; ``on_latency`` is called for each successful
    connect and probe with the server, the latency (ns) and which of the two it was.
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
        on_latency: Callable[[ServerSpec, int, str], None] = lambda server, ns, kind: None,
    ) -> None:
        self.server = server
        self.now = now
        self._limits = limits
        self._deadlines = deadlines
        self._log = log
        self._on_latency = on_latency
        self.last_written_at: int | None = None  # when an attempt was last written (ns)
        self._pool = ConnectionPool(server, backend, limits, deadlines, now, log, has_room, on_latency, self._write)

    @property
    def connections(self) -> int:
        """Number of connections, open or opening."""
        return len(self._pool.open_or_opening)

    # Attempts

    def submit(self, attempt: Attempt, valid_until: int) -> None:
        """Send an attempt, now or once a connection for it is open; it reports its own end. ``valid_until``: ns."""
        attempt.link = self
        attempt.valid_until = valid_until
        if valid_until <= self.now():
            attempt.end("moot", None, SendCheck.EXPIRED.value)
            return
        assignment = self._pool.assign()
        if assignment.slot is None:
            self._log.warning("connections_exhausted", server=self.server.name, bound=self._limits.connections)
            attempt.end("connect_failed", None, "every connection is full")
            return
        attempt.slot = assignment.slot
        attempt.timer = self._deadlines.add(valid_until, partial(self._on_deadline, attempt))
        pooled = self._pool.connection_for(assignment)
        if attempt.ended:
            return
        if pooled is None:
            attempt.attempt_lost(LOST_WHILE_OPENING)
            return
        pooled.waiting[attempt] = None
        if pooled.connection is not None:
            self._write(pooled, attempt)

    def shorten_deadline(self, attempt: Attempt, valid_until: int) -> None:
        """Move an attempt's deadline forward to ``valid_until`` (ns); a later time has no effect."""
        if attempt.ended or valid_until >= attempt.valid_until:
            return
        attempt.valid_until = valid_until
        if attempt.timer is not None:
            self._deadlines.cancel(attempt.timer)
            attempt.timer = self._deadlines.add(valid_until, partial(self._on_deadline, attempt))

    def withdraw(self, reason: SendCheck, matches: Callable[[Attempt], bool]) -> int:
        """Withdraw the attempts selected by ``matches`` that wait for a connection: they end as never run.

        Returns how many were withdrawn.
        """
        withdrawn = 0
        for pooled in list(self._pool.open_or_opening.values()):
            for attempt in list(pooled.waiting):
                if not attempt.ended and matches(attempt):
                    attempt.end("moot", None, reason.value)
                    withdrawn += 1
        return withdrawn

    def cancel(self, attempt: Attempt) -> None:
        """Cancel an attempt; the server is told if the protocol allows it."""
        self._abandon(attempt)
        attempt.end("cancelled", None, "called off")

    def release(self, attempt: Attempt, answered: bool) -> None:
        """Release the slot and the timer of an attempt that has ended."""
        if attempt.timer is not None:
            self._deadlines.cancel(attempt.timer)
        if attempt.slot is None:
            return
        if pooled := self._pool.open_or_opening.get(attempt.slot):
            pooled.waiting.pop(attempt, None)
            pooled.outstanding.pop(attempt, None)
        self._pool.release(attempt.slot, attempt.sent_at, answered or not attempt.was_written)

    def _on_deadline(self, attempt: Attempt) -> None:
        if attempt.was_written:
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
        """Write an attempt, unless the check before writing rules it out."""
        assert pooled.connection is not None
        if not attempt.ended and (reason := attempt.check(attempt)) is not None:
            attempt.end("moot", None, reason.value)
        pooled.waiting.pop(attempt, None)
        if attempt.ended:  # the check may have ended the attempt as a side effect
            return
        pooled.outstanding[attempt] = None
        self.last_written_at = self.now()
        try:
            attempt.number = pooled.connection.submit(attempt.operation, attempt)
        except NotSentError as problem:
            assert attempt.slot is not None
            self._pool.discard(attempt.slot, str(problem))
        except Exception as problem:  # noqa: BLE001  # error boundary: a backend; ends one request only
            self._log.error("submit_error", server=self.server.name, error=repr(problem))
            attempt.end("error", None, "the request could not be written")

    # Probes

    def probe(self, done: Callable[[ProbeResult | None, int, str], None]) -> None:
        """Probe the server; ``done`` gets position and role, the time the probe was sent (ns), and the status."""
        sent_at = self.now()
        assignment = self._pool.assign()
        probe = _PendingProbe(self, assignment.slot, sent_at, done)
        limit = self.now() + self._limits.connect_timeout + self._limits.probe_timeout
        probe.timer = self._deadlines.add(limit, probe.timed_out)
        if assignment.slot is None:
            probe.not_connected()
            return
        pooled = self._pool.connection_for(assignment)
        if pooled is None:
            probe.not_connected()
        elif pooled.connection is not None:
            probe.send(pooled.connection)
        else:
            pooled.probes.append(probe.send)

    def probe_ended(self, timer: int, slot: int | None, sent_at: int, status: str, answered: bool) -> None:
        """Release the timer and the slot of a probe that has ended."""
        self._deadlines.cancel(timer)
        if status == "ok":
            self._on_latency(self.server, self.now() - sent_at, "probe")
        if slot is not None:
            self._pool.release(slot, sent_at, answered)

    def withdraw_probes(self) -> None:
        """End the probes that wait for a connection, because the server has moved or been removed."""
        for pooled in list(self._pool.open_or_opening.values()):
            waiting, pooled.probes = pooled.probes, []
            for send in waiting:
                send(None)

    # Connections

    def close_idle(self) -> None:
        """Close idle connections."""
        self._pool.close_idle()

    def idle_since(self) -> int | None:
        """Return since when the longest-idle connection has been idle (ns); None if none is idle."""
        return self._pool.idle_since()

    def close_longest_idle(self) -> None:
        """Close the connection that has been idle longest."""
        self._pool.close_longest_idle()

    def close_expired(self) -> None:
        """Close the connections that have been idle for ``Limits.idle_close``."""
        self._pool.close_expired()

    def close(self, reason: str) -> None:
        """Close all connections; outstanding attempts are lost."""
        self._pool.close(reason)

    def abort(self) -> None:
        """Abort every connection without a graceful close."""
        self._pool.abort()
