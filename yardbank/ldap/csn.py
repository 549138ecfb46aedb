"""Change sequence numbers (CSN), by which LDAP servers identify log positions (draft-ietf-ldup-model)."""

from __future__ import annotations

import re
from collections.abc import Iterable
from datetime import UTC, datetime

from yardbank.timeline import LogPosition

_CSN = re.compile(r"(\d{14}\.\d{6}Z)#([0-9a-f]{6})#([0-9a-f]{3})#([0-9a-f]{6})", re.ASCII)


def parse(value: bytes) -> tuple[str, LogPosition] | None:
    """The origin (server ID) and position of a change sequence number; None if the value is not one."""
    try:
        found = _CSN.fullmatch(value.decode("ascii").lower().replace("z", "Z"))
    except UnicodeDecodeError:
        return None
    if found is None:
        return None
    stamp, count, origin, change = found.groups()
    return origin, (stamp, int(count, 16), int(change, 16))


def vector(values: Iterable[bytes]) -> dict[str, LogPosition]:
    """The positions in the values of a ``contextCSN``, by origin; values that are not CSNs are ignored."""
    positions: dict[str, LogPosition] = {}
    for value in values:
        if found := parse(value):
            origin, position = found
            positions[origin] = max(position, positions.get(origin, position))
    return positions


def render(seconds: float, count: int, origin: int) -> str:
    """Formats the change sequence number of a commit at a wall-clock time."""
    stamp = datetime.fromtimestamp(seconds, UTC).strftime("%Y%m%d%H%M%S.%f")
    return f"{stamp}Z#{count:06x}#{origin:03x}#000000"
