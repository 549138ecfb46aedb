"""Twisted's listening port for clients: accepts no more at a time than there is room for, and says what is unsent."""

from __future__ import annotations

import select
import socket
from typing import Any

from twisted.internet.tcp import Port, Server

BACKLOG = 1024


class ClientTransport(Server):
    """One accepted connection; its protocol's ``written`` is called whenever all that was written is out."""

    unsent = False

    def startWriting(self) -> None:  # noqa: N802
        """Something is unsent."""
        self.unsent = True
        super().startWriting()

    def stopWriting(self) -> None:  # noqa: N802
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
    """Its factory's ``room`` says how many connections may be accepted now, ``when_room`` tells when to go on."""

    transport = ClientTransport
    factory: Any

    def __init__(self, port: int, factory: Any, interface: str, reactor: Any) -> None:
        super().__init__(port, factory, BACKLOG, interface, reactor)

    def doRead(self) -> None:  # noqa: N802
        """Accept, but only as many as there are descriptors for."""
        if (most := min(self.numberAccepts, self.factory.room())) > 0:
            self.numberAccepts = most
            super().doRead()
        else:
            self.stopReading()  # who waits would wake the reactor again and again
            self.factory.when_room(self._go_on)

    def _go_on(self) -> None:
        if self.connected and not self.disconnecting:
            self.startReading()

    def accept_waiting(self) -> bool:
        """Accept all that have connected, as far as there is room now; whether some still wait."""
        for _ in range(BACKLOG):
            before = self.sessionno
            self.doRead()
            if self.sessionno == before:
                break
        look = select.poll()
        look.register(self.socket, select.POLLIN)
        return bool(look.poll(0))

    def connectionLost(self, reason: Any) -> None:  # noqa: N802
        """Closing the port resets whoever waits to be accepted: they are, in the very turn."""
        self.accept_waiting()
        super().connectionLost(reason)


def listen(reactor: Any, host: str, port: int, factory: Any) -> Any:
    """Listen for clients. Raises ``CannotListenError``."""
    made = ClientPort(port, factory, host, reactor)
    made.startListening()
    return made
