"""What a gateway cannot be blamed for: that it was killed or stopped, or that the network was broken on purpose.

Taken from the rig's own facts: ``process`` (name, what) and ``link`` (from, to, sound). An excuse covers lateness and
silence only; nothing excuses a second answer, an effect twice or a stale read.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable

from yardbank.testing.audit.record import Fact

CLIENTS = "clients"
_BEGINS, _ENDS = frozenset(("kill", "pause")), frozenset(("ready", "resume"))
FOREVER = float("inf")
TOLD_LATE = 0.4  # seconds, at most, until the rig has read that a gateway leaves of its own accord
ON_ITS_WAY = 0.1  # seconds from a client to a gateway that has other things to do


class Excuses:
    """Spans of time in which a gateway, or a link, was not as it should be."""

    def __init__(self, facts: Iterable[Fact]) -> None:
        self._spans: dict[tuple[str, str], list[list[float]]] = defaultdict(list)
        for fact in facts:
            if fact["kind"] == "process":
                down, stopping, what = (fact["name"], ""), (fact["name"], "stopping"), fact["what"]
                if what in _BEGINS:
                    self._begin(down, fact["at"])
                elif what in _ENDS:
                    self._end(down, fact["at"])
                if what in ("terminate", "leaving"):
                    self._begin(stopping, fact["at"] - (TOLD_LATE if what == "leaving" else 0.0))
                elif what == "ready":
                    self._end(stopping, fact["at"])
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

    def down(self, gateway: str, since: float, until: float) -> bool:
        """Whether it was killed or paused at any moment of this span; an end of its own accord is no excuse."""
        return self._overlaps((gateway, ""), since, until)

    def way(self, a: str, b: str, since: float, until: float) -> bool:
        """Whether the link between two ends was broken, in either direction, at any moment of this span."""
        return self._overlaps((a, b), since, until) or self._overlaps((b, a), since, until)

    def silence(self, gateway: str, since: float, until: float) -> bool:
        """Whether a client may have had no answer from this gateway in this span."""
        return bool(gateway) and (self.down(gateway, since, until) or self.way(CLIENTS, gateway, since, until))

    def loss(self, gateway: str, since: float, until: float) -> bool:
        """Whether a connection may have gone with this request, sent at ``since``, unanswered.

        As for silence; or it was sent when the gateway had been asked to stop, or so shortly before that it was still
        on its way: it takes nothing more then.
        """
        stopping = self._overlaps((gateway, "stopping"), since, since + ON_ITS_WAY)
        return bool(gateway) and (stopping or self.silence(gateway, since, until))

    def told_from(self, gateway: str, at: float) -> float:
        """From when a gateway can know what it was notified of at this time: when it went on, if stopped then."""
        for begin, end in self._spans.get((gateway, ""), ()):
            if begin <= at <= end:
                return end
        return at
