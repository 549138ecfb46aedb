"""Injected faults that explain a late or missing answer: killed or paused gateways and broken network links.

Built from the rig's own facts: ``process`` (name, what) and ``link`` (from, to, sound). A fault explains lateness and
missing answers only, never a second answer, a write applied twice or a stale read.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable

from yardbank.testing.audit.record import Fact

CLIENTS = "clients"
_DOWN_EVENTS, _UP_EVENTS = frozenset(("kill", "pause")), frozenset(("ready", "resume"))
FOREVER = float("inf")
LEAVING_DELAY_S = 0.4  # longest delay until the rig reads that a gateway shuts down by itself
REQUEST_TRANSIT_S = 0.1  # from a client until a busy gateway reads the request


class FaultPeriods:
    """The periods in which each gateway was down or stopping, and each link was broken."""

    def __init__(self, facts: Iterable[Fact]) -> None:
        self._spans: dict[tuple[str, str], list[list[float]]] = defaultdict(list)
        for fact in facts:
            if fact["kind"] == "process":
                down_key, stopping_key, what = (fact["name"], ""), (fact["name"], "stopping"), fact["what"]
                if what in _DOWN_EVENTS:
                    self._begin(down_key, fact["at"])
                elif what in _UP_EVENTS:
                    self._end(down_key, fact["at"])
                if what in ("terminate", "leaving"):
                    self._begin(stopping_key, fact["at"] - (LEAVING_DELAY_S if what == "leaving" else 0.0))
                elif what == "ready":
                    self._end(stopping_key, fact["at"])
            elif fact["kind"] == "link":
                key = (fact["from"], fact["to"])
                if fact["sound"]:
                    self._end(key, fact["at"])
                else:
                    self._begin(key, fact["at"])

    def _begin(self, key: tuple[str, str], at: float) -> None:
        spans = self._spans[key]
        if not spans or spans[-1][1] != FOREVER:
            spans.append([at, FOREVER])

    def _end(self, key: tuple[str, str], at: float) -> None:
        spans = self._spans[key]
        if spans and spans[-1][1] == FOREVER:
            spans[-1][1] = at

    def _overlaps(self, key: tuple[str, str], since: float, until: float) -> bool:
        return any(begin <= until and end >= since for begin, end in self._spans.get(key, ()))

    def gateway_down(self, gateway: str, since: float, until: float) -> bool:
        """Whether the rig had killed or paused the gateway at any time in this period; a crash does not count."""
        return self._overlaps((gateway, ""), since, until)

    def link_broken(self, a: str, b: str, since: float, until: float) -> bool:
        """Whether the link between two endpoints was broken, in either direction, at any time in this period."""
        return self._overlaps((a, b), since, until) or self._overlaps((b, a), since, until)

    def explains_no_answer(self, gateway: str, since: float, until: float) -> bool:
        """Whether a fault explains that a client got no answer from this gateway in this period."""
        return bool(gateway) and (
            self.gateway_down(gateway, since, until) or self.link_broken(CLIENTS, gateway, since, until)
        )

    def explains_lost_connection(self, gateway: str, since: float, until: float) -> bool:
        """Whether a connection may have been lost before this request, sent at ``since``, was answered.

        True if a fault explains the missing answer, or if the gateway was already stopping when the request arrived:
        it accepts no requests then. The request may have been sent shortly before the stop and arrived after it.
        """
        stopping = self._overlaps((gateway, "stopping"), since, since + REQUEST_TRANSIT_S)
        return bool(gateway) and (stopping or self.explains_no_answer(gateway, since, until))

    def notified_from(self, gateway: str, at: float) -> float:
        """When a gateway can act on a notification of this time: at once, or when it resumes if it was down."""
        for begin, end in self._spans.get((gateway, ""), ()):
            if begin <= at <= end:
                return end
        return at
