"""The fifth rule: no read is answered from data older than its class allows. Replays the commit log of each group."""

from __future__ import annotations

from bisect import bisect_right
from collections import defaultdict
from dataclasses import dataclass
from typing import Any

from yardbank.testing.audit.record import Fact
from yardbank.testing.audit.rule import REFERRAL, SUCCESS, Rule, format_fact, outcome

MAX_RECENT_COMMITS = 200  # latest commits whose times are kept with each answer


class _GroupLog:
    """One group's commit log as the stand-in servers recorded it, replayed up to the current fact."""

    def __init__(self) -> None:
        self.csns: list[str] = []
        self.commit_times: list[float] = []
        # By change sequence number, from 1; for a lost commit, the last that survived.
        self.position: dict[str, int] = {}
        self.lost: set[str] = set()

    def append_commit(self, fact: Fact) -> None:
        self.csns.append(fact["csn"])
        self.commit_times.append(fact["at"])
        self.position[fact["csn"]] = len(self.csns)

    def truncate(self, lost: list[str]) -> None:
        keep = len(self.csns) - len(lost)
        del self.csns[keep:]
        del self.commit_times[keep:]
        for csn in lost:
            self.position[csn] = keep
            self.lost.add(csn)


@dataclass(slots=True)
class _VisibleState:
    """How much of a group's log was visible in one server's answer."""

    answer: Fact
    deposed_unknown: bool  # a deposed primary that no gateway could know of yet
    position: int  # the last commit that the server had applied
    commit_count: int  # commits in the log at that time
    recent_commit_times: list[float]  # times of the latest of them


class _Replay:
    """Replays a record: the logs of groups, the writes acknowledged to sessions, the state shown in answers."""

    def __init__(self, rule: Rule) -> None:
        self._rule = rule
        self._logs: dict[str, _GroupLog] = defaultdict(_GroupLog)
        self._requests: dict[str, Fact] = {}
        self._csn_of: dict[str, str] = {}
        # By session and group: change sequence numbers of acknowledged writes.
        self._acknowledged: dict[tuple[str, str], list[str]] = defaultdict(list)
        # By read and suffix: the writes acknowledged to its session before it was sent.
        self._required_writes: dict[tuple[str, str], list[str]] = {}
        self._received: dict[str, dict[str, float]] = defaultdict(dict)
        self._visible: dict[tuple[str, str], _VisibleState] = {}
        self._primaries: dict[str, str] = {}
        self._deposed_unknown: set[str] = set()  # deposed primaries that have not yet told any gateway

    def process(self, fact: Fact) -> None:
        """Processes the next fact of the record."""
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
        self._logs[fact["suffix"]].append_commit(fact)
        self._csn_of[fact.get("tag", "")] = fact["csn"]
        self._primaries[fact["suffix"]] = fact.get("server", "")

    def _elected(self, fact: Fact) -> None:
        server = fact.get("server", "")
        self._logs[fact["suffix"]].truncate(fact["lost"])
        old = self._primaries.get(fact["suffix"])
        if old and old != server:
            self._deposed_unknown.add(old)
        self._deposed_unknown.discard(server)
        self._primaries[fact["suffix"]] = server

    def _sent(self, fact: Fact) -> None:
        tag = fact.get("tag", "")
        self._requests[tag] = fact
        for need in _parts(fact):
            if need.get("read") == "session":
                self._required_writes[tag, need["suffix"]] = list(self._acknowledged[need["session"], need["suffix"]])

    def _answered_by_server(self, fact: Fact) -> None:
        tag, server = fact.get("tag", ""), fact.get("server", "")
        if fact["code"] == REFERRAL or (fact.get("op") == "probe" and fact.get("role") == "copy"):
            self._deposed_unknown.discard(server)
        if "last" not in fact or tag not in self._requests:
            return
        suffix = fact.get("suffix")
        if suffix is None or all(part["suffix"] != suffix for part in _parts(self._requests[tag])):
            return
        log = self._logs[suffix]
        self._visible[tag, suffix] = _VisibleState(
            answer=fact,
            deposed_unknown=server in self._deposed_unknown,
            position=log.position.get(fact["last"], 0),
            commit_count=len(log.commit_times),
            recent_commit_times=log.commit_times[-MAX_RECENT_COMMITS:],
        )

    def _answered(self, fact: Fact) -> None:
        tag = fact.get("tag", "")
        if outcome(fact["code"]) != "served" or tag not in self._requests:
            return
        request = self._requests[tag]
        need = request.get("need", {})
        if need.get("read") == "write":
            if fact["code"] == SUCCESS and tag in self._csn_of and need.get("session"):
                self._acknowledged[need["session"], request.get("suffix", "")].append(self._csn_of[tag])
            return
        for part in _parts(request):
            suffix = part["suffix"]
            if (visible := self._visible.get((tag, suffix))) is not None:
                self._rule.judged += 1
                required_writes = self._required_writes.get((tag, suffix), [])
                self._rule.found += _missing_commits(
                    part, request, visible, self._logs[suffix], required_writes, self._received[tag]
                )
            elif "parts" in need and fact["code"] == SUCCESS:
                self._rule.found.append(f"success though {suffix} was not asked: {format_fact(request)}")


def no_stale_read(facts: list[Fact]) -> Rule:
    """No read is answered from data older than its class allows."""
    rule = Rule("no stale read")
    replay = _Replay(rule)
    for fact in facts:
        replay.process(fact)
    return rule


def _parts(request: Fact) -> list[dict[str, Any]]:
    """What a request needs from each suffix; a search that spans groups has one part for each."""
    need = request.get("need", {})
    if "parts" in need:
        return list(need["parts"])
    return [{**need, "suffix": request["suffix"]}] if "suffix" in request else []


def _missing_commits(
    need: dict[str, Any],
    request: Fact,
    visible: _VisibleState,
    log: _GroupLog,
    required_writes: list[str],
    received: dict[str, float],
) -> list[str]:
    """Lists the commits that a part's class requires and its answer does not show."""
    if visible.deposed_unknown:
        return []
    answer = visible.answer
    if need.get("read") == "session":
        missing = [csn for csn in required_writes if csn not in log.lost and log.position[csn] > visible.position]
        return (
            [f"lacks the session's write {missing[-1]}: {format_fact(request)}; {format_fact(answer)}"]
            if missing
            else []
        )
    if need.get("read") not in ("bounded", "fresh"):
        return []
    if need["read"] == "fresh":
        since = request["at"]
    else:
        since = received.get(answer["server"], answer["at"]) - need["staleness"]
    required = (
        visible.commit_count - len(visible.recent_commit_times) + bisect_right(visible.recent_commit_times, since)
    )
    if required <= visible.position:
        return []
    return [
        f"lacks {required - visible.position} commits that it must have: {format_fact(request)}; {format_fact(answer)}"
    ]
