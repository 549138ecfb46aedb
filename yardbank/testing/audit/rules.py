"""Four of the five rules: one final answer, no write applied twice, drains respected, cold servers not overloaded."""

from __future__ import annotations

from bisect import bisect_right
from collections import defaultdict

from yardbank.testing.audit.excuses import FaultPeriods
from yardbank.testing.audit.record import Fact
from yardbank.testing.audit.rule import BUSY, REFERRAL, Bounds, Rule, format_fact, outcome


class _OpenRequests:
    """Tracks the unanswered requests of each client through the record."""

    def __init__(self, facts: list[Fact], bounds: Bounds, fault_periods: FaultPeriods) -> None:
        self.rule = Rule("one final answer in time")
        self._bounds = bounds
        self._fault_periods = fault_periods
        self._open: dict[str, dict[str, Fact]] = defaultdict(dict)  # by client and tag
        self._answered: dict[str, Fact] = {}
        self._killed = [fact["at"] for fact in facts if fact["kind"] == "killed"]
        # Requests that a server received, which proves that a gateway had accepted them.
        self._accepted_tags = {fact["tag"] for fact in facts if fact["kind"] == "received"}

    def process(self, fact: Fact) -> None:
        """Processes the next fact of the record."""
        client = fact.get("client", "")
        match fact["kind"]:
            case "sent":
                self._open[client][fact["tag"]] = fact
            case "answer":
                self._answer(fact)
            case "unasked":
                self.rule.found.append(f"sent to a client for nothing it was owed: {format_fact(fact)}")
            case "gave_up":  # the client's own timeout passed; it disconnects next
                self._gave_up(fact)
            case "cancelled":  # by the protocol's cancellation, which has no response
                self._open[client].pop(fact["tag"], None)
            case "left":
                self._open[client].clear()  # the client disconnected by itself, so no answer is due
            case "lost":
                self._lost(fact)

    def _fault_explains(self, request: Fact, until: float) -> bool:
        return self._fault_periods.explains_no_answer(request.get("gateway", ""), request["at"], until)

    def _answer(self, fact: Fact) -> None:
        request = self._open[fact.get("client", "")].pop(fact["tag"], None)
        if request is None:
            before = format_fact(self._answered[fact["tag"]]) if fact["tag"] in self._answered else "nothing"
            self.rule.found.append(f"answered twice, or never asked: {format_fact(fact)}; before: {before}")
            return
        self.rule.judged += 1
        self._answered[fact["tag"]] = fact
        late = fact["at"] - request["at"] - request.get("deadline", float("inf"))
        if late > self._bounds.answer_slack and not self._fault_explains(request, fact["at"]):
            self.rule.found.append(f"{late:.3f} s late: {format_fact(request)}; {format_fact(fact)}")

    def _gave_up(self, fact: Fact) -> None:
        request = self._open[fact.get("client", "")].pop(fact["tag"], None)
        if request is not None and not self._fault_explains(request, fact["at"]):
            self.rule.judged += 1
            self.rule.found.append(f"not answered in time: {format_fact(request)}; {format_fact(fact)}")

    def _lost(self, fact: Fact) -> None:
        unanswered = self._open.pop(fact.get("client", ""), {})
        if fact.get("excused") or any(at - 0.2 <= fact["at"] <= at + 2 for at in self._killed):
            return
        for request in unanswered.values():
            accepted = request["tag"] in self._accepted_tags
            if self._fault_explains(request, fact["at"]):
                continue
            if accepted or not self._fault_periods.explains_lost_connection(
                request.get("gateway", ""), request["at"], fact["at"]
            ):
                self.rule.found.append(
                    f"connection lost with no final answer: {format_fact(request)}; {format_fact(fact)}"
                )

    def finish(self, at: float) -> None:
        """Reports the requests that were still unanswered, and due, at the end of the record."""
        for unanswered in self._open.values():
            for request in unanswered.values():
                due = request["at"] + request.get("deadline", 0.0) + self._bounds.answer_slack
                if at > due and not self._fault_periods.explains_lost_connection(
                    request.get("gateway", ""), request["at"], due
                ):
                    self.rule.judged += 1
                    self.rule.found.append(f"never answered: {format_fact(request)}")


def one_answer(facts: list[Fact], bounds: Bounds, fault_periods: FaultPeriods) -> Rule:
    """Each accepted request gets exactly one final answer, before its deadline."""
    requests = _OpenRequests(facts, bounds, fault_periods)
    for fact in facts:
        requests.process(fact)
    requests.finish(facts[-1]["at"] if facts else 0.0)
    return requests.rule


def no_effect_twice(facts: list[Fact]) -> Rule:
    """No write is applied twice, resent after it may have run, or refused after it ran."""
    rule = Rule("no effect twice")
    writes = {
        fact["tag"]: fact for fact in facts if fact["kind"] == "sent" and fact.get("need", {}).get("read") == "write"
    }
    applied: dict[str, Fact] = {}
    # By tag and server: received, and not known to be unapplied.
    at_risk: dict[str, dict[str, Fact]] = defaultdict(dict)
    for fact in facts:
        tag = fact.get("tag")
        if not tag or tag not in writes:
            continue
        kind = fact["kind"]
        if kind == "received":
            if at_risk[tag]:
                before = next(iter(at_risk[tag].values()))
                rule.found.append(f"sent again after it may have run: {format_fact(before)}; {format_fact(fact)}")
            at_risk[tag][fact["server"]] = fact
        elif kind == "full" or (kind == "answered" and fact["code"] in (REFERRAL, BUSY)):
            at_risk[tag].pop(fact["server"], None)
        elif kind == "applied":
            if tag in applied:
                rule.found.append(f"applied twice: {format_fact(applied[tag])}; {format_fact(fact)}")
            applied[tag] = fact
        elif kind == "answer":
            rule.judged += 1
            if outcome(fact["code"]) == "refused" and (tag in applied or at_risk[tag]):
                seen = applied.get(tag) or next(iter(at_risk[tag].values()))
                rule.found.append(f"refused though it may have run: {format_fact(seen)}; {format_fact(fact)}")
    return rule


def drains_kept(facts: list[Fact], bounds: Bounds, fault_periods: FaultPeriods) -> Rule:
    """No request reaches a server later than the grace period after its gateway was told that it drains or is gone.

    Each gateway is told separately. Requests that a network fault delayed on the way to the server are not checked.
    """
    rule = Rule("drains kept")
    notified: dict[tuple[str, str], Fact] = {}  # by gateway and server
    sender: dict[str, str] = {}
    for fact in facts:
        server = fact.get("server", "")
        if fact["kind"] == "sent":
            sender[fact["tag"]] = fact.get("gateway", "")
        elif fact["kind"] == "told":
            key = fact.get("gateway", ""), server
            if fact["state"] == "ready":
                notified.pop(key, None)
            elif key not in notified:
                notified[key] = fact
                rule.judged += 1
        elif fact["kind"] == "received" and fact["op"] != "probe":
            gateway = sender.get(fact["tag"], "")
            notification = notified.get((gateway, server))
            if (
                notification is None
                or fact["at"] <= fault_periods.notified_from(gateway, notification["at"]) + bounds.drain_grace
            ):
                continue
            if not fault_periods.link_broken(gateway, server, notification["at"], fact["at"]):
                rule.found.append(f"sent after the grace: {format_fact(notification)}; {format_fact(fact)}")
    return rule


def cold_servers_not_overloaded(facts: list[Fact], bounds: Bounds) -> Rule:
    """No server that has just started gets more than ``cold_multiple`` of its capacity within ``cold_window``."""
    rule = Rule("no cold server pushed over")
    received: dict[str, list[float]] = defaultdict(list)
    for fact in facts:
        if fact["kind"] == "received":
            received[fact["server"]].append(fact["at"])
    for start in facts:
        if start["kind"] != "start":
            continue
        rule.judged += 1
        times = [at for at in received[start["server"]] if start["at"] <= at <= start["at"] + start["cold_s"]]
        for index, at in enumerate(times):
            age = (at - start["at"]) / start["cold_s"]
            share = min(1.0, start["cold_share"] + (1 - start["cold_share"]) * age)
            allowed = bounds.cold_multiple * share * start["per_s"] * bounds.cold_window
            count = bisect_right(times, at + bounds.cold_window) - index
            if count > allowed:
                rule.found.append(
                    f"{count} requests within {bounds.cold_window} s, {allowed:.0f} allowed: {format_fact(start)}"
                )
                break
    return rule
