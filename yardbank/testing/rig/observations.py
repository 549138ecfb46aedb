"""Observations during a run, from log lines and gossip messages. No I/O.

Turns them into facts for the record and events that steps may wait for, and resolves names such as
``owner:CHANNEL`` to gateways.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any

from yardbank.testing.audit.changes import NEW_VERSION_STATES, OLD_VERSION_STATES, STOPPED
from yardbank.testing.audit.gossip_messages import holdings, items

Fact = dict[str, Any]
# Log events that become facts of the same kind, with the keys to copy.
RECORDED_EVENTS = {
    "lease": ("resource", "what", "epoch", "why"),
    "channel": ("name", "what", "epoch"),
    "feed_item": ("name", "epoch", "sequence"),
    "rollout": ("rollout", "what", "stage", "version", "why"),
    "map": ("from", "to", "ms", "how"),
    "hearsay": ("doubted",),
}
PUBLISHER = "list-publisher"  # lease resource of the list's publisher
_RENAMED_KEYS = {"name": "channel"}  # keys with another name in the fact


def fact_from_log(gateway: str, line: Mapping[str, Any]) -> Fact | None:
    """Converts a gateway's log line to a fact; None if it is not in ``RECORDED_EVENTS``."""
    words = RECORDED_EVENTS.get(str(line.get("event")))
    if words is None:
        return None
    return {"kind": line["event"], "gateway": gateway, **{_RENAMED_KEYS.get(w, w): line[w] for w in words if w in line}}


class Observations:
    """The current owners of channels, the list's publisher, and the gateways on the new version."""

    def __init__(self) -> None:
        self.owners: dict[str, tuple[int, str]] = {}  # by channel: the highest epoch seen, and its owner
        self.upgraded: set[str] = set()
        self.publisher = ""  # gateway that last got the publisher's lease
        self._list_versions: dict[str, tuple[Any, ...]] = {}  # by gateway: the list version that it last announced
        self._rollout_ends: dict[str, str] = {}  # by gateway: outcome of a rollout: finished, stopped or withdrawn
        self._stages: set[int] = set()

    def process_datagram(self, source: str, target: str, data: bytes) -> tuple[list[Fact], list[str]]:
        """Processes a datagram that was sent; returns facts and events."""
        facts: list[Fact] = [{**item, "sender": source, "to": target} for item in items(data)]
        events = []
        for fact in facts:
            channel, epoch = fact["channel"], fact["epoch"]
            if source == fact["owner"] and epoch > self.owners.get(channel, (0, ""))[0]:
                self.owners[channel] = epoch, source
                events.append(f"owned:{channel}")
        for fact in holdings(data):
            what = fact["epoch"], fact["number"], fact["digest"]
            if fact["gateway"] == source and self._list_versions.get(source) != what:
                self._list_versions[source] = what
                facts.append(fact)
        return facts, events

    def process_log_fact(self, fact: Fact) -> list[str]:
        """Processes a fact from a gateway's log; returns events."""
        if fact["kind"] == "lease" and fact["resource"] == PUBLISHER and fact["what"] == "owned":
            self.publisher = fact["gateway"]
            return ["publisher"]
        if fact["kind"] != "rollout":
            return []
        what, stage = fact["what"], fact.get("stage", 0)
        found = []
        if what in ("finished", STOPPED, "withdrawn"):
            self._rollout_ends[fact["gateway"]] = what
        if what in NEW_VERSION_STATES and fact["gateway"] not in self.upgraded:
            self.upgraded.add(fact["gateway"])
            found.append("went_over")
        elif what in OLD_VERSION_STATES:
            self.upgraded.discard(fact["gateway"])
        elif what == STOPPED:
            found.append("stopped")
        if stage and stage not in self._stages:
            self._stages.add(stage)
            found.append(f"stage:{stage}")
        return found

    def resolve(self, words: Iterable[str]) -> list[str]:
        """Resolves names such as ``owner:CHANNEL`` to gateways."""
        found = [self.owners[word[6:]][1] for word in words if word.startswith("owner:") and word[6:] in self.owners]
        found += [self.publisher] if "publisher" in words and self.publisher else []
        return found + (sorted(self.upgraded) if "moved" in words else [])

    def rollout_complete(self, gateways: Iterable[str]) -> bool:
        """Whether the rollout is complete at these gateways: finished on the new version, or stopped on the old one."""
        return all(
            name in self._rollout_ends and (name in self.upgraded) == (self._rollout_ends[name] == "finished")
            for name in gateways
        )

    def current_events(self) -> list[str]:
        """Events that have occurred and still apply, for steps that begin to wait now."""
        return [f"owned:{channel}" for channel in self.owners]
