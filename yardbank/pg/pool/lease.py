"""Who holds which connection to one server, by transaction. No I/O; times in ns, passed in.

Where to send is the decision module's; this only says by which connection, or that none is free yet. A connection
belongs to one user and database. It is given for one transaction, and goes on to the next only when it is as a new one
would be: out of any transaction, with nothing left in its session that the next could see. What cannot be undone pins
it to its client, for as long as that stays, and is closed then.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum

from yardbank.pg.classify import Taint

_UNDONE_BY_RESET = frozenset(Taint) - {Taint.UNKNOWN}  # by DISCARD ALL


@dataclass(slots=True, frozen=True)
class Limits:
    """Bounds of the connections to one server."""

    connections: int = 20
    of_user: int = 20
    of_database: int = 20
    waiting: int = 1000

    def __post_init__(self) -> None:
        for name in self.__slots__:
            if getattr(self, name) <= 0:
                raise ValueError(f"pool.{name} must be positive")


@dataclass(slots=True, frozen=True)
class Ask:
    """A transaction wants a connection. ``client`` comes back to the connection that is pinned to it."""

    key: str
    client: int
    user: str
    database: str
    worth: float
    deadline: int


@dataclass(slots=True, frozen=True)
class Give:
    """The connection is this transaction's. Before it: settings to be made equal (None: reset)."""

    key: str
    connection: int
    settings: tuple[tuple[str, str | None], ...] = ()


@dataclass(slots=True, frozen=True)
class Open:
    """Open a connection; ``opened`` or ``lost`` says what came of it."""

    connection: int
    user: str
    database: str


@dataclass(slots=True, frozen=True)
class Clean:
    """Send this and tell ``cleaned``: a transaction that nobody ended, or a session to be made as new."""

    connection: int
    text: str


@dataclass(slots=True, frozen=True)
class Shut:
    """Close the connection: it cannot be made as new, or another user's need is greater."""

    connection: int


@dataclass(slots=True, frozen=True)
class Refuse:
    """Nothing ran: the time is over, or too many wait."""

    key: str
    reason: str


Action = Give | Open | Clean | Shut | Refuse


class _State(Enum):
    OPENING, IDLE, LEASED, PINNED, CLEANING, SHUT = range(6)


@dataclass(slots=True)
class _Line:
    number: int
    user: str
    database: str
    state: _State = _State.OPENING
    client: int | None = None  # whose it is, leased or pinned
    taints: set[Taint] = field(default_factory=set)
    settings: dict[str, str] = field(default_factory=dict)
    used_at: int = 0


class Leases:
    """The connections to one server, and who waits for one."""

    def __init__(self, limits: Limits | None = None) -> None:
        self.limits = limits or Limits()
        self._lines: dict[int, _Line] = {}
        self._waiting: dict[str, Ask] = {}
        self._wanted: dict[int, dict[str, str]] = defaultdict(dict)  # settings by client
        self._had: dict[str, int] = defaultdict(int)  # transactions by user while others wait: turns
        self._next = 0

    @property
    def waiting(self) -> int:
        """Transactions without a connection."""
        return len(self._waiting)

    def connections(self) -> dict[int, str]:
        """State by connection, for metrics and tests."""
        return {number: line.state.name.lower() for number, line in self._lines.items()}

    # What transactions do

    def ask(self, now: int, ask: Ask) -> list[Action]:
        """A transaction begins."""
        if len(self._waiting) >= self.limits.waiting:
            return [Refuse(ask.key, f"more than {self.limits.waiting} wait for a connection")]
        self._waiting[ask.key] = ask
        return self._match(now)

    def give_up(self, now: int, key: str) -> list[Action]:
        """A transaction that waits is not wanted any more."""
        self._waiting.pop(key, None)
        return self._match(now)

    def expire(self, now: int) -> list[Action]:
        """Turn away those whose time is over."""
        late = [ask.key for ask in self._waiting.values() if ask.deadline <= now]
        for key in late:
            del self._waiting[key]
        return [Refuse(key, "no connection came free in time") for key in late]

    def ended(
        self,
        now: int,
        connection: int,
        status: str,
        taints: Iterable[Taint] = (),
        settings: Mapping[str, str | None] | None = None,
        stays: bool = True,
    ) -> list[Action]:
        """A transaction, or what a client left of it, is over. ``status`` as ReadyForQuery says it.

        ``settings`` are those that it changed for its session; ``stays``: its client is still there.
        """
        line = self._lines[connection]
        assert line.state in (_State.LEASED, _State.PINNED), "not given to anybody"
        line.taints |= set(taints)
        line.used_at = now
        self._note(line, settings or {})
        if not stays:
            return self._let_go(now, line, status)
        if status != "I":  # the client is in a transaction: the connection is its own until that ends
            line.state = _State.LEASED
            return []
        lasting = line.taints - {Taint.SETTING, Taint.RESET}
        if lasting:
            line.state = _State.PINNED
            return []
        line.state, line.client = _State.IDLE, None
        line.taints.clear()
        return self._match(now)

    def left(self, now: int, client: int) -> list[Action]:
        """A client is gone; what was pinned to it is made as new, or closed. Leases end by ``ended``."""
        self._wanted.pop(client, None)
        found: list[Action] = []
        for line in list(self._lines.values()):
            if line.client == client and line.state is _State.PINNED:
                found += self._let_go(now, line, "I")
        return found

    def _note(self, line: _Line, settings: Mapping[str, str | None]) -> None:
        """What a client sets is its own wish, wherever it lands next."""
        wishes = self._wanted[line.client] if line.client is not None else {}
        if Taint.RESET in line.taints or "" in settings:  # DISCARD ALL, RESET ALL
            wishes.clear()
            line.settings.clear()
            line.taints.discard(Taint.RESET)
        for name, held in settings.items():
            if not name:
                continue
            for place in (wishes, line.settings):
                if held is None:
                    place.pop(name, None)
                else:
                    place[name] = held

    def _let_go(self, now: int, line: _Line, status: str) -> list[Action]:
        if line.taints - _UNDONE_BY_RESET:
            return self._shut(now, line)
        line.client = None
        if status == "I" and not line.taints - {Taint.SETTING}:
            line.state = _State.IDLE
            line.taints.clear()
            return self._match(now)
        line.state = _State.CLEANING
        return [Clean(line.number, "ROLLBACK")] if status != "I" else [self._discard(line)]

    def _discard(self, line: _Line) -> Clean:
        line.taints.clear()
        line.settings.clear()
        return Clean(line.number, "DISCARD ALL")

    def _shut(self, now: int, line: _Line) -> list[Action]:
        """It counts until ``lost`` says that it is closed."""
        line.state, line.client = _State.SHUT, None
        return [Shut(line.number)]

    # What connections do

    def opened(self, now: int, connection: int) -> list[Action]:
        """A connection is up."""
        line = self._lines[connection]
        line.state, line.used_at = _State.IDLE, now
        return self._match(now)

    def cleaned(self, now: int, connection: int, status: str) -> list[Action]:
        """What ``Clean`` asked for was answered."""
        line = self._lines[connection]
        if status != "I":
            return self._shut(now, line)
        if line.taints - {Taint.SETTING}:  # rolled back; the session is next
            return [self._discard(line)]
        line.state = _State.IDLE
        line.taints.clear()
        return self._match(now)

    def lost(self, now: int, connection: int) -> list[Action]:
        """A connection is gone, whatever it was doing."""
        del self._lines[connection]
        return self._match(now)

    # Who gets what

    def _match(self, now: int) -> list[Action]:
        found: list[Action] = []
        order = sorted(self._waiting.values(), key=lambda a: (-a.worth, self._had[a.user], a.deadline, a.key))
        coming: dict[tuple[str, str], int] = defaultdict(int)
        for line in self._lines.values():
            if line.state in (_State.OPENING, _State.CLEANING):
                coming[line.user, line.database] += 1
        for ask in order:
            pair = ask.user, ask.database
            if (free := self._free(ask)) is not None:
                del self._waiting[ask.key]
                found.append(self._give(now, ask, free))
            elif self._pinned(ask.client):
                continue  # its own connection is busy: this one waits for that
            elif coming[pair] > 0:
                coming[pair] -= 1  # one is on its way for it
            elif self._may_open(ask):
                found.append(self._open(ask))
            elif (spare := self._spare(ask)) is not None:
                found += self._shut(now, spare)  # another user's idle one makes room
        if not self._waiting:
            self._had.clear()
        return found

    def _pinned(self, client: int) -> bool:
        return any(line.client == client for line in self._lines.values())

    def _free(self, ask: Ask) -> _Line | None:
        mine = [line for line in self._lines.values() if line.client == ask.client]
        if mine:
            return next((line for line in mine if line.state is _State.PINNED), None)
        fit = [
            line
            for line in self._lines.values()
            if line.state is _State.IDLE and (line.user, line.database) == (ask.user, ask.database)
        ]
        wanted = self._wanted.get(ask.client, {})
        return min(fit, key=lambda line: (line.settings != wanted, -line.used_at, line.number), default=None)

    def _give(self, now: int, ask: Ask, line: _Line) -> Give:
        self._had[ask.user] += 1
        wanted = self._wanted.get(ask.client, {})
        change = {name: None for name in line.settings if name not in wanted}
        differing = {name: held for name, held in wanted.items() if line.settings.get(name) != held}
        line.settings = dict(wanted)
        line.state, line.client, line.used_at = _State.LEASED, ask.client, now
        return Give(ask.key, line.number, tuple(sorted({**change, **differing}.items())))

    def _may_open(self, ask: Ask) -> bool:
        lines = self._lines.values()
        return (
            len(lines) < self.limits.connections
            and sum(line.user == ask.user for line in lines) < self.limits.of_user
            and sum(line.database == ask.database for line in lines) < self.limits.of_database
        )

    def _open(self, ask: Ask) -> Open:
        self._next += 1
        self._lines[self._next] = _Line(self._next, ask.user, ask.database)
        return Open(self._next, ask.user, ask.database)

    def _spare(self, ask: Ask) -> _Line | None:
        """An idle connection of others whose end would make room, the longest idle first."""
        others = [
            line
            for line in self._lines.values()
            if line.state is _State.IDLE and (line.user, line.database) != (ask.user, ask.database)
        ]
        shutting = any(line.state is _State.SHUT for line in self._lines.values())
        of_user = sum(line.user == ask.user for line in self._lines.values()) >= self.limits.of_user
        of_database = sum(line.database == ask.database for line in self._lines.values()) >= self.limits.of_database
        fit = [
            line
            for line in others
            if (not of_user or line.user == ask.user) and (not of_database or line.database == ask.database)
        ]
        return None if shutting else min(fit, key=lambda line: (line.used_at, line.number), default=None)
