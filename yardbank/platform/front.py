"""Twisted factory of all client connections; ``Admission`` decides which of them are kept."""

from __future__ import annotations

from collections.abc import Callable
from itertools import count
from typing import Any

from twisted.internet.protocol import Factory

from yardbank.gateway.api import MS
from yardbank.gateway.gateway import Gateway
from yardbank.interface import RequestClass
from yardbank.platform import client
from yardbank.platform.admission import Admission, Descriptors, State, may_pipeline
from yardbank.platform.closing import LINGER_TIMEOUT
from yardbank.platform.connection import STOPPING_REASON, ClientConnection
from yardbank.platform.connection_memory import ConnectionMemory
from yardbank.platform.memory_budget import MemoryBudget
from yardbank.platform.presence_checks import PresenceChecks
from yardbank.platform.recent_effects import RecentEffects
from yardbank.platform.turn_scheduler import TurnScheduler

FULL_RETRY_AFTER = 250 * MS  # sent to a connection that is turned away
LOG_INTERVAL = 1000 * MS  # between log lines of one event that clients can cause at will


class ClientFactory(Factory):
    """All client connections of one gateway."""

    noisy = False

    def __init__(
        self,
        gateway: Gateway,
        admission: Admission,
        descriptors: Descriptors,
        request_classes: dict[str, RequestClass],
        log: Any,
        budget: MemoryBudget,
    ) -> None:
        self.gateway = gateway
        self.admission = admission
        self.request_classes = request_classes
        self._log = log
        self._descriptors = descriptors
        self.memory = ConnectionMemory(budget, gateway.now, gateway.call_at, self._warn_memory_full)
        self.retry_after_ms = min(gateway.settings.max_retry_after, FULL_RETRY_AFTER) // MS
        self.turns = TurnScheduler(gateway.call_next_turn)
        self.presence_checks = PresenceChecks(gateway.now, gateway.call_at)
        self.open_ids: set[str] = set()
        self.recent_effects = RecentEffects(gateway.now)
        self.stopping = False
        self.is_closing_all = False  # everything taken is answered; each connection is read at most once more
        self.counts = dict.fromkeys(
            ("arrived", "rejected", "turned_away", "timed_out", "failed_unsent", "closed_unanswered"), 0
        )
        self._connections: dict[int, ClientConnection] = {}
        self._closing_since: dict[int, int] = {}  # when the close of each connection began, oldest first
        self._numbers = count()
        self._cancel_sweep: Callable[[], None] | None = None
        self._logged_at: dict[str, int] = {}  # when each event was last logged
        self._on_empty: Callable[[], None] | None = None
        self._call_when_capacity: Callable[[], None] | None = None

    @property
    def open_descriptors(self) -> int:
        """Connections that hold a descriptor, including those that are closing."""
        return len(self.admission) + len(self._closing_since)

    def accept_capacity(self) -> int:
        """Returns how many connections may be accepted now; at 0, the oldest closing connections free theirs."""
        capacity = (
            self._descriptors.max_clients(self.gateway.server_connections)
            + self._descriptors.closing
            - self.open_descriptors
        )
        if capacity > 0 or not self._closing_since:
            return max(1, capacity)
        for number in list(self._closing_since):
            self._connections[number].release_descriptor()
        return 0

    def call_when_capacity(self, call: Callable[[], None]) -> None:
        """Calls ``call`` once a connection is lost; until then nothing is accepted."""
        self._call_when_capacity = call

    def buildProtocol(self, addr: Any) -> ClientConnection:  # noqa: N802
        """Builds the protocol of an accepted connection."""
        return ClientConnection(self, next(self._numbers))

    def client_connected(self, connection: ClientConnection) -> None:
        """Registers a new connection, which may be refused or take the place of an idle one."""
        self.counts["arrived"] += 1
        now = self.gateway.now()
        limit = self._descriptors.max_clients(self.gateway.server_connections)
        evicted = self.admission.connected(connection.number, now, limit)
        if evicted is not None:
            self.counts["turned_away"] += 1
            self.warn("client_connections_bound", bound=limit)
        self._connections[connection.number] = connection
        self.memory.connected(connection)
        if self._cancel_sweep is None:
            self._schedule_sweep()
        if evicted == connection.number:
            connection.close(client.encode_no_capacity(self.retry_after_ms, "too many connections"))
            return
        if evicted is not None:
            self._connections[evicted].close(
                client.encode_no_capacity(self.retry_after_ms, "too many connections: this one was not in use")
            )

    def may_open_more(self) -> bool:
        """Whether a connection may have more than one request open now."""
        max_servers = self._descriptors.max_servers(self.open_descriptors)
        return not self.memory.is_full and may_pipeline(self.gateway.unanswered, max_servers)

    def connection_state_changed(self, connection: ClientConnection, state: State) -> None:
        """Tells admission the state of a connection."""
        now = self.gateway.now()
        self.admission.set_state(connection.number, state, now)
        if state is State.IDLE:
            self.admission.touch(connection.number, now)

    def _warn_memory_full(self) -> None:
        self.warn("client_memory_bound", **self.memory.view())

    def connection_closing(self, connection: ClientConnection) -> None:
        """No more requests of the connection are served; it holds its descriptor until it is lost."""
        self.admission.remove(connection.number)
        self.turns.discard(connection)
        self.presence_checks.resumed(connection)
        self.memory.release(connection)
        self._closing_since.setdefault(connection.number, self.gateway.now())

    def connection_lingering(self, connection: ClientConnection) -> None:
        """The connection only waits for its client to close."""
        if self._call_when_capacity is not None:
            connection.release_descriptor()

    def connection_lost(self, connection: ClientConnection) -> None:
        """Forgets a lost connection."""
        self.admission.remove(connection.number)
        self._closing_since.pop(connection.number, None)
        self._connections.pop(connection.number, None)
        self.turns.discard(connection)
        self.presence_checks.resumed(connection)
        self.memory.release(connection)
        call_when_capacity, self._call_when_capacity = self._call_when_capacity, None
        if call_when_capacity is not None:
            call_when_capacity()
        if self._on_empty is not None and not self._connections:
            self._on_empty()

    def client_rejected(self, reason: str) -> None:
        """Counts a client that sent what cannot be served."""
        self.counts["rejected"] += 1
        self.warn("client_rejected", reason=reason[:200], rejected=self.counts["rejected"])

    def queue_limit_reached(self, waiting: int) -> None:
        """Logs that so many queries wait on one connection that reading from it is paused."""
        self.warn("client_queue_bound", waiting=waiting)

    def warn(self, event: str, **facts: Any) -> None:
        """Logs the first occurrence of each event in a second; the ``view`` event has the counts."""
        now = self.gateway.now()
        if now - self._logged_at.get(event, now - LOG_INTERVAL) >= LOG_INTERVAL:
            self._logged_at[event] = now
            self._log.warning(event, **facts)

    def _schedule_sweep(self) -> None:
        self._cancel_sweep = self.gateway.call_at(self.gateway.now() + 250 * MS, self._sweep)

    def _sweep(self) -> None:
        """Closes connections whose time is up. One timer serves all connections; none runs while there are none."""
        self._cancel_sweep = None
        now = self.gateway.now()
        for number, state in self.admission.timed_out(now):
            connection, reason = self._connections[number], f"the connection {state.value}"
            if state is State.IDLE:
                if connection.is_closing:
                    connection.close_timed_out()
                else:  # if it has just sent a request, it stays open and is served
                    connection.close_if_nothing_unread(reason)
                continue
            self.counts["timed_out"] += 1
            if state is State.STUCK or connection.is_closing:
                connection.abort()
            else:
                connection.close(client.encode_nothing_ran(self.retry_after_ms, reason))
        for number in [number for number, since in self._closing_since.items() if now - since >= LINGER_TIMEOUT]:
            self._connections[number].close_timed_out()
        if self._connections:
            self._schedule_sweep()

    def close_idle(self) -> None:
        """Stops: closes connections without unanswered requests; the others close once they are answered."""
        self.stopping = True
        for number in self.admission.closable():
            if (connection := self._connections.get(number)) and not connection.has_unfinished_request():
                connection.close_if_nothing_unread(STOPPING_REASON)

    def close_all(self, on_empty: Callable[[], None]) -> None:
        """Closes all connections, after every request was answered. ``on_empty`` is called when the last one is lost.

        A connection that has just been written to stays open: a request that it still sends is refused, and
        anything after that is answered with the final message.
        """
        self._on_empty = on_empty
        self.turns.finish_all()
        if not self._connections:
            on_empty()
        for connection in list(self._connections.values()):
            if not connection.is_closing:
                connection.close_if_nothing_unread(STOPPING_REASON)
        self.is_closing_all = True

    def abort_all(self) -> None:
        """Closes everything at once."""
        for connection in list(self._connections.values()):
            connection.close_timed_out()
            connection.abort()
