"""The claim on drains: a change of the list counts as told so long after discovery had it and could be reached.

Facts: ``listed`` (gateway, server, state): discovery had this for the gateway; ``told``: it was written to it;
``discovery`` (gateway, reached): whether the gateway could reach it; ``begun`` (gateway, server, op): an attempt, at
the time of its first octet.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from yardbank.testing.audit.claims import Finding
from yardbank.testing.audit.excuses import FOREVER, Excuses
from yardbank.testing.audit.lateness import Lateness
from yardbank.testing.audit.record import Fact


@dataclass(slots=True, frozen=True)
class ToldBounds:
    """In seconds."""

    bound: float = 6.0  # from when discovery had a change and could be reached, unless it was written sooner
    grace: float = 0.5  # beyond that, for a drain


@dataclass(slots=True)
class Drain:
    """A server that drains or is gone, as one gateway has to know it."""

    listed: Fact
    written: float = FOREVER
    until: float = FOREVER  # when discovery had it ready again


def drains(facts: Iterable[Fact]) -> dict[tuple[str, str], list[Drain]]:
    """By gateway and server, in order. Another word for the same, such as gone after draining, begins none anew."""
    found: dict[tuple[str, str], list[Drain]] = defaultdict(list)
    for fact in facts:
        if fact["kind"] not in ("listed", "told"):
            continue
        mine = found[fact.get("gateway", ""), fact["server"]]
        open_ = mine[-1] if mine and mine[-1].until == FOREVER else None
        if fact["kind"] == "listed" and fact["state"] == "ready":
            if open_ is not None:
                open_.until = fact["at"]
        elif fact["kind"] == "listed" and open_ is None:
            mine.append(Drain(fact))
        elif fact["kind"] == "told" and fact["state"] != "ready" and open_ is not None:
            open_.written = min(open_.written, fact["at"])
    return found


def reachable_from(facts: Iterable[Fact], gateway: str, at: float) -> float:
    """The first time from ``at`` on at which discovery could be reached; it can, unless a fact says otherwise."""
    reached = True
    for fact in facts:
        if fact["kind"] != "discovery" or fact["gateway"] != gateway:
            continue
        if fact["at"] > at and reached:
            return at
        reached = fact["reached"]
        if reached and fact["at"] > at:
            return float(fact["at"])
    return at if reached else FOREVER


def told_in_time(facts: Sequence[Fact], bounds: ToldBounds | None = None) -> Finding:
    """No attempt begins to a server that drains, later than its grace after the gateway counts as told.

    A gateway that was stopped or down as it would count as told does so when it goes on. Probes are no work.
    """
    bounds, excuses, rig = bounds or ToldBounds(), Excuses(facts), Lateness(facts)
    news = [fact for fact in facts if fact["kind"] == "discovery"]
    begun: dict[tuple[str, str], list[Fact]] = defaultdict(list)
    for fact in facts:
        if fact["kind"] == "begun" and fact["op"] != "probe":
            begun[fact["gateway"], fact["server"]].append(fact)
    judged, broken = 0, list[tuple[Fact, Drain, float]]()
    for (gateway, server), found in drains(facts).items():
        for drain in found:
            since = drain.listed["at"]
            told = min(reachable_from(news, gateway, since) + bounds.bound, drain.written)
            if told == FOREVER:
                continue
            judged += 1
            due = excuses.told_from(gateway, told) + bounds.grace
            broken += [
                (fact, drain, told)
                for fact in begun[gateway, server]
                if due < rig.earliest(fact["at"]) and fact["at"] < drain.until
            ]
    if not broken:
        return Finding(judged > 0, f"{judged} drains kept")
    fact, drain, told = min(broken, key=lambda one: float(one[0]["at"]))
    text = (
        f"{fact['gateway']} sends {fact.get('tag') or fact['op']} to {fact['server']} {fact['at'] - told:.3f} s "
        f"after it counts as told that it is {drain.listed['state']}; {len(broken)} such attempts"
    )
    return Finding(False, text, fact)
