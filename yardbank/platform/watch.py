"""Watches discovery: opens connections, passes lists on, and aborts watches that are given up.

Driven by ``discovery.Watch`` (what was received) and ``watch_state.WatchStateMachine`` (which watches are open).
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from yardbank.gateway.api import MS, SECOND
from yardbank.platform.config import Address
from yardbank.platform.discovery import Watch
from yardbank.platform.json_stream import Token
from yardbank.platform.listing import Listing, merge_listings
from yardbank.platform.watch_connection import WatchConnection, WatchConnectionFactory
from yardbank.platform.watch_state import SILENCE_TIMEOUT, Actions, Phase, WatchStateMachine

LOG_INTERVAL = SECOND  # between log lines of one event that discovery can cause at will
MAX_READS = 16  # reads in a row


class Watcher:
    """Keeps a watch open. ``apply`` gets each list as it arrives and raises ``ValueError`` on an unusable one."""

    def __init__(
        self, address: Address, generation: int, apply: Callable[[Listing], None], reactor: Any, log: Any
    ) -> None:
        self.address = address
        self.generation = generation
        self._apply = apply
        self._reactor = reactor
        self._log = log
        self._state_machine = WatchStateMachine()
        self._open: dict[int, WatchConnection] = {}
        self._reading = False
        self._not_streaming_since: int | None = 0  # ns; None while a watch is in use
        self._heard_at: int | None = None  # when a list was last applied (ns)
        self._needs_full_list = False  # a list was lost: the one held may lack changes of its generation
        self._timer: Any = None  # due at ``_due_at`` or earlier; an early tick does nothing
        self._due_at = 0
        self._logged: dict[str, tuple[int, int]] = {}  # by event: when it was last logged, lines suppressed since

    def start(self) -> None:
        """Starts watching."""
        self._not_streaming_since = self._now()
        self._perform(self._state_machine.start(self._now()))

    def move(self, address: Address) -> None:
        """Discovery has a new address; the current list stays in force until the new address sends one.

        While not watching (before ``start`` and after ``stop``) the address is only stored.
        """
        if address != self.address:
            self.catch_up()  # what the old watch has received counts as known
            self.address = address
            self._perform(self._state_machine.move(self._now()))

    def request_full_list(self) -> None:
        """Opens a new watch that requests the complete list, which discovery sends even if nothing has changed."""
        self._needs_full_list = True
        self._perform(self._state_machine.move(self._now()))

    def stop(self) -> None:
        """Stops watching."""
        self._perform(self._state_machine.stop())

    def view(self) -> dict[str, Any]:
        """Returns the state of watching discovery, for the log."""
        return {
            "phase": self._state_machine.phase.name.lower(),
            "generation": self.generation,
            "open": len(self._open),
            "list_age_ms": None if self._heard_at is None else (self._now() - self._heard_at) // MS,
        }

    def _now(self) -> int:
        return int(self._reactor.seconds() * SECOND)

    def _perform(self, actions: Actions) -> None:
        for number in actions.abort:
            connection = self._open.pop(number)
            if number in actions.timed_out:
                address, buffered = f"{self.address.host}:{self.address.port}", connection.watch.buffered_octets
                self._log_limited(self._log.warning, "discovery_silent", address=address, waiting=buffered)
            self._note_incomplete(connection)
            connection.abort()
        if actions.connect is not None:
            self._connect(actions.connect)
        self._log_phase()
        self._schedule_tick()

    def _log_phase(self) -> None:
        """Logs that a watch is in use again, and for how long none was."""
        now = self._now()
        if self._state_machine.phase is not Phase.STREAMING:
            if self._not_streaming_since is None:
                self._not_streaming_since = now
        elif self._not_streaming_since is not None:
            unheard = now - self._not_streaming_since
            self._not_streaming_since = None
            self._log_limited(
                self._log.info,
                "discovery_watch_established",
                address=f"{self.address.host}:{self.address.port}",
                unheard_ms=unheard // MS,
            )

    def _connect(self, number: int) -> None:
        host, port = self.address.host, self.address.port
        watch = Watch(f"{host}:{port}", 0 if self._needs_full_list else self.generation)
        connection = WatchConnection(number, watch, self.data_received, self.ended)
        self._open[number] = connection
        try:
            connection.connector = self._reactor.connectTCP(
                host, port, WatchConnectionFactory(connection), timeout=2 * SILENCE_TIMEOUT / SECOND
            )
        except Exception as problem:  # noqa: BLE001  # e.g. no descriptor: a failed watch, retried after its delay
            self.ended(connection, f"cannot connect: {problem!r}")

    def _log_limited(self, log_method: Callable[..., None], event: str, **facts: Any) -> None:
        """Logs at most one line a second for each event, with the number of lines suppressed."""
        now = self._now()
        at, left_out = self._logged.get(event, (now - LOG_INTERVAL, 0))
        if now - at < LOG_INTERVAL:
            self._logged[event] = at, left_out + 1
            return
        log_method(event, **facts, left_out=left_out)
        self._logged[event] = now, 0

    def _schedule_tick(self) -> None:
        at = self._state_machine.next_at()
        if self._timer is not None:
            if at is not None and self._due_at <= at:
                return
            self._timer.cancel()
            self._timer = None
        if at is not None:
            self._due_at = at
            self._timer = self._reactor.callLater(max(0, at - self._now()) / 1e9, self._tick_after_reading)

    def _tick_after_reading(self) -> None:
        """Lets the reactor read sockets once more before silence is judged: the process may have been busy."""
        self._timer = self._reactor.callLater(0, self._tick)

    def _tick(self) -> None:
        """Reads all pending data before silence is judged: a reactor turn reads only one piece of a long list."""
        self._timer = None
        self.catch_up()
        self._perform(self._state_machine.tick(self._now()))

    def _note_incomplete(self, connection: WatchConnection) -> None:
        if connection.watch.buffered_octets:
            self._needs_full_list = True

    def catch_up(self) -> None:
        """Applies unread lists now, as if the reactor had read them; for callers that are about to rely on the list.

        Costs one system call if there is nothing to read. Does nothing while a list is applied, so ``apply`` is not
        reentered.
        """
        if not self._reading:
            for connection in tuple(self._open.values()):
                if data := connection.read_pending():
                    connection.dataReceived(data)

    def data_received(self, connection: WatchConnection, data: bytes) -> None:
        """Takes octets of an open watch, and reads what else waits in its socket."""
        had_head = connection.watch.head_received
        lists: list[Listing] = []
        self._reading = True
        try:
            problem = self._read(connection, data, lists)
            problem = self._apply_lists(lists) or problem
        finally:
            self._reading = False
        if problem is not None:
            self._reject(connection, problem)
        elif connection.watch.head_received and not had_head:
            self._perform(self._state_machine.head_received(connection.number, self._now()))

    def _read(self, connection: WatchConnection, data: bytes, lists: list[Listing]) -> ValueError | None:
        """Appends the lists in the octets to ``lists``. Returns why the watch is unusable, or None."""
        try:
            for _ in range(MAX_READS):
                for found in connection.watch.receive(data):
                    is_list_start = found is Token.VALUE_STARTED
                    self._perform(
                        self._state_machine.activity(connection.number, self._now(), list_started=is_list_start)
                    )
                    if isinstance(found, Listing):
                        lists.append(found)
                data = connection.read_pending()
                if not data:
                    break
        except ValueError as error:
            return error
        except Exception as fault:  # noqa: BLE001  # a bug in the program ends this watch and nothing else
            return self._program_error(fault, "read")
        return None

    def _program_error(self, fault: Exception, attempted: str) -> ValueError:
        self._log.error("list_error", error=repr(fault), exc_info=True)
        return ValueError(f"internal error: the list could not be {attempted}")

    def _apply_lists(self, lists: list[Listing]) -> ValueError | None:
        """Applies lists. Returns why they could not be applied, or None."""
        if not lists:
            return None
        try:
            self._apply_listing(merge_listings(lists))
        except ValueError as error:
            return error
        except Exception as fault:  # noqa: BLE001  # nor may a bug end the send that called ``catch_up``
            return self._program_error(fault, "applied")
        return None

    def _reject(self, connection: WatchConnection, problem: Exception) -> None:
        self._needs_full_list = True
        self._log_limited(self._log.error, "discovery_list_rejected", problem=str(problem)[:300])
        connection.abort()
        self.ended(connection, "invalid list")

    def _apply_listing(self, listing: Listing) -> None:
        if not listing.reset and listing.generation < self.generation:  # changes to a list other than the one held
            raise ValueError(f"generation: {listing.generation} is older than {self.generation} in a partial list")
        self._apply(listing)
        if listing.generation != self.generation:
            self._state_machine.list_changed()
        self.generation = listing.generation
        self._heard_at = self._now()
        self._needs_full_list = self._needs_full_list and not listing.reset

    def ended(self, connection: WatchConnection, reason: str) -> None:
        """A watch has ended: the next one is opened after a delay."""
        if self._open.pop(connection.number, None) is None:
            return
        self._note_incomplete(connection)
        delay = self._state_machine.ended(connection.number, self._now())
        if delay is not None:
            self._log_limited(self._log.info, "discovery_watch_ended", reason=reason, again_ms=delay // MS)
        self._log_phase()
        self._schedule_tick()
