"""The fifth rule: no read is answered from data older than its class allows, by a replay of each group's log."""

from __future__ import annotations

from bisect import bisect_right
from collections import defaultdict
from dataclasses import dataclass
from typing import Any

from yardbank.testing.audit.record import Fact
from yardbank.testing.audit.rule import REFERRAL, SUCCESS, Rule, frame, outcome

MAX_RECENT = 200  # commits whose times are kept with an answer


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


@dataclass(slots=True)
class _Shown:
    """What one answer of a server showed of a group's log."""

    answer: Fact
    excused: bool  # it was primary, and had told no gateway yet that it is none any more
    place: int  # the place in the log that it had reached
    committed: int  # how many commits there were
    recent: list[float]  # when the last of them were


class _Replay:
    """A record replayed fact by fact: the groups' logs, what sessions were told of, what servers showed."""

    def __init__(self, rule: Rule) -> None:
        self._rule = rule
        self._logs: dict[str, _Log] = defaultdict(_Log)
        self._asked: dict[str, Fact] = {}
        self._csn_of: dict[str, str] = {}
        # By session and group: change sequence numbers answered to it.
        self._wrote: dict[tuple[str, str], list[str]] = defaultdict(list)
        # By read and suffix: what its session had been told of by then.
        self._needed: dict[tuple[str, str], list[str]] = {}
        self._received: dict[str, dict[str, float]] = defaultdict(dict)
        self._shown: dict[tuple[str, str], _Shown] = {}
        self._primaries: dict[str, str] = {}
        self._deposed_unknown: set[str] = set()  # was primary, and has told no gateway yet that it is none

    def take(self, fact: Fact) -> None:
        """The next fact of the record."""
        match fact["kind"]:
            case "applied":
                self._applied(fact)
            case "elected":
                self._elected(fact)
            case "sent":
                self._sent(fact)
            case "received":
                self._received[fact.get("tag", "")][fact.get("server", "")] = fact["at"]
            case "answered":
                self._answered_by_server(fact)
            case "answer":
                self._answered(fact)

    def _applied(self, fact: Fact) -> None:
        self._logs[fact["suffix"]].commit(fact)
        self._csn_of[fact.get("tag", "")] = fact["csn"]
        self._primaries[fact["suffix"]] = fact.get("server", "")

    def _elected(self, fact: Fact) -> None:
        server = fact.get("server", "")
        self._logs[fact["suffix"]].elect(fact["lost"])
        old = self._primaries.get(fact["suffix"])
        if old and old != server:
            self._deposed_unknown.add(old)
        self._deposed_unknown.discard(server)
        self._primaries[fact["suffix"]] = server

    def _sent(self, fact: Fact) -> None:
        tag = fact.get("tag", "")
        self._asked[tag] = fact
        for wants in _parts(fact):
            if wants.get("read") == "session":
                self._needed[tag, wants["suffix"]] = list(self._wrote[wants["session"], wants["suffix"]])

    def _answered_by_server(self, fact: Fact) -> None:
        tag, server = fact.get("tag", ""), fact.get("server", "")
        if fact["code"] == REFERRAL or (fact.get("op") == "probe" and fact.get("role") == "copy"):
            self._deposed_unknown.discard(server)
        if "last" not in fact or tag not in self._asked:
            return
        suffix = fact.get("suffix")
        if suffix is None or all(part["suffix"] != suffix for part in _parts(self._asked[tag])):
            return
        log = self._logs[suffix]
        self._shown[tag, suffix] = _Shown(
            answer=fact,
            excused=server in self._deposed_unknown,
            place=log.place.get(fact["last"], 0),
            committed=len(log.at),
            recent=log.at[-MAX_RECENT:],
        )

    def _answered(self, fact: Fact) -> None:
        tag = fact.get("tag", "")
        if outcome(fact["code"]) != "served" or tag not in self._asked:
            return
        asked = self._asked[tag]
        wants = asked.get("need", {})
        if wants.get("read") == "write":
            if fact["code"] == SUCCESS and tag in self._csn_of and wants.get("session"):
                self._wrote[wants["session"], asked.get("suffix", "")].append(self._csn_of[tag])
            return
        for part in _parts(asked):
            suffix = part["suffix"]
            if (shown := self._shown.get((tag, suffix))) is not None:
                self._rule.judged += 1
                needed = self._needed.get((tag, suffix), [])
                self._rule.found += _staleness(part, asked, shown, self._logs[suffix], needed, self._received[tag])
            elif "parts" in wants and fact["code"] == SUCCESS:
                self._rule.found.append(f"success though {suffix} was not asked: {frame(asked)}")


def no_stale_read(facts: list[Fact]) -> Rule:
    """No read is answered from data older than its class allows."""
    rule = Rule("no stale read")
    replay = _Replay(rule)
    for fact in facts:
        replay.take(fact)
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
    shown: _Shown,
    log: _Log,
    needed: list[str],
    received: dict[str, float],
) -> list[str]:
    """What one part's answer lacks of what its class must show."""
    if shown.excused:
        return []
    answer = shown.answer
    if wants.get("read") == "session":
        lacks = [csn for csn in needed if csn not in log.lost and log.place[csn] > shown.place]
        return [f"lacks the session's write {lacks[-1]}: {frame(asked)}; {frame(answer)}"] if lacks else []
    if wants.get("read") not in ("bounded", "fresh"):
        return []
    if wants["read"] == "fresh":
        since = asked["at"]
    else:
        since = received.get(answer["server"], answer["at"]) - wants["staleness"]
    older = shown.committed - len(shown.recent) + bisect_right(shown.recent, since)
    if older <= shown.place:
        return []
    return [f"lacks {older - shown.place} commits that it must have: {frame(asked)}; {frame(answer)}"]
