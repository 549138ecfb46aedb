"""Checks the claims of a scenario against its record with ``yardbank.testing.audit``."""

from __future__ import annotations

import re
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from yardbank.testing.audit import changes, feeds, judge
from yardbank.testing.audit.claims import Finding, alive, belief, served, serves_again, unmoved, views
from yardbank.testing.audit.client_departure import DepartureBounds, gone_clients
from yardbank.testing.audit.cold_sum import ColdBounds, cold_sum
from yardbank.testing.audit.distributed import distributed
from yardbank.testing.audit.judge import Bounds
from yardbank.testing.audit.notification_deadline import NotificationBounds, drains_notified_in_time
from yardbank.testing.audit.record import Fact
from yardbank.testing.audit.zone_latencies import latencies_accurate
from yardbank.testing.rig.scenario import Claim, Scenario, matching

BOUNDS = Bounds(answer_slack=1.5)  # seconds; wider than the default because many processes share the cores


@dataclass(slots=True, frozen=True)
class Verdict:
    """The verdict on one claim."""

    claim: Claim
    finding: Finding
    line: int = 0  # line in the record of the fact that contradicts it; 0: none

    def text(self) -> str:
        """Formats the verdict as one line."""
        where = f" (record.jsonl:{self.line})" if self.line else ""
        return f"{'held  ' if self.finding.held else 'BROKEN'} {self.claim.name}: {self.finding.seen}{where}"


def _rules(facts: Sequence[Fact]) -> Finding:
    verdict = judge(list(facts), BOUNDS)
    broken = [rule for rule in verdict.rules.values() if not rule.held]
    if not broken:
        judged = ", ".join(f"{rule.title} {rule.judged}" for rule in verdict.rules.values())
        return Finding(True, f"cases judged: {judged}")
    text = "; ".join(f"{rule.title}: {len(rule.found)} cases, first: {rule.found[0]}" for rule in broken)
    tag = re.search(r"'tag': '([^']+)'", broken[0].found[0])
    fact = next((fact for fact in facts if tag and fact.get("tag") == tag[1]), None)
    return Finding(False, text, fact)


def _gateways(claim: Claim, scenario: Scenario) -> list[str]:
    return matching(claim.who, scenario.gateways())


def _zones(scenario: Scenario) -> dict[str, str]:
    """Zones by gateway, without gateways that run an older program: those have no zone-aware features."""
    zones = scenario.zones()
    return {name: zones[name] for name in scenario.gateways() if name not in scenario.older()}


def _outage(scenario: Scenario) -> float:
    return max((step.outage / 1e9 for step in scenario.step if step.do == "rollout"), default=0.0)


def _given_fields(claim: Claim, *fields: str) -> dict[str, Any]:
    """The values of those fields that the claim sets, times in seconds. The audit has defaults for the others."""
    times = ("within", "late", "window", "bound", "grace")
    values = {field: getattr(claim, field) for field in fields if field in claim.model_fields_set}
    return {field: value / 1e9 if field in times else value for field, value in values.items()}


_CHECKS: dict[str, Callable[[Sequence[Fact], Claim, Scenario], Finding]] = {
    "rules": lambda facts, claim, _: _rules(facts),
    "alive": lambda facts, claim, s: alive(facts, _gateways(claim, s)),
    "served": lambda facts, claim, _: served(facts, claim.least, claim.after, claim.until, claim.request_class),
    "serves_again": lambda facts, claim, s: serves_again(facts, claim.after, _gateways(claim, s)),
    "views": lambda facts, claim, s: views(facts, s.gateways()),
    "belief": lambda facts, claim, s: belief(facts, {name: group.name for name, group in s.servers().items()}),
    "unmoved": lambda facts, claim, _: unmoved(facts),
    "owners": lambda facts, claim, s: feeds.owners(
        facts, (s.fleet.overlap if claim.overlap is None else claim.overlap) / 1e9, claim.slack / 1e9
    ),
    "followers": lambda facts, claim, _: feeds.followers(facts),
    "owned_again": lambda facts, claim, s: feeds.owned_again(facts, claim.after, s.channels(), claim.tail / 1e9),
    "steady": lambda facts, claim, _: feeds.steady(facts, claim.most, claim.after, claim.until),
    "stages": lambda facts, claim, s: changes.stages(facts, _zones(s), claim.most, _outage(s)),
    "stopped": lambda facts, claim, s: changes.stopped(facts, _gateways(claim, s)),
    "advanced": lambda facts, claim, s: changes.advanced(facts, _gateways(claim, s)),
    "gone_clients": lambda facts, claim, _: gone_clients(
        facts, DepartureBounds(**_given_fields(claim, "within", "late", "cases", "share", "fewest"))
    ),
    "cold_sum": lambda facts, claim, _: cold_sum(
        facts, ColdBounds(**_given_fields(claim, "multiple", "window", "roots", "spare"))
    ),
    "distributed": lambda facts, claim, s: distributed(
        facts, s.gateways(), [step.name for step in s.step if step.do == "publish"], **_given_fields(claim, "within")
    ),
    "told": lambda facts, claim, _: drains_notified_in_time(
        facts, NotificationBounds(**_given_fields(claim, "bound", "grace"))
    ),
    "map": lambda facts, claim, s: latencies_accurate(facts, _zones(s), claim.share, claim.within / 1e6),
}


def verdicts(scenario: Scenario, facts: Sequence[Fact]) -> list[Verdict]:
    """Checks all claims, in their order."""
    found = []
    for claim in scenario.claim:
        finding = _CHECKS[claim.kind](facts, claim, scenario)
        line = next((n for n, fact in enumerate(facts, 1) if fact is finding.fact), 0)
        found.append(Verdict(claim, finding, line))
    return found


def as_dict(scenario: Scenario, seed: int, found: Sequence[Verdict], latency: Mapping[str, Any]) -> dict[str, Any]:
    """Converts the result of a run to plain values; times in milliseconds."""
    return {
        "title": scenario.title,
        "seed": seed,
        "held": all(verdict.finding.held for verdict in found),
        "claims": [
            {"name": v.claim.name, "kind": v.claim.kind, "held": v.finding.held, "seen": v.finding.seen, "line": v.line}
            for v in found
        ],
        "latency_ms": {
            name: {f"p{at:g}": histogram.get_value_at_percentile(at) / 1e3 for at in (50, 99, 99.9)}
            for name, histogram in latency.items()
            if histogram.get_total_count()
        },
    }
