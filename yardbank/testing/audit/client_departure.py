"""The claim on clients that have gone: nothing of theirs is sent on.

Facts: ``opened`` (client, and the port that it has), ``sent``, ``answer``; from the relays ``reached`` (gateway, port,
``what``: "end" or "abandon", and ``message``): the moment in which a client's end, or its word that it wants no answer,
lay in the gateway's socket; ``begun`` (gateway, server, tag): an attempt, at the time of its first octet.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from yardbank.testing.audit.claims import Finding
from yardbank.testing.audit.lateness import Lateness
from yardbank.testing.audit.record import Fact


@dataclass(slots=True, frozen=True)
class GoneBounds:
    """What is put down to crossing; times in seconds."""

    within: float = 0.1  # an attempt that begins later than this is a case
    cases: int = 3  # from this one on cases are a break
    late: float = 0.3  # a waiting request that is sent on later than this counts for the share
    share: float = 0.25  # of those that waited for their first attempt: more of them is a break
    fewest: int = 5  # and fewer than this are not


def departures(facts: Iterable[Fact]) -> dict[str, Fact]:
    """By tag: the fact that its client had gone, or had cancelled it, while no answer to it had come.

    Where the gateway itself had ended the connection, nothing of the client's reaches it, and nobody has gone.
    """
    at_port: dict[int, str] = {}
    owed: dict[str, dict[str, Fact]] = defaultdict(dict)  # by client and tag
    found: dict[str, Fact] = {}
    for fact in facts:
        kind = fact["kind"]
        if kind == "opened":
            at_port[fact["port"]] = fact["client"]
        elif kind == "sent":
            owed[fact["client"]][fact["tag"]] = fact
        elif kind == "answer":
            owed[fact["client"]].pop(fact["tag"], None)
        elif kind == "reached":
            mine = owed.get(at_port.get(fact["port"], ""), {})
            if fact["what"] == "end":
                found |= {tag: fact for tag in mine if tag not in found}
                mine.clear()
                at_port.pop(fact["port"], None)
            else:
                for tag in [tag for tag, sent in mine.items() if sent["message"] == fact["message"]]:
                    found.setdefault(tag, fact)
                    del mine[tag]
    return found


def gone_clients(facts: Sequence[Fact], bounds: GoneBounds | None = None) -> Finding:
    """Of clients that have gone no attempt begins, first or further; a few that crossed their going are chance."""
    bounds, rig = bounds or GoneBounds(), Lateness(facts)
    gone = departures(facts)
    begun: dict[str, list[Fact]] = defaultdict(list)
    for fact in facts:
        if fact["kind"] == "begun" and fact["tag"] in gone:
            begun[fact["tag"]].append(fact)
    cases: list[Fact] = []
    waiting, late = 0, list[Fact]()
    for tag, end in gone.items():
        attempts = sorted(begun[tag], key=lambda fact: float(fact["at"]))
        times = [rig.earliest(fact["at"]) for fact in attempts]
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
