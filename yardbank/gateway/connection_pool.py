"""Pool of connections from one gateway to one server: opens them, times them out, discards and closes them.

Owns: each connection with the attempts waiting for it and outstanding on it, and the slot table. Only the link to the
same server moves attempts and probes between these. Bound: ``Limits.connections`` connections, each with
``Limits.multiplex`` attempts and probes. Invariant: a slot's number is in ``open_or_opening`` exactly while its
connection is opening or open; once the connection is lost, everything that waited for it or was outstanding on it has
been notified.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import Any

from yardbank.gateway.api import LOST_DURING_CONNECT, Backend, Connection, Limits, ServerSpec
from yardbank.gateway.attempt import Attempt
from yardbank.gateway.deadlines import Deadlines
from yardbank.gateway.slots import SlotAssignment, SlotTable


class PooledConnection:
    """A connection of a pool.

    ``connection`` is None while it is opening; ``waiting`` and ``probes`` wait for it.
    """

    __slots__ = ("connection", "give_up", "outstanding", "probes", "timer", "waiting")

    def __init__(self) -> None:
        self.connection: Connection | None = None
        self.give_up: Callable[[], None] = lambda: None
        self.waiting: dict[Attempt, None] = {}
        self.outstanding: dict[Attempt, None] = {}
        self.probes: list[Callable[[Connection | None], None]] = []
        self.timer: int | None = None


class ConnectionPool:
    """Connections to one server, and the attempts and probes waiting for each.

    ``write`` writes an attempt to an open connection. ``has_room`` says whether the gateway may open one more
    connection. ``on_latency`` receives the duration (ns) of each connect that succeeded on its first try.
    """

    def __init__(
        self,
        server: ServerSpec,
        backend: Backend,
        limits: Limits,
        deadlines: Deadlines,
        now: Callable[[], int],
        log: Any,
        has_room: Callable[[], bool],
        on_latency: Callable[[ServerSpec, int, str], None],
        write: Callable[[PooledConnection, Attempt], None],
    ) -> None:
        self._server = server
        self._backend = backend
        self._limits = limits
        self._deadlines = deadlines
        self._now = now
        self._log = log
        self._has_room = has_room
        self._on_latency = on_latency
        self._write = write
        self._slots = SlotTable(limits.connections, limits.multiplex, limits.idle_close)
        self.open_or_opening: dict[int, PooledConnection] = {}

    # Slots for attempts and probes

    def assign(self) -> SlotAssignment:
        """Assign a slot to one attempt or probe; idle connections that have become unusable are discarded first."""
        while True:
            assignment = self._slots.assign(self._now())
            if assignment.slot is None:
                return assignment
            if assignment.opening:
                if self._has_room():
                    return assignment
                self._slots.remove(assignment.slot)
                return SlotAssignment()
            pooled = self.open_or_opening.get(assignment.slot)
            connection = None if pooled is None else pooled.connection
            if connection is None or connection.fit():
                return assignment
            self._slots.release(assignment.slot, self._now(), 0, True)
            self._close(assignment.slot)
            self.on_lost(assignment.slot, "of no further use")

    def connection_for(self, assignment: SlotAssignment) -> PooledConnection | None:
        """Return the connection of a slot, opening it if needed; None if it has been lost, perhaps while opening."""
        if assignment.slot is None:
            return None
        if assignment.opening:
            self.open(assignment.slot)
        return self.open_or_opening.get(assignment.slot)

    def release(self, number: int, sent_at: int, answered: bool) -> None:
        """Release one attempt's place on a connection, which is closed once unusable and empty. ``sent_at``: ns."""
        pooled = self.open_or_opening.get(number)
        if pooled and pooled.connection and not pooled.connection.fit():
            self._slots.retire(number)
        if self._slots.release(number, self._now(), sent_at, answered):
            self._close(number)

    # Opening

    def open(self, number: int, broken: PooledConnection | None = None) -> None:
        """Open a connection.

        A replacement for a connection that broke while opening takes over what waited for that one, within what is
        left of its connect timeout.
        """
        pooled = self.open_or_opening[number] = PooledConnection()
        if broken is not None:
            pooled.waiting = broken.waiting
            pooled.probes = broken.probes
        limit = self._slots.slots[number].opened_at + self._limits.connect_timeout
        pooled.timer = self._deadlines.add(limit, partial(self._timed_out, number))
        try:
            pooled.give_up = self._backend.connect(
                self._server,
                lambda connection: self._ready(number, connection),
                lambda reason: self.on_lost(number, reason),
            )
        except Exception as problem:  # noqa: BLE001  # error boundary: a backend; counts as a failed connect
            self._log.error("connect_error", server=self._server.name, error=repr(problem))
            self.on_lost(number, "error while connecting")

    def _timed_out(self, number: int) -> None:
        if pooled := self.open_or_opening.get(number):
            pooled.give_up()
            self.on_lost(number, "no connection in time")

    def _ready(self, number: int, connection: Connection) -> None:
        pooled = self.open_or_opening.get(number)
        if pooled is None:  # timed out or closed meanwhile
            connection.close()
            return
        if pooled.timer is not None:
            self._deadlines.cancel(pooled.timer)
            pooled.timer = None
        pooled.connection = connection
        now = self._now()
        slot = self._slots.slots[number]
        self._slots.mark_open(number, now)
        if not slot.reopened:  # a reconnect would include the time of the first try
            self._on_latency(self._server, now - slot.opened_at, "connect")
        probes, pooled.probes = pooled.probes, []
        for probe in probes:
            probe(connection)
        if pooled.waiting and not connection.fit():  # the peer may have closed it right after the handshake
            self.discard(number, "of no further use")
        while pooled.waiting:  # if the connection breaks in this loop, attempts still waiting are lost with it
            self._write(pooled, next(iter(pooled.waiting)))

    # Closing

    def close_idle(self) -> None:
        """Close idle connections."""
        for number in self._slots.idle():
            self._close(number)

    def idle_since(self) -> int | None:
        """Return since when the longest-idle connection has been idle (ns); None if none is idle."""
        slot = self._slots.longest_idle()
        return None if slot is None else slot.last_used_at

    def close_longest_idle(self) -> None:
        """Close the connection that has been idle longest."""
        if (slot := self._slots.longest_idle()) is not None:
            self._close(slot.number)

    def close_expired(self) -> None:
        """Close the connections that have been idle for ``Limits.idle_close``."""
        for number in self._slots.expired(self._now()):
            self._close(number)

    def close(self, reason: str) -> None:
        """Close all connections; outstanding attempts are lost."""
        for number in list(self.open_or_opening):
            self._close(number)
            self.on_lost(number, reason)

    def abort(self) -> None:
        """Abort every connection without a graceful close."""
        for pooled in list(self.open_or_opening.values()):
            pooled.give_up()

    def discard(self, number: int, reason: str) -> None:
        """Discard an unusable connection: outstanding attempts are lost, waiting attempts never ran."""
        connection = self.open_or_opening[number].connection
        assert connection is not None
        self.on_lost(number, reason)
        connection.close()

    def _close(self, number: int) -> None:
        pooled = self.open_or_opening.get(number)
        if pooled is None:
            return
        self._slots.retire(number)
        if pooled.connection is not None:
            pooled.connection.close()
        else:
            pooled.give_up()

    def on_lost(self, number: int, reason: str) -> None:
        """Handle a lost or failed connection; one that broke while opening may be reopened once."""
        pooled = self.open_or_opening.pop(number, None)
        if pooled is None:
            return
        if pooled.timer is not None:
            self._deadlines.cancel(pooled.timer)
        if pooled.connection is None and reason == LOST_DURING_CONNECT and self._slots.claim_reopen(number):
            self.open(number, pooled)
            return
        self._slots.remove(number)
        for attempt in [*pooled.outstanding, *pooled.waiting]:
            attempt.attempt_lost(reason)
        for probe in pooled.probes:
            probe(None)
