"""Twisted listening port for clients: limits how many connections it accepts and reports when everything is written."""

from __future__ import annotations

import errno
import select
import socket
from typing import Any

from twisted.internet.error import CannotListenError
from twisted.internet.main import CONNECTION_LOST
from twisted.internet.tcp import Port, Server

BACKLOG = 1024
SHORTAGES = frozenset((errno.ENFILE, errno.EMFILE, errno.ENOBUFS, errno.ENOMEM))
RETRY_DELAY_S = 0.05
MAX_RETRY_S = 2.0


class ClientTransport(Server):
    """One accepted connection; calls its protocol's ``all_written`` whenever nothing is left unsent."""

    unsent = False
    read_size = Server.bufferSize  # octets read at a time; ``bufferSize`` limits unsent octets too

    def doRead(self) -> Any:  # noqa: N802
        """Reads at most ``read_size`` octets."""
        try:
            data = self.socket.recv(self.read_size)
        except BlockingIOError:
            return None
        except OSError:
            return CONNECTION_LOST
        return self._dataReceived(data)

    def startWriting(self) -> None:  # noqa: N802
        """Notes that data is unsent."""
        self.unsent = True
        super().startWriting()

    def stopWriting(self) -> None:  # noqa: N802
        """Called when all data is written or the connection ends."""
        super().stopWriting()
        if self.unsent and self.connected:
            self.unsent = False
            self.protocol.all_written()

    def shutdown_write(self) -> None:
        """Shuts down the sending side within this reactor turn; nothing may be unsent."""
        try:
            self.socket.shutdown(socket.SHUT_WR)
        except OSError:
            pass  # the client is gone: the next read reports it


class ClientPort(Port):
    """Accepts as many connections as its factory's ``accept_capacity`` allows; resumes by ``call_when_capacity``."""

    transport = ClientTransport
    factory: Any

    def __init__(self, port: int, factory: Any, interface: str, reactor: Any) -> None:
        super().__init__(port, factory, BACKLOG, interface, reactor)

    def doRead(self) -> None:  # noqa: N802
        """Accepts no more connections than there are descriptors for."""
        if (limit := min(self.numberAccepts, self.factory.accept_capacity())) > 0:
            self.numberAccepts = limit
            super().doRead()
        else:
            self.stopReading()  # a waiting connection would wake the reactor again and again
            self.factory.call_when_capacity(self._resume_accepting)

    def _resume_accepting(self) -> None:
        if self.connected and not self.disconnecting:
            self.startReading()

    def accept_waiting(self) -> bool:
        """Accepts all waiting connections as far as there is capacity. Returns whether some still wait."""
        for _ in range(BACKLOG):
            before = self.sessionno
            self.doRead()
            if self.sessionno == before:
                break
        poller = select.poll()
        poller.register(self.socket, select.POLLIN)
        return bool(poller.poll(0))

    def connectionLost(self, reason: Any) -> None:  # noqa: N802
        """Accepts waiting connections in the same turn first, as closing the port would reset them."""
        self.accept_waiting()
        super().connectionLost(reason)


def may_pass(problem: CannotListenError) -> bool:
    """Whether the system was only short of sockets, not the address unusable."""
    return getattr(problem.socketError, "errno", None) in SHORTAGES


def listen(reactor: Any, host: str, port: int, factory: Any) -> Any:
    """Listens for clients. Raises ``CannotListenError``."""
    made = ClientPort(port, factory, host, reactor)
    made.startListening()
    return made
