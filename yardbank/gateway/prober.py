"""Probes: asking servers for their log position, and along with them the one that says where the log's head is.

Owns: who waits for which server's answer, what other gateways reported of positions, the zone latencies last told to
the module. Only this part writes them. Bounds: ``MAX_ASKERS`` wait for one server's answer to ``ask``; for the head's,
at most one for each probe that the module has out. Invariant: every question put is answered once, with a position
or without.
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

MAX_ASKERS = 64  # that wait for one server's answer
GOSSIP_DRAWS = 0x9A55ED  # draws of its own, so that those for requests' numbers stay as they are
ProbeDone = Callable[[ProbeResult | None, int, str], None]  # position, when the question went out, status


class _ModuleProbe:
    """One ``Probe`` of the module: the server's answer and, where it takes one, that of the log's head."""

    def __init__(self, prober: Prober, server: int, asked_at: int) -> None:
        self._prober = prober
        self._server = server
        self._asked_at = asked_at
        self.outstanding = 1
        self._position: ProbeResult | None = None
        self._sent_at = 0
        self._status = ""

    def arrived(self, link: ServerLink, position: ProbeResult | None, sent_at: int, status: str) -> None:
        """The server's answer came over ``link``, or none did."""
        current = self._prober.endpoints.links.get(self._server)
        if position is None and current is not None and current is not link:  # it has moved: it is asked there
            current.probe(partial(self.arrived, current))
            return
        self._position = position
        self._sent_at = sent_at
        self._status = status
        if position is not None:
            self._prober.observed(self._server, link, position, sent_at)
        self.one_done()

    def one_done(self) -> None:
        """One of the answers is in; with the last one the module is told."""
        self.outstanding -= 1
        if self.outstanding:
            return
        self._prober.finished(self._server, self._asked_at, self._position, self._sent_at, self._status)


class Prober:
    """One question at a server at a time, for all that wait for its answer."""

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
        self.gossiped = GossipedPositions(Random(settings.seed ^ GOSSIP_DRAWS), (settings.gateways - 1) * MS)
        self._askers: dict[int, list[ProbeDone]] = {}
        self._head_askers: dict[int, list[Callable[[], None]]] = {}
        self._zone_latencies: tuple[tuple[str, int, int], ...] = ()
        self.asks_left_out = 0  # as too many waited for one server's answer

    # What others that know of the fleet call

    def ask(self, server: str, then: ProbeDone) -> None:
        """Ask a server for its position; ``then`` is called once, perhaps at once, but not after the gateway stopped.

        It gets the position (None: no answer that makes sense), when the question went out (ns), and the status. One
        question is out at a server at a time; who asks meanwhile gets the same answer.
        """
        number = self.endpoints.server_numbers.get(server, 0)
        link, now = self.endpoints.links.get(number), self._context.now()
        if link is None or self._is_stopping():
            then(None, now, "moot")
            return
        waiting = self._askers.get(number)
        if waiting is None:
            self._askers[number] = [then]
            link.probe(partial(self._ask_answered, number, link, server))
            self.endpoints.watch_idle()
        elif len(waiting) >= MAX_ASKERS:
            self.asks_left_out += 1
            then(None, now, "full")
        else:
            waiting.append(then)

    def _ask_answered(
        self, number: int, link: ServerLink, server: str, position: ProbeResult | None, sent_at: int, status: str
    ) -> None:
        if self.endpoints.links.get(number) is not link:  # it has moved or left meanwhile
            position, status = None, "moot"
        if position is not None:
            self.observed(number, link, position, sent_at)
        for each in self._askers.pop(number, []):
            try:
                each(position, sent_at, status)
            except Exception as problem:  # border: one asker's error is not the others'
                self._context.log.error("listener_error", server=server, error=repr(problem), exc_info=True)

    def position_gossiped(self, server: str, started: int, marks: Vector, checked: bool) -> bool:
        """Marks of a server that another gateway passed on; whether they proved a later position than was known.

        ``started`` is the start that they are of (``ServerSpec.start``): another than the listed one, and they are
        nobody's. They are placed on this gateway's own timeline, and never tell where the log's head is. ``checked``:
        the caller has asked the server itself and goes on doing so; otherwise this gateway does, before it takes any.
        """
        spec, now = self.endpoints.specs.get(server), self._context.now()
        if spec is None or spec.start != started or self._is_stopping():
            return False
        number = self.endpoints.server_numbers[server]
        if self._positions.leads(number):  # it stands where the log does: this gateway asks it itself
            return False
        if checked:
            is_usable = well_formed(marks)
        else:
            is_usable = self.gossiped.take(now, number, started, marks)
            if self.gossiped.due(now, number):
                self.ask(server, lambda position, sent_at, status: None)
        return is_usable and self._apply_gossiped(number, marks)

    def _apply_gossiped(self, number: int, marks: Vector) -> bool:
        try:
            position = self._positions.proved(number, marks)
        except TypeError:  # marks of other kinds than its group's
            return False
        known = self._router.servers.get(number)
        if position is None or known is None or position <= known.position:
            return False
        self._events.handle(api.PositionGossiped(number, api.Report(position)))
        return True

    def zone_latencies_measured(self, latencies: Sequence[tuple[str, int, int]]) -> None:
        """What it costs to reach other zones from now on; see ``interface.ZoneLatencies``.

        Raises its ``ValueError``.
        """
        event = api.ZoneLatencies(tuple(latencies))
        if event.latencies != self._zone_latencies:
            self._zone_latencies = event.latencies
            self._events.handle(event)

    def forget(self, server: int) -> None:
        """A server is listed no longer."""
        self.gossiped.dropped(server)

    # What the module asks for

    def probe(self, server: int) -> None:
        """Ask a server, and along with it the one that says where the log's head is; the module gets ``Probed``."""
        self.endpoints.catch_up()
        link = self.endpoints.links.get(server)
        if link is None:
            self._events.append(api.Probed(server, "connect_failed", 0))
            return
        probe = _ModuleProbe(self, server, self._context.now())
        head = self._positions.reference(server)
        if head is not None and head in self.endpoints.links:
            probe.outstanding += 1
            self._ask_head(head, probe.one_done)
        link.probe(partial(probe.arrived, link))
        self.endpoints.watch_idle()

    def observed(self, server: int, link: ServerLink, position: ProbeResult, sent_at: int) -> None:
        """What a server said itself: its place on the timeline, and whether others' reports of it hold."""
        self._positions.observed(server, position, sent_at)
        if self.endpoints.links.get(server) is not link:  # it has moved meanwhile
            return
        if not self.gossiped.seen(self._context.now(), server, position.marks, sent_at):
            self._context.log.warning("gossiped_position_rejected", server=link.server.name)

    def finished(self, server: int, asked_at: int, position: ProbeResult | None, sent_at: int, status: str) -> None:
        """A probe of the module is over, asked at ``asked_at`` (ns): the module is told."""
        report = None
        if position is not None:
            report = self._positions.report(server, position, sent_at)
        self._events.handle(api.Probed(server, status, self._context.now() - asked_at, report))

    def _ask_head(self, server: int, then: Callable[[], None]) -> None:
        """Ask the log's head once for all that wait for it at this time."""
        waiting = self._head_askers.get(server)
        if waiting is not None:
            waiting.append(then)
            return
        self._head_askers[server] = [then]
        self.endpoints.links[server].probe(partial(self._head_answered, server))

    def _head_answered(self, server: int, position: ProbeResult | None, sent_at: int, status: str) -> None:
        if position is not None:
            self._positions.observed(server, position, sent_at)
        for each in self._head_askers.pop(server):
            each()
