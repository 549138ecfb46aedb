"""The claim on the distributed list: what gateways say that they hold, from the datagrams that crossed.

Facts: ``holds`` (gateway, epoch, number, digest): it announced this version; ``process`` (name, what) and ``link``
(from, to, sound): when a gateway ran and could be reached; ``step`` (name, phase): when a list was put up.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from yardbank.testing.audit.claims import Finding
from yardbank.testing.audit.record import Fact

WITHIN = 7.0  # seconds
FOREVER = float("inf")
Held = tuple[int, int]  # epoch and number of a version


@dataclass(slots=True)
class Span:
    """A time in which a gateway did not run, or a link to it was not sound."""

    begin: float
    end: float = FOREVER


class _Disturbances:
    """Spans by gateway, in order of their beginnings."""

    def __init__(self, gateways: Sequence[str]) -> None:
        self.found: dict[str, list[Span]] = {name: [] for name in gateways}
        self._open: dict[tuple[str, str], Span] = {}  # by gateway and cause

    def turn(self, name: str, cause: str, at: float, sound: bool) -> None:
        """Begin or end the span that this cause holds open; a name that is no gateway is passed over."""
        if name not in self.found:
            return
        if sound and (span := self._open.pop((name, cause), None)) is not None:
            span.end = at
        elif not sound and (name, cause) not in self._open:
            span = self._open[name, cause] = Span(at)
            self.found[name].append(span)


def disturbed(facts: Iterable[Fact], gateways: Sequence[str]) -> dict[str, list[Span]]:
    """By gateway, in order of their beginnings. A link counts for both of its ends."""
    disturbances = _Disturbances(gateways)
    found = disturbances.found
    for fact in facts:
        if fact["kind"] == "process":
            if fact["what"] in ("start", "kill", "terminate", "pause", "ended", "leaving"):
                disturbances.turn(fact["name"], "process", fact["at"], False)
            elif fact["what"] in ("ready", "resume"):
                disturbances.turn(fact["name"], "process", fact["at"], True)
        elif fact["kind"] == "link" and fact["from"] in found and fact["to"] in found:
            for name in (fact["from"], fact["to"]):
                disturbances.turn(name, f"{fact['from']}>{fact['to']}", fact["at"], fact["sound"])
    return found


def due(at: float, within: float, spans: Sequence[Span]) -> float:
    """When one must hold what was first held at ``at``: the time begins anew with the end of each disturbance."""
    until = at + within
    for span in sorted(spans, key=lambda span: span.end):
        if span.begin < until and span.end > at:
            until = max(until, span.end + within)
    return until


def distributed(
    facts: Sequence[Fact], gateways: Sequence[str], published: Sequence[str], within: float = WITHIN
) -> Finding:
    """Versions never go back in one run, one version is one content, and whoever can be reached holds each in time.

    ``published``: steps by which a list was put up; the last of them must have brought a version of its own.
    """
    held: dict[str, list[tuple[float, Held]]] = defaultdict(list)
    digests: dict[Held, Fact] = {}
    first: dict[Held, Fact] = {}
    last: dict[str, Held] = {}
    over = next((fact["at"] for fact in facts if fact["kind"] == "load_over"), FOREVER)
    for fact in facts:
        if fact["kind"] == "process" and fact["what"] == "start":
            last.pop(fact["name"], None)
        if fact["kind"] != "holds" or fact["at"] > over:
            continue
        name, version = fact["gateway"], (fact["epoch"], fact["number"])
        if version < last.get(name, (0, 0)):
            return Finding(False, f"{name} goes back from {_shown(last[name])} to {_shown(version)}", fact)
        other = digests.setdefault(version, fact)
        if other["digest"] != fact["digest"]:
            return Finding(False, f"{name} and {other['gateway']} hold {_shown(version)} with other contents", fact)
        last[name] = version
        first.setdefault(version, fact)
        held[name].append((fact["at"], version))
    return _in_time(facts, gateways, published, within, held, {v: f for v, f in first.items() if v != (0, 0)}, over)


def _in_time(
    facts: Sequence[Fact],
    gateways: Sequence[str],
    published: Sequence[str],
    within: float,
    held: dict[str, list[tuple[float, Held]]],
    first: dict[Held, Fact],
    over: float,
) -> Finding:
    """The rest of the claim: who held each version by when."""
    steps = [
        fact for fact in facts if fact["kind"] == "step" and fact["phase"] == "begin" and fact["name"] in published
    ]
    newest = max(first, default=(0, 0))
    if not first or (steps and first[newest]["at"] < steps[-1]["at"]):
        return Finding(False, "what was put up last was never published", steps[-1] if steps else None)
    spans = disturbed(facts, gateways)
    judged, worst = 0, 0.0
    for version, fact in sorted(first.items()):
        for name in gateways:
            until = due(fact["at"], within, spans[name])
            if until > over:
                continue
            judged += 1
            when = next((at for at, other in held[name] if other >= version and at >= fact["at"]), FOREVER)
            if when > until:
                text = f"{name} does not hold {_shown(version)} {within:g} s after it could have been told"
                return Finding(False, text, fact)
            if until == fact["at"] + within:  # nothing stood in its way
                worst = max(worst, when - fact["at"])
    seen = f"{len(first)} versions, {judged} times held in time, at the latest {worst:.2f} s after the first"
    return Finding(judged > 0, seen)


def _shown(version: Held) -> str:
    return f"{version[0]}.{version[1]}"
