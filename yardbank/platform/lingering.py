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
        self._told_last = False  # it had its last word
        self._service_ended = False

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
        self._go_on(Event.WRITTEN)

    def _go_on(self, event: Event) -> None:
        """Go on with an end that waited, unless the client has asked meanwhile: the one look that decides it."""
        if self._closing.stage is Stage.DRAINING and self.unread():
            self.asked_meanwhile()
            return
        self._do(self._closing.on(event))

    def asked_meanwhile(self) -> None:
        """Octets of the client were found before the end: the connection stays and they are read."""
        self._closing.on(Event.OCTETS)

    def _do(self, step: Step) -> None:
        if step is Step.FLUSH:
            self._flush()
        elif step is Step.SHUT:
            self.transport.end_sending()  # right behind the look: what comes from here on crosses the end
            self._end_service(unread=False)
            self._lingers()
        elif step is Step.RESET:
            self._end_service(unread=self.unread())
            self.transport.abortConnection()
        elif step is Step.CLOSE:
            self._end_service(unread=self.unread())
            self.transport.unregisterProducer()
            self.transport.loseConnection()

    def _flush(self) -> None:
        """Go on at once if nothing is unsent; else the transport says when all is written."""
        if self._closing.stage is Stage.SAYING:
            self._end_service(unread=False)
        unsent = getattr(self.transport, "unsent", None)
        if unsent is None:  # a transport that cannot end its sending alone
            self._go_on(Event.REJECTED)
        elif not unsent:
            self._go_on(Event.WRITTEN)

    def _end_service(self, unread: bool) -> None:
        """From here on nothing of the client is served; ``unread``: whether octets of it were found in the socket."""
        if not self._service_ended:
            self._service_ended = True
            self.service_ended(unread)

    def service_ended(self, unread: bool) -> None:
        """Told once, when nothing of the client is served any more; see ``_end_service``."""

    def _lingers(self) -> None:
        """The sending has ended, or more of what came after that was read."""
