"""Events of this gateway's leases, and hints on who holds other leases. No I/O.

Owns the events that the user has not read (at most ``MAX_EVENTS``, the oldest are lost first), the same events for the
log (``MAX_LOG_EVENTS``) and hints on holders (``MAX_HINTS``, the least recently heard is dropped first).
"""

from __future__ import annotations

from collections import OrderedDict, deque

from yardbank.cluster.lease.api import OWNED, LeaseEvent

MAX_HINTS, MAX_EVENTS, MAX_LOG_EVENTS = 1024, 4096, 256


class OwnershipLog:
    """Lease events and hints."""

    __slots__ = ("_name", "events", "events_lost", "hints", "log_events")

    def __init__(self, name: str) -> None:
        self._name = name
        self.events: list[LeaseEvent] = []
        self.log_events: deque[LeaseEvent] = deque(maxlen=MAX_LOG_EVENTS)
        self.events_lost = 0
        self.hints: OrderedDict[str, tuple[str, int]] = OrderedDict()  # by resource: holder, epoch

    def record(self, resource: str, what: str, epoch: int, why: str = "") -> None:
        """Record that a lease of this gateway began (``OWNED``) or ended (``ENDED``) under this epoch."""
        if what == OWNED:
            self.record_hint(resource, self._name, epoch)
        if len(self.events) >= MAX_EVENTS:
            self.events_lost += 1
            del self.events[0]
        event = LeaseEvent(resource, what, epoch, why)
        self.events.append(event)
        self.log_events.append(event)

    def record_hint(self, resource: str, holder: str, epoch: int) -> None:
        """Record who holds a resource according to a voter."""
        self.hints[resource] = holder, epoch
        self.hints.move_to_end(resource)
        if len(self.hints) > MAX_HINTS:
            self.hints.popitem(last=False)

    def take_events(self, prefix: str) -> list[LeaseEvent]:
        """Events of resources with this prefix; each is returned once."""
        found = [event for event in self.events if event.resource.startswith(prefix)]
        self.events = [event for event in self.events if not event.resource.startswith(prefix)]
        return found

    def take_log_events(self) -> list[LeaseEvent]:
        """The events of all resources for the log; each is returned once."""
        found = list(self.log_events)
        self.log_events.clear()
        return found
