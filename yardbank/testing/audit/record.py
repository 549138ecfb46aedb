"""Reads records: JSON lines, one fact each, with a monotonic timestamp ``at`` (seconds) and a ``kind``.

Clients write ``sent`` (tag, need, deadline), ``answer``, ``unasked`` (a response to no open request), ``lost``,
``left``, ``opened`` and ``cancelled``. Stand-in servers write ``received``, ``full``, ``applied``, ``answered``,
``elected`` and ``start``. Relays write ``reached`` (a client's end of stream, or a cancellation, was delivered to the
gateway's socket) and ``begun`` (the first octet of an attempt). The operator's side writes ``listed`` (the state of a
server that discovery offers to a gateway), ``discovery`` (whether a gateway can reach discovery), ``told`` (a server's
state was sent to a gateway) and ``killed`` (a gateway was killed).
"""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

Fact = dict[str, Any]
REQUIRED_KEYS = {
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
    """Reads a record, sorted by time. Ignores a truncated last line; raises ``ValueError`` with file and line."""
    facts: list[Fact] = []
    lines = path.read_text(encoding="utf-8").split("\n")
    for number, line in enumerate(lines, 1):
        if not line.strip():
            continue
        try:
            fact = json.loads(line)
        except json.JSONDecodeError:
            if number == len(lines):  # the writer was killed while writing it
                continue
            raise ValueError(f"{path}:{number}: not JSON") from None
        problem = fact_error(fact)
        if problem:
            raise ValueError(f"{path}:{number}: {problem}")
        facts.append(fact)
    return sorted(facts, key=lambda fact: float(fact["at"]))


def fact_error(fact: Any) -> str:
    """Returns the first problem of a fact, or an empty string."""
    if not isinstance(fact, dict):
        return "not an object"
    if not isinstance(fact.get("at"), int | float) or not isinstance(fact.get("kind"), str):
        return "'at' or 'kind' is missing"
    missing = [name for name in REQUIRED_KEYS.get(fact["kind"], ()) if name not in fact]
    return f"'{missing[0]}' is missing" if missing else ""
