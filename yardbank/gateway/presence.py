"""Inspects a socket without consuming data: whether data is unread and whether the peer has closed."""

from __future__ import annotations

import select
import socket
from typing import Any

CLOSED_EVENTS = getattr(select, "POLLRDHUP", 0) | getattr(select, "POLLHUP", 0) | getattr(select, "POLLERR", 0)
PEEK_FLAGS = socket.MSG_PEEK | socket.MSG_DONTWAIT


def unread(transport: Any) -> bool:
    """Whether unread data from the peer is pending: closing the socket would then reset the connection."""
    try:
        return bool(transport.socket.recv(1, PEEK_FLAGS))
    except (OSError, AttributeError):
        return False


def present(transport: Any) -> bool:
    """Whether the peer is connected, as far as the system knows: not if it ended its sending or reset the connection.

    Takes one system call, and a second one if unread data may hide the end of the stream. If it cannot be determined,
    the peer counts as connected: a transport without a socket, a system without ``poll``.
    """
    try:
        data = transport.socket.recv(1, PEEK_FLAGS)
    except ConnectionError:
        return False
    except (OSError, AttributeError):
        return True
    return bool(data) and not _is_closed(transport.socket)


def _is_closed(connection: socket.socket) -> bool:
    """Whether the end of the stream follows data that is not read yet."""
    try:
        poll = select.poll()
        poll.register(connection, CLOSED_EVENTS)
        return any(events & CLOSED_EVENTS for _, events in poll.poll(0))
    except (OSError, ValueError, AttributeError):
        return False
