"""Loopback ports that nobody else gets: for a process that is yet to listen, and for a server that may be down.

A port that is taken from the system, closed and handed on may be given to anybody meanwhile. A bound socket alone does
not keep it either: sockets with SO_REUSEADDR may be bound to one port as long as none of them listens.
"""

from __future__ import annotations

import errno
import os
import socket

HOST = "127.0.0.1"
GUARD_HOST = "127.0.100.1"  # a block belongs to the process that has bound its first port here
FIRST_PORT, LAST_PORT = 10_000, 30_000  # below those that the system hands out by itself
BLOCK_PORTS = 100
BACKLOG = 1024


class PortSupply:
    """Ports in blocks of one process's own: no other process that asks here gets them while it lives."""

    def __init__(self) -> None:
        self._guards: list[socket.socket] = []
        self._ports: list[int] = []
        self._next = 0

    def take(self) -> int:
        """A port on which nobody listens, the one handed out longest ago. Raises ``OSError`` if there is none."""
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
    """A port for a process that is yet to listen; this process's own among all that ask here."""
    return _supply.take()


def _can_listen(port: int) -> bool:
    """Whether a server could listen there now, also over what remains of closed connections."""
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
    """A port that is this object's while it lives, whether it listens or not.

    One socket is bound for good. It has SO_REUSEADDR only while it listens, when others are refused all the same:
    its connections inherit the option, and without it they would be in the way of the next ``listen``.
    """

    def __init__(self, port: int = 0) -> None:
        """``port`` 0: any. Raises ``OSError`` if the port cannot be had."""
        self._socket = _bound_anywhere() if port == 0 else _bound_at(port)
        self.number: int = self._socket.getsockname()[1]

    def listen(self) -> int:
        """Begin to listen. The descriptor belongs to this object: whoever accepts on it copies it."""
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._socket.listen(BACKLOG)
        self._socket.setblocking(False)
        return self._socket.fileno()

    def refuse(self) -> None:
        """Listen no more: who waits to be accepted is reset, new connections are refused, the port is kept."""
        try:
            self._socket.shutdown(socket.SHUT_RDWR)
        except OSError as problem:
            if problem.errno != errno.ENOTCONN:  # it did not listen
                raise
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 0)


def _bound_anywhere() -> socket.socket:
    """Bound by its number: a port that the system chose would go when listening ends."""
    while True:
        port = free_port()  # raises where there is none
        try:
            return _bound(HOST, port)
        except OSError:
            continue  # closed connections remain there


def _bound_at(port: int) -> socket.socket:
    """A port that was asked for: also where closed connections of an earlier run remain."""
    try:
        return _bound(HOST, port)
    except OSError:
        return _bound(HOST, port, reuse=True)
