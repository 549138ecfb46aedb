"""Thin Twisted around ``closing.Closing``: what a connection's end does at its transport."""

from __future__ import annotations

from typing import Any

from twisted.internet.protocol import Protocol

from yardbank.gateway import presence
from yardbank.platform.closing import Closing, Event, Stage, Step


class Lingering(Protocol):
    """A connection that ends by a lingering close. It is in use while ``_closing.serves``."""

    transport: Any

    def __init__(self) -> None:
        self._closing = Closing()
        self._told_last = False  # it had its last word, or its end without one is counted

    def unread(self) -> bool:
        """Whether octets of the client wait in the socket: closing it would swallow them."""
        return presence.unread(self.transport)

    def close(self, last: bytes, how: Event = Event.WORD) -> None:
        """End it, with a last word if there is one; without one, a request that comes first is still served."""
        if not self._closing.serves:
            return
        if last:
            self.transport.write(last)
            self._told_last = True
        self._do(self._closing.on(how if last else Event.ASKED))

    def overdue(self) -> None:
        """Its end has taken long enough."""
        self._do(self._closing.on(Event.TIME))

    def make_way(self) -> None:
        """Its descriptor is wanted: close it early, if all it can do is wait for the other end's end."""
        if self._closing.stage is Stage.LINGERING and not self.unread():
            self.overdue()

    def cut(self) -> None:
        """Close at once."""
        self._do(self._closing.on(Event.CUT))

    @property
    def ending(self) -> bool:
        """Whether its end is under way."""
        return self._closing.stage is not Stage.OPEN

    def written(self) -> None:
        """All that was written is out: an end that waited for it goes on, unless the client has asked meanwhile."""
        if self._closing.stage is Stage.DRAINING and self.unread():
            self._closing.on(Event.OCTETS)
        self._do(self._closing.on(Event.WRITTEN))

    def _do(self, step: Step) -> None:
        if step is Step.NOTHING:
            return
        if self._closing.stage is Stage.DRAINING or self._closing.stage is Stage.SAYING:
            unsent = getattr(self.transport, "unsent", None)
            if self._closing.stage is Stage.SAYING:
                self._no_more()
            if unsent is None:  # a transport that cannot end its sending alone
                self._do(self._closing.on(Event.REJECTED))
            elif not unsent:
                self.written()
            return
        self._no_more()
        if step is Step.SHUT:
            self.transport.end_sending()
            self._lingers()
        elif step is Step.RESET:
            self.transport.abortConnection()
        else:
            self.transport.unregisterProducer()
            self.transport.loseConnection()

    def _lingers(self) -> None:
        """The sending has ended, or more of what came after that was read."""

    def _no_more(self) -> None:
        """From here on nothing of the client is served; called before each step at the transport."""
