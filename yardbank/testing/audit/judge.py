"""Runs the five rules over a record."""

from __future__ import annotations

from dataclasses import dataclass

from yardbank.testing.audit.excuses import FaultPeriods
from yardbank.testing.audit.record import Fact
from yardbank.testing.audit.rule import Bounds, Rule, outcome
from yardbank.testing.audit.rules import cold_servers_not_overloaded, drains_kept, no_effect_twice, one_answer
from yardbank.testing.audit.stale import no_stale_read


@dataclass(slots=True)
class Verdict:
    """The verdict on each rule, and the number of requests by outcome."""

    rules: dict[str, Rule]
    answers: dict[str, int]

    @property
    def held(self) -> bool:
        """Whether no rule was violated."""
        return all(rule.held for rule in self.rules.values())


def judge(facts: list[Fact], bounds: Bounds | None = None) -> Verdict:
    """Checks a complete record, which must be sorted by time."""
    bounds = bounds or Bounds()
    fault_periods = FaultPeriods(facts)
    rules = {
        "one_answer": one_answer(facts, bounds, fault_periods),
        "no_effect_twice": no_effect_twice(facts),
        "drains_kept": drains_kept(facts, bounds, fault_periods),
        "cold_not_pushed_over": cold_servers_not_overloaded(facts, bounds),
        "no_stale_read": no_stale_read(facts),
    }
    return Verdict(rules, _answers(facts))


def _answers(facts: list[Fact]) -> dict[str, int]:
    counts = dict.fromkeys(("served", "refused", "failed", "unanswered"), 0)
    sent = sum(1 for fact in facts if fact["kind"] == "sent")
    for fact in facts:
        if fact["kind"] == "answer":
            counts[outcome(fact["code"])] += 1
    counts["unanswered"] = sent - sum(counts.values())
    return counts


__all__ = ["Bounds", "Rule", "Verdict", "judge", "outcome"]
