"""The listed servers and the links to them.

Owns: the server list by name, the numbers of servers and groups, a link to each listed server, the retired links to
servers that were removed or moved, and the timer that closes idle connections. Only this class changes them; the view,
the prober and the attempt runner read them. Bound: one entry per listed server; a number, once assigned, is kept for
the gateway's lifetime; a retired link is dropped with its last connection. Invariant: every listed server has exactly
one link.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from functools import partial

from yardbank import interface as api
from yardbank.gateway.api import MS, Backend, ServerSpec
from yardbank.gateway.attempt import Attempt
from yardbank.gateway.clock import started_at
from yardbank.gateway.context import GatewayContext
from yardbank.gateway.event_queue import EventQueue
from yardbank.gateway.list_change import ListChange, describe_change, invalidates_attempts
from yardbank.gateway.positions import Positions
from yardbank.gateway.send_check import SendCheck
from yardbank.gateway.server_link import ServerLink
from yardbank.timeline import LogPosition

LatencyListener = Callable[[int, str, int, str], None]  # now, server's zone, latency (ns), "connect" or "probe"
MAX_NAMES_LOGGED = 20


class EndpointSet:
    """Servers by name and number, and a link to each.

    ``connections_bound`` returns how many connections all servers together may have now; ``before_send`` applies
    pending server lists; ``on_removed`` receives the number of each server that is no longer listed.
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
        self.server_numbers: dict[str, int] = {}  # a server keeps its number for the gateway's lifetime
        self.group_numbers: dict[str, int] = {}
        self.links: dict[int, ServerLink] = {}
        self.list_version = 0  # version of the list that requests are routed by
        self.latency_listeners: list[LatencyListener] = []
        self._retired: list[ServerLink] = []  # links to removed or moved servers, until their connections are closed
        self._start_times: dict[int, int] = {}
        self._floor_now = 0
        self._floors: Mapping[str, Mapping[str, LogPosition]] = {}
        self._applying_list = False
        self._lists_queued = 0  # server lists queued for the router
        self._last_invalidation: dict[int, int] = {}  # list number by server, see ``last_invalidation``
        self._idle_timer: int | None = None

    def log_role_change(self, number: int, primary: bool, evidence: api.RoleEvidence) -> None:
        """Log what the router now believes of a server's role, and on what evidence."""
        link = self.links.get(number)
        self._context.request_log.info(
            "server_role_changed",
            server=link.server.name if link else str(number),
            primary=primary,
            evidence=str(evidence),
        )

    # State kept across restarts

    def restarted(self, floor_now: bool, floors: Mapping[str, Mapping[str, LogPosition]]) -> None:
        """Record that the session tokens of an earlier run are lost; call before the first list is applied.

        ``floor_now``: sessions may have written up to now. ``floors``: log positions by origin, by group.
        """
        self._floor_now = self._context.now() if floor_now else 0
        self._floors = dict(floors)

    def remember(self) -> tuple[dict[str, dict[str, LogPosition]], dict[str, dict[str, LogPosition]]]:
        """Return what to persist: positions covering all tokens, by group; last reported positions, by server name."""
        heads = {name: self._positions.head(number) for name, number in self.group_numbers.items()}
        marks = {name: self._positions.marks(self.server_numbers[name]) for name in self.specs}
        return heads, marks

    # The server list

    def apply_pending_lists(self) -> None:
        """Apply pending server lists, unless one is being applied right now."""
        if self._before_send is None or self._applying_list:
            return
        self._applying_list = True
        try:
            self._before_send()
        except Exception as problem:  # error boundary: caller's code; the attempt is sent by the list already known
            self._context.log.error("before_send_error", error=repr(problem), exc_info=True)
        finally:
            self._applying_list = False

    def apply_list(self, servers: Sequence[ServerSpec], version: int) -> None:
        """Apply the complete list of servers. Raises ``ValueError`` if one is listed twice."""
        names = [spec.name for spec in servers]
        if len(set(names)) != len(names):
            duplicate = next(name for name, count in Counter(names).items() if count > 1)
            raise ValueError(f"server {duplicate!r} is listed twice")
        listed = set(names)
        changes: dict[str, ServerSpec | None] = {spec.name: spec for spec in servers}
        changes.update({name: None for name in self.specs if name not in listed})
        self.apply_changes(changes, version)

    def apply_changes(self, changes: Mapping[str, ServerSpec | None], version: int) -> None:
        """Apply a change of the server list, by server name (None: removed); the cost depends on the change only.

        May be called at any time, also while actions of the router are being executed.
        """
        was_applying = self._applying_list
        self._applying_list = True
        try:
            self._apply(changes, version)
        finally:
            self._applying_list = was_applying

    def _apply(self, changes: Mapping[str, ServerSpec | None], version: int) -> None:
        now, wall = self._context.now(), self._wall()
        is_first = not self.specs
        change = ListChange()
        for name, spec in changes.items():
            old = self.specs.get(name)
            if old == spec:
                continue
            if spec is None:
                assert old is not None
                self._remove(change, old)
            else:
                self._upsert(change, old, spec, now, wall)
        self.list_version = version
        if self._context.record:
            self._context.record_event(
                "list", version=version, servers={name: spec.state for name, spec in self.specs.items()}
            )
        self._context.log.info(
            "list_applied",
            servers=len(self.specs),
            changed=len(change.members),
            gone=change.removed[:MAX_NAMES_LOGGED],
        )
        if change.entries:
            self._context.log.info("list_entries", version=version, entries=change.entries[:MAX_NAMES_LOGGED])
        self._notify_router(change, is_first)
        for name in change.removed:
            number = self.server_numbers[name]
            self._positions.dropped(number)
            self._on_removed(number)
            self._retire(number)
        self._withdraw_invalidated(change)

    def _remove(self, change: ListChange, old: ServerSpec) -> None:
        number = self.server_numbers[old.name]
        change.removed.append(old.name)
        change.invalidated[number] = self.links.get(number)
        change.members.append(api.Member(number, old.zone, self.group_numbers[old.group], False, "gone"))
        del self.specs[old.name]

    def _upsert(self, change: ListChange, old: ServerSpec | None, spec: ServerSpec, now: int, wall: float) -> None:
        """Add a server, or update one whose entry has changed."""
        number = self.server_numbers.setdefault(spec.name, len(self.server_numbers) + 1)
        group = self.group_numbers.get(spec.group)
        if group is None:
            group = self._new_group(spec.group)
        if old is not None:
            self._detach_old_entry(change, number, old, spec)
        if number not in self.links:
            self.links[number] = self._new_link(spec)
        self._positions.listed(number, group, spec.primary, now)
        started = started_at(now, wall, spec.started)
        if old is not None and old.started == spec.started:
            started = self._start_times[number]  # the same start keeps its time even if the wall clock steps
        self._start_times[number] = started
        change.members.append(api.Member(number, spec.zone, group, spec.primary, spec.state, started, spec.weight))
        change.entries.append(describe_change(old, spec))
        self.specs[spec.name] = spec

    def _detach_old_entry(self, change: ListChange, number: int, old: ServerSpec, spec: ServerSpec) -> None:
        if invalidates_attempts(old, spec):
            change.invalidated[number] = self.links.get(number)
        if (old.group, old.zone) != (spec.group, spec.zone):  # the router treats it as a different server
            old_group = self.group_numbers[old.group]
            change.left_group.append(api.Member(number, old.zone, old_group, False, "gone"))
        if (old.host, old.port, old.group) != (spec.host, spec.port, spec.group):
            self._retire(number)

    def _new_group(self, name: str) -> int:
        number = self.group_numbers[name] = len(self.group_numbers)
        floor = self._floor_now
        if marks := self._floors.get(name):
            floor = max(floor, self._positions.floor_token(number, marks, self._context.now()))
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

    def _notify_router(self, change: ListChange, is_first: bool) -> None:
        """Pass the change to the router; the list number later shows which attempts were decided on before it."""
        updates = []
        if change.left_group:
            updates.append(api.ServerList("delta", tuple(change.left_group)))
        updates.append(api.ServerList("saved" if is_first else "delta", tuple(change.members)))
        self._lists_queued += len(updates)
        self._last_invalidation.update(dict.fromkeys(change.invalidated, self._lists_queued))
        for update in updates:
            self._events.handle(update)

    def _withdraw_invalidated(self, change: ListChange) -> None:
        for number, link in change.invalidated.items():
            if link is None:
                continue
            withdrawn = link.withdraw(SendCheck.SUPERSEDED, partial(self._superseded, number))
            if self.links.get(number) is not link:
                link.withdraw_probes()
            self._log_withdrawn(link, withdrawn)

    def _log_withdrawn(self, link: ServerLink, withdrawn: int) -> None:
        """Log that a server gets no new attempts, and how long ago the last one was written to it."""
        spec = self.specs.get(link.server.name)
        state = "gone" if spec is None else spec.state
        written_at = link.last_written_at
        self._context.request_log.info(
            "server_withdrawn",
            server=link.server.name,
            state=state if state != "ready" else "moved",
            last_attempt_ms=None if written_at is None else (self._context.now() - written_at) // MS,
            attempts_withdrawn=withdrawn,
        )

    def last_invalidation(self, number: int) -> int:
        """Number of the list with which a server last started draining, moved or was removed; 0: none."""
        return self._last_invalidation.get(number, 0)

    def _superseded(self, number: int, attempt: Attempt) -> bool:
        """Whether an attempt was decided on before its server last started draining, moved or was removed."""
        return attempt.lists_handled < self.last_invalidation(number)

    # Links and their connections

    def all_links(self) -> tuple[ServerLink, ...]:
        """Return the links to listed servers, then the retired ones."""
        return (*self.links.values(), *self._retired)

    def _retire(self, number: int) -> None:
        """Retire a link: it takes no new attempts, outstanding ones may finish, then its connections are closed."""
        link = self.links.pop(number, None)
        if link is None:
            return
        link.close_idle()
        if link.connections:
            self._retired.append(link)
            self.arm_idle_timer()

    @property
    def connection_count(self) -> int:
        """Number of connections to servers, open or opening."""
        return sum(link.connections for link in self.all_links())

    def connections(self) -> dict[str, int]:
        """Return the number of connections, open or opening, by server name."""
        links = self.links
        return {name: links[number].connections for name, number in self.server_numbers.items() if number in links}

    def latency_measured(self, server: ServerSpec, latency_ns: int, kind: str) -> None:
        """Report the latency of a connect or an answered probe to the listeners, unless the server has moved."""
        spec = self.specs.get(server.name)
        if spec is None or (spec.host, spec.port) != (server.host, server.port):
            return
        for listener in self.latency_listeners:
            try:
                listener(self._context.now(), spec.zone, latency_ns, kind)
            except Exception as problem:  # error boundary: an error in a listener does not affect the link
                self._context.log.error("listener_error", server=server.name, error=repr(problem), exc_info=True)

    def _has_room(self) -> bool:
        """Whether one more connection may be opened; at the limit the longest-idle one is closed to make room."""
        if self._connections_bound is None or self.connection_count < self._connections_bound():
            return True
        links = self.all_links()
        idle = [
            (idle_since, number) for number, link in enumerate(links) if (idle_since := link.idle_since()) is not None
        ]
        if not idle:
            return False
        _, longest_idle = min(idle)
        links[longest_idle].close_longest_idle()
        return True

    def arm_idle_timer(self) -> None:
        """Arm the idle timer, one for all connections; none runs while there are no connections."""
        if self._idle_timer is None:
            at = self._context.now() + self._context.limits.idle_close // 4
            self._idle_timer = self._context.deadlines.add(at, self._sweep_idle)

    def _sweep_idle(self) -> None:
        self._idle_timer = None
        for link in self.links.values():
            link.close_expired()
        for link in self._retired:
            link.close_idle()
        self._retired = [link for link in self._retired if link.connections]
        if self._retired or any(link.connections for link in self.links.values()):
            self.arm_idle_timer()
