"""Summarizes a record by request class: where reads were answered, and latencies."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

from rich.table import Table

from yardbank.testing.audit.judge import outcome
from yardbank.testing.audit.record import Fact

HELD_THRESHOLD_S = 0.01  # client to server; a longer time means that the request was queued or retried


@dataclass(slots=True)
class ClassRow:
    """The figures of one class. Times are those of served requests, in seconds."""

    name: str
    requests: int = 0
    served: int = 0
    by_copy: int = 0
    by_primary: int = 0
    waited: int = 0
    times: list[float] = field(default_factory=list)

    def quantile(self, share: float) -> float:
        """The latency within which this share of requests was served, or 0 if none was."""
        ordered = sorted(self.times)
        return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else 0.0


def by_class(facts: Sequence[Fact]) -> list[ClassRow]:
    """One row for each class, sorted by name; requests without a class are grouped by their kind of read."""
    rows: dict[str, ClassRow] = {}
    requests: dict[str, Fact] = {}
    received_at: dict[str, float] = {}
    answered_by: dict[str, str] = {}
    for fact in facts:
        kind, tag = fact["kind"], fact.get("tag", "")
        if kind == "sent":
            requests[tag] = fact
            need = fact.get("need", {})
            name = need.get("request_class") or need.get("read", "")
            rows.setdefault(name, ClassRow(name)).requests += 1
        elif kind == "received":
            received_at.setdefault(tag, fact["at"])
        elif kind == "answered" and "role" in fact:
            answered_by[tag] = fact["role"]
        elif kind == "answer" and tag in requests and outcome(fact["code"]) == "served":
            sent = requests[tag]
            need = sent.get("need", {})
            row = rows[need.get("request_class") or need.get("read", "")]
            row.served += 1
            row.times.append(fact["at"] - sent["at"])
            if tag in answered_by:
                row.by_copy += answered_by[tag] == "copy"
                row.by_primary += answered_by[tag] == "primary"
                row.waited += received_at.get(tag, sent["at"]) - sent["at"] > HELD_THRESHOLD_S
    return [rows[name] for name in sorted(rows)]


def table(rows: Sequence[ClassRow], reads: dict[str, str]) -> Table:
    """Formats the rows as a table. ``reads``: the kind of read by class."""
    made = Table(title="By class", title_justify="left")
    for column in (
        "class",
        "requests",
        "served",
        "reads from copies",
        "from the primary",
        "held over 10 ms",
        "p50",
        "p99",
    ):
        made.add_column(column, justify="left" if column == "class" else "right")
    for row in rows:
        reading = reads.get(row.name, row.name) != "write"
        made.add_row(
            f"{row.name} ({reads[row.name]})" if row.name in reads else row.name,
            str(row.requests),
            str(row.served),
            str(row.by_copy) if reading else "",
            str(row.by_primary) if reading else "",
            str(row.waited) if reading else "",
            f"{row.quantile(0.5) * 1e3:.1f} ms",
            f"{row.quantile(0.99) * 1e3:.1f} ms",
        )
    return made
