"""Load reports and positions in the format of the platform's servers. No I/O."""

from __future__ import annotations

import re
from collections.abc import Collection
from dataclasses import dataclass
from decimal import Decimal, InvalidOperation

from yardbank.gateway.api import MS, ProbeResult
from yardbank.wire import LOAD_FIELDS

ORIGIN = "clock"
POSITION, ROLE = "x0", "x1"  # a position is in seconds since 1970; the role is 1 for a primary
DEFAULT_FIELDS = (POSITION, ROLE, "utilization")  # used if the settings do not name the fields
MAX_REPORT_CHARS = 4096  # a report has only a few fields
MAX_LOAD = 10.0  # a load may exceed 1 by some tenths; a value this far beyond is not a load
_TIME = re.compile(r"[0-9]{1,16}(?:\.[0-9]{1,9})?\Z", re.ASCII)
_NUMBER = re.compile(r"-?[0-9]{1,25}(?:\.[0-9]{1,25})?(?:[eE][+-]?[0-9]{1,3})?\Z", re.ASCII)
_ROLES = {0.0: False, 1.0: True}


@dataclass(slots=True, frozen=True)
class LoadReport:
    """Contents of a load report; a field that cannot be read is left out and named in ``invalid``."""

    position: ProbeResult | None  # None: no field of the report can be read
    invalid: tuple[str, ...] = ()


def parse_nanoseconds(text: str, unit: int) -> int | None:
    """Parses a number in units of ``unit`` ns, exactly; None if it is not one."""
    if not _TIME.match(text):
        return None
    try:
        return int(Decimal(text) * unit)
    except InvalidOperation:
        return None


def _role(text: str) -> bool | None:
    return _ROLES.get(float(text))


def _load(text: str) -> float | None:
    return load if 0 <= (load := float(text)) <= MAX_LOAD else None


def _parse_fields(text: str) -> tuple[dict[str, str], set[str]]:
    """Returns the fields that hold a number, and the names of those that do not or come twice."""
    values: dict[str, str] = {}
    invalid: set[str] = set()
    for part in text.split(","):
        name, _, number = part.strip().partition("=")
        if not name or name in values or not _NUMBER.match(number):
            invalid.add(name[:32] or part[:32])
        else:
            values[name] = number
    return {name: number for name, number in values.items() if name not in invalid}, invalid


def read_report(text: str, fields: Collection[str] = DEFAULT_FIELDS) -> LoadReport:
    """Parses a load report: comma-separated ``name=number`` pairs, of which ``fields`` are used.

    The names have fixed meanings, and the settings say which of them are sent. The decision module uses the position,
    the role and the load of the cores. Other fields are skipped, and a missing one is unknown. A field is invalid if it
    is not a number, is out of its range, or comes twice. The role is used only with its position, when it was true.
    """
    if len(text) > MAX_REPORT_CHARS:
        return LoadReport(None, (f"more than {MAX_REPORT_CHARS} characters",))
    values, invalid = _parse_fields(text)
    position_ns = primary = load = None
    if POSITION in values and POSITION in fields:
        position_ns = parse_nanoseconds(values[POSITION], 1000 * MS)
        invalid |= {POSITION} if position_ns is None else set()
    if ROLE in values and ROLE in fields:
        primary = _role(values[ROLE])
        invalid |= {ROLE} if primary is None else set()
    for name in LOAD_FIELDS:
        if name in values and name in fields:
            load = _load(values[name])
            invalid |= {name} if load is None else set()
    if POSITION in invalid:
        primary = None
    readable = values.keys() - invalid
    marks = {} if position_ns is None else {ORIGIN: (position_ns,)}
    return LoadReport(ProbeResult(marks, primary, load) if readable else None, tuple(sorted(invalid)))
