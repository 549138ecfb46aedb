"""Decides which connection to a server carries an attempt, and when connections are opened and closed. No I/O.

The connection pool reports events on connections and executes what is decided here. Servers are chosen by the policy
router; only the connection to the chosen server is chosen here.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class Slot:
    """One connection, opening or open."""

    number: int
    opened_at: int
    ready: bool = False
    in_use: int = 0  # attempts and probes assigned to the connection
    last_used_at: int = 0
    last_received_at: int = 0
    reopened: bool = False
    retired: bool = False  # takes no new attempts; closed once none is outstanding


@dataclass(slots=True)
class SlotAssignment:
    """Slot of an attempt: an existing connection, or one to be opened; no slot: there is no room."""

    slot: int | None = None
    opening: bool = False


class SlotTable:
    """Connections of one gateway to one server."""

    def __init__(self, connections: int, multiplex: int, idle_close: int) -> None:
        self._max_connections = connections
        self._multiplex = multiplex
        self._idle_close = idle_close
        self.slots: dict[int, Slot] = {}
        self._next_number = 0

    def assign(self, now: int) -> SlotAssignment:
        """Assign an attempt to the least loaded open connection, else to one that is opening, else to a new one.

        Attempts share a connection as long as it has room: each connection costs its server a handshake and memory, and
        hundreds of gateways connect to the same servers. If there is no room, the caller is told so at once: attempts
        are not queued here, where they could not be ordered.
        """
        usable = [slot for slot in self.slots.values() if not slot.retired and slot.in_use < self._multiplex]
        best = min(usable, key=lambda slot: (not slot.ready, slot.in_use, slot.number), default=None)
        if best is None:
            if len(self.slots) >= self._max_connections:
                return SlotAssignment()
            best = self.slots[self._next_number] = Slot(self._next_number, now)
            self._next_number += 1
            best.in_use = 1
            best.last_used_at = now
            return SlotAssignment(best.number, opening=True)
        best.in_use += 1
        best.last_used_at = now
        return SlotAssignment(best.number)

    def mark_open(self, number: int, now: int) -> None:
        """Mark a connection as open."""
        slot = self.slots[number]
        slot.ready = True
        slot.last_received_at = now

    def claim_reopen(self, number: int) -> bool:
        """Whether a connection that broke while opening is reopened: nothing has been sent on it yet.

        It is reopened only once: a server that breaks two connections in a row is left to the router.
        """
        slot = self.slots.get(number)
        if slot is None or slot.reopened or slot.retired:
            return False
        slot.reopened = True
        return True

    def mark_received(self, number: int, now: int) -> None:
        """Record that data was received on a connection."""
        if slot := self.slots.get(number):
            slot.last_received_at = now

    def release(self, number: int, now: int, sent_at: int, answered: bool) -> bool:
        """Release an attempt's place on a connection; returns whether the connection is to be closed now.

        A connection on which an attempt timed out and nothing was received since it was sent may be half-open: the
        peer has lost its state and nothing reports that. It takes no new attempts.
        """
        slot = self.slots.get(number)
        if slot is None:
            return False
        slot.in_use -= 1
        slot.last_used_at = now
        if answered:
            slot.last_received_at = now
        elif slot.last_received_at <= sent_at:
            slot.retired = True
        return slot.retired and slot.in_use == 0

    def remove(self, number: int) -> None:
        """Remove a connection that was lost or could not be opened."""
        self.slots.pop(number, None)

    def retire(self, number: int) -> bool:
        """Take no new attempts on a connection; returns whether it can be closed now.

        Called for example when the server announces that it is closing the connection.
        """
        if slot := self.slots.get(number):
            slot.retired = True
            return slot.in_use == 0
        return False

    def idle(self) -> list[int]:
        """Return the open connections that have nothing outstanding."""
        return [slot.number for slot in self.slots.values() if slot.ready and slot.in_use == 0 and not slot.retired]

    def longest_idle(self) -> Slot | None:
        """Return the open connection that has been idle longest."""
        return min((self.slots[number] for number in self.idle()), key=lambda slot: slot.last_used_at, default=None)

    def expired(self, now: int) -> list[int]:
        """Return the connections that have been idle for ``idle_close``."""
        return [number for number in self.idle() if now - self.slots[number].last_used_at >= self._idle_close]
