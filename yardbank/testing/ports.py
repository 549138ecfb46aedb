"""Reserves loopback ports, for processes that do not listen yet and for servers that may be down.

A port that the system chose may be given to another process once it is closed. A bound socket alone does not reserve it
either, because several sockets with SO_REUSEADDR may be bound to the same port while none of them listens.
"""

from __future__ import annotations

import errno
import os
import socket

HOST = "127.0.0.1"
GUARD_HOST = "127.0.100.1"  # a process owns a block while it has bound the block's first port on this address
FIRST_PORT, LAST_PORT = 10_000, 30_000  # below the system's ephemeral ports
BLOCK_PORTS = 100
BACKLOG = 1024


class PortSupply:
    """Supplies ports from blocks that belong to this process; other users of this module do not get them."""

    def __init__(self) -> None:
        self._guards: list[socket.socket] = []
        self._ports: list[int] = []
        self._next = 0

    def take(self) -> int:
        """Returns the least recently used port on which nobody listens. Raises ``OSError`` if there is none."""
        for _ in range(len(self._ports)):
            port = self._ports[self._next % len(self._ports)]
            self._next += 1
            if _can_listen(port):
                return port
        self._take_block()
        return self.take()

    def _take_block(self) -> None:
        blocks = (LAST_PORT - FIRST_PORT) // BLOCK_PORTS
        for number in range(blocks):
            first = FIRST_PORT + (os.getpid() + number) % blocks * BLOCK_PORTS
            try:
                self._guards.append(_bound(GUARD_HOST, first))
            except OSError:
                continue
            self._next = len(self._ports)
            self._ports += range(first, first + BLOCK_PORTS)
            return
        raise OSError(errno.EADDRINUSE, "no block of ports is free")


_supply = PortSupply()


def free_port() -> int:
    """A port for a process that does not listen yet; no other user of this module gets it."""
    return _supply.take()


def _can_listen(port: int) -> bool:
    """Whether a server could listen on a port now, despite remains of closed connections."""
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((HOST, port))
            probe.listen(1)
        except OSError:
            return False
        return True


def _bound(host: str, port: int, reuse: bool = False) -> socket.socket:
    made = socket.socket()
    made.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, reuse)
    try:
        made.bind((host, port))
    except OSError:
        made.close()
        raise
    return made


class ReservedPort:
    """Reserves a port for the lifetime of the object, whether it listens or not.

    A socket stays bound to it. It has SO_REUSEADDR only while it listens, when other sockets cannot bind the port
    anyway: connections inherit the option, and without it they would prevent the next ``listen``.
    """

    def __init__(self, port: int = 0) -> None:
        """``port`` 0: any. Raises ``OSError`` if the port is not available."""
        self._socket = _bound_anywhere() if port == 0 else _bound_at(port)
        self.number: int = self._socket.getsockname()[1]

    def listen(self) -> int:
        """Starts to listen. The returned descriptor belongs to this object: callers must duplicate it."""
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._socket.listen(BACKLOG)
        self._socket.setblocking(False)
        return self._socket.fileno()

    def refuse(self) -> None:
        """Stops listening: pending connections are reset and new ones refused; the port stays reserved."""
        try:
            self._socket.shutdown(socket.SHUT_RDWR)
        except OSError as problem:
            if problem.errno != errno.ENOTCONN:  # it did not listen
                raise
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 0)


def _bound_anywhere() -> socket.socket:
    """Binds a port by number, because a port chosen by the system is released when listening ends."""
    while True:
        port = free_port()  # raises if there is none
        try:
            return _bound(HOST, port)
        except OSError:
            continue  # closed connections still hold the port


def _bound_at(port: int) -> socket.socket:
    """Binds a given port, even if closed connections of an earlier run still hold it."""
    try:
        return _bound(HOST, port)
    except OSError:
        return _bound(HOST, port, reuse=True)
