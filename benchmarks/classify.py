"""Classification of statements, parsed and from the cache: python -m benchmarks.classify."""

from __future__ import annotations

from itertools import cycle

from benchmarks.common import keep, per_second, table
from tests.support.pg_statements import CORPUS
from yardbank.pg.classify import Classifier, Kind


def main() -> None:
    """Measure and store the results."""
    rows = []
    long = "select number from ported where number in (" + ", ".join(f"'{n}'" for n in range(1000)) + ")"
    for name, texts in (
        ("the corpus", [text for text, kind, _ in CORPUS if kind is not Kind.EMPTY]),
        ("one short read", ["select carrier from ported where number = $1"]),
        ("one of 1,000 constants", [long]),
    ):
        warm = Classifier()
        for text in texts:
            warm.of(text)
        cold_texts, cached_texts = cycle(texts), cycle(texts)
        cold = per_second(lambda t=cold_texts: Classifier().of(next(t)))  # type: ignore[misc]
        cached = per_second(lambda t=cached_texts, classifier=warm: classifier.of(next(t)))  # type: ignore[misc]
        rows.append([name, f"{1e6 / cold:,.1f}", f"{1e6 / cached:,.2f}", f"{cached / cold:,.0f}"])
    head = ["statements", "cold, us", "cached, us", "cold / cached"]
    notes = ["Medians of 5 runs of 0.3 s each. Cold: parsed by PostgreSQL's grammar and walked; cached: by its text."]
    keep("classify", "Classes of statements", [table("Microseconds a statement", head, rows, notes)])


if __name__ == "__main__":
    main()
