"""The claim on departed clients: their requests are not sent to servers any more.

Facts: ``opened`` (client and its port), ``sent``, ``answer``; from the relays ``reached`` (gateway, port, ``what``:
"end" or "abandon", and ``message``), the time at which a client's end of stream or its cancellation was delivered to
the gateway's socket; and ``begun`` (gateway, server, tag), the first octet of an attempt.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from yardbank.testing.audit.claims import Finding
from yardbank.testing.audit.lateness import RigDelays
from yardbank.testing.audit.record import Fact


@dataclass(slots=True, frozen=True)
class DepartureBounds:
    """Tolerances for attempts that cross with the client's departure; times in seconds."""

    within: float = 0.1  # an attempt that begins later than this after the departure counts as a case
    cases: int = 3  # this many cases, or more, violate the claim
    late: float = 0.3  # a waiting request first sent later than this counts for the share
    share: float = 0.25  # a greater share of the requests that waited for their first attempt is a violation
    fewest: int = 5  # but fewer late requests than this are not


def departures(facts: Iterable[Fact]) -> dict[str, Fact]:
    """By tag of each unanswered request: the fact that its client departed or cancelled it.

    Where the gateway itself closed the connection no end of stream reaches it, so the client did not depart.
    """
    at_port: dict[int, str] = {}
    unanswered: dict[str, dict[str, Fact]] = defaultdict(dict)  # by client and tag
    found: dict[str, Fact] = {}
    for fact in facts:
        kind = fact["kind"]
        if kind == "opened":
            at_port[fact["port"]] = fact["client"]
        elif kind == "sent":
            unanswered[fact["client"]][fact["tag"]] = fact
        elif kind == "answer":
            unanswered[fact["client"]].pop(fact["tag"], None)
        elif kind == "reached":
            of_client = unanswered.get(at_port.get(fact["port"], ""), {})
            if fact["what"] == "end":
                found |= {tag: fact for tag in of_client if tag not in found}
                of_client.clear()
                at_port.pop(fact["port"], None)
            else:
                for tag in [tag for tag, sent in of_client.items() if sent["message"] == fact["message"]]:
                    found.setdefault(tag, fact)
                    del of_client[tag]
    return found


def gone_clients(facts: Sequence[Fact], bounds: DepartureBounds | None = None) -> Finding:
    """Checks that no attempt, first or repeated, begins for departed clients. A few may cross with the departure."""
    bounds, rig_delays = bounds or DepartureBounds(), RigDelays(facts)
    gone = departures(facts)
    begun: dict[str, list[Fact]] = defaultdict(list)
    for fact in facts:
        if fact["kind"] == "begun" and fact["tag"] in gone:
            begun[fact["tag"]].append(fact)
    cases: list[Fact] = []
    waiting, late = 0, list[Fact]()
    for tag, end in gone.items():
        attempts = sorted(begun[tag], key=lambda fact: float(fact["at"]))
        times = [rig_delays.earliest_time(fact["at"]) for fact in attempts]
        cases += [fact for at, fact in zip(times, attempts, strict=True) if at > end["at"] + bounds.within]
        if times and times[0] <= end["at"]:
            continue
        waiting += 1
        if times and times[0] > end["at"] + bounds.late:
            late.append(attempts[0])
    cases.sort(key=lambda fact: float(fact["at"]))
    seen = (
        f"{len(gone)} requests of clients that had gone: {len(cases)} attempts more than {bounds.within:g} s "
        f"later; {waiting} waited for their first, {len(late)} sent on more than {bounds.late:g} s later"
    )
    if len(cases) >= bounds.cases:
        worst = cases[bounds.cases - 1]
        return Finding(False, f"{seen}; {worst['tag']} by {worst['gateway']} to {worst['server']}", worst)
    if len(late) >= bounds.fewest and len(late) > bounds.share * waiting:
        return Finding(False, f"{seen}; {late[0]['tag']} by {late[0]['gateway']} to {late[0]['server']}", late[0])
    return Finding(bool(gone), seen)
