"""The claim on the map of ways between zones: what gateways say against the delays that were set."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from yardbank.testing.audit.changes import running
from yardbank.testing.audit.claims import Finding
from yardbank.testing.audit.record import Fact

KNOWN = ("seen", "estimated")


def charted(facts: Sequence[Fact], zones: Mapping[str, str], share: float, within: float) -> Finding:
    """Each running gateway's last word of each way from its zone is right in the end.

    Right: within ``share`` of the round trip that was set, or within so many milliseconds of it, whichever is more.
    ``zones``: by gateway.
    """
    set_to: dict[tuple[str, str], float] = {}
    said: dict[tuple[str, str, str], Fact] = {}
    for fact in facts:
        if fact["kind"] == "load_over":
            break
        if fact["kind"] == "way":
            set_to[fact["from"], fact["to"]] = fact["ms"]
        elif fact["kind"] == "map":
            for ends in ((fact["from"], fact["to"]), (fact["to"], fact["from"])):  # a round trip has no direction
                said[fact["gateway"], *ends] = fact
        elif fact["kind"] == "peer_start":
            said = {key: word for key, word in said.items() if key[0] != fact["gateway"]}
    worst, judged = 0.0, 0
    for name in running(facts, list(zones)):
        for (source, target), ms in set_to.items():
            if source != zones[name] or source == target:
                continue
            word = said.get((name, source, target))
            if word is None or word["how"] not in KNOWN:
                return Finding(False, f"{name} knows nothing of the way from {source} to {target}", word)
            off = abs(word["ms"] - ms)
            if off > max(within, share * ms):
                seen = f"{name} says {word['ms']:.1f} ms from {source} to {target}, {ms:.1f} are set"
                return Finding(False, seen, word)
            worst, judged = max(worst, off), judged + 1
    return Finding(judged > 0, f"{judged} ways right, {worst:.1f} ms off at most")
