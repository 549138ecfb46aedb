"""Twisted protocol of one connection to discovery: sends the watch's request and passes on what is received."""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Any

from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import ClientFactory, Protocol
from twisted.python.failure import Failure

from yardbank.platform.discovery import Watch

READ_SIZE = 64 << 10  # octets at a time


class WatchConnection(Protocol):
    """One connection; ``received`` gets its octets, ``ended`` its end and the reason unless it was aborted here."""

    transport: Any = None
    connector: Any = None

    def __init__(
        self,
        number: int,
        watch: Watch,
        received: Callable[[WatchConnection, bytes], None],
        ended: Callable[[WatchConnection, str], None],
    ) -> None:
        self.number = number
        self.watch = watch
        self.aborted = False
        self._received = received
        self._ended = ended

    def connectionMade(self) -> None:  # noqa: N802
        """Sends the request."""
        self.transport.write(self.watch.request)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Passes octets on; closes the connection after the last ones of the response."""
        if self.aborted:
            return
        self._received(self, data)
        if self.watch.done and not self.aborted:
            self.transport.loseConnection()

    def connectionLost(self, reason: Failure = Failure(ConnectionDone())) -> None:  # noqa: B008, N802
        """Reports the end, also of a connection that was never established."""
        if not self.aborted:
            self._ended(self, reason.getErrorMessage())

    def read_pending(self) -> bytes:
        """Reads data waiting in the socket; none also if the connection has ended, which is left to the reactor."""
        sock = getattr(self.transport, "socket", None)
        if sock is None or self.aborted or self.watch.done:
            return b""
        try:
            if not sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT):
                return b""
            return bytes(sock.recv(READ_SIZE))
        except OSError:  # no data, or a reset
            return b""

    def abort(self) -> None:
        """Closes the connection and ignores what it still receives."""
        self.aborted = True
        if self.transport is not None:
            self.transport.abortConnection()
        elif self.connector is not None:
            self.connector.disconnect()


class WatchConnectionFactory(ClientFactory):
    """Factory of the one connection that it is given."""

    noisy = False

    def __init__(self, connection: WatchConnection) -> None:
        self._connection = connection

    def buildProtocol(self, addr: Any) -> WatchConnection:  # noqa: N802
        """Returns the connection."""
        return self._connection

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:  # noqa: N802
        """Reports that no connection could be established."""
        self._connection.connectionLost(reason)
