"""The connections to one server from one gateway: opened, given up, found of no further use, closed.

Owns: each connection with what waits for it and what is out on it, and the table of slots. The link of the same server
moves attempts and probes between them, nobody else does. Bound: ``Limits.connections`` connections, each with
``Limits.multiplex`` attempts and probes. Invariant: a slot's number is in ``open_or_opening`` exactly while its
connection is opening or open; once it is lost, all that waited for it or was out on it has heard so.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import Any

from yardbank.gateway.api import BROKE_OPENING, Backend, Connection, Limits, ServerSpec
from yardbank.gateway.attempt import Attempt
from yardbank.gateway.deadlines import Deadlines
from yardbank.gateway.slots import SlotAssignment, SlotTable


class PooledConnection:
    """One connection of a pool. ``connection`` is None while it is opening; ``waiting`` and ``probes`` wait for it."""

    __slots__ = ("connection", "give_up", "out", "probes", "timer", "waiting")

    def __init__(self) -> None:
        self.connection: Connection | None = None
        self.give_up: Callable[[], None] = lambda: None
        self.waiting: dict[Attempt, None] = {}
        self.out: dict[Attempt, None] = {}
        self.probes: list[Callable[[Connection | None], None]] = []
        self.timer: int | None = None


class ConnectionPool:
    """Connections to one server, and what waits for each.

    ``write`` writes an attempt on a connection that is up. ``has_room`` says whether the gateway may hold one
    connection more. ``measured`` is told of each connect that came up at the first try, and how long it took (ns).
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
        measured: Callable[[ServerSpec, int, str], None],
        write: Callable[[PooledConnection, Attempt], None],
    ) -> None:
        self._server = server
        self._backend = backend
        self._limits = limits
        self._deadlines = deadlines
        self._now = now
        self._log = log
        self._has_room = has_room
        self._measured = measured
        self._write = write
        self._slots = SlotTable(limits.connections, limits.multiplex, limits.idle_close)
        self.open_or_opening: dict[int, PooledConnection] = {}

    # Slots for attempts and probes

    def assign(self) -> SlotAssignment:
        """A slot for one attempt or probe; connections that went bad while idle are let go first."""
        while True:
            assignment = self._slots.place(self._now())
            if assignment.slot is None:
                return assignment
            if assignment.opening:
                if self._has_room():
                    return assignment
                self._slots.lost(assignment.slot)
                return SlotAssignment()
            pooled = self.open_or_opening.get(assignment.slot)
            connection = None if pooled is None else pooled.connection
            if connection is None or connection.fit():
                return assignment
            self._slots.freed(assignment.slot, self._now(), 0, True)
            self._close(assignment.slot)
            self.lost(assignment.slot, "of no further use")

    def pooled(self, assignment: SlotAssignment) -> PooledConnection | None:
        """The connection of a slot, opened if need be; None: it is gone, perhaps lost while it was being opened."""
        if assignment.slot is None:
            return None
        if assignment.opening:
            self.open(assignment.slot)
        return self.open_or_opening.get(assignment.slot)

    def free(self, number: int, sent_at: int, answered: bool) -> None:
        """One attempt less on a connection, sent at ``sent_at`` (ns); it is closed where it is of no further use."""
        pooled = self.open_or_opening.get(number)
        if pooled and pooled.connection and not pooled.connection.fit():
            self._slots.retire(number)
        if self._slots.freed(number, self._now(), sent_at, answered):
            self._close(number)

    # Opening

    def open(self, number: int, broken: PooledConnection | None = None) -> None:
        """Open a connection; in place of one that broke, for what waits for that and in what is left of its time."""
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
                lambda reason: self.lost(number, reason),
            )
        except Exception as problem:  # noqa: BLE001  # border: a protocol's backend; to the module it is a failed connect
            self._log.error("connect_error", server=self._server.name, error=repr(problem))
            self.lost(number, "error while connecting")

    def _timed_out(self, number: int) -> None:
        if pooled := self.open_or_opening.get(number):
            pooled.give_up()
            self.lost(number, "no connection in time")

    def _ready(self, number: int, connection: Connection) -> None:
        pooled = self.open_or_opening.get(number)
        if pooled is None:  # given up meanwhile
            connection.close()
            return
        if pooled.timer is not None:
            self._deadlines.cancel(pooled.timer)
            pooled.timer = None
        pooled.connection = connection
        now = self._now()
        slot = self._slots.slots[number]
        self._slots.opened(number, now)
        if not slot.opened_again:  # else what went before is in it
            self._measured(self._server, now - slot.opened_at, "connect")
        probes, pooled.probes = pooled.probes, []
        for probe in probes:
            probe(connection)
        if pooled.waiting and not connection.fit():  # its end may have come right behind its beginning
            self.let_go(number, "of no further use")
        while pooled.waiting:  # what still waits is lost along with the connection, if that breaks meanwhile
            self._write(pooled, next(iter(pooled.waiting)))

    # Closing

    def close_idle(self) -> None:
        """Close what carries nothing."""
        for number in self._slots.idle():
            self._close(number)

    def idle_since(self) -> int | None:
        """Since when its idlest connection has carried nothing (ns); None: none is idle."""
        slot = self._slots.idlest()
        return None if slot is None else slot.used_at

    def close_idlest(self) -> None:
        """Close the connection that has been idle longest."""
        if (slot := self._slots.idlest()) is not None:
            self._close(slot.number)

    def close_overdue(self) -> None:
        """Close what has carried nothing for the idle time."""
        for number in self._slots.overdue(self._now()):
            self._close(number)

    def close(self, reason: str) -> None:
        """Close all; what is out is lost."""
        for number in list(self.open_or_opening):
            self._close(number)
            self.lost(number, reason)

    def abort(self) -> None:
        """Cut every connection without a word."""
        for pooled in list(self.open_or_opening.values()):
            pooled.give_up()

    def let_go(self, number: int, reason: str) -> None:
        """A connection takes nothing: what is out there is lost with it, and what still waits for it never ran."""
        connection = self.open_or_opening[number].connection
        assert connection is not None
        self.lost(number, reason)
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

    def lost(self, number: int, reason: str) -> None:
        """A connection is gone or never came up; one that broke while it was opening may be opened once more."""
        pooled = self.open_or_opening.pop(number, None)
        if pooled is None:
            return
        if pooled.timer is not None:
            self._deadlines.cancel(pooled.timer)
        if pooled.connection is None and reason == BROKE_OPENING and self._slots.again(number):
            self.open(number, pooled)
            return
        self._slots.lost(number)
        for attempt in [*pooled.out, *pooled.waiting]:
            attempt.attempt_lost(reason)
        for probe in pooled.probes:
            probe(None)
