"""Claims on rollouts: who went over in which order, how many were out at once, and on which version all ended."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Mapping, Sequence

from yardbank.testing.audit.claims import Finding
from yardbank.testing.audit.record import Fact

# Words of the gateways' ``rollout`` lines; ``stage`` is the one that its sender sees under way.
GOES, STAGE, WELL, STOPPED = "going_over", "stage", "well", "stopped"
ON_NEW, ON_OLD = ("settling", "new", "due_back", "going_back"), ("settling_back", "old", "fell_back")


def running(facts: Sequence[Fact], gateways: Sequence[str]) -> list[str]:
    """Gateways that serve as the load is over."""
    what: dict[str, str] = {}
    for fact in facts:
        if fact["kind"] == "load_over":
            break
        if fact["kind"] == "process":
            what[fact["name"]] = fact["what"]
    return [name for name in gateways if what.get(name) in ("ready", "resume")]


def versions(facts: Sequence[Fact]) -> dict[str, Fact]:
    """By gateway its last word on where it is, before the load was over."""
    found = {}
    for fact in facts:
        if fact["kind"] == "load_over":
            break
        if fact["kind"] == "rollout" and fact["what"] in (*ON_NEW, *ON_OLD):
            found[fact["gateway"]] = fact
    return found


def advanced(facts: Sequence[Fact], gateways: Sequence[str]) -> Finding:
    """In the end all that run are on the new version."""
    last, judged = versions(facts), running(facts, gateways)
    behind = [name for name in judged if name not in last or last[name]["what"] not in ON_NEW]
    seen = f"not on the new version: {', '.join(behind)}" if behind else f"{len(judged)} gateways on the new version"
    return Finding(bool(judged) and not behind, seen, last.get(behind[0]) if behind else None)


def stopped(facts: Sequence[Fact], gateways: Sequence[str]) -> Finding:
    """Somebody said stop, nobody went over who had heard it, and in the end all that run are on the old version."""
    heard: dict[tuple[str, str], Fact] = {}
    for fact in facts:
        if fact["kind"] == "rollout" and fact["what"] == STOPPED:
            heard.setdefault((fact["gateway"], fact["rollout"]), fact)
        elif fact["kind"] == "rollout" and fact["what"] == GOES and (fact["gateway"], fact["rollout"]) in heard:
            return Finding(False, f"{fact['gateway']} went over though it had heard of the stop", fact)
    last, judged = versions(facts), running(facts, gateways)
    still = [name for name in judged if name in last and last[name]["what"] in ON_NEW]
    if still:
        return Finding(False, f"still on the new version: {', '.join(still)}", last[still[0]])
    moved = {fact["gateway"] for fact in facts if fact["kind"] == "rollout" and fact["what"] == GOES}
    told = len({name for name, _ in heard})
    seen = f"{told} heard the stop, {len(moved)} had gone over, {len(judged)} on the old version"
    return Finding(bool(heard) and bool(judged), seen)


def stages(facts: Sequence[Fact], zones: Mapping[str, str], most: int, outage: float = float("inf")) -> Finding:
    """Nobody goes before it has found the stage before well; each stage is spread over zones, at most ``most`` out.

    No zone has gone as a whole before the last stage. ``zones``: by gateway. Out are those that restart on their own
    account; whom the rig killed or stopped is not counted, nor who is out for longer than the ``outage`` (s) that was
    asked for: the others do not wait for that one any more.
    """
    sizes, over = Counter(zones.values()), defaultdict[str, dict[str, int]](dict)  # by rollout: stage by gateway
    well: dict[tuple[str, str], int] = {}  # by gateway and rollout: the last stage that it has found well
    out: dict[str, float] = {}  # since when
    worst = 0
    last = max((fact["stage"] for fact in facts if fact["kind"] == "rollout" and fact["what"] == GOES), default=0)
    begun = {fact["stage"] for fact in facts if fact["kind"] == "rollout" and fact["what"] == STAGE}
    for fact in facts:
        if fact["kind"] == "process" and fact["name"] in zones:
            if fact["what"] == "leaving":
                out[fact["name"]] = fact["at"]
            else:
                out.pop(fact["name"], None)
            planned = sorted(name for name, since in out.items() if fact["at"] - since < outage)
            worst = max(worst, len(planned))
            if len(planned) > most:
                return Finding(False, f"{', '.join(planned)} are out of service together, {most} allowed", fact)
        elif fact["kind"] == "rollout" and fact["what"] == WELL:
            well[fact["gateway"], fact["rollout"]] = fact["stage"]
        elif fact["kind"] == "rollout" and fact["what"] == GOES:
            stage, name, rollout = fact["stage"], fact["gateway"], fact["rollout"]
            before = max((one for one in begun if one < stage), default=0)
            follows = sum(one >= stage for other, one in over[rollout].items() if other != name) >= 2  # it was away
            if before and well.get((name, rollout), 0) < before and not follows:
                return Finding(False, f"{name} went in stage {stage} and had not found stage {before} well", fact)
            over[rollout][name] = stage
            there = Counter(zones[one] for one in over[rollout])
            whole = [zone for zone, size in sizes.items() if there[zone] == size]
            if whole and stage < last and len(sizes) > 1:
                return Finding(False, f"zone {whole[0]} has gone as a whole in stage {stage} of {last}", fact)
            if (
                len(set(sizes.values())) == 1
                and stage < last
                and max(there.values()) - min(there[zone] for zone in sizes) > 1
            ):
                return Finding(False, f"stage {stage} is not spread over zones: {dict(there)}", fact)
    moves = sum(map(len, over.values()))  # who tries in service first, and then goes down, went once
    return Finding(moves > 0, f"{moves} went over in {last} stages, {worst} out of service together at most")
