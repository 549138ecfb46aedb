"""Transaction-level pool of the connections to one server. No I/O; times in ns, passed in.

The decision module selects the server; this module selects the connection, or queues the transaction until one is
free. A connection belongs to one user and database and is leased for one transaction. It is reused only in the state
of a new connection: outside any transaction, and with no session state that the next client could see. Session state
that a transaction leaves behind pins the connection to its client. When the client disconnects, the connection is
reset, or closed if that state cannot be undone.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum

from yardbank.pg.classify import Taint

_UNDONE_BY_DISCARD_ALL = frozenset(Taint) - {Taint.UNKNOWN}  # session state that DISCARD ALL undoes


@dataclass(slots=True, frozen=True)
class Limits:
    """Limits on the connections to one server."""

    connections: int = 20
    of_user: int = 20
    of_database: int = 20
    waiting: int = 1000

    def __post_init__(self) -> None:
        for name in self.__slots__:
            if getattr(self, name) <= 0:
                raise ValueError(f"pool.{name} must be positive")


@dataclass(slots=True, frozen=True)
class ConnectionRequest:
    """A transaction's request for a connection. A client with a pinned connection always gets that one."""

    key: str
    client: int
    user: str
    database: str
    priority: float
    deadline: int


@dataclass(slots=True, frozen=True)
class Grant:
    """Grants a connection to a transaction. ``settings`` are to be set on it first (None: reset)."""

    key: str
    connection: int
    settings: tuple[tuple[str, str | None], ...] = ()


@dataclass(slots=True, frozen=True)
class Open:
    """Opens a connection; report the outcome by ``connection_opened`` or ``connection_lost``."""

    connection: int
    user: str
    database: str


@dataclass(slots=True, frozen=True)
class Reset:
    """Sends ROLLBACK or DISCARD ALL on a connection before its reuse; report completion by ``reset_done``."""

    connection: int
    text: str


@dataclass(slots=True, frozen=True)
class Close:
    """Closes a connection that cannot be reset, or to make room for another user or database."""

    connection: int


@dataclass(slots=True, frozen=True)
class Refuse:
    """Refuses a transaction before anything ran: its deadline has passed, or the queue is full."""

    key: str
    reason: str


Action = Grant | Open | Reset | Close | Refuse


class _State(Enum):
    OPENING, IDLE, LEASED, PINNED, CLEANING, SHUT = range(6)


@dataclass(slots=True)
class _Connection:
    number: int
    user: str
    database: str
    state: _State = _State.OPENING
    client: int | None = None  # the client to which it is leased or pinned
    taints: set[Taint] = field(default_factory=set)
    settings: dict[str, str] = field(default_factory=dict)
    used_at: int = 0


class Leases:
    """The connections to one server, and the transactions that wait for one."""

    def __init__(self, limits: Limits | None = None) -> None:
        self.limits = limits or Limits()
        self._connections: dict[int, _Connection] = {}
        self._waiting: dict[str, ConnectionRequest] = {}
        self._client_settings: dict[int, dict[str, str]] = defaultdict(dict)  # by client
        self._grants_by_user: dict[str, int] = defaultdict(int)  # while others wait, for fairness
        self._next = 0

    @property
    def waiting(self) -> int:
        """Number of transactions that wait for a connection."""
        return len(self._waiting)

    def connections(self) -> dict[int, str]:
        """State by connection, for metrics and tests."""
        return {number: entry.state.name.lower() for number, entry in self._connections.items()}

    # Events of transactions

    def request(self, now: int, request: ConnectionRequest) -> list[Action]:
        """A transaction starts and needs a connection."""
        if len(self._waiting) >= self.limits.waiting:
            return [Refuse(request.key, f"more than {self.limits.waiting} wait for a connection")]
        self._waiting[request.key] = request
        return self._assign(now)

    def cancel(self, now: int, key: str) -> list[Action]:
        """Cancels a waiting transaction."""
        self._waiting.pop(key, None)
        return self._assign(now)

    def expire(self, now: int) -> list[Action]:
        """Refuses waiting transactions whose deadline has passed."""
        expired = [request.key for request in self._waiting.values() if request.deadline <= now]
        for key in expired:
            del self._waiting[key]
        return [Refuse(key, "no connection came free in time") for key in expired]

    def transaction_ended(
        self,
        now: int,
        connection: int,
        status: str,
        taints: Iterable[Taint] = (),
        settings: Mapping[str, str | None] | None = None,
        stays: bool = True,
    ) -> list[Action]:
        """A transaction, or the part of it that its client completed, has ended. ``status`` is that of ReadyForQuery.

        ``settings`` are the session settings that it changed; ``stays`` tells whether its client is still connected.
        """
        entry = self._connections[connection]
        assert entry.state in (_State.LEASED, _State.PINNED), "the connection is neither leased nor pinned"
        entry.taints |= set(taints)
        entry.used_at = now
        self._record_settings(entry, settings or {})
        if not stays:
            return self._release(now, entry, status)
        if status != "I":  # the client is in a transaction and keeps the connection until its end
            entry.state = _State.LEASED
            return []
        remaining_taints = entry.taints - {Taint.SETTING, Taint.RESET}
        if remaining_taints:
            entry.state = _State.PINNED
            return []
        entry.state, entry.client = _State.IDLE, None
        entry.taints.clear()
        return self._assign(now)

    def client_disconnected(self, now: int, client: int) -> list[Action]:
        """A client disconnected: resets or closes what is pinned to it. Leases end by ``transaction_ended``."""
        self._client_settings.pop(client, None)
        actions: list[Action] = []
        for entry in list(self._connections.values()):
            if entry.client == client and entry.state is _State.PINNED:
                actions += self._release(now, entry, "I")
        return actions

    def _record_settings(self, entry: _Connection, settings: Mapping[str, str | None]) -> None:
        """Records a client's settings, to be applied to whichever connection it gets next."""
        client_settings = self._client_settings[entry.client] if entry.client is not None else {}
        if Taint.RESET in entry.taints or "" in settings:  # DISCARD ALL, RESET ALL
            client_settings.clear()
            entry.settings.clear()
            entry.taints.discard(Taint.RESET)
        for name, setting in settings.items():
            if not name:
                continue
            for target in (client_settings, entry.settings):
                if setting is None:
                    target.pop(name, None)
                else:
                    target[name] = setting

    def _release(self, now: int, entry: _Connection, status: str) -> list[Action]:
        if entry.taints - _UNDONE_BY_DISCARD_ALL:
            return self._close(now, entry)
        entry.client = None
        if status == "I" and not entry.taints - {Taint.SETTING}:
            entry.state = _State.IDLE
            entry.taints.clear()
            return self._assign(now)
        entry.state = _State.CLEANING
        return [Reset(entry.number, "ROLLBACK")] if status != "I" else [self._discard_session(entry)]

    def _discard_session(self, entry: _Connection) -> Reset:
        entry.taints.clear()
        entry.settings.clear()
        return Reset(entry.number, "DISCARD ALL")

    def _close(self, now: int, entry: _Connection) -> list[Action]:
        """Closes a connection, which counts against the limits until ``connection_lost`` reports it closed."""
        entry.state, entry.client = _State.SHUT, None
        return [Close(entry.number)]

    # Events of connections

    def connection_opened(self, now: int, connection: int) -> list[Action]:
        """A connection is open."""
        entry = self._connections[connection]
        entry.state, entry.used_at = _State.IDLE, now
        return self._assign(now)

    def reset_done(self, now: int, connection: int, status: str) -> list[Action]:
        """The server completed a ``Reset``."""
        entry = self._connections[connection]
        if status != "I":
            return self._close(now, entry)
        if entry.taints - {Taint.SETTING}:  # the transaction was rolled back; now reset the session
            return [self._discard_session(entry)]
        entry.state = _State.IDLE
        entry.taints.clear()
        return self._assign(now)

    def connection_lost(self, now: int, connection: int) -> list[Action]:
        """A connection was closed or lost, in any state."""
        del self._connections[connection]
        return self._assign(now)

    # Assignment of connections

    def _assign(self, now: int) -> list[Action]:
        actions: list[Action] = []
        order = sorted(
            self._waiting.values(), key=lambda a: (-a.priority, self._grants_by_user[a.user], a.deadline, a.key)
        )
        becoming_free: dict[tuple[str, str], int] = defaultdict(int)
        for entry in self._connections.values():
            if entry.state in (_State.OPENING, _State.CLEANING):
                becoming_free[entry.user, entry.database] += 1
        for request in order:
            pair = request.user, request.database
            if (usable := self._usable(request)) is not None:
                del self._waiting[request.key]
                actions.append(self._grant(now, request, usable))
            elif self._has_connection(request.client):
                continue  # the client's own connection is busy: wait for it
            elif becoming_free[pair] > 0:
                becoming_free[pair] -= 1  # a connection that is being opened or reset will serve it
            elif self._may_open(request):
                actions.append(self._open(request))
            elif (evictable := self._evictable(request)) is not None:
                actions += self._close(now, evictable)  # an idle connection of another user or database makes room
        if not self._waiting:
            self._grants_by_user.clear()
        return actions

    def _has_connection(self, client: int) -> bool:
        return any(entry.client == client for entry in self._connections.values())

    def _usable(self, request: ConnectionRequest) -> _Connection | None:
        own = [entry for entry in self._connections.values() if entry.client == request.client]
        if own:
            return next((entry for entry in own if entry.state is _State.PINNED), None)
        candidates = [
            entry
            for entry in self._connections.values()
            if entry.state is _State.IDLE and (entry.user, entry.database) == (request.user, request.database)
        ]
        wanted = self._client_settings.get(request.client, {})
        return min(
            candidates,
            key=lambda entry: (entry.settings != wanted, -entry.used_at, entry.number),
            default=None,
        )

    def _grant(self, now: int, request: ConnectionRequest, entry: _Connection) -> Grant:
        self._grants_by_user[request.user] += 1
        wanted = self._client_settings.get(request.client, {})
        reset = {name: None for name in entry.settings if name not in wanted}
        changed = {name: setting for name, setting in wanted.items() if entry.settings.get(name) != setting}
        entry.settings = dict(wanted)
        entry.state, entry.client, entry.used_at = _State.LEASED, request.client, now
        return Grant(request.key, entry.number, tuple(sorted({**reset, **changed}.items())))

    def _may_open(self, request: ConnectionRequest) -> bool:
        entries = self._connections.values()
        return (
            len(entries) < self.limits.connections
            and sum(entry.user == request.user for entry in entries) < self.limits.of_user
            and sum(entry.database == request.database for entry in entries) < self.limits.of_database
        )

    def _open(self, request: ConnectionRequest) -> Open:
        self._next += 1
        self._connections[self._next] = _Connection(self._next, request.user, request.database)
        return Open(self._next, request.user, request.database)

    def _evictable(self, request: ConnectionRequest) -> _Connection | None:
        """The longest idle connection of another user or database whose closing would make room."""
        others = [
            entry
            for entry in self._connections.values()
            if entry.state is _State.IDLE and (entry.user, entry.database) != (request.user, request.database)
        ]
        closing = any(entry.state is _State.SHUT for entry in self._connections.values())
        of_user = sum(entry.user == request.user for entry in self._connections.values()) >= self.limits.of_user
        of_database = (
            sum(entry.database == request.database for entry in self._connections.values()) >= self.limits.of_database
        )
        candidates = [
            entry
            for entry in others
            if (not of_user or entry.user == request.user) and (not of_database or entry.database == request.database)
        ]
        return None if closing else min(candidates, key=lambda entry: (entry.used_at, entry.number), default=None)
