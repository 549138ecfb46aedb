"""The fifth rule: no read is answered from data older than its class allows, by a replay of each group's log."""

from __future__ import annotations

from bisect import bisect_right
from collections import defaultdict
from typing import Any

from yardbank.testing.audit.record import Fact
from yardbank.testing.audit.rule import REFERRAL, SUCCESS, Rule, frame, outcome


class _Log:
    """One group's log as the stand-ins recorded it, replayed up to the present fact."""

    def __init__(self) -> None:
        self.order: list[str] = []
        self.at: list[float] = []
        self.place: dict[str, int] = {}  # by change sequence number, counted from 1; of a lost one: what survived
        self.lost: set[str] = set()

    def commit(self, fact: Fact) -> None:
        self.order.append(fact["csn"])
        self.at.append(fact["at"])
        self.place[fact["csn"]] = len(self.order)

    def elect(self, lost: list[str]) -> None:
        keep = len(self.order) - len(lost)
        del self.order[keep:]
        del self.at[keep:]
        for csn in lost:
            self.place[csn] = keep
            self.lost.add(csn)


def no_stale_read(facts: list[Fact]) -> Rule:
    """No read is answered from data older than its class allows."""
    rule = Rule("no stale read")
    logs: dict[str, _Log] = defaultdict(_Log)
    group_of: dict[str, str] = {}
    asked: dict[str, Fact] = {}
    csn_of: dict[str, str] = {}
    wrote: dict[tuple[str, str], list[str]] = defaultdict(
        list
    )  # by session and group: change sequence numbers answered to it
    need: dict[tuple[str, str], list[str]] = {}  # by read and suffix: what its session had been told of by then
    received: dict[str, dict[str, float]] = defaultdict(dict)
    # By read and suffix: the answer, the place reached, commit times.
    shown: dict[tuple[str, str], tuple[Fact, int, list[float]]] = {}
    primaries: dict[str, str] = {}
    deposed_unknown: set[str] = set()  # was primary, and has told no gateway yet that it is none
    for fact in facts:
        kind, tag, server = fact["kind"], fact.get("tag", ""), fact.get("server", "")
        if kind == "applied":
            logs[fact["suffix"]].commit(fact)
            csn_of[tag] = fact["csn"]
            group_of[server], primaries[fact["suffix"]] = fact["suffix"], server
        elif kind == "elected":
            logs[fact["suffix"]].elect(fact["lost"])
            old = primaries.get(fact["suffix"])
            if old and old != server:
                deposed_unknown.add(old)
            deposed_unknown.discard(server)
            primaries[fact["suffix"]] = server
        elif kind == "sent":
            asked[tag] = fact
            for wants in _parts(fact):
                if wants.get("read") == "session":
                    need[tag, wants["suffix"]] = list(wrote[wants["session"], wants["suffix"]])
        elif kind == "received":
            received[tag][server] = fact["at"]
        elif kind == "answered":
            if fact["code"] == REFERRAL or (fact.get("op") == "probe" and fact.get("role") == "copy"):
                deposed_unknown.discard(server)
            if "last" in fact and tag in asked:
                suffix = next((p["suffix"] for p in _parts(asked[tag]) if p["suffix"] == fact.get("suffix")), None)
                if suffix is not None:
                    log = logs[suffix]
                    seen = {**fact, "excused": server in deposed_unknown, "total": len(log.at)}
                    shown[tag, suffix] = (seen, log.place.get(fact["last"], 0), list(log.at[-200:]))
        elif kind == "answer" and outcome(fact["code"]) == "served" and tag in asked:
            wants = asked[tag].get("need", {})
            if wants.get("read") == "write":
                if fact["code"] == SUCCESS and tag in csn_of and wants.get("session"):
                    wrote[wants["session"], asked[tag].get("suffix", "")].append(csn_of[tag])
                continue
            for part in _parts(asked[tag]):
                key = tag, part["suffix"]
                if key in shown:
                    rule.judged += 1
                    lacks = need.get(key, [])
                    rule.found += _staleness(part, asked[tag], shown[key], logs[part["suffix"]], lacks, received[tag])
                elif "parts" in wants and fact["code"] == SUCCESS:
                    rule.found.append(f"success though {part['suffix']} was not asked: {frame(asked[tag])}")
    return rule


def _parts(asked: Fact) -> list[dict[str, Any]]:
    """What a request needs, suffix by suffix; a search that spans groups has a part for each."""
    wants = asked.get("need", {})
    if "parts" in wants:
        return list(wants["parts"])
    return [{**wants, "suffix": asked["suffix"]}] if "suffix" in asked else []


def _staleness(
    wants: dict[str, Any],
    asked: Fact,
    shown: tuple[Fact, int, list[float]],
    log: _Log,
    needed: list[str],
    received: dict[str, float],
) -> list[str]:
    """What one part's answer lacks of what its class must show."""
    answer, place, recent = shown
    if answer["excused"]:
        return []
    if wants.get("read") == "session":
        lacks = [csn for csn in needed if csn not in log.lost and log.place[csn] > place]
        return [f"lacks the session's write {lacks[-1]}: {frame(asked)}; {frame(answer)}"] if lacks else []
    if wants.get("read") not in ("bounded", "fresh"):
        return []
    if wants["read"] == "fresh":
        since = asked["at"]
    else:
        since = received.get(answer["server"], answer["at"]) - wants["staleness"]
    older = answer["total"] - len(recent) + bisect_right(recent, since)
    if older <= place:
        return []
    return [f"lacks {older - place} commits that it must have: {frame(asked)}; {frame(answer)}"]
