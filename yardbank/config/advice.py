"""Warnings about valid settings that may be unintended. No I/O."""

from __future__ import annotations

from yardbank.config.schema import Class, Config, Match
from yardbank.directory import naming

READ_OPERATIONS = frozenset(("search", "compare"))


def _overlap(a: str, b: str) -> bool:
    a, b = naming.fold(a), naming.fold(b)
    return naming.under(a, b) or naming.under(b, a)


def subtrees(config: Config) -> list[tuple[str, Class]]:
    """Bases in the match blocks of reads, each with its class, in the order of the settings."""
    return [
        (match.base, request_class)
        for request_class in config.classes
        for match in request_class.match
        if READ_OPERATIONS & set(match.operation)
    ]


def warnings(config: Config) -> list[str]:
    """Warn of subtrees that are written but only read with staleness: a client may not see its own writes there."""
    reads = [
        (request_class, match)
        for request_class in config.classes
        for match in request_class.match
        if READ_OPERATIONS & set(match.operation)
    ]
    writes = [
        (request_class, match)
        for request_class in config.classes
        for match in request_class.match
        if request_class.read == "write"
    ]
    messages: list[str] = []
    for request_class, match in reads:
        if request_class.read not in ("bounded", "any"):
            continue
        writers = sorted({writer.name for writer, rule in writes if _overlap(rule.base, match.base)})
        if writers and not any(_sees_own_writes(other, rule, match) for other, rule in reads):
            age = (
                f"up to {request_class.staleness / 1e6:.0f} ms behind"
                if request_class.read == "bounded"
                else "from any member"
            )
            base = match.base or "everything"
            messages.append(
                f'class "{request_class.name}": {base} is written as {", ".join(writers)}, and read only {age}: '
                'a client may not see there what it has just written (a class with read = "session" would show it)'
            )
    return messages


def _sees_own_writes(kind: Class, rule: Match, match: Match) -> bool:
    """Whether reads of this class see the writes of their session in an overlapping subtree."""
    return kind.read in ("session", "fresh") and _overlap(rule.base, match.base)
