"""Twisted's listening port for clients: accepts no more at a time than there is room for, and says what is unsent."""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Any

from twisted.internet.tcp import Port, Server

BACKLOG = 1024
LAST_ACCEPTS = 4 * BACKLOG  # of those that wait when the port is closed


class ClientTransport(Server):
    """One accepted connection; its protocol's ``written`` is called whenever all that was written is out."""

    unsent = False

    def startWriting(self) -> None:
        self.unsent = True
        super().startWriting()

    def stopWriting(self) -> None:
        """All is written, or the connection ends."""
        super().stopWriting()
        if self.unsent and self.connected:
            self.unsent = False
            self.protocol.written()

    def end_sending(self) -> None:
        """End the sending side in this very turn; nothing may be unsent."""
        try:
            self.socket.shutdown(socket.SHUT_WR)
        except OSError:
            pass  # the other end is gone: reading will tell


class ClientPort(Port):
    """``room`` says how many connections may be accepted now."""

    transport = ClientTransport

    def __init__(self, port: int, factory: Any, interface: str, reactor: Any, room: Callable[[], int]) -> None:
        super().__init__(port, factory, BACKLOG, interface, reactor)
        self._room = room

    def doRead(self) -> None:
        """Accept, but only as many as there are descriptors for."""
        if (most := min(self.numberAccepts, self._room())) > 0:
            self.numberAccepts = most
            super().doRead()


def listen(reactor: Any, host: str, port: int, factory: Any, room: Callable[[], int]) -> Any:
    """Listen for clients. Raises ``CannotListenError``."""
    made = ClientPort(port, factory, host, reactor, room)
    made.startListening()
    return made
