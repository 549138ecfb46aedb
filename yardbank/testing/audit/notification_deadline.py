"""The claim on drains: gateways stop sending to a draining server once they count as notified.

A gateway counts as notified at a fixed time after discovery has the change and is reachable, or when the change is
sent to it, if that is sooner. Facts: ``listed`` (gateway, server, state), discovery has this state for the gateway;
``told``, it was sent to the gateway; ``discovery`` (gateway, reached), whether the gateway can reach discovery;
``begun`` (gateway, server, op), the first octet of an attempt.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from yardbank.testing.audit.claims import Finding
from yardbank.testing.audit.excuses import FOREVER, FaultPeriods
from yardbank.testing.audit.lateness import RigDelays
from yardbank.testing.audit.record import Fact


@dataclass(slots=True, frozen=True)
class NotificationBounds:
    """In seconds."""

    bound: float = 6.0  # after discovery has a change and is reachable, unless it is sent sooner
    grace: float = 0.5  # after the notification, until attempts must stop


@dataclass(slots=True)
class Drain:
    """One drain or removal of a server, as one gateway is notified of it."""

    listed: Fact
    sent_at: float = FOREVER
    until: float = FOREVER  # when discovery listed it as ready again


def drains_by_server(facts: Iterable[Fact]) -> dict[tuple[str, str], list[Drain]]:
    """By gateway and server, in order. A further state with no "ready" before it, such as gone, continues the drain."""
    found: dict[tuple[str, str], list[Drain]] = defaultdict(list)
    for fact in facts:
        if fact["kind"] not in ("listed", "told"):
            continue
        of_server = found[fact.get("gateway", ""), fact["server"]]
        open_ = of_server[-1] if of_server and of_server[-1].until == FOREVER else None
        if fact["kind"] == "listed" and fact["state"] == "ready":
            if open_ is not None:
                open_.until = fact["at"]
        elif fact["kind"] == "listed" and open_ is None:
            of_server.append(Drain(fact))
        elif fact["kind"] == "told" and fact["state"] != "ready" and open_ is not None:
            open_.sent_at = min(open_.sent_at, fact["at"])
    return found


def reachable_from(facts: Iterable[Fact], gateway: str, at: float) -> float:
    """The first time from ``at`` on at which discovery is reachable; it is, unless a fact says otherwise."""
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


def drains_notified_in_time(facts: Sequence[Fact], bounds: NotificationBounds | None = None) -> Finding:
    """Checks that no attempt to a draining server begins later than the grace period after the notification.

    A gateway that is paused or down at that time counts as notified when it resumes. Probes are exempt.
    """
    bounds, fault_periods, rig_delays = bounds or NotificationBounds(), FaultPeriods(facts), RigDelays(facts)
    news = [fact for fact in facts if fact["kind"] == "discovery"]
    begun: dict[tuple[str, str], list[Fact]] = defaultdict(list)
    for fact in facts:
        if fact["kind"] == "begun" and fact["op"] != "probe":
            begun[fact["gateway"], fact["server"]].append(fact)
    judged, broken = 0, list[tuple[Fact, Drain, float]]()
    for (gateway, server), found in drains_by_server(facts).items():
        for drain in found:
            since = drain.listed["at"]
            notified_at = min(reachable_from(news, gateway, since) + bounds.bound, drain.sent_at)
            if notified_at == FOREVER:
                continue
            judged += 1
            due = fault_periods.notified_from(gateway, notified_at) + bounds.grace
            broken += [
                (fact, drain, notified_at)
                for fact in begun[gateway, server]
                if due < rig_delays.earliest_time(fact["at"]) and fact["at"] < drain.until
            ]
    if not broken:
        return Finding(judged > 0, f"{judged} drains kept")
    fact, drain, notified_at = min(broken, key=lambda one: float(one[0]["at"]))
    text = (
        f"{fact['gateway']} sends {fact.get('tag') or fact['op']} to {fact['server']} {fact['at'] - notified_at:.3f} s "
        f"after it counts as told that it is {drain.listed['state']}; {len(broken)} such attempts"
    )
    return Finding(False, text, fact)
