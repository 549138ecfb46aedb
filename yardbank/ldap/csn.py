"""Change sequence numbers: the marks by which LDAP servers name log positions (draft-ietf-ldup-model, CSN)."""

from __future__ import annotations

import re
from collections.abc import Iterable
from datetime import UTC, datetime

from yardbank.timeline import LogPosition

_CSN = re.compile(r"(\d{14}\.\d{6}Z)#([0-9a-f]{6})#([0-9a-f]{3})#([0-9a-f]{6})", re.ASCII)


def parse(value: bytes) -> tuple[str, LogPosition] | None:
    """The origin (server ID) and mark of a change sequence number; None if it is none."""
    try:
        found = _CSN.fullmatch(value.decode("ascii").lower().replace("z", "Z"))
    except UnicodeDecodeError:
        return None
    if found is None:
        return None
    stamp, count, origin, change = found.groups()
    return origin, (stamp, int(count, 16), int(change, 16))


def vector(values: Iterable[bytes]) -> dict[str, LogPosition]:
    """The marks of a ``contextCSN``, one value for each origin; what is no CSN is left out."""
    marks: dict[str, LogPosition] = {}
    for value in values:
        if found := parse(value):
            origin, mark = found
            marks[origin] = max(mark, marks.get(origin, mark))
    return marks


def render(seconds: float, count: int, origin: int) -> str:
    """The change sequence number of a commit at a wall-clock time."""
    stamp = datetime.fromtimestamp(seconds, UTC).strftime("%Y%m%d%H%M%S.%f")
    return f"{stamp}Z#{count:06x}#{origin:03x}#000000"
