"""Claims on channels: one owner at a time, by items that crossed; followers in order; owners that stay."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass

from yardbank.testing.audit.claims import Finding, moment, span
from yardbank.testing.audit.record import Fact

Place = tuple[int, int]  # epoch, sequence
RECORDING = 0.05  # seconds from an item's leaving to its being noted, if the rig itself was not late


@dataclass(slots=True)
class Reign:
    """One owner's items of one channel under one epoch: the first and the last that crossed, each when it did first."""

    channel: str
    epoch: int
    owner: str
    first: Fact
    last: Fact
    top: int  # the highest sequence


def reigns(facts: Iterable[Fact]) -> list[Reign]:
    """All, by their first items. What an owner sends again, or another hands on, makes none longer."""
    found: dict[tuple[str, int, str], Reign] = {}
    for fact in facts:
        if fact["kind"] == "item" and fact["sender"] == fact["owner"]:
            key = fact["channel"], fact["epoch"], fact["owner"]
            reign = found.get(key)
            if reign is None:
                found[key] = Reign(*key, fact, fact, fact["sequence"])
            elif fact["sequence"] > reign.top:
                reign.last, reign.top = fact, fact["sequence"]
    return list(found.values())


def _lateness(facts: Iterable[Fact]) -> list[tuple[float, float]]:
    """When the rig found itself late, and by how much (s)."""
    return [(fact["at"], fact["by"]) for fact in facts if fact["kind"] == "rig_late"]


def owners(facts: Sequence[Fact], most: float, slack: float = RECORDING) -> Finding:
    """Each epoch has one owner, and two owners of a channel overlap by ``most`` (s) at most.

    ``slack`` is of the rig's own recording; where the rig was late, it is longer by that.
    """
    by_channel: dict[str, list[Reign]] = defaultdict(list)
    late, worst = _lateness(facts), 0.0
    for reign in reigns(facts):
        for other in by_channel[reign.channel]:
            if other.owner == reign.owner:
                continue
            if other.epoch == reign.epoch:
                seen = f"{reign.channel}: {other.owner} and {reign.owner} both own epoch {reign.epoch}"
                return Finding(False, seen, reign.first)
            until = min(other.last, reign.last, key=lambda fact: float(fact["at"]))
            both = until["at"] - max(other.first["at"], reign.first["at"])
            both -= max((by for at, by in late if at - by <= until["at"] <= at), default=0.0)
            worst = max(worst, both)
            if both > most + slack:
                seen = f"{reign.channel}: {other.owner} (epoch {other.epoch}) and {reign.owner} (epoch {reign.epoch})"
                return Finding(False, f"{seen} both for {both:.3f} s, {most:.3f} s allowed", until)
        by_channel[reign.channel].append(reign)
    count = sum(map(len, by_channel.values()))
    return Finding(count > 0, f"{count} epochs of {len(by_channel)} channels, two owners for {worst:.3f} s at most")


def followers(facts: Sequence[Fact]) -> Finding:
    """No follower took an item twice or after a later one; none missed one that crossed with no gap being said."""
    tops: dict[tuple[str, int], int] = defaultdict(int)
    for reign in reigns(facts):
        tops[reign.channel, reign.epoch] = max(tops[reign.channel, reign.epoch], reign.top)
    last: dict[tuple[str, str], Place] = {}
    said: set[tuple[str, str]] = set()
    taken = gaps = 0
    for fact in facts:
        kind = fact["kind"]
        if (kind == "process" and fact["what"] == "start") or kind == "peer_start":
            name = fact.get("name") or fact["gateway"]
            last = {key: place for key, place in last.items() if key[0] != name}
        elif kind == "channel" and fact["what"] == "gap":
            said.add((fact["gateway"], fact["channel"]))
            gaps += 1
        elif kind == "feed_item":
            key, place = (fact["gateway"], fact["channel"]), (fact["epoch"], fact["sequence"])
            before = last.get(key)
            who = f"{key[0]}: {key[1]}"
            if before is not None and place <= before:
                return Finding(False, f"{who} {place} after {before}", fact)
            if before is not None and key not in said:
                if place[0] == before[0]:
                    missed = place[1] - before[1] - 1
                else:
                    missed = place[1] - 1 + max(0, tops[key[1], before[0]] - before[1])
                if missed:
                    return Finding(False, f"{who} {place} after {before}: {missed} missed and no gap said", fact)
            last[key] = place
            said.discard(key)
            taken += 1
    return Finding(taken > 0, f"{taken} items taken, each once and in order; {gaps} gaps said")


def owned_again(facts: Sequence[Fact], after: str, channels: Collection[str], tail: float) -> Finding:
    """After a step each channel has an owner, and in the load's last ``tail`` seconds just one."""
    since, over = moment(facts, after, "end") if after else 0.0, end_of(facts)
    if since is None or over is None:
        return Finding(False, f"step {after} or the load's end never came")
    lately: dict[str, set[tuple[int, str]]] = {name: set() for name in channels}
    for fact in facts:
        if fact["kind"] == "item" and fact["sender"] == fact["owner"] and max(since, over - tail) <= fact["at"] <= over:
            lately.setdefault(fact["channel"], set()).add((fact["epoch"], fact["owner"]))
    for name, seen in sorted(lately.items()):
        if len(seen) != 1:
            return Finding(False, f"{name} has {len(seen)} owners in the end: {sorted(seen)}")
    return Finding(bool(lately), f"{len(lately)} channels have one owner each in the end")


def end_of(facts: Iterable[Fact]) -> float | None:
    """When the load was over."""
    return next((float(fact["at"]) for fact in facts if fact["kind"] == "load_over"), None)


def steady(facts: Sequence[Fact], most: int, after: str, until: str) -> Finding:
    """Within a span channels went from one owner to another at most so often, all together."""
    window, over = span(facts, after, until), end_of(facts)
    if window is None or over is None:
        return Finding(False, "a step that it names, or the load's end, never came")
    current: dict[str, str] = {}
    moves = [0]
    for reign in reigns(facts):
        at, before = reign.first["at"], current.get(reign.channel)
        if before not in (None, reign.owner) and window[0] <= at <= min(window[1], over):
            moves.append(moves[-1] + 1)
        current[reign.channel] = reign.owner
    return Finding(
        bool(current) and moves[-1] <= most,
        f"{moves[-1]} changes of owner over {len(current)} channels, {most} allowed",
    )
