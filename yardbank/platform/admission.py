"""Decides which client connections are kept and which are closed. No I/O; times in ns, passed in.

Descriptors are scarce, and some clients open hundreds of connections and send nothing. A connection that has not yet
completed its startup message, or has sent half a message, is closed after a short timeout. An idle connection is
closed after a longer timeout, or earlier when descriptors run short. A connection with an open request is never closed
here.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum

from yardbank.gateway.api import MS, SECOND
from yardbank.platform.watch_state import MAX_OPEN_WATCHES

MIN_CLOSING = 4  # least descriptors for closing client connections, besides those of served ones
# Standard streams 3, epoll 1, wakers 2, listening port 1, Twisted's reserve 1, discovery watches
# ``MAX_OPEN_WATCHES`` and those aborted in the same reactor turn 1, the configuration file while it is reloaded 1, an
# accepted connection that is to be turned away 1.
RESERVED_DESCRIPTORS = 11 + MAX_OPEN_WATCHES


class State(Enum):
    """State of a client connection."""

    NEW = "owes its first words"
    PARTIAL = "has sent half a message"
    STUCK = "does not read its answers"
    IDLE = "has no open request"
    BUSY = "has an open request"


@dataclass(slots=True, frozen=True)
class AdmissionLimits:
    """Time limits for the client connections of one gateway."""

    message_timeout: int = 2 * SECOND  # longest time in NEW or PARTIAL
    blocked_timeout: int = 3 * SECOND  # longest time in STUCK
    idle_timeout: int = 10 * SECOND  # longest time in IDLE
    idle_min_age: int = 2 * SECOND  # idle connections may be evicted from this age on
    new_min_age: int = 250 * MS  # connections that have sent nothing may be evicted from this age on

    def __post_init__(self) -> None:
        for name in self.__slots__:
            if getattr(self, name) <= 0:
                raise ValueError(f"admission.{name} must be positive")


@dataclass(slots=True, frozen=True)
class Descriptors:
    """Shares the file descriptors of one process between clients and servers.

    Together they never hold more than ``total``.

    Clients with requests hold at most a third of all descriptors, and each open request uses about one server
    connection; the rest goes to whichever side needs it. Descriptors for the process itself, for discovery and for
    short-lived uses are set aside.
    """

    total: int
    min_servers: int
    closing: int = MIN_CLOSING

    @classmethod
    def of(cls, sockets: int) -> Descriptors:
        """Returns the shares for a process that may hold ``sockets`` descriptors."""
        closing = max(MIN_CLOSING, sockets // 32)
        total = sockets - RESERVED_DESCRIPTORS - closing
        return cls(total, max(total // 4, sockets // 5), closing)

    def max_clients(self, servers: int) -> int:
        """Returns how many connections clients may hold while servers hold ``servers``."""
        return self.total - max(self.min_servers, servers)

    def max_servers(self, clients: int) -> int:
        """Returns how many server connections may be open while clients hold ``clients``."""
        return max(self.min_servers, self.total - clients)


def may_pipeline(open_requests: int, max_servers: int) -> bool:
    """Whether a connection may have a further request open besides its first one.

    Each open request takes about one server connection. Half of those are kept for the first request of each
    client connection.
    """
    return 2 * open_requests < max_servers


class Admission:
    """The client connections of one gateway, by the numbers that the caller gives them."""

    def __init__(self, limits: AdmissionLimits) -> None:
        self.limits = limits
        self._state: dict[int, State] = {}
        self._since: dict[State, OrderedDict[int, int]] = {state: OrderedDict() for state in State}

    def __len__(self) -> int:
        return len(self._state)

    def count(self, state: State) -> int:
        """Returns how many connections are in a state."""
        return len(self._since[state])

    def connected(self, number: int, now: int, limit: int) -> int | None:
        """Adds a connection; at most ``limit`` are kept.

        Returns the connection that must be closed: None for none, the new connection's own number if it is refused.
        """
        evicted = None
        if len(self._state) >= limit:
            evicted = self._eviction_candidate(now)
            if evicted is None:
                return number
            self.remove(evicted)
        self._state[number] = State.NEW
        self._since[State.NEW][number] = now
        return evicted

    def _eviction_candidate(self, now: int) -> int | None:
        for state, min_age in ((State.NEW, self.limits.new_min_age), (State.IDLE, self.limits.idle_min_age)):
            for number, since in self._since[state].items():
                if now - since >= min_age:
                    return number
                break  # connections are ordered by age, oldest first
        return None

    def set_state(self, number: int, state: State, now: int) -> None:
        """Sets the state of a connection; its timeout runs from the change of state."""
        old = self._state.get(number)
        if old is None or old is state:
            return
        del self._since[old][number]
        self._state[number] = state
        self._since[state][number] = now

    def touch(self, number: int, now: int) -> None:
        """Restarts the idle timeout of a connection whose request was answered at once."""
        if self._state.get(number) is State.IDLE:
            self._since[State.IDLE][number] = now
            self._since[State.IDLE].move_to_end(number)

    def remove(self, number: int) -> None:
        """Removes a closed connection."""
        state = self._state.pop(number, None)
        if state is not None:
            del self._since[state][number]

    def timed_out(self, now: int) -> list[tuple[int, State]]:
        """Returns the connections whose timeout has passed, with their states."""
        found: list[tuple[int, State]] = []
        for state, timeout in (
            (State.NEW, self.limits.message_timeout),
            (State.PARTIAL, self.limits.message_timeout),
            (State.STUCK, self.limits.blocked_timeout),
            (State.IDLE, self.limits.idle_timeout),
        ):
            for number, since in self._since[state].items():
                if now - since < timeout:
                    break
                found.append((number, state))
        return found

    def closable(self) -> list[int]:
        """Returns the connections without an open request, which a stopping gateway may close."""
        return [number for number, state in self._state.items() if state is not State.BUSY]
