"""Probes servers for their log position, and with them the server that reports the log's head.

Owns: which callers wait for which server's answer, what other gateways reported of positions, and the zone latencies
last passed to the router. Only this class writes them. Bounds: ``MAX_WAITERS`` callers wait for one server's answer to
``ask``; for the head's, at most one per outstanding probe of the router. Invariant: every probe is answered once, with
a position or without.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from functools import partial
from random import Random

from yardbank import interface as api
from yardbank.gateway.api import MS, ProbeResult
from yardbank.gateway.context import GatewayContext
from yardbank.gateway.endpoint_set import EndpointSet
from yardbank.gateway.event_queue import EventQueue
from yardbank.gateway.gossiped_positions import GossipedPositions, well_formed
from yardbank.gateway.positions import Positions
from yardbank.gateway.server_link import ServerLink
from yardbank.policy import Router
from yardbank.timeline import Vector

MAX_WAITERS = 64  # callers waiting for one server's answer
GOSSIP_SEED_MASK = 0x9A55ED  # separate random sequence, so that request numbers do not change
ProbeDone = Callable[[ProbeResult | None, int, str], None]  # position, when the probe was sent (ns), status


class _RouterProbe:
    """One ``Probe`` action: the server's answer and, where it is needed, that of the log's head."""

    def __init__(self, prober: Prober, server: int, asked_at: int) -> None:
        self._prober = prober
        self._server = server
        self._asked_at = asked_at
        self.outstanding = 1
        self._position: ProbeResult | None = None
        self._sent_at = 0
        self._status = ""

    def on_answer(self, link: ServerLink, position: ProbeResult | None, sent_at: int, status: str) -> None:
        """Handle the server's answer over ``link``, or its absence (``position`` is None)."""
        current = self._prober.endpoints.links.get(self._server)
        if position is None and current is not None and current is not link:  # it has moved: probe the new address
            current.probe(partial(self.on_answer, current))
            return
        self._position = position
        self._sent_at = sent_at
        self._status = status
        if position is not None:
            self._prober.observed(self._server, link, position, sent_at)
        self.answer_received()

    def answer_received(self) -> None:
        """Count one answer as received; after the last one the router is told."""
        self.outstanding -= 1
        if self.outstanding:
            return
        self._prober.report_result(self._server, self._asked_at, self._position, self._sent_at, self._status)


class Prober:
    """Runs at most one ``ask`` probe per server at a time and shares its answer among all waiting callers."""

    def __init__(
        self,
        context: GatewayContext,
        router: Router,
        events: EventQueue,
        endpoints: EndpointSet,
        positions: Positions,
        is_stopping: Callable[[], bool],
    ) -> None:
        self._context = context
        self._router = router
        self._events = events
        self.endpoints = endpoints
        self._positions = positions
        self._is_stopping = is_stopping
        settings = context.settings
        self.gossiped = GossipedPositions(Random(settings.seed ^ GOSSIP_SEED_MASK), (settings.gateways - 1) * MS)
        self._waiters: dict[int, list[ProbeDone]] = {}
        self._head_waiters: dict[int, list[Callable[[], None]]] = {}
        self._zone_latencies: tuple[tuple[str, int, int], ...] = ()
        self.asks_left_out = 0  # as too many waited for one server's answer

    # Called by the cluster modules

    def ask(self, server: str, then: ProbeDone) -> None:
        """Probe a server for its position; ``then`` is called once, perhaps at once, but not after the gateway stopped.

        It receives the position (None: no valid answer), when the probe was sent (ns), and the status. One such probe
        per server is outstanding at a time; callers that ask meanwhile share its answer.
        """
        number = self.endpoints.server_numbers.get(server, 0)
        link, now = self.endpoints.links.get(number), self._context.now()
        if link is None or self._is_stopping():
            then(None, now, "moot")
            return
        waiting = self._waiters.get(number)
        if waiting is None:
            self._waiters[number] = [then]
            link.probe(partial(self._ask_answered, number, link, server))
            self.endpoints.arm_idle_timer()
        elif len(waiting) >= MAX_WAITERS:
            self.asks_left_out += 1
            then(None, now, "full")
        else:
            waiting.append(then)

    def _ask_answered(
        self, number: int, link: ServerLink, server: str, position: ProbeResult | None, sent_at: int, status: str
    ) -> None:
        if self.endpoints.links.get(number) is not link:  # the server has moved or been removed meanwhile
            position, status = None, "moot"
        if position is not None:
            self.observed(number, link, position, sent_at)
        for each in self._waiters.pop(number, []):
            try:
                each(position, sent_at, status)
            except Exception as problem:  # error boundary: an error in one caller does not affect the others
                self._context.log.error("listener_error", server=server, error=repr(problem), exc_info=True)

    def position_gossiped(self, server: str, started: int, marks: Vector, checked: bool) -> bool:
        """Apply a server's positions reported by another gateway; returns whether they prove a later one than known.

        ``started`` is the server's start that they belong to (``ServerSpec.start``); if it is not the listed one, they
        are ignored. They are placed on this gateway's own timeline and never count as the log's head. ``checked``: the
        caller has probed the server itself and keeps doing so; otherwise this gateway does, before it uses any.
        """
        spec, now = self.endpoints.specs.get(server), self._context.now()
        if spec is None or spec.start != started or self._is_stopping():
            return False
        number = self.endpoints.server_numbers[server]
        if self._positions.is_reference(number):  # it is the log's head, and this gateway probes it itself
            return False
        if checked:
            is_usable = well_formed(marks)
        else:
            is_usable = self.gossiped.record_claim(now, number, started, marks)
            if self.gossiped.probe_due(now, number):
                self.ask(server, lambda position, sent_at, status: None)
        return is_usable and self._apply_gossiped(number, marks)

    def _apply_gossiped(self, number: int, marks: Vector) -> bool:
        try:
            position = self._positions.position_of(number, marks)
        except TypeError:  # positions of another type than the group's
            return False
        known = self._router.servers.get(number)
        if position is None or known is None or position <= known.position:
            return False
        self._events.handle(api.PositionGossiped(number, api.Report(position)))
        return True

    def zone_latencies_measured(self, latencies: Sequence[tuple[str, int, int]]) -> None:
        """Pass the latencies to other zones to the router, if they have changed; see ``interface.ZoneLatencies``.

        Raises its ``ValueError``.
        """
        event = api.ZoneLatencies(tuple(latencies))
        if event.latencies != self._zone_latencies:
            self._zone_latencies = event.latencies
            self._events.handle(event)

    def forget(self, server: int) -> None:
        """Forget a server that is no longer listed."""
        self.gossiped.forget(server)

    # Probes requested by the router

    def probe(self, server: int) -> None:
        """Probe a server, and with it the one that reports the log's head; the router gets ``Probed``."""
        self.endpoints.apply_pending_lists()
        link = self.endpoints.links.get(server)
        if link is None:
            self._events.append(api.Probed(server, "connect_failed", 0))
            return
        probe = _RouterProbe(self, server, self._context.now())
        head = self._positions.reference(server)
        if head is not None and head in self.endpoints.links:
            probe.outstanding += 1
            self._ask_head(head, probe.answer_received)
        link.probe(partial(probe.on_answer, link))
        self.endpoints.arm_idle_timer()

    def observed(self, server: int, link: ServerLink, position: ProbeResult, sent_at: int) -> None:
        """Record a server's own answer: its place on the timeline, and whether gossip on it holds."""
        self._positions.observed(server, position, sent_at)
        if self.endpoints.links.get(server) is not link:  # the server has moved meanwhile
            return
        if not self.gossiped.record_answer(self._context.now(), server, position.marks, sent_at):
            self._context.log.warning("gossiped_position_rejected", server=link.server.name)

    def report_result(
        self, server: int, asked_at: int, position: ProbeResult | None, sent_at: int, status: str
    ) -> None:
        """Report the result of a probe, requested at ``asked_at`` (ns), to the router."""
        report = None
        if position is not None:
            report = self._positions.report(server, position, sent_at)
        self._events.handle(api.Probed(server, status, self._context.now() - asked_at, report))

    def _ask_head(self, server: int, then: Callable[[], None]) -> None:
        """Probe the log's head once for all probes that wait for it at this time."""
        waiting = self._head_waiters.get(server)
        if waiting is not None:
            waiting.append(then)
            return
        self._head_waiters[server] = [then]
        self.endpoints.links[server].probe(partial(self._head_answered, server))

    def _head_answered(self, server: int, position: ProbeResult | None, sent_at: int, status: str) -> None:
        if position is not None:
            self._positions.observed(server, position, sent_at)
        for each in self._head_waiters.pop(server):
            each()
