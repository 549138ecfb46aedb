"""Listening sockets, opened before anything serves so that an address that is taken fails the start as a whole."""

from __future__ import annotations

import socket
from collections.abc import Iterable

BACKLOG = 1024  # connections that the kernel accepts for a busy process


def listening_socket(address: str, port: int, shared: bool) -> socket.socket:
    """A non-blocking listening socket; ``shared`` lets several processes accept on one port (SO_REUSEPORT).

    Raises ``OSError`` if the address cannot be had; no socket is left open then.
    """
    family = socket.AF_INET6 if ":" in address else socket.AF_INET
    made = socket.socket(family, socket.SOCK_STREAM)
    try:
        made.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if shared:
            made.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        made.bind((address, port))
        made.listen(BACKLOG)
        made.setblocking(False)
    except OSError:
        made.close()
        raise
    return made


def close_sockets(sockets: Iterable[socket.socket]) -> None:
    """Close all of them."""
    for opened in sockets:
        opened.close()
