"""Claims on channels: a single owner at a time, in-order delivery to followers, stable ownership.

Ownership is judged by the channel items that were sent on the network.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass

from yardbank.testing.audit.claims import Finding, step_time, step_window
from yardbank.testing.audit.record import Fact

ItemPosition = tuple[int, int]  # epoch, sequence
RECORDING_DELAY_S = 0.05  # from the sending of an item until an undelayed rig records it


@dataclass(slots=True)
class OwnershipTerm:
    """The items that one owner sent in one channel and epoch: the first and the last, each at its first sending."""

    channel: str
    epoch: int
    owner: str
    first: Fact
    last: Fact
    last_sequence: int  # the highest sequence number


def ownership_terms(facts: Iterable[Fact]) -> list[OwnershipTerm]:
    """All terms, in order of their first items. Items that are resent, or relayed by others, do not extend a term."""
    found: dict[tuple[str, int, str], OwnershipTerm] = {}
    for fact in facts:
        if fact["kind"] == "item" and fact["sender"] == fact["owner"]:
            key = fact["channel"], fact["epoch"], fact["owner"]
            term = found.get(key)
            if term is None:
                found[key] = OwnershipTerm(*key, fact, fact, fact["sequence"])
            elif fact["sequence"] > term.last_sequence:
                term.last, term.last_sequence = fact, fact["sequence"]
    return list(found.values())


def _rig_delays(facts: Iterable[Fact]) -> list[tuple[float, float]]:
    """The times at which the rig detected its own delay, with its length in seconds."""
    return [(fact["at"], fact["by"]) for fact in facts if fact["kind"] == "rig_late"]


def owners(facts: Sequence[Fact], most: float, slack: float = RECORDING_DELAY_S) -> Finding:
    """Checks that each epoch has one owner and that two owners of a channel overlap by ``most`` seconds at most.

    ``slack`` allows for the rig's recording delay; any detected delay of the rig is added to it.
    """
    by_channel: dict[str, list[OwnershipTerm]] = defaultdict(list)
    delays, worst = _rig_delays(facts), 0.0
    for term in ownership_terms(facts):
        for other in by_channel[term.channel]:
            if other.owner == term.owner:
                continue
            if other.epoch == term.epoch:
                seen = f"{term.channel}: {other.owner} and {term.owner} both own epoch {term.epoch}"
                return Finding(False, seen, term.first)
            until = min(other.last, term.last, key=lambda fact: float(fact["at"]))
            overlap = until["at"] - max(other.first["at"], term.first["at"])
            overlap -= max((by for at, by in delays if at - by <= until["at"] <= at), default=0.0)
            worst = max(worst, overlap)
            if overlap > most + slack:
                seen = f"{term.channel}: {other.owner} (epoch {other.epoch}) and {term.owner} (epoch {term.epoch})"
                return Finding(False, f"{seen} both for {overlap:.3f} s, {most:.3f} s allowed", until)
        by_channel[term.channel].append(term)
    count = sum(map(len, by_channel.values()))
    return Finding(count > 0, f"{count} epochs of {len(by_channel)} channels, two owners for {worst:.3f} s at most")


def followers(facts: Sequence[Fact]) -> Finding:
    """Checks that followers get items once and in order, and report a gap wherever they missed a sent item."""
    last_sequences: dict[tuple[str, int], int] = defaultdict(int)
    for term in ownership_terms(facts):
        last_sequences[term.channel, term.epoch] = max(last_sequences[term.channel, term.epoch], term.last_sequence)
    last: dict[tuple[str, str], ItemPosition] = {}
    reported_gaps: set[tuple[str, str]] = set()
    delivered = gaps = 0
    for fact in facts:
        kind = fact["kind"]
        if (kind == "process" and fact["what"] == "start") or kind == "peer_start":
            name = fact.get("name") or fact["gateway"]
            last = {key: position for key, position in last.items() if key[0] != name}
        elif kind == "channel" and fact["what"] == "gap":
            reported_gaps.add((fact["gateway"], fact["channel"]))
            gaps += 1
        elif kind == "feed_item":
            key, position = (fact["gateway"], fact["channel"]), (fact["epoch"], fact["sequence"])
            before = last.get(key)
            who = f"{key[0]}: {key[1]}"
            if before is not None and position <= before:
                return Finding(False, f"{who} {position} after {before}", fact)
            if before is not None and key not in reported_gaps:
                if position[0] == before[0]:
                    missed = position[1] - before[1] - 1
                else:
                    missed = position[1] - 1 + max(0, last_sequences[key[1], before[0]] - before[1])
                if missed:
                    return Finding(False, f"{who} {position} after {before}: {missed} missed and no gap said", fact)
            last[key] = position
            reported_gaps.discard(key)
            delivered += 1
    return Finding(delivered > 0, f"{delivered} items taken, each once and in order; {gaps} gaps said")


def owned_again(facts: Sequence[Fact], after: str, channels: Collection[str], tail: float) -> Finding:
    """Checks that each channel has exactly one owner after a step, in the last ``tail`` seconds of the load."""
    since, over = step_time(facts, after, "end") if after else 0.0, load_end_time(facts)
    if since is None or over is None:
        return Finding(False, f"step {after} or the load's end never came")
    recent_owners: dict[str, set[tuple[int, str]]] = {name: set() for name in channels}
    for fact in facts:
        if fact["kind"] == "item" and fact["sender"] == fact["owner"] and max(since, over - tail) <= fact["at"] <= over:
            recent_owners.setdefault(fact["channel"], set()).add((fact["epoch"], fact["owner"]))
    for name, seen in sorted(recent_owners.items()):
        if len(seen) != 1:
            return Finding(False, f"{name} has {len(seen)} owners in the end: {sorted(seen)}")
    return Finding(bool(recent_owners), f"{len(recent_owners)} channels have one owner each in the end")


def load_end_time(facts: Iterable[Fact]) -> float | None:
    """The time at which the load ended, or None."""
    return next((float(fact["at"]) for fact in facts if fact["kind"] == "load_over"), None)


def steady(facts: Sequence[Fact], most: int, after: str, until: str) -> Finding:
    """Checks that all channels together changed owners at most ``most`` times in the window."""
    window, over = step_window(facts, after, until), load_end_time(facts)
    if window is None or over is None:
        return Finding(False, "a step that it names, or the load's end, never came")
    current: dict[str, str] = {}
    moves = [0]
    for term in ownership_terms(facts):
        at, before = term.first["at"], current.get(term.channel)
        if before not in (None, term.owner) and window[0] <= at <= min(window[1], over):
            moves.append(moves[-1] + 1)
        current[term.channel] = term.owner
    return Finding(
        bool(current) and moves[-1] <= most,
        f"{moves[-1]} changes of owner over {len(current)} channels, {most} allowed",
    )
