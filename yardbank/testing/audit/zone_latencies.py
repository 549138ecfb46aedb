"""The claim on the zone latencies: what gateways report against the delays that were set."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from yardbank.testing.audit.changes import running
from yardbank.testing.audit.claims import Finding
from yardbank.testing.audit.record import Fact

KNOWN = ("seen", "estimated")


def charted(facts: Sequence[Fact], zones: Mapping[str, str], share: float, within: float) -> Finding:
    """Each running gateway's last report of each latency from its zone is right in the end.

    Right: within ``share`` of the round trip that was set, or within so many milliseconds of it, whichever is more.
    ``zones``: by gateway.
    """
    set_to, reports = _at_the_end(facts)
    worst, judged = 0.0, 0
    for name in running(facts, list(zones)):
        for (source, target), ms in set_to.items():
            if source != zones[name] or source == target:
                continue
            report = reports.get((name, source, target))
            if report is None or report["how"] not in KNOWN:
                return Finding(False, f"{name} knows nothing of the way from {source} to {target}", report)
            off = abs(report["ms"] - ms)
            if off > max(within, share * ms):
                seen = f"{name} says {report['ms']:.1f} ms from {source} to {target}, {ms:.1f} are set"
                return Finding(False, seen, report)
            worst, judged = max(worst, off), judged + 1
    return Finding(judged > 0, f"{judged} ways right, {worst:.1f} ms off at most")


def _at_the_end(facts: Sequence[Fact]) -> tuple[dict[tuple[str, str], float], dict[tuple[str, str, str], Fact]]:
    """The round trips that were set, by pair of zones, and the last reports, by gateway and pair, as the load ended."""
    set_to: dict[tuple[str, str], float] = {}
    reports: dict[tuple[str, str, str], Fact] = {}
    for fact in facts:
        match fact["kind"]:
            case "load_over":
                break
            case "way":
                set_to[fact["from"], fact["to"]] = fact["ms"]
            case "map":
                for ends in ((fact["from"], fact["to"]), (fact["to"], fact["from"])):  # a round trip has no direction
                    reports[fact["gateway"], *ends] = fact
            case "peer_start":
                reports = {key: report for key, report in reports.items() if key[0] != fact["gateway"]}
    return set_to, reports
