"""Listening sockets. They are opened before anything starts, so that an address in use fails the start as a whole."""

from __future__ import annotations

import socket
from collections.abc import Iterable

BACKLOG = 1024  # connections that the kernel queues while the process is busy


def listening_socket(address: str, port: int, shared: bool) -> socket.socket:
    """A non-blocking listening socket; ``shared`` lets several processes accept on one port (SO_REUSEPORT).

    Raises ``OSError`` if the address is not available; then no socket is left open.
    """
    family = socket.AF_INET6 if ":" in address else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if shared:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        listener.bind((address, port))
        listener.listen(BACKLOG)
        listener.setblocking(False)
    except OSError:
        listener.close()
        raise
    return listener


def close_sockets(sockets: Iterable[socket.socket]) -> None:
    """Close all of them."""
    for open_socket in sockets:
        open_socket.close()
