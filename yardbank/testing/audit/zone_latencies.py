"""The claim on zone latencies: compares the round trips that gateways report with the configured delays."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from yardbank.testing.audit.changes import running_gateways
from yardbank.testing.audit.claims import Finding
from yardbank.testing.audit.record import Fact

KNOWN_SOURCES = ("seen", "estimated")


def latencies_accurate(facts: Sequence[Fact], zones: Mapping[str, str], share: float, within: float) -> Finding:
    """Checks the last report of each running gateway on each latency from its own zone. ``zones``: by gateway.

    A report may differ from the configured round trip by ``share`` of it, or by ``within`` milliseconds if that is
    more.
    """
    configured, reports = _state_at_end(facts)
    worst, judged = 0.0, 0
    for name in running_gateways(facts, list(zones)):
        for (source, target), ms in configured.items():
            if source != zones[name] or source == target:
                continue
            report = reports.get((name, source, target))
            if report is None or report["how"] not in KNOWN_SOURCES:
                return Finding(False, f"{name} knows nothing of the way from {source} to {target}", report)
            error = abs(report["ms"] - ms)
            if error > max(within, share * ms):
                seen = f"{name} says {report['ms']:.1f} ms from {source} to {target}, {ms:.1f} are set"
                return Finding(False, seen, report)
            worst, judged = max(worst, error), judged + 1
    return Finding(judged > 0, f"{judged} ways right, {worst:.1f} ms off at most")


def _state_at_end(facts: Sequence[Fact]) -> tuple[dict[tuple[str, str], float], dict[tuple[str, str, str], Fact]]:
    """The configured round trips by pair of zones, and the last reports by gateway and pair, at the end of the load."""
    configured: dict[tuple[str, str], float] = {}
    reports: dict[tuple[str, str, str], Fact] = {}
    for fact in facts:
        match fact["kind"]:
            case "load_over":
                break
            case "way":
                configured[fact["from"], fact["to"]] = fact["ms"]
            case "map":
                for ends in ((fact["from"], fact["to"]), (fact["to"], fact["from"])):  # a round trip has no direction
                    reports[fact["gateway"], *ends] = fact
            case "peer_start":
                reports = {key: report for key, report in reports.items() if key[0] != fact["gateway"]}
    return configured, reports
