"""Records: JSON lines, each a fact with the machine's steady time ``at`` (seconds) and its ``kind``.

From clients: ``sent`` (tag, need, deadline), ``answer``, ``unasked``, ``lost``, ``left``, ``opened``,
``cancelled``. From stand-ins: ``received``, ``full``, ``applied``, ``answered``, ``elected``, ``start``. From relays:
``reached`` (a client's end, or a cancelling, lay in the gateway's socket), ``begun`` (an attempt, by its first octet).
From the operator's side: ``listed`` (what discovery had of a server for a gateway), ``discovery`` (whether it could be
reached), ``told`` (what was written to a gateway of a server, and when), ``killed`` (a gateway was).
"""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

Fact = dict[str, Any]
KINDS = {
    "sent": ("tag", "client"),
    "answer": ("tag", "client", "code"),
    "unasked": ("client",),
    "lost": ("client",),
    "left": ("client",),
    "received": ("server", "tag", "op"),
    "full": ("server", "tag"),
    "applied": ("server", "suffix", "csn", "tag"),
    "answered": ("server", "tag", "code"),
    "elected": ("server", "suffix", "lost"),
    "start": ("server", "cold_s", "cold_share", "per_s"),
    "told": ("server", "state"),
    "opened": ("client", "port"),
    "cancelled": ("client", "tag"),
    "reached": ("gateway", "port", "what", "message"),
    "begun": ("gateway", "server", "tag", "op"),
    "listed": ("gateway", "server", "state"),
    "discovery": ("gateway", "reached"),
    "rig_late": ("by",),
}


def read_record(path: Path) -> list[Fact]:
    """A record, in order of time. Raises ``ValueError`` naming file and line; a last line cut short is dropped."""
    facts: list[Fact] = []
    lines = path.read_text(encoding="utf-8").split("\n")
    for number, line in enumerate(lines, 1):
        if not line.strip():
            continue
        try:
            fact = json.loads(line)
        except json.JSONDecodeError:
            if number == len(lines):  # the writer was killed in the middle of it
                continue
            raise ValueError(f"{path}:{number}: not JSON") from None
        problem = fault(fact)
        if problem:
            raise ValueError(f"{path}:{number}: {problem}")
        facts.append(fact)
    return sorted(facts, key=lambda fact: float(fact["at"]))


def fault(fact: Any) -> str:
    """What is wrong with a fact; empty if nothing is."""
    if not isinstance(fact, dict):
        return "not an object"
    if not isinstance(fact.get("at"), int | float) or not isinstance(fact.get("kind"), str):
        return "'at' or 'kind' is missing"
    missing = [name for name in KINDS.get(fact["kind"], ()) if name not in fact]
    return f"'{missing[0]}' is missing" if missing else ""
