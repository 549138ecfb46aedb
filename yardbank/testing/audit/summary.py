"""How each class fared, from what crossed the sockets: where its reads were answered, and how fast."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

from rich.table import Table

from yardbank.testing.audit.judge import outcome
from yardbank.testing.audit.record import Fact

WAITED = 0.01  # seconds from the client's socket to the server's: it was held, or sent elsewhere first


@dataclass(slots=True)
class ClassRow:
    """One class's figures; times in seconds, of served requests."""

    name: str
    asked: int = 0
    served: int = 0
    by_copy: int = 0
    by_primary: int = 0
    waited: int = 0
    times: list[float] = field(default_factory=list)

    def quantile(self, share: float) -> float:
        """The time within which this share was served; 0 if none was."""
        ordered = sorted(self.times)
        return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else 0.0


def by_class(facts: Sequence[Fact]) -> list[ClassRow]:
    """Rows by class in order of name; requests that name no class stand under their kind of read."""
    rows: dict[str, ClassRow] = {}
    asked: dict[str, Fact] = {}
    reached: dict[str, float] = {}
    answered_by: dict[str, str] = {}
    for fact in facts:
        kind, tag = fact["kind"], fact.get("tag", "")
        if kind == "sent":
            asked[tag] = fact
            need = fact.get("need", {})
            name = need.get("request_class") or need.get("read", "")
            rows.setdefault(name, ClassRow(name)).asked += 1
        elif kind == "received":
            reached.setdefault(tag, fact["at"])
        elif kind == "answered" and "role" in fact:
            answered_by[tag] = fact["role"]
        elif kind == "answer" and tag in asked and outcome(fact["code"]) == "served":
            sent = asked[tag]
            need = sent.get("need", {})
            row = rows[need.get("request_class") or need.get("read", "")]
            row.served += 1
            row.times.append(fact["at"] - sent["at"])
            if tag in answered_by:
                row.by_copy += answered_by[tag] == "copy"
                row.by_primary += answered_by[tag] == "primary"
                row.waited += reached.get(tag, sent["at"]) - sent["at"] > WAITED
    return [rows[name] for name in sorted(rows)]


def table(rows: Sequence[ClassRow], reads: dict[str, str]) -> Table:
    """The rows as a table; ``reads`` tells each class's kind of read by its name."""
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
            str(row.asked),
            str(row.served),
            str(row.by_copy) if reading else "",
            str(row.by_primary) if reading else "",
            str(row.waited) if reading else "",
            f"{row.quantile(0.5) * 1e3:.1f} ms",
            f"{row.quantile(0.99) * 1e3:.1f} ms",
        )
    return made
