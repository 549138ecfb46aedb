"""The servers that are listed, and the links to them.

Owns: the list by server name, the numbers of servers and groups, a link to each listed server, the retired links to
servers that left the list or moved, and the timer that closes idle connections. Only this part changes them; the view,
the prober and the attempt runner read. Bound: one entry a listed server; a number, once given, stays for the
gateway's life; a retired link goes with its last connection. Invariant: every listed server has exactly one link.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from functools import partial

from yardbank import interface as api
from yardbank.gateway.api import Backend, ServerSpec
from yardbank.gateway.attempt import Attempt
from yardbank.gateway.clock import started_at
from yardbank.gateway.context import GatewayContext
from yardbank.gateway.event_queue import EventQueue
from yardbank.gateway.positions import Positions
from yardbank.gateway.send_check import SendCheck
from yardbank.gateway.server_link import ServerLink
from yardbank.timeline import LogPosition

LatencyListener = Callable[[int, str, int, str], None]  # now, server's zone, ns, "connect" or "probe"
MAX_NAMES_LOGGED = 20


def _invalidates_attempts(old: ServerSpec, new: ServerSpec) -> bool:
    """Whether a server begins to drain, moves, or is another one for the decision module."""
    if old.state != "draining" and new.state == "draining":
        return True
    return (old.host, old.port, old.group, old.zone) != (new.host, new.port, new.group, new.zone)


@dataclass(slots=True)
class _ListChange:
    """One change of the list while it is taken in."""

    members: list[api.Member] = field(default_factory=list)
    left_group: list[api.Member] = field(default_factory=list)  # listed on, as another server for the module
    removed: list[str] = field(default_factory=list)
    invalidated: dict[int, ServerLink | None] = field(
        default_factory=dict
    )  # not what attempts were decided on; old link


class EndpointSet:
    """Servers by name and number, and a link to each.

    ``connections_bound`` says how many connections all servers together may have now; ``before_send`` takes in lists
    that lie unread; ``on_removed`` is told the number of each server that is listed no longer.
    """

    def __init__(
        self,
        context: GatewayContext,
        backend: Backend,
        events: EventQueue,
        positions: Positions,
        *,
        wall: Callable[[], float],
        connections_bound: Callable[[], int] | None,
        before_send: Callable[[], None] | None,
        on_removed: Callable[[int], None],
    ) -> None:
        self._context = context
        self._backend = backend
        self._events = events
        self._positions = positions
        self._wall = wall
        self._connections_bound = connections_bound
        self._before_send = before_send
        self._on_removed = on_removed
        self.specs: dict[str, ServerSpec] = {}
        self.server_numbers: dict[str, int] = {}  # a server keeps its own for good
        self.group_numbers: dict[str, int] = {}
        self.links: dict[int, ServerLink] = {}
        self.list_version = 0  # of the list that requests are routed by
        self.latency_listeners: list[LatencyListener] = []
        self._retired: list[ServerLink] = []  # until nothing is out there
        self._started: dict[int, int] = {}
        self._floor_now = 0
        self._floors: Mapping[str, Mapping[str, LogPosition]] = {}
        self._taking_list = False
        self._lists_queued = 0  # lists queued for the module
        self._changed_in: dict[int, int] = {}  # by server, the list with which it last drained, moved or was gone
        self._idle_timer: int | None = None

    # What is remembered over a restart

    def restarted(self, floor_now: bool, floors: Mapping[str, Mapping[str, LogPosition]]) -> None:
        """An earlier run's tokens are lost; call before the first list. ``floors``: marks by origin, by group."""
        self._floor_now = self._context.now() if floor_now else 0
        self._floors = dict(floors)

    def remember(self) -> tuple[dict[str, dict[str, LogPosition]], dict[str, dict[str, LogPosition]]]:
        """For the durable state: marks that cover all tokens, by group; what each server last reported, by name."""
        heads = {name: self._positions.head(number) for name, number in self.group_numbers.items()}
        marks = {name: self._positions.marks(self.server_numbers[name]) for name in self.specs}
        return heads, marks

    # The list

    def catch_up(self) -> None:
        """Have lists taken in that lie unread, unless one is being taken right now."""
        if self._before_send is None or self._taking_list:
            return
        self._taking_list = True
        try:
            self._before_send()
        except Exception as problem:  # border: the owner's code; an attempt goes out by the list that is known
            self._context.log.error("before_send_error", error=repr(problem), exc_info=True)
        finally:
            self._taking_list = False

    def apply_list(self, servers: Sequence[ServerSpec], version: int) -> None:
        """Take the complete list of servers. Raises ``ValueError`` if one is named twice."""
        names = [spec.name for spec in servers]
        if len(set(names)) != len(names):
            twice = next(name for name, count in Counter(names).items() if count > 1)
            raise ValueError(f"server {twice!r} is listed twice")
        listed = set(names)
        changes: dict[str, ServerSpec | None] = {spec.name: spec for spec in servers}
        changes.update({name: None for name in self.specs if name not in listed})
        self.apply_changes(changes, version)

    def apply_changes(self, changes: Mapping[str, ServerSpec | None], version: int) -> None:
        """Take what changes of the list, by server name (None: it is gone); the cost is that of the change.

        May be called at any time, also while the module's actions are carried out.
        """
        taking_already = self._taking_list
        self._taking_list = True
        try:
            self._apply(changes, version)
        finally:
            self._taking_list = taking_already

    def _apply(self, changes: Mapping[str, ServerSpec | None], version: int) -> None:
        now, wall = self._context.now(), self._wall()
        is_first = not self.specs
        change = _ListChange()
        for name, spec in changes.items():
            old = self.specs.get(name)
            if old == spec:
                continue
            if spec is None:
                assert old is not None
                self._remove(change, old)
            else:
                self._put(change, old, spec, now, wall)
        self.list_version = version
        if self._context.record:
            self._context.note("list", version=version, servers={name: spec.state for name, spec in self.specs.items()})
        self._context.log.info(
            "list_applied",
            servers=len(self.specs),
            changed=len(change.members),
            gone=change.removed[:MAX_NAMES_LOGGED],
        )
        self._announce(change, is_first)
        for name in change.removed:
            number = self.server_numbers[name]
            self._positions.dropped(number)
            self._on_removed(number)
            self._retire(number)
        self._withdraw_invalidated(change)

    def _remove(self, change: _ListChange, old: ServerSpec) -> None:
        number = self.server_numbers[old.name]
        change.removed.append(old.name)
        change.invalidated[number] = self.links.get(number)
        change.members.append(api.Member(number, old.zone, self.group_numbers[old.group], False, "gone"))
        del self.specs[old.name]

    def _put(self, change: _ListChange, old: ServerSpec | None, spec: ServerSpec, now: int, wall: float) -> None:
        """Enter a server that is new, or listed in other terms than before."""
        number = self.server_numbers.setdefault(spec.name, len(self.server_numbers) + 1)
        group = self.group_numbers.get(spec.group)
        if group is None:
            group = self._new_group(spec.group)
        if old is not None:
            self._leave_old_terms(change, number, old, spec)
        if number not in self.links:
            self.links[number] = self._new_link(spec)
        self._positions.listed(number, group, spec.primary, now)
        started = started_at(now, wall, spec.started)
        if old is not None and old.started == spec.started:
            started = self._started[number]  # one start stays one instant, also if the wall clock steps
        self._started[number] = started
        change.members.append(api.Member(number, spec.zone, group, spec.primary, spec.state, started, spec.weight))
        self.specs[spec.name] = spec

    def _leave_old_terms(self, change: _ListChange, number: int, old: ServerSpec, spec: ServerSpec) -> None:
        if _invalidates_attempts(old, spec):
            change.invalidated[number] = self.links.get(number)
        if (old.group, old.zone) != (spec.group, spec.zone):  # for the module it is another server
            old_group = self.group_numbers[old.group]
            change.left_group.append(api.Member(number, old.zone, old_group, False, "gone"))
        if (old.host, old.port, old.group) != (spec.host, spec.port, spec.group):
            self._retire(number)

    def _new_group(self, name: str) -> int:
        number = self.group_numbers[name] = len(self.group_numbers)
        floor = self._floor_now
        if marks := self._floors.get(name):
            floor = max(floor, self._positions.floor(number, marks, self._context.now()))
        if floor:
            self._events.handle(api.TokensLost(((number, floor),)))
        return number

    def _new_link(self, spec: ServerSpec) -> ServerLink:
        return ServerLink(
            spec,
            self._backend,
            self._context.limits,
            self._context.deadlines,
            self._context.now,
            self._context.log,
            self._has_room,
            self.latency_measured,
        )

    def _announce(self, change: _ListChange, is_first: bool) -> None:
        """Tell the module; what it was told with says later which attempts were decided on before it."""
        updates = []
        if change.left_group:
            updates.append(api.ServerList("delta", tuple(change.left_group)))
        updates.append(api.ServerList("saved" if is_first else "delta", tuple(change.members)))
        self._lists_queued += len(updates)
        self._changed_in.update(dict.fromkeys(change.invalidated, self._lists_queued))
        for update in updates:
            self._events.handle(update)

    def _withdraw_invalidated(self, change: _ListChange) -> None:
        for number, link in change.invalidated.items():
            if link is None:
                continue
            link.withdraw(SendCheck.SUPERSEDED, partial(self._superseded, number))
            if self.links.get(number) is not link:
                link.withdraw_probes()

    def changed_in(self, number: int) -> int:
        """Which of the lists it was with which a server last began to drain, moved or was gone; 0: none."""
        return self._changed_in.get(number, 0)

    def _superseded(self, number: int, attempt: Attempt) -> bool:
        """Whether an attempt was decided on before its server last began to drain, moved or was gone."""
        return attempt.list_seen < self.changed_in(number)

    # Links and their connections

    def all_links(self) -> tuple[ServerLink, ...]:
        """Links to listed servers, then the retired ones."""
        return (*self.links.values(), *self._retired)

    def _retire(self, number: int) -> None:
        """Nothing new goes over this link; what is out there may still be answered, then its connections close."""
        link = self.links.pop(number, None)
        if link is None:
            return
        link.close_idle()
        if link.connections:
            self._retired.append(link)
            self.watch_idle()

    @property
    def connection_count(self) -> int:
        """Connections to servers, open or opening."""
        return sum(link.connections for link in self.all_links())

    def connections(self) -> dict[str, int]:
        """Open connections by server name."""
        links = self.links
        return {name: links[number].connections for name, number in self.server_numbers.items() if number in links}

    def latency_measured(self, server: ServerSpec, ns: int, what: str) -> None:
        """A connection came up, or a probe was answered in time; passed on unless the server has moved meanwhile."""
        spec = self.specs.get(server.name)
        if spec is None or (spec.host, spec.port) != (server.host, server.port):
            return
        for listener in self.latency_listeners:
            try:
                listener(self._context.now(), spec.zone, ns, what)
            except Exception as problem:  # border: a listener's error is not the link's
                self._context.log.error("listener_error", server=server.name, error=repr(problem), exc_info=True)

    def _has_room(self) -> bool:
        """Whether one connection more may be opened; at the bound the idlest of all gives way to it."""
        if self._connections_bound is None or self.connection_count < self._connections_bound():
            return True
        links = self.all_links()
        idle = [(used_at, number) for number, link in enumerate(links) if (used_at := link.idle_since()) is not None]
        if not idle:
            return False
        _, idlest = min(idle)
        links[idlest].close_idlest()
        return True

    def watch_idle(self) -> None:
        """One timer for all connections, and none while there are none."""
        if self._idle_timer is None:
            at = self._context.now() + self._context.limits.idle_close // 4
            self._idle_timer = self._context.deadlines.add(at, self._sweep_idle)

    def _sweep_idle(self) -> None:
        self._idle_timer = None
        for link in self.links.values():
            link.close_overdue()
        for link in self._retired:
            link.close_idle()
        self._retired = [link for link in self._retired if link.connections]
        if self._retired or any(link.connections for link in self.links.values()):
            self.watch_idle()
