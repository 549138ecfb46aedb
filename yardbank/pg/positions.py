"""Log positions of PostgreSQL servers: log sequence numbers (LSN) with their timeline. No I/O.

A position is (timeline, octets). An LSN alone does not identify a position: after a failover the new primary continues
from its own position on a new timeline, while the old primary may have later log records that were never replicated. A
primary reports the timeline that it writes, a replica that of its last restart point. The latter may be the previous
timeline; then the replica appears further behind than it is, never further ahead.
"""

from __future__ import annotations

import re

from yardbank.gateway.api import ProbeResult
from yardbank.timeline import LogPosition

ORIGIN = "wal"  # a single log, so that all positions are comparable
_LSN = re.compile(r"([0-9A-Fa-f]{1,8})/([0-9A-Fa-f]{1,8})", re.ASCII)

PROBE_QUERY = (
    "SELECT pg_is_in_recovery(), "
    "CASE WHEN pg_is_in_recovery() THEN pg_last_wal_replay_lsn() ELSE pg_current_wal_insert_lsn() END, "
    "CASE WHEN pg_is_in_recovery() THEN (SELECT timeline_id FROM pg_control_checkpoint()) "
    "ELSE ('x' || substr(pg_walfile_name(pg_current_wal_insert_lsn()), 1, 8))::bit(32)::int END"
)


def parse_lsn(text: str) -> int | None:
    """Parses an LSN to octets from the start of the log; None if the text is not an LSN."""
    parsed = _LSN.fullmatch(text)
    return None if parsed is None else int(parsed[1], 16) << 32 | int(parsed[2], 16)


def log_position(timeline: str, position: str) -> LogPosition | None:
    """A position from its parts as text; None if one is invalid."""
    octets = parse_lsn(position)
    if octets is None or not timeline.isdecimal() or int(timeline) < 1:
        return None
    return int(timeline), octets


def parse_probe_row(row: tuple[bytes | None, ...]) -> ProbeResult | None:
    """Parses the row of ``PROBE_QUERY``; None if it is invalid or has nulls (a replica that has replayed no log)."""
    if len(row) != 3 or any(column is None for column in row):
        return None
    try:
        recovering, position, timeline = (column.decode("ascii") for column in row if column is not None)
    except UnicodeDecodeError:
        return None
    parsed = log_position(timeline, position)
    if parsed is None or recovering not in ("t", "f"):
        return None
    return ProbeResult({ORIGIN: parsed}, recovering == "f")
