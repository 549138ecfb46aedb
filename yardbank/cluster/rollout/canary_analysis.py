"""Statistical evidence of one stage: compares pairs of gateways, window by window, by their records. No I/O."""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import TypeVar

import numpy as np
import xxhash

from yardbank.cluster.rollout import sequential_test as judge
from yardbank.cluster.rollout.document import SHARES, Change
from yardbank.cluster.rollout.phase import Phase
from yardbank.cluster.rollout.record import MAX_CELLS, Cell, GatewayRecord
from yardbank.cluster.rollout.record_log import same_course
from yardbank.cluster.rollout.sequential_test import Floats
from yardbank.cluster.rollout.stage_plan import Pair, StagePlan

LEAST_P99 = 100  # in a window, on each side, for its p99 to be compared
SWOLLEN = 3  # consecutive windows with too much memory that count against the new version
Past = Callable[[str], Mapping[int, GatewayRecord]]
Key = TypeVar("Key")
What = tuple[str, str]  # metric, class key


@dataclass(slots=True)
class _Course:
    """State of the comparison of one pair."""

    new: GatewayRecord | None = None  # at the end of the last window
    old: GatewayRecord | None = None
    windows: int = 0
    swollen: int = 0


class CanaryAnalysis:
    """Analysis of one stage. Each stage starts a new one with its share of the false-stop probability."""

    def __init__(self, change: Change, order: StagePlan, stage: int) -> None:
        self.change, self.stage = change, stage
        self.pairs = order.pairs(stage)
        self._members = order.upto(stage)
        self._courses = {pair: _Course() for pair in self.pairs}
        self._worse: dict[tuple[Pair, What], Floats] = {}
        self._sound: dict[tuple[Pair, What], Floats] = {}
        self._before: dict[tuple[Pair, What], tuple[int, int]] = {}  # bad requests and all requests of past windows
        self._spread: dict[str, tuple[float, int]] = {}  # by class: sum of absolute log ratios of p99, and their number
        self.classes: set[str] = set()
        self.apart: set[str] = set()  # classes that are not compared: only one side has them, or with other targets
        self.altered: set[str] = set()  # classes both sides have, with other targets: prevent a pass
        self.evidence = self.soundness = 0.0  # logarithms of e-values: that it is worse, that it is not
        self.why = ""

    @property
    def windows(self) -> int:
        """Number of windows compared so far."""
        return sum(course.windows for course in self._courses.values())

    def relisted(self, order: StagePlan) -> None:
        """Adopts a new peer list; evidence is kept, so that the false-stop probability is not spent twice."""
        seen = [pair for pair in self.pairs if self._courses[pair].windows]
        self.pairs = tuple(dict.fromkeys([*seen, *order.pairs(self.stage)]))
        self._members = order.upto(self.stage)
        for pair in self.pairs:
            self._courses.setdefault(pair, _Course())

    def look(self, past: Past) -> None:
        """Processes the records that have arrived; ``past`` returns a gateway's last records by beat."""
        fresh = [pair for pair in self.pairs if self._window(pair, past(pair.new), past(pair.old))]
        if fresh:
            self._weigh()

    def _window(self, pair: Pair, new: Mapping[int, GatewayRecord], old: Mapping[int, GatewayRecord]) -> bool:
        """Closes a window of a pair at the last beat that both have reported; returns whether it was compared."""
        beats = [
            beat
            for beat in new.keys() & old.keys()
            if new[beat].phase == Phase.NEW
            and new[beat].cells
            and old[beat].phase in (Phase.OLD, Phase.DUE)
            and old[beat].cells
        ]
        course = self._courses[pair]
        if not beats:
            return False
        before, last = (course.new, course.old), max(beats)
        if before[0] is not None and last <= before[0].beat and same_course(before[0], new[last]):
            return False
        course.new, course.old = new[last], old[last]
        if before[0] is None or before[1] is None or last <= before[0].beat:
            return False
        if not same_course(before[0], course.new) or not same_course(before[1], course.old):
            return False
        if course.new.slow or course.old.slow:
            return False  # the version need not be the cause; this delays a verdict and never counts as a pass
        self._compare(pair, before[0], before[1], last == before[0].beat + 1)
        course.windows += 1
        swollen = course.old.memory and course.new.memory > self.change.memory * course.old.memory
        course.swollen = course.swollen + 1 if swollen else 0
        return True

    def _compare(self, pair: Pair, new_before: GatewayRecord, old_before: GatewayRecord, single: bool) -> None:
        course = self._courses[pair]
        if course.new is None or course.old is None:
            return
        news, olds = _gained(new_before, course.new), _gained(old_before, course.old)
        here, there = ({cell.name for cell in side.cells} for side in (course.new, course.old))
        self.apart |= here ^ there
        named = [{name.partition(":")[0] for name in names} for names in (here - there, there - here)]
        self.altered |= named[0] & named[1]
        seed = f"{self.change.id}/{self.stage}/{pair.new}/{pair.old}/{course.new.beat}"
        random = np.random.default_rng(xxhash.xxh3_64_intdigest(seed.encode()))
        for name in sorted(news.keys() & olds.keys()):
            new, old = news[name].counts(), olds[name].counts()
            number = min(sum(new), sum(old))
            if not number:
                continue
            self.classes.add(name)
            drawn_new, drawn_old = judge.drawn(random, new, number), judge.drawn(random, old, number)
            for metric, of in zip(SHARES, (0, 2, 3, 1), strict=True):
                if metric in self.change.worse:
                    bad = [int(number - d[0] if not of else d[of]) for d in (drawn_new, drawn_old)]
                    self._share(pair, (metric, name), bad[0], bad[1], number)
            if single and number >= LEAST_P99 and "p99" in self.change.worse:
                self._tail(pair, name, news[name].p99, olds[name].p99)

    def _share(self, pair: Pair, what: What, new: int, old: int, number: int) -> None:
        bad, total = self._before.get((pair, what), (0, 0))
        scale = judge.scale(new + old, number, bad, total)
        difference = (new - old) / number
        self._before[pair, what] = bad + new + old, total + number
        by = self.change.worse_by
        _add(self._worse, (pair, what), judge.worse(difference, by, scale))
        if what[0] == self._shown:
            _add(self._sound, (pair, what), judge.sound(difference, by, scale))

    @property
    def _shown(self) -> str:
        """The metric that a pass must be shown for: the first configured one; "served" includes the others."""
        return next(metric for metric in SHARES if metric in self.change.worse)

    def _tail(self, pair: Pair, name: str, new: int, old: int) -> None:
        if not new or not old:
            return
        difference = math.log(new / old)
        total, windows = self._spread.get(name, (0.3, 1))
        self._spread[name] = total + abs(difference), windows + 1
        found = judge.worse(difference, math.log(self.change.p99), max(0.05, 1.25 * total / windows))
        _add(self._worse, (pair, ("p99", name)), found)

    def _groups(self) -> list[list[int]]:
        by: dict[str, list[int]] = {}
        for index, pair in enumerate(self.pairs):
            if self._courses[pair].windows:
                for name in (pair.new, pair.old):
                    by.setdefault(name, []).append(index)
        distinct = {tuple(group) for group in by.values()}
        return [list(group) for group in sorted(distinct)]

    def _weigh(self) -> None:
        groups, none = self._groups(), np.zeros(len(judge.BETS))
        whats = sorted({what for _, what in self._worse})
        if not whats or len(groups) < 2:
            return
        table = np.stack([[self._worse.get((pair, what), none) for what in whats] for pair in self.pairs])
        found = float(judge.stop_evidence(table, [pair.zone for pair in self.pairs], groups))
        most = max(MAX_CELLS * len(self.change.worse), len(whats))  # those not seen yet count as one each
        rest = math.log(most - len(whats) + 1e-9)  # comparisons not seen yet count with an e-value of 1
        self.evidence = float(np.logaddexp(found + math.log(len(whats)), rest)) - math.log(most)
        totals = table.sum(axis=0).max(axis=-1)
        metric, name = whats[int(totals.argmax())]
        self.why = f"{metric} {name.partition(':')[0]}"
        whats = sorted({what for _, what in self._sound})
        table = np.stack([[self._sound.get((pair, what), none) for what in whats] for pair in self.pairs])
        self.soundness = float(judge.pass_evidence(table, groups))

    # Verdicts

    def worse(self) -> str:
        """Metric and class by which the new version does worse; empty: none."""
        return self.why if self.evidence >= math.log(len(self.change.stages) / self.change.false_stop) else ""

    def broken(self, said: Mapping[str, GatewayRecord]) -> str:
        """Why the new version's processes fail: two restart or use too much memory, old ones do not; empty: fewer do."""
        if "restarts" in self.change.worse and len(down := self._down(said)) >= 2:
            return f"restarts of {', '.join(sorted(down)[:2])}"[:40]
        if "memory" in self.change.worse:
            swollen = [pair.new for pair in self.pairs if self._courses[pair].swollen >= SWOLLEN]
            if len(swollen) >= 2:
                return f"memory of {', '.join(swollen[:2])}"[:40]
        return ""

    def _down(self, said: Mapping[str, GatewayRecord]) -> list[str]:
        """Failing gateways whose old partner is stable; those without one count only if all old partners are stable."""
        bad = {name for name in self._members if name in said and self._broken(said[name])}
        old = {pair.new: said.get(pair.old) for pair in self.pairs}
        sound = {
            name
            for name, one in old.items()
            if one is not None and one.phase in (Phase.OLD, Phase.DUE) and not one.restarts
        }
        return sorted(bad & sound) + (sorted(bad - old.keys()) if sound and len(sound) == len(old) else [])

    def _broken(self, said: GatewayRecord) -> bool:
        return said.phase == Phase.FELL or said.restarts >= self.change.restarts

    def well(self) -> bool:
        """Whether more than half of the pairs were compared and show that the version is not worse by ``worse_by``."""
        if self.altered:
            return False
        heard = sum(course.windows > 0 for course in self._courses.values())
        return heard >= 2 and 2 * heard > len(self.pairs) and self.soundness >= math.log(1 / self.change.false_pass)

    def lacking(self) -> str:
        """The evidence so far, for the log."""
        heard = sum(course.windows > 0 for course in self._courses.values())
        found = f"{heard} of {len(self.pairs)} pairs heard, {self.windows} windows, evidence {self.soundness:.1f}"
        return found + (f", promised otherwise: {', '.join(sorted(self.altered))}" if self.altered else "")


def _add(kept: dict[Key, Floats], key: Key, found: Floats) -> None:
    kept[key] = kept[key] + found if key in kept else found


def _gained(before: GatewayRecord, after: GatewayRecord) -> dict[str, Cell]:
    """Differences of each class's counters between two comparable records; classes whose counters fell are left out."""
    old = {cell.name: cell for cell in before.cells}
    found: dict[str, Cell] = {}
    for cell in after.cells:
        if (before_it := old.get(cell.name)) is None:
            continue
        good, late, refused, failed, left = (a - b for a, b in zip(cell.counts(), before_it.counts(), strict=True))
        if min(good, late, refused, failed, left) >= 0:
            found[cell.name] = Cell(cell.name, good, late, refused, failed, left, cell.p99)
    return found
