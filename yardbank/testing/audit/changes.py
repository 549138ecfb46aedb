"""Claims on rollouts: order of stages, number of gateways out of service together, final version."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Mapping, Sequence

from yardbank.testing.audit.claims import Finding
from yardbank.testing.audit.record import Fact

# Values of ``what`` in the gateways' ``rollout`` log lines; "stage": the stage that the gateway sees in progress.
GOING_OVER, STAGE_BEGUN, STAGE_HEALTHY, STOPPED = "going_over", "stage", "well", "stopped"
NEW_VERSION_STATES, OLD_VERSION_STATES = (
    ("settling", "new", "due_back", "going_back"),
    ("settling_back", "old", "fell_back"),
)


def running_gateways(facts: Sequence[Fact], gateways: Sequence[str]) -> list[str]:
    """Gateways that are in service when the load ends."""
    what: dict[str, str] = {}
    for fact in facts:
        if fact["kind"] == "load_over":
            break
        if fact["kind"] == "process":
            what[fact["name"]] = fact["what"]
    return [name for name in gateways if what.get(name) in ("ready", "resume")]


def last_states(facts: Sequence[Fact]) -> dict[str, Fact]:
    """By gateway: its last report of its own version before the load ended."""
    found = {}
    for fact in facts:
        if fact["kind"] == "load_over":
            break
        if fact["kind"] == "rollout" and fact["what"] in (*NEW_VERSION_STATES, *OLD_VERSION_STATES):
            found[fact["gateway"]] = fact
    return found


def advanced(facts: Sequence[Fact], gateways: Sequence[str]) -> Finding:
    """Checks that at the end all running gateways are on the new version."""
    last, judged = last_states(facts), running_gateways(facts, gateways)
    behind = [name for name in judged if name not in last or last[name]["what"] not in NEW_VERSION_STATES]
    seen = f"not on the new version: {', '.join(behind)}" if behind else f"{len(judged)} gateways on the new version"
    return Finding(bool(judged) and not behind, seen, last.get(behind[0]) if behind else None)


def stopped(facts: Sequence[Fact], gateways: Sequence[str]) -> Finding:
    """Checks a stopped rollout: no gateway changes over after it knows of the stop; all end on the old version."""
    heard: dict[tuple[str, str], Fact] = {}
    for fact in facts:
        if fact["kind"] == "rollout" and fact["what"] == STOPPED:
            heard.setdefault((fact["gateway"], fact["rollout"]), fact)
        elif fact["kind"] == "rollout" and fact["what"] == GOING_OVER and (fact["gateway"], fact["rollout"]) in heard:
            return Finding(False, f"{fact['gateway']} went over though it had heard of the stop", fact)
    last, judged = last_states(facts), running_gateways(facts, gateways)
    still = [name for name in judged if name in last and last[name]["what"] in NEW_VERSION_STATES]
    if still:
        return Finding(False, f"still on the new version: {', '.join(still)}", last[still[0]])
    moved = {fact["gateway"] for fact in facts if fact["kind"] == "rollout" and fact["what"] == GOING_OVER}
    told = len({name for name, _ in heard})
    seen = f"{told} heard the stop, {len(moved)} had gone over, {len(judged)} on the old version"
    return Finding(bool(heard) and bool(judged), seen)


def stages(facts: Sequence[Fact], zones: Mapping[str, str], most: int, outage: float = float("inf")) -> Finding:
    """Checks the stages of a rollout. ``zones``: by gateway.

    A gateway changes over only after it found the previous stage healthy. Each stage is spread over zones, no zone is
    complete before the last stage, and at most ``most`` gateways are out of service together. Only gateways that
    restart by themselves count as out: not those that the rig killed or stopped, nor those that are out for longer
    than the configured ``outage`` (s), because the others stop waiting for them.
    """
    # ``stage_of``: by rollout and gateway.
    sizes, stage_of = Counter(zones.values()), defaultdict[str, dict[str, int]](dict)
    healthy_stage: dict[tuple[str, str], int] = {}  # by gateway and rollout: the last stage found healthy
    out: dict[str, float] = {}  # by gateway: out of service since
    worst = 0
    last = max((fact["stage"] for fact in facts if fact["kind"] == "rollout" and fact["what"] == GOING_OVER), default=0)
    begun = {fact["stage"] for fact in facts if fact["kind"] == "rollout" and fact["what"] == STAGE_BEGUN}
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
        elif fact["kind"] == "rollout" and fact["what"] == STAGE_HEALTHY:
            healthy_stage[fact["gateway"], fact["rollout"]] = fact["stage"]
        elif fact["kind"] == "rollout" and fact["what"] == GOING_OVER:
            stage, name, rollout = fact["stage"], fact["gateway"], fact["rollout"]
            previous_stage = max((one for one in begun if one < stage), default=0)
            # Was away while others went on, and catches up.
            catching_up = sum(one >= stage for other, one in stage_of[rollout].items() if other != name) >= 2
            if previous_stage and healthy_stage.get((name, rollout), 0) < previous_stage and not catching_up:
                return Finding(
                    False, f"{name} went in stage {stage} and had not found stage {previous_stage} well", fact
                )
            stage_of[rollout][name] = stage
            changed_by_zone = Counter(zones[one] for one in stage_of[rollout])
            complete_zones = [zone for zone, size in sizes.items() if changed_by_zone[zone] == size]
            if complete_zones and stage < last and len(sizes) > 1:
                return Finding(False, f"zone {complete_zones[0]} has gone as a whole in stage {stage} of {last}", fact)
            if (
                len(set(sizes.values())) == 1
                and stage < last
                and max(changed_by_zone.values()) - min(changed_by_zone[zone] for zone in sizes) > 1
            ):
                return Finding(False, f"stage {stage} is not spread over zones: {dict(changed_by_zone)}", fact)
    moves = sum(map(len, stage_of.values()))  # one that tries in service and then restarts counts once
    return Finding(moves > 0, f"{moves} went over in {last} stages, {worst} out of service together at most")
