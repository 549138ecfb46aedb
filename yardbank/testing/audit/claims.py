"""Checks of the claims that a scenario makes beyond the five rules. Each reads the record and returns a finding."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from yardbank.testing.audit.judge import outcome
from yardbank.testing.audit.record import Fact

CLASSES = ("lookup", "status", "commit")


@dataclass(slots=True, frozen=True)
class Finding:
    """The verdict on a claim: a description of what was observed, and the fact that contradicts the claim, if any."""

    held: bool
    seen: str
    fact: Fact | None = None


def step_time(facts: Iterable[Fact], step: str, phase: str) -> float | None:
    """The time at which a step began ("begin") or ended ("end"), or None if it did not.

    A permanent step has no end of its own: it counts as ended when it begins.
    """
    found = None
    for fact in facts:
        if fact["kind"] == "step" and fact["name"] == step and fact["phase"] in (phase, "begin"):
            if found is None or fact["phase"] == phase:
                found = fact["at"]
            if fact["phase"] == phase:
                break
    return found


def step_window(facts: Sequence[Fact], after: str, until: str) -> tuple[float, float] | None:
    """The time from the end of one step to the beginning of another, or None if either did not happen."""
    since = step_time(facts, after, "end") if after else float("-inf")
    to = step_time(facts, until, "begin") if until else float("inf")
    return None if since is None or to is None else (since, to)


def served(facts: Sequence[Fact], least: float, after: str, until: str, request_class: str) -> Finding:
    """Checks that at least a share ``least`` of the operations that clients started in the window was served.

    An operation counts as served if any of its attempts was, retries included.
    """
    window = step_window(facts, after, until)
    if window is None:
        return Finding(False, "a step that it names never came")
    wanted = {
        fact["want"]: fact
        for fact in facts
        if fact["kind"] == "wanted"
        and window[0] <= fact["at"] <= window[1]
        and request_class in ("", fact["request_class"])
    }
    ends = Counter(fact["end"] for fact in facts if fact["kind"] == "done" and fact["want"] in wanted)
    if not wanted:
        return Finding(False, "nothing was wanted in its span")
    share = ends["served"] / len(wanted)
    rest = ", ".join(f"{count} {end}" for end, count in sorted(ends.items()) if end != "served")
    seen = f"{share:.3f} of {len(wanted)} served, {least:.3f} wanted" + (f" ({rest})" if rest else "")
    worst = next(
        (fact for fact in facts if fact["kind"] == "done" and fact["want"] in wanted and fact["end"] != "served"), None
    )
    return Finding(share >= least, seen, None if share >= least else worst)


def serves_again(facts: Sequence[Fact], after: str, gateways: Sequence[str]) -> Finding:
    """Checks that each gateway served each class after a step; gateways that were stopped for good are left out."""
    since = step_time(facts, after, "end")
    if since is None:
        return Finding(False, f"step {after} never came")
    state: dict[str, str] = {}
    sent_after: set[str] = set()  # tags of requests sent after the step
    seen: Counter[tuple[str, str]] = Counter()
    asked: dict[str, Fact] = {}
    for fact in facts:
        if fact["kind"] == "process":
            state.setdefault(fact["name"], "")
            state[fact["name"]] = fact["what"]
        elif fact["kind"] == "sent" and fact["at"] >= since:
            sent_after.add(fact["tag"])
            asked[fact["tag"]] = fact
        elif fact["kind"] == "answer" and fact["tag"] in sent_after and outcome(fact["code"]) == "served":
            sent = asked[fact["tag"]]
            seen[sent["gateway"], sent["need"]["request_class"]] += 1
        elif fact["kind"] == "load_over":
            break
    gone = {name for name, what in state.items() if what in ("ended", "kill", "terminate")}
    judged = [name for name in gateways if name not in gone]
    missing = [f"{name} {kind}" for name in judged for kind in CLASSES if not seen[name, kind]]
    if missing:
        return Finding(False, f"nothing served after {after}: {', '.join(missing)}")
    return Finding(bool(judged), f"{len(judged)} gateways served every class after {after}")


def alive(facts: Sequence[Fact], gateways: Sequence[str]) -> Finding:
    """Checks that gateways exit only when killed by the rig, or with code 0 when asked to stop."""
    process_events = [fact for fact in facts if fact["kind"] == "process" and fact["name"] in gateways]
    ends = [fact for fact in process_events if fact["what"] == "ended"]
    unexpected = next((fact for fact in ends if not fact["meant"]), None)
    if unexpected is not None:
        how = f"by signal {unexpected['signal']}" if unexpected["signal"] else f"with code {unexpected['code']}"
        return Finding(False, f"{unexpected['name']} ended {how}", unexpected)
    return Finding(bool(ends), f"{len(ends)} ends, all meant")


def views(facts: Sequence[Fact], gateways: Sequence[str]) -> Finding:
    """Checks that at the end every running gateway reports the running ones as alive and the others as gone.

    The end is the time at which the load is over and the rig has waited for the reports. Reports made while gateways
    are being stopped are not checked.
    """
    running, reports, over = _state_at_end(facts, gateways)
    judged = [name for name in gateways if running.get(name)]
    for name in judged:
        for other in gateways:
            if other == name:
                continue
            right = "alive" if running.get(other) else "gone"
            report = reports.get(name, {}).get(other)
            if report is None or report["state"] != right:
                seen_as = report["state"] if report else "unheard"
                return Finding(False, f"{name} sees {other} as {seen_as}, which is {right}", report)
    return Finding(over and bool(judged), f"{len(judged)} gateways see each other rightly")


def _state_at_end(
    facts: Sequence[Fact], gateways: Sequence[str]
) -> tuple[dict[str, bool], dict[str, dict[str, Fact]], bool]:
    """Which gateways ran, the last report on each peer by each gateway's current run, and whether the load was over."""
    running: dict[str, bool] = {}
    reports: dict[str, dict[str, Fact]] = {}
    over = False
    for fact in facts:
        match fact["kind"]:
            case "load_over":
                over = True
            case "process" if fact["name"] in gateways:
                if over and fact["what"] in ("terminate", "resume"):
                    break
                running[fact["name"]] = fact["what"] in ("ready", "resume")
            case "peer_start":
                reports[fact["gateway"]] = {}
            case "peer":
                reports.setdefault(fact["gateway"], {})[fact["peer"]] = fact
    return running, reports, over


def belief(facts: Sequence[Fact], groups: Mapping[str, str]) -> Finding:
    """Checks that no gateway avoids more than half of a group because of peers' reports. ``groups``: by server.

    The claim fails where no gateway acted on a report, because such a record proves nothing.
    """
    sizes = Counter(groups.values())
    seen = [fact for fact in facts if fact["kind"] == "hearsay"]
    for fact in seen:
        for group, count in Counter(groups[server] for server in fact["doubted"]).items():
            if 2 * count > sizes[group]:
                return Finding(False, f"{fact['gateway']} spares {count} of {sizes[group]} servers of {group}", fact)
    believers = {fact["gateway"] for fact in seen if fact["doubted"]}
    return Finding(bool(believers), f"{len(believers)} gateways spared servers on hearsay, half of a group at most")


def unmoved(facts: Sequence[Fact]) -> Finding:
    """Checks that no gateway avoids a server because of peers' reports, although gateways heard each other."""
    moved = next((fact for fact in facts if fact["kind"] == "hearsay" and fact["doubted"]), None)
    if moved is not None:
        return Finding(False, f"{moved['gateway']} spares {', '.join(moved['doubted'])}", moved)
    heard = sum(1 for fact in facts if fact["kind"] == "peer" and fact["state"] == "alive")
    return Finding(heard > 0, f"nobody spared a server on others' word; {heard} times a peer was heard")
