"""Log positions of PostgreSQL servers as marks: log sequence numbers with their timeline. No I/O.

A mark is (timeline, octets). Numbers alone do not name a position: after a fail-over the new primary goes on from where
it stood, on a timeline of its own, while an old primary may hold log beyond that which nobody else ever had. A primary
tells the timeline that it writes; a copy that of its last restart point, which may be the one before: then it looks
further behind than it is, never further on.
"""

from __future__ import annotations

import re

from yardbank.gateway.api import ProbeResult
from yardbank.timeline import LogPosition

ORIGIN = "wal"  # one log: every mark compares with every other
_LSN = re.compile(r"([0-9A-Fa-f]{1,8})/([0-9A-Fa-f]{1,8})", re.ASCII)

PROBE = (
    "SELECT pg_is_in_recovery(), "
    "CASE WHEN pg_is_in_recovery() THEN pg_last_wal_replay_lsn() ELSE pg_current_wal_insert_lsn() END, "
    "CASE WHEN pg_is_in_recovery() THEN (SELECT timeline_id FROM pg_control_checkpoint()) "
    "ELSE ('x' || substr(pg_walfile_name(pg_current_wal_insert_lsn()), 1, 8))::bit(32)::int END"
)


def lsn(text: str) -> int | None:
    """A log sequence number as octets from the log's beginning; None if it is none."""
    found = _LSN.fullmatch(text)
    return None if found is None else int(found[1], 16) << 32 | int(found[2], 16)


def mark(timeline: str, position: str) -> LogPosition | None:
    """A mark from its parts as text; None if one makes no sense."""
    octets = lsn(position)
    if octets is None or not timeline.isdecimal() or int(timeline) < 1:
        return None
    return int(timeline), octets


def of_probe(row: tuple[bytes | None, ...]) -> ProbeResult | None:
    """What ``PROBE`` brought; None where the server cannot say (a copy that has replayed nothing yet)."""
    if len(row) != 3 or any(column is None for column in row):
        return None
    try:
        recovering, position, timeline = (column.decode("ascii") for column in row if column is not None)
    except UnicodeDecodeError:
        return None
    found = mark(timeline, position)
    if found is None or recovering not in ("t", "f"):
        return None
    return ProbeResult({ORIGIN: found}, recovering == "f")
