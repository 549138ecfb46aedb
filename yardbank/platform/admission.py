"""Which client connections are kept, and which give way. No I/O; times in ns, passed in.

Descriptors are few, and some clients connect by the hundreds and say nothing. A connection that owes its first words,
or has sent half a message, has little time to go on; one that idles may be closed after a while, and gives way early
where descriptors are short. One with an open request is never closed here.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum

from yardbank.gateway.api import MS, SECOND
from yardbank.platform.watch_state import MOST

CLOSING = 4  # the least of connections of clients that may be in their end, besides those that are served
# standard streams 3, epoll 1, wakers 2, the port 1, Twisted's reserve 1, watches of discovery ``watch_state.MOST`` and
# the dropped ones of the same turn 1, the configuration when it is read anew 1, an accepted connection to be turned
# away 1
OWN = 11 + MOST


class State(Enum):
    """What a client connection is about."""

    NEW = "owes its first words"
    PARTIAL = "has sent half a message"
    STUCK = "does not read its answers"
    IDLE = "has no open request"
    BUSY = "has an open request"


@dataclass(slots=True, frozen=True)
class AdmissionLimits:
    """Bounds of one gateway's client connections."""

    words: int = 2 * SECOND  # NEW or PARTIAL for no longer
    stuck: int = 3 * SECOND
    idle: int = 10 * SECOND
    idle_least: int = 2 * SECOND  # an idle one may be closed from then on
    new_least: int = 250 * MS  # a new one that has said nothing gives way from then on, where room is short

    def __post_init__(self) -> None:
        for name in self.__slots__:
            if getattr(self, name) <= 0:
                raise ValueError(f"admission.{name} must be positive")


@dataclass(slots=True, frozen=True)
class Descriptors:
    """How clients and servers share the descriptors of one process; together they never hold more than ``both``.

    Clients with requests hold at most a third of all, and each open request about one server connection; the rest is
    taken by whoever needs it. The process's own, discovery's and those of a moment are set aside.
    """

    both: int
    servers_least: int
    closing: int = CLOSING

    @classmethod
    def of(cls, sockets: int) -> Descriptors:
        """The shares of a process that may hold so many."""
        closing = max(CLOSING, sockets // 32)
        both = sockets - OWN - closing
        return cls(both, max(both // 4, sockets // 5), closing)

    def for_clients(self, servers: int) -> int:
        """How many connections clients may hold, while servers hold so many."""
        return self.both - max(self.servers_least, servers)

    def for_servers(self, clients: int) -> int:
        """How many connections to servers there may be, while clients hold so many."""
        return max(self.servers_least, self.both - clients)


def may_pipeline(open_requests: int, for_servers: int) -> bool:
    """Whether a connection may have a further request open besides its first one.

    Each open request takes about one connection to a server. Half of those is kept for connections' first requests.
    """
    return 2 * open_requests < for_servers


class Admission:
    """The client connections of one gateway, by the owner's numbers."""

    def __init__(self, limits: AdmissionLimits) -> None:
        self.limits = limits
        self._state: dict[int, State] = {}
        self._since: dict[State, OrderedDict[int, int]] = {state: OrderedDict() for state in State}

    def __len__(self) -> int:
        return len(self._state)

    def count(self, state: State) -> int:
        """How many connections are in one state."""
        return len(self._since[state])

    def arrived(self, number: int, now: int, most: int) -> int | None:
        """A client has connected, ``most`` may be. Which one has to go: None: none; its own number: turn it away."""
        way = None
        if len(self._state) >= most:
            way = self._least_needed(now)
            if way is None:
                return number
            self.left(way)
        self._state[number] = State.NEW
        self._since[State.NEW][number] = now
        return way

    def _least_needed(self, now: int) -> int | None:
        for state, least in ((State.NEW, self.limits.new_least), (State.IDLE, self.limits.idle_least)):
            for number, since in self._since[state].items():
                if now - since >= least:
                    return number
                break  # the oldest comes first
        return None

    def became(self, number: int, state: State, now: int) -> None:
        """What a connection is about now; its time runs from when that began."""
        old = self._state.get(number)
        if old is None or old is state:
            return
        del self._since[old][number]
        self._state[number] = state
        self._since[state][number] = now

    def served(self, number: int, now: int) -> None:
        """An idle connection had a request that was answered at once: its time runs anew."""
        if self._state.get(number) is State.IDLE:
            self._since[State.IDLE][number] = now
            self._since[State.IDLE].move_to_end(number)

    def left(self, number: int) -> None:
        """A connection is gone."""
        state = self._state.pop(number, None)
        if state is not None:
            del self._since[state][number]

    def overdue(self, now: int) -> list[tuple[int, State]]:
        """Connections whose time is up, and what they were about."""
        found: list[tuple[int, State]] = []
        for state, most in (
            (State.NEW, self.limits.words),
            (State.PARTIAL, self.limits.words),
            (State.STUCK, self.limits.stuck),
            (State.IDLE, self.limits.idle),
        ):
            for number, since in self._since[state].items():
                if now - since < most:
                    break
                found.append((number, state))
        return found

    def closable(self) -> list[int]:
        """Connections without an open request: a gateway that stops may close them."""
        return [number for number, state in self._state.items() if state is not State.BUSY]
