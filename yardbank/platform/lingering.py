"""Twisted protocol that closes its transport as ``closing.LingeringClose`` says."""

from __future__ import annotations

from typing import Any

from twisted.internet.protocol import Protocol

from yardbank.gateway import presence
from yardbank.platform.closing import Action, Event, LingeringClose, Stage


class LingeringProtocol(Protocol):
    """A connection that ends with a lingering close. It serves requests while ``_closing.accepts_requests``."""

    transport: Any

    def __init__(self) -> None:
        self._closing = LingeringClose()
        self._final_message_sent = False
        self._service_ended = False

    def unread(self) -> bool:
        """Whether data of the client is unread in the socket; closing now would discard it."""
        return presence.unread(self.transport)

    def close(self, last: bytes, how: Event = Event.FINAL_MESSAGE) -> None:
        """Starts the close, with ``last`` as final message; without one, a request that comes first is served."""
        if not self._closing.accepts_requests:
            return
        if last:
            self.transport.write(last)
            self._final_message_sent = True
        self._perform(self._closing.on_event(how if last else Event.CLOSE_REQUESTED))

    def close_timed_out(self) -> None:
        """Ends a close that has taken too long."""
        self._perform(self._closing.on_event(Event.TIMEOUT))

    def release_descriptor(self) -> None:
        """Closes early to free the descriptor, if all that is left is to wait for the client to close."""
        if self._closing.stage is Stage.LINGERING and not self.unread():
            self.close_timed_out()

    def abort(self) -> None:
        """Closes at once."""
        self._perform(self._closing.on_event(Event.ABORTED))

    @property
    def is_closing(self) -> bool:
        """Whether the close has started."""
        return self._closing.stage is not Stage.OPEN

    def all_written(self) -> None:
        """Called when everything is written: a close that waited for it continues, unless a request has arrived."""
        self._continue_close(Event.ALL_WRITTEN)

    def _continue_close(self, event: Event) -> None:
        """Continues a waiting close unless data has arrived; the socket is checked once, here, for that decision."""
        if self._closing.stage is Stage.DRAINING and self.unread():
            self.data_before_close()
            return
        self._perform(self._closing.on_event(event))

    def data_before_close(self) -> None:
        """Called when data of the client is found before the close: the connection stays open and the data is read."""
        self._closing.on_event(Event.DATA_RECEIVED)

    def _perform(self, action: Action) -> None:
        if action is Action.FLUSH:
            self._flush()
        elif action is Action.SHUTDOWN_WRITE:
            self.transport.shutdown_write()  # right after the check for unread data: later data is not served
            self._end_service(unread=False)
            self._on_lingering()
        elif action is Action.RESET:
            self._end_service(unread=self.unread())
            self.transport.abortConnection()
        elif action is Action.CLOSE:
            self._end_service(unread=self.unread())
            self.transport.unregisterProducer()
            self.transport.loseConnection()

    def _flush(self) -> None:
        """Continues at once if nothing is unsent; otherwise the transport calls ``all_written``."""
        if self._closing.stage is Stage.SENDING_FINAL:
            self._end_service(unread=False)
        unsent = getattr(self.transport, "unsent", None)
        if unsent is None:  # a transport that cannot shut down its sending side alone
            self._continue_close(Event.REJECTED)
        elif not unsent:
            self._continue_close(Event.ALL_WRITTEN)

    def _end_service(self, unread: bool) -> None:
        """Marks the end of service; ``unread``: whether data of the client was found in the socket."""
        if not self._service_ended:
            self._service_ended = True
            self.service_ended(unread)

    def service_ended(self, unread: bool) -> None:
        """Called once, when no more requests of the client are served; see ``_end_service``."""

    def _on_lingering(self) -> None:
        """Called when the sending side is shut down, and after each read that follows."""
