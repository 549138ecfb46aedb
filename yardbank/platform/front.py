"""The platform's clients, all of them: which connections stay is ``Admission``'s."""

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
from yardbank.platform.closing import LINGER
from yardbank.platform.connection import STOPPING, ClientConnection
from yardbank.platform.memory_budget import MemoryBudget

COME_AGAIN = 250 * MS  # told to a connection for which there is no room
LOG_EVERY = 1000 * MS  # of what clients can cause at will


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
        memory: MemoryBudget,
    ) -> None:
        self.gateway = gateway
        self.admission = admission
        self.request_classes = request_classes
        self._log = log
        self._descriptors = descriptors
        self._memory = memory
        self._is_resuming = False
        self.come_again = min(gateway.settings.max_retry_after, COME_AGAIN) // MS
        self.open_ids: set[str] = set()
        self.stopping = False
        self.in_last_round = False  # all that was taken is answered; each connection is read once more at most
        self.counts = dict.fromkeys(
            ("arrived", "rejected", "turned_away", "timed_out", "failed_unsent", "closed_unanswered"), 0
        )
        self._connections: dict[int, ClientConnection] = {}
        self._closing: dict[int, int] = {}  # connections that are being closed, the oldest first: since when
        self._numbers = count()
        self._cancel_sweep: Callable[[], None] | None = None
        self._said_at: dict[str, int] = {}  # by event: when it was last logged
        self._emptied: Callable[[], None] | None = None
        self._when_room: Callable[[], None] | None = None

    @property
    def held(self) -> int:
        """Connections that hold a descriptor, those that are being closed among them."""
        return len(self.admission) + len(self._closing)

    def room(self) -> int:
        """How many connections may be accepted now; where there is none, the oldest that are being closed make way."""
        room = self._descriptors.for_clients(self.gateway.server_connections) + self._descriptors.closing - self.held
        if room > 0 or not self._closing:
            return max(1, room)
        for number in list(self._closing):
            self._connections[number].make_way()
        return 0

    def when_room(self, call: Callable[[], None]) -> None:
        """``call`` once a connection has left: until then nothing is accepted."""
        self._when_room = call

    def buildProtocol(self, addr: Any) -> ClientConnection:  # noqa: N802
        """Make the protocol of a connection that was accepted."""
        return ClientConnection(self, next(self._numbers))

    def arrived(self, connection: ClientConnection) -> None:
        """A client has connected."""
        self.counts["arrived"] += 1
        now = self.gateway.now()
        most = self._descriptors.for_clients(self.gateway.server_connections)
        way = self.admission.arrived(connection.number, now, most)
        if way is not None:
            self.counts["turned_away"] += 1
            self._warn("client_connections_bound", bound=most)
        self._connections[connection.number] = connection
        if self._cancel_sweep is None:
            self._arm()
        if way == connection.number:
            connection.close(client.full(self.come_again, "too many connections"))
            return
        if way is not None:
            self._connections[way].close(client.full(self.come_again, "too many connections: this one was not in use"))

    def has_room_for_more(self) -> bool:
        """Whether a connection may have more than one request open now."""
        for_servers = self._descriptors.for_servers(self.held)
        return not self._memory.is_full and may_pipeline(self.gateway.unanswered, for_servers)

    def became(self, connection: ClientConnection, state: State) -> None:
        """What a connection is about now."""
        now = self.gateway.now()
        self.admission.became(connection.number, state, now)
        if state is State.IDLE:
            self.admission.served(connection.number, now)

    def occupies(self, number: int, occupied: int, wanted: int) -> bool:
        """What a connection occupies of memory, and wants; whether that fits with what all others do."""
        used = self._memory.used
        fits = self._memory.take(number, occupied, wanted)
        if not fits:
            self._warn("client_memory_bound", limit=self._memory.limit)
        if self._memory.used < used:
            self._resume_waiting()
        return fits

    def _resume_waiting(self) -> None:
        """Octets are free: connections that wait for them go on."""
        if self._is_resuming:
            return
        self._is_resuming = True
        try:
            for number in self._memory.waiting():
                self._connections[number].memory_freed()
        finally:
            self._is_resuming = False

    def _release_memory(self, number: int) -> None:
        self._memory.release(number)
        self._resume_waiting()

    def closes(self, connection: ClientConnection) -> None:
        """Nothing of a connection is served any more; it holds its descriptor until it has left."""
        self.admission.left(connection.number)
        self._release_memory(connection.number)
        self._closing.setdefault(connection.number, self.gateway.now())

    def lingers(self, connection: ClientConnection) -> None:
        """All that is left of a connection is to wait for its client's end."""
        if self._when_room is not None:
            connection.make_way()

    def left(self, connection: ClientConnection) -> None:
        """A connection is gone."""
        self.admission.left(connection.number)
        self._closing.pop(connection.number, None)
        self._connections.pop(connection.number, None)
        self._release_memory(connection.number)
        when_room, self._when_room = self._when_room, None
        if when_room is not None:
            when_room()
        if self._emptied is not None and not self._connections:
            self._emptied()

    def rejected(self, reason: str) -> None:
        """A client sent what cannot be served."""
        self.counts["rejected"] += 1
        self._warn("client_rejected", reason=reason[:200], rejected=self.counts["rejected"])

    def queue_bound(self, waiting: int) -> None:
        """So many queries wait on one connection that it is not read any more for now."""
        self._warn("client_queue_bound", waiting=waiting)

    def _warn(self, event: str, **facts: Any) -> None:
        """The first of each event in a second; the view has the counts."""
        now = self.gateway.now()
        if now - self._said_at.get(event, now - LOG_EVERY) >= LOG_EVERY:
            self._said_at[event] = now
            self._log.warning(event, **facts)

    def _arm(self) -> None:
        self._cancel_sweep = self.gateway.call_at(self.gateway.now() + 250 * MS, self._sweep)

    def _sweep(self) -> None:
        """One timer for all connections, and none while there are none."""
        self._cancel_sweep = None
        now = self.gateway.now()
        for number, state in self.admission.overdue(now):
            connection, reason = self._connections[number], f"the connection {state.value}"
            if state is State.IDLE:
                if connection.ending:
                    connection.overdue()
                else:  # if it has just asked, it stays and is served
                    connection.let_go(reason)
                continue
            self.counts["timed_out"] += 1
            if state is State.STUCK or connection.ending:
                connection.cut()
            else:
                connection.close(client.turned_away(self.come_again, reason))
        for number in [number for number, since in self._closing.items() if now - since >= LINGER]:
            self._connections[number].overdue()
        if self._connections:
            self._arm()

    def close_idle(self) -> None:
        """The gateway stops: whatever owes its client nothing is closed, the others once they are answered."""
        self.stopping = True
        for number in self.admission.closable():
            if (connection := self._connections.get(number)) and not connection.owes():
                connection.let_go(STOPPING)

    def close_all(self, emptied: Callable[[], None]) -> None:
        """All that was taken is answered; ``emptied`` is called when the last connection is gone.

        One that has just been written to stays: what it brings is refused, and what comes behind that is told the end.
        """
        self._emptied = emptied
        if not self._connections:
            emptied()
        for connection in list(self._connections.values()):
            if not connection.ending:
                connection.let_go(STOPPING)
        self.in_last_round = True

    def cut_all(self) -> None:
        """Nothing is waited for any longer."""
        for connection in list(self._connections.values()):
            connection.overdue()
            connection.cut()
