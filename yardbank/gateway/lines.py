"""The connections of the way to one server: opened, given up, found of no further use, closed."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from yardbank.gateway.api import BROKE_OPENING, Backend, Connection, Limits, ServerSpec
from yardbank.gateway.attempt import Attempt
from yardbank.gateway.deadlines import Deadlines
from yardbank.gateway.pool import Place, Pool


class Channel:
    """One connection of a way: waits for it, then holds it."""

    def __init__(self) -> None:
        self.connection: Connection | None = None
        self.give_up: Callable[[], None] = lambda: None
        self.waiting: dict[Attempt, None] = {}
        self.out: dict[Attempt, None] = {}
        self.probes: list[Callable[[Connection | None], None]] = []
        self.timer: int | None = None


class Lines:
    """Connections to one server from one gateway, and what waits for each."""

    def __init__(
        self,
        server: ServerSpec,
        backend: Backend,
        limits: Limits,
        deadlines: Deadlines,
        now: Callable[[], int],
        log: Any,
        has_room: Callable[[], bool] = lambda: True,
        saw: Callable[[ServerSpec, int, str], None] = lambda server, ns, what: None,
    ) -> None:
        self._saw = saw  # a connect or a probe, and how long it took
        self._has_room = has_room  # for one connection more, of all that the gateway holds
        self.server, self._backend, self._limits = server, backend, limits
        self._deadlines, self._now, self._log = deadlines, now, log
        self._pool = Pool(limits.connections, limits.multiplex, limits.idle_close)
        self._channels: dict[int, Channel] = {}

    @property
    def connections(self) -> int:
        """Connections open or opening."""
        return len(self._channels)

    def close_idle(self) -> None:
        """Close what carries nothing."""
        for number in self._pool.idle():
            self._close(number)

    def idle_since(self) -> int | None:
        """Since when its idlest connection has carried nothing (ns); None: none is idle."""
        slot = self._pool.idlest()
        return None if slot is None else slot.used_at

    def close_idlest(self) -> None:
        """Close the connection that has been idle longest."""
        if (slot := self._pool.idlest()) is not None:
            self._close(slot.number)

    def close_overdue(self) -> None:
        """Close what has carried nothing for the idle time."""
        for number in self._pool.overdue(self._now()):
            self._close(number)

    def close(self, reason: str) -> None:
        """Close all; what is out is lost."""
        for number in list(self._channels):
            self._close(number)
            self._lost(number, reason)

    def abort(self) -> None:
        """Cut every connection without a word."""
        for channel in list(self._channels.values()):
            channel.give_up()

    def _let_go(self, number: int, reason: str) -> None:
        """A connection takes nothing: what is out there is lost with it, and what still waits for it never ran."""
        connection = self._channels[number].connection
        assert connection is not None
        self._lost(number, reason)
        connection.close()

    def _write(self, channel: Channel, attempt: Attempt) -> None:
        raise NotImplementedError  # the layer above sends

    def _free(self, number: int, sent_at: int, answered: bool) -> None:
        """A place on a connection is free again, unless the connection is of no further use."""
        channel = self._channels.get(number)
        if channel and channel.connection and not channel.connection.fit():
            self._pool.retire(number)
        if self._pool.freed(number, self._now(), sent_at, answered):
            self._close(number)

    def _place(self) -> Place:
        """A place for one attempt; connections that went bad while idle are let go first."""
        while True:
            place = self._pool.place(self._now())
            if place.slot is None:
                return place
            if place.opening:
                if self._has_room():
                    return place
                self._pool.lost(place.slot)
                return Place()
            connection = channel.connection if (channel := self._channels.get(place.slot)) else None
            if connection is None or connection.fit():
                return place
            self._pool.freed(place.slot, self._now(), 0, True)
            self._close(place.slot)
            self._lost(place.slot, "of no further use")

    def _open(self, number: int, broken: Channel | None = None) -> Channel:
        """Open a connection; in place of one that broke, for what waits for that and in what is left of its time."""
        channel = self._channels[number] = Channel()
        if broken is not None:
            channel.waiting, channel.probes = broken.waiting, broken.probes
        limit = self._pool.slots[number].opened_at + self._limits.connect_timeout
        channel.timer = self._deadlines.add(limit, lambda: self._too_slow(number))
        try:
            channel.give_up = self._backend.connect(
                self.server,
                lambda connection: self._ready(number, connection),
                lambda reason: self._lost(number, reason),
            )
        except Exception as problem:
            self._log.error("connect_error", server=self.server.name, error=repr(problem))
            self._lost(number, "error while connecting")
        return channel

    def _too_slow(self, number: int) -> None:
        if channel := self._channels.get(number):
            channel.give_up()
            self._lost(number, "no connection in time")

    def _ready(self, number: int, connection: Connection) -> None:
        channel = self._channels.get(number)
        if channel is None:  # given up meanwhile
            connection.close()
            return
        if channel.timer is not None:
            self._deadlines.cancel(channel.timer)
            channel.timer = None
        channel.connection = connection
        now, slot = self._now(), self._pool.slots[number]
        self._pool.opened(number, now)
        if not slot.opened_again:  # else what went before is in it
            self._saw(self.server, now - slot.opened_at, "connect")
        probes, channel.probes = channel.probes, []
        for ask in probes:
            ask(connection)
        if channel.waiting and not connection.fit():  # its end may have come right behind its beginning
            self._let_go(number, "of no further use")
        while channel.waiting:  # what still waits is lost along with the connection, if that breaks meanwhile
            self._write(channel, next(iter(channel.waiting)))

    def _close(self, number: int) -> None:
        if (channel := self._channels.get(number)) and channel.connection is not None:
            self._pool.retire(number)
            channel.connection.close()
        elif channel is not None:
            self._pool.retire(number)
            channel.give_up()

    def _lost(self, number: int, reason: str) -> None:
        channel = self._channels.pop(number, None)
        if channel is None:
            return
        if channel.timer is not None:
            self._deadlines.cancel(channel.timer)
        if channel.connection is None and reason == BROKE_OPENING and self._pool.again(number):
            self._open(number, channel)
            return
        self._pool.lost(number)
        for attempt in [*channel.out, *channel.waiting]:
            attempt.attempt_lost(reason)
        for ask in channel.probes:
            ask(None)
