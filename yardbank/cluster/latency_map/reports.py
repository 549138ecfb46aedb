"""Reports of gateways on latencies, and the consensus of them. No I/O.

Each sender reports for itself alone: of each pair and sender the newest report is kept, so reports may come twice,
late, in any order. A report is first-hand where the list puts its sender into one of the two zones; else it is
second-hand, and only counts where fewer than three are first-hand. The consensus is the median over senders
(approximate agreement: Dolev and others, JACM 1986): with three reports or more one false one moves it no further than
the true ones reach. Bound: ``MAX_VOICES`` reports of each pair.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from yardbank.cluster.latency_map.measurements import Measurement
from yardbank.cluster.latency_map.options import Pair

VOICES = 3  # reports wanted, so that one of them may be false
MAX_VOICES = 24  # kept of one pair; beyond, the one measured longest ago is dropped
AGREE, NEAR = 1.5, 2_000_000  # two that differ by less than this factor, or so many ns, agree
DetourBounds = Callable[[], tuple[int, int] | None]
SLACK = 2.0  # by this factor a lone report may leave the bounds that detours through a third zone give


@dataclass(slots=True, frozen=True)
class LatencyReport:
    """One gateway's report on one pair; times in nanoseconds, ``seen_at`` on this gateway's clock."""

    value: int
    spread: int
    seen_at: int
    witnesses: int
    first: bool
    order: tuple[int, int]  # the sender's boot epoch, and the message's number


@dataclass(slots=True, frozen=True)
class Consensus:
    """The consensus on one pair; times in ns."""

    value: int
    spread: int
    seen_at: int
    witnesses: int


class ReportStore:
    """Of each pair the last report of each sender."""

    def __init__(self) -> None:
        self.crowded = 0  # dropped for newer ones
        self._by: dict[Pair, dict[str, LatencyReport]] = {}

    def take(self, pair: Pair, sender: str, report: LatencyReport) -> None:
        """One more. Of copies of a message the first counts: one that was delayed looks younger than it is."""
        by = self._by.setdefault(pair, {})
        known = by.get(sender)
        if known is not None and (known.order, -known.seen_at) >= (report.order, -report.seen_at):
            return
        by[sender] = report
        if len(by) > MAX_VOICES:
            del by[min(by, key=lambda name: (by[name].seen_at, name))]
            self.crowded += 1

    def keep(self, wanted: Callable[[Pair, str, LatencyReport], bool]) -> None:
        """Drop all reports but the wanted ones."""
        for pair, by in list(self._by.items()):
            kept = {sender: report for sender, report in by.items() if wanted(pair, sender, report)}
            if kept:
                self._by[pair] = kept
            else:
                del self._by[pair]

    def about(self, pair: Pair, since: int) -> list[LatencyReport]:
        """The reports on a pair that rest on measurements since then."""
        return [report for report in self._by.get(pair, {}).values() if report.seen_at > since]


def _age(report: LatencyReport) -> tuple[int, int]:
    return -report.seen_at, report.value


def consensus(
    now: int,
    own: Measurement | None,
    own_decides: bool,
    reports: Sequence[LatencyReport],
    window: int,
    detour_bounds: DetourBounds,
) -> Consensus | None:
    """The consensus on a pair; None: there is none.

    ``own``: as this gateway measures it; ``own_decides``: that is fresh and the gateway well, so reports do not count.
    ``detour_bounds``: between what detours through a third zone put it; a lone report counts no further than that.
    """
    first = [report for report in reports if report.first]
    if own is not None:
        if own_decides or not reports:
            return Consensus(own.low, own.spread, own.seen_at, 1 + len(first))
        first.append(LatencyReport(own.low, own.spread, own.seen_at, 1, True, (0, 0)))
    first.sort(key=_age)
    voices = [report for place, report in enumerate(first) if place < VOICES or now - report.seen_at <= window]
    if len(voices) < VOICES and own is None:  # second-hand reports never outvote an own measurement
        voices += sorted((report for report in reports if not report.first), key=_age)[: VOICES - len(voices)]
    if not voices:
        return None
    witnesses = len(first) or sorted(report.witnesses for report in voices)[(len(voices) - 1) // 2]
    if len(voices) < VOICES:
        if own is not None:
            return Consensus(own.low, own.spread, own.seen_at, witnesses)
        return _few(voices, witnesses, detour_bounds())
    return _middle(voices, witnesses)


def _middle(voices: Sequence[LatencyReport], witnesses: int) -> Consensus:
    middle = (len(voices) - 1) // 2
    value = sorted(report.value for report in voices)[middle]
    spread = sorted(report.spread for report in voices)[middle]
    return Consensus(value, spread, sorted(report.seen_at for report in voices)[middle], witnesses)


def _few(voices: Sequence[LatencyReport], witnesses: int, detour_bounds: tuple[int, int] | None) -> Consensus | None:
    """One or two others' words: either may lie, so they go as far as the ways through a third zone bear them out."""
    least, most = (0, 0) if detour_bounds is None else (int(detour_bounds[0] / SLACK), int(detour_bounds[1] * SLACK))
    low, high = min(report.value for report in voices), max(report.value for report in voices)
    if len(voices) == 2 and (high <= AGREE * low or high - low <= NEAR):
        value = high if detour_bounds is None else min(most, max(least, high))
    elif detour_bounds is None:
        return None
    else:
        value = high if least <= high <= most else min(most, max(least, low))
    return Consensus(value, max(c.spread for c in voices), min(c.seen_at for c in voices), witnesses)
