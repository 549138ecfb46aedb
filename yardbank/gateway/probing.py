"""Asking servers where they stand, and along with them the one that tells where the log's head is."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from functools import partial
from typing import Any

from yardbank import interface as api
from yardbank.gateway.api import ProbeResult
from yardbank.gateway.core import Told
from yardbank.gateway.link import Way
from yardbank.gateway.passed import well_formed
from yardbank.gateway.reach import Reach
from yardbank.timeline import Vector

MAX_ASKERS = 64  # that wait for one server's answer


class Probing(Reach):
    """Probes: one question at a server for all that wait for its answer at a time."""

    # What others that know of the fleet call

    def ask(self, server: str, then: Told) -> None:
        """Ask a server where it stands; ``then`` is called once, perhaps at once, but not after the gateway stopped.

        It gets the position (None: no answer that makes sense), when the question went out (ns), and the status. One
        question is out at a server at a time; who asks meanwhile is told the same.
        """
        number = self._servers.get(server, 0)
        way, now = self._ways.get(number), self._clock.now()
        if way is None or self.stopping:
            then(None, now, "moot")
            return
        if (waiting := self._askers.get(number)) is not None:
            if len(waiting) >= MAX_ASKERS:
                self.asks_left_out += 1
                then(None, now, "full")
            else:
                waiting.append(then)
            return
        self._askers[number] = [then]

        def arrived(position: ProbeResult | None, sent_at: int, status: str) -> None:
            if self._ways.get(number) is not way:  # it has moved or left meanwhile
                position, status = None, "moot"
            if position is not None:
                self._told(number, way, position, sent_at)
            for each in self._askers.pop(number, []):
                try:
                    each(position, sent_at, status)
                except Exception as problem:  # one asker's error is not the others'
                    self.log.error("listener_error", server=server, error=repr(problem), exc_info=True)

        way.probe(arrived)
        self._watch_idle()

    def told_position(self, server: str, started: int, marks: Vector, checked: bool = False) -> bool:
        """Marks of a server that another gateway passed on; whether they proved a later position than was known.

        ``started`` is the start that they are of (``ServerSpec.start``): another than the listed one, and they are
        nobody's. They are placed on this gateway's own timeline, and never tell where the log's head is. ``checked``:
        the caller has asked the server itself and goes on doing so; otherwise this gateway does, before it takes any.
        """
        spec, now = self._specs.get(server), self._clock.now()
        if spec is None or spec.start != started or self.stopping:
            return False
        number = self._servers[server]
        if self._positions.leads(number):  # it stands where the log does: this gateway asks it itself
            return False
        if not checked:
            taken = self._passed.take(now, number, started, marks)
            if self._passed.due(now, number):
                self.ask(server, lambda position, sent_at, status: None)
            if not taken:
                return False
        elif not well_formed(marks):
            return False
        try:
            position = self._positions.proved(number, marks)
        except TypeError:  # marks of other kinds than its group's
            return False
        known = self._router.servers.get(number)
        if position is None or known is None or position <= known.position:
            return False
        self._handle(api.PositionGossiped(number, api.Report(position)))
        return True

    def told_ways(self, ways: Sequence[tuple[str, int, int]]) -> None:
        """What ways to other zones cost from now on; see ``interface.ZoneLatencies``.

        Raises its ``ValueError``.
        """
        told = api.ZoneLatencies(tuple(ways))
        if told.ways != self._told_ways:
            self._told_ways = told.ways
            self._handle(told)

    # Questions

    def _told(self, server: int, way: Way, position: ProbeResult, sent_at: int) -> None:
        """What a server said itself: its place on the timeline, and whether others' word of it holds."""
        self._positions.told(server, position, sent_at)
        if self._ways.get(server) is way:  # else it has moved meanwhile
            if not self._passed.seen(self._clock.now(), server, position.marks, sent_at):
                self.log.warning("passed_marks_false", server=way.server.name)

    def _probe(self, server: int) -> None:
        """Ask a server, and along with it the one that tells where the log's head is."""
        self._catch_up()
        way = self._ways.get(server)
        if way is None:
            self._events.append(api.Probed(server, "connect_failed", 0))
            return
        asked_at = self._clock.now()
        got: dict[str, Any] = {"waiting": 1}

        def arrived(at: Way, position: ProbeResult | None, sent_at: int, status: str) -> None:
            there = self._ways.get(server)
            if position is None and there is not None and there is not at:  # it has moved: it is asked there
                there.probe(partial(arrived, there))
                return
            got.update(position=position, sent_at=sent_at, status=status)
            if position is not None:
                self._told(server, at, position, sent_at)
            one_less()

        def one_less() -> None:
            got["waiting"] -= 1
            if got["waiting"]:
                return
            position, report = got["position"], None
            if position is not None:
                report = self._positions.report(server, position, got["sent_at"])
            self._handle(api.Probed(server, got["status"], self._clock.now() - asked_at, report))

        reference = self._positions.reference(server)
        if reference is not None and reference in self._ways:
            got["waiting"] += 1
            self._ask_reference(reference, one_less)
        way.probe(partial(arrived, way))
        self._watch_idle()

    def _ask_reference(self, server: int, then: Callable[[], None]) -> None:
        """Ask the log's head once for all that wait for it at this time."""
        if (waiting := self._references.get(server)) is not None:
            waiting.append(then)
            return
        self._references[server] = [then]

        def arrived(position: ProbeResult | None, sent_at: int, status: str) -> None:
            if position is not None:
                self._positions.told(server, position, sent_at)
            for each in self._references.pop(server):
                each()

        self._ways[server].probe(arrived)
