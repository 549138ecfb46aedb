"""What a connection's socket holds, looked at without taking anything: unread octets, and the other end's end."""

from __future__ import annotations

import select
import socket
from typing import Any

ENDED = getattr(select, "POLLRDHUP", 0) | getattr(select, "POLLHUP", 0) | getattr(select, "POLLERR", 0)
LOOK = socket.MSG_PEEK | socket.MSG_DONTWAIT


def unread(transport: Any) -> bool:
    """Whether octets of the other end wait: a close over them would reset the connection."""
    try:
        return bool(transport.socket.recv(1, LOOK))
    except (OSError, AttributeError):
        return False


def present(transport: Any) -> bool:
    """Whether the other end is there, as far as the system knows: not if it has ended its sending, or was reset.

    One system call, and a second one where unread octets may hide the end behind them. What cannot be told counts as
    there: a transport without a socket, a system without ``poll``.
    """
    try:
        found = transport.socket.recv(1, LOOK)
    except ConnectionError:
        return False
    except (OSError, AttributeError):
        return True
    return bool(found) and not _ended(transport.socket)


def _ended(held: socket.socket) -> bool:
    """Whether the end has come behind octets that are not read yet."""
    try:
        poll = select.poll()
        poll.register(held, ENDED)
        return any(events & ENDED for _, events in poll.poll(0))
    except (OSError, ValueError, AttributeError):
        return False
