"""Thin Twisted around ``discovery.Watch``: connects, hands lists on, and tries again when a watch ends."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import ClientFactory, Protocol
from twisted.python.failure import Failure

from yardbank.platform.config import Address
from yardbank.platform.discovery import SILENCE, Pauses, Watch
from yardbank.platform.listing import Listing


class _Watching(Protocol):
    transport: Any

    def __init__(self, watcher: Watcher, watch: Watch) -> None:
        self._watcher, self._watch = watcher, watch

    def connectionMade(self) -> None:
        self.transport.write(self._watch.request)

    def dataReceived(self, data: bytes) -> None:
        self._watcher.heard(self)
        try:
            for listing in self._watch.receive(data):
                self._watcher.told(self, listing)
        except ValueError as problem:
            self._watcher.spoilt(self, str(problem))
            self.transport.abortConnection()
            return
        if self._watch.done:
            self.transport.loseConnection()

    def connectionLost(self, reason: Failure = Failure(ConnectionDone())) -> None:  # noqa: B008
        self._watcher.ended(self, reason.getErrorMessage())


class _Factory(ClientFactory):
    noisy = False

    def __init__(self, watcher: Watcher, made: _Watching) -> None:
        self._watcher, self._made = watcher, made

    def buildProtocol(self, addr: Any) -> _Watching:
        return self._made

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        self._watcher.ended(self._made, reason.getErrorMessage())


class Watcher:
    """Keeps one watch at a time; ``take`` gets each list as it comes and raises ``ValueError`` on one it cannot use."""

    def __init__(
        self, address: Address, generation: int, take: Callable[[Listing], None], reactor: Any, log: Any
    ) -> None:
        self.address, self.generation = address, generation
        self._take, self._reactor, self._log = take, reactor, log
        self._pauses = Pauses()
        self._current: _Watching | None = None
        self._connector: Any = None
        self._timer: Any = None  # the next try, or the end of patience with a silent watch

    def start(self) -> None:
        """Connect."""
        self._timer = None
        made = _Watching(self, Watch(f"{self.address.host}:{self.address.port}", self.generation))
        self._current = made
        factory = _Factory(self, made)
        self._patience()
        self._connector = self._reactor.connectTCP(self.address.host, self.address.port, factory, timeout=SILENCE / 1e9)

    def move(self, address: Address) -> None:
        """Discovery is elsewhere from now on; the list held stays until the new address tells another."""
        if address == self.address:
            return
        self.address = address
        self._drop()
        self._pauses = Pauses()
        self.start()

    def stop(self) -> None:
        """Watch no more."""
        self._drop()

    def _drop(self) -> None:
        current, self._current = self._current, None
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if current is not None and self._connector is not None:
            if current.transport is not None:
                current.transport.abortConnection()
            else:
                self._connector.disconnect()

    def _patience(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._reactor.callLater(SILENCE / 1e9, self._silent)

    def _silent(self) -> None:
        self._timer = None
        self._log.warning("discovery_silent", address=f"{self.address.host}:{self.address.port}")
        self._drop()
        self.start()

    def heard(self, watching: _Watching) -> None:
        """The watch lives."""
        if watching is self._current:
            self._patience()

    def told(self, watching: _Watching, listing: Listing) -> None:
        """A list came; from a watch that was given up, it is of no interest."""
        if watching is self._current:
            self._take(listing)
            self.generation = listing.generation
            self._pauses.worked()

    def spoilt(self, watching: _Watching, problem: str) -> None:
        """What came is no list: the one held stays."""
        if watching is self._current:
            self._log.error("discovery_list_rejected", problem=problem[:300])

    def ended(self, watching: _Watching, reason: str) -> None:
        """The watch is over: try again after a pause."""
        if watching is not self._current:
            return
        self._current = None
        if self._timer is not None:
            self._timer.cancel()
        pause = self._pauses.next()
        self._log.info("discovery_watch_ended", reason=reason, again_ms=pause // 1_000_000)
        self._timer = self._reactor.callLater(pause / 1e9, self.start)
