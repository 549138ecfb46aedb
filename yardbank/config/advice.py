"""What settings allow and an operator may not have meant: said, never refused. No I/O."""

from __future__ import annotations

from yardbank.config.schema import Class, Config, Match
from yardbank.directory import naming

READS = frozenset(("search", "compare"))


def _meet(a: str, b: str) -> bool:
    a, b = naming.fold(a), naming.fold(b)
    return naming.under(a, b) or naming.under(b, a)


def subtrees(config: Config) -> list[tuple[str, Class]]:
    """Each base that reads are matched by, with the class of those reads, in the settings' order."""
    return [(match.base, kind) for kind in config.classes for match in kind.match if READS & set(match.operation)]


def warnings(config: Config) -> list[str]:
    """Subtrees that are written and only read as they were a while ago: a client may not see its own writes."""
    reads = [(kind, match) for kind in config.classes for match in kind.match if READS & set(match.operation)]
    writes = [(kind, match) for kind in config.classes for match in kind.match if kind.read == "write"]
    found: list[str] = []
    for kind, match in reads:
        if kind.read not in ("bounded", "any"):
            continue
        writers = sorted({writer.name for writer, where in writes if _meet(where.base, match.base)})
        if writers and not any(_covers(other, where, match) for other, where in reads):
            age = f"up to {kind.staleness / 1e6:.0f} ms behind" if kind.read == "bounded" else "from any member"
            base = match.base or "everything"
            found.append(
                f'class "{kind.name}": {base} is written as {", ".join(writers)}, and read only {age}: a client may '
                'not see there what it has just written (a class with read = "session" would show it)'
            )
    return found


def _covers(kind: Class, where: Match, match: Match) -> bool:
    """Whether some reads of the same entries see a session's writes."""
    return kind.read in ("session", "fresh") and _meet(where.base, match.base)
