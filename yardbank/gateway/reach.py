"""The list of servers and the ways to them: what is listed, what is connected, what may be opened."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping, Sequence
from functools import partial

from yardbank import interface as api
from yardbank.gateway.api import ServerSpec
from yardbank.gateway.clock import started_at
from yardbank.gateway.core import Core
from yardbank.gateway.link import Attempt, Way
from yardbank.gateway.sending import Withheld
from yardbank.timeline import LogPosition


def _turns(old: ServerSpec, new: ServerSpec) -> bool:
    """Whether a server begins to drain, moves, or is another one for the decision module."""
    drains = old.state != "draining" and new.state == "draining"
    return drains or (old.host, old.port, old.group, old.zone) != (new.host, new.port, new.group, new.zone)


class Reach(Core):
    """Servers by name and number, and a way to each."""

    def restarted(self, floor_now: bool, floors: Mapping[str, Mapping[str, LogPosition]]) -> None:
        """An earlier run's tokens are lost; call before the first list. ``floors``: marks by origin, by group."""
        self._floor_now, self._floors = self._clock.now() if floor_now else 0, dict(floors)

    def remember(self) -> tuple[dict[str, dict[str, LogPosition]], dict[str, dict[str, LogPosition]]]:
        """For the durable state: marks that cover all tokens, by group; what each server last told, by name."""
        heads = {name: self._positions.head(number) for name, number in self._groups.items()}
        return heads, {name: self._positions.marks(self._servers[name]) for name in self._specs}

    def _new_group(self, name: str) -> int:
        number = self._groups[name] = len(self._groups)
        floor = self._floor_now
        if marks := self._floors.get(name):
            floor = max(floor, self._positions.floor(number, marks, self._clock.now()))
        if floor:
            self._handle(api.TokensLost(((number, floor),)))
        return number

    def apply_list(self, servers: Sequence[ServerSpec], version: int = 0) -> None:
        """Take the whole list of servers as it now stands. Raises ``ValueError`` if one is named twice."""
        names = [spec.name for spec in servers]
        if len(set(names)) != len(names):
            twice = next(name for name, count in Counter(names).items() if count > 1)
            raise ValueError(f"server {twice!r} is listed twice")
        listed = set(names)
        changes: dict[str, ServerSpec | None] = {spec.name: spec for spec in servers}
        changes.update({name: None for name in self._specs if name not in listed})
        self.apply_changes(changes, version)

    def apply_changes(self, changes: Mapping[str, ServerSpec | None], version: int = 0) -> None:
        """Take what changes of the list, by server name (None: it is gone); the cost is that of the change.

        What waits for a connection to a server that begins to drain, moves or is gone is taken back at once. May be
        called at any time, also while the module's actions are carried out: it hears of the list in its turn.
        """
        busy, self._busy_with_lists = self._busy_with_lists, True
        try:
            self._apply(changes, version)
        finally:
            self._busy_with_lists = busy

    def _apply(self, changes: Mapping[str, ServerSpec | None], version: int) -> None:
        now, wall = self._clock.now(), self._wall()
        members: list[api.Member] = []
        left: list[api.Member] = []
        gone: list[str] = []
        turned: dict[int, Way | None] = {}  # no longer what attempts were decided on for, and the way there
        first = not self._specs
        for name, spec in changes.items():
            old = self._specs.get(name)
            if old == spec:
                continue
            if spec is None:
                assert old is not None
                gone.append(name)
                turned[self._servers[name]] = self._ways.get(self._servers[name])
                members.append(api.Member(self._servers[name], old.zone, self._groups[old.group], False, "gone"))
                del self._specs[name]
                continue
            number = self._servers.setdefault(name, len(self._servers) + 1)
            group = self._groups[spec.group] if spec.group in self._groups else self._new_group(spec.group)
            if old and _turns(old, spec):
                turned[number] = self._ways.get(number)
            if old and (old.group, old.zone) != (spec.group, spec.zone):  # for the module it is another server
                left.append(api.Member(number, old.zone, self._groups[old.group], False, "gone"))
            if old and (old.host, old.port, old.group) != (spec.host, spec.port, spec.group):
                self._retire(number)
            if number not in self._ways:
                self._ways[number] = Way(
                    spec,
                    self._backend,
                    self.limits,
                    self._deadlines,
                    self._clock.now,
                    self.log,
                    self._has_room,
                    self._way_seen,
                )
            self._positions.listed(number, group, spec.primary, now)
            started = started_at(now, wall, spec.started)
            if old and old.started == spec.started:
                started = self._started[number]  # one start stays one instant, also if the wall clock steps
            self._started[number] = started
            members.append(api.Member(number, spec.zone, group, spec.primary, spec.state, started, spec.weight))
            self._specs[name] = spec
        self.list_version = version
        if self._record:
            self._note("list", version=version, servers={name: spec.state for name, spec in self._specs.items()})
        self.log.info("list_applied", servers=len(self._specs), changed=len(members), gone=gone[:20])
        told = [api.ServerList("delta", tuple(left))] if left else []
        told.append(api.ServerList("saved" if first else "delta", tuple(members)))
        self._lists_put += len(told)
        self._changed_in.update(dict.fromkeys(turned, self._lists_put))
        for event in told:
            self._handle(event)
        for name in gone:
            self._positions.dropped(self._servers[name])
            self._passed.dropped(self._servers[name])
            self._retire(self._servers[name])
        for number, way in turned.items():
            if way is not None:
                way.withdraw(Withheld.SUPERSEDED, partial(self._superseded, number))
                if self._ways.get(number) is not way:
                    way.withdraw_probes()

    def _superseded(self, number: int, attempt: Attempt) -> bool:
        """Whether an attempt was decided on before its server last began to drain, moved or was gone."""
        return attempt.list_seen < self._changed_in.get(number, 0)

    def _retire(self, number: int) -> None:
        """Nothing new goes this way; what is out there may still be answered, then its connections close."""
        if way := self._ways.pop(number, None):
            way.close_idle()
            if way.connections:
                self._retired.append(way)
                self._watch_idle()

    @property
    def server_connections(self) -> int:
        """Connections to servers, open or opening."""
        return sum(way.connections for way in (*self._ways.values(), *self._retired))

    def connections(self) -> dict[str, int]:
        """Open connections by server name."""
        return {name: self._ways[number].connections for name, number in self._servers.items() if number in self._ways}

    def _way_seen(self, server: ServerSpec, ns: int, what: str) -> None:
        """A connection came up, or a probe was answered in time; told unless the server has moved meanwhile."""
        spec = self._specs.get(server.name)
        if spec is None or (spec.host, spec.port) != (server.host, server.port):
            return
        for tell in self.on_way:
            try:
                tell(self._clock.now(), spec.zone, ns, what)
            except Exception as problem:  # a listener's error is not the way's
                self.log.error("listener_error", server=server.name, error=repr(problem), exc_info=True)

    def _has_room(self) -> bool:
        """Whether one connection more may be opened; at the bound the idlest of all gives way to it."""
        if self._connections_bound is None or self.server_connections < self._connections_bound():
            return True
        ways = (*self._ways.values(), *self._retired)
        idle = [(used_at, number) for number, way in enumerate(ways) if (used_at := way.idle_since()) is not None]
        if not idle:
            return False
        ways[min(idle)[1]].close_idlest()
        return True

    def _watch_idle(self) -> None:
        """One timer for all connections, and none while there are none."""
        if self._idle_timer is None:
            at = self._clock.now() + self.limits.idle_close // 4
            self._idle_timer = self._deadlines.add(at, self._sweep_idle)

    def _sweep_idle(self) -> None:
        self._idle_timer = None
        for way in self._ways.values():
            way.close_overdue()
        for way in self._retired:
            way.close_idle()
        self._retired = [way for way in self._retired if way.connections]
        if self._retired or any(way.connections for way in self._ways.values()):
            self._watch_idle()
