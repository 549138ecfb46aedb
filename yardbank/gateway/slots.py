"""Which connection to a server carries an attempt, when one is opened, when one is closed. No I/O.

The gateway tells what happens to connections and carries out what this says. Servers are chosen by the
decision module; here only the way to the chosen one is.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class Slot:
    """One connection, opening or open."""

    number: int
    opened_at: int
    ready: bool = False
    load: int = 0  # attempts placed on it
    used_at: int = 0
    heard_at: int = 0
    opened_again: bool = False
    retired: bool = False  # takes nothing new; closed once nothing is outstanding


@dataclass(slots=True)
class SlotAssignment:
    """Where an attempt goes: a connection there is, or one to be opened; None of both: no room."""

    slot: int | None = None
    opening: bool = False


class SlotTable:
    """The connections of one gateway to one server."""

    def __init__(self, connections: int, multiplex: int, idle_close: int) -> None:
        self._most = connections
        self._multiplex = multiplex
        self._idle_close = idle_close
        self.slots: dict[int, Slot] = {}
        self._next = 0

    def place(self, now: int) -> SlotAssignment:
        """Place one attempt: on the open connection with most room, else one that is opening, else a new one.

        Attempts share a connection as long as it has room: each connection costs its server a handshake and
        memory, and hundreds of gateways ask the same servers. No room anywhere is an answer: nothing waits
        here, where it could not be ordered.
        """
        usable = [slot for slot in self.slots.values() if not slot.retired and slot.load < self._multiplex]
        best = min(usable, key=lambda slot: (not slot.ready, slot.load, slot.number), default=None)
        if best is None:
            if len(self.slots) >= self._most:
                return SlotAssignment()
            best = self.slots[self._next] = Slot(self._next, now)
            self._next += 1
            best.load = 1
            best.used_at = now
            return SlotAssignment(best.number, opening=True)
        best.load += 1
        best.used_at = now
        return SlotAssignment(best.number)

    def opened(self, number: int, now: int) -> None:
        """A connection is up."""
        slot = self.slots[number]
        slot.ready = True
        slot.heard_at = now

    def again(self, number: int) -> bool:
        """Whether a connection that broke while it was opening is opened once more: nothing was sent on it yet.

        Once only: a server that breaks two in a row is the decision module's matter.
        """
        slot = self.slots.get(number)
        if slot is None or slot.opened_again or slot.retired:
            return False
        slot.opened_again = True
        return True

    def heard(self, number: int, now: int) -> None:
        """Something came from it."""
        if slot := self.slots.get(number):
            slot.heard_at = now

    def freed(self, number: int, now: int, sent_at: int, answered: bool) -> bool:
        """An attempt there ended; True if the connection is to be closed now.

        One whose attempt timed out with not a byte heard since it was sent may be half open: the other end
        has forgotten it and nobody says so. It takes nothing new.
        """
        slot = self.slots.get(number)
        if slot is None:
            return False
        slot.load -= 1
        slot.used_at = now
        if answered:
            slot.heard_at = now
        elif slot.heard_at <= sent_at:
            slot.retired = True
        return slot.retired and slot.load == 0

    def lost(self, number: int) -> None:
        """A connection is gone, or never came up."""
        self.slots.pop(number, None)

    def retire(self, number: int) -> bool:
        """The other end is closing (a notice of disconnection); True if it can be closed now."""
        if slot := self.slots.get(number):
            slot.retired = True
            return slot.load == 0
        return False

    def idle(self) -> list[int]:
        """Open connections that carry nothing."""
        return [slot.number for slot in self.slots.values() if slot.ready and slot.load == 0 and not slot.retired]

    def idlest(self) -> Slot | None:
        """The open connection that has carried nothing for the longest time."""
        return min((self.slots[number] for number in self.idle()), key=lambda slot: slot.used_at, default=None)

    def overdue(self, now: int) -> list[int]:
        """Idle connections that are to be closed by now."""
        return [number for number in self.idle() if now - self.slots[number].used_at >= self._idle_close]
