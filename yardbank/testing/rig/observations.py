"""What the rig knows of a play as it goes: from log lines and from gossip messages that crossed. No I/O.

It makes facts of them, and says which events they are that steps may wait for, and whom words such as
``owner:CHANNEL`` mean now.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any

from yardbank.testing.audit.changes import NEW_VERSION_STATES, OLD_VERSION_STATES, STOPPED
from yardbank.testing.audit.gossip_messages import holdings, items

Fact = dict[str, Any]
# Log lines that become facts: under their own name, with these of their words.
LINES = {
    "lease": ("resource", "what", "epoch", "why"),
    "channel": ("name", "what", "epoch"),
    "feed_item": ("name", "epoch", "sequence"),
    "rollout": ("rollout", "what", "stage", "version", "why"),
    "map": ("from", "to", "ms", "how"),
    "hearsay": ("doubted",),
}
PUBLISHER = "list-publisher"  # the resource of its lease
_CALLED = {"name": "channel"}  # in a fact


def fact_of(gateway: str, line: Mapping[str, Any]) -> Fact | None:
    """A gateway's log line as a fact."""
    words = LINES.get(str(line.get("event")))
    if words is None:
        return None
    return {"kind": line["event"], "gateway": gateway, **{_CALLED.get(w, w): line[w] for w in words if w in line}}


class Known:
    """Who owns which channel, and who has gone over."""

    def __init__(self) -> None:
        self.owners: dict[str, tuple[int, str]] = {}  # by channel: the highest epoch that crossed, and whose it is
        self.over: set[str] = set()
        self.publisher = ""  # who last got the lease of the list's publisher
        self._held: dict[str, tuple[Any, ...]] = {}  # by gateway: the version of the list that it last announced
        self._ends: dict[str, str] = {}  # by gateway: how a rollout ended for it: finished, stopped, withdrawn
        self._stages: set[int] = set()

    def crossed(self, source: str, target: str, data: bytes) -> tuple[list[Fact], list[str]]:
        """A datagram entered the link from one to another: facts and events."""
        facts: list[Fact] = [{**item, "sender": source, "to": target} for item in items(data)]
        events = []
        for fact in facts:
            channel, epoch = fact["channel"], fact["epoch"]
            if source == fact["owner"] and epoch > self.owners.get(channel, (0, ""))[0]:
                self.owners[channel] = epoch, source
                events.append(f"owned:{channel}")
        for fact in holdings(data):
            what = fact["epoch"], fact["number"], fact["digest"]
            if fact["gateway"] == source and self._held.get(source) != what:
                self._held[source] = what
                facts.append(fact)
        return facts, events

    def heard(self, fact: Fact) -> list[str]:
        """A gateway said this: events."""
        if fact["kind"] == "lease" and fact["resource"] == PUBLISHER and fact["what"] == "owned":
            self.publisher = fact["gateway"]
            return ["publisher"]
        if fact["kind"] != "rollout":
            return []
        what, stage = fact["what"], fact.get("stage", 0)
        found = []
        if what in ("finished", STOPPED, "withdrawn"):
            self._ends[fact["gateway"]] = what
        if what in NEW_VERSION_STATES and fact["gateway"] not in self.over:
            self.over.add(fact["gateway"])
            found.append("went_over")
        elif what in OLD_VERSION_STATES:
            self.over.discard(fact["gateway"])
        elif what == STOPPED:
            found.append("stopped")
        if stage and stage not in self._stages:
            self._stages.add(stage)
            found.append(f"stage:{stage}")
        return found

    def names(self, words: Iterable[str]) -> list[str]:
        """Whom these words mean now."""
        found = [self.owners[word[6:]][1] for word in words if word.startswith("owner:") and word[6:] in self.owners]
        found += [self.publisher] if "publisher" in words and self.publisher else []
        return found + (sorted(self.over) if "moved" in words else [])

    def settled(self, gateways: Iterable[str]) -> bool:
        """Whether a rollout is through for these: finished and on the new version, or stopped and on the old one."""
        return all(name in self._ends and (name in self.over) == (self._ends[name] == "finished") for name in gateways)

    def standing(self) -> list[str]:
        """Events that have come and still hold, for steps that begin to wait now."""
        return [f"owned:{channel}" for channel in self.owners]
