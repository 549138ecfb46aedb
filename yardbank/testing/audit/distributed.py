"""The claim on the distributed server list, from the versions that gateways announce in their datagrams.

Facts: ``holds`` (gateway, epoch, number, digest), a version that the gateway announced; ``process`` (name, what) and
``link`` (from, to, sound), when a gateway ran and was reachable; ``step`` (name, phase), when a list was published.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from yardbank.testing.audit.claims import Finding
from yardbank.testing.audit.record import Fact

HOLD_DEADLINE_S = 7.0  # seconds
FOREVER = float("inf")
ListVersion = tuple[int, int]  # epoch and number of a list version


@dataclass(slots=True)
class Span:
    """A period in which a gateway did not run or one of its links was broken."""

    begin: float
    end: float = FOREVER


class _Disturbances:
    """The spans of each gateway, in order of their beginnings."""

    def __init__(self, gateways: Sequence[str]) -> None:
        self.found: dict[str, list[Span]] = {name: [] for name in gateways}
        self._open: dict[tuple[str, str], Span] = {}  # by gateway and cause

    def update(self, name: str, cause: str, at: float, sound: bool) -> None:
        """Begins or ends the span of this cause; names that are not gateways are ignored."""
        if name not in self.found:
            return
        if sound and (span := self._open.pop((name, cause), None)) is not None:
            span.end = at
        elif not sound and (name, cause) not in self._open:
            span = self._open[name, cause] = Span(at)
            self.found[name].append(span)


def disturbed(facts: Iterable[Fact], gateways: Sequence[str]) -> dict[str, list[Span]]:
    """The spans of each gateway, in order of their beginnings. A broken link counts for both of its endpoints."""
    disturbances = _Disturbances(gateways)
    found = disturbances.found
    for fact in facts:
        if fact["kind"] == "process":
            if fact["what"] in ("start", "kill", "terminate", "pause", "ended", "leaving"):
                disturbances.update(fact["name"], "process", fact["at"], False)
            elif fact["what"] in ("ready", "resume"):
                disturbances.update(fact["name"], "process", fact["at"], True)
        elif fact["kind"] == "link" and fact["from"] in found and fact["to"] in found:
            for name in (fact["from"], fact["to"]):
                disturbances.update(name, f"{fact['from']}>{fact['to']}", fact["at"], fact["sound"])
    return found


def due(at: float, within: float, spans: Sequence[Span]) -> float:
    """When a gateway must hold a version first held at ``at``; the period restarts when each disturbance ends."""
    until = at + within
    for span in sorted(spans, key=lambda span: span.end):
        if span.begin < until and span.end > at:
            until = max(until, span.end + within)
    return until


def distributed(
    facts: Sequence[Fact], gateways: Sequence[str], published: Sequence[str], within: float = HOLD_DEADLINE_S
) -> Finding:
    """Checks that versions never go back in one run, have one content each, and reach every reachable gateway in time.

    ``published``: steps that publish a list; the last of them must have created a new version.
    """
    held: dict[str, list[tuple[float, ListVersion]]] = defaultdict(list)
    digests: dict[ListVersion, Fact] = {}
    first: dict[ListVersion, Fact] = {}
    last: dict[str, ListVersion] = {}
    load_end = next((fact["at"] for fact in facts if fact["kind"] == "load_over"), FOREVER)
    for fact in facts:
        if fact["kind"] == "process" and fact["what"] == "start":
            last.pop(fact["name"], None)
        if fact["kind"] != "holds" or fact["at"] > load_end:
            continue
        name, version = fact["gateway"], (fact["epoch"], fact["number"])
        if version < last.get(name, (0, 0)):
            return Finding(
                False, f"{name} goes back from {_format_version(last[name])} to {_format_version(version)}", fact
            )
        other = digests.setdefault(version, fact)
        if other["digest"] != fact["digest"]:
            return Finding(
                False, f"{name} and {other['gateway']} hold {_format_version(version)} with other contents", fact
            )
        last[name] = version
        first.setdefault(version, fact)
        held[name].append((fact["at"], version))
    return _held_in_time(
        facts, gateways, published, within, held, {v: f for v, f in first.items() if v != (0, 0)}, load_end
    )


def _held_in_time(
    facts: Sequence[Fact],
    gateways: Sequence[str],
    published: Sequence[str],
    within: float,
    held: dict[str, list[tuple[float, ListVersion]]],
    first: dict[ListVersion, Fact],
    load_end: float,
) -> Finding:
    """Checks the time at which each gateway held each version."""
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
            if until > load_end:
                continue
            judged += 1
            when = next((at for at, other in held[name] if other >= version and at >= fact["at"]), FOREVER)
            if when > until:
                text = f"{name} does not hold {_format_version(version)} {within:g} s after it could have been told"
                return Finding(False, text, fact)
            if until == fact["at"] + within:  # no disturbance extended the time
                worst = max(worst, when - fact["at"])
    seen = f"{len(first)} versions, {judged} times held in time, at the latest {worst:.2f} s after the first"
    return Finding(judged > 0, seen)


def _format_version(version: ListVersion) -> str:
    return f"{version[0]}.{version[1]}"
