"""The way to one server: carries attempts over pooled connections and reports how each one ended."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from yardbank.gateway.api import BROKE_OPENING, Backend, Connection, Limits, Position, Reply, ServerSpec
from yardbank.gateway.deadlines import Deadlines
from yardbank.gateway.pool import Place, Pool


class Attempt:
    """One attempt on its way to a server. Ends once, whatever happens; a ``Receiver`` of its connection."""

    __slots__ = ("_ended", "number", "on_end", "on_part", "operation", "sent_at", "slot", "timer", "way")

    def __init__(
        self,
        operation: Any,
        sent_at: int,
        on_part: Callable[[Any, int], None],
        on_end: Callable[[str, Reply | None, str], None],
    ) -> None:
        self.operation, self.sent_at = operation, sent_at
        self.on_part, self.on_end = on_part, on_end
        self.slot: int | None = None
        self.number: int | None = None  # on its connection, once it has gone out
        self.timer: int | None = None
        self.way: Way | None = None
        self._ended = False

    @property
    def ended(self) -> bool:
        """Whether its end was reported."""
        return self._ended

    @property
    def gone_out(self) -> bool:
        """Whether it may have reached the server."""
        return self.number is not None

    def attempt_part(self, payload: Any, size: int) -> None:
        """A part of the answer came."""
        if not self._ended:
            self.on_part(payload, size)

    def attempt_done(self, reply: Reply) -> None:
        """The answer is whole."""
        self.end(reply.status, reply, reply.reason, answered=True)

    def attempt_lost(self, reason: str) -> None:
        """The connection went."""
        self.end("reset" if self.gone_out else "connect_failed", None, reason)

    def end(self, status: str, reply: Reply | None, reason: str, answered: bool = False) -> None:
        """Report the end, once."""
        if self._ended:
            return
        self._ended = True
        if self.way is not None:
            self.way.release(self, answered)
        self.on_end(status, reply, reason)


class _Channel:
    """One connection of a way: waits for it, then holds it."""

    def __init__(self) -> None:
        self.connection: Connection | None = None
        self.give_up: Callable[[], None] = lambda: None
        self.waiting: dict[Attempt, None] = {}
        self.out: dict[Attempt, None] = {}
        self.probes: list[Callable[[Connection | None], None]] = []
        self.timer: int | None = None


class Way:
    """All that goes to one server from one gateway."""

    def __init__(
        self,
        server: ServerSpec,
        backend: Backend,
        limits: Limits,
        deadlines: Deadlines,
        now: Callable[[], int],
        log: Any,
        has_room: Callable[[], bool] = lambda: True,
    ) -> None:
        self._has_room = has_room  # for one connection more, of all that the gateway holds
        self.server, self._backend, self._limits = server, backend, limits
        self._deadlines, self._now, self._log = deadlines, now, log
        self._pool = Pool(limits.connections, limits.multiplex, limits.idle_close)
        self._channels: dict[int, _Channel] = {}

    @property
    def connections(self) -> int:
        """Connections open or opening."""
        return len(self._channels)

    def submit(self, attempt: Attempt, until: int) -> None:
        """Send an attempt, now or when a connection for it is up; its end is reported through it."""
        attempt.way = self
        if until <= self._now():
            attempt.end("moot", None, "its time had run out")
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
        if channel.connection is None:
            channel.waiting[attempt] = None
        else:
            self._write(channel, attempt)

    def cancel(self, attempt: Attempt) -> None:
        """Stop waiting for one attempt; the server is told where it can be."""
        self._abandon(attempt)
        attempt.end("cancelled", None, "called off")

    def probe(self, done: Callable[[Position | None, int, str], None]) -> None:
        """Ask for position and role; ``done`` gets them, when the question went out, and the status."""
        state: dict[str, Any] = {"over": False, "sent": self._now()}
        place = self._place()

        def finish(position: Position | None, status: str, answered: bool) -> None:
            if state["over"]:
                return
            state["over"] = True
            self._deadlines.cancel(timer)
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

    def _open(self, number: int, broken: _Channel | None = None) -> _Channel:
        """Open a connection; in place of one that broke, for what waits for that and in what is left of its time."""
        channel = self._channels[number] = _Channel()
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
        self._pool.opened(number, self._now())
        probes, channel.probes = channel.probes, []
        for ask in probes:
            ask(connection)
        waiting, channel.waiting = channel.waiting, {}
        for attempt in waiting:
            if not attempt.ended:
                self._write(channel, attempt)

    def _write(self, channel: _Channel, attempt: Attempt) -> None:
        assert channel.connection is not None
        channel.out[attempt] = None
        try:
            attempt.number = channel.connection.submit(attempt.operation, attempt)
        except Exception as problem:  # one request's fault, not the connection's
            self._log.error("submit_error", server=self.server.name, error=repr(problem))
            attempt.end("error", None, "the request could not be written")

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
