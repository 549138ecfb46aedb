"""Statements of the platform: one strict form each for reads and writes, with parameters in a comment. No I/O.

A database server closes its connection on a statement that it cannot read, whatever else is pending there. So only
statements of this form are passed on.
"""

from __future__ import annotations

import re
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from yardbank.gateway.api import MS
from yardbank.interface import Effect, RequestClass

MAX_VALUE_OCTETS = 64 << 10
MAX_DEADLINE_MS = 86_400_000
# The value of c= is a class name from the settings and may hold anything that does not end it. The group of each pair
# is atomic: if a pair could be matched in two ways, backtracking would try both, and again for each further pair.
_CLASS_NAME = r"(?:(?!\*/)[^,\x00-\x1f\x7f]){1,128}?"
_PAIR = rf"(?>(?:[A-Za-z0-9_]{{1,32}}=[^\s,*/='\\\x00]{{1,128}}|c={_CLASS_NAME})(?=,|[ ]?\*/))"
_COMMENT = re.compile(rf"/\*[ ]?({_PAIR}(?:,{_PAIR}){{0,15}})[ ]?\*/ ")
_BODY = re.compile(
    r"(?:SELECT content FROM kv WHERE name = '([^'\\\x00]{1,256})'"
    r"|INSERT INTO kv \(name, content\) VALUES \('([^'\\\x00]{1,256})', '\\x([0-9A-Fa-f]*)'\) RETURNING content)"
    r"\Z"
)
_WHOLE_CLASS_NAME = re.compile(_CLASS_NAME + r"\Z")
_NUMBER = re.compile(r"[0-9]{1,18}\Z", re.ASCII)


class StatementError(ValueError):
    """A statement that is not of the required form; the text names what is wrong."""


@dataclass(slots=True, frozen=True)
class Statement:
    """One request as a client sent it."""

    id: str
    request_class: RequestClass
    group: str
    key: str
    time_limit: int  # ns
    after: int | None  # time of the session's last commit: ns since 1970
    write: bool
    prefix: str  # text before the value of the time limit
    suffix: str  # text after it

    def text(self, remaining: int) -> str:
        """Returns the statement to send, with the time (ns) that the gateway will still wait as its time limit."""
        return f"{self.prefix}{max(1, remaining // MS)}{self.suffix}"


@dataclass(slots=True)
class Operation:
    """A statement and its deadline (ns, on the gateway's clock)."""

    statement: Statement
    expires: int
    sent: bool = False  # octets of it were handed to the system for a server, or still may be
    refused: bool = False  # the client was told that nothing ran

    @property
    def may_have_effect(self) -> bool:
        """Whether it may have changed data, or may change it yet."""
        return self.sent and not self.refused and self.statement.request_class.effect != Effect.SAFE


def _number(fields: Mapping[str, str], name: str) -> int:
    text = fields.get(name)
    if text is None:
        raise StatementError(f"the comment lacks {name}")
    if not _NUMBER.match(text):
        raise StatementError(f"{name}: not a number")
    return int(text)


def _read_comment(comment: str, at: int) -> tuple[dict[str, str], tuple[int, int]]:
    """Returns the comment's pairs and the span of the time limit's value; the comment begins at ``at``."""
    fields: dict[str, str] = {}
    limit_span = (0, 0)
    for part in comment.split(","):
        name, _, value = part.partition("=")
        if name in fields:
            raise StatementError(f"the comment names {name} twice")
        fields[name] = value
        if name == "d":
            limit_span = (at + 2, at + len(part))
        at += len(part) + 1
    return fields, limit_span


def read_statement(text: str, request_classes: Mapping[str, RequestClass]) -> Statement:
    """Parses a client's query. Raises ``StatementError``."""
    comment = _COMMENT.match(text)
    if comment is None:
        raise StatementError("the comment is not of the form /* name=value,name=value */")
    body = _BODY.match(text, comment.end())
    # Hexadecimal pairs are counted here: the pattern's engine would use 200 octets for each repeat of a group.
    if body is None or len(body[3] or "") % 2:
        raise StatementError("behind the comment: neither the read nor the write that is served here")
    fields, limit_span = _read_comment(comment[1], comment.start(1))
    if not (request_id := fields.get("id")):
        raise StatementError("the comment lacks id")
    request_class = request_classes.get(fields.get("c", ""))
    if request_class is None:
        raise StatementError("c: no such class")
    limit = _number(fields, "d")
    if limit > MAX_DEADLINE_MS:  # 0: sent after the client's time was over; refused, while others go on
        raise StatementError(f"d: between 0 and {MAX_DEADLINE_MS} is allowed")
    write = body[1] is None
    if write != (request_class.read == "write"):
        raise StatementError(f"c: the class is not one of {'writes' if write else 'reads'}")
    if write and len(body[3]) > 2 * MAX_VALUE_OCTETS:
        raise StatementError(f"content: more than {MAX_VALUE_OCTETS} octets")
    return Statement(
        id=request_id,
        request_class=request_class,
        group=str(_number(fields, "cluster")),
        key=body[2] if write else body[1],
        time_limit=limit * MS,
        after=_number(fields, "after") * MS if "after" in fields else None,
        write=write,
        prefix=text[: limit_span[0]],
        suffix=text[limit_span[1] :],
    )


def unreachable_classes(request_classes: Iterable[RequestClass]) -> list[str]:
    """Returns the classes that no statement can name, because the comment would end in the middle of the name."""
    return [
        each.name
        for each in request_classes
        if not _WHOLE_CLASS_NAME.match(each.name) or each.name != each.name.rstrip(" ")
    ]


def since_write(statement: Statement, now: int) -> int | None:
    """Returns the age (ns) of a session's last commit for the decision module, to which 0 means that there is none."""
    if statement.after is None:
        return None
    return (now - statement.after) or 1
