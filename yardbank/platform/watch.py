"""Thin Twisted around ``discovery.Watch`` and ``watch_state.WatchStateMachine``.

It connects, hands lists on, and ends what is given up.
"""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Any

from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import ClientFactory, Protocol
from twisted.python.failure import Failure

from yardbank.gateway.api import MS, SECOND
from yardbank.platform.config import Address
from yardbank.platform.discovery import Watch
from yardbank.platform.json_stream import Token
from yardbank.platform.listing import Listing, joined
from yardbank.platform.watch_state import SILENCE, Steps, WatchStateMachine

LOG_EVERY = SECOND  # of what discovery can cause at will
READ_SIZE, MAX_READS = 64 << 10, 16  # octets at a time, and how many times in a row


class _Watching(Protocol):
    transport: Any
    connector: Any = None

    def __init__(self, watcher: Watcher, number: int, watch: Watch) -> None:
        self._watcher = watcher
        self.number = number
        self.watch = watch
        self.dropped = False

    def connectionMade(self) -> None:  # noqa: N802
        self.transport.write(self.watch.request)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        if self.dropped:
            return
        self._watcher.heard(self, data)
        if self.watch.done and not self.dropped:
            self.transport.loseConnection()

    def connectionLost(self, reason: Failure = Failure(ConnectionDone())) -> None:  # noqa: B008, N802
        if not self.dropped:
            self._watcher.ended(self, reason.getErrorMessage())

    def unread(self) -> bytes:
        """Octets that lie in the socket; none also if it has ended, which is for the reactor to see."""
        held = getattr(self.transport, "socket", None)
        if held is None or self.dropped or self.watch.done:
            return b""
        try:
            if not held.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT):
                return b""
            return bytes(held.recv(READ_SIZE))
        except OSError:  # nothing there, or a reset
            return b""

    def drop(self) -> None:
        """What it still brings is of no interest."""
        self.dropped = True
        if self.transport is not None:
            self.transport.abortConnection()
        elif self.connector is not None:
            self.connector.disconnect()


class _Factory(ClientFactory):
    noisy = False

    def __init__(self, made: _Watching) -> None:
        self._made = made

    def buildProtocol(self, addr: Any) -> _Watching:  # noqa: N802
        return self._made

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:  # noqa: N802
        self._made.connectionLost(reason)


class Watcher:
    """Keeps a watch; ``take`` gets each list as it comes and raises ``ValueError`` on one it cannot use."""

    def __init__(
        self, address: Address, generation: int, take: Callable[[Listing], None], reactor: Any, log: Any
    ) -> None:
        self.address = address
        self.generation = generation
        self._take = take
        self._reactor = reactor
        self._log = log
        self._state_machine = WatchStateMachine()
        self._open: dict[int, _Watching] = {}
        self._reading = False
        self._holes = False  # a list was lost on its way: another of its generation may be held
        self._timer: Any = None  # due at ``_due_at`` or before: a tick too early does nothing
        self._due_at = 0
        self._said: dict[str, tuple[int, int]] = {}  # by event: when it was last logged, and how many were not since

    def start(self) -> None:
        """Connect."""
        self._do(self._state_machine.begin(self._now()))

    def move(self, address: Address) -> None:
        """Discovery is elsewhere from now on; the list held stays until the new address tells another.

        While nobody watches (before the start, after the stop) the address is only noted.
        """
        if address != self.address:
            self.address = address
            self._do(self._state_machine.move(self._now()))

    def stop(self) -> None:
        """Watch no more."""
        self._do(self._state_machine.stop())

    def _now(self) -> int:
        return int(self._reactor.seconds() * SECOND)

    def _do(self, steps: Steps) -> None:
        for number in steps.drop:
            watching = self._open.pop(number)
            if number in steps.silent:
                address, waiting = f"{self.address.host}:{self.address.port}", watching.watch.waiting
                self._say(self._log.warning, "discovery_silent", address=address, waiting=waiting)
            self._lost(watching)
            watching.drop()
        if steps.begin is not None:
            self._begin(steps.begin)
        self._arm()

    def _begin(self, number: int) -> None:
        host, port = self.address.host, self.address.port
        made = _Watching(self, number, Watch(f"{host}:{port}", 0 if self._holes else self.generation))
        self._open[number] = made
        try:
            made.connector = self._reactor.connectTCP(host, port, _Factory(made), timeout=2 * SILENCE / 1e9)
        except Exception as problem:  # noqa: BLE001  # no descriptor, say: a dial that failed, and the next comes after its pause
            self.ended(made, f"no dial: {problem!r}")

    def _say(self, say: Callable[..., None], event: str, **facts: Any) -> None:
        """At most one line a second of each event, which tells how many were left out."""
        now = self._now()
        at, left_out = self._said.get(event, (now - LOG_EVERY, 0))
        if now - at < LOG_EVERY:
            self._said[event] = at, left_out + 1
            return
        say(event, **facts, left_out=left_out)
        self._said[event] = now, 0

    def _arm(self) -> None:
        at = self._state_machine.next_at()
        if self._timer is not None:
            if at is not None and self._due_at <= at:
                return
            self._timer.cancel()
            self._timer = None
        if at is not None:
            self._due_at = at
            self._timer = self._reactor.callLater(max(0, at - self._now()) / 1e9, self._due)

    def _due(self) -> None:
        """Look once more at what has come while the process was busy, and only then hold silence against anybody."""
        self._timer = self._reactor.callLater(0, self._tick)

    def _tick(self) -> None:
        """A turn reads one piece of each socket: the rest of a long list is read before it counts as silence."""
        self._timer = None
        self.catch_up()
        self._do(self._state_machine.tick(self._now()))

    def _lost(self, watching: _Watching) -> None:
        if watching.watch.waiting:
            self._holes = True

    def catch_up(self) -> None:
        """Take in now what lies unread, as if the reactor had looked; for whoever is about to count on the list.

        One system call if there is nothing. Within the taking of a list it does nothing: ``take`` is not entered twice.
        """
        if not self._reading:
            for watching in tuple(self._open.values()):
                if data := watching.unread():
                    watching.dataReceived(data)

    def heard(self, watching: _Watching, data: bytes) -> None:
        """Octets of a watch that is gone by, or may be; what lies in the socket behind them is taken along."""
        was_answered = watching.watch.answered
        lists: list[Listing] = []
        self._reading = True
        try:
            problem = self._read(watching, data, lists)
            problem = self._apply(lists) or problem
        finally:
            self._reading = False
        if problem is not None:
            self._rejected(watching, problem)
        elif watching.watch.answered and not was_answered:
            self._do(self._state_machine.answered(watching.number, self._now()))

    def _read(self, watching: _Watching, data: bytes, lists: list[Listing]) -> ValueError | None:
        """Add the lists that octets bring to ``lists``. Returns why the watch is of no further use, if it is not."""
        try:
            for _ in range(MAX_READS):
                for found in watching.watch.receive(data):
                    is_begun = found is Token.BEGUN
                    self._do(self._state_machine.lived(watching.number, self._now(), begun=is_begun))
                    if isinstance(found, Listing):
                        lists.append(found)
                data = watching.unread()
                if not data:
                    break
        except ValueError as spoilt:
            return spoilt
        except Exception as fault:  # noqa: BLE001  # border: an error of the program ends this watch, nothing else
            return self._program_error(fault, "read")
        return None

    def _program_error(self, fault: Exception, done: str) -> ValueError:
        self._log.error("list_error", error=repr(fault), exc_info=True)
        return ValueError(f"it could not be {done}")

    def _apply(self, lists: list[Listing]) -> ValueError | None:
        """Hand lists on. Returns why they could not be applied, if so."""
        if not lists:
            return None
        try:
            self._told(joined(lists))
        except ValueError as spoilt:
            return spoilt
        except Exception as fault:  # noqa: BLE001  # border: nor may it end the send that looked
            return self._program_error(fault, "applied")
        return None

    def _rejected(self, watching: _Watching, problem: Exception) -> None:
        self._holes = True
        self._say(self._log.error, "discovery_list_rejected", problem=str(problem)[:300])
        watching.drop()
        self.ended(watching, "what it brought is no list")

    def _told(self, listing: Listing) -> None:
        if not listing.reset and listing.generation < self.generation:  # changes of another past than the list held
            raise ValueError(f"generation: {listing.generation} after {self.generation}, and not the whole list")
        self._take(listing)
        if listing.generation != self.generation:
            self._state_machine.news()
        self.generation = listing.generation
        self._holes = self._holes and not listing.reset

    def ended(self, watching: _Watching, reason: str) -> None:
        """A watch is over: try again after a pause."""
        if self._open.pop(watching.number, None) is None:
            return
        self._lost(watching)
        pause = self._state_machine.ended(watching.number, self._now())
        if pause is not None:
            self._say(self._log.info, "discovery_watch_ended", reason=reason, again_ms=pause // MS)
        self._arm()
