"""Gateways' reports on latencies, and the consensus on each pair. No I/O.

Each gateway reports only for itself. The newest report per pair and sender is kept, so reports may arrive twice, late
and in any order. A report is first-hand if the list places its sender in one of the two zones; second-hand reports only
count where there are fewer than three first-hand ones. The consensus is the median over senders (approximate agreement,
Dolev et al., JACM 1986): with three or more reports, one false report cannot move it beyond the range of the true ones.
At most ``MAX_REPORTS_PER_PAIR`` reports per pair are kept.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from yardbank.cluster.latency_map.measurements import Measurement
from yardbank.cluster.latency_map.options import Pair

WANTED_REPORTS = 3  # reports needed to tolerate one false report
MAX_REPORTS_PER_PAIR = 24  # beyond this, the report measured longest ago is dropped
AGREEMENT_FACTOR, AGREEMENT_NS = 1.5, 2_000_000  # two reports agree within this factor, or this many ns
DetourBounds = Callable[[], tuple[int, int] | None]
DETOUR_SLACK = 2.0  # factor by which one or two reports may exceed the detour bounds


@dataclass(slots=True, frozen=True)
class LatencyReport:
    """One gateway's report on one pair; times in ns, ``measured_at`` on the local clock."""

    value: int
    spread: int
    measured_at: int
    witnesses: int
    first_hand: bool
    order: tuple[int, int]  # (boot epoch of the sender, number of the message)


@dataclass(slots=True, frozen=True)
class Consensus:
    """The consensus on one pair; times in ns."""

    value: int
    spread: int
    measured_at: int
    witnesses: int


class ReportStore:
    """The last report of each sender, by pair."""

    def __init__(self) -> None:
        self.evicted = 0  # reports dropped in favour of newer ones
        self._by_pair: dict[Pair, dict[str, LatencyReport]] = {}

    def add(self, pair: Pair, sender: str, report: LatencyReport) -> None:
        """Add a report. Of copies of a message the first counts: a delayed copy would look newer than it is."""
        by_sender = self._by_pair.setdefault(pair, {})
        known = by_sender.get(sender)
        if known is not None and (known.order, -known.measured_at) >= (report.order, -report.measured_at):
            return
        by_sender[sender] = report
        if len(by_sender) > MAX_REPORTS_PER_PAIR:
            del by_sender[min(by_sender, key=lambda name: (by_sender[name].measured_at, name))]
            self.evicted += 1

    def keep(self, wanted: Callable[[Pair, str, LatencyReport], bool]) -> None:
        """Drop all reports except the wanted ones."""
        for pair, by_sender in list(self._by_pair.items()):
            kept = {sender: report for sender, report in by_sender.items() if wanted(pair, sender, report)}
            if kept:
                self._by_pair[pair] = kept
            else:
                del self._by_pair[pair]

    def for_pair(self, pair: Pair, since: int) -> list[LatencyReport]:
        """The reports on a pair that were measured after ``since``."""
        return [report for report in self._by_pair.get(pair, {}).values() if report.measured_at > since]


def _newest_first(report: LatencyReport) -> tuple[int, int]:
    return -report.measured_at, report.value


def consensus(
    now: int,
    own: Measurement | None,
    own_is_sufficient: bool,
    reports: Sequence[LatencyReport],
    window: int,
    detour_bounds: DetourBounds,
) -> Consensus | None:
    """The consensus on a pair, or None.

    ``own``: this gateway's measurement; ``own_is_sufficient``: it is fresh and the gateway healthy, so reports are
    ignored. ``detour_bounds``: the bounds that detours through a third zone give; they limit one or two reports.
    """
    first_hand = [report for report in reports if report.first_hand]
    if own is not None:
        if own_is_sufficient or not reports:
            return Consensus(own.low, own.spread, own.measured_at, 1 + len(first_hand))
        first_hand.append(LatencyReport(own.low, own.spread, own.measured_at, 1, True, (0, 0)))
    first_hand.sort(key=_newest_first)
    counted = [
        report
        for index, report in enumerate(first_hand)
        if index < WANTED_REPORTS or now - report.measured_at <= window
    ]
    if len(counted) < WANTED_REPORTS and own is None:  # second-hand reports never outvote the own measurement
        counted += sorted((report for report in reports if not report.first_hand), key=_newest_first)[
            : WANTED_REPORTS - len(counted)
        ]
    if not counted:
        return None
    witnesses = len(first_hand) or sorted(report.witnesses for report in counted)[(len(counted) - 1) // 2]
    if len(counted) < WANTED_REPORTS:
        if own is not None:
            return Consensus(own.low, own.spread, own.measured_at, witnesses)
        return _consensus_of_few(counted, witnesses, detour_bounds())
    return _median(counted, witnesses)


def _median(counted: Sequence[LatencyReport], witnesses: int) -> Consensus:
    median = (len(counted) - 1) // 2
    value = sorted(report.value for report in counted)[median]
    spread = sorted(report.spread for report in counted)[median]
    return Consensus(value, spread, sorted(report.measured_at for report in counted)[median], witnesses)


def _consensus_of_few(
    counted: Sequence[LatencyReport], witnesses: int, detour_bounds: tuple[int, int] | None
) -> Consensus | None:
    """One or two reports of others, each possibly false: limited by the detours through a third zone."""
    lower, upper = (
        (0, 0)
        if detour_bounds is None
        else (int(detour_bounds[0] / DETOUR_SLACK), int(detour_bounds[1] * DETOUR_SLACK))
    )
    low, high = min(report.value for report in counted), max(report.value for report in counted)
    if len(counted) == 2 and (high <= AGREEMENT_FACTOR * low or high - low <= AGREEMENT_NS):
        value = high if detour_bounds is None else min(upper, max(lower, high))
    elif detour_bounds is None:
        return None
    else:
        value = high if lower <= high <= upper else min(upper, max(lower, low))
    return Consensus(value, max(c.spread for c in counted), min(c.measured_at for c in counted), witnesses)
