"""Formats a verdict as a table or as JSON."""

from __future__ import annotations

import json
from typing import Any

from rich.console import Console
from rich.table import Table

from yardbank.testing.audit.judge import Verdict


def as_dict(verdict: Verdict) -> dict[str, Any]:
    """Converts a verdict to plain values that JSON can encode."""
    return {
        "held": verdict.held,
        "rules": {
            name: {"title": rule.title, "held": rule.held, "judged": rule.judged, "found": rule.found[:20]}
            for name, rule in verdict.rules.items()
        },
        "answers": verdict.answers,
    }


def show(verdict: Verdict, as_json: bool = False) -> None:
    """Prints a verdict to standard output."""
    if as_json:
        print(json.dumps(as_dict(verdict), indent=2))
        return
    console = Console(width=140)
    table = Table(title="The five rules", title_justify="left")
    for column in ("rule", "verdict", "cases judged", "found against it"):
        table.add_column(column)
    for rule in verdict.rules.values():
        table.add_row(rule.title, "held" if rule.held else "BROKEN", str(rule.judged), str(len(rule.found)))
    console.print(table)
    for rule in verdict.rules.values():
        for text in rule.found[:5]:
            console.print(f"{rule.title}: {text}", markup=False, highlight=False)
    console.print("Requests: " + ", ".join(f"{count} {name}" for name, count in verdict.answers.items()))
