"""Statistical evidence of one stage: compares pairs of gateways, window by window, by their records. No I/O."""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import TypeVar

import numpy as np
import xxhash

from yardbank.cluster.rollout import sequential_test as judge
from yardbank.cluster.rollout.document import SHARE_METRICS, Change
from yardbank.cluster.rollout.phase import Phase
from yardbank.cluster.rollout.record import MAX_CELLS, Cell, GatewayRecord
from yardbank.cluster.rollout.record_log import comparable
from yardbank.cluster.rollout.sequential_test import Floats
from yardbank.cluster.rollout.stage_plan import Pair, StagePlan

MIN_P99_REQUESTS = 100  # in a window, on each side, for its p99 to be compared
MAX_MEMORY_WINDOWS = 3  # consecutive windows with too much memory that count against the new version
History = Callable[[str], Mapping[int, GatewayRecord]]
Key = TypeVar("Key")
Comparison = tuple[str, str]  # metric, class key


@dataclass(slots=True)
class _PairState:
    """State of the comparison of one pair."""

    new: GatewayRecord | None = None  # at the end of the last window
    old: GatewayRecord | None = None
    windows: int = 0
    memory_windows: int = 0


class CanaryAnalysis:
    """Analysis of one stage. Each stage starts a new one with its share of the false-stop probability."""

    def __init__(self, change: Change, plan: StagePlan, stage: int) -> None:
        self.change, self.stage = change, stage
        self.pairs = plan.pairs(stage)
        self._members = plan.up_to(stage)
        self._pair_states = {pair: _PairState() for pair in self.pairs}
        self._worse_logs: dict[tuple[Pair, Comparison], Floats] = {}
        self._not_worse_logs: dict[tuple[Pair, Comparison], Floats] = {}
        # Bad requests and all requests of past windows
        self._past_counts: dict[tuple[Pair, Comparison], tuple[int, int]] = {}
        # By class: sum of absolute log ratios of p99, and their number
        self._p99_differences: dict[str, tuple[float, int]] = {}
        self.classes: set[str] = set()
        self.uncompared: set[str] = set()  # classes that only one side has, or with other targets
        self.retargeted: set[str] = set()  # classes both sides have, with other targets: prevent a pass
        self.worse_evidence = self.pass_evidence = 0.0  # logarithms of e-values: that it is worse, that it is not
        self._worst_comparison = ""

    @property
    def windows(self) -> int:
        """Number of windows compared so far."""
        return sum(state.windows for state in self._pair_states.values())

    def relisted(self, plan: StagePlan) -> None:
        """Adopts a new peer list; evidence is sums, so that the false-stop probability is not spent twice."""
        seen = [pair for pair in self.pairs if self._pair_states[pair].windows]
        self.pairs = tuple(dict.fromkeys([*seen, *plan.pairs(self.stage)]))
        self._members = plan.up_to(self.stage)
        for pair in self.pairs:
            self._pair_states.setdefault(pair, _PairState())

    def update(self, history: History) -> None:
        """Processes the records that have arrived; ``history`` returns a gateway's last records by beat."""
        fresh = [pair for pair in self.pairs if self._add_window(pair, history(pair.new), history(pair.old))]
        if fresh:
            self._update_evidence()

    def _add_window(self, pair: Pair, new: Mapping[int, GatewayRecord], old: Mapping[int, GatewayRecord]) -> bool:
        """Closes a window of a pair at the last beat that both have reported; returns whether it was compared."""
        beats = [
            beat
            for beat in new.keys() & old.keys()
            if new[beat].phase == Phase.NEW
            and new[beat].cells
            and old[beat].phase in (Phase.OLD, Phase.DUE)
            and old[beat].cells
        ]
        state = self._pair_states[pair]
        if not beats:
            return False
        before, last = (state.new, state.old), max(beats)
        if before[0] is not None and last <= before[0].beat and comparable(before[0], new[last]):
            return False
        state.new, state.old = new[last], old[last]
        if before[0] is None or before[1] is None or last <= before[0].beat:
            return False
        if not comparable(before[0], state.new) or not comparable(before[1], state.old):
            return False
        if state.new.slow or state.old.slow:
            return False  # the version need not be the cause; this delays a verdict and never counts as a pass
        self._compare(pair, before[0], before[1], last == before[0].beat + 1)
        state.windows += 1
        swollen = state.old.memory and state.new.memory > self.change.memory * state.old.memory
        state.memory_windows = state.memory_windows + 1 if swollen else 0
        return True

    def _compare(self, pair: Pair, new_before: GatewayRecord, old_before: GatewayRecord, single: bool) -> None:
        state = self._pair_states[pair]
        if state.new is None or state.old is None:
            return
        new_by_class, old_by_class = _increments(new_before, state.new), _increments(old_before, state.old)
        new_keys, old_keys = ({cell.name for cell in side.cells} for side in (state.new, state.old))
        self.uncompared |= new_keys ^ old_keys
        class_names = [
            {name.partition(":")[0] for name in names} for names in (new_keys - old_keys, old_keys - new_keys)
        ]
        self.retargeted |= class_names[0] & class_names[1]
        seed = f"{self.change.id}/{self.stage}/{pair.new}/{pair.old}/{state.new.beat}"
        random = np.random.default_rng(xxhash.xxh3_64_intdigest(seed.encode()))
        for name in sorted(new_by_class.keys() & old_by_class.keys()):
            new, old = new_by_class[name].counts(), old_by_class[name].counts()
            number = min(sum(new), sum(old))
            if not number:
                continue
            self.classes.add(name)
            sampled_new, sampled_old = (
                judge.sample_outcomes(random, new, number),
                judge.sample_outcomes(random, old, number),
            )
            for metric, index in zip(SHARE_METRICS, (0, 2, 3, 1), strict=True):
                if metric in self.change.worse:
                    bad = [int(number - d[0] if not index else d[index]) for d in (sampled_new, sampled_old)]
                    self._compare_share(pair, (metric, name), bad[0], bad[1], number)
            if single and number >= MIN_P99_REQUESTS and "p99" in self.change.worse:
                self._compare_p99(pair, name, new_by_class[name].p99, old_by_class[name].p99)

    def _compare_share(self, pair: Pair, comparison: Comparison, new: int, old: int, number: int) -> None:
        bad, total = self._past_counts.get((pair, comparison), (0, 0))
        scale = judge.scale(new + old, number, bad, total)
        difference = (new - old) / number
        self._past_counts[pair, comparison] = bad + new + old, total + number
        by = self.change.worse_by
        _add(self._worse_logs, (pair, comparison), judge.worse_evidence(difference, by, scale))
        if comparison[0] == self._pass_metric:
            _add(self._not_worse_logs, (pair, comparison), judge.not_worse_evidence(difference, by, scale))

    @property
    def _pass_metric(self) -> str:
        """The metric that a pass must be shown for: the first configured one; "served" includes the others."""
        return next(metric for metric in SHARE_METRICS if metric in self.change.worse)

    def _compare_p99(self, pair: Pair, name: str, new: int, old: int) -> None:
        if not new or not old:
            return
        difference = math.log(new / old)
        total, windows = self._p99_differences.get(name, (0.3, 1))
        self._p99_differences[name] = total + abs(difference), windows + 1
        found = judge.worse_evidence(difference, math.log(self.change.p99), max(0.05, 1.25 * total / windows))
        _add(self._worse_logs, (pair, ("p99", name)), found)

    def _pairs_by_gateway(self) -> list[list[int]]:
        by_gateway: dict[str, list[int]] = {}
        for index, pair in enumerate(self.pairs):
            if self._pair_states[pair].windows:
                for name in (pair.new, pair.old):
                    by_gateway.setdefault(name, []).append(index)
        distinct = {tuple(group) for group in by_gateway.values()}
        return [list(group) for group in sorted(distinct)]

    def _update_evidence(self) -> None:
        groups, none = self._pairs_by_gateway(), np.zeros(len(judge.BETS))
        comparisons = sorted({comparison for _, comparison in self._worse_logs})
        if not comparisons or len(groups) < 2:
            return
        table = np.stack(
            [[self._worse_logs.get((pair, comparison), none) for comparison in comparisons] for pair in self.pairs]
        )
        found = float(judge.stop_evidence(table, [pair.zone for pair in self.pairs], groups))
        most = max(MAX_CELLS * len(self.change.worse), len(comparisons))  # those not seen yet count as one each
        rest = math.log(most - len(comparisons) + 1e-9)  # comparisons not seen yet count with an e-value of 1
        self.worse_evidence = float(np.logaddexp(found + math.log(len(comparisons)), rest)) - math.log(most)
        totals = table.sum(axis=0).max(axis=-1)
        metric, name = comparisons[int(totals.argmax())]
        self._worst_comparison = f"{metric} {name.partition(':')[0]}"
        comparisons = sorted({comparison for _, comparison in self._not_worse_logs})
        table = np.stack(
            [[self._not_worse_logs.get((pair, comparison), none) for comparison in comparisons] for pair in self.pairs]
        )
        self.pass_evidence = float(judge.pass_evidence(table, groups))

    # Verdicts

    def worse(self) -> str:
        """Metric and class by which the new version does worse; empty: none."""
        return (
            self._worst_comparison
            if self.worse_evidence >= math.log(len(self.change.stages) / self.change.false_stop)
            else ""
        )

    def process_failure(self, records: Mapping[str, GatewayRecord]) -> str:
        """Why processes of the new version fail: two restart or grow and old ones do not; empty: fewer than two."""
        if "restarts" in self.change.worse and len(down := self._failing(records)) >= 2:
            return f"restarts of {', '.join(sorted(down)[:2])}"[:40]
        if "memory" in self.change.worse:
            swollen = [pair.new for pair in self.pairs if self._pair_states[pair].memory_windows >= MAX_MEMORY_WINDOWS]
            if len(swollen) >= 2:
                return f"memory of {', '.join(swollen[:2])}"[:40]
        return ""

    def _failing(self, records: Mapping[str, GatewayRecord]) -> list[str]:
        """Failing gateways whose old partner is stable; those without one count only if all old partners are stable."""
        bad = {name for name in self._members if name in records and self._is_failing(records[name])}
        old = {pair.new: records.get(pair.old) for pair in self.pairs}
        stable = {
            name
            for name, partner in old.items()
            if partner is not None and partner.phase in (Phase.OLD, Phase.DUE) and not partner.restarts
        }
        return sorted(bad & stable) + (sorted(bad - old.keys()) if stable and len(stable) == len(old) else [])

    def _is_failing(self, record: GatewayRecord) -> bool:
        return record.phase == Phase.FELL or record.restarts >= self.change.restarts

    def passed(self) -> bool:
        """Whether more than half of the pairs were compared and show that the version is not worse by ``worse_by``."""
        if self.retargeted:
            return False
        compared = sum(state.windows > 0 for state in self._pair_states.values())
        return (
            compared >= 2
            and 2 * compared > len(self.pairs)
            and self.pass_evidence >= math.log(1 / self.change.false_pass)
        )

    def summary(self) -> str:
        """The evidence so far, for the log."""
        compared = sum(state.windows > 0 for state in self._pair_states.values())
        found = (
            f"{compared} of {len(self.pairs)} pairs compared, {self.windows} windows, evidence {self.pass_evidence:.1f}"
        )
        return found + (f", targets differ: {', '.join(sorted(self.retargeted))}" if self.retargeted else "")


def _add(sums: dict[Key, Floats], key: Key, found: Floats) -> None:
    sums[key] = sums[key] + found if key in sums else found


def _increments(before: GatewayRecord, after: GatewayRecord) -> dict[str, Cell]:
    """Differences of each class's counters between two comparable records; classes whose counters fell are left out."""
    old = {cell.name: cell for cell in before.cells}
    found: dict[str, Cell] = {}
    for cell in after.cells:
        if (earlier := old.get(cell.name)) is None:
            continue
        good, late, refused, failed, left = (a - b for a, b in zip(cell.counts(), earlier.counts(), strict=True))
        if min(good, late, refused, failed, left) >= 0:
            found[cell.name] = Cell(cell.name, good, late, refused, failed, left, cell.p99)
    return found
