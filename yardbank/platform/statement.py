"""The platform's statements: one strict form each for reads and writes, with what is asked in a comment. No I/O.

A database server closes on what it cannot read, whatever else waits there, so nothing passes that is not of this form.
"""

from __future__ import annotations

import re
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from yardbank.gateway.api import MS
from yardbank.interface import RequestClass

MAX_VALUE = 64 << 10  # octets
MAX_DEADLINE_MS = 86_400_000
# A class is named as in the settings, so what stands after c= may hold all that does not end it. Each part is taken
# once and for good (atomic): one that may be read in two ways would be tried in each again, and again with the next.
_CLASS = r"(?:(?!\*/)[^,\x00-\x1f\x7f]){1,128}?"
_PART = rf"(?>(?:[A-Za-z0-9_]{{1,32}}=[^\s,*/='\\\x00]{{1,128}}|c={_CLASS})(?=,|[ ]?\*/))"
_COMMENT = re.compile(rf"/\*[ ]?({_PART}(?:,{_PART}){{0,15}})[ ]?\*/ ")
_BODY = re.compile(
    r"(?:SELECT content FROM kv WHERE name = '([^'\\\x00]{1,256})'"
    r"|INSERT INTO kv \(name, content\) VALUES \('([^'\\\x00]{1,256})', '\\x([0-9A-Fa-f]*)'\) RETURNING content)"
    r"\Z"
)
_NAME = re.compile(_CLASS + r"\Z")
_NUMBER = re.compile(r"[0-9]{1,18}\Z", re.ASCII)


class StatementError(ValueError):
    """A statement that is not of the form; the text names what is wrong."""


@dataclass(slots=True, frozen=True)
class Statement:
    """One request as a client sent it."""

    id: str
    request_class: RequestClass
    group: str
    key: str
    time_limit: int  # ns
    after: int | None  # the session's last commit: ns since 1970
    write: bool
    before: str  # the text before the time limit's number
    behind: str  # and after it

    def text(self, left: int) -> str:
        """The statement as it is passed on: the time limit says how long (ns) the gateway will wait."""
        return f"{self.before}{max(1, left // MS)}{self.behind}"


@dataclass(slots=True)
class Operation:
    """A statement and the instant (ns, the gateway's clock) until which its answer is of use."""

    statement: Statement
    expires: int
    sent: bool = False  # the system has taken octets of it for a server, or may yet


def _number(facts: Mapping[str, str], name: str) -> int:
    held = facts.get(name)
    if held is None:
        raise StatementError(f"the comment lacks {name}")
    if not _NUMBER.match(held):
        raise StatementError(f"{name}: not a number")
    return int(held)


def _read_comment(comment: str, at: int) -> tuple[dict[str, str], tuple[int, int]]:
    """The comment's pairs, and from where to where the time limit's value stands; the comment begins at ``at``."""
    facts: dict[str, str] = {}
    limit_at = (0, 0)
    for part in comment.split(","):
        name, _, held = part.partition("=")
        if name in facts:
            raise StatementError(f"the comment names {name} twice")
        facts[name] = held
        if name == "d":
            limit_at = (at + 2, at + len(part))
        at += len(part) + 1
    return facts, limit_at


def read_statement(text: str, request_classes: Mapping[str, RequestClass]) -> Statement:
    """A client's query. Raises ``StatementError``."""
    head = _COMMENT.match(text)
    if head is None:
        raise StatementError("the comment is not of the form /* name=value,name=value */")
    found = _BODY.match(text, head.end())
    # Pairs are counted here: the pattern's engine would keep 200 octets for each repeat of a group.
    if found is None or len(found[3] or "") % 2:
        raise StatementError("behind the comment: neither the read nor the write that is served here")
    facts, where = _read_comment(head[1], head.start(1))
    if not (number := facts.get("id")):
        raise StatementError("the comment lacks id")
    request_class = request_classes.get(facts.get("c", ""))
    if request_class is None:
        raise StatementError("c: no such class")
    limit = _number(facts, "d")
    if limit > MAX_DEADLINE_MS:  # 0: its client's time was over as it was sent; it is refused, and others go on
        raise StatementError(f"d: between 0 and {MAX_DEADLINE_MS} is allowed")
    write = found[1] is None
    if write != (request_class.read == "write"):
        raise StatementError(f"c: the class is not one of {'writes' if write else 'reads'}")
    if write and len(found[3]) > 2 * MAX_VALUE:
        raise StatementError(f"content: more than {MAX_VALUE} octets")
    return Statement(
        id=number,
        request_class=request_class,
        group=str(_number(facts, "cluster")),
        key=found[2] if write else found[1],
        time_limit=limit * MS,
        after=_number(facts, "after") * MS if "after" in facts else None,
        write=write,
        before=text[: where[0]],
        behind=text[where[1] :],
    )


def out_of_reach(request_classes: Iterable[RequestClass]) -> list[str]:
    """Classes of the settings that no statement can name: its comment would end in the middle of the name."""
    return [each.name for each in request_classes if not _NAME.match(each.name) or each.name != each.name.rstrip(" ")]


def since_write(statement: Statement, now: int) -> int | None:
    """The age (ns) of a session's last commit, as the decision module takes it: 0 would mean that there is none."""
    if statement.after is None:
        return None
    return (now - statement.after) or 1
