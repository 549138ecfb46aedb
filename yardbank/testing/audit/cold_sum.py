"""The claim on cold servers: the calls of all gateways together, with retries and probes, stay within a budget.

Facts: ``start`` of a server (``cold_s``, ``cold_share``, and ``per_s`` when warm) and ``begun`` (gateway, server, op)
for each attempt and probe.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections import Counter, defaultdict
from collections.abc import Sequence
from dataclasses import dataclass
from math import sqrt

from yardbank.testing.audit.claims import Finding
from yardbank.testing.audit.record import Fact


@dataclass(slots=True, frozen=True)
class ColdBounds:
    """The budget N of a window is ``multiple`` times the server's capacity at its start, times its length."""

    multiple: float = 2.5
    window: float = 1.5  # seconds
    roots: float = 2.0  # allowance for random variation: this many square roots of N,
    spare: float = 2.0  # plus this many calls


def capacity(start: Fact, at: float) -> float:
    """Calls per second that a server can handle at a time after its start."""
    age = (at - start["at"]) / start["cold_s"] if start["cold_s"] else 1.0
    share = min(1.0, start["cold_share"] + (1 - start["cold_share"]) * age)
    return float(share * start["per_s"])


def cold_sum(facts: Sequence[Fact], bounds: ColdBounds | None = None) -> Finding:
    """Checks that the calls in every window that begins while a server is cold are within its budget and allowance."""
    bounds = bounds or ColdBounds()
    calls: dict[str, list[Fact]] = defaultdict(list)
    for fact in sorted((fact for fact in facts if fact["kind"] == "begun"), key=lambda fact: float(fact["at"])):
        calls[fact["server"]].append(fact)
    starts = [fact for fact in facts if fact["kind"] == "start"]
    judged, nearest, seen = 0, 0.0, ""
    for start in starts:
        again = min(
            (one["at"] for one in starts if one["server"] == start["server"] and one["at"] > start["at"]),
            default=float("inf"),
        )
        sent = calls[start["server"]]
        times = [fact["at"] for fact in sent]
        first = bisect_left(times, start["at"])
        last = bisect_right(times, min(start["at"] + start["cold_s"], again))
        judged += last - first
        for index in range(first, last):
            budget = bounds.multiple * capacity(start, times[index]) * bounds.window
            allowed = budget + bounds.roots * sqrt(budget) + bounds.spare
            until = bisect_right(times, min(times[index] + bounds.window, again))
            if until - index <= allowed:
                if (until - index) / allowed > nearest:
                    nearest, seen = (until - index) / allowed, f"{until - index} of {allowed:.1f} at {start['server']}"
                continue
            senders = Counter(fact["gateway"] for fact in sent[index:until])
            most, count = senders.most_common(1)[0]
            text = (
                f"{start['server']}: {until - index} calls within {bounds.window:g} s, from {len(senders)} "
                f"gateways ({count} from {most}), {times[index] - start['at']:.3f} s after its start; the "
                f"budget is {budget:.1f}, with chance {allowed:.1f}"
            )
            return Finding(False, text, sent[until - 1])
    text = f"{judged} calls to {len(starts)} cold servers, nearest to the bound: {seen or 'none'}"
    return Finding(judged > 0, text)
