"""What a scenario claims beyond the five rules, judged from the record. Each gives what was found against it."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from yardbank.testing.audit.judge import outcome
from yardbank.testing.audit.record import Fact

CLASSES = ("lookup", "status", "commit")


@dataclass(slots=True, frozen=True)
class Finding:
    """A claim's verdict: what was seen, in words, and the record's fact that speaks against it, if one does."""

    held: bool
    seen: str
    fact: Fact | None = None


def moment(facts: Iterable[Fact], step: str, phase: str) -> float | None:
    """When a step began ("begin") or was over ("end"); one for good is over when it has begun. None: never."""
    found = None
    for fact in facts:
        if fact["kind"] == "step" and fact["name"] == step and fact["phase"] in (phase, "begin"):
            if found is None or fact["phase"] == phase:
                found = fact["at"]
            if fact["phase"] == phase:
                break
    return found


def span(facts: Sequence[Fact], after: str, until: str) -> tuple[float, float] | None:
    """From the end of one step to the beginning of another; None if either never came."""
    since = moment(facts, after, "end") if after else float("-inf")
    to = moment(facts, until, "begin") if until else float("inf")
    return None if since is None or to is None else (since, to)


def served(facts: Sequence[Fact], least: float, after: str, until: str, request_class: str) -> Finding:
    """At least this share of what clients came to want in the span was served in the end, tries anew included."""
    window = span(facts, after, until)
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
    """Each of these gateways served each class after a step was over; one that is gone for good is left out."""
    since = moment(facts, after, "end")
    if since is None:
        return Finding(False, f"step {after} never came")
    state: dict[str, str] = {}
    begun_after: set[str] = set()  # requests sent after it
    seen: Counter[tuple[str, str]] = Counter()
    asked: dict[str, Fact] = {}
    for fact in facts:
        if fact["kind"] == "process":
            state.setdefault(fact["name"], "")
            state[fact["name"]] = fact["what"]
        elif fact["kind"] == "sent" and fact["at"] >= since:
            begun_after.add(fact["tag"])
            asked[fact["tag"]] = fact
        elif fact["kind"] == "answer" and fact["tag"] in begun_after and outcome(fact["code"]) == "served":
            sent = asked[fact["tag"]]
            seen[sent["gateway"], sent["need"]["request_class"]] += 1
        elif fact["kind"] == "load_over":
            break
    gone = {name for name, what in state.items() if what in ("ended", "kill", "terminate")}
    judged = [name for name in gateways if name not in gone]
    lacking = [f"{name} {kind}" for name in judged for kind in CLASSES if not seen[name, kind]]
    if lacking:
        return Finding(False, f"nothing served after {after}: {', '.join(lacking)}")
    return Finding(bool(judged), f"{len(judged)} gateways served every class after {after}")


def alive(facts: Sequence[Fact], gateways: Sequence[str]) -> Finding:
    """No gateway ended but by a kill, or with code 0 when told to stop."""
    moves = [fact for fact in facts if fact["kind"] == "process" and fact["name"] in gateways]
    ends = [fact for fact in moves if fact["what"] == "ended"]
    bad = next((fact for fact in ends if not fact["meant"]), None)
    if bad is not None:
        how = f"by signal {bad['signal']}" if bad["signal"] else f"with code {bad['code']}"
        return Finding(False, f"{bad['name']} ended {how}", bad)
    return Finding(bool(ends), f"{len(ends)} ends, all meant")


def views(facts: Sequence[Fact], gateways: Sequence[str]) -> Finding:
    """In the end every gateway that runs sees the running ones as alive and the others as gone.

    The end is when the load was over and the rig had waited for it; what they say as they are stopped is not judged.
    """
    running, reports, over = _at_the_end(facts, gateways)
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


def _at_the_end(
    facts: Sequence[Fact], gateways: Sequence[str]
) -> tuple[dict[str, bool], dict[str, dict[str, Fact]], bool]:
    """Which gateways ran, each one's last report of each peer in its present run, and whether the load was over."""
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
    """No gateway spares more than half of a group on others' word. ``groups``: by server.

    A scenario in which nothing was believed shows nothing, so that is no proof.
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
    """Nobody spares a server on others' word, though they heard each other."""
    moved = next((fact for fact in facts if fact["kind"] == "hearsay" and fact["doubted"]), None)
    if moved is not None:
        return Finding(False, f"{moved['gateway']} spares {', '.join(moved['doubted'])}", moved)
    heard = sum(1 for fact in facts if fact["kind"] == "peer" and fact["state"] == "alive")
    return Finding(heard > 0, f"nobody spared a server on others' word; {heard} times a peer was heard")
